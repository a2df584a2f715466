//! When an engine's streams last sent events, which tells a silent engine from a stalled stream.

use std::time::Duration;

/// When events of any stream of an engine were received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventTimes {
    last_at: Option<Duration>,
    /// Start and end of the last silence of several streams that was longer than their routes
    /// allow.
    last_silence: Option<(Duration, Duration)>,
}

impl EventTimes {
    /// Records an event of a stream whose route allows intervals of `max_interval`, at an
    /// engine that has `streams` streams of this entry. One stream alone does not show
    /// whether its engine is silent.
    pub fn record(&mut self, now: Duration, max_interval: Duration, streams: u32) {
        let Some(previous) = self.last_at.replace(now) else { return };
        if streams > 1 && now.saturating_sub(previous) > max_interval {
            self.last_silence = Some((previous, now));
        }
    }

    /// When the last event of any stream was received.
    pub fn last_at(&self) -> Option<Duration> {
        self.last_at
    }

    /// True if a stream whose last event before `now` was at `previous` would not have paused
    /// for longer than `max_interval` but for a silence of all streams.
    pub fn silence_explains(
        &self,
        previous: Duration,
        now: Duration,
        max_interval: Duration,
    ) -> bool {
        let Some((from, until)) = self.last_silence else { return false };
        let silent = until.saturating_sub(from.max(previous));
        now.saturating_sub(previous).saturating_sub(silent) <= max_interval
    }
}
