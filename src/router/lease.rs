//! Lease of the entry that gives role orders to engines.
//!
//! The entries are the members of a group in the platform's store, which
//! assigns the lease to one of them. The holder counts the time to live from
//! before it sent its renewal, so that it stops before the store assigns the
//! lease to another member. A new holder first waits until the previous one must
//! have stopped giving orders.
//!
//! The fencing token is made of the store's era and its generation of the group, which
//! grows with each change of the members: when the store comes back from an older copy,
//! generations are given out again, but the era is higher.

use std::time::Duration;

use crate::router::allowance::AssignedShare;
use crate::router::store_era::StoreEra;
use crate::router::store_era::is_other_era;

/// Part of its last share of rate limits that a member uses while it cannot renew it.
const LAPSED_SHARE_PART: f64 = 0.5;
/// Difference of the fencing tokens of two eras, above all generations of one era.
const GENERATIONS_PER_ERA: u64 = 1_000_000;

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
    /// Era of the store that assigned the lease; `None` if not known.
    era: Option<StoreEra>,
    /// End of all leases that the store assigned in earlier eras.
    earlier_leases_until: Duration,
    generation: u64,
    /// Since when the lease has been held without interruption; `None` if it is
    /// not held.
    held_since: Option<Duration>,
    /// End of the lease, if it is held.
    valid_until: Duration,
    /// Last share that the store assigned; `None` before its first response.
    share: Option<f64>,
    /// End of the validity of the share.
    share_until: Duration,
}

/// Share of rate limits that a member uses whose share was `share`, while it cannot renew
/// it: the store may have assigned it to other members, but it assigns nothing while it is
/// down.
pub(super) fn lapsed_share(share: f64) -> f64 {
    share * LAPSED_SHARE_PART
}

impl Lease {
    /// Creates a lease that is not held.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            era: None,
            earlier_leases_until: Duration::ZERO,
            generation: 0,
            held_since: None,
            valid_until: Duration::ZERO,
            share: None,
            share_until: Duration::ZERO,
        }
    }

    /// Durations that govern the lease.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// Newest generation that the store reported in its era; 0 before the first response.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Era of the store that assigned the lease; `None` if not known.
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Gives up the lease and the membership if the store is in another era than the one
    /// that assigned them: it may have assigned the lease to another member. Returns true
    /// if so: a response to the last renewal does not count. No order is given until all
    /// leases of the earlier era have ended.
    pub fn enter_era(&mut self, now: Duration, era: Option<StoreEra>) -> bool {
        let changed = is_other_era(&mut self.era, era);
        if changed {
            self.generation = 0;
            self.held_since = None;
            self.share_until = self.share_until.min(now);
            self.earlier_leases_until = now + self.settings.ttl;
        }
        changed
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
        self.share = Some(response.share);
        self.share_until = requested_at + self.settings.ttl;
        if !response.holds {
            self.held_since = None;
            return held;
        }
        if !held || expired {
            self.held_since = Some(now.max(self.earlier_leases_until));
        }
        self.valid_until = requested_at + self.settings.ttl;
        !held
    }

    /// This member's share of the retry budgets, from 0 to 1; `None` if it was
    /// not renewed in time.
    pub fn share(&self, now: Duration) -> Option<f64> {
        self.share.filter(|_| now < self.share_until)
    }

    /// Last share that the store assigned to this member, with the end of its validity; `None`
    /// before the store's first response.
    pub fn assigned_share(&self) -> Option<AssignedShare> {
        self.share.map(|share| AssignedShare { share, valid_until: self.share_until })
    }

    /// This member's share of the rate limits of upstreams, from 0 to 1; `None` before
    /// the store's first response. If it was not renewed in time, it is a part of the
    /// last one.
    pub fn rate_limit_share(&self, now: Duration) -> Option<f64> {
        self.share(now).or_else(|| self.share.map(lapsed_share))
    }

    /// Fencing token of the era and generation, whether or not an order may be given;
    /// `None` if the generation is too high to have one.
    pub fn token(&self) -> Option<u64> {
        let era = self.era.map_or(0, |era| era.0);
        let first_of_era = era.checked_mul(GENERATIONS_PER_ERA)?;
        (self.generation < GENERATIONS_PER_ERA).then_some(first_of_era + self.generation)
    }

    /// End of the time in which orders may be given; `None` if none may be given now.
    pub fn orders_until(&self, now: Duration) -> Option<Duration> {
        self.fencing_token(now)
            .map(|_| self.valid_until.saturating_sub(self.settings.safety_margin))
    }

    /// Fencing token for orders; `None` if no order may be given now: the lease
    /// is not held, was won too recently, or is about to expire.
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        let takeover_done = self.held_since? + self.settings.takeover_delay <= now;
        let valid = now + self.settings.safety_margin < self.valid_until;
        self.token().filter(|_| takeover_done && valid)
    }
}
