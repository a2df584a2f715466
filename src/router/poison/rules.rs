//! When crashes make a suspect poisonous, and when it is tried again.

use std::collections::HashSet;
use std::time::Duration;

use crate::router::poison::evidence::Evidence;
use crate::router::poison::evidence::KnownRun;
use crate::router::poison::evidence::count_upstreams;
use crate::router::poison::suspect::CrashedRun;
use crate::router::poison::suspect::Suspect;

/// Crashed upstreams from which on a part of a prompt is poisonous.
const MIN_CRASHED_BY_PART: usize = 3;
/// Requests that must have been among the crashed runs of a part: a request that comes again
/// says nothing about others with the same part.
const MIN_REQUESTS_OF_PART: usize = 2;
/// Crashed upstreams from which on a request is poisonous. A service may have no more than
/// three.
const MIN_CRASHED_BY_REQUEST: usize = 2;
/// Upstreams that must have crashed under a suspect without another one that may have been the
/// reason.
const MIN_UNEXPLAINED: usize = 2;
/// Time after which a poisonous suspect is tried again for the first time. It doubles with each
/// trial.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(15);
/// Largest time between two trials of a suspect.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(600);

impl Evidence {
    /// True if the crashes make a suspect poisonous for a request with `own` suspects.
    pub(super) fn is_poisonous(&self, suspect: &Suspect, own: &[Suspect]) -> bool {
        if !self.has_crashed_enough(suspect) {
            return false;
        }
        let runs = self.runs_with(suspect);
        let unexplained: Vec<_> =
            runs.filter(|known| !self.is_explained(&known.run, suspect, own)).collect();
        count_upstreams(unexplained.iter().copied()) >= MIN_UNEXPLAINED
            && has_enough_requests(suspect, unexplained.into_iter())
    }

    /// Returns when a poisonous suspect is tried again. `tried_at` is when this entry began the
    /// last trial, if that has not ended. Otherwise it depends on reports alone, so that all
    /// entries that become the one that tries wait as long.
    pub(super) fn next_trial_at(&self, suspect: &Suspect, tried_at: Option<Duration>) -> Duration {
        let last_crash_at = self.runs_with(suspect).map(|known| known.known_at).max();
        let trials = self.runs_with(suspect).filter(|known| known.run.is_trial).count();
        let next_at = last_crash_at.unwrap_or_default() + trial_interval(trials);
        tried_at.map_or(next_at, |tried_at| next_at.max(tried_at + trial_interval(trials + 1)))
    }

    /// True if the crash of a run may be due to something that a request with `own` suspects
    /// does not have: another part of the same prompt, or a suspect of another run at the same
    /// upstream that crashed more upstreams than this one.
    fn is_explained(&self, run: &CrashedRun, suspect: &Suspect, own: &[Suspect]) -> bool {
        let is_other = |other: &&Suspect| !own.contains(other);
        let mut other_parts = run.suspects.iter().filter(is_other);
        if other_parts.any(|it| matches!(it, Suspect::Part(_)) && self.has_crashed_enough(it)) {
            return true;
        }
        let neighbors = self.runs_at(&run.upstream);
        let neighbors = neighbors.filter(|known| known.run.request != run.request);
        let mut others = neighbors.flat_map(|known| &known.run.suspects).filter(is_other);
        others.any(|other| {
            self.has_crashed_enough(other)
                && self.crashed_upstreams(other) > self.crashed_without(suspect, other)
        })
    }

    /// Number of upstreams that crashed under a suspect in runs that are not of `other`, if that
    /// is a request.
    fn crashed_without(&self, suspect: &Suspect, other: &Suspect) -> usize {
        let is_other = |known: &&KnownRun| *other == Suspect::Request(known.run.request);
        count_upstreams(self.runs_with(suspect).filter(|known| !is_other(known)))
    }

    fn has_crashed_enough(&self, suspect: &Suspect) -> bool {
        let min = match suspect {
            Suspect::Part(_) => MIN_CRASHED_BY_PART,
            Suspect::Request(_) => MIN_CRASHED_BY_REQUEST,
        };
        self.crashed_upstreams(suspect) >= min
            && has_enough_requests(suspect, self.runs_with(suspect))
    }
}

/// True if enough different requests are among the crashed runs of a suspect.
fn has_enough_requests<'a>(suspect: &Suspect, runs: impl Iterator<Item = &'a KnownRun>) -> bool {
    let requests = || runs.map(|known| known.run.request).collect::<HashSet<_>>().len();
    matches!(suspect, Suspect::Request(_)) || requests() >= MIN_REQUESTS_OF_PART
}

/// Time between the `trials`-th trial of a suspect that crashed its upstream and the next one.
fn trial_interval(trials: usize) -> Duration {
    let factor = 1_u32.checked_shl(trials as u32).unwrap_or(u32::MAX);
    FIRST_TRIAL_AFTER.saturating_mul(factor).min(MAX_TRIAL_INTERVAL)
}
