//! Passes responses of upstreams and refusals on to the caller of a request.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::edge::direct::body_framing::BodyFraming;
use crate::edge::direct::bounded_read::MAX_PART_READ_BYTES;
use crate::edge::direct::bounded_read::ResponsePlace;
use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::direct::event_check::check_block;
use crate::edge::direct::last_waits::LastWaits;
use crate::edge::direct::ready_response::ReadyResponse;
use crate::edge::direct::request_log::RequestEnding;
use crate::edge::direct::request_log::StreamEnd;
use crate::edge::direct::request_log::log_invalid_event;
use crate::edge::direct::request_log::log_kept_run;
use crate::edge::direct::request_log::log_refusal;
use crate::edge::direct::request_log::log_request_ending;
use crate::edge::direct::request_log::log_stream_end;
use crate::edge::direct::request_task::CallerChannel;
use crate::edge::direct::request_task::RequestTask;
use crate::edge::direct::response::CallerResponse;
use crate::edge::direct::response::ResponseBody;
use crate::edge::direct::response::ResponsePart;
use crate::edge::direct::response::StreamedParts;
use crate::edge::direct::sse::EventSplitter;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::outcome::Refusal;
use crate::router::Event;

/// Number of body parts that are buffered for the caller. While the buffer is full, the
/// upstream's response is not read.
const PART_CHANNEL_CAPACITY: usize = 16;
/// Maximum size of an event, which is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Frame of a body, its end, or an error of its connection.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Response of an upstream that is being relayed.
pub(super) struct OpenStream {
    response: UpstreamResponse,
    splitter: EventSplitter,
    /// Id of the last event that was relayed, if any.
    last_event: Option<u64>,
    /// True once an event was received.
    has_events: bool,
    /// Number of events of the run that were received.
    events: usize,
    /// Number of received blocks that are no event of a run.
    invalid_events: usize,
    /// Number of events that were not relayed, as the caller has had them.
    repeated_events: usize,
    /// Frame that was received while the stream was not relayed.
    unread: Option<BodyFrame>,
    /// True once it was logged that the entry waits for the paused stream, until it goes on.
    kept_logged: bool,
}

impl OpenStream {
    fn new(response: UpstreamResponse, first_part: Option<Bytes>) -> Self {
        Self {
            response,
            splitter: EventSplitter::default(),
            last_event: None,
            has_events: false,
            events: 0,
            invalid_events: 0,
            repeated_events: 0,
            unread: first_part.map(|part| Some(Ok(Frame::data(part)))),
            kept_logged: false,
        }
    }

    /// True if the response is complete now that its body has ended. An engine that crashes may
    /// end the connection before the first event, also of a stream that it continues.
    fn is_complete(&self) -> bool {
        if !self.response.is_event_stream {
            return true;
        }
        let end_is_explicit = self.response.framing != BodyFraming::Connection;
        (end_is_explicit || self.has_events) && !self.splitter.is_inside_event()
    }

    async fn next_frame(&mut self) -> BodyFrame {
        match self.unread.take() {
            Some(frame) => frame,
            None => self.response.body.frame().await,
        }
    }

    /// Waits until a paused stream goes on or ends; forever without a stream. Returns false,
    /// and drops the stream, if its connection was lost.
    pub(super) async fn resumed(paused: &mut Option<Self>) -> bool {
        let Some(stream) = paused else { return pending().await };
        let frame = stream.next_frame().await;
        if matches!(frame, Some(Err(_))) {
            *paused = None;
            return false;
        }
        stream.unread = Some(frame);
        true
    }
}

/// Result of passing a response on.
enum RelayResult {
    /// The upstream's response is complete; its end is not passed on yet.
    Complete,
    /// The request has ended.
    Ended(RequestEnding),
    /// The upstream failed or the deadline passed; the router decides what follows.
    Failed(Event),
}

impl RelayResult {
    fn into_event(self) -> Option<Event> {
        match self {
            Self::Complete | Self::Ended(_) => None,
            Self::Failed(event) => Some(event),
        }
    }
}

fn ending_for(fully_sent: bool) -> RequestEnding {
    if fully_sent { RequestEnding::Answered } else { RequestEnding::CallerGone }
}

impl<U: UpstreamClient> RequestTask<U> {
    /// Logs how the request ended. `status` is 0 if no response had been received.
    pub(super) fn log_request_ending(&self, ending: RequestEnding, status: u16) {
        let now = self.dispatcher.now();
        let router = self.dispatcher.router.borrow();
        if let Some(request) = router.request(self.key) {
            log_request_ending(&self.dispatcher.name, now, request, ending, status);
        }
    }

    fn record_response_metrics(&self, status: u16) {
        let now = self.dispatcher.now();
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        let kind = if request.prompt.is_some() { "generated" } else { "plain" };
        self.dispatcher.metrics.record_response(
            status,
            kind,
            now.saturating_sub(request.arrived_at),
        );
    }

    /// Passes the stored response on. Returns `None` once all of it was handed over to the
    /// caller's connection or the caller has disconnected, else the event with which it
    /// failed.
    pub(super) async fn relay_response(&mut self, idle_timeout: Option<Duration>) -> Option<Event> {
        if let Some(stream) = self.paused.take() {
            return self.relay_kept_run(stream, idle_timeout).await;
        }
        match self.response.take()? {
            ReadyResponse::Buffered { status, headers, body } => {
                self.record_response_metrics(status);
                let now = self.dispatcher.now();
                self.dispatcher.router.borrow_mut().record_complete_response(now, self.key);
                if let CallerChannel::AwaitingHead(head) = &mut self.caller {
                    let body = ResponseBody::Complete(body);
                    let sent =
                        head.take()?.send(CallerResponse::Upstream { status, headers, body });
                    self.log_request_ending(ending_for(sent.is_ok()), status);
                } else {
                    // A stream that has begun cannot continue with a complete response.
                    self.record_abort("no-stream");
                }
                None
            }
            ReadyResponse::Streamed { response, first_part } => {
                let status = response.status;
                let Some(parts) = self.send_response_head(status, &response.headers) else {
                    self.log_request_ending(RequestEnding::CallerGone, status);
                    return None;
                };
                let stream = OpenStream::new(response, first_part);
                self.relay_stream(stream, &parts, idle_timeout).await
            }
        }
    }

    /// Sends the head of a streamed response, unless an earlier attempt has sent one.
    /// Returns the channel for the body, or `None` if the caller disconnected.
    fn send_response_head(
        &mut self,
        status: u16,
        headers: &HeaderMap,
    ) -> Option<mpsc::Sender<ResponsePart>> {
        if matches!(self.caller, CallerChannel::AwaitingHead(_)) {
            self.record_response_metrics(status);
        }
        if let CallerChannel::AwaitingHead(head) = &mut self.caller {
            let (parts, receiver) = mpsc::channel(PART_CHANNEL_CAPACITY);
            let body = ResponseBody::Streamed(StreamedParts::new(receiver));
            let response = CallerResponse::Upstream { status, headers: headers.clone(), body };
            head.take()?.send(response).ok()?;
            self.caller = CallerChannel::ReadingBody(parts);
        }
        match &self.caller {
            CallerChannel::ReadingBody(parts) => Some(parts.clone()),
            CallerChannel::AwaitingHead(_) => None,
        }
    }

    /// Goes on with a stream that paused.
    async fn relay_kept_run(
        &mut self,
        mut stream: OpenStream,
        idle_timeout: Option<Duration>,
    ) -> Option<Event> {
        let CallerChannel::ReadingBody(parts) = &self.caller else { return None };
        let parts = parts.clone();
        if let Some(request) = self.dispatcher.router.borrow().request(self.key)
            && !std::mem::replace(&mut stream.kept_logged, true)
        {
            log_kept_run(&self.dispatcher.name, self.dispatcher.now(), request);
        }
        self.relay_stream(stream, &parts, idle_timeout).await
    }

    /// Relays a stream to its end or its next failure.
    async fn relay_stream(
        &mut self,
        mut stream: OpenStream,
        parts: &mpsc::Sender<ResponsePart>,
        idle_timeout: Option<Duration>,
    ) -> Option<Event> {
        let status = stream.response.status;
        let result = self.relay_body(&mut stream, parts, idle_timeout).await;
        match &result {
            RelayResult::Ended(ending) => self.log_request_ending(*ending, status),
            RelayResult::Complete => {
                let now = self.dispatcher.now();
                self.dispatcher.router.borrow_mut().record_complete_response(now, self.key);
                let fully_sent = self.end_response(stream, parts).await;
                self.log_request_ending(ending_for(fully_sent), status);
            }
            RelayResult::Failed(Event::ResponsePaused { .. }) => self.paused = Some(stream),
            RelayResult::Failed(_) => {}
        }
        match result.into_event() {
            Some(Event::ResponseInterrupted { last_event })
                if self.dispatcher.has_upstream_crashed(self.key).await =>
            {
                Some(Event::UpstreamCrashed { last_event })
            }
            event => event,
        }
    }

    /// Relays the body. An event stream is relayed event by event, so that it can be
    /// resumed after the last complete one; a stream that ends inside an event was broken
    /// off, whatever its framing says.
    async fn relay_body(
        &mut self,
        stream: &mut OpenStream,
        parts: &mpsc::Sender<ResponsePart>,
        idle_timeout: Option<Duration>,
    ) -> RelayResult {
        let resumed_after = self.last_event();
        let mut last_waits = LastWaits::default();
        loop {
            let remaining_time = self.remaining_time();
            if remaining_time.is_zero() {
                return RelayResult::Failed(Event::DeadlinePassed);
            }
            stream.response.connection.limit_reads(MAX_PART_READ_BYTES);
            let last_event = stream.last_event;
            let frame = tokio::select! {
                biased;
                () = parts.closed() => return RelayResult::Ended(RequestEnding::CallerGone),
                frame = timeout(remaining_time, stream.next_frame()) => frame,
                () = self.engine_lost(idle_timeout) => {
                    return RelayResult::Failed(Event::ResponsePaused { last_event });
                }
                () = last_waits.used_up(&self.dispatcher.cutting) => {
                    return RelayResult::Failed(Event::EntryExits);
                }
            };
            let data = match frame {
                Err(_) => return RelayResult::Failed(Event::DeadlinePassed),
                Ok(Some(Err(_))) => {
                    stream.response.connection.log_if_exceeded(ResponsePlace::Body);
                    return RelayResult::Failed(Event::ResponseInterrupted { last_event });
                }
                Ok(None) if stream.is_complete() => {
                    return RelayResult::Complete;
                }
                Ok(None) => return RelayResult::Failed(self.broken_off(stream)),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            stream.kept_logged = false;
            if !stream.response.is_event_stream {
                if parts.send(ResponsePart::Data(data)).await.is_err() {
                    return RelayResult::Ended(RequestEnding::CallerGone);
                }
                continue;
            }
            stream.splitter.push(&data);
            while let Some(event) = stream.splitter.next_event() {
                stream.has_events = true;
                match check_block(&event.bytes, U::EVENT_EXTENSION_FIELDS) {
                    Ok(id) => stream.events += usize::from(id.is_some()),
                    Err(invalid) => self.record_invalid_event(stream, invalid, event.bytes.len()),
                }
                if event.id.is_some() && event.id <= stream.last_event.or(resumed_after) {
                    stream.repeated_events += 1;
                    continue;
                }
                if parts.send(ResponsePart::Data(event.bytes)).await.is_err() {
                    return RelayResult::Ended(RequestEnding::CallerGone);
                }
                stream.last_event = event.id.or(stream.last_event);
                self.record_event();
            }
            if stream.splitter.pending_bytes() > MAX_EVENT_BYTES {
                stream.response.connection.log_too_large(ResponsePlace::Event);
                let last_event = stream.last_event;
                return RelayResult::Failed(Event::ResponseInterrupted { last_event });
            }
        }
    }

    /// Id of the last event that the caller had received when the present run began, if any.
    fn last_event(&self) -> Option<u64> {
        let router = self.dispatcher.router.borrow();
        router.request(self.key).and_then(|request| request.last_event())
    }

    /// Counts a block that is no event of a run, and logs the first one of the run.
    fn record_invalid_event(&self, stream: &mut OpenStream, invalid: InvalidEvent, bytes: usize) {
        stream.invalid_events += 1;
        self.dispatcher.metrics.count_invalid_event(invalid);
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        if stream.invalid_events == 1 {
            let last_event = stream.last_event;
            log_invalid_event(&self.dispatcher.name, request, invalid, bytes, last_event);
        }
    }

    /// Logs that a stream ended before it was complete, and returns the event for the router.
    fn broken_off(&self, stream: &OpenStream) -> Event {
        self.log_stream_end(stream);
        Event::ResponseInterrupted { last_event: stream.last_event }
    }

    /// Releases the connection of a stream that is complete and ends the response. Returns
    /// false if the caller has disconnected.
    async fn end_response(
        &self,
        mut stream: OpenStream,
        parts: &mpsc::Sender<ResponsePart>,
    ) -> bool {
        self.log_stream_end(&stream);
        // Comments or blank lines after the last event.
        let remainder = stream.splitter.take_incomplete();
        let UpstreamResponse { connection, keep_alive, .. } = stream.response;
        self.dispatcher.upstream_client.release_connection(connection, keep_alive);
        let remainder_sent =
            remainder.is_empty() || parts.send(ResponsePart::Data(remainder)).await.is_ok();
        remainder_sent && parts.send(ResponsePart::End).await.is_ok()
    }

    fn log_stream_end(&self, stream: &OpenStream) {
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        let end = StreamEnd {
            framing: stream.response.framing,
            last_event: stream.last_event,
            events: stream.events,
            invalid_events: stream.invalid_events,
            repeated_events: stream.repeated_events,
            remainder_bytes: stream.splitter.pending_bytes(),
        };
        log_stream_end(&self.dispatcher.name, request, &end);
    }

    fn record_event(&self) {
        let now = self.dispatcher.now();
        let stall = self.dispatcher.router.borrow_mut().record_event(now, self.key);
        self.dispatcher.origin_log.wake_appender(&self.dispatcher.router.borrow());
        self.dispatcher.crash_log.wake(&self.dispatcher.router.borrow());
        let Some(stall) = stall else { return };
        spdlog::info!("stream-stalled", kv: {
            instance: = self.dispatcher.name,
            request_id: = self.request.id,
            pause_ms = stall.interval.as_millis() as u64,
            margin_factor = stall.margin_factor
        });
    }

    /// Counts and logs a refusal. Sends it to the caller only if no head has been sent yet.
    pub(super) fn send_refusal(&mut self, refusal: Refusal) {
        let version = {
            let router = self.dispatcher.router.borrow();
            router.request(self.key).map_or(0, |request| request.version())
        };
        self.dispatcher.metrics.count_refusal(&refusal);
        log_refusal(&self.dispatcher.name, &self.request.id, &refusal, version);
        if let CallerChannel::AwaitingHead(head) = &mut self.caller
            && let Some(head) = head.take()
        {
            // Sending fails if the caller has just disconnected.
            let _ = head.send(CallerResponse::Refused(refusal));
        }
    }
}
