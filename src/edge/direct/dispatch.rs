//! Carries out the steps of each request and feeds what came of them back.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
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

use crate::clock::Clock;
use crate::edge::direct::answer::Part;
use crate::edge::direct::answer::Reply;
use crate::edge::direct::answer::ReplyBody;
use crate::edge::direct::metrics::Metrics;
use crate::edge::direct::sse::Splitter;
use crate::edge::direct::upstream_client::ForwardedRequest;
use crate::edge::direct::upstream_client::GenerateOrder;
use crate::edge::direct::upstream_client::UpstreamAnswer;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Event;
use crate::router::Router;
use crate::router::Step;
use crate::router::Target;
use crate::router::flow::Failure;
use crate::router::request::Inquiry;
use crate::router::request::RequestKey;

/// Answers up to this size are read whole before they are passed on, so that
/// one that breaks off can be asked for again.
const MAX_WHOLE_BYTES: u64 = 256 << 10;
const PARTS_IN_FLIGHT: usize = 16;

/// The core, and what it needs to reach upstreams.
pub struct Dispatcher<U> {
    /// Name of this instance, for logs.
    pub name: CompactString,
    /// The decision core.
    pub router: RefCell<Router>,
    /// The upstreams' protocol.
    pub upstreams: U,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// What is counted.
    pub metrics: Metrics,
    sleepers: RefCell<HashMap<RequestKey, Rc<Notify>>>,
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// A dispatcher without requests.
    pub fn new(name: CompactString, router: Router, upstreams: U, clock: Arc<dyn Clock>) -> Self {
        let router = RefCell::new(router);
        let (metrics, sleepers) = (Metrics::default(), RefCell::default());
        Self { name, router, upstreams, clock, metrics, sleepers }
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Serves a request. Dropping the future, or the body of the answer, means
    /// that the caller is gone.
    pub async fn serve(self: &Rc<Self>, inquiry: Inquiry, request: ForwardedRequest) -> Reply {
        let arrived = self.router.borrow_mut().arrive(self.now(), inquiry);
        let key = match arrived {
            Ok(key) => key,
            Err(refusal) => {
                self.metrics.refused(&refusal);
                log_refusal(&self.name, &request.id, &refusal, 0);
                return Reply::Refused(refusal);
            }
        };
        self.log_arrival(key);
        let (head, reply) = oneshot::channel();
        let drive = Drive {
            dispatcher: self.clone(),
            key,
            request,
            answer: None,
            caller: Caller::Waiting(Some(head)),
        };
        tokio::task::spawn_local(drive.run());
        reply.await.unwrap_or_else(|_| Reply::Refused(lost()))
    }

    fn log_arrival(&self, key: RequestKey) {
        let router = self.router.borrow();
        let Some(request) = router.request(key) else { return };
        spdlog::info!("arrived", kv: {
            instance: = self.name,
            request_id: = request.id,
            route: = request.route().name,
            patience_ms = crate::clock::as_ms(request.left(request.arrived)),
            prompt_tokens = request.prompt.map_or(0, |prompt| prompt.tokens),
            max_output_tokens = request.prompt.map_or(0, |prompt| prompt.max_output_tokens),
            output_hint = request.prompt.and_then(|prompt| prompt.output_hint).unwrap_or(0),
            generation = request.version()
        });
    }

    /// Carries out what the core wants done beside the steps of one request.
    fn settle(self: &Rc<Self>) {
        let cleanups = self.router.borrow_mut().take_cleanups();
        for cleanup in cleanups {
            let dispatcher = self.clone();
            tokio::task::spawn_local(async move { dispatcher.upstreams.clean_up(cleanup).await });
        }
        let woken = self.router.borrow_mut().take_woken();
        let sleepers = self.sleepers.borrow();
        for key in woken {
            if let Some(sleeper) = sleepers.get(&key) {
                sleeper.notify_one();
            }
        }
    }
}

fn kind_of(step: &Step) -> &'static str {
    match step {
        Step::Reserve { .. } => "reserve",
        Step::Prefill { .. } => "prefill",
        Step::Decode { .. } => "decode",
        Step::Call { .. } => "call",
        Step::Wait { .. } => "wait",
        Step::Relay { .. } => "relay",
        Step::Refuse(_) => "refuse",
        Step::Abort => "abort",
    }
}

fn failure_of(event: &Event) -> Option<String> {
    match event {
        Event::Failed(failure) => Some(failure.to_string()),
        Event::BrokeOff { .. } => Some("broke-off".to_string()),
        Event::DeadlinePassed => Some("deadline-passed".to_string()),
        _ => None,
    }
}

/// The task of the request ended without an answer.
fn lost() -> Refusal {
    Refusal::with_outcome(RefusalReason::UpstreamLost, crate::outcome::Outcome::Unknown)
}

fn log_refusal(instance: &str, id: &str, refusal: &Refusal, version: u64) {
    spdlog::info!("refused", kv: {
        instance: = instance,
        request_id: = id,
        reason: = refusal.reason,
        outcome: = refusal.outcome,
        retry_after_ms = refusal.retry_after.map_or(0, crate::clock::as_ms),
        generation = version
    });
}

/// Where the answer goes.
enum Caller {
    /// Nothing was sent yet.
    Waiting(Option<oneshot::Sender<Reply>>),
    /// The head was sent, and parts follow.
    Reading(mpsc::Sender<Part>),
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
enum Ready {
    Whole { status: u16, headers: HeaderMap, body: Bytes },
    Parts(UpstreamAnswer),
}

/// One request underway.
struct Drive<U> {
    dispatcher: Rc<Dispatcher<U>>,
    key: RequestKey,
    request: ForwardedRequest,
    answer: Option<Ready>,
    caller: Caller,
}

impl<U: UpstreamClient> Drive<U> {
    async fn run(mut self) {
        let dispatcher = self.dispatcher.clone();
        let mut began = dispatcher.now();
        let mut step = dispatcher.router.borrow_mut().begin(began, self.key);
        loop {
            let kind = kind_of(&step);
            let Some(event) = self.carry_out(step).await else { break };
            let now = dispatcher.now();
            dispatcher.metrics.step(kind, now.saturating_sub(began));
            began = now;
            self.log_event(now, &event);
            let reason = failure_of(&event);
            step = dispatcher.router.borrow_mut().advance(now, self.key, event);
            self.count(&reason, &step);
            dispatcher.settle();
        }
        dispatcher.router.borrow_mut().finish(dispatcher.now(), self.key);
        dispatcher.settle();
    }

    fn count(&self, failure: &Option<String>, step: &Step) {
        let Some(reason) = failure else { return };
        self.dispatcher.metrics.failed(reason);
        if !matches!(step, Step::Refuse(_) | Step::Abort) {
            self.dispatcher.metrics.retried(reason);
        }
    }

    /// Carries a step out. `None` once the request is over.
    async fn carry_out(&mut self, step: Step) -> Option<Event> {
        self.log_step(&step);
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
            Step::Relay { silence } => self.relay(silence).await,
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
        event
    }

    fn left(&self) -> Duration {
        let router = self.dispatcher.router.borrow();
        router
            .request(self.key)
            .map_or(Duration::ZERO, |request| request.left(self.dispatcher.now()))
    }

    async fn perform(&mut self, step: Step) -> Event {
        match step {
            Step::Reserve { target, tokens, ttl, timeout: limit } => {
                let reserve = self.dispatcher.upstreams.reserve(&target, tokens, ttl);
                match timeout(limit, reserve).await.unwrap_or(Err(Failure::Silent)) {
                    Ok(Some(reservation)) => Event::Reserved { reservation },
                    Ok(None) => Event::NoRoom,
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
                let order =
                    GenerateOrder { target, source, reservation, after_event, priority, deadline };
                let answer = self.dispatcher.upstreams.generate(&self.request, &order).await;
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
                Event::Waited
            }
            Step::Relay { .. } | Step::Refuse(_) | Step::Abort => Event::Waited,
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
        if dispatcher.router.borrow_mut().gives_up_prefill(now, self.key) {
            return Err(Failure::Silent);
        }
        // The deadline of the request ends the wait.
        prefill.await
    }

    async fn answered(&mut self, answer: Result<UpstreamAnswer, Failure>) -> Event {
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
                Event::Answered { status }
            }
            Err(failure) => Event::Failed(failure),
        }
    }

    /// Reads an answer whole if it is small and not a stream.
    async fn read_ahead(&self, answer: UpstreamAnswer) -> Result<Ready, Failure> {
        let small = answer.body.size_hint().exact().is_none_or(|bytes| bytes <= MAX_WHOLE_BYTES);
        if answer.events || !small {
            return Ok(Ready::Parts(answer));
        }
        let UpstreamAnswer { status, headers, mut body, connection, keep, .. } = answer;
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
        self.dispatcher.upstreams.give_back(connection, keep);
        Ok(Ready::Whole { status, headers, body: whole.freeze() })
    }

    async fn sleep(&self, until: Duration) {
        let sleeper = Rc::new(Notify::new());
        self.dispatcher.sleepers.borrow_mut().insert(self.key, sleeper.clone());
        let pause = until.saturating_sub(self.dispatcher.now());
        let _ = timeout(pause, sleeper.notified()).await;
        self.dispatcher.sleepers.borrow_mut().remove(&self.key);
    }

    fn count_answer(&self, status: u16) {
        let now = self.dispatcher.now();
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        let kind = if request.prompt.is_some() { "generated" } else { "plain" };
        self.dispatcher.metrics.answered(status, kind, now.saturating_sub(request.arrived));
    }

    /// Passes the answer on. `None` once the caller has all of it or is gone.
    async fn relay(&mut self, silence: Duration) -> Option<Event> {
        match self.answer.take()? {
            Ready::Whole { status, headers, body } => {
                self.count_answer(status);
                if let Caller::Waiting(head) = &mut self.caller {
                    let body = ReplyBody::Whole(body);
                    // The caller may have gone in this moment.
                    let _ = head.take()?.send(Reply::Answer { status, headers, body });
                }
                None
            }
            Ready::Parts(answer) => {
                let parts = self.send_head(answer.status, &answer.headers)?;
                self.relay_parts(answer, &parts, silence).await
            }
        }
    }

    fn send_head(&mut self, status: u16, headers: &HeaderMap) -> Option<mpsc::Sender<Part>> {
        if matches!(self.caller, Caller::Waiting(_)) {
            self.count_answer(status);
        }
        if let Caller::Waiting(head) = &mut self.caller {
            let (parts, receiver) = mpsc::channel(PARTS_IN_FLIGHT);
            let body = ReplyBody::Parts(receiver);
            let reply = Reply::Answer { status, headers: headers.clone(), body };
            head.take()?.send(reply).ok()?;
            self.caller = Caller::Reading(parts);
        }
        match &self.caller {
            Caller::Reading(parts) => Some(parts.clone()),
            Caller::Waiting(_) => None,
        }
    }

    async fn relay_parts(
        &mut self,
        mut answer: UpstreamAnswer,
        parts: &mpsc::Sender<Part>,
        silence: Duration,
    ) -> Option<Event> {
        let mut splitter = Splitter::default();
        let mut last_event = None;
        loop {
            let pause = silence.min(self.left());
            let frame = tokio::select! {
                biased;
                () = parts.closed() => return None,
                frame = timeout(pause, answer.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) if self.left().is_zero() => return Some(Event::DeadlinePassed),
                Err(_) | Ok(Some(Err(_))) => return Some(Event::BrokeOff { last_event }),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if !answer.events {
                parts.send(Part::Data(data)).await.ok()?;
                continue;
            }
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                parts.send(Part::Data(event.bytes)).await.ok()?;
                last_event = event.id.or(last_event);
            }
        }
        if !splitter.is_empty() {
            parts.send(Part::Data(splitter.take_rest())).await.ok()?;
        }
        self.dispatcher.upstreams.give_back(answer.connection, answer.keep);
        // The caller may have gone in this moment.
        let _ = parts.send(Part::End).await;
        None
    }

    fn refuse(&mut self, refusal: Refusal) {
        let version = {
            let router = self.dispatcher.router.borrow();
            router.request(self.key).map_or(0, |request| request.version())
        };
        self.dispatcher.metrics.refused(&refusal);
        log_refusal(&self.dispatcher.name, &self.request.id, &refusal, version);
        if let Caller::Waiting(head) = &mut self.caller
            && let Some(head) = head.take()
        {
            // The caller may have gone in this moment.
            let _ = head.send(Reply::Refused(refusal));
        }
    }

    fn log_step(&self, step: &Step) {
        let (upstream, detail) = match step {
            Step::Reserve { target, tokens, .. } => (&target.id, format!("tokens {tokens}")),
            Step::Prefill { target, timeout, .. } => (&target.id, format!("timeout {timeout:?}")),
            Step::Decode { target, source, after_event, .. } => {
                let source = source.as_ref().map(|source| source.address);
                (&target.id, format!("source {source:?} after {after_event:?}"))
            }
            Step::Call { target, timeout, .. } => (&target.id, format!("timeout {timeout:?}")),
            Step::Wait { .. } | Step::Relay { .. } | Step::Refuse(_) | Step::Abort => return,
        };
        let kind = kind_of(step);
        spdlog::info!("{kind}", kv: {
            instance: = self.dispatcher.name,
            request_id: = self.request.id,
            upstream: = upstream,
            detail: = detail
        });
    }

    fn log_event(&self, now: Duration, event: &Event) {
        let (what, detail) = match event {
            Event::Failed(failure) => ("failed", failure.to_string()),
            Event::BrokeOff { last_event } => ("broke-off", format!("after {last_event:?}")),
            Event::DeadlinePassed => ("deadline-passed", String::new()),
            _ => return,
        };
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        let age_ms = crate::clock::as_ms(now.saturating_sub(request.arrived));
        spdlog::info!("{what}", kv: {
            instance: = self.dispatcher.name,
            request_id: = self.request.id,
            route: = request.route().name,
            upstream: = request.upstream_id(),
            generation = request.version(),
            age_ms = age_ms,
            detail: = detail
        });
    }
}

const MAX_ANSWER_BYTES: u64 = 16 << 20;
