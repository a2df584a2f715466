//! One request underway: carries out its steps and tells what came of them.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Body;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::edge::direct::decisions::Ending;
use crate::edge::direct::decisions::failure_of;
use crate::edge::direct::decisions::kind_of;
use crate::edge::direct::decisions::log_event;
use crate::edge::direct::decisions::log_step;
use crate::edge::direct::dispatch::Dispatcher;
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
use crate::router::request::RequestKey;

/// Answers up to this size are read whole before they are passed on, so that
/// one that breaks off can be asked for again.
const MAX_WHOLE_BYTES: u64 = 256 << 10;
/// Answers beyond this size are not read whole.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Where the answer goes.
pub(super) enum Caller {
    /// Nothing was sent yet.
    Waiting(Option<oneshot::Sender<CallerResponse>>),
    /// The head was sent, and parts follow.
    Reading(mpsc::Sender<ResponsePart>),
}

impl Caller {
    async fn gone(&mut self) {
        match self {
            Self::Waiting(Some(head)) => head.closed().await,
            Self::Waiting(None) => pending().await,
            Self::Reading(parts) => parts.closed().await,
        }
    }
}

/// An answer of an upstream, ready to be passed on.
pub(super) enum Ready {
    Whole { status: u16, headers: HeaderMap, body: Bytes },
    Parts(UpstreamResponse),
}

/// One request underway.
pub(super) struct Drive<U> {
    pub(super) dispatcher: Rc<Dispatcher<U>>,
    pub(super) key: RequestKey,
    pub(super) request: ForwardedRequest,
    pub(super) answer: Option<Ready>,
    pub(super) caller: Caller,
}

impl<U: UpstreamClient> Drive<U> {
    /// Runs the request to its end.
    pub(super) async fn run(mut self) {
        let dispatcher = self.dispatcher.clone();
        let mut began = dispatcher.now();
        let mut step = dispatcher.router.borrow_mut().start(began, self.key);
        loop {
            let kind = kind_of(&step);
            let Some(event) = self.carry_out(step).await else { break };
            let now = dispatcher.now();
            dispatcher.metrics.record_step(kind, now.saturating_sub(began));
            began = now;
            self.log(now, &event);
            let reason = failure_of(&event);
            step = dispatcher.router.borrow_mut().advance(now, self.key, event);
            self.count(&reason, &step);
            dispatcher.settle();
        }
        dispatcher.router.borrow_mut().finish(dispatcher.now(), self.key);
        dispatcher.settle();
    }

    fn log(&self, now: Duration, event: &Event) {
        let router = self.dispatcher.router.borrow();
        if let Some(request) = router.request(self.key) {
            log_event(&self.dispatcher.name, now, request, event);
        }
    }

    fn count(&self, failure: &Option<String>, step: &Step) {
        let Some(reason) = failure else { return };
        self.dispatcher.metrics.count_failure(reason);
        if !matches!(step, Step::Refuse(_) | Step::Abort) {
            self.dispatcher.metrics.count_retry(reason);
        }
    }

    /// Carries a step out. `None` once the request is over.
    async fn carry_out(&mut self, step: Step) -> Option<Event> {
        log_step(&self.dispatcher.name, &self.request.id, &step);
        match step {
            Step::Refuse(refusal) => {
                self.refuse(refusal);
                None
            }
            Step::Abort => {
                spdlog::info!("aborted", kv: {
                    instance: = self.dispatcher.name,
                    request_id: = self.request.id
                });
                // The channel closes without an end: the caller sees that the
                // answer is not whole.
                None
            }
            Step::Relay { idle_timeout } => self.relay(idle_timeout).await,
            step => self.ask(step).await,
        }
    }

    /// Carries out a step that ends with the deadline or with the caller.
    async fn ask(&mut self, step: Step) -> Option<Event> {
        let left = self.left();
        let mut caller = std::mem::replace(&mut self.caller, Caller::Waiting(None));
        let event = tokio::select! {
            biased;
            () = caller.gone() => None,
            event = timeout(left, self.perform(step)) => {
                Some(event.unwrap_or(Event::DeadlinePassed))
            }
        };
        self.caller = caller;
        if event.is_none() {
            self.log_ending(Ending::CallerGone, 0);
        }
        event
    }

    /// Time left until the deadline.
    pub(super) fn left(&self) -> Duration {
        let router = self.dispatcher.router.borrow();
        router
            .request(self.key)
            .map_or(Duration::ZERO, |request| request.remaining_time(self.dispatcher.now()))
    }

    async fn perform(&mut self, step: Step) -> Event {
        match step {
            Step::Reserve { target, tokens, ttl, timeout: limit } => {
                let reserve = self.dispatcher.upstreams.reserve(&target, tokens, ttl);
                match timeout(limit, reserve).await.unwrap_or(Err(Failure::Silent)) {
                    Ok(Some(reservation)) => Event::Reserved { reservation },
                    Ok(None) => Event::ReservationRejected,
                    Err(failure) => Event::Failed(failure),
                }
            }
            Step::Prefill { target, deadline, timeout: limit } => {
                match self.prefill(&target, deadline, limit).await {
                    Ok(handle) => Event::Prefilled { handle },
                    Err(failure) => Event::Failed(failure),
                }
            }
            Step::Decode { target, source, reservation, after_event, priority, deadline } => {
                let parameters = GenerateParameters {
                    target,
                    source,
                    reservation,
                    after_event,
                    priority,
                    deadline,
                };
                let answer = self.dispatcher.upstreams.generate(&self.request, &parameters).await;
                self.answered(answer).await
            }
            Step::Call { target, deadline, timeout: limit, fresh_connection } => {
                let exchange = async {
                    let upstreams = &self.dispatcher.upstreams;
                    let call = upstreams.call(&self.request, &target, deadline, fresh_connection);
                    let answer = call.await?;
                    self.read_ahead(answer).await
                };
                let ready = timeout(limit, exchange).await.unwrap_or(Err(Failure::Silent));
                self.take_ready(ready)
            }
            Step::Wait { until } => {
                self.sleep(until).await;
                Event::WaitEnded
            }
            Step::Relay { .. } | Step::Refuse(_) | Step::Abort => Event::WaitEnded,
        }
    }

    async fn prefill(
        &self,
        target: &Target,
        deadline: Duration,
        limit: Duration,
    ) -> Result<CompactString, Failure> {
        let dispatcher = &self.dispatcher;
        let prefill = dispatcher.upstreams.prefill(&self.request, target, deadline);
        let mut prefill = std::pin::pin!(prefill);
        if let Ok(result) = timeout(limit, prefill.as_mut()).await {
            return result;
        }
        let now = dispatcher.now();
        if dispatcher.router.borrow_mut().abandon_prefill(now, self.key) {
            return Err(Failure::Silent);
        }
        // The deadline of the request ends the wait.
        prefill.await
    }

    async fn answered(&mut self, answer: Result<UpstreamResponse, Failure>) -> Event {
        let ready = match answer {
            Ok(answer) => self.read_ahead(answer).await,
            Err(failure) => Err(failure),
        };
        self.take_ready(ready)
    }

    fn take_ready(&mut self, ready: Result<Ready, Failure>) -> Event {
        match ready {
            Ok(ready) => {
                let status = match &ready {
                    Ready::Whole { status, .. } => *status,
                    Ready::Parts(answer) => answer.status,
                };
                self.answer = Some(ready);
                Event::ResponseStarted { status }
            }
            Err(failure) => Event::Failed(failure),
        }
    }

    /// Reads an answer whole if it is small and not a stream.
    async fn read_ahead(&self, answer: UpstreamResponse) -> Result<Ready, Failure> {
        let small = answer.body.size_hint().exact().is_none_or(|bytes| bytes <= MAX_WHOLE_BYTES);
        if answer.is_event_stream || !small {
            return Ok(Ready::Parts(answer));
        }
        let UpstreamResponse { status, headers, mut body, connection, keep_alive, .. } = answer;
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(Failure::Broken) };
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
            if whole.len() as u64 > MAX_ANSWER_BYTES {
                return Err(Failure::Broken);
            }
        }
        self.dispatcher.upstreams.release_connection(connection, keep_alive);
        Ok(Ready::Whole { status, headers, body: whole.freeze() })
    }

    async fn sleep(&self, until: Duration) {
        let sleeper = Rc::new(Notify::new());
        self.dispatcher.sleepers.borrow_mut().insert(self.key, sleeper.clone());
        let pause = until.saturating_sub(self.dispatcher.now());
        let _ = timeout(pause, sleeper.notified()).await;
        self.dispatcher.sleepers.borrow_mut().remove(&self.key);
    }
}
