//! Slow start of upstreams that have just started or recovered, or have changed their role.
//!
//! Such an upstream is considered for a share of the requests only, which doubles with time
//! and with each response, and halves with each failure. Each entry decides at random by that
//! share, so all entries together send the same share of the usual load, however many there
//! are and however few requests each of them has. An upstream that is not considered still
//! gets the request if there is no other.
//!
//! Decode engines do not start slowly: they grant only as many reservations as they have
//! memory for.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use strum::Display;
use strum::IntoStaticStr;

use crate::router::upstreams::ListedUpstream;

/// Settings of the slow start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartSettings {
    /// Share of the requests for which the upstream is considered at first; 1 or more turns
    /// the slow start off.
    pub initial_share: f64,
    /// Time in which the share doubles without a response.
    pub doubling_time: Duration,
    /// Time after a failure in which the share does not grow.
    pub failure_pause: Duration,
    /// Time after the first upstream of a service was listed in which others belong to the
    /// same first read of the list.
    pub list_settle_time: Duration,
    /// Age from which an upstream has surely not just started.
    pub recent_start: Duration,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self {
            initial_share: 0.1,
            doubling_time: Duration::from_millis(1_000),
            failure_pause: Duration::from_millis(1_000),
            list_settle_time: Duration::from_secs(3),
            recent_start: Duration::from_secs(10),
        }
    }
}

/// Why an upstream starts slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SlowStartCause {
    /// It has started while this entry knew the others of its service.
    Started,
    /// Its ejection ends.
    Recovered,
    /// It has changed its role.
    RoleChanged,
}

/// Begin or end of a slow start, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartChange {
    /// Id of the upstream.
    pub id: CompactString,
    /// Why it starts slowly.
    pub cause: SlowStartCause,
    /// How long the slow start took; `None` when it begins.
    pub ended_after: Option<Duration>,
}

/// Slow start of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    settings: SlowStartSettings,
    cause: SlowStartCause,
    began_at: Duration,
    /// Share at `grows_from`.
    share: f64,
    grows_from: Duration,
}

impl SlowStart {
    /// Starts with the initial share, which grows from `from` on.
    pub fn new(settings: SlowStartSettings, cause: SlowStartCause, from: Duration) -> Self {
        let share = settings.initial_share;
        Self { settings, cause, began_at: from, share, grows_from: from }
    }

    /// Share of the requests for which the upstream is considered, up to 1.
    pub fn share(&self, now: Duration) -> f64 {
        let grown = now.saturating_sub(self.grows_from).as_secs_f64();
        let doublings = grown / self.settings.doubling_time.as_secs_f64();
        (self.share * doublings.exp2()).min(1.0)
    }

    /// True once the upstream is considered for all requests.
    pub fn is_over(&self, now: Duration) -> bool {
        self.share(now) >= 1.0
    }

    /// Records a timely response.
    pub fn record_success(&mut self, now: Duration) {
        self.share = self.share(now) * 2.0;
        self.grows_from = self.grows_from.max(now);
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now: Duration) {
        self.share = (self.share(now) / 2.0).max(self.settings.initial_share);
        self.grows_from = self.grows_from.max(now + self.settings.failure_pause);
    }

    /// True if the upstream is not considered for a request. Draws a random number while the
    /// slow start lasts, and none after it.
    pub fn holds_back(&self, now: Duration, rng: &mut ChaCha8Rng) -> bool {
        let share = self.share(now);
        share < 1.0 && rng.random_range(0.0..1.0) >= share
    }

    /// Describes the begin of the slow start of the upstream `id`, or its end at `ended_at`.
    pub fn change(&self, id: &CompactString, ended_at: Option<Duration>) -> SlowStartChange {
        let ended_after = ended_at.map(|now| now.saturating_sub(self.began_at));
        SlowStartChange { id: id.clone(), cause: self.cause, ended_after }
    }
}

/// Tells upstreams that have just started from those that were running when this entry read
/// the instance list first.
#[derive(Debug, Clone, Default)]
pub struct StartDetector {
    /// When the first upstream of each service was listed.
    first_listed_at: HashMap<CompactString, Duration>,
    /// Latest start time that was listed, and when.
    newest_start: Option<(u64, Duration)>,
}

impl StartDetector {
    /// Records that an upstream is listed that was not listed before. Returns true if it has
    /// started while the list was known.
    pub fn record_listed(
        &mut self,
        now: Duration,
        listed: &ListedUpstream,
        settings: &SlowStartSettings,
    ) -> bool {
        let first = *self.first_listed_at.entry(listed.service.clone()).or_insert(now);
        let is_recent = self.least_age(now, listed.started_ms) < settings.recent_start;
        if self.newest_start.is_none_or(|(started_ms, _)| started_ms < listed.started_ms) {
            self.newest_start = Some((listed.started_ms, now));
        }
        now > first + settings.list_settle_time && is_recent
    }

    /// Lower bound of the age of an upstream, by the one that started last: that one was
    /// listed after its start. Zero if the record does not give the start time.
    fn least_age(&self, now: Duration, started_ms: u64) -> Duration {
        let Some((newest_ms, listed_at)) = self.newest_start.filter(|_| started_ms > 0) else {
            return Duration::ZERO;
        };
        let older_by = Duration::from_millis(newest_ms.saturating_sub(started_ms));
        let younger_by = Duration::from_millis(started_ms.saturating_sub(newest_ms));
        (now.saturating_sub(listed_at) + older_by).saturating_sub(younger_by)
    }
}
