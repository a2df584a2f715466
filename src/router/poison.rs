//! Parts of prompts that crash engines, whatever else the prompt holds.
//!
//! A run that ends with the connection of its engine, before it has sent more than a few
//! events, makes the shared parts of its prompt suspects. Entries tell each other of such runs
//! through a log of the store, as each sees only some of the crashes. A part is poisonous once
//! engines have crashed under enough runs with it while none went well. Crashes that another part
//! may explain do not count for prompts without that part, so that prompts that share only
//! harmless parts with the crashed ones are served.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::request::PromptPartId;

/// Events after which a run shows that the parts of its prompt are harmless.
pub const MIN_SOUND_EVENTS: u32 = 4;
/// Crashed engines from which on a part is poisonous.
const MIN_CRASHED_ENGINES: usize = 3;
/// Engines that must have crashed under a part without another part that may have been the
/// reason.
const MIN_UNEXPLAINED_ENGINES: usize = 2;
/// Requests that must have been among the crashed runs, so that the retries of one request
/// do not suffice.
const MIN_CRASHED_REQUESTS: usize = 2;
/// Time for which a part is harmless after a run with it went well, whatever crashes.
const SOUND_HOLD: Duration = Duration::from_secs(3);
/// Time for which a part is not reported after a run with it went well at this entry. Most
/// crashes have other reasons, and most parts go well all the time.
const REPORT_HOLD: Duration = Duration::from_secs(10);
/// Time for which crashed runs are remembered.
const RETENTION: Duration = Duration::from_secs(300);
/// Largest number of crashed runs that are remembered.
const MAX_CRASHED_RUNS: usize = 256;
/// Time after which a poisonous part is tried again for the first time. It doubles with each
/// trial.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(15);
/// Largest time between two trials of a part.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(600);

/// Run that ended with the connection of its engine, before it had sent
/// [`MIN_SOUND_EVENTS`] events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Id of the request.
    pub request_id: CompactString,
    /// Id of the instance of the engine.
    pub engine_id: CompactString,
    /// Start time of the engine in milliseconds since the Unix epoch; 0 if not known.
    pub engine_started_ms: u64,
    /// Shared parts of the prompt that are suspects: those that have not gone well since.
    pub parts: Vec<PromptPartId>,
    /// True if the head of the response had arrived. A response that is lost before its head
    /// has many other causes.
    pub response_begun: bool,
}

impl CrashedRun {
    fn is_same_run(&self, other: &Self) -> bool {
        self.request_id == other.request_id
            && self.engine_id == other.engine_id
            && self.engine_started_ms == other.engine_started_ms
    }
}

/// What entries tell each other about parts of prompts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartReport {
    /// A run crashed.
    Crashed(CrashedRun),
    /// A run with a part that was a suspect went well.
    Sound(PromptPartId),
}

/// Change of what is believed about a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with the part are refused from now on.
    Poisonous {
        /// The part.
        part: PromptPartId,
        /// Engines that crashed under runs with it.
        crashed_engines: usize,
    },
    /// A request with the part is let through, to find out whether it still crashes engines.
    Tried {
        /// The part.
        part: PromptPartId,
    },
    /// A poisonous part is harmless.
    Sound {
        /// The part.
        part: PromptPartId,
    },
}

/// Whether a request may go to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No part of its prompt is poisonous.
    Harmless,
    /// It may, to find out whether a poisonous part still crashes engines.
    Trial,
    /// A part is poisonous; it is tried again after this time at the earliest.
    Poisonous {
        /// Time until the next trial.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct RememberedRun {
    run: CrashedRun,
    reported_at: Duration,
}

/// When a poisonous part is tried again.
#[derive(Debug)]
struct TrialSchedule {
    next_at: Duration,
    interval: Duration,
}

impl TrialSchedule {
    fn postpone(&mut self, now: Duration) {
        self.interval = (self.interval * 2).min(MAX_TRIAL_INTERVAL);
        self.next_at = now + self.interval;
    }
}

/// What one entry knows about parts of prompts.
#[derive(Debug, Default)]
pub struct PartHealth {
    /// Crashed runs, the oldest one first.
    crashed: Vec<RememberedRun>,
    /// When a run with a part last went well, for [`REPORT_HOLD`].
    sound_at: HashMap<PromptPartId, Duration>,
    /// When poisonous parts are tried again.
    trials: HashMap<PromptPartId, TrialSchedule>,
    /// True if this entry is the one that tries poisonous parts.
    tries: bool,
    unsent: Vec<PartReport>,
    changes: Vec<PartChange>,
}

impl PartHealth {
    /// Sets whether this entry is the one of all entries that tries poisonous parts.
    pub fn set_tries(&mut self, tries: bool) {
        self.tries = tries;
    }

    /// Records a crashed run of this entry and has it reported.
    pub fn record_crash(&mut self, now: Duration, run: CrashedRun) {
        let mut run = run;
        run.parts.retain(|part| !self.went_well_within(REPORT_HOLD, now, part));
        if let Some(run) = self.remember(now, now, run) {
            self.unsent.push(PartReport::Crashed(run));
        }
    }

    /// Records that a run of this entry went well, and has it reported if a part was a suspect:
    /// entries that start later read all reports of crashes.
    pub fn record_sound_run(&mut self, now: Duration, parts: &[PromptPartId]) {
        for part in parts {
            if self.suspects(part).next().is_some() {
                self.unsent.push(PartReport::Sound(part.clone()));
            }
            self.record_sound(now, now, part);
        }
    }

    /// Records reports of an entry, perhaps this one, that were made at `reported_at`.
    pub fn record_reports(
        &mut self,
        now: Duration,
        reported_at: Duration,
        reports: Vec<PartReport>,
    ) {
        for report in reports {
            match report {
                PartReport::Crashed(run) => {
                    self.remember(now, reported_at, run);
                }
                PartReport::Sound(part) => self.record_sound(now, reported_at, &part),
            }
        }
    }

    /// Decides whether a request with these shared parts may go to engines.
    pub fn judge(&mut self, now: Duration, parts: &[PromptPartId]) -> Verdict {
        let poisonous = parts.iter().filter(|part| self.is_poisonous(now, part, parts));
        let poisonous: Vec<&PromptPartId> = poisonous.collect();
        let next_trials = poisonous.iter().map(|part| self.trial_schedule(now, part).next_at);
        let Some(next_trial_at) = next_trials.max() else { return Verdict::Harmless };
        if !self.tries || now < next_trial_at {
            return Verdict::Poisonous { retry_after: next_trial_at.saturating_sub(now) };
        }
        for part in poisonous {
            self.trial_schedule(now, part).postpone(now);
            self.changes.push(PartChange::Tried { part: part.clone() });
        }
        Verdict::Trial
    }

    /// Returns the reports for the other entries, and clears the list of them.
    pub fn take_unsent(&mut self) -> Vec<PartReport> {
        std::mem::take(&mut self.unsent)
    }

    /// True if there are reports for the other entries.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns what has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns when a poisonous part is tried again. The first time is set once it is found to
    /// be poisonous.
    fn trial_schedule(&mut self, now: Duration, part: &PromptPartId) -> &mut TrialSchedule {
        if !self.trials.contains_key(part) {
            let crashed_engines = crashed_engines(self.suspects(part));
            self.changes.push(PartChange::Poisonous { part: part.clone(), crashed_engines });
        }
        let first = TrialSchedule { next_at: now + FIRST_TRIAL_AFTER, interval: FIRST_TRIAL_AFTER };
        self.trials.entry(part.clone()).or_insert(first)
    }

    /// True if a part is poisonous for a request with these parts: enough engines crashed under
    /// it, and some of these crashes have no other explanation.
    fn is_poisonous(&self, now: Duration, part: &PromptPartId, parts: &[PromptPartId]) -> bool {
        if !self.has_crashed_enough(part) || self.is_held_sound(now, part) {
            return false;
        }
        let unexplained = self.suspects(part).filter(|run| !self.is_explained(run, parts));
        crashed_engines(unexplained) >= MIN_UNEXPLAINED_ENGINES
    }

    /// True if a crash may be due to a part that a request with `parts` does not have.
    fn is_explained(&self, run: &CrashedRun, parts: &[PromptPartId]) -> bool {
        let mut others = run.parts.iter().filter(|other| !parts.contains(other));
        others.any(|other| self.has_crashed_enough(other))
    }

    fn has_crashed_enough(&self, part: &PromptPartId) -> bool {
        let requests: HashSet<_> = self.suspects(part).map(|run| &run.request_id).collect();
        requests.len() >= MIN_CRASHED_REQUESTS
            && crashed_engines(self.suspects(part)) >= MIN_CRASHED_ENGINES
    }

    /// Crashed runs with a part, since a run with it last went well.
    fn suspects(&self, part: &PromptPartId) -> impl Iterator<Item = &CrashedRun> {
        let runs = self.crashed.iter().map(|crashed| &crashed.run);
        runs.filter(move |run| run.parts.contains(part))
    }

    fn is_held_sound(&self, now: Duration, part: &PromptPartId) -> bool {
        self.went_well_within(SOUND_HOLD, now, part)
    }

    fn went_well_within(&self, period: Duration, now: Duration, part: &PromptPartId) -> bool {
        self.sound_at.get(part).is_some_and(|sound_at| now < *sound_at + period)
    }

    /// Remembers a crashed run and returns it with the parts that are suspects; `None` if there
    /// are none or it is known.
    fn remember(
        &mut self,
        now: Duration,
        reported_at: Duration,
        run: CrashedRun,
    ) -> Option<CrashedRun> {
        self.forget_old_runs(now);
        let mut run = run;
        run.parts.retain(|part| !self.is_held_sound(now, part));
        let is_known = self.crashed.iter().any(|crashed| crashed.run.is_same_run(&run));
        let is_old = now >= reported_at + RETENTION;
        if is_known || is_old || run.parts.is_empty() {
            return None;
        }
        if self.crashed.len() == MAX_CRASHED_RUNS {
            self.crashed.remove(0);
        }
        self.crashed.push(RememberedRun { run: run.clone(), reported_at });
        for part in &run.parts {
            if self.is_poisonous(now, part, &run.parts) {
                self.trial_schedule(now, part);
            }
        }
        Some(run)
    }

    fn forget_old_runs(&mut self, now: Duration) {
        self.crashed.retain(|crashed| now < crashed.reported_at + RETENTION);
        let crashed = &self.crashed;
        self.trials.retain(|part, _| crashed.iter().any(|it| it.run.parts.contains(part)));
    }

    /// Records that a part was harmless at `sound_at`.
    fn record_sound(&mut self, now: Duration, sound_at: Duration, part: &PromptPartId) {
        self.sound_at.retain(|_, sound_at| now < *sound_at + REPORT_HOLD);
        self.sound_at.insert(part.clone(), sound_at);
        if self.trials.remove(part).is_some() {
            self.changes.push(PartChange::Sound { part: part.clone() });
        }
        for crashed in &mut self.crashed {
            crashed.run.parts.retain(|suspect| suspect != part);
        }
        self.crashed.retain(|crashed| !crashed.run.parts.is_empty());
    }
}

/// Number of different engines of crashed runs.
fn crashed_engines<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> usize {
    runs.map(|run| (&run.engine_id, run.engine_started_ms)).collect::<HashSet<_>>().len()
}
