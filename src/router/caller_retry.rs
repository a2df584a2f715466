//! Recognizes the requests of callers that retry after a refusal.
//!
//! Such a caller has less time left than one that asks for the first time. How much
//! time callers have at first is learned for each route, because it may be shorter
//! than the route's timeout.

use std::time::Duration;

use crate::router::plain::RETRY_AFTER_DIVISOR;

/// Share by which the longest caller timeout of a route approaches the timeout
/// of a request that is shorter.
const FORGETTING_SHARE: f64 = 0.01;

/// Longest caller timeout of a route, as far as recent requests show.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LongestCallerTimeout {
    timeout: Duration,
}

impl LongestCallerTimeout {
    /// Records the time that the caller of a request has left. Returns true if so
    /// much is missing that the caller has probably waited for a `Retry-After` of
    /// `retry_after` or of the largest share of its time. The timeouts of callers
    /// differ, so less does not show a retry.
    pub fn record(&mut self, remaining: Duration, retry_after: Duration) -> bool {
        let missing = self.timeout.saturating_sub(remaining);
        let shortest_wait = retry_after.min(self.timeout / RETRY_AFTER_DIVISOR);
        self.timeout = self.timeout.max(remaining) - missing.mul_f64(FORGETTING_SHARE);
        !missing.is_zero() && missing >= shortest_wait
    }
}
