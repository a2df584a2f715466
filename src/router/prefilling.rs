//! The prefill of a model request: which engine gets it, and what follows when it ends or fails.

use std::time::Duration;

use compact_str::CompactString;

use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Failure;
use crate::router::flow::Step;
use crate::router::flow::Target;
use crate::router::prefill_pool::ObservedPrefill;
use crate::router::request::HeldResource;
use crate::router::request::Phase;
use crate::router::request::RequestKey;
use crate::router::reserving::CAPACITY_RETRY_AFTER;

/// How long an engine that rejected a prefill is avoided: it is full or
/// changing its role.
const PREFILL_REJECTION_BACKOFF: Duration = Duration::from_millis(1_500);
/// Largest number of prefills of one request; if the last one fails or is silent, the decode
/// engine prefills the prompt itself.
pub(super) const MAX_PREFILLS: u32 = 3;

impl Router {
    pub(super) fn prefill(&mut self, now: Duration, key: RequestKey) -> Step {
        if let Some(end) = self.end_if_poisonous(now, key) {
            return end;
        }
        if !self.prefill_fits_patience(now, key) {
            return self.refuse_prefill(now, key);
        }
        let Some(target) = self.next_prefill_engine(now, key) else {
            // The decode engine prefills the prompt itself, more slowly.
            return self.decode(now, key);
        };
        self.upstreams.take_permits(now, target.key, 1);
        let timeout = self.prefill_timeout(now, key);
        let ahead = self.count_prefills_in_flight(now, key);
        let request = &mut self.requests[key];
        request.phase = Phase::Prefilling;
        request.run_events = 0;
        request.prefills += 1;
        request.prefills_ahead = ahead;
        request.step_started_at = now;
        request.current = Some(target.clone());
        request.open_run = Some(target.clone());
        let remaining_time = request.remaining_time(now);
        self.count_prefill(key, &target);
        Step::Prefill { target, remaining_time, timeout }
    }

    /// Selects the engine for the next prefill of the request. Returns `None` if there is none,
    /// or if neither the request nor the retry budget has a prefill left.
    fn next_prefill_engine(&mut self, now: Duration, key: RequestKey) -> Option<Target> {
        if self.requests[key].prefills >= MAX_PREFILLS {
            return None;
        }
        let excluded = self.requests[key].excluded.len();
        let mut target = None;
        while let Some(engine) = self.select_prefill_engine(now, key) {
            if self.hold_prefill(now, key, engine) {
                target = self.target(engine);
                break;
            }
            // Another engine may need none of the budget.
            self.requests[key].excluded.push(engine);
        }
        self.requests[key].excluded.truncate(excluded);
        target
    }

    pub(super) fn prefill_completed(
        &mut self,
        now: Duration,
        key: RequestKey,
        handle: CompactString,
    ) -> Step {
        let request = &mut self.requests[key];
        let Some(target) = request.current.clone() else { return Step::Abort };
        let elapsed = now.saturating_sub(request.step_started_at);
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let service = request.service.clone();
        let ahead = request.prefills_ahead;
        request.prefill_result = Some(HeldResource { target: target.clone(), id: handle });
        request.result_rejected_by.clear();
        let time = self.engine_time.entry(service.clone()).or_default();
        time.record_prefill(tokens, elapsed);
        let wait = elapsed.saturating_sub(time.prefill_time(tokens).unwrap_or(elapsed));
        let pool = self.prefill_pools.entry(service.clone()).or_default();
        let time = elapsed.saturating_sub(wait);
        pool.record(now, ObservedPrefill { wait, time, ahead });
        if let Some(engine) = self.upstreams.get_mut(target.key) {
            engine.prefill_wait.record(now, wait);
        }
        self.record_prefill_pace(now, target.key, tokens, elapsed);
        self.uncount_prefill(key);
        self.record_accepted_prefill(now, key);
        self.prefill_times.entry(service).or_default().record(tokens, elapsed);
        self.decode(now, key)
    }

    pub(super) fn prefill_failed(
        &mut self,
        now: Duration,
        key: RequestKey,
        failure: Failure,
    ) -> Step {
        self.uncount_prefill(key);
        let reservation = self.requests[key].reservation.as_ref().map(|held| held.target.clone());
        if failure == Failure::NotRun {
            self.back_off(now, key, 0, PREFILL_REJECTION_BACKOFF);
        }
        match failure {
            // Nothing arrived.
            Failure::NotSent => self.release_prefill(now, key),
            // `abandon_prefill` has paid for it.
            Failure::Silent => {}
            _ if self.pay_for_failed_prefill(now, key) => {}
            _ => return self.refuse_unpaid(now, key),
        }
        self.requests[key].current = reservation;
        self.prefill(now, key)
    }

    /// Refuses a request whose first prefill failed, as the retry budget has no send left for
    /// what would follow.
    fn refuse_unpaid(&mut self, now: Duration, key: RequestKey) -> Step {
        if let Some(held) = &self.requests[key].reservation {
            self.upstreams.give_back_permit(held.target.key);
        }
        Step::Refuse(self.refusal(now, key, RefusalReason::RetryBudget, CAPACITY_RETRY_AFTER))
    }
}
