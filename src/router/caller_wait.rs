//! Time that callers have already waited when a request arrives.
//!
//! A caller that retries after a refusal has less time left than one that asks for
//! the first time. How much time callers have at first is learned for each route,
//! because it may be shorter than the route's timeout.

use std::time::Duration;

/// Share by which the longest caller timeout of a route approaches the timeout
/// of a request that is shorter.
const FORGETTING_SHARE: f64 = 0.01;

/// Longest caller timeout of a route, as far as recent requests show.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LongestCallerTimeout {
    timeout: Duration,
}

impl LongestCallerTimeout {
    /// Records the time that the caller of a request has left. Returns the time
    /// that it has probably waited in earlier attempts.
    pub fn record(&mut self, remaining: Duration) -> Duration {
        let earlier_wait = self.timeout.saturating_sub(remaining);
        self.timeout = self.timeout.max(remaining) - earlier_wait.mul_f64(FORGETTING_SHARE);
        earlier_wait
    }
}
