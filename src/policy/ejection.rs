//! Outlier ejection: upstreams that fail repeatedly get no work for a time,
//! with a cap on how many of a pool are ejected at once.

use std::time::Duration;

use crate::clock::from_ms;
use crate::schema::manifest::Policy;

const PERCENT: usize = 100;
/// Largest number of times that the length of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// When an upstream is ejected, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionLimits {
    /// Number of consecutive failures that leads to an ejection.
    pub consecutive_failures: u32,
    /// Length of the first ejection; each one that follows directly is twice as
    /// long, up to a limit.
    pub base_ejection: Duration,
    /// Largest share of a pool that may be ejected at once, in percent.
    pub max_ejected_percent: usize,
}

impl From<&Policy> for EjectionLimits {
    fn from(policy: &Policy) -> Self {
        Self {
            consecutive_failures: policy.ejection_failures,
            base_ejection: from_ms(policy.ejection_ms),
            max_ejected_percent: policy.ejection_cap_percent as usize,
        }
    }
}

impl EjectionLimits {
    /// True if one more of `total` upstreams may be ejected while `ejected` of
    /// them already are.
    pub fn may_eject(&self, ejected: usize, total: usize) -> bool {
        (ejected + 1) * PERCENT <= total * self.max_ejected_percent
    }
}

/// Failures and ejections of one upstream since its last success.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// True while the upstream is ejected and gets no work.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// End of the ejection; `None` if the upstream is not ejected.
    pub fn ejected_until(&self, now: Duration) -> Option<Duration> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Records a successful exchange, which clears all failures and ejections.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed exchange, and ejects the upstream if `may_eject` and it
    /// has failed often enough. After an ejection a single failure ejects
    /// again. Failures during an ejection are ignored.
    pub fn record_failure(&mut self, now: Duration, limits: &EjectionLimits, may_eject: bool) {
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        let on_probation = self.ejections > 0;
        if may_eject && (on_probation || self.failures >= limits.consecutive_failures) {
            let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = Some(now + limits.base_ejection * 2_u32.pow(doublings));
            self.ejections += 1;
            self.failures = 0;
        }
    }
}
