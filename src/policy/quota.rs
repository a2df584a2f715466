//! Arithmetic of quotas that hold over all entries together: what one entry has admitted in
//! the sliding window, and its part of the whole over that window.
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

    /// Removes at most `units` that were admitted at `admitted_at` for a request that did not
    /// run. Returns how many were removed.
    pub fn give_back(&mut self, admitted_at: Duration, units: f64) -> f64 {
        let same = |(at, admitted): &&mut (Duration, f64)| {
            *at == admitted_at && (0.0..=units).contains(admitted)
        };
        let Some((_, admitted)) = self.admitted.iter_mut().rev().find(same) else { return 0.0 };
        let removed = std::mem::take(admitted);
        self.units -= removed;
        removed
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
