//! Model requests: reservation at a decode engine, then prefill, then decode.
//!
//! The reservation comes before the prefill, because a prefill costs as much as
//! many tokens of output and its result is soon evicted.

use std::time::Duration;

use compact_str::CompactString;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Cleanup;
use crate::router::flow::Event;
use crate::router::flow::Failure;
use crate::router::flow::KvSource;
use crate::router::flow::Step;
use crate::router::output_margin::StreamStall;
use crate::router::plain::MIN_SERVER_ERROR_STATUS;
use crate::router::plain::promises_not_run;
use crate::router::request::HeldResource;
use crate::router::request::Phase;
use crate::router::request::RequestKey;
use crate::router::reserving::CAPACITY_RETRY_AFTER;

/// How long an engine that ran nothing despite a reservation is avoided for new
/// reservations: a change of its role takes seconds.
const DECODE_REJECTION_BACKOFF: Duration = Duration::from_millis(3_000);

impl Router {
    pub(super) fn advance_generate(
        &mut self,
        now: Duration,
        key: RequestKey,
        event: Event,
    ) -> Step {
        match event {
            Event::Started if self.exceeds_engine_memory(key) => {
                Step::Refuse(Refusal::not_run(RefusalReason::PromptTooLong, None))
            }
            Event::Started if self.requests[key].last_event.is_some() => {
                self.take_up_stream(now, key)
            }
            Event::Started => self.queue_for_reservation(now, key),
            Event::OriginsRead(lookup) => self.origin_looked_up(now, key, lookup),
            Event::WaitEnded => self.try_reserve(now, key),
            Event::Reserved { reservation } => self.reservation_granted(now, key, reservation),
            Event::ReservationRejected => self.reservation_rejected(now, key),
            Event::Prefilled { handle } => self.prefill_completed(now, key, handle),
            Event::ResponseStarted { status } => {
                self.avoid_rejecting_engines(now, key);
                self.generate_response_started(now, key, status)
            }
            Event::Failed(failure) => self.generate_failed(now, key, failure),
            Event::ResponseInterrupted { last_event } => {
                self.stream_interrupted(now, key, last_event)
            }
            Event::UpstreamCrashed { last_event } => {
                self.record_crashed_run(now, key);
                self.stream_interrupted(now, key, last_event)
            }
            Event::ResponsePaused { last_event } => self.stream_paused(now, key, last_event),
            Event::ResponseResumed => self.stream_resumed(now, key),
            Event::DeadlinePassed => self.generate_deadline_passed(now, key),
            Event::EntryExits => self.entry_exits(now, key),
            Event::ResponseRelayed | Event::CallOverdue => Step::Abort,
        }
    }

    /// True if the prompt leaves no memory for output at any engine.
    fn exceeds_engine_memory(&self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let engine = request.engine().filter(|engine| engine.kv_tokens > 0);
        let prompt = request.prompt.zip(engine);
        prompt.is_some_and(|(prompt, engine)| prompt.tokens >= engine.kv_tokens)
    }

    fn reservation_granted(
        &mut self,
        now: Duration,
        key: RequestKey,
        reservation: CompactString,
    ) -> Step {
        if let Some(queue) = self.reservation_queues.get_mut(&self.requests[key].service) {
            queue.record_reservation(now, key);
        }
        self.leave_reservation_queue(key);
        let Some(target) = self.requests[key].current.clone() else { return Step::Abort };
        self.count_open(key, &target);
        let request = &mut self.requests[key];
        request.reservation = Some(HeldResource { target, id: reservation });
        request.excluded.clear();
        if self.requests[key].prefill_result.is_some() {
            return self.decode(now, key);
        }
        self.prefill(now, key)
    }

    pub(super) fn decode(&mut self, now: Duration, key: RequestKey) -> Step {
        self.release_prefill(now, key);
        if let Some(end) = self.end_if_poisonous(now, key) {
            return end;
        }
        if self.has_paused_engine_answered(key) {
            return self.return_to_paused_run(now, key);
        }
        let Some(reservation) = self.requests[key].reservation.take() else {
            return self.return_to_paused_run(now, key);
        };
        let lapsed = now >= self.requests[key].reservation_ends_at;
        if lapsed || !self.upstreams.accepts_work(now, reservation.target.key) {
            // The prefill took longer than the reservation lasts, or the engine started to
            // leave or turned this entry away during it.
            self.upstreams.give_back_permit(reservation.target.key);
            if !lapsed {
                self.cleanups.push(Cleanup::ReleaseReservation(reservation));
            }
            self.uncount_open(key);
            return self.queue_for_reservation(now, key);
        }
        self.count_send(now, key);
        let request = &mut self.requests[key];
        request.phase = Phase::Decoding;
        request.attempts += 1;
        request.runs += 1;
        request.run_events = 0;
        request.step_started_at = now;
        request.current = Some(reservation.target.clone());
        request.open_run = Some(reservation.target.clone());
        let source = request
            .prefill_result
            .as_ref()
            .map(|held| KvSource { address: held.target.address, handle: held.id.clone() });
        Step::Decode {
            target: reservation.target,
            source,
            reservation: Some(reservation.id),
            after_event: request.last_event,
            priority: request.priority(),
            remaining_time: request.remaining_time(now),
        }
    }

    fn generate_response_started(&mut self, now: Duration, key: RequestKey, status: u16) -> Step {
        if promises_not_run(status) && !self.requests[key].route().allows_rerun() {
            return self.refuse_unproven_rejection(now, key);
        }
        let request = &mut self.requests[key];
        let source = request.prefill_result.take();
        if request.paused_run.take().is_some() {
            request.may_have_run = true;
            request.last_event_at = None;
        }
        request.replacement_sought = false;
        request.phase = Phase::Relaying;
        request.response_started = true;
        let target = request.current.clone();
        let engines = target.into_iter().chain(source.map(|held| held.target));
        for target in engines.filter(|_| status < MIN_SERVER_ERROR_STATUS) {
            self.upstreams.record_success(now, target.key);
        }
        self.relay_stream(key)
    }

    /// Avoids the decode engines that rejected a prefill result which another one took: they
    /// grant reservations but run nothing, as they change their roles.
    fn avoid_rejecting_engines(&mut self, now: Duration, key: RequestKey) {
        for engine in std::mem::take(&mut self.requests[key].result_rejected_by) {
            if let Some(engine) = self.upstreams.get_mut(engine) {
                engine.capacity_backoff.record_rejection(now, 0, DECODE_REJECTION_BACKOFF);
            }
        }
    }

    fn generate_failed(&mut self, now: Duration, key: RequestKey, failure: Failure) -> Step {
        self.record_step_failure(now, key, failure);
        if failure == Failure::Crashed && self.requests[key].phase != Phase::Reserving {
            self.record_crashed_run(now, key);
        }
        match self.requests[key].phase {
            // The failure does not show that the engines are full, so another
            // one is asked even after the deadline for the reservation.
            Phase::Reserving => {
                self.give_back_decode_permit(key);
                if self.requests[key].paused_run.is_some() {
                    return self.seek_replacement(now, key);
                }
                self.reserve_at_next_engine(now, key)
            }
            Phase::Prefilling => self.prefill_failed(now, key, failure),
            Phase::Decoding => self.decode_failed(now, key, failure),
            Phase::Relaying => Step::Abort,
        }
    }

    /// Gives back the permit for a decode that does not follow, as its reservation failed.
    fn give_back_decode_permit(&mut self, key: RequestKey) {
        if let Some(target) = &self.requests[key].current {
            self.upstreams.give_back_permit(target.key);
        }
    }

    fn decode_failed(&mut self, now: Duration, key: RequestKey, failure: Failure) -> Step {
        self.uncount_open(key);
        self.discard_prefill_result(now, key, failure);
        if let Some(engine) =
            self.requests[key].current.clone().filter(|_| failure == Failure::NotRun)
        {
            // The engine may be changing its role: it then accepts reservations
            // but runs nothing.
            self.upstreams.record_failure(now, engine.key);
        }
        if failure == Failure::NotSent {
            self.uncount_send(key);
        }
        if failure == Failure::NoContinuation {
            self.record_sound_run(now, key);
        }
        let request = &mut self.requests[key];
        if failure.proves_not_run() {
            request.runs -= 1;
        } else {
            request.may_have_run = true;
        }
        if request.paused_run.is_some() {
            return self.return_to_paused_run(now, key);
        }
        let repeatable = failure.proves_not_run() || request.route().allows_rerun();
        let reason = match failure {
            Failure::Silent => RefusalReason::DeadlineExceeded,
            Failure::Broken | Failure::NoContinuation | Failure::Crashed => {
                RefusalReason::UpstreamLost
            }
            Failure::NotRun => RefusalReason::Overloaded,
            Failure::NotSent | Failure::OtherInstance => RefusalReason::NoUpstream,
        };
        if repeatable && self.try_hold_rerun(now, key) {
            return self.queue_for_reservation(now, key);
        }
        if self.requests[key].response_started {
            return Step::Abort;
        }
        Step::Refuse(self.refusal(now, key, reason, CAPACITY_RETRY_AFTER))
    }

    /// Records that an event of a request's stream was received from its engine. A
    /// pause that is longer than the route allows mostly shows that the engine
    /// ran out of memory and preempted the stream, unless all of its streams were silent;
    /// the first one of a stream changes the margin of the memory that is reserved for
    /// output. Returns the pause then.
    pub fn record_event(&mut self, now: Duration, key: RequestKey) -> Option<StreamStall> {
        if !self.requests.contains_key(key) {
            return None;
        }
        self.record_run_event(now, key);
        let request = &mut self.requests[key];
        let is_first = request.last_event_at.is_none();
        let first_event_after = now.saturating_sub(request.step_started_at);
        if request.begun_version.is_none() {
            if let Some(pool) = self.prefill_pools.get_mut(&request.service) {
                pool.record_first_event(first_event_after);
            }
            request.begun_version = request.current.as_ref().map(|engine| engine.version.clone());
        }
        if is_first {
            self.record_origin(now, key);
        }
        let request = self.requests.get_mut(key)?;
        request.replacement_sought = false;
        let max_interval = request.max_event_interval();
        let engine = request.current.as_ref().and_then(|engine| self.upstreams.get_mut(engine.key));
        let event_times = engine.map(|engine| {
            engine.event_times.record(now, max_interval, engine.open_requests);
            engine.event_times
        });
        let previous = request.last_event_at.replace(now)?;
        let interval = now.saturating_sub(previous);
        let service = request.service.clone();
        self.record_event_pace(now, key, interval);
        let request = self.requests.get_mut(key)?;
        if interval <= max_interval {
            self.engine_time.entry(service).or_default().record_event(interval);
            return None;
        }
        let was_stalled = std::mem::replace(&mut request.stalled, true);
        let engine_was_silent =
            event_times.is_some_and(|times| times.silence_explains(previous, now, max_interval));
        if was_stalled || engine_was_silent {
            return None;
        }
        let margin = self.output_margins.entry(service).or_default();
        margin.record_stalled();
        Some(StreamStall { interval, margin_factor: margin.factor() })
    }

    /// Records that a stream has ended, unless it has paused for too long.
    pub(super) fn record_steady_stream(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        if request.last_event_at.is_some() && !request.stalled {
            let service = request.service.clone();
            self.output_margins.entry(service).or_default().record_steady();
        }
    }

    /// Drops the prefill result after a failed decode. An engine that did not
    /// run the request despite its reservation failed to fetch the result or is changing
    /// its role. This counts as a failure of the engine that holds the result, too, but
    /// another decode engine is tried with the same result before the prompt is prefilled
    /// anew.
    fn discard_prefill_result(&mut self, now: Duration, key: RequestKey, failure: Failure) {
        let Some(source) = self.requests[key].prefill_result.take() else { return };
        if failure == Failure::NotRun {
            self.upstreams.record_failure(now, source.target.key);
            let request = &mut self.requests[key];
            let is_first = request.result_rejected_by.is_empty();
            if let Some(engine) = &request.current {
                request.result_rejected_by.push(engine.key);
                request.excluded.push(engine.key);
            }
            if is_first {
                request.prefill_result = Some(source);
                return;
            }
        }
        if failure.proves_not_run() {
            self.cleanups.push(Cleanup::DiscardPrefill(source));
        }
    }

    fn stream_interrupted(
        &mut self,
        now: Duration,
        key: RequestKey,
        last_event: Option<u64>,
    ) -> Step {
        self.uncount_open(key);
        let request = &mut self.requests[key];
        request.last_event_at = None;
        request.last_event = last_event.or(request.last_event);
        request.may_have_run = true;
        let resumable = request.route().resumable;
        if let Some(target) = request.current.clone() {
            self.requests[key].excluded.push(target.key);
            self.upstreams.record_failure(now, target.key);
        }
        if let Some(end) = self.end_if_poisonous(now, key) {
            return end;
        }
        if resumable && self.try_hold_rerun(now, key) {
            return self.queue_for_reservation(now, key);
        }
        Step::Abort
    }

    /// Holds the decode of another run in the retry budget. Returns false, and holds none, if
    /// the limits of the request or the budget forbid another run.
    fn try_hold_rerun(&mut self, now: Duration, key: RequestKey) -> bool {
        let request = &self.requests[key];
        request.allows_another_run() && self.hold_retry(now, key)
    }

    fn generate_deadline_passed(&mut self, now: Duration, key: RequestKey) -> Step {
        if self.requests[key].response_started {
            return Step::Abort;
        }
        if self.requests[key].phase == Phase::Decoding {
            self.requests[key].may_have_run = true;
        }
        Step::Refuse(self.refusal(now, key, RefusalReason::DeadlineExceeded, CAPACITY_RETRY_AFTER))
    }
}
