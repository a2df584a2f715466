//! Requests, and parts of prompts, that crash the upstreams that run them.
//!
//! A run under which its upstream crashed makes its request as a whole a suspect and, if it had
//! hardly begun to generate, the shared parts of its prompt. Entries report such runs in a log
//! of the store, as each sees only some of the crashes. An entry that has reported one reads the
//! log, and publishes the suspects that crashed more than one upstream to all entries.
//!
//! A suspect is poisonous once enough upstreams have crashed under it while no run with it went
//! well, unless another suspect explains the crashes.

mod evidence;
mod rules;
mod soundness;
mod suspect;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

pub use evidence::MAX_CRASHED_RUNS;
pub use suspect::AgedRun;
pub use suspect::CrashedRun;
pub use suspect::Incarnation;
pub use suspect::InvalidSuspect;
pub use suspect::Suspect;
pub use suspect::SuspectRecord;

use crate::router::fingerprint::Fingerprint;
use crate::router::poison::evidence::Evidence;
use crate::router::poison::evidence::KnownRun;
use crate::router::poison::soundness::SoundTimes;

/// Events after which a run shows that the parts of its prompt are harmless.
pub const MIN_SOUND_EVENTS: u32 = 4;
/// Crashed upstreams from which on a suspect is published.
const MIN_CRASHED_TO_PUBLISH: usize = 2;
/// Largest number of crashed runs of a suspect in the store.
const MAX_PUBLISHED_RUNS: usize = 32;
/// Time for which a suspect is harmless after a run with it went well, whatever crashes.
const SOUND_HOLD: Duration = Duration::from_secs(3);
/// Time for which a suspect is not reported after a run with it went well at this entry. Most
/// crashes have other reasons, and most parts go well all the time.
const REPORT_HOLD: Duration = Duration::from_secs(10);
/// Time for which crashed runs are remembered.
const RETENTION: Duration = Duration::from_secs(300);
/// Time for which runs of this entry are reported again in a new era of the store, whose copy
/// may lack them.
const REPORT_AGAIN_WITHIN: Duration = Duration::from_secs(60);
/// Change of what the store is to hold about a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// The suspect.
    pub suspect: Suspect,
    /// What the store is to hold.
    pub record: SuspectRecord,
}

/// Change of what is believed about a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectChange {
    /// Requests with it are refused from now on.
    Poisonous {
        /// The suspect.
        suspect: Suspect,
        /// Upstreams that crashed under runs with it.
        crashed_upstreams: usize,
    },
    /// A request with it is let through, to find out whether it still crashes upstreams.
    Tried {
        /// The suspect.
        suspect: Suspect,
    },
    /// It was poisonous, and is harmless.
    Sound {
        /// The suspect.
        suspect: Suspect,
    },
}

/// Whether a request may go to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing about it is poisonous.
    Harmless,
    /// It may, to find out whether it still crashes upstreams.
    Trial,
    /// It, or a part of its prompt, is poisonous.
    Poisonous {
        /// Time until the next trial at the earliest.
        retry_after: Duration,
        /// True if the request as a whole is poisonous.
        as_a_whole: bool,
    },
}

/// How the record of a suspect was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordAge {
    /// It has just been written.
    New,
    /// It may be old.
    Any,
}

/// What one entry knows about what crashes upstreams.
#[derive(Debug, Default)]
pub struct PoisonDetector {
    evidence: Evidence,
    sound: SoundTimes,
    /// When this entry let a request with a poisonous suspect through.
    tried_at: HashMap<Suspect, Duration>,
    /// Suspects that were found to be poisonous.
    poisonous: HashSet<Suspect>,
    /// Number of crashed runs of each suspect that the store holds.
    published: HashMap<Suspect, usize>,
    /// Suspects that the store holds, but whose crashes are long ago.
    outdated: HashSet<Suspect>,
    /// Time until which this entry is the one that tries poisonous suspects.
    tries_until: Duration,
    /// Runs in the log of reports, the one first that was read first.
    reported: VecDeque<KnownRun>,
    unreported: Vec<CrashedRun>,
    updates: Vec<SuspectUpdate>,
    changes: Vec<SuspectChange>,
}

impl PoisonDetector {
    /// Sets until when this entry is the one of all entries that tries poisonous suspects, and
    /// removes outdated ones from the store.
    pub fn set_tries_until(&mut self, now: Duration, until: Duration) {
        self.tries_until = until;
        self.forget_old_runs(now);
        if now < until {
            let outdated = std::mem::take(&mut self.outdated);
            outdated.into_iter().for_each(|suspect| self.update(suspect, SuspectRecord::Harmless));
        }
    }

    /// Records a crashed run of this entry. Returns it for [`PoisonDetector::report`] with the
    /// suspects that have not just gone well, if there are any.
    pub fn record_crash(&mut self, now: Duration, run: CrashedRun) -> Option<CrashedRun> {
        let mut run = run;
        run.suspects.retain(|suspect| !self.went_well_within(REPORT_HOLD, now, suspect));
        if run.is_trial {
            self.tried_at.retain(|suspect, _| !run.suspects.contains(suspect));
        }
        self.remember(KnownRun {
            run: run.clone(),
            known_at: now,
            crashed_at: now,
            is_own: true,
            cleared: Vec::new(),
        });
        (!run.suspects.is_empty()).then_some(run)
    }

    /// Has crashed runs of this entry reported, once their request has ended and did not go
    /// well in another run.
    pub fn report(&mut self, runs: Vec<CrashedRun>) {
        for mut run in runs {
            run.suspects.retain(|suspect| self.evidence.has(suspect));
            if !run.suspects.is_empty() && self.unreported.len() < MAX_CRASHED_RUNS {
                self.unreported.push(run);
            }
        }
    }

    /// Records that a run of this entry went well, and has it published if a suspect was known.
    pub fn record_sound_run<'a>(
        &mut self,
        now: Duration,
        suspects: impl IntoIterator<Item = &'a Suspect>,
    ) {
        for suspect in suspects {
            if self.published.remove(suspect).is_some() {
                self.update(suspect.clone(), SuspectRecord::Harmless);
            }
            self.record_sound(now, suspect);
        }
    }

    /// Records runs of all entries that were read from the log of reports. They count once this
    /// entry reports the same suspect: those that have served a suspect since say only of what is
    /// published that it is harmless.
    pub fn record_reports(&mut self, now: Duration, runs: Vec<AgedRun>) {
        for AgedRun { run, age } in runs {
            self.reported.push_back(known_run(now, run, age));
        }
        let excess = self.reported.len().saturating_sub(MAX_CRASHED_RUNS);
        self.reported.drain(..excess);
        self.reported.retain(|known| now < known.known_at + RETENTION);
    }

    /// Has the suspects of these runs published that crashed more than one upstream, after the
    /// log was read up to the reports of these runs.
    pub fn publish_repeated(&mut self, now: Duration, runs: &[CrashedRun]) {
        let suspects: HashSet<&Suspect> = runs.iter().flat_map(|run| &run.suspects).collect();
        for known in self.reported.clone() {
            self.remember_for(now, known, |suspect| suspects.contains(suspect));
        }
        for suspect in suspects {
            let known = self.evidence.runs_with(suspect).count();
            let published = self.published.get(suspect).copied().unwrap_or(0);
            if self.evidence.crashed_upstreams(suspect) >= MIN_CRASHED_TO_PUBLISH
                && known > published
            {
                let record = SuspectRecord::Crashed(self.aged_runs(now, suspect));
                self.update(suspect.clone(), record);
            }
        }
    }

    /// Records what the store holds about a suspect.
    pub fn record_suspect(
        &mut self,
        now: Duration,
        suspect: Suspect,
        record: SuspectRecord,
        record_age: RecordAge,
    ) {
        let SuspectRecord::Crashed(mut runs) = record else {
            self.published.remove(&suspect);
            self.outdated.remove(&suspect);
            self.updates.retain(|update| update.suspect != suspect);
            return self.record_sound(now, &suspect);
        };
        if record_age == RecordAge::New {
            start_ages_at_zero(&mut runs);
        }
        let is_old = |it: &AgedRun| record_age == RecordAge::Any && it.age >= RETENTION;
        if runs.iter().all(is_old) {
            self.outdated.insert(suspect);
            return;
        }
        let published = runs.len();
        let went_well = |it: &AgedRun| self.sound.after(now.saturating_sub(it.age), &suspect);
        let is_harmless = runs.iter().any(went_well);
        for AgedRun { run, age } in runs {
            self.remember_for(now, known_run(now, run, age), |other| *other == suspect);
        }
        if is_harmless {
            // Only the entries that have served it know.
            self.update(suspect, SuspectRecord::Harmless);
        } else {
            self.published.insert(suspect, published);
        }
    }

    /// Has what this entry found out lately reported again, in a new era of the store.
    pub fn report_again(&mut self, now: Duration) {
        self.published.clear();
        let own = self.evidence.own_runs(now.saturating_sub(REPORT_AGAIN_WITHIN));
        let own = own.filter(|known| !known.run.suspects.is_empty());
        self.unreported = own.map(|known| known.run.clone()).collect();
    }

    /// Decides whether a request with these suspects may go to upstreams.
    pub fn judge(&mut self, now: Duration, suspects: &[Suspect]) -> Verdict {
        if !suspects.iter().any(|suspect| self.evidence.has(suspect)) {
            return Verdict::Harmless;
        }
        self.forget_old_runs(now);
        let poisonous: Vec<&Suspect> =
            suspects.iter().filter(|suspect| self.is_poisonous(now, suspect, suspects)).collect();
        let tried_at = |suspect: &Suspect| self.tried_at.get(suspect).copied();
        let next_trials = poisonous.iter().map(|it| self.evidence.next_trial_at(it, tried_at(it)));
        let Some(next_trial_at) = next_trials.max() else { return Verdict::Harmless };
        if now >= self.tries_until || now < next_trial_at {
            let retry_after = next_trial_at.saturating_sub(now);
            let as_a_whole = poisonous.iter().any(|it| matches!(it, Suspect::Request(_)));
            return Verdict::Poisonous { retry_after, as_a_whole };
        }
        for suspect in poisonous {
            self.tried_at.insert(suspect.clone(), now);
            self.changes.push(SuspectChange::Tried { suspect: suspect.clone() });
        }
        Verdict::Trial
    }

    /// True if an upstream has crashed under a request.
    pub fn suspects_request(&self, request: Fingerprint) -> bool {
        self.evidence.has(&Suspect::Request(request))
    }

    /// Returns the crashed runs for the log of reports, and clears the list of them.
    pub fn take_unreported(&mut self) -> Vec<CrashedRun> {
        std::mem::take(&mut self.unreported)
    }

    /// Returns what the store is to hold from now on, and clears the list of it.
    pub fn take_updates(&mut self) -> Vec<SuspectUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// True if there are crashed runs for the log of reports.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// True if there are reports or updates for the store.
    pub fn has_unsent(&self) -> bool {
        !self.unreported.is_empty() || !self.updates.is_empty()
    }

    /// Returns what has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<SuspectChange> {
        std::mem::take(&mut self.changes)
    }

    /// True if a suspect is poisonous for a request with `own` suspects.
    fn is_poisonous(&self, now: Duration, suspect: &Suspect, own: &[Suspect]) -> bool {
        !self.went_well_within(SOUND_HOLD, now, suspect) && self.evidence.is_poisonous(suspect, own)
    }

    fn went_well_within(&self, period: Duration, now: Duration, suspect: &Suspect) -> bool {
        self.sound.after(now.saturating_sub(period), suspect)
    }

    fn aged_runs(&self, now: Duration, suspect: &Suspect) -> Vec<AgedRun> {
        let runs = self.evidence.runs_with(suspect).take(MAX_PUBLISHED_RUNS);
        let aged = |known: &KnownRun| AgedRun {
            run: known.run.clone(),
            age: now.saturating_sub(known.crashed_at),
        };
        runs.map(aged).collect()
    }

    fn update(&mut self, suspect: Suspect, record: SuspectRecord) {
        self.updates.retain(|update| update.suspect != suspect);
        self.updates.push(SuspectUpdate { suspect, record });
    }

    /// Remembers a run of any entry for the suspects that `counts` selects.
    fn remember_for(&mut self, now: Duration, known: KnownRun, counts: impl Fn(&Suspect) -> bool) {
        let mut known = KnownRun { known_at: now, ..known };
        known.run.suspects.retain(counts);
        self.remember(known);
    }

    /// Remembers a run with the suspects that have not gone well since its crash.
    fn remember(&mut self, known: KnownRun) {
        let now = known.known_at;
        self.forget_old_runs(now);
        let mut known = known;
        known.run.suspects.retain(|suspect| {
            !self.went_well_within(SOUND_HOLD, now, suspect)
                && !self.sound.after(known.crashed_at, suspect)
        });
        let suspects = known.run.suspects.clone();
        if suspects.is_empty() {
            return;
        }
        self.evidence.add(known);
        for suspect in &suspects {
            if self.is_poisonous(now, suspect, &suspects) && self.poisonous.insert(suspect.clone())
            {
                let crashed_upstreams = self.evidence.crashed_upstreams(suspect);
                let suspect = suspect.clone();
                self.changes.push(SuspectChange::Poisonous { suspect, crashed_upstreams });
            }
        }
    }

    /// Records that a suspect was harmless just now.
    fn record_sound(&mut self, now: Duration, suspect: &Suspect) {
        self.sound.record(now, suspect);
        self.evidence.clear(suspect);
        self.tried_at.remove(suspect);
        if self.poisonous.remove(suspect) {
            self.changes.push(SuspectChange::Sound { suspect: suspect.clone() });
        }
    }

    fn forget_old_runs(&mut self, now: Duration) {
        let Some(until) = now.checked_sub(RETENTION) else { return };
        self.evidence.forget(until);
        let evidence = &self.evidence;
        self.poisonous.retain(|suspect| evidence.has(suspect));
        self.tried_at.retain(|suspect, _| evidence.has(suspect));
        let outdated = self.published.extract_if(|suspect, _| !evidence.has(suspect));
        self.outdated.extend(outdated.map(|(suspect, _)| suspect));
    }
}

/// Takes the newest crash of a record that has just been written as one of this moment, as the
/// clocks of instances may differ.
fn start_ages_at_zero(runs: &mut [AgedRun]) {
    let newest = runs.iter().map(|it| it.age).min().unwrap_or_default();
    runs.iter_mut().for_each(|it| it.age -= newest);
}

/// Returns a run of any entry that crashed `age` before `now`.
fn known_run(now: Duration, run: CrashedRun, age: Duration) -> KnownRun {
    let crashed_at = now.saturating_sub(age);
    KnownRun { run, known_at: now, crashed_at, is_own: false, cleared: Vec::new() }
}
