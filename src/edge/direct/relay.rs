//! Passes answers and refusals on to the caller of a request.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::edge::direct::decisions::Ending;
use crate::edge::direct::decisions::log_ending;
use crate::edge::direct::decisions::log_refusal;
use crate::edge::direct::drive::Caller;
use crate::edge::direct::drive::Drive;
use crate::edge::direct::drive::Ready;
use crate::edge::direct::response::CallerResponse;
use crate::edge::direct::response::ResponseBody;
use crate::edge::direct::response::ResponsePart;
use crate::edge::direct::sse::EventSplitter;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::outcome::Refusal;
use crate::router::Event;

const PARTS_IN_FLIGHT: usize = 16;

/// What came of passing an answer on.
enum Relayed {
    Ended(Ending),
    Failed(Event),
}

impl Relayed {
    fn into_event(self) -> Option<Event> {
        match self {
            Self::Ended(_) => None,
            Self::Failed(event) => Some(event),
        }
    }
}

fn ending_of(has_all: bool) -> Ending {
    if has_all { Ending::Answered } else { Ending::CallerGone }
}

impl<U: UpstreamClient> Drive<U> {
    /// Says how the request ended. `status` is 0 if no answer was begun.
    pub(super) fn log_ending(&self, ending: Ending, status: u16) {
        let now = self.dispatcher.now();
        let router = self.dispatcher.router.borrow();
        if let Some(request) = router.request(self.key) {
            log_ending(&self.dispatcher.name, now, request, ending, status);
        }
    }

    fn count_answer(&self, status: u16) {
        let now = self.dispatcher.now();
        let router = self.dispatcher.router.borrow();
        let Some(request) = router.request(self.key) else { return };
        let kind = if request.prompt.is_some() { "generated" } else { "plain" };
        self.dispatcher.metrics.record_response(status, kind, now.saturating_sub(request.arrived_at));
    }

    /// Passes the answer on. `None` once the caller has all of it or is gone.
    pub(super) async fn relay(&mut self, silence: Duration) -> Option<Event> {
        match self.answer.take()? {
            Ready::Whole { status, headers, body } => {
                self.count_answer(status);
                if let Caller::Waiting(head) = &mut self.caller {
                    let body = ResponseBody::Complete(body);
                    let sent =
                        head.take()?.send(CallerResponse::Upstream { status, headers, body });
                    self.log_ending(ending_of(sent.is_ok()), status);
                }
                None
            }
            Ready::Parts(answer) => {
                let status = answer.status;
                let Some(parts) = self.send_head(status, &answer.headers) else {
                    self.log_ending(Ending::CallerGone, status);
                    return None;
                };
                let event = self.relay_parts(answer, &parts, silence).await;
                if let Relayed::Ended(ending) = event {
                    self.log_ending(ending, status);
                }
                event.into_event()
            }
        }
    }

    fn send_head(
        &mut self,
        status: u16,
        headers: &HeaderMap,
    ) -> Option<mpsc::Sender<ResponsePart>> {
        if matches!(self.caller, Caller::Waiting(_)) {
            self.count_answer(status);
        }
        if let Caller::Waiting(head) = &mut self.caller {
            let (parts, receiver) = mpsc::channel(PARTS_IN_FLIGHT);
            let body = ResponseBody::Streamed(receiver);
            let reply = CallerResponse::Upstream { status, headers: headers.clone(), body };
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
        mut answer: UpstreamResponse,
        parts: &mpsc::Sender<ResponsePart>,
        silence: Duration,
    ) -> Relayed {
        let mut splitter = EventSplitter::default();
        let mut last_event = None;
        loop {
            let pause = silence.min(self.left());
            let frame = tokio::select! {
                biased;
                () = parts.closed() => return Relayed::Ended(Ending::CallerGone),
                frame = timeout(pause, answer.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) if self.left().is_zero() => return Relayed::Failed(Event::DeadlinePassed),
                Err(_) | Ok(Some(Err(_))) => {
                    return Relayed::Failed(Event::ResponseInterrupted { last_event });
                }
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if !answer.is_event_stream {
                if parts.send(ResponsePart::Data(data)).await.is_err() {
                    return Relayed::Ended(Ending::CallerGone);
                }
                continue;
            }
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                if parts.send(ResponsePart::Data(event.bytes)).await.is_err() {
                    return Relayed::Ended(Ending::CallerGone);
                }
                last_event = event.id.or(last_event);
            }
        }
        self.dispatcher.upstreams.release_connection(answer.connection, answer.keep_alive);
        let incomplete = splitter.take_incomplete();
        let incomplete_sent =
            incomplete.is_empty() || parts.send(ResponsePart::Data(incomplete)).await.is_ok();
        Relayed::Ended(ending_of(incomplete_sent && parts.send(ResponsePart::End).await.is_ok()))
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) {
        let version = {
            let router = self.dispatcher.router.borrow();
            router.request(self.key).map_or(0, |request| request.version())
        };
        self.dispatcher.metrics.count_refusal(&refusal);
        log_refusal(&self.dispatcher.name, &self.request.id, &refusal, version);
        if let Caller::Waiting(head) = &mut self.caller
            && let Some(head) = head.take()
        {
            // The caller may have gone in this moment.
            let _ = head.send(CallerResponse::Refused(refusal));
        }
    }
}
