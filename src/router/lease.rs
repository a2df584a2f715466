//! Lease of the entry that gives role orders to engines.
//!
//! The entries are the members of a group in the platform's store, which
//! assigns the lease to one of them. The holder counts the time to live from
//! before it sent its renewal, so that it stops before the store assigns the
//! lease to another member. A new holder first waits until the previous one must
//! have stopped giving orders. The fencing token is the store's generation of
//! the group, which grows with each change of its members.

use std::time::Duration;

/// Part of its last share of rate limits that a member uses while it cannot renew it.
const LAPSED_SHARE_PART: f64 = 0.5;

/// Durations that govern the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time after which the store drops a member that does not renew.
    pub ttl: Duration,
    /// Pause between two renewals.
    pub renewal_interval: Duration,
    /// How long a new holder waits before its first order, so that the previous
    /// one has stopped.
    pub takeover_delay: Duration,
    /// Time before the end of the lease in which no order is started any more.
    pub safety_margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_millis(4_000),
            renewal_interval: Duration::from_millis(1_000),
            takeover_delay: Duration::from_millis(3_500),
            safety_margin: Duration::from_millis(1_000),
        }
    }
}

/// Response of the store to a renewal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RenewalResponse {
    /// Generation of the group, which grows with each change of its members.
    pub generation: u64,
    /// True if this member holds the lease.
    pub holds: bool,
    /// This member's share of the retry budgets, from 0 to 1: the share of the
    /// partitions that the store assigned to it. The shares of all members add
    /// up to 1.
    pub share: f64,
}

/// State of the lease, as one entry knows it.
#[derive(Debug, Clone)]
pub struct Lease {
    settings: LeaseSettings,
    generation: u64,
    /// Since when the lease has been held without interruption; `None` if it is
    /// not held.
    held_since: Option<Duration>,
    /// End of the lease, if it is held.
    valid_until: Duration,
    share: f64,
    /// End of the validity of the share.
    share_until: Duration,
}

impl Lease {
    /// Creates a lease that is not held.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            generation: 0,
            held_since: None,
            valid_until: Duration::ZERO,
            share: 0.0,
            share_until: Duration::ZERO,
        }
    }

    /// Durations that govern the lease.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// Newest generation that the store reported; 0 before the first response.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Records the response to a renewal that was sent at `requested_at`.
    /// Returns true if this member thereby won or lost the lease.
    pub fn record_renewal(
        &mut self,
        requested_at: Duration,
        now: Duration,
        response: RenewalResponse,
    ) -> bool {
        let held = self.held_since.is_some();
        let expired = requested_at >= self.valid_until;
        self.generation = self.generation.max(response.generation);
        self.share = response.share;
        self.share_until = requested_at + self.settings.ttl;
        if !response.holds {
            self.held_since = None;
            return held;
        }
        if !held || expired {
            self.held_since = Some(now);
        }
        self.valid_until = requested_at + self.settings.ttl;
        !held
    }

    /// This member's share of the retry budgets, from 0 to 1; `None` if it was
    /// not renewed in time.
    pub fn share(&self, now: Duration) -> Option<f64> {
        (now < self.share_until).then_some(self.share)
    }

    /// This member's share of the rate limits of upstreams, from 0 to 1; `None` before
    /// the store's first response. If it was not renewed in time, it is a part of the
    /// last one: the store may have assigned it to other members, but it assigns nothing
    /// while it is down.
    pub fn rate_limit_share(&self, now: Duration) -> Option<f64> {
        let known = self.generation > 0;
        let lapsed = self.share * LAPSED_SHARE_PART;
        known.then(|| self.share(now).unwrap_or(lapsed))
    }

    /// Fencing token for orders; `None` if no order may be given now: the lease
    /// is not held, was won too recently, or is about to expire.
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        let takeover_done = self.held_since? + self.settings.takeover_delay <= now;
        let valid = now + self.settings.safety_margin < self.valid_until;
        (takeover_done && valid).then_some(self.generation)
    }
}
