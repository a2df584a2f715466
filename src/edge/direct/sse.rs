//! Splits a byte stream of server-sent events into complete events.

use bytes::Bytes;
use bytes::BytesMut;

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// One complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` field, if there is one and it is a number.
    pub id: Option<u64>,
}

/// Buffers received bytes until an event is complete.
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

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let from = std::mem::take(&mut self.searched_bytes);
        let Some(found) = find(&self.pending[from..], EVENT_END) else {
            // The last byte may be the first one of the event's end.
            self.searched_bytes = self.pending.len().saturating_sub(EVENT_END.len() - 1);
            return None;
        };
        let end = from + found + EVENT_END.len();
        let bytes = self.pending.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(SseEvent { bytes, id })
    }

    /// Removes and returns the remaining bytes, which are no complete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.pending.split().freeze()
    }

    /// Returns the number of bytes that are buffered.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns true if no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&byte| byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
