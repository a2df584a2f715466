//! Task of one request in flight: executes the steps that the router decides on and
//! reports the result of each as an event, until the request ends.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::last_waits::LastWaits;
use crate::edge::direct::open_calls::OpenCalls;
use crate::edge::direct::open_stream::OpenStream;
use crate::edge::direct::open_stream::StreamLoss;
use crate::edge::direct::ready_response::ReadyResponse;
use crate::edge::direct::request_log::GivenUpBecause;
use crate::edge::direct::request_log::RequestEnding;
use crate::edge::direct::request_log::failure_reason;
use crate::edge::direct::request_log::log_aborted;
use crate::edge::direct::request_log::log_continuation;
use crate::edge::direct::request_log::log_failure_event;
use crate::edge::direct::request_log::log_step;
use crate::edge::direct::request_log::step_kind;
use crate::edge::direct::response::CallerResponse;
use crate::edge::direct::response::ResponsePart;
use crate::edge::direct::upstream_client::ForwardedRequest;
use crate::edge::direct::upstream_client::GenerateParameters;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::router::Event;
use crate::router::Step;
use crate::router::Target;
use crate::router::flow::Failure;
use crate::router::pauses::MAX_RUN_OVERLAP;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::stream_origins::OriginLookup;

/// Channel that carries the response to the task that serves the caller's connection.
pub(super) enum CallerChannel {
    /// No head has been sent yet. Holds `None` while `execute_until_deadline` watches the
    /// channel, and once a complete response or a refusal has been sent.
    AwaitingHead(Option<oneshot::Sender<CallerResponse>>),
    /// The head has been sent; parts of the body follow.
    ReadingBody(mpsc::Sender<ResponsePart>),
}

impl CallerChannel {
    /// Completes when the caller has disconnected.
    async fn disconnected(&mut self) {
        match self {
            Self::AwaitingHead(Some(head)) => head.closed().await,
            Self::AwaitingHead(None) => pending().await,
            Self::ReadingBody(parts) => parts.closed().await,
        }
    }
}

/// State of the task of one request in flight.
pub(super) struct RequestTask<U> {
    pub(super) dispatcher: Rc<Dispatcher<U>>,
    pub(super) key: RequestKey,
    pub(super) request: Rc<ForwardedRequest>,
    /// Response of the upstream, from its head on until `Step::Relay` passes it on.
    pub(super) response: Option<ReadyResponse>,
    /// Exchanges of a call that have not ended.
    pub(super) calls: OpenCalls,
    pub(super) caller: CallerChannel,
    /// Stream that paused, while the router looks for another engine.
    pub(super) paused: Option<OpenStream>,
    /// Waits of a response that has begun, once the exit cuts.
    pub(super) last_waits: LastWaits,
}

impl<U: UpstreamClient> RequestTask<U> {
    /// Executes steps until the request ends.
    pub(super) async fn run(mut self) {
        let dispatcher = self.dispatcher.clone();
        let mut step_started = dispatcher.now();
        let mut step = dispatcher.router.borrow_mut().start(step_started, self.key);
        let mut last_failure = None;
        loop {
            let kind = step_kind(&step);
            if step == Step::Abort {
                self.record_abort(last_failure.as_deref().unwrap_or_default());
            }
            let Some(event) = self.execute_step(step).await else { break };
            let now = dispatcher.now();
            dispatcher.metrics.record_step(kind, now.saturating_sub(step_started));
            step_started = now;
            self.log_failure(now, &event);
            let reason = failure_reason(&event);
            dispatcher.record_notices();
            let exits = event == Event::EntryExits;
            step = dispatcher.router.borrow_mut().advance(now, self.key, event);
            if exits && step == Step::Abort {
                dispatcher.record_cut_request(self.key);
                break;
            }
            self.count_failure(&reason, &step);
            last_failure = reason.or(last_failure);
            dispatcher.start_cleanups_and_wake();
        }
        dispatcher.router.borrow_mut().finish(dispatcher.now(), self.key);
        dispatcher.start_cleanups_and_wake();
    }

    fn log_failure(&self, now: Duration, event: &Event) {
        let router = self.dispatcher.router.borrow();
        if let Some(request) = router.request(self.key) {
            log_failure_event(&self.dispatcher.name, now, request, event);
        }
    }

    fn count_failure(&self, failure: &Option<String>, step: &Step) {
        let Some(reason) = failure else { return };
        self.dispatcher.metrics.count_failure(reason);
        let sends_nothing = matches!(
            step,
            Step::Refuse(_) | Step::Abort | Step::Relay { .. } | Step::AwaitCall { .. }
        );
        if !sends_nothing {
            self.dispatcher.metrics.count_retry(reason);
        }
    }

    /// Executes a step and returns its result, or `None` if the request has ended.
    async fn execute_step(&mut self, step: Step) -> Option<Event> {
        log_step(&self.dispatcher.name, &self.request.id, &step);
        if let Step::Decode { target, after_event: Some(_), .. } = &step {
            self.record_continuation(target);
        }
        match step {
            Step::Refuse(refusal) => {
                self.send_refusal(refusal);
                None
            }
            // The channel closes without `ResponsePart::End`, so the caller sees that the
            // response is incomplete.
            Step::Abort => None,
            Step::Relay { idle_timeout } => {
                self.calls.close();
                self.relay_response(idle_timeout).await
            }
            step => self.execute_until_deadline(step).await,
        }
    }

    /// Counts and logs that the response is aborted after its head was sent.
    pub(super) fn record_abort(&self, cause: &str) {
        self.dispatcher.metrics.count_aborted(cause);
        let now = self.dispatcher.now();
        let router = self.dispatcher.router.borrow();
        let leaving_since = router.shutdown().map(|shutdown| shutdown.started_at);
        if leaving_since.is_some() {
            self.dispatcher.aborted_while_leaving.update(|count| count + 1);
        }
        if let Some(request) = router.request(self.key) {
            log_aborted(&self.dispatcher.name, now, request, cause, leaving_since);
        }
    }

    /// Logs what is known of the origin of a stream that the caller takes up.
    fn log_origin(&self, begun_by: &str, lookup: OriginLookup) {
        let router = self.dispatcher.router.borrow();
        let version = router.stream_origins().version(begun_by);
        spdlog::info!("stream-origin", kv: {
            instance: = self.dispatcher.name,
            request_id: = self.request.id,
            resumes: = begun_by,
            version: = version.map_or("unknown", CompactString::as_str),
            log_read = lookup.log_read,
            list_read = lookup.list_read
        });
    }

    /// Logs and counts that a stream continues at an engine.
    fn record_continuation(&self, target: &Target) {
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        self.dispatcher.metrics.count_continuation(request.begun_version.as_deref(), target);
        log_continuation(&self.dispatcher.name, request, target);
    }

    /// Executes a step on an upstream until it completes, the deadline passes or the caller
    /// disconnects. Returns `None` if the caller disconnected.
    async fn execute_until_deadline(&mut self, step: Step) -> Option<Event> {
        let remaining_time = self.remaining_time();
        let mut caller = std::mem::replace(&mut self.caller, CallerChannel::AwaitingHead(None));
        let mut paused = self.paused.take();
        let mut last_waits = std::mem::take(&mut self.last_waits);
        let awaits_head = matches!(caller, CallerChannel::AwaitingHead(Some(_)));
        let replaces = matches!(step, Step::Decode { .. });
        let event = {
            let (dispatcher, key) = (self.dispatcher.clone(), self.key);
            let execution = timeout(remaining_time, self.execute_on_upstream(step));
            let mut execution = std::pin::pin!(execution);
            let mut overlap = std::pin::pin!(sleep(MAX_RUN_OVERLAP));
            loop {
                tokio::select! {
                    biased;
                    () = caller.disconnected() => break None,
                    event = execution.as_mut() => {
                        break Some(event.unwrap_or(Event::DeadlinePassed));
                    }
                    () = dispatcher.exiting.cancelled(), if awaits_head => {
                        break Some(Event::EntryExits);
                    }
                    // Closes the connection, so that the engine of the paused run stops.
                    () = overlap.as_mut(), if replaces && paused.is_some() => {
                        dispatcher.record_given_up_run(key, GivenUpBecause::OverlapEnded);
                        paused = None;
                    }
                    resumed = OpenStream::resumed(&mut paused) => {
                        match resumed {
                            Ok(()) => break Some(Event::ResponseResumed),
                            Err(StreamLoss::Ended) => {
                                dispatcher.check_paused_engine(key).await;
                            }
                            Err(StreamLoss::Invalid(invalid)) => {
                                dispatcher.record_invalid_event(
                                    key,
                                    Request::paused_engine,
                                    invalid,
                                );
                            }
                        }
                    }
                    () = last_waits.used_up(&dispatcher.cutting), if !awaits_head => {
                        break Some(Event::EntryExits);
                    }
                }
                dispatcher.router.borrow_mut().end_paused_run(dispatcher.now(), key);
            }
        };
        self.caller = caller;
        self.last_waits = last_waits;
        let begun = matches!(event, Some(Event::ResponseStarted { .. }));
        if begun && paused.is_some() {
            self.dispatcher.record_given_up_run(self.key, GivenUpBecause::Replaced);
        }
        self.paused = paused.filter(|_| !begun);
        if event.is_none() {
            self.log_request_ending(RequestEnding::CallerGone, 0);
        }
        event
    }

    /// Returns the time left until the deadline of the request, zero after it.
    pub(super) fn remaining_time(&self) -> Duration {
        let router = self.dispatcher.router.borrow();
        router
            .request(self.key)
            .map_or(Duration::ZERO, |request| request.remaining_time(self.dispatcher.now()))
    }

    /// Executes a step that calls an upstream or waits.
    async fn execute_on_upstream(&mut self, step: Step) -> Event {
        match step {
            Step::Reserve { target, tokens, ttl, timeout: limit } => {
                let reservation = self.dispatcher.upstream_client.reserve(&target, tokens, ttl);
                match timeout(limit, reservation).await.unwrap_or(Err(Failure::Silent)) {
                    Ok(Some(reservation)) => Event::Reserved { reservation },
                    Ok(None) => Event::ReservationRejected,
                    Err(failure) => Event::Failed(failure),
                }
            }
            Step::Prefill { target, remaining_time, timeout: limit } => {
                match self.prefill(&target, remaining_time, limit).await {
                    Ok(handle) => Event::Prefilled { handle },
                    Err(failure) => self.dispatcher.failed(failure, &target).await,
                }
            }
            Step::Decode { target, source, reservation, after_event, priority, remaining_time } => {
                let parameters = GenerateParameters {
                    target: target.clone(),
                    source,
                    reservation,
                    after_event,
                    priority,
                    remaining_time,
                };
                let response =
                    self.dispatcher.upstream_client.generate(&self.request, &parameters).await;
                match self.receive_response(response).await {
                    Ok(event) => event,
                    Err(failure) => self.dispatcher.failed(failure, &target).await,
                }
            }
            Step::Call { target, remaining_time, timeout: limit, fresh_connection } => {
                self.start_call(target, remaining_time, fresh_connection);
                self.await_call(limit).await
            }
            Step::AwaitCall { timeout: limit, .. } => self.await_call(limit).await,
            Step::LookUpOrigin { request_id, timeout: limit } => {
                let lookup = self.dispatcher.origin_log.read(limit).await;
                self.log_origin(request_id.as_deref().unwrap_or_default(), lookup);
                Event::OriginsRead(lookup)
            }
            Step::Wait { until } => {
                self.wait_until_runnable(until).await;
                Event::WaitEnded
            }
            // Executed by `execute_step`.
            Step::Relay { .. } | Step::Refuse(_) | Step::Abort => Event::WaitEnded,
        }
    }

    /// Has the prompt prefilled. After `limit`, the router decides whether to abandon the
    /// prefill or to keep waiting, and when it decides again.
    async fn prefill(
        &self,
        target: &Target,
        remaining_time: Duration,
        mut limit: Duration,
    ) -> Result<CompactString, Failure> {
        let dispatcher = &self.dispatcher;
        let prefill = dispatcher.upstream_client.prefill(&self.request, target, remaining_time);
        let mut prefill = std::pin::pin!(prefill);
        loop {
            if let Ok(result) = timeout(limit, prefill.as_mut()).await {
                return result;
            }
            let now = dispatcher.now();
            let mut router = dispatcher.router.borrow_mut();
            if router.abandon_prefill(now, self.key) {
                return Err(Failure::Silent);
            }
            limit = router.prefill_check_after(now, self.key);
        }
    }

    /// Receives the response to a decode.
    ///
    /// # Errors
    /// `NoContinuation` if a part of the response was passed on and this is not the rest of it.
    async fn receive_response(
        &mut self,
        response: Result<UpstreamResponse, Failure>,
    ) -> Result<Event, Failure> {
        let response = response?;
        if self.has_response_started() && !response.is_event_stream {
            spdlog::info!("no-continuation", kv: {
                instance: = self.dispatcher.name,
                request_id: = self.request.id,
                status = response.status
            });
            return Err(Failure::NoContinuation);
        }
        self.dispatcher.check_is_stream(self.key, &response)?;
        let events = self.dispatcher.run_events(self.key);
        let mut ready = self.dispatcher.read_response(response, events).await?;
        if self.has_paused_run() {
            ready.await_first_item().await.map_err(|loss| self.record_lost_start(loss))?;
        }
        Ok(self.store_response(ready))
    }

    /// Records what a stream has begun with in place of its first event, if anything.
    fn record_lost_start(&self, loss: StreamLoss) -> Failure {
        if let StreamLoss::Invalid(invalid) = loss {
            self.dispatcher.record_invalid_event(self.key, Request::upstream, invalid);
        }
        Failure::Broken
    }

    /// True if the stream has paused and its run is kept until another one has begun.
    fn has_paused_run(&self) -> bool {
        let router = self.dispatcher.router.borrow();
        router.request(self.key).is_some_and(|request| request.paused_engine().is_some())
    }

    /// True if the head of the response, and mostly events of it, were passed on.
    fn has_response_started(&self) -> bool {
        let router = self.dispatcher.router.borrow();
        router.request(self.key).is_some_and(|request| request.response_started)
    }

    /// Stores a response for `Step::Relay` and returns the event for the router.
    pub(super) fn store_response(&mut self, ready: ReadyResponse) -> Event {
        let status = ready.status();
        self.response = Some(ready);
        Event::ResponseStarted { status }
    }

    /// Waits until the router reports the request as runnable, at most until `until`.
    async fn wait_until_runnable(&self, until: Duration) {
        let wakeup = Rc::new(Notify::new());
        self.dispatcher.waiting.borrow_mut().insert(self.key, wakeup.clone());
        let remaining_time = until.saturating_sub(self.dispatcher.now());
        let _ = timeout(remaining_time, wakeup.notified()).await;
        self.dispatcher.waiting.borrow_mut().remove(&self.key);
    }
}
