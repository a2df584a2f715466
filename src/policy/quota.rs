//! Arithmetic of quotas that hold over all entries together: what one entry has admitted in
//! the sliding window, its part of the quota over that window, and the pace of an entry while
//! more arrives than the quota.
//!
//! If each entry admits in any window at most the smallest part that it had within the last
//! window, all entries together admit at most the whole, however the parts move: the windows
//! before the last admissions of all of them have one moment in common, and the parts of that
//! moment add up to the whole.

use std::collections::VecDeque;
use std::time::Duration;

/// What is as old as the window still counts.
const FIRST_AFTER: Duration = Duration::from_nanos(1);

/// Units that were admitted within a sliding window.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowedUse {
    window: Duration,
    /// Times and units of what was admitted, the oldest first.
    admitted: VecDeque<(Duration, f64)>,
    units: f64,
}

impl WindowedUse {
    /// Creates a window in which nothing was admitted.
    pub fn new(window: Duration) -> Self {
        Self { window, admitted: VecDeque::new(), units: 0.0 }
    }

    /// Units admitted in the window that ends now.
    pub fn units(&mut self, now: Duration) -> f64 {
        self.expire(now);
        self.units
    }

    /// Records that units were admitted now.
    pub fn record(&mut self, now: Duration, units: f64) {
        self.expire(now);
        self.admitted.push_back((now, units));
        self.units += units;
    }

    /// Removes units that were admitted at `admitted_at` for a request that did not run.
    pub fn give_back(&mut self, admitted_at: Duration, units: f64) {
        let same = |(at, admitted): &&mut (Duration, f64)| *at == admitted_at && *admitted == units;
        if let Some((_, admitted)) = self.admitted.iter_mut().find(same) {
            *admitted = 0.0;
            self.units -= units;
        }
    }

    /// Time until at most `units` are left in the window, if nothing else is admitted.
    pub fn time_until(&mut self, now: Duration, units: f64) -> Duration {
        let mut left = self.units(now);
        for (at, admitted) in &self.admitted {
            if left <= units {
                break;
            }
            left -= admitted;
            if left <= units {
                return (*at + self.window).saturating_sub(now) + FIRST_AFTER;
            }
        }
        Duration::ZERO
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, units)) = self.admitted.front() {
            if now <= *at + self.window {
                break;
            }
            self.units -= units;
            self.admitted.pop_front();
        }
        if self.admitted.is_empty() {
            // Removes what rounding has left.
            self.units = 0.0;
        }
    }
}

/// Part of a whole that an entry had within the last window.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareHistory {
    window: Duration,
    /// Times at which each part began, the oldest first, with the parts.
    shares: VecDeque<(Duration, f64)>,
}

impl ShareHistory {
    /// Creates the history of an entry that has had this part for long.
    pub fn new(window: Duration, share: f64) -> Self {
        Self { window, shares: VecDeque::from([(Duration::ZERO, share)]) }
    }

    /// Records the part that the entry has from now on.
    pub fn record(&mut self, now: Duration, share: f64) {
        if self.shares.back().is_none_or(|(_, last)| *last != share) {
            self.shares.push_back((now, share));
        }
    }

    /// Part that the entry has now.
    pub fn current(&self) -> f64 {
        self.shares.back().map_or(0.0, |(_, share)| *share)
    }

    /// Smallest part that the entry had within the last window.
    pub fn smallest(&mut self, now: Duration) -> f64 {
        while let Some((ended_at, _)) = self.shares.get(1) {
            if now <= *ended_at + self.window {
                break;
            }
            self.shares.pop_front();
        }
        self.shares.iter().map(|(_, share)| *share).fold(f64::INFINITY, f64::min)
    }
}

/// Pace of an entry while more arrives than the quota: a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    credit: f64,
    as_of: Duration,
}

impl Pace {
    /// Creates a pace with a full bucket of `capacity` units.
    pub fn new(now: Duration, capacity: f64) -> Self {
        Self { credit: capacity, as_of: now }
    }

    /// Adds what has become free since the last call: `rate_per_s` units a second, up to a
    /// credit of `capacity` units. Returns the credit.
    pub fn refill(&mut self, now: Duration, rate_per_s: f64, capacity: f64) -> f64 {
        let elapsed = now.saturating_sub(self.as_of).as_secs_f64();
        self.credit = (self.credit + elapsed * rate_per_s).min(capacity);
        self.as_of = self.as_of.max(now);
        self.credit
    }

    /// Takes units out of the bucket, which may be left in a debt of as many.
    pub fn take(&mut self, units: f64) {
        self.credit = (self.credit - units).max(-units);
    }

    /// Returns units that were taken for a request that did not run.
    pub fn give_back(&mut self, units: f64) {
        self.credit += units;
    }
}

/// Units a second of a stream of requests, averaged over the last seconds with weights that
/// decay exponentially.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayingRate {
    time_constant: Duration,
    /// Decayed sum at `as_of`, in units.
    sum: f64,
    as_of: Duration,
}

impl DecayingRate {
    /// Creates a rate of 0 that decays with this time constant.
    pub fn new(time_constant: Duration) -> Self {
        Self { time_constant, sum: 0.0, as_of: Duration::ZERO }
    }

    /// Records a request of so many units.
    pub fn record(&mut self, now: Duration, units: f64) {
        self.sum = self.decayed_sum(now) + units;
        self.as_of = self.as_of.max(now);
    }

    /// Units a second now.
    pub fn per_s(&self, now: Duration) -> f64 {
        self.decayed_sum(now) / self.time_constant.as_secs_f64()
    }

    fn decayed_sum(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.as_of).as_secs_f64();
        self.sum * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}
