//! Responses to callers for generated text, as one JSON object or as server-sent
//! events.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use kameo::actor::ActorRef;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::edge::caller::ResponseBody;
use crate::edge::caller::full_body;
use crate::edge::completion_api::ResponseFormatter;
use crate::edge::entry_actor::EntryActor;
use crate::edge::entry_actor::EntryInput;
use crate::edge::problem;
use crate::entry::ResponsePart;
use crate::entry::request::RequestKey;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;

/// Receives the response parts of one request from the entry actor. If it is dropped
/// before the last part, it reports the caller as disconnected.
pub(super) struct ResponseReceiver {
    receiver: UnboundedReceiver<ResponsePart>,
    key: RequestKey,
    actor: ActorRef<EntryActor>,
    is_complete: bool,
}

impl ResponseReceiver {
    pub(super) fn new(
        receiver: UnboundedReceiver<ResponsePart>,
        key: RequestKey,
        actor: ActorRef<EntryActor>,
    ) -> Self {
        Self { receiver, key, actor, is_complete: false }
    }

    /// Waits for the next part. If the actor stops before the last part, returns a refusal
    /// with an unknown outcome.
    pub(super) async fn next(&mut self) -> Result<ResponsePart, Refusal> {
        let Some(part) = self.receiver.recv().await else {
            self.is_complete = true;
            let outcome = crate::outcome::Outcome::Unknown;
            return Err(Refusal::with_outcome(RefusalReason::ShuttingDown, outcome));
        };
        self.is_complete = part.is_final();
        Ok(part)
    }
}

impl Drop for ResponseReceiver {
    fn drop(&mut self) {
        if !self.is_complete {
            let _ = self.actor.tell(EntryInput::CallerDisconnected(self.key)).try_send();
        }
    }
}

/// Collects all tokens and responds with one JSON object.
pub(super) async fn json_response(
    formatter: &ResponseFormatter,
    first: ResponsePart,
    mut response_parts: ResponseReceiver,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut text = Vec::new();
    let mut part = first;
    loop {
        match part {
            ResponsePart::Token { text: token, .. } => text.extend_from_slice(&token),
            ResponsePart::Finished { finish_reason, prompt_tokens, output_tokens } => {
                let text = String::from_utf8_lossy(&text);
                let json = formatter.complete_response(
                    &text,
                    &finish_reason,
                    prompt_tokens,
                    output_tokens,
                );
                let mut response = Response::new(full_body(json));
                let json_type = "application/json".parse().expect("the header is valid");
                response.headers_mut().insert("content-type", json_type);
                return Ok(response);
            }
            ResponsePart::Refused(refusal) => return Err(refusal),
            ResponsePart::Reply(_) => unreachable!("the core sends a reply for calls only"),
        }
        part = response_parts.next().await?;
    }
}

/// Responds with a stream that sends each token as a server-sent event when it
/// arrives. A failure after the first event ends the stream with an `error` event.
pub(super) fn stream_response(
    formatter: ResponseFormatter,
    first: ResponsePart,
    response_parts: ResponseReceiver,
) -> Response<ResponseBody> {
    let events = event_stream(formatter, first, response_parts);
    let frames = events.map(|event| Ok::<_, Infallible>(Frame::data(event)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().expect("the header is valid"));
    headers.insert("cache-control", "no-store".parse().expect("the header is valid"));
    response
}

fn event_stream(
    formatter: ResponseFormatter,
    first: ResponsePart,
    response_parts: ResponseReceiver,
) -> impl Stream<Item = Bytes> {
    let start = Some((formatter, Some(first), response_parts));
    stream::unfold(start, |state| async move {
        let (formatter, first, mut response_parts) = state?;
        let part = match first {
            Some(part) => part,
            None => response_parts.next().await.unwrap_or_else(ResponsePart::Refused),
        };
        let has_more = !part.is_final();
        let event = to_event(&formatter, part);
        Some((event, has_more.then_some((formatter, None, response_parts))))
    })
}

fn to_event(formatter: &ResponseFormatter, part: ResponsePart) -> Bytes {
    match part {
        ResponsePart::Token { text, .. } => {
            let text = String::from_utf8_lossy(&text);
            encode_sse(None, &formatter.stream_event(&text, None), false)
        }
        ResponsePart::Finished { finish_reason, .. } => {
            encode_sse(None, &formatter.stream_event("", Some(&finish_reason)), true)
        }
        ResponsePart::Refused(refusal) => {
            let problem =
                problem::body(problem::status_of(refusal.reason), &refusal, &formatter.request_id);
            encode_sse(Some("error"), &problem, false)
        }
        ResponsePart::Reply(_) => unreachable!("the core sends a reply for calls only"),
    }
}

/// Encodes one server-sent event; `done` appends the `[DONE]` event that ends a stream.
fn encode_sse(name: Option<&str>, data: &[u8], done: bool) -> Bytes {
    let mut event = Vec::with_capacity(data.len() + 32);
    if let Some(name) = name {
        event.extend_from_slice(format!("event: {name}\n").as_bytes());
    }
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    if done {
        event.extend_from_slice(b"data: [DONE]\n\n");
    }
    event.into()
}
