//! Refuses requests whose prompts have a poisonous part, and records how runs end for that.

use std::time::Duration;

use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Step;
use crate::router::flow::Target;
use crate::router::poison::CrashedRun;
use crate::router::poison::MIN_SOUND_EVENTS;
use crate::router::poison::PartChange;
use crate::router::poison::PartReport;
use crate::router::poison::Verdict;
use crate::router::request::Phase;
use crate::router::request::RequestKey;
use crate::router::reserving::CAPACITY_RETRY_AFTER;

impl Router {
    /// Sets whether this entry is the one of all entries that tries poisonous parts of prompts
    /// again. One entry at a time should be, such as the holder of the lease.
    pub fn set_tries_poisonous_parts(&mut self, tries: bool) {
        self.part_health.set_tries(tries);
    }

    /// Returns what this entry has found out about parts of prompts and the others have not been
    /// told yet, and clears the list of it.
    pub fn take_unsent_part_reports(&mut self) -> Vec<PartReport> {
        self.part_health.take_unsent()
    }

    /// True if there are reports about parts of prompts to append to the log of the store.
    pub fn has_unsent_part_reports(&self) -> bool {
        self.part_health.has_unsent()
    }

    /// Records reports of an entry that were read from the log of the store.
    /// They were made at `reported_at`.
    pub fn record_part_reports(
        &mut self,
        now: Duration,
        reported_at: Duration,
        reports: Vec<PartReport>,
    ) {
        self.part_health.record_reports(now, reported_at, reports);
    }

    /// Returns what has changed about parts of prompts since the last call.
    pub fn take_part_changes(&mut self) -> Vec<PartChange> {
        self.part_health.take_changes()
    }

    /// Records that a run ended with the connection of its engine. Its parts become suspects if
    /// it had hardly begun to generate.
    pub(super) fn record_crashed_run(&mut self, now: Duration, key: RequestKey, engine: &Target) {
        let response_begun = self.requests[key].phase != Phase::Decoding;
        let request = &mut self.requests[key];
        if request.run_events >= MIN_SOUND_EVENTS || request.shared_parts.is_empty() {
            return;
        }
        request.is_trial = false;
        let started_ms = self.upstreams.get(engine.key).map(|engine| engine.listed.started_ms);
        let run = CrashedRun {
            request_id: request.id.clone(),
            engine_id: engine.id.clone(),
            engine_started_ms: started_ms.unwrap_or(0),
            parts: request.shared_parts.clone(),
            response_begun,
        };
        self.part_health.record_crash(now, run);
    }

    /// Records that a stream is complete, so that the parts of its prompt are harmless.
    pub fn record_complete_stream(&mut self, now: Duration, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        if request.run_events < MIN_SOUND_EVENTS {
            self.part_health.record_sound_run(now, &request.shared_parts);
        }
    }

    /// Records an event of a run, the last one that is needed to show that the parts of its
    /// prompt are harmless.
    pub(super) fn record_run_event(&mut self, now: Duration, key: RequestKey) {
        let request = &mut self.requests[key];
        request.run_events += 1;
        if request.run_events == MIN_SOUND_EVENTS {
            self.part_health.record_sound_run(now, &request.shared_parts);
        }
    }

    /// Returns the step that ends a request whose prompt has a poisonous part: a refusal, or if
    /// its response has started, what remains without another run. `None` if it may go on.
    pub(super) fn end_if_poisonous(&mut self, now: Duration, key: RequestKey) -> Option<Step> {
        let request = &self.requests[key];
        if request.is_trial || request.shared_parts.is_empty() {
            return None;
        }
        match self.part_health.judge(now, &request.shared_parts) {
            Verdict::Harmless => None,
            Verdict::Trial => {
                self.requests[key].is_trial = true;
                None
            }
            Verdict::Poisonous { .. } if self.requests[key].response_started => {
                Some(self.return_to_paused_run(key))
            }
            Verdict::Poisonous { retry_after } => {
                let reason = RefusalReason::PoisonousPrompt;
                let retry_after = retry_after.max(CAPACITY_RETRY_AFTER);
                Some(Step::Refuse(self.refusal(now, key, reason, retry_after)))
            }
        }
    }
}
