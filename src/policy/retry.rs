//! Retry budget of an entry with agents, and jitter of retry delays.
//!
//! An entry that connects to upstreams directly uses the budget in
//! [`crate::router::budget`].

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

const PERCENT: f64 = 100.0;
/// Largest balance of the budget, and its initial one: enough to retry the
/// requests that the loss of one zone leaves behind.
const MAX_RETRIES: f64 = 50.0;

/// Retry budget of one pool: the number of retries that may still be made. Each
/// success earns a share of a retry.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { retries: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// Records a successful request, which earns `percent` percent of a retry.
    pub fn record_success(&mut self, percent: u32) {
        self.retries = (self.retries + f64::from(percent) / PERCENT).min(MAX_RETRIES);
    }

    /// True if the budget has a retry left.
    pub fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Takes one retry out of the budget. Returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.allows_retry();
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}

/// Returns `wait` prolonged at random by up to half of it, so that callers do
/// not retry all at once.
pub fn with_jitter(wait: Duration, rng: &mut impl Rng) -> Duration {
    wait + wait.mul_f64(rng.random_range(0.0..0.5))
}
