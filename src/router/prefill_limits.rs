//! Limits on prefills: which requests are admitted to the prefill pool, how long a prefill may
//! take, and when it is started anew at another engine.

use std::time::Duration;

use rand::RngExt;

use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Step;
use crate::router::prefill_pool::ObservedPrefill;
use crate::router::prefill_pool::admitted_share;
use crate::router::prefilling::MAX_PREFILLS;
use crate::router::request::Phase;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::reserving::CAPACITY_RETRY_AFTER;

/// Multiple of the expected prefill time that the timeout allows.
const PREFILL_TIMEOUT_FACTOR: u32 = 4;
/// Multiple of the longest wait in the pool that the timeout allows. An engine that takes
/// longer is taken to be gone, not busy.
const LONGEST_WAIT_FACTOR: u32 = 2;
/// Fixed part of a prefill's timeout, added to the multiple of its expected time
/// for the queue of the engine and for small prompts.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Pause until an overdue prefill that was not abandoned is checked again.
const PREFILL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest silence after which callers abort a stream, also before its first event.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// The same silence as a multiple of the latency target.
const PATIENCE_TARGETS: u32 = 4;
/// The same silence as a multiple of the longest interval between events.
const PATIENCE_INTERVALS: u32 = 8;
/// Share of the wait that is admissible for requests on time that late ones may expect. They
/// leave the rest to those that can still be on time.
const LATE_WAIT_SHARE: f64 = 0.25;

impl Router {
    /// True if a new request is admitted to the prefill pool: with the expected wait, most of
    /// those admitted get their first event within the latency target. Without client accounts
    /// that compete for the pool all are admitted.
    pub(super) fn admits_prefill(&mut self, now: Duration, key: RequestKey) -> bool {
        let wait = self.expected_prefill_wait(now, key);
        let request = &self.requests[key];
        if request.configuration.accounts.is_empty() {
            return true;
        }
        let Some(pool) = self.prefill_pools.get_mut(&request.service) else { return true };
        if request.last_event.is_some() {
            // An engine has worked on the stream that the caller takes up.
            return true;
        }
        let target = request.route().latency_target;
        let max_wait = target.saturating_sub(pool.time_to_first_event());
        let max_wait = if request.is_late { max_wait.mul_f64(LATE_WAIT_SHARE) } else { max_wait };
        let share = admitted_share(wait, max_wait);
        if share < 1.0 {
            pool.record_shortage(now);
        }
        share >= 1.0 || self.rng.random_range(0.0..1.0) < share
    }

    /// True if a prefill that starts now is expected to end before its caller gives up.
    pub(super) fn prefill_fits_patience(&self, now: Duration, key: RequestKey) -> bool {
        let request = &self.requests[key];
        if request.response_started || request.last_event.is_some() {
            return true;
        }
        let wait = self.expected_prefill_wait(now, key);
        now + wait + self.prefill_time(key) <= request.arrived_at + caller_patience(request)
    }

    /// Refuses a request whose prefill would end too late, and gives up its reservation.
    pub(super) fn refuse_prefill(&mut self, now: Duration, key: RequestKey) -> Step {
        let wait = self.expected_prefill_wait(now, key);
        let retry_after = CAPACITY_RETRY_AFTER + wait;
        if let Some(held) = &self.requests[key].reservation {
            self.upstreams.give_back_permit(held.target.key);
        }
        Step::Refuse(self.refusal(now, key, RefusalReason::Overloaded, retry_after))
    }

    /// Longest time that a prefill of this request should take, wait included.
    pub(super) fn longest_expected_prefill(&self, now: Duration, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let pool = self.prefill_pools.get(&request.service);
        let ended = pool.map(|pool| pool.longest_wait(now)).unwrap_or_default();
        let waits = self.prefills_in_flight(now, key).map(|prefill| prefill.wait);
        let in_flight = waits.max().unwrap_or_default();
        self.prefill_time(key) + ended.max(in_flight)
    }

    /// Returns the time limit for a prefill. It allows for the wait at a busy
    /// engine; an engine that exceeds it is taken to be unresponsive.
    pub(super) fn prefill_timeout(&self, now: Duration, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let estimate = self.prefill_times.get(&request.service).copied().unwrap_or_default();
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let expected = estimate.expected(tokens) * PREFILL_TIMEOUT_FACTOR;
        let explained = self.longest_expected_prefill(now, key) * LONGEST_WAIT_FACTOR;
        expected.max(explained) + PREFILL_TIMEOUT_MARGIN
    }

    /// Decides whether a prefill that exceeded its timeout is abandoned.
    /// Returns true if so; the retry budget has paid for it then. It holds a send for another
    /// prefill, or the decode engine prefills the prompt itself if the request has used up its
    /// prefills. Returns false if the waits of other prefills explain how long it takes, if
    /// another one could not end before the caller gives up, or if the budget is spent: it then
    /// keeps waiting, for [`Router::prefill_check_after`].
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn abandon_prefill(&mut self, now: Duration, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let below_max_prefills = request.prefills < MAX_PREFILLS;
        // A paused run may go on before another engine has prefilled the prompt by itself.
        let replaces_run = request.paused_run.is_some();
        let overdue = now >= request.step_started_at + self.prefill_timeout(now, key);
        let abandonable =
            overdue && self.prefill_fits_patience(now, key) && !self.may_crash_upstreams(key);
        if below_max_prefills {
            return abandonable && self.replace_prefill(now, key);
        }
        abandonable && !replaces_run && self.pay_for_abandoned_prefill(now, key)
    }

    /// Time after which a prefill that was not abandoned is checked again.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn prefill_check_after(&self, now: Duration, key: RequestKey) -> Duration {
        let timeout_at = self.requests[key].step_started_at + self.prefill_timeout(now, key);
        timeout_at.saturating_sub(now).max(PREFILL_CHECK_INTERVAL)
    }

    /// Expected wait before a prefill starts, wherever in the pool.
    fn expected_prefill_wait(&self, now: Duration, key: RequestKey) -> Duration {
        let Some(pool) = self.prefill_pools.get(&self.requests[key].service) else {
            return Duration::ZERO;
        };
        let in_flight: Vec<ObservedPrefill> = self.prefills_in_flight(now, key).collect();
        pool.expected_wait(now, &in_flight)
    }

    /// Other prefills of this entry in the same pool.
    fn prefills_in_flight(
        &self,
        now: Duration,
        key: RequestKey,
    ) -> impl Iterator<Item = ObservedPrefill> {
        let service = &self.requests[key].service;
        let others = self.requests.iter().filter(move |(other, request)| {
            *other != key && request.phase == Phase::Prefilling && request.service == *service
        });
        others.map(move |(other, request)| {
            let time = self.prefill_time(other);
            let elapsed = now.saturating_sub(request.step_started_at);
            let ahead = request.prefills_ahead;
            ObservedPrefill { wait: elapsed.saturating_sub(time), time, ahead }
        })
    }

    /// Number of this entry's other prefills in the same pool.
    pub(super) fn count_prefills_in_flight(&self, now: Duration, key: RequestKey) -> u32 {
        self.prefills_in_flight(now, key).count() as u32
    }

    /// Prefill time of the request's prompt without a wait.
    fn prefill_time(&self, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let time = self.engine_time.get(&request.service);
        time.and_then(|time| time.prefill_time(tokens)).unwrap_or_default()
    }
}

/// How long the caller of a request waits for its first event, and for each further one.
pub(super) fn caller_patience(request: &Request) -> Duration {
    let targets = request.route().latency_target * PATIENCE_TARGETS;
    let intervals = request.max_event_interval() * PATIENCE_INTERVALS;
    MIN_CALLER_PATIENCE.max(targets).max(intervals)
}
