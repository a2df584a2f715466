//! Queue of the requests of one service that wait for a reservation at a decode
//! engine.
//!
//! First come, first served, except that requests that engines have already
//! worked on go first. Only the request at the head asks the engines, so that
//! those behind it cause no load while they wait.

use std::collections::VecDeque;
use std::time::Duration;

use crate::policy::slot_wait::SlotWaitEstimator;
use crate::router::request::RequestKey;

/// Queue of one service, with an estimate of the wait in it.
#[derive(Debug, Clone, Default)]
pub struct ReservationQueue {
    waiting: VecDeque<RequestKey>,
    slot_wait: SlotWaitEstimator,
}

impl ReservationQueue {
    /// Adds a request at the end, unless it is already in the queue.
    pub fn push_back(&mut self, key: RequestKey) {
        if !self.waiting.contains(&key) {
            self.waiting.push_back(key);
        }
    }

    /// Adds a request at the head, or moves it there, because engines have
    /// already worked on it.
    pub fn push_front(&mut self, key: RequestKey) {
        self.waiting.retain(|&other| other != key);
        self.waiting.push_front(key);
    }

    /// Records that a request got a reservation, before it is removed from the
    /// queue. Updates the estimated wait.
    pub fn record_reservation(&mut self, now: Duration, key: RequestKey) {
        let others = self.waiting.iter().filter(|&&other| other != key).count();
        self.slot_wait.record_slot_taken(now, others);
    }

    /// Expected wait of a request that is added at the end now.
    pub fn expected_wait(&self) -> Duration {
        self.slot_wait.expected_wait(self.waiting.len())
    }

    /// Removes a request. Returns the new head if the request was the head.
    pub fn remove(&mut self, key: RequestKey) -> Option<RequestKey> {
        let was_head = self.is_head(key);
        self.waiting.retain(|&other| other != key);
        if was_head { self.waiting.front().copied() } else { None }
    }

    /// True if the request is at the head and may ask for a reservation.
    pub fn is_head(&self, key: RequestKey) -> bool {
        self.waiting.front() == Some(&key)
    }

    /// Returns the request at the head, if any.
    pub fn head(&self) -> Option<RequestKey> {
        self.waiting.front().copied()
    }

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
