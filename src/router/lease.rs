//! The lease of the entry that gives orders to engines.
//!
//! The platform's store deals the lease to one member of a group. The holder
//! counts its time from before it asked, so that it stops before the store
//! deals the lease to another; a new holder lets the time of the one before it
//! run out first. The fencing token is the store's generation: it grows with
//! each change of the group.

use std::time::Duration;

/// Times of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long the store keeps a member that does not ask.
    pub ttl: Duration,
    /// Pause between two renewals.
    pub renewal_interval: Duration,
    /// How long a new holder waits before its first order, for the one before
    /// it to have stopped.
    pub takeover_delay: Duration,
    /// Left of the lease in which nothing is begun any more.
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

/// What the store said to a renewal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RenewalResponse {
    /// The store's generation of the group.
    pub generation: u64,
    /// True if the lease belongs to this member.
    pub holds: bool,
    /// Share of what the store deals out that this member got, from 0 to 1.
    /// The shares of all members sum to 1.
    pub share: f64,
}

/// The lease as one entry knows it.
#[derive(Debug, Clone)]
pub struct Lease {
    settings: LeaseSettings,
    generation: u64,
    /// Since when it has been held without a break.
    held_since: Option<Duration>,
    valid_until: Duration,
    share: f64,
    share_until: Duration,
}

impl Lease {
    /// Not held.
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

    /// Times of the lease.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// The newest generation that the store named; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The store answered a renewal that was sent at `requested_at`. True if the lease
    /// was won or lost by that.
    pub fn record_renewal(
        &mut self,
        requested_at: Duration,
        now: Duration,
        response: RenewalResponse,
    ) -> bool {
        let held = self.held_since.is_some();
        let lapsed = requested_at >= self.valid_until;
        self.generation = self.generation.max(response.generation);
        self.share = response.share;
        self.share_until = requested_at + self.settings.ttl;
        if !response.holds {
            self.held_since = None;
            return held;
        }
        if !held || lapsed {
            self.held_since = Some(now);
        }
        self.valid_until = requested_at + self.settings.ttl;
        !held
    }

    /// This member's share of what the store deals out, unless it has run out.
    pub fn share(&self, now: Duration) -> Option<f64> {
        (now < self.share_until).then_some(self.share)
    }

    /// The fencing token, if orders may be given now.
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        let takeover_done = self.held_since? + self.settings.takeover_delay <= now;
        let valid = now + self.settings.safety_margin < self.valid_until;
        (takeover_done && valid).then_some(self.generation)
    }
}
