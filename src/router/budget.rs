//! Retry budget of an entry that connects to upstreams directly: limits what
//! arrives at a service beyond the first arrival of each request. An entry with
//! agents uses the budget in [`crate::policy::retry`] instead.
//!
//! Each entry keeps to the ratio over its own requests and to its share of the
//! fixed allowance, so that all entries together keep to the total. The
//! platform's store assigns the shares; without one, an entry uses a small
//! share.
//! A send is held in the budget before it is made and counts from then on, as
//! long as it may turn out to be an extra one.

use std::collections::VecDeque;
use std::time::Duration;

/// Limits on the extra sends to one service, for all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Length of the sliding window in which requests and sends count.
    pub window: Duration,
    /// Extra sends allowed within the window on top of the ratio, for all
    /// entries together.
    pub allowance: f64,
}

/// Share of the budget that may be spent in advance. The rest covers sends that a restarted
/// entry no longer knows of.
const SPENDABLE_SHARE: f64 = 0.8;
/// Share of the allowance that an entry uses while the store has assigned it
/// none. An entry also uses it if the store has assigned a smaller one.
pub const FALLBACK_SHARE: f64 = 1.0 / 64.0;

impl Default for BudgetLimits {
    fn default() -> Self {
        Self { ratio: 0.2, window: Duration::from_secs(10), allowance: 50.0 }
    }
}

/// State of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBalance {
    /// Requests within the window.
    pub requests: usize,
    /// Extra sends within the window.
    pub spent: usize,
    /// Sends that may turn out to be extra ones.
    pub held: usize,
    /// Extra sends that may be spent or held.
    pub limit: f64,
    /// This entry's share of the allowance, from 0 to 1.
    pub share: f64,
}

/// Retry budget of one entry for one service.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    limits: BudgetLimits,
    share: f64,
    /// Arrival times of the requests, the oldest first.
    requests: VecDeque<Duration>,
    /// Times of the extra sends, the oldest first.
    extra_sends: VecDeque<Duration>,
    /// Sends that are held.
    held: usize,
}

impl WindowedRetryBudget {
    /// Creates a budget without requests or sends, whose share of the allowance
    /// is [`FALLBACK_SHARE`].
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            share: FALLBACK_SHARE,
            requests: VecDeque::new(),
            extra_sends: VecDeque::new(),
            held: 0,
        }
    }

    /// Sets this entry's share of the allowance, from 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records that a request for the service arrived.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Holds a number of sends that may become extra ones. Returns false, and
    /// holds none, if fewer are left. They are held until [`Self::spend_held`] or
    /// [`Self::release`].
    pub fn try_hold(&mut self, now: Duration, sends: usize) -> bool {
        self.try_hold_within(now, sends, 1.0)
    }

    /// The same, but within a part of the limit, from 0 to 1.
    pub fn try_hold_within(&mut self, now: Duration, sends: usize, part: f64) -> bool {
        let balance = self.balance(now);
        let allowed = (balance.spent + balance.held + sends) as f64 <= balance.limit * part;
        if allowed {
            self.held += sends;
        }
        allowed
    }

    /// Records that held sends are extra ones, made by `now`.
    pub fn spend_held(&mut self, now: Duration, sends: usize) {
        self.release(sends);
        self.extra_sends.extend(std::iter::repeat_n(now, sends));
    }

    /// Gives back held sends, which were not made or are no extra ones.
    pub fn release(&mut self, sends: usize) {
        self.held = self.held.saturating_sub(sends);
    }

    /// State of the budget at `now`.
    pub fn balance(&mut self, now: Duration) -> BudgetBalance {
        self.expire(now);
        let allowance = self.limits.allowance * self.share;
        let allowed = self.limits.ratio * self.requests.len() as f64 + allowance;
        BudgetBalance {
            requests: self.requests.len(),
            spent: self.extra_sends.len(),
            held: self.held,
            limit: allowed * SPENDABLE_SHARE,
            share: self.share,
        }
    }

    fn expire(&mut self, now: Duration) {
        let expired = |at: &Duration| *at + self.limits.window <= now;
        for times in [&mut self.requests, &mut self.extra_sends] {
            while times.front().is_some_and(expired) {
                times.pop_front();
            }
        }
    }
}
