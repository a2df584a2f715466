//! Queue of the requests of one service that wait for a reservation at a decode
//! engine.
//!
//! Requests that engines have already worked on go first, then those whose
//! response can still start within the latency target, then the late ones, whose
//! callers retry after a refusal; each first come, first served. Only the request
//! at the head asks the engines, so that those behind it cause no load while they
//! wait.

use std::collections::VecDeque;
use std::time::Duration;

use crate::policy::slot_wait::SlotWaitEstimator;
use crate::router::request::RequestKey;

/// Queue of one service, with an estimate of the wait in it.
#[derive(Debug, Clone, Default)]
pub struct ReservationQueue {
    waiting: VecDeque<RequestKey>,
    /// Number of late requests, which are at the end of `waiting`.
    late: usize,
    slot_wait: SlotWaitEstimator,
}

impl ReservationQueue {
    /// Adds a request behind those that are on time, unless it is already in the
    /// queue.
    pub fn push_on_time(&mut self, key: RequestKey) {
        if !self.waiting.contains(&key) {
            self.waiting.insert(self.on_time(), key);
        }
    }

    /// Adds a late request at the end, unless it is already in the queue.
    pub fn push_late(&mut self, key: RequestKey) {
        if !self.waiting.contains(&key) {
            self.waiting.push_back(key);
            self.late += 1;
        }
    }

    /// Adds a request at the head, or moves it there, because engines have
    /// already worked on it.
    pub fn push_front(&mut self, key: RequestKey) {
        self.take_out(key);
        self.waiting.push_front(key);
    }

    /// Records that a request got a reservation, before it is removed from the
    /// queue. Updates the estimated wait.
    pub fn record_reservation(&mut self, now: Duration, key: RequestKey) {
        let others = self.waiting.iter().filter(|&&other| other != key).count();
        self.slot_wait.record_slot_taken(now, others);
    }

    /// Expected wait of a request on time that is added now.
    pub fn expected_wait(&self) -> Duration {
        self.slot_wait.expected_wait(self.on_time())
    }

    /// Expected wait of a late request that is added now.
    pub fn expected_late_wait(&self) -> Duration {
        self.slot_wait.expected_wait(self.waiting.len())
    }

    /// Removes a request. Returns the new head if the request was the head.
    pub fn remove(&mut self, key: RequestKey) -> Option<RequestKey> {
        let was_head = self.is_head(key);
        self.take_out(key);
        if was_head { self.waiting.front().copied() } else { None }
    }

    /// Number of requests that are not late.
    fn on_time(&self) -> usize {
        self.waiting.len() - self.late
    }

    fn take_out(&mut self, key: RequestKey) {
        let Some(index) = self.waiting.iter().position(|&other| other == key) else { return };
        if index >= self.on_time() {
            self.late -= 1;
        }
        self.waiting.remove(index);
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
