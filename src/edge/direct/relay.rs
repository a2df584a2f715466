//! Passes responses of upstreams and refusals on to the caller of a request.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::edge::direct::bounded_read::MAX_PART_READ_BYTES;
use crate::edge::direct::bounded_read::ResponsePlace;
use crate::edge::direct::request_log::RequestEnding;
use crate::edge::direct::request_log::log_refusal;
use crate::edge::direct::request_log::log_request_ending;
use crate::edge::direct::request_task::CallerChannel;
use crate::edge::direct::request_task::ReadyResponse;
use crate::edge::direct::request_task::RequestTask;
use crate::edge::direct::response::CallerResponse;
use crate::edge::direct::response::ResponseBody;
use crate::edge::direct::response::ResponsePart;
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

/// Result of passing a response on.
enum RelayResult {
    /// The request has ended.
    Ended(RequestEnding),
    /// The upstream failed or the deadline passed; the router decides what follows.
    Failed(Event),
}

impl RelayResult {
    fn into_event(self) -> Option<Event> {
        match self {
            Self::Ended(_) => None,
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
    pub(super) async fn relay_response(&mut self, idle_timeout: Duration) -> Option<Event> {
        match self.response.take()? {
            ReadyResponse::Buffered { status, headers, body } => {
                self.record_response_metrics(status);
                if let CallerChannel::AwaitingHead(head) = &mut self.caller {
                    let body = ResponseBody::Complete(body);
                    let sent =
                        head.take()?.send(CallerResponse::Upstream { status, headers, body });
                    self.log_request_ending(ending_for(sent.is_ok()), status);
                }
                None
            }
            ReadyResponse::Streamed(response) => {
                let status = response.status;
                let Some(parts) = self.send_response_head(status, &response.headers) else {
                    self.log_request_ending(RequestEnding::CallerGone, status);
                    return None;
                };
                let result = self.relay_body(response, &parts, idle_timeout).await;
                if let RelayResult::Ended(ending) = result {
                    self.log_request_ending(ending, status);
                }
                result.into_event()
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
            let body = ResponseBody::Streamed(receiver);
            let response = CallerResponse::Upstream { status, headers: headers.clone(), body };
            head.take()?.send(response).ok()?;
            self.caller = CallerChannel::ReadingBody(parts);
        }
        match &self.caller {
            CallerChannel::ReadingBody(parts) => Some(parts.clone()),
            CallerChannel::AwaitingHead(_) => None,
        }
    }

    /// Relays the body. An event stream is relayed event by event, so that it can be
    /// resumed after the last complete one; an incomplete event follows only if the stream
    /// ends with it.
    async fn relay_body(
        &mut self,
        mut response: UpstreamResponse,
        parts: &mpsc::Sender<ResponsePart>,
        idle_timeout: Duration,
    ) -> RelayResult {
        let mut splitter = EventSplitter::default();
        let mut last_event = None;
        loop {
            let remaining_time = self.remaining_time();
            if remaining_time.is_zero() {
                return RelayResult::Failed(Event::DeadlinePassed);
            }
            let limit = idle_timeout.min(remaining_time);
            response.connection.limit_reads(MAX_PART_READ_BYTES);
            let frame = tokio::select! {
                biased;
                () = parts.closed() => return RelayResult::Ended(RequestEnding::CallerGone),
                frame = timeout(limit, response.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) if self.remaining_time().is_zero() => {
                    return RelayResult::Failed(Event::DeadlinePassed);
                }
                Err(_) | Ok(Some(Err(_))) => {
                    response.connection.log_if_exceeded(ResponsePlace::Body);
                    return RelayResult::Failed(Event::ResponseInterrupted { last_event });
                }
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if !response.is_event_stream {
                if parts.send(ResponsePart::Data(data)).await.is_err() {
                    return RelayResult::Ended(RequestEnding::CallerGone);
                }
                continue;
            }
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                if parts.send(ResponsePart::Data(event.bytes)).await.is_err() {
                    return RelayResult::Ended(RequestEnding::CallerGone);
                }
                last_event = event.id.or(last_event);
                self.record_event();
            }
            if splitter.pending_bytes() > MAX_EVENT_BYTES {
                response.connection.log_too_large(ResponsePlace::Event);
                return RelayResult::Failed(Event::ResponseInterrupted { last_event });
            }
        }
        self.dispatcher
            .upstream_client
            .release_connection(response.connection, response.keep_alive);
        let incomplete = splitter.take_incomplete();
        let incomplete_sent =
            incomplete.is_empty() || parts.send(ResponsePart::Data(incomplete)).await.is_ok();
        RelayResult::Ended(ending_for(
            incomplete_sent && parts.send(ResponsePart::End).await.is_ok(),
        ))
    }

    fn record_event(&self) {
        let now = self.dispatcher.now();
        let stall = self.dispatcher.router.borrow_mut().record_event(now, self.key);
        self.dispatcher.origin_log.wake_appender(&self.dispatcher.router.borrow());
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
