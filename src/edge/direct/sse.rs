//! Splits a byte stream of server-sent events into blocks that end with a blank line.

use bytes::Bytes;
use bytes::BytesMut;

/// Blank lines that end an event, by the kind of line end before them.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
const MAX_EVENT_END_BYTES: usize = 3;
const COMMENT_START: u8 = b':';

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

    /// True if the buffered bytes are the beginning of an event, as opposed to comments and
    /// blank lines only.
    pub fn is_inside_event(&self) -> bool {
        lines(&self.pending).any(|line| line.first().is_some_and(|&byte| byte != COMMENT_START))
    }
}

/// Returns the number of bytes up to the end of the first event.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|start| {
        let end = EVENT_ENDS.iter().find(|end| bytes[start..].starts_with(end))?;
        Some(start + end.len())
    })
}

/// Returns the lines, whatever their line ends; between a CR and an LF is an empty one.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| matches!(byte, b'\n' | b'\r'))
}
