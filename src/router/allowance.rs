//! Share of the allowance of retry budgets that an entry may use.
//!
//! The store assigns shares that add up to 1, but an entry that gets one does not know what was
//! sent on it before: by another entry, or by itself before a restart. It therefore uses only
//! what it has had without interruption for so long that all of that is beyond the window. At
//! the start of any window each part of the allowance then has one user at most.

use std::collections::VecDeque;
use std::time::Duration;

/// Share that the store assigned to an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssignedShare {
    /// Share, from 0 to 1.
    pub share: f64,
    /// End of its validity, unless it is renewed.
    pub valid_until: Duration,
}

/// Share from a time on.
#[derive(Debug, Clone, Copy)]
struct ShareSince {
    /// `None` if it has had none before since all entries started.
    since: Option<Duration>,
    share: f64,
}

/// Shares that an entry has had, as far as they matter.
#[derive(Debug, Clone)]
pub struct ShareHistory {
    /// Time for which a share must have been had.
    settling: Duration,
    /// Shares in the order of time, each until the next one. Without one, none was had.
    shares: VecDeque<ShareSince>,
    valid_until: Duration,
    /// True if all entries start for the first time.
    first_start: bool,
    /// End of the time after the first start in which the entries join and use no share.
    joining_until: Duration,
}

/// Time after the first start of all entries within which all have joined the group that
/// shares the allowance.
const JOINING_TIME: Duration = Duration::from_secs(4);

impl ShareHistory {
    /// Creates the history of an entry that has had no share. With `first_start` all entries
    /// start for the first time: none uses a share while they join, and what each has at the end
    /// of that time has not been used by others.
    pub fn new(settling: Duration, first_start: bool) -> Self {
        Self {
            settling,
            shares: VecDeque::new(),
            valid_until: Duration::ZERO,
            first_start,
            joining_until: Duration::ZERO,
        }
    }

    /// Records the share that the store has assigned, or assigned last.
    pub fn assign(&mut self, now: Duration, assigned: AssignedShare) {
        if assigned.valid_until <= now {
            return;
        }
        if self.first_start && self.shares.is_empty() {
            self.joining_until = now + JOINING_TIME;
        }
        if now < self.joining_until {
            self.shares.clear();
            self.push(None, assigned.share);
        } else {
            if self.valid_until <= now {
                self.push(Some(self.valid_until), 0.0);
            }
            self.push(Some(now), assigned.share);
        }
        self.valid_until = assigned.valid_until;
    }

    /// Drops the share that the store assigned last: it may have assigned it to others.
    pub fn lapse(&mut self, now: Duration) {
        self.valid_until = self.valid_until.min(now);
    }

    /// Share that may be used at `now`.
    pub fn usable(&mut self, now: Duration) -> f64 {
        if self.valid_until <= now || now < self.joining_until {
            return 0.0;
        }
        // Before the settling time has passed, only `None` is early enough.
        let settled_by = now.checked_sub(self.settling);
        while self.shares.get(1).is_some_and(|next| next.since <= settled_by) {
            self.shares.pop_front();
        }
        let had_before = self.shares.front().is_some_and(|first| first.since <= settled_by);
        let lowest = self.shares.iter().map(|it| it.share).min_by(f64::total_cmp);
        lowest.filter(|_| had_before).unwrap_or(0.0)
    }

    fn push(&mut self, since: Option<Duration>, share: f64) {
        if self.shares.back().is_none_or(|last| last.share != share) {
            self.shares.push_back(ShareSince { since, share });
        }
    }
}
