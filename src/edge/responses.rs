//! The response_parts of a request, as a whole response or as server-sent events.

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
use crate::entry::Answer;
use crate::entry::request::RequestKey;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;

/// The response_parts of one request. Dropped early, it means the caller is gone.
pub(super) struct ResponseReceiver {
    receiver: UnboundedReceiver<Answer>,
    key: RequestKey,
    actor: ActorRef<EntryActor>,
    ended: bool,
}

impl ResponseReceiver {
    pub(super) fn new(
        receiver: UnboundedReceiver<Answer>,
        key: RequestKey,
        actor: ActorRef<EntryActor>,
    ) -> Self {
        Self { receiver, key, actor, ended: false }
    }

    pub(super) async fn next(&mut self) -> Result<Answer, Refusal> {
        let Some(answer) = self.receiver.recv().await else {
            self.ended = true;
            let outcome = crate::outcome::Outcome::Unknown;
            return Err(Refusal::with_outcome(RefusalReason::ShuttingDown, outcome));
        };
        self.ended = answer.is_final();
        Ok(answer)
    }
}

impl Drop for ResponseReceiver {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.actor.tell(EntryInput::CallerDisconnected(self.key)).try_send();
        }
    }
}

/// Gathers the whole answer.
pub(super) async fn whole_response(
    formatter: &ResponseFormatter,
    first: Answer,
    mut response_parts: ResponseReceiver,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut text = Vec::new();
    let mut answer = first;
    loop {
        match answer {
            Answer::Token { text: token, .. } => text.extend_from_slice(&token),
            Answer::Finished { finish_reason, prompt_tokens, output_tokens } => {
                let text = String::from_utf8_lossy(&text);
                let json =
                    formatter.full_response(&text, &finish_reason, prompt_tokens, output_tokens);
                let mut response = Response::new(full_body(json));
                let json_type = "application/json".parse().expect("is a valid header");
                response.headers_mut().insert("content-type", json_type);
                return Ok(response);
            }
            Answer::Refused(refusal) => return Err(refusal),
            Answer::Reply(_) => unreachable!("a generated answer has no reply"),
        }
        answer = response_parts.next().await?;
    }
}

/// Passes each token on as it comes.
pub(super) fn stream_response(
    formatter: ResponseFormatter,
    first: Answer,
    response_parts: ResponseReceiver,
) -> Response<ResponseBody> {
    let events = events(formatter, first, response_parts);
    let frames = events.map(|event| Ok::<_, Infallible>(Frame::data(event)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().expect("is a valid header"));
    headers.insert("cache-control", "no-store".parse().expect("is a valid header"));
    response
}

fn events(
    formatter: ResponseFormatter,
    first: Answer,
    response_parts: ResponseReceiver,
) -> impl Stream<Item = Bytes> {
    let start = Some((formatter, Some(first), response_parts));
    stream::unfold(start, |state| async move {
        let (formatter, first, mut response_parts) = state?;
        let answer = match first {
            Some(answer) => answer,
            None => response_parts.next().await.unwrap_or_else(Answer::Refused),
        };
        let has_more = !answer.is_final();
        let event = event(&formatter, answer);
        Some((event, has_more.then_some((formatter, None, response_parts))))
    })
}

fn event(formatter: &ResponseFormatter, answer: Answer) -> Bytes {
    match answer {
        Answer::Token { text, .. } => {
            let text = String::from_utf8_lossy(&text);
            sse(None, &formatter.stream_event(&text, None), false)
        }
        Answer::Finished { finish_reason, .. } => {
            sse(None, &formatter.stream_event("", Some(&finish_reason)), true)
        }
        Answer::Refused(refusal) => {
            let problem = problem::body(&refusal, &formatter.request_id);
            sse(Some("error"), &problem, false)
        }
        Answer::Reply(_) => unreachable!("a generated answer has no reply"),
    }
}

fn sse(name: Option<&str>, data: &[u8], done: bool) -> Bytes {
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
