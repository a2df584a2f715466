//! One timer for each request, in a heap.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::entry::request::RequestKey;

/// Timers of all requests. A timer that was moved leaves a stale element,
/// which the owner recognises by the request's own field.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Duration, RequestKey)>>,
}

impl Timers {
    pub(super) fn push(&mut self, at: Duration, key: RequestKey) {
        self.heap.push(Reverse((at, key)));
    }

    pub(super) fn pop_due(&mut self, now: Duration) -> Option<RequestKey> {
        let due = self.heap.peek().is_some_and(|Reverse((at, _))| *at <= now);
        if !due {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }

    pub(super) fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
