//! Estimate of how long a request waits for a decode slot, from the length of
//! this entry's queue and the intervals at which its requests took slots.

use std::time::Duration;

/// Factor on the mean wait, so that few requests are admitted that have to be
/// refused later.
const WAIT_SAFETY_FACTOR: f64 = 1.6;
/// Weight of a new sample in the moving average of the interval.
const SLOT_INTERVAL_SMOOTHING: f64 = 0.1;
/// Longest interval that is sampled; longer ones count as this.
const MAX_SLOT_INTERVAL: Duration = Duration::from_secs(2);

/// Estimate for the queue of one entry in front of one decode pool.
#[derive(Debug, Clone, Default)]
pub struct SlotWaitEstimator {
    slot_interval_s: Option<f64>,
    last_taken_at: Option<Duration>,
}

impl SlotWaitEstimator {
    /// Records that a waiting request took a slot, while `waiting` others still
    /// wait.
    pub fn record_slot_taken(&mut self, now: Duration, waiting: usize) {
        if let Some(last) = self.last_taken_at {
            let slot_interval_s = now.saturating_sub(last).min(MAX_SLOT_INTERVAL).as_secs_f64();
            let estimate_s = self.slot_interval_s.unwrap_or(slot_interval_s);
            self.slot_interval_s =
                Some(estimate_s + SLOT_INTERVAL_SMOOTHING * (slot_interval_s - estimate_s));
        }
        // An interval counts only while requests wait: otherwise the time until
        // the next slot is taken says nothing about the pool.
        self.last_taken_at = (waiting > 0).then_some(now);
    }

    /// Predicted wait of a request behind `waiting` others; zero before the
    /// first sample.
    pub fn expected_wait(&self, waiting: usize) -> Duration {
        let slot_interval_s = self.slot_interval_s.unwrap_or_default();
        Duration::from_secs_f64(slot_interval_s * waiting as f64 * WAIT_SAFETY_FACTOR)
    }
}
