//! Retry budget and backoff.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

const PERCENT: f64 = 100.0;
/// Room for the requests that one lost zone leaves behind.
const MAX_TOKENS: f64 = 50.0;

/// Retries a pool may still spend: a share of its recent successes.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// A request ended well; `percent` is the share of a retry that it earns.
    pub fn record_success(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / PERCENT).min(MAX_TOKENS);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// `wait` spread by up to half, so that callers do not come back together.
pub fn with_jitter(wait: Duration, rng: &mut impl Rng) -> Duration {
    wait + wait.mul_f64(rng.random_range(0.0..0.5))
}
