//! Requests of one service that wait for memory at a decode engine.
//!
//! First come, first served, but what was begun goes before what is new. Only the
//! request at the head asks the engines, so that those behind it cost nothing
//! while they wait.

use std::collections::VecDeque;
use std::time::Duration;

use crate::policy::queue::SlotWaitEstimator;
use crate::router::request::RequestKey;

/// The queue of one service.
#[derive(Debug, Clone, Default)]
pub struct ReservationQueue {
    waiting: VecDeque<RequestKey>,
    slot_wait: SlotWaitEstimator,
}

impl ReservationQueue {
    /// Puts a request at the end, unless it waits already.
    pub fn push_back(&mut self, key: RequestKey) {
        if !self.waiting.contains(&key) {
            self.waiting.push_back(key);
        }
    }

    /// Puts a request before all others: work was done for it already.
    pub fn push_front(&mut self, key: RequestKey) {
        self.waiting.retain(|&other| other != key);
        self.waiting.push_front(key);
    }

    /// A request found room.
    pub fn record_reservation(&mut self, now: Duration, key: RequestKey) {
        let others = self.waiting.iter().filter(|&&other| other != key).count();
        self.slot_wait.record_slot_taken(now, others);
    }

    /// Expected wait of a request that joins now.
    pub fn expected_wait(&self) -> Duration {
        self.slot_wait.expected_wait(self.waiting.len())
    }

    /// Takes a request out. Returns the one that became the head by that.
    pub fn remove(&mut self, key: RequestKey) -> Option<RequestKey> {
        let was_head = self.is_head(key);
        self.waiting.retain(|&other| other != key);
        if was_head { self.waiting.front().copied() } else { None }
    }

    /// True if the request may ask for room.
    pub fn is_head(&self, key: RequestKey) -> bool {
        self.waiting.front() == Some(&key)
    }

    /// The request at the head.
    pub fn head(&self) -> Option<RequestKey> {
        self.waiting.front().copied()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
