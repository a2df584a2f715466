//! Retry budget of an entry that connects to upstreams directly: limits what
//! arrives at a service beyond the first arrival of each request. An entry with
//! agents uses the budget in [`crate::policy::retry`] instead.
//!
//! The limit holds over all entries together, in any window, without what they
//! would have to tell each other: each keeps to a part of the ratio over its own
//! requests and to its share of the fixed allowance ([`crate::router::allowance`]).
//! A send is held in the budget before it is made and counts from then on, as
//! long as it may turn out to be an extra one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::router::lease::LeaseSettings;

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
    /// Time for which an entry must have had a share of the allowance before it uses it: what
    /// the share's former holder sent, or this entry before a restart, is beyond the window
    /// then. See [`settling_time`].
    pub share_settling: Duration,
}

/// Longest time from a send until it arrives.
const ARRIVAL_DELAY: Duration = Duration::from_secs(1);
/// Part of the ratio that an entry uses. Its own window may end up to a window later than that
/// of another entry, so the requests of all entries lie in two windows.
const USED_RATIO_PART: f64 = 0.5;

/// Time after which a share of the allowance may be used, for this window and this time to live
/// of shares: its former holder may not know for so long that it has lost it.
pub fn settling_time(window: Duration, share_ttl: Duration) -> Duration {
    window + ARRIVAL_DELAY + share_ttl
}

impl Default for BudgetLimits {
    fn default() -> Self {
        let window = Duration::from_secs(10);
        let share_settling = settling_time(window, LeaseSettings::default().ttl);
        Self { ratio: 0.2, window, allowance: 50.0, share_settling }
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
    /// Creates a budget without requests, sends or a share of the allowance.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            share: 0.0,
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
        let ratio = self.limits.ratio * USED_RATIO_PART;
        let allowance = self.limits.allowance * self.share;
        BudgetBalance {
            requests: self.requests.len(),
            spent: self.extra_sends.len(),
            held: self.held,
            limit: ratio * self.requests.len() as f64 + allowance,
            share: self.share,
        }
    }

    /// Drops requests and sends that no window holds together with a send that is made now.
    fn expire(&mut self, now: Duration) {
        let window = self.limits.window;
        expire(&mut self.requests, now, window.saturating_sub(ARRIVAL_DELAY));
        expire(&mut self.extra_sends, now, window + ARRIVAL_DELAY);
    }
}

fn expire(times: &mut VecDeque<Duration>, now: Duration, age: Duration) {
    while times.front().is_some_and(|at| *at + age <= now) {
        times.pop_front();
    }
}
