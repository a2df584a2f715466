//! Reserving a decode slot and memory for a model request.
//!
//! The request at the head of its service's queue asks one decode engine after
//! the other, in rounds, until one makes a reservation or the time to wait is
//! over.

use std::time::Duration;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Step;
use crate::router::request::Phase;
use crate::router::request::RequestKey;
use crate::router::upstreams::PoolRole;

/// Shortest time for which a reservation is asked, if the engine grants that much. The
/// prefill and the transfer of its result fit into this time.
const RESERVATION_TTL: Duration = Duration::from_millis(1_500);
/// Part of a reservation's time that is left for the transfer of the prefill's result.
const TRANSFER_TIME: Duration = Duration::from_millis(300);
/// Longest wait for the response to a reservation; an engine responds within a
/// few milliseconds.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(120);
/// Share of the latency target that a new request may wait for a reservation.
const RESERVATION_WAIT_SHARE: f64 = 0.5;
/// Share of the latency target that a late request may wait for a reservation.
const LATE_RESERVATION_WAIT_SHARE: f64 = 0.4;
/// How long a request that engines have already worked on may wait for a new
/// reservation. Callers abort an idle stream after a little more than
/// this.
pub(super) const STARTED_REQUEST_MAX_WAIT: Duration = Duration::from_millis(3_000);
/// Pause between two rounds of reservation requests to the engines.
const RESERVATION_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// How long an engine that rejected a reservation gets no request for one of as
/// many tokens or more.
const REJECTION_BACKOFF: Duration = Duration::from_millis(100);
/// Sends that a reservation takes out of an engine's rate limit: its own and that of the
/// decode that follows.
const SENDS_PER_RESERVATION: u32 = 2;
/// Largest number of engines that get a reservation request in one round.
const MAX_ENGINES_PER_ROUND: usize = 12;
/// The same for a late request. It leaves most of the room that becomes free to
/// the requests of other entries that can still be on time.
const MAX_ENGINES_PER_LATE_ROUND: usize = 4;
/// `Retry-After` of a request that was refused for lack of capacity, before
/// jitter and the limit by the caller's remaining time.
pub(super) const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(4_000);

impl Router {
    pub(super) fn queue_for_reservation(&mut self, now: Duration, key: RequestKey) -> Step {
        if let Some(end) = self.end_if_poisonous(now, key) {
            return end;
        }
        let service = self.requests[key].service.clone();
        self.requests[key].phase = Phase::Reserving;
        let is_started = self.requests[key].has_engine_work();
        let queue = self.reservation_queues.entry(service.clone()).or_default();
        let request = &mut self.requests[key];
        if is_started {
            request.is_late = false;
            request.reservation_deadline = now + STARTED_REQUEST_MAX_WAIT;
            queue.push_front(key);
            return self.try_reserve(now, key);
        }
        let on_time_wait = request.route().latency_target.mul_f64(RESERVATION_WAIT_SHARE);
        let (expected_wait, max_wait) = if request.is_late {
            let late_wait = request.route().latency_target.mul_f64(LATE_RESERVATION_WAIT_SHARE);
            (queue.expected_late_wait(), late_wait)
        } else {
            (queue.expected_wait(), on_time_wait)
        };
        request.reservation_deadline = now + max_wait;
        if expected_wait > max_wait {
            // It would be refused after the wait anyway: refuse it now, so that
            // the caller can retry earlier.
            return self.refuse_without_reservation(now, key);
        }
        if !self.admits_prefill(now, key) {
            return self.refuse_prefill(now, key);
        }
        let is_late = self.requests[key].is_late;
        let queue = self.reservation_queues.entry(service).or_default();
        if is_late {
            queue.push_late(key);
        } else {
            queue.push_on_time(key);
        }
        self.try_reserve(now, key)
    }

    pub(super) fn try_reserve(&mut self, now: Duration, key: RequestKey) -> Step {
        let service = self.requests[key].service.clone();
        if let Some(end) = self.end_if_poisonous(now, key) {
            self.leave_reservation_queue(key);
            return end;
        }
        if self.requests[key].paused_run.is_some() {
            return self.seek_replacement(now, key);
        }
        let until = self.reservation_deadline(key);
        if now >= until {
            return self.refuse_without_reservation(now, key);
        }
        if !self.reservation_queues.get(&service).is_some_and(|queue| queue.is_head(key)) {
            return Step::Wait { until };
        }
        let version = self.requests[key].required_version();
        let next = self.upstreams.next_sendable(&service, PoolRole::Decode, version, now);
        match next {
            None if version.is_some() => self.refuse_version_unavailable(now, key),
            None => Step::Wait { until: until.min(now + RESERVATION_POLL_INTERVAL) },
            Some((_, at)) if at > until => self.refuse_rate_limited(now, key, at),
            Some((_, at)) if at > now => Step::Wait { until: at },
            Some(_) => self.reserve_at_next_engine(now, key),
        }
    }

    pub(super) fn reserve_at_next_engine(&mut self, now: Duration, key: RequestKey) -> Step {
        let engines_asked = self.requests[key].excluded.len();
        let max_engines = if self.requests[key].is_late {
            MAX_ENGINES_PER_LATE_ROUND
        } else {
            MAX_ENGINES_PER_ROUND
        };
        let next = self.select_decode_engine(now, key);
        let Some(target) =
            next.filter(|_| engines_asked < max_engines).and_then(|next| self.target(next))
        else {
            if self.requests[key].paused_run.is_some() {
                return self.return_to_paused_run(now, key);
            }
            self.requests[key].excluded.clear();
            let until = self.reservation_deadline(key).min(now + RESERVATION_POLL_INTERVAL);
            return Step::Wait { until };
        };
        self.upstreams.take_permits(now, target.key, SENDS_PER_RESERVATION);
        let ttl = self.reservation_ttl(now, key);
        let request = &mut self.requests[key];
        request.current = Some(target.clone());
        request.reservation_ends_at = now + ttl;
        let tokens = request.reserved_tokens;
        Step::Reserve { target, tokens, ttl, timeout: RESERVE_TIMEOUT }
    }

    /// Time for which a reservation is asked: it lasts as long as the prefill that it waits
    /// for is expected to take, up to what the engine grants.
    fn reservation_ttl(&self, now: Duration, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let prefill = match request.prefill_result {
            Some(_) => Duration::ZERO,
            None => self.longest_expected_prefill(now, key),
        };
        let ttl = RESERVATION_TTL.max(prefill + TRANSFER_TIME);
        let max_ttl = request.engine().map_or(Duration::ZERO, |engine| engine.max_reservation);
        if max_ttl.is_zero() { RESERVATION_TTL } else { ttl.min(max_ttl) }
    }

    /// When the wait for a reservation ends.
    pub(super) fn reservation_deadline(&self, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        request.reservation_deadline.min(request.deadline)
    }

    fn refuse_without_reservation(&mut self, now: Duration, key: RequestKey) -> Step {
        self.leave_reservation_queue(key);
        if self.requests[key].response_started {
            return self.return_to_paused_run(now, key);
        }
        let service = self.requests[key].service.clone();
        let none_available =
            self.upstreams.available(&service, PoolRole::Decode, now).next().is_none();
        let reason =
            if none_available { RefusalReason::NoUpstream } else { RefusalReason::Overloaded };
        Step::Refuse(self.refusal(now, key, reason, CAPACITY_RETRY_AFTER))
    }

    /// Refuses a request at once whose decode engines are all at their rate limits until
    /// `sendable_at`.
    fn refuse_rate_limited(
        &mut self,
        now: Duration,
        key: RequestKey,
        sendable_at: Duration,
    ) -> Step {
        self.leave_reservation_queue(key);
        if self.requests[key].response_started {
            return self.return_to_paused_run(now, key);
        }
        let wait = sendable_at.saturating_sub(now);
        Step::Refuse(self.refusal(now, key, RefusalReason::RateLimited, wait))
    }

    /// Refuses a stream, or ends it if its response has started, because no engine of
    /// the version at which it began accepts work.
    fn refuse_version_unavailable(&mut self, now: Duration, key: RequestKey) -> Step {
        self.leave_reservation_queue(key);
        if self.requests[key].response_started {
            return self.return_to_paused_run(now, key);
        }
        let outcome = self.requests[key].outcome();
        Step::Refuse(Refusal::with_outcome(RefusalReason::VersionUnavailable, outcome))
    }

    pub(super) fn reservation_rejected(&mut self, now: Duration, key: RequestKey) -> Step {
        if let Some(target) = self.requests[key].current.clone() {
            self.requests[key].excluded.push(target.key);
            self.upstreams.give_back_permit(target.key);
        }
        let tokens = self.requests[key].reserved_tokens;
        self.back_off(now, key, tokens, REJECTION_BACKOFF);
        self.try_reserve(now, key)
    }

    /// Backs off from the engine of the last step: for `length` it is not
    /// selected for requests of `tokens` tokens or more.
    pub(super) fn back_off(
        &mut self,
        now: Duration,
        key: RequestKey,
        tokens: u32,
        length: Duration,
    ) {
        let Some(target) = self.requests[key].current.as_ref() else { return };
        if let Some(engine) = self.upstreams.get_mut(target.key) {
            engine.capacity_backoff.record_rejection(now, tokens, length);
        }
    }

    /// Removes the request from the queue; the next one in it may ask for a
    /// reservation.
    pub(super) fn leave_reservation_queue(&mut self, key: RequestKey) {
        let service = &self.requests[key].service;
        let next = self.reservation_queues.get_mut(service).and_then(|queue| queue.remove(key));
        self.runnable.extend(next);
    }
}
