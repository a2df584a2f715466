//! Turns the body of a stream into the events of its run. Nothing else leaves this module: what
//! proves that a part belongs to the run is its form and its id.

use bytes::Bytes;

use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::direct::event_check::check_block;
use crate::edge::direct::sse::EventSplitter;

/// Most bytes from one event of a run to the end of the next one, comments included.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Event of a run, in the bytes in which the engine sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEvent {
    /// Its id, which is higher than that of the event before it.
    pub id: u64,
    /// The bytes, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Events of one run of a stream. Comments and blank lines between events are left out, and so
/// are events that the caller has had.
#[derive(Debug)]
pub struct RunEvents {
    splitter: EventSplitter,
    extension_fields: &'static [&'static str],
    /// Largest difference between the ids of two events.
    max_step: u64,
    /// Id of the last event that the caller had when the run began, if any.
    after: Option<u64>,
    /// Id of the last event of the run, whether the caller had it or not.
    last_id: Option<u64>,
    events: usize,
    repeated_events: usize,
    /// Bytes of comments and blank lines since the last event.
    skipped_bytes: usize,
}

impl RunEvents {
    /// Returns the events of a run that goes on after event `after`. Ids count events, or their
    /// tokens. Events may have the fields in `extension_fields` beside those of server-sent events.
    pub fn new(
        after: Option<u64>,
        tokens_per_event: u32,
        extension_fields: &'static [&'static str],
    ) -> Self {
        Self {
            splitter: EventSplitter::default(),
            extension_fields,
            max_step: u64::from(tokens_per_event.max(1)),
            after,
            last_id: None,
            events: 0,
            repeated_events: 0,
            skipped_bytes: 0,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.splitter.push(bytes);
    }

    /// Returns the next event that the caller has not had, or `None` if it is not complete yet.
    ///
    /// # Errors
    /// If the engine sent something else. What it sends after that proves nothing.
    pub fn next_event(&mut self) -> Result<Option<RunEvent>, InvalidEvent> {
        while let Some(bytes) = self.splitter.next_block() {
            let Some(id) = check_block(&bytes, self.extension_fields)? else {
                self.skipped_bytes += bytes.len();
                continue;
            };
            self.check_order(id)?;
            self.last_id = Some(id);
            self.events += 1;
            self.skipped_bytes = 0;
            if self.after.is_some_and(|after| id <= after) {
                self.repeated_events += 1;
                continue;
            }
            return Ok(Some(RunEvent { id, bytes }));
        }
        if self.skipped_bytes + self.splitter.pending_bytes() > MAX_EVENT_BYTES {
            return Err(InvalidEvent::TooLarge);
        }
        Ok(None)
    }

    /// An engine that begins a stream anew repeats events, but in their order.
    fn check_order(&self, id: u64) -> Result<(), InvalidEvent> {
        if self.last_id.is_some_and(|last_id| id <= last_id) {
            return Err(InvalidEvent::IdNotIncreasing);
        }
        let previous = self.last_id.max(self.after).unwrap_or(0);
        if id > previous.saturating_add(self.max_step) {
            return Err(InvalidEvent::IdSkipped);
        }
        Ok(())
    }

    /// True if the body may end here: not inside an event.
    pub fn is_between_events(&self) -> bool {
        !self.splitter.is_inside_event()
    }

    /// Number of events of the run so far.
    pub fn count(&self) -> usize {
        self.events
    }

    /// Number of events that were left out, as the caller has had them.
    pub fn repeated_events(&self) -> usize {
        self.repeated_events
    }

    /// Number of bytes after the last event.
    pub fn remainder_bytes(&self) -> usize {
        self.skipped_bytes + self.splitter.pending_bytes()
    }
}
