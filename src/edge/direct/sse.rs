//! Cuts a stream of server-sent events into whole events.

use bytes::Bytes;
use bytes::BytesMut;

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it is a number.
    pub id: Option<u64>,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
}

impl Splitter {
    /// Adds what was received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = find(&self.pending, EVENT_END)? + EVENT_END.len();
        let bytes = self.pending.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes of an event that is not whole.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// True if no event is begun.
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
