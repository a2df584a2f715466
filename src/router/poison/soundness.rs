//! When runs with a part of a prompt, or with the content of a request, last went well.

use std::collections::HashMap;
use std::time::Duration;

use crate::router::poison::suspect::Suspect;

/// Time after which a half of the memory is dropped at the latest.
const HALF_PERIOD: Duration = Duration::from_secs(150);
/// Number of suspects after which a half of the memory is dropped.
const MAX_HALF: usize = 4_096;

/// Times of the last sound run of each suspect, remembered for [`HALF_PERIOD`] to twice as
/// long, or less if there are many suspects.
#[derive(Debug, Default)]
pub(super) struct SoundTimes {
    newer: HashMap<Suspect, Duration>,
    older: HashMap<Suspect, Duration>,
    newer_since: Duration,
}

impl SoundTimes {
    /// Records that a run went well.
    pub(super) fn record(&mut self, now: Duration, suspect: &Suspect) {
        if self.newer.len() >= MAX_HALF || now >= self.newer_since + HALF_PERIOD {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        match self.newer.get_mut(suspect) {
            Some(at) => *at = now,
            None => {
                self.newer.insert(suspect.clone(), now);
            }
        }
    }

    /// True if a run went well after `time`, as far as that is remembered.
    pub(super) fn after(&self, time: Duration, suspect: &Suspect) -> bool {
        let last = self.newer.get(suspect).or_else(|| self.older.get(suspect));
        last.is_some_and(|at| *at > time)
    }
}
