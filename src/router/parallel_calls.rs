//! Idempotent calls that run at several upstreams at once.
//!
//! A call whose upstream is slow goes to another upstream as well, within the limits of its route
//! and the retry budget. Its exchanges go on side by side: the first good answer is passed on, and
//! the other exchanges are dropped then. One that fails leaves the call to the others; an error
//! that an upstream responds with is passed on only if nothing better comes.

use std::time::Duration;

use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Failure;
use crate::router::flow::Step;
use crate::router::flow::Target;
use crate::router::plain::NO_UPSTREAM_RETRY_AFTER;
use crate::router::plain::promises_not_run;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::upstreams::UpstreamKey;

/// Exchange of a call beside the current one.
#[derive(Debug)]
pub(super) struct ParallelCall {
    target: Target,
    /// Upstream whose `open_requests` includes the exchange.
    counted_upstream: Option<Target>,
    /// Upstream of its run, if that has not ended in a known way.
    open_run: Option<Target>,
    is_overdue: bool,
}

/// Error that an upstream responded to a call with, while another one has the call.
#[derive(Debug)]
pub(super) struct KeptError {
    target: Target,
    status: u16,
}

impl Request {
    /// True if an exchange beside the current one may still respond in time.
    fn has_timely_call(&self) -> bool {
        self.parallel_calls.iter().any(|call| !call.is_overdue)
    }

    /// Puts the current exchange aside. It goes on.
    fn set_call_aside(&mut self) {
        let Some(target) = self.current.clone() else { return };
        self.parallel_calls.push(ParallelCall {
            target,
            counted_upstream: self.counted_upstream.take(),
            open_run: self.open_run.take(),
            is_overdue: std::mem::take(&mut self.is_overdue),
        });
    }

    /// Makes an exchange that was set aside the current one.
    fn resume_call(&mut self, index: usize) {
        let call = self.parallel_calls.remove(index);
        self.current = Some(call.target);
        self.counted_upstream = call.counted_upstream;
        self.open_run = call.open_run;
        self.is_overdue = call.is_overdue;
    }
}

impl Router {
    /// Decides whether a call that exceeded its timeout is sent to another upstream as well.
    /// Returns true if so, and holds the send in the retry budget;
    /// [`Event::CallOverdue`](crate::router::Event::CallOverdue) follows then. Returns false if
    /// not: it then keeps waiting, as its upstream may still respond.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn repeat_call(&mut self, now: Duration, key: RequestKey) -> bool {
        if self.may_crash_upstreams(key) {
            return false;
        }
        let Some(target) = self.requests[key].current.clone() else { return false };
        let excluded = self.requests[key].excluded.len();
        self.requests[key].excluded.push(target.key);
        let repeats = self.try_hold_retry(now, key);
        self.requests[key].excluded.truncate(excluded);
        repeats
    }

    /// Makes the open call at this upstream the current one, for the event that follows.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn return_to_call(&mut self, key: RequestKey, upstream: UpstreamKey) {
        let request = &mut self.requests[key];
        let calls = &request.parallel_calls;
        if let Some(index) = calls.iter().position(|call| call.target.key == upstream) {
            request.set_call_aside();
            request.resume_call(index);
        }
    }

    /// The current call has exceeded its timeout: it goes on beside one at another upstream.
    pub(super) fn call_overdue(&mut self, now: Duration, key: RequestKey) -> Step {
        self.record_step_failure(now, key, Failure::Silent);
        let request = &mut self.requests[key];
        request.is_overdue = true;
        request.set_call_aside();
        self.call(now, key)
    }

    /// Returns the step that waits for another upstream, as the current call has ended; `None`
    /// if no other one has the call.
    pub(super) fn await_parallel_call(&mut self, now: Duration, key: RequestKey) -> Option<Step> {
        let calls = &self.requests[key].parallel_calls;
        let timely = calls.iter().position(|call| !call.is_overdue);
        let index = timely.or(calls.len().checked_sub(1))?;
        self.release_retries(now, key);
        self.uncount_open(key);
        self.requests[key].resume_call(index);
        let target = self.requests[key].current.clone()?;
        let timeout = self.call_timeout(now, key);
        Some(Step::AwaitCall { target, timeout })
    }

    /// Keeps an error that the upstream of the current call responded with, and returns the step
    /// that waits for an upstream that may still respond in time.
    pub(super) fn keep_error(
        &mut self,
        now: Duration,
        key: RequestKey,
        status: u16,
    ) -> Option<Step> {
        let request = &mut self.requests[key];
        // The entry has the last response only.
        let is_kept = !request.parallel_calls.is_empty();
        let target = request.current.clone().filter(|_| is_kept);
        request.kept_error = target.map(|target| KeptError { target, status });
        self.await_timely_call(now, key)
    }

    /// Returns the step that waits for an upstream that may still respond in time, if there is
    /// one: no other one gets the call until then.
    pub(super) fn await_timely_call(&mut self, now: Duration, key: RequestKey) -> Option<Step> {
        if !self.requests[key].has_timely_call() {
            return None;
        }
        self.await_parallel_call(now, key)
    }

    /// Ends a call that no upstream gets any more: waits for one that still has it, or passes on
    /// the error of an upstream, or refuses the call.
    pub(super) fn end_call(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RefusalReason,
    ) -> Step {
        if let Some(step) = self.await_parallel_call(now, key) {
            return step;
        }
        self.kept_error_step(now, key).unwrap_or_else(|| {
            Step::Refuse(self.refusal(now, key, reason, NO_UPSTREAM_RETRY_AFTER))
        })
    }

    /// Returns the step that passes on the error of an upstream, if one was kept.
    pub(super) fn kept_error_step(&mut self, now: Duration, key: RequestKey) -> Option<Step> {
        let KeptError { target, status } = self.requests[key].kept_error.take()?;
        self.have_run_checked(key);
        self.requests[key].current = Some(target);
        Some(self.pass_on(now, key, status))
    }

    /// Passes a response on, unless its status promises that the call has not run, and another
    /// upstream may have run it.
    pub(super) fn pass_on(&mut self, now: Duration, key: RequestKey, status: u16) -> Step {
        if promises_not_run(status) && self.may_have_run_elsewhere(key) {
            return self.refuse_unproven_rejection(now, key);
        }
        self.end_parallel_calls(key);
        Step::Relay { idle_timeout: None }
    }

    /// True if an upstream other than that of the current call may have run the call, or run it
    /// now.
    pub(super) fn may_have_run_elsewhere(&self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        request.may_have_run || request.runs > 1 || !request.parallel_calls.is_empty()
    }

    /// Ends the exchanges beside the current one, and has their upstreams checked.
    pub(super) fn end_parallel_calls(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        for call in std::mem::take(&mut request.parallel_calls) {
            let request = &mut self.requests[key];
            let open_run = std::mem::replace(&mut request.open_run, call.open_run);
            let counted = std::mem::replace(&mut request.counted_upstream, call.counted_upstream);
            self.have_run_checked(key);
            self.uncount_open(key);
            let request = &mut self.requests[key];
            request.open_run = open_run;
            request.counted_upstream = counted;
        }
    }
}
