//! Ejection of upstreams that fail again and again, with a cap, and return.

use std::time::Duration;

use crate::clock::from_ms;
use crate::schema::manifest::Policy;

const PERCENT: usize = 100;
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// When an upstream is ejected and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Failures in a row that eject.
    pub failures: u32,
    /// Length of the first ejection; doubled with each one that follows.
    pub ejection: Duration,
    /// Largest share of a pool that may be ejected, in percent.
    pub cap_percent: usize,
}

impl From<&Policy> for Limits {
    fn from(policy: &Policy) -> Self {
        Self {
            failures: policy.ejection_failures,
            ejection: from_ms(policy.ejection_ms),
            cap_percent: policy.ejection_cap_percent as usize,
        }
    }
}

impl Limits {
    /// True if one more of `total` upstreams may be ejected.
    pub fn may_eject(&self, ejected: usize, total: usize) -> bool {
        (ejected + 1) * PERCENT <= total * self.cap_percent
    }
}

/// Failures of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// True while no work may be sent.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// A request ended well.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// A request failed. After an ejection a single failure ejects again.
    pub fn record_failure(&mut self, now: Duration, limits: &Limits, may_eject: bool) {
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        let on_probation = self.ejections > 0;
        if may_eject && (on_probation || self.failures >= limits.failures) {
            let doublings = self.ejections.min(MAX_BACKOFF_DOUBLINGS);
            self.ejected_until = Some(now + limits.ejection * 2_u32.pow(doublings));
            self.ejections += 1;
            self.failures = 0;
        }
    }
}
