//! How long a request will wait for a decode slot, from what this entry has
//! seen itself: its own queue and how often a slot came free for it.

use std::time::Duration;

/// A wait is foretold longer than its mean, so that few who are taken up have
/// to be refused later.
const ALLOWANCE: f64 = 1.6;
const SMOOTHING: f64 = 0.1;
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// The queue of one entry before one decode pool.
#[derive(Debug, Clone, Default)]
pub struct SlotWaitEstimator {
    interval_s: Option<f64>,
    last_taken: Option<Duration>,
}

impl SlotWaitEstimator {
    /// A slot was taken by a request that waited; `waiting` others still do.
    pub fn record_slot_taken(&mut self, now: Duration, waiting: usize) {
        if let Some(last) = self.last_taken {
            let interval_s = now.saturating_sub(last).min(MAX_INTERVAL).as_secs_f64();
            let known = self.interval_s.unwrap_or(interval_s);
            self.interval_s = Some(known + SMOOTHING * (interval_s - known));
        }
        // An interval counts only while somebody waits: else the time until
        // the next slot is taken says nothing about the pool.
        self.last_taken = (waiting > 0).then_some(now);
    }

    /// Predicted wait behind `waiting` others.
    pub fn expected_wait(&self, waiting: usize) -> Duration {
        let interval_s = self.interval_s.unwrap_or_default();
        Duration::from_secs_f64(interval_s * waiting as f64 * ALLOWANCE)
    }
}
