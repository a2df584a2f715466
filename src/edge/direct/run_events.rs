//! Turns the body of a stream into the events of its run. Nothing else leaves this module: what
//! proves that a part belongs to the run is its form and its id. The ids of a stream count its
//! events, from 1 on.

use bytes::Bytes;

use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::direct::event_check::check_block;
use crate::edge::direct::event_check::without_comments;
use crate::edge::direct::sse::EventSplitter;
use crate::edge::direct::sse::MAX_BLOCK_BYTES;

/// Id of the first event of a stream.
const FIRST_ID: u64 = 1;

/// Event of a run, in the lines in which the engine sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEvent {
    /// Id of the event, one higher than that of the event before it.
    pub id: u64,
    /// Lines of the event with the blank line that ends it, without comments.
    pub bytes: Bytes,
}

/// Events of one run of a stream. Comments and blank lines between events are left out, and so
/// are events that the caller has had.
#[derive(Debug)]
pub struct RunEvents {
    splitter: EventSplitter,
    extension_fields: &'static [&'static str],
    /// Id of the last event that the caller had when the run began; 0 if it had none.
    after: u64,
    /// Id of the last event of the run, whether the caller had it or not.
    last_id: Option<u64>,
    events: usize,
    repeated_events: usize,
    /// Bytes of comments and blank lines since the last event.
    skipped_bytes: usize,
}

impl RunEvents {
    /// Returns the events of a run that goes on after event `after`. Events may have the fields in
    /// `extension_fields` beside those of server-sent events.
    pub fn new(after: Option<u64>, extension_fields: &'static [&'static str]) -> Self {
        Self {
            splitter: EventSplitter::default(),
            extension_fields,
            after: after.unwrap_or(0),
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
            if id <= self.after {
                self.repeated_events += 1;
                continue;
            }
            return Ok(Some(RunEvent { id, bytes: without_comments(bytes) }));
        }
        // Blocks of comments count as part of the next event.
        if self.remainder_bytes() > MAX_BLOCK_BYTES {
            return Err(InvalidEvent::TooLarge);
        }
        Ok(None)
    }

    /// An engine may begin a stream anew, and then repeats events.
    fn check_order(&self, id: u64) -> Result<(), InvalidEvent> {
        let (lowest, highest) = match self.last_id {
            Some(last_id) => (last_id.saturating_add(1), last_id.saturating_add(1)),
            None => (FIRST_ID, self.after.saturating_add(1)),
        };
        match id {
            _ if id < lowest => Err(InvalidEvent::IdNotIncreasing),
            _ if id > highest => Err(InvalidEvent::IdSkipped),
            _ => Ok(()),
        }
    }

    /// True if the body proves that the stream is complete now that it has ended. With an
    /// explicit end, no event need have come: the caller may have had all of them. Without one, a
    /// new event must be the last thing in the body.
    pub fn is_complete(&self, end_is_explicit: bool) -> bool {
        if end_is_explicit {
            let reaches_caller = self.last_id.is_none_or(|last_id| last_id >= self.after);
            return reaches_caller && self.splitter.holds_only_comments();
        }
        self.events > self.repeated_events && self.remainder_bytes() == 0
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
