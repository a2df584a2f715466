//! Timers of the requests in flight, at most one pending for each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::entry::request::RequestKey;

/// Timers of all requests, ordered by time. Setting a timer again leaves a stale
/// element here; the core recognizes it by the request's own `timer` field.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Duration, RequestKey)>>,
}

impl Timers {
    pub(super) fn push(&mut self, at: Duration, key: RequestKey) {
        self.heap.push(Reverse((at, key)));
    }

    /// Removes the earliest timer that is due at `now`, stale or not.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<RequestKey> {
        let due = self.heap.peek().is_some_and(|Reverse((at, _))| *at <= now);
        if !due {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }

    /// Time of the earliest timer, stale or not.
    pub(super) fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
