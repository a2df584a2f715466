//! Passes responses of upstreams and refusals on to the caller of a request.

use std::time::Duration;

use hyper::HeaderMap;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::edge::direct::last_waits::LastWaits;
use crate::edge::direct::open_stream::OpenStream;
use crate::edge::direct::open_stream::StreamItem;
use crate::edge::direct::ready_response::ReadyResponse;
use crate::edge::direct::request_log::RequestEnding;
use crate::edge::direct::request_log::StreamEnd;
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
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::outcome::Refusal;
use crate::router::Event;
use crate::router::request::Request;

/// Number of body parts that are buffered for the caller. While the buffer is full, the
/// upstream's response is not read.
const PART_CHANNEL_CAPACITY: usize = 16;

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
            ReadyResponse::Streamed(stream) => {
                let status = stream.response.status;
                let headers = &stream.response.headers;
                let Some(parts) = self.send_response_head(status, headers) else {
                    self.log_request_ending(RequestEnding::CallerGone, status);
                    return None;
                };
                self.relay_stream(*stream, &parts, idle_timeout).await
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

    /// Relays the body. A stream is relayed event by event, so that it can be resumed after the
    /// last one; what is no event of its run interrupts it.
    async fn relay_body(
        &mut self,
        stream: &mut OpenStream,
        parts: &mpsc::Sender<ResponsePart>,
        idle_timeout: Option<Duration>,
    ) -> RelayResult {
        let mut last_waits = LastWaits::default();
        loop {
            let remaining_time = self.remaining_time();
            if remaining_time.is_zero() {
                return RelayResult::Failed(Event::DeadlinePassed);
            }
            let last_event = stream.last_event;
            let item = tokio::select! {
                biased;
                () = parts.closed() => return RelayResult::Ended(RequestEnding::CallerGone),
                item = timeout(remaining_time, stream.next_item()) => item,
                () = self.engine_lost(idle_timeout) => {
                    return RelayResult::Failed(Event::ResponsePaused { last_event });
                }
                () = last_waits.used_up(&self.dispatcher.cutting) => {
                    return RelayResult::Failed(Event::EntryExits);
                }
            };
            let Ok(item) = item else { return RelayResult::Failed(Event::DeadlinePassed) };
            stream.kept_logged = false;
            let data = match item {
                StreamItem::Event(event) => {
                    stream.last_event = Some(event.id);
                    event.bytes
                }
                StreamItem::Part(data) => data,
                StreamItem::Complete => return RelayResult::Complete,
                StreamItem::ConnectionLost => {
                    return RelayResult::Failed(Event::ResponseInterrupted { last_event });
                }
                StreamItem::EndedEarly => return RelayResult::Failed(self.broken_off(stream)),
                StreamItem::Invalid(invalid) => {
                    self.dispatcher.record_invalid_event(self.key, Request::upstream, invalid);
                    return RelayResult::Failed(self.broken_off(stream));
                }
            };
            if parts.send(ResponsePart::Data(data)).await.is_err() {
                return RelayResult::Ended(RequestEnding::CallerGone);
            }
            if stream.events.is_some() {
                self.record_event();
            }
        }
    }

    /// Logs that a stream ended before it was complete, and returns the event for the router.
    fn broken_off(&self, stream: &OpenStream) -> Event {
        self.log_stream_end(stream);
        Event::ResponseInterrupted { last_event: stream.last_event }
    }

    /// Releases the connection of a stream that is complete and ends the response. Returns
    /// false if the caller has disconnected.
    async fn end_response(&self, stream: OpenStream, parts: &mpsc::Sender<ResponsePart>) -> bool {
        self.log_stream_end(&stream);
        let UpstreamResponse { connection, keep_alive, .. } = stream.response;
        self.dispatcher.upstream_client.release_connection(connection, keep_alive);
        parts.send(ResponsePart::End).await.is_ok()
    }

    fn log_stream_end(&self, stream: &OpenStream) {
        let Some(events) = &stream.events else { return };
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        let end = StreamEnd {
            framing: stream.response.framing,
            last_event: stream.last_event,
            events: events.count(),
            repeated_events: events.repeated_events(),
            remainder_bytes: events.remainder_bytes(),
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
