//! Refuses requests that crash upstreams, and records how runs end for that.

use std::time::Duration;

use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Event;
use crate::router::flow::Failure;
use crate::router::flow::Step;
use crate::router::flow::Target;
use crate::router::poison::AgedRun;
use crate::router::poison::CrashedRun;
use crate::router::poison::Incarnation;
use crate::router::poison::MIN_SOUND_EVENTS;
use crate::router::poison::RecordAge;
use crate::router::poison::Suspect;
use crate::router::poison::SuspectChange;
use crate::router::poison::SuspectRecord;
use crate::router::poison::SuspectUpdate;
use crate::router::poison::Verdict;
use crate::router::request::RequestKey;
use crate::router::reserving::CAPACITY_RETRY_AFTER;

/// Run whose upstream may crash, or be about to: its exchange was interrupted while the upstream
/// still accepted connections, or the entry has given it up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncheckedRun {
    /// Upstream of the run.
    pub target: Target,
    /// The run, as a crashed one.
    run: CrashedRun,
}

impl Router {
    /// Sets until when this entry is the one of all entries that tries poisonous requests again.
    /// One entry at a time should be, such as the holder of the lease.
    pub fn set_tries_poisonous_until(&mut self, now: Duration, until: Duration) {
        self.poison.set_tries_until(now, until);
    }

    /// Returns the crashed runs of this entry that are to be reported, and clears the list of
    /// them.
    pub fn take_unreported_crashes(&mut self) -> Vec<CrashedRun> {
        self.poison.take_unreported()
    }

    /// Records crashed runs of all entries that were read from the log of reports.
    pub fn record_crash_reports(&mut self, now: Duration, runs: Vec<AgedRun>) {
        self.poison.record_reports(now, runs);
    }

    /// Has suspects of these runs published that crashed more than one upstream. The log must
    /// have been read up to the reports of these runs.
    pub fn publish_repeated_crashes(&mut self, now: Duration, runs: &[CrashedRun]) {
        self.poison.publish_repeated(now, runs);
    }

    /// Returns what the store is to hold about suspects from now on, and clears the list of it.
    pub fn take_suspect_updates(&mut self) -> Vec<SuspectUpdate> {
        self.poison.take_updates()
    }

    /// Records what the store holds about a suspect.
    pub fn record_suspect(
        &mut self,
        now: Duration,
        suspect: Suspect,
        record: SuspectRecord,
        record_age: RecordAge,
    ) {
        self.poison.record_suspect(now, suspect, record, record_age);
    }

    /// True if there are crashed runs to report.
    pub fn has_unreported_crashes(&self) -> bool {
        self.poison.has_unreported()
    }

    /// True if there are crashed runs to report, or suspects to publish.
    pub fn has_unsent_crash_reports(&self) -> bool {
        self.poison.has_unsent()
    }

    /// Returns what has changed about suspects since the last call.
    pub fn take_suspect_changes(&mut self) -> Vec<SuspectChange> {
        self.poison.take_changes()
    }

    /// Records that the upstream of the current run has crashed.
    pub(super) fn record_crashed_run(&mut self, now: Duration, key: RequestKey) {
        if let Some(upstream) = self.requests[key].current.clone() {
            self.record_crash_of(now, key, &upstream);
        }
    }

    /// Records that the engine of the paused run has crashed.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn record_crash_of_paused_run(&mut self, now: Duration, key: RequestKey) {
        if let Some(engine) = self.requests[key].paused_run.clone() {
            self.record_crash_of(now, key, &engine);
        }
    }

    /// Records that an upstream has crashed under a run.
    fn record_crash_of(&mut self, now: Duration, key: RequestKey, upstream: &Target) {
        let run = self.end_run(key, upstream);
        self.requests[key].crashed_runs.extend(self.poison.record_crash(now, run));
    }

    /// Returns runs whose upstreams are to be checked after a while, and clears the list of them.
    pub fn take_unchecked_runs(&mut self) -> Vec<UncheckedRun> {
        std::mem::take(&mut self.unchecked_runs)
    }

    /// Records that the upstream of a run has crashed after the run was given up or interrupted.
    pub fn record_late_crash(&mut self, now: Duration, unchecked: UncheckedRun) {
        let run = self.poison.record_crash(now, unchecked.run);
        self.poison.report(run.into_iter().collect());
    }

    /// Keeps track of the run that an event ends.
    pub(super) fn track_run(&mut self, key: RequestKey, event: &Event) {
        match event {
            Event::Failed(Failure::Broken | Failure::Silent)
            | Event::ResponseInterrupted { .. } => self.have_run_checked(key),
            Event::Failed(_) | Event::Prefilled { .. } | Event::UpstreamCrashed { .. } => {
                self.requests[key].open_run = None;
            }
            _ => {}
        }
    }

    /// Has the upstream of the open run of a request checked, if there is one.
    pub(super) fn have_run_checked(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(target) = request.open_run.take() else { return };
        let run = self.end_run(key, &target);
        self.unchecked_runs.push(UncheckedRun { target, run });
    }

    /// True if the request is known to have crashed an upstream. It is not given up before it
    /// has ended: what it does to its upstream would not be seen.
    pub(super) fn may_crash_upstreams(&self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        request.is_trial || self.poison.suspects_request(request.fingerprint)
    }

    /// Returns a run as a crashed one. The parts of the prompt are suspects only if it had hardly
    /// begun to generate.
    fn end_run(&mut self, key: RequestKey, upstream: &Target) -> CrashedRun {
        let request = &mut self.requests[key];
        let mut suspects = request.suspects.clone();
        if request.run_events >= MIN_SOUND_EVENTS {
            suspects.retain(|suspect| matches!(suspect, Suspect::Request(_)));
        }
        let started_ms = self.upstreams.get(upstream.key).map(|it| it.listed.started_ms);
        CrashedRun {
            request_id: request.id.clone(),
            request: request.fingerprint,
            upstream: Incarnation { id: upstream.id.clone(), started_ms: started_ms.unwrap_or(0) },
            suspects,
            is_trial: std::mem::take(&mut request.is_trial),
        }
    }

    /// Has the crashed runs of a request that ends reported, unless it went well in the end.
    pub(super) fn report_crashed_runs(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let runs = std::mem::take(&mut request.crashed_runs);
        self.poison.report(runs);
    }

    /// Records that the upstream of a run has responded completely, so that the request is
    /// harmless.
    pub fn record_complete_response(&mut self, now: Duration, key: RequestKey) {
        if !self.requests.contains_key(key) {
            return;
        }
        self.requests[key].open_run = None;
        self.record_sound_run(now, key);
    }

    /// Records that an upstream has survived a run.
    pub(super) fn record_sound_run(&mut self, now: Duration, key: RequestKey) {
        self.poison.record_sound_run(now, &self.requests[key].suspects);
    }

    /// Records an event of a run, the last one that is needed to show that the parts of its
    /// prompt are harmless.
    pub(super) fn record_run_event(&mut self, now: Duration, key: RequestKey) {
        let request = &mut self.requests[key];
        request.run_events += 1;
        if request.run_events == MIN_SOUND_EVENTS {
            let parts = request.suspects.iter().filter(|it| matches!(it, Suspect::Part(_)));
            self.poison.record_sound_run(now, parts);
        }
    }

    /// Returns the step that ends a request that is poisonous, or whose prompt has a poisonous
    /// part: a refusal, or if its response has started, what remains without another run. `None`
    /// if it may go on.
    pub(super) fn end_if_poisonous(&mut self, now: Duration, key: RequestKey) -> Option<Step> {
        let request = &self.requests[key];
        if request.is_trial {
            return None;
        }
        match self.poison.judge(now, &request.suspects) {
            Verdict::Harmless => None,
            Verdict::Trial => {
                self.requests[key].is_trial = true;
                None
            }
            Verdict::Poisonous { .. } if self.requests[key].response_started => {
                Some(self.return_to_paused_run(now, key))
            }
            Verdict::Poisonous { retry_after, as_a_whole } => {
                let reason = if as_a_whole {
                    RefusalReason::PoisonousRequest
                } else {
                    RefusalReason::PoisonousPrompt
                };
                let retry_after = retry_after.max(CAPACITY_RETRY_AFTER);
                Some(Step::Refuse(self.refusal(now, key, reason, retry_after)))
            }
        }
    }
}
