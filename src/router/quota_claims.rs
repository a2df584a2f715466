//! Claims of entries on the common pool of a quota.
//!
//! Claims are appended to a log of the store, whose order decides: a claim is granted if the
//! pool has room for it besides all earlier ones that have not expired. The entry that made it
//! finds that out when it reads the log up to its own claim; no other entry needs to know.
//! Claims that were not granted count as well until they expire, which leaves some of the pool
//! unused but never too little.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

/// Time after a claim in which its units may be admitted.
pub(super) const USE_TIME: Duration = Duration::from_millis(2_000);

/// Identifies one incarnation of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryIncarnation(pub u64);

/// Identifies a batch of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimId {
    /// Entry that claims.
    pub entry: EntryIncarnation,
    /// Number of the batch at this entry.
    pub number: u64,
}

/// Claims of one entry, in one record of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimBatch {
    /// Identifies the batch.
    pub id: ClaimId,
    /// Claims, each on the pool of another account.
    pub claims: Vec<QuotaClaim>,
}

/// Claim on the pool of one account.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaClaim {
    /// Name of the account.
    pub account: CompactString,
    /// Units that are claimed.
    pub units: f64,
}

/// Claim that was read from the log.
#[derive(Debug, Clone, Copy)]
struct ReadClaim {
    read_at: Duration,
    id: ClaimId,
    units: f64,
}

/// Claims on the pool of one account that have not expired, in the order of the log.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolClaims {
    claims: VecDeque<ReadClaim>,
}

impl PoolClaims {
    /// Records a claim that was read now. One that was read before keeps its age.
    pub(super) fn record(&mut self, now: Duration, id: ClaimId, units: f64) {
        if !self.claims.iter().any(|claim| claim.id == id) {
            self.claims.push_back(ReadClaim { read_at: now, id, units });
        }
    }

    /// Units of all claims.
    pub(super) fn units(&self) -> f64 {
        self.claims.iter().map(|claim| claim.units).sum()
    }

    /// True if there are no claims.
    pub(super) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Forgets the claims that were read at least `lifetime` ago.
    pub(super) fn expire(&mut self, now: Duration, lifetime: Duration) {
        while self.claims.front().is_some_and(|claim| claim.read_at + lifetime <= now) {
            self.claims.pop_front();
        }
    }

    /// Returns when the claims will have at most `units`, if no others are made.
    pub(super) fn falls_to(&self, units: f64, lifetime: Duration) -> Option<Duration> {
        let mut left = self.units();
        for claim in &self.claims {
            left -= claim.units;
            if left <= units {
                return Some(claim.read_at + lifetime);
            }
        }
        None
    }
}

/// Units that an entry was granted.
#[derive(Debug, Clone, Copy)]
struct Grant {
    units: f64,
    use_until: Duration,
}

/// Units that an entry was granted and has not used.
#[derive(Debug, Clone, Default)]
pub(super) struct Grants {
    grants: VecDeque<Grant>,
}

impl Grants {
    /// Adds units that may be used until `use_until`.
    pub(super) fn add(&mut self, units: f64, use_until: Duration) {
        self.grants.push_back(Grant { units, use_until });
    }

    /// Units that may be used now.
    pub(super) fn units(&mut self, now: Duration) -> f64 {
        self.grants.retain(|grant| now < grant.use_until);
        self.grants.iter().map(|grant| grant.units).sum()
    }

    /// Uses units, of the oldest grants first.
    pub(super) fn take(&mut self, units: f64) {
        let mut left = units;
        for grant in &mut self.grants {
            let taken = left.min(grant.units);
            grant.units -= taken;
            left -= taken;
        }
    }

    /// Returns units that were taken for a request that did not run.
    pub(super) fn give_back(&mut self, units: f64) {
        if let Some(grant) = self.grants.back_mut() {
            grant.units += units;
        }
    }
}
