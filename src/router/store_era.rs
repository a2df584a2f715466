//! Eras of the platform's store.
//!
//! The store may come back from a copy of itself that is some seconds old. It then has
//! lost what was written since, and gives out offsets and generations again. It says so
//! with the number of its era, which rises by one each time. In a new era an entry reads
//! the feeds in full, joins its group anew and appends again the origins of its streams;
//! until the group has answered, it uses small shares.

use std::time::Duration;

use crate::router::Router;
use crate::router::lease::lapsed_share;

/// Number of an era of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

/// What a response of the store says about its era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEraNotice {
    /// The store is in this era.
    Named(StoreEra),
    /// The era cannot be parsed; it is ignored.
    Invalid,
}

/// Outcome of a notice about the era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreEraChange {
    /// The era is the one that was known, or the first one.
    None,
    /// The store came back from an older copy.
    Risen {
        /// Era before.
        before: StoreEra,
        /// Era from now on.
        after: StoreEra,
        /// Number of origins of streams to append again.
        origins: usize,
    },
    /// The era is lower than the known one, which stays.
    Fell {
        /// Era that stays in force.
        known: StoreEra,
        /// Era that the response named.
        named: StoreEra,
    },
}

/// Sets a known era. Returns true if it was known before and is another one now.
pub(super) fn is_other_era(known: &mut Option<StoreEra>, era: Option<StoreEra>) -> bool {
    let before = std::mem::replace(known, era);
    before.is_some() && before != era
}

impl Router {
    /// Era of the store; `None` before a response has named one.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.store_era
    }

    /// Records the era that a response of the store named. If it has risen, what rests on
    /// the previous era starts over.
    pub fn record_store_era(&mut self, now: Duration, named: StoreEra) -> StoreEraChange {
        let Some(known) = self.store_era else {
            self.store_era = Some(named);
            return StoreEraChange::None;
        };
        self.key_certainty.record_era(now, named < known);
        if named < known {
            return StoreEraChange::Fell { known, named };
        }
        if named == known {
            return StoreEraChange::None;
        }
        self.store_era = Some(named);
        self.instance_list.start_over(now);
        self.record_list_gap();
        self.reduce_shares(now);
        self.quotas.pause_claims(now);
        self.poison.report_again(now);
        let origins = self.stream_origins.resend_own(now);
        StoreEraChange::Risen { before: known, after: named, origins }
    }

    /// Uses shares that no assignment of the new era to other entries can exceed by much.
    fn reduce_shares(&mut self, now: Duration) {
        self.budgets.lapse_share(now);
        self.set_rate_limit_share(now, lapsed_share(self.rate_limit_share));
    }
}
