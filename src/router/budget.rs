//! How many sends beyond the first of each request a service may get.
//!
//! Each entry keeps to the ratio over its own requests and to its share of the
//! fixed allowance, so the sum keeps to the whole. The platform's store deals
//! the shares; without it an entry keeps to a small one.

use std::collections::VecDeque;
use std::time::Duration;

/// Limits of one service, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra sends allowed beside the ratio, for all entries together.
    pub allowance: f64,
}

/// Share of the budget that is spent at will. The rest is for sends that turn
/// out to be extra ones, and for what a restart forgets.
const SPENDABLE_SHARE: f64 = 0.8;
/// Share of the allowance of an entry that was dealt none.
pub const FALLBACK_SHARE: f64 = 1.0 / 64.0;

impl Default for BudgetLimits {
    fn default() -> Self {
        Self { ratio: 0.2, window: Duration::from_secs(10), allowance: 50.0 }
    }
}

/// What one entry sent to one service within the window.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    limits: BudgetLimits,
    share: f64,
    requests: VecDeque<Duration>,
    extra_sends: VecDeque<Duration>,
}

impl RetryWindow {
    /// Nothing sent yet.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            share: FALLBACK_SHARE,
            requests: VecDeque::new(),
            extra_sends: VecDeque::new(),
        }
    }

    /// This entry's share of the allowance, from 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// A request for the service arrived.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes extra sends out of the budget. False, and none taken, if fewer
    /// are left.
    pub fn try_spend(&mut self, now: Duration, sends: usize) -> bool {
        let allowed = self.allows(now, sends);
        if allowed {
            self.extra_sends.extend(std::iter::repeat_n(now, sends));
        }
        allowed
    }

    /// Counts a send that turned out to be an extra one after it was made.
    pub fn charge(&mut self, now: Duration) {
        self.extra_sends.push_back(now);
    }

    /// True if so many extra sends are left.
    pub fn allows(&mut self, now: Duration, sends: usize) -> bool {
        self.expire(now);
        let allowance = self.limits.allowance * self.share;
        let allowed = self.limits.ratio * self.requests.len() as f64 + allowance;
        (self.extra_sends.len() + sends) as f64 <= allowed * SPENDABLE_SHARE
    }

    fn expire(&mut self, now: Duration) {
        let expired = |sent: &Duration| *sent + self.limits.window <= now;
        for sends in [&mut self.requests, &mut self.extra_sends] {
            while sends.front().is_some_and(expired) {
                sends.pop_front();
            }
        }
    }
}
