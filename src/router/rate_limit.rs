//! Rate limit that an upstream names, and this entry's part of it.
//!
//! The limit counts over all entries together, but entries do not tell each other
//! what they send. Each one therefore sends at the limit times its share. Its
//! permits are spaced evenly from a random time on and expire if they are not used,
//! so that the permits of many entries, each with far less than one a second,
//! do not add up while there is no load.
//!
//! Over any window the entries together may send a multiple of the limit and a few
//! requests more. The permits of few entries stay within that whatever their phases
//! are. Those of many entries may fall due together by chance, so entries with a small
//! share leave more of a low limit unused.

use std::time::Duration;

/// Largest part of a named limit that all entries together use. The rest covers shares
/// that overlap while the store reassigns them.
const USED_PART: f64 = 0.8;
/// Requests a second that all entries together send at least, to learn that a limit
/// was raised or lifted.
const MIN_REQUESTS_PER_S: f64 = 0.1;
/// Share that an entry uses if it has none or less, to learn that a limit was lifted.
const MIN_SHARE: f64 = 1.0 / 4_096.0;
/// Share of a limit that an entry uses before the store has assigned it any.
pub const FALLBACK_SHARE: f64 = 1.0 / 64.0;
/// Time for which an unused permit stays valid.
const PERMIT_VALIDITY: Duration = Duration::from_secs(1);
/// Window over which the requests of all entries count.
const WINDOW: Duration = Duration::from_secs(4);
/// Part of the limit that all entries together may send in any window.
const ALLOWED_PART: f64 = 1.5;
/// Requests that all entries together may send in any window beyond that part.
const ALLOWED_EXTRA_REQUESTS: f64 = 5.0;

/// Rate limit of one upstream, with the permits of this entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    requests_per_s: f64,
    share: f64,
    named_at: Duration,
    /// Time from which the next permit is valid, unless it has expired since.
    next_permit_at: Duration,
}

impl RateLimit {
    /// Creates a limit of `requests_per_s` over all entries, of which this entry has
    /// the share `share`. `phase`, from 0 to 1, is the part of an interval after which
    /// its first permit is valid.
    pub fn new(now: Duration, requests_per_s: f64, share: f64, phase: f64) -> Self {
        let next_permit_at = now + interval(requests_per_s, share).mul_f64(phase);
        Self { requests_per_s, share, named_at: now, next_permit_at }
    }

    /// Records that a response named the limit again, possibly another one.
    pub fn record_named(&mut self, now: Duration, requests_per_s: f64) {
        self.named_at = now;
        self.change(now, requests_per_s, self.share);
    }

    /// Sets this entry's share of the limit, from 0 to 1.
    pub fn set_share(&mut self, now: Duration, share: f64) {
        self.change(now, self.requests_per_s, share);
    }

    /// Requests a second that the upstream accepts from all entries together.
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// When the latest response that named the limit was received.
    pub fn named_at(&self) -> Duration {
        self.named_at
    }

    /// Returns the earliest time, now or later, at which a request may be sent.
    pub fn permit_at(&self, now: Duration) -> Duration {
        self.next_permit(now).max(now)
    }

    /// True if a request may be sent now.
    pub fn allows(&self, now: Duration) -> bool {
        self.next_permit(now) <= now
    }

    /// Takes the next permit, even if it is only valid later, and those of `permits - 1`
    /// requests that follow.
    pub fn take(&mut self, now: Duration, permits: u32) {
        self.next_permit_at = self.next_permit(now) + self.interval() * permits;
    }

    /// Gives back a permit of a request that was not sent.
    pub fn give_back(&mut self) {
        self.next_permit_at = self.next_permit_at.saturating_sub(self.interval());
    }

    /// Changes the limit or the share. The wait for the next permit changes in proportion
    /// to the interval.
    fn change(&mut self, now: Duration, requests_per_s: f64, share: f64) {
        let wait = self.next_permit_at.saturating_sub(now);
        let previous_interval = self.interval();
        self.requests_per_s = requests_per_s;
        self.share = share;
        if !wait.is_zero() {
            let factor = self.interval().as_secs_f64() / previous_interval.as_secs_f64();
            self.next_permit_at = now + wait.mul_f64(factor);
        }
    }

    /// Time from which the next permit is valid; those that expired are skipped.
    fn next_permit(&self, now: Duration) -> Duration {
        let expired_for = now.saturating_sub(self.next_permit_at + PERMIT_VALIDITY);
        let interval = self.interval();
        let skipped = (expired_for.as_secs_f64() / interval.as_secs_f64()).ceil();
        self.next_permit_at + interval.mul_f64(skipped)
    }

    fn interval(&self) -> Duration {
        interval(self.requests_per_s, self.share)
    }
}

/// Time between two permits of an entry with this share of a limit.
fn interval(requests_per_s: f64, share: f64) -> Duration {
    let part = used_part(requests_per_s, share);
    let all_per_s = (requests_per_s * part).max(MIN_REQUESTS_PER_S);
    Duration::from_secs_f64(1.0 / (all_per_s * share.max(MIN_SHARE)))
}

/// Part of the limit that all entries together use if each has this share. It is
/// smaller for more entries than may send at the same moment, the lower the limit is:
/// the fewer requests are allowed, the likelier random phases exceed them.
fn used_part(requests_per_s: f64, share: f64) -> f64 {
    if share * entries_at_same_moment(requests_per_s) >= 1.0 {
        return USED_PART;
    }
    USED_PART * requests_per_s / (requests_per_s + 1.0)
}

/// Number of entries that may send at the same moment: each sends one request more in a
/// window than its permits' rate makes of the window and of their validity.
fn entries_at_same_moment(requests_per_s: f64) -> f64 {
    let allowed = ALLOWED_PART * requests_per_s * WINDOW.as_secs_f64() + ALLOWED_EXTRA_REQUESTS;
    allowed - USED_PART * requests_per_s * (WINDOW + PERMIT_VALIDITY).as_secs_f64()
}
