//! Calls to plain services, and functions that model requests use as well.

use std::time::Duration;

use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Event;
use crate::router::flow::Failure;
use crate::router::flow::Step;
use crate::router::flow::Target;
use crate::router::request::RequestKey;

/// Shortest wait for a response before an idempotent call goes to another
/// upstream.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// Share of the latency target after which an idempotent call goes to another
/// upstream.
const CALL_TIMEOUT_SHARE: f64 = 0.7;
/// Share of the latency target that a call may wait for an upstream at its rate limit.
const PERMIT_WAIT_SHARE: f64 = 0.5;
/// `Retry-After` is at most the caller's remaining time divided by this, so
/// that the caller has time left for the retry.
pub(super) const RETRY_AFTER_DIVISOR: u32 = 3;
/// `Retry-After` of a call that was refused because no upstream could serve it,
/// before jitter and the limit by the caller's remaining time.
pub(super) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Largest number of attempts of one call.
const MAX_ATTEMPTS: u32 = 4;
/// Lowest HTTP status by which an upstream reports a failure of its own.
pub(super) const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Statuses by which callers take a request for not run; they send it again.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// True if callers take a request for not run that ends with this status.
pub(super) fn promises_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

impl Router {
    pub(super) fn advance_plain(&mut self, now: Duration, key: RequestKey, event: Event) -> Step {
        match event {
            Event::Started | Event::WaitEnded => self.call(now, key),
            Event::ResponseStarted { status } => self.call_response_started(now, key, status),
            Event::Failed(failure) => self.call_failed(now, key, failure),
            Event::CallOverdue => self.call_overdue(now, key),
            Event::DeadlinePassed => self.call_deadline_passed(now, key),
            Event::EntryExits => {
                self.kept_error_step(now, key).unwrap_or_else(|| self.entry_exits(now, key))
            }
            Event::ResponseInterrupted { .. } => Step::Abort,
            Event::UpstreamCrashed { .. } => {
                self.record_crashed_run(now, key);
                Step::Abort
            }
            _ => Step::Relay { idle_timeout: None },
        }
    }

    pub(super) fn call(&mut self, now: Duration, key: RequestKey) -> Step {
        let booked = self.requests[key].booked_upstream.take();
        if let Some(end) = self.end_if_poisonous(now, key) {
            booked.into_iter().for_each(|upstream| self.upstreams.give_back_permit(upstream));
            return end;
        }
        let target = booked.and_then(|upstream| self.target(upstream));
        if let Some(target) = target.filter(|target| self.upstreams.accepts_work(now, target.key)) {
            return self.call_upstream(now, key, target);
        }
        let selected = self.select_service_upstream(now, key);
        let Some(target) = selected.and_then(|upstream| self.target(upstream)) else {
            return self.wait_for_permit(now, key);
        };
        self.upstreams.take_permits(now, target.key, 1);
        self.call_upstream(now, key, target)
    }

    /// Books the next permit of an upstream that is at its rate limit and waits for it. If
    /// it comes too late or there is no upstream, refuses the request.
    fn wait_for_permit(&mut self, now: Duration, key: RequestKey) -> Step {
        if let Some(step) = self.await_parallel_call(now, key) {
            return step;
        }
        if let Some(step) = self.kept_error_step(now, key) {
            return step;
        }
        let service = self.requests[key].service.clone();
        let role = self.call_role(now, &service);
        let next = self.upstreams.next_sendable(&service, role, None, now);
        let Some((upstream, at)) = next.filter(|(_, at)| *at > now) else {
            let reason = RefusalReason::NoUpstream;
            return Step::Refuse(self.refusal(now, key, reason, NO_UPSTREAM_RETRY_AFTER));
        };
        let request = &mut self.requests[key];
        let max_wait = request.route().latency_target.mul_f64(PERMIT_WAIT_SHARE);
        if at > request.arrived_at + max_wait {
            let wait = at.saturating_sub(now);
            return Step::Refuse(self.refusal(now, key, RefusalReason::RateLimited, wait));
        }
        request.booked_upstream = Some(upstream);
        self.upstreams.take_permits(now, upstream, 1);
        Step::Wait { until: at }
    }

    fn call_upstream(&mut self, now: Duration, key: RequestKey, target: Target) -> Step {
        self.count_open(key, &target);
        self.count_send(now, key);
        let request = &mut self.requests[key];
        request.attempts += 1;
        request.runs += 1;
        request.step_started_at = now;
        request.is_overdue = false;
        request.current = Some(target.clone());
        request.open_run = Some(target.clone());
        let remaining_time = request.remaining_time(now);
        let fresh_connection = !request.route().idempotent;
        let timeout = self.call_timeout(now, key);
        Step::Call { target, remaining_time, timeout, fresh_connection }
    }

    /// Time after which the current call may go to another upstream as well; the remaining time
    /// if it may not.
    pub(super) fn call_timeout(&self, now: Duration, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let remaining_time = request.remaining_time(now);
        let route = request.route();
        if request.is_overdue || !route.idempotent || request.runs >= route.max_runs {
            return remaining_time;
        }
        let early_timeout = route.latency_target.mul_f64(CALL_TIMEOUT_SHARE).max(MIN_CALL_TIMEOUT);
        (request.step_started_at + early_timeout).saturating_sub(now).min(remaining_time)
    }

    fn call_response_started(&mut self, now: Duration, key: RequestKey, status: u16) -> Step {
        let Some(target) = self.requests[key].current.clone() else { return Step::Abort };
        if promises_not_run(status) && !self.requests[key].route().idempotent {
            return self.refuse_unproven_rejection(now, key);
        }
        let is_rejection = promises_not_run(status) && self.may_have_run_elsewhere(key);
        if status < MIN_SERVER_ERROR_STATUS && !is_rejection {
            self.upstreams.record_success(now, target.key);
            return self.pass_on(now, key, status);
        }
        // Its upstream has survived the request.
        self.requests[key].open_run = None;
        self.record_sound_run(now, key);
        self.requests[key].excluded.push(target.key);
        if let Some(step) = self.keep_error(now, key, status) {
            return step;
        }
        if self.try_hold_retry(now, key) {
            return self.call(now, key);
        }
        self.await_parallel_call(now, key).unwrap_or_else(|| self.pass_on(now, key, status))
    }

    /// Refuses a request that its upstream may have run, in place of a response whose status would
    /// promise that it has not.
    pub(super) fn refuse_unproven_rejection(&mut self, now: Duration, key: RequestKey) -> Step {
        self.requests[key].open_run = None;
        self.requests[key].may_have_run = true;
        let reason = RefusalReason::UnprovenRejection;
        Step::Refuse(self.refusal(now, key, reason, Duration::ZERO))
    }

    fn call_failed(&mut self, now: Duration, key: RequestKey, failure: Failure) -> Step {
        self.record_step_failure(now, key, failure);
        if failure == Failure::Crashed {
            self.record_crashed_run(now, key);
        }
        if failure == Failure::NotSent {
            self.uncount_send(key);
        }
        if failure.proves_not_run() {
            self.requests[key].runs -= 1;
        } else {
            self.requests[key].may_have_run = true;
        }
        if let Some(end) = self.end_if_poisonous(now, key) {
            return end;
        }
        if let Some(step) = self.await_timely_call(now, key) {
            return step;
        }
        let repeatable = failure.proves_not_run() || self.requests[key].route().idempotent;
        let held = self.requests[key].sends.is_retry_held();
        let unsent = failure == Failure::NotSent && self.requests[key].attempts < MAX_ATTEMPTS;
        if held || (repeatable && (unsent || self.try_hold_retry(now, key))) {
            return self.call(now, key);
        }
        let reason = match failure {
            Failure::NotRun => RefusalReason::Overloaded,
            Failure::NotSent | Failure::OtherInstance => RefusalReason::NoUpstream,
            Failure::Silent => RefusalReason::DeadlineExceeded,
            Failure::Broken | Failure::NoContinuation | Failure::Crashed => {
                RefusalReason::UpstreamLost
            }
        };
        self.end_call(now, key, reason)
    }

    fn call_deadline_passed(&mut self, now: Duration, key: RequestKey) -> Step {
        if self.requests[key].response_started {
            return Step::Abort;
        }
        if self.requests[key].runs > 0 {
            self.record_step_failure(now, key, Failure::Silent);
            self.requests[key].may_have_run = true;
        }
        self.end_parallel_calls(key);
        self.end_call(now, key, RefusalReason::DeadlineExceeded)
    }

    /// Holds one send in the retry budget for another attempt. Returns false, and
    /// holds none, if the limits of the request or the budget forbid one, or if
    /// there is no upstream for it.
    pub(super) fn try_hold_retry(&mut self, now: Duration, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let route = request.route();
        let allowed = request.runs < route.max_runs
            && request.attempts < MAX_ATTEMPTS
            && (route.idempotent || request.runs == 0)
            && request.remaining_time(now) > MIN_CALL_TIMEOUT;
        allowed && self.select_service_upstream(now, key).is_some() && self.hold_retry(now, key)
    }

    /// Excludes the current upstream from further selection and, unless it only
    /// rejected the request, records a failure of it.
    pub(super) fn record_step_failure(&mut self, now: Duration, key: RequestKey, failure: Failure) {
        let Some(target) = self.requests[key].current.clone() else { return };
        self.requests[key].excluded.push(target.key);
        // One that is overdue has been recorded.
        if failure != Failure::NotRun && !self.requests[key].is_overdue {
            self.upstreams.record_failure(now, target.key);
            self.instance_list.record_failure(&target.id, &mut self.upstreams);
        }
    }

    /// Builds a refusal whose outcome says whether the request ran. Only a
    /// request that certainly did not run gets a `Retry-After`.
    pub(super) fn refusal(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RefusalReason,
        retry_after: Duration,
    ) -> Refusal {
        let request = &mut self.requests[key];
        request.may_have_run |= !request.parallel_calls.is_empty();
        let outcome = request.outcome();
        let retry_after = (outcome == Outcome::NotRun)
            .then(|| crate::policy::retry::with_jitter(retry_after, &mut self.rng))
            .map(|wait| wait.min(self.requests[key].remaining_time(now) / RETRY_AFTER_DIVISOR));
        Refusal { reason, outcome, retry_after, detail: String::new() }
    }
}
