//! Splits a byte stream of server-sent events into blocks that end with a blank line.

use bytes::Bytes;
use bytes::BytesMut;

use crate::edge::direct::event_check::LINE_ENDS;
use crate::edge::direct::event_check::check_block;

/// Blank lines that end an event, by the kind of line end before them.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
const MAX_EVENT_END_BYTES: usize = 3;
/// Most bytes of a block.
pub(super) const MAX_BLOCK_BYTES: usize = 64 << 10;

/// Buffers received bytes until a block is complete: an event, or what is in its place.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of pending bytes before which no event ends.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete block with its blank line, if there is one.
    pub fn next_block(&mut self) -> Option<Bytes> {
        let from = std::mem::take(&mut self.searched_bytes);
        let Some(event_bytes) = find_event_end(&self.pending[from..]) else {
            // The last bytes may be the first ones of the event's end.
            self.searched_bytes = self.pending.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
            return None;
        };
        Some(self.pending.split_to(from + event_bytes).freeze())
    }

    /// Returns the number of bytes that are buffered.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// True if the buffered bytes are whole lines of comments and blank lines, so that no event
    /// has begun.
    pub fn holds_only_comments(&self) -> bool {
        let ends_line = self.pending.last().is_none_or(|byte| LINE_ENDS.contains(byte));
        ends_line && matches!(check_block(&self.pending, &[]), Ok(None))
    }
}

/// Blocks of an event stream that is passed on as it is: only its end matters.
#[derive(Debug, Default)]
pub struct OpaqueBlocks {
    splitter: EventSplitter,
    has_blocks: bool,
}

impl OpaqueBlocks {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.splitter.push(bytes);
        while self.splitter.next_block().is_some() {
            self.has_blocks = true;
        }
    }

    /// True if the last block is too large to wait for its end.
    pub fn is_too_large(&self) -> bool {
        self.splitter.pending_bytes() > MAX_BLOCK_BYTES
    }

    /// True if the stream is complete now that its body has ended: not inside a block.
    pub fn is_complete(&self, end_is_explicit: bool) -> bool {
        (end_is_explicit || self.has_blocks) && self.splitter.holds_only_comments()
    }
}

/// Returns the number of bytes up to the end of the first event.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|start| {
        let end = EVENT_ENDS.iter().find(|end| bytes[start..].starts_with(end))?;
        Some(start + end.len())
    })
}
