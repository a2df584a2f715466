//! The answers of a request, as a whole response or as server-sent events.

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

/// The answers of one request. Dropped early, it means the caller is gone.
pub(super) struct ResponseReceiver {
    receiver: UnboundedReceiver<ResponsePart>,
    key: RequestKey,
    actor: ActorRef<EntryActor>,
    ended: bool,
}

impl ResponseReceiver {
    pub(super) fn new(
        receiver: UnboundedReceiver<ResponsePart>,
        key: RequestKey,
        actor: ActorRef<EntryActor>,
    ) -> Self {
        Self { receiver, key, actor, ended: false }
    }

    pub(super) async fn next(&mut self) -> Result<ResponsePart, Refusal> {
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
            let _ = self.actor.tell(EntryInput::CallerGone(self.key)).try_send();
        }
    }
}

/// Gathers the whole answer.
pub(super) async fn whole_response(
    formatter: &ResponseFormatter,
    first: ResponsePart,
    mut answers: ResponseReceiver,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut text = Vec::new();
    let mut answer = first;
    loop {
        match answer {
            ResponsePart::Token { text: token, .. } => text.extend_from_slice(&token),
            ResponsePart::Finished { finish_reason, prompt_tokens, output_tokens } => {
                let text = String::from_utf8_lossy(&text);
                let json =
                    formatter.full_response(&text, &finish_reason, prompt_tokens, output_tokens);
                let mut response = Response::new(full_body(json));
                let json_type = "application/json".parse().expect("is a valid header");
                response.headers_mut().insert("content-type", json_type);
                return Ok(response);
            }
            ResponsePart::Refused(refusal) => return Err(refusal),
            ResponsePart::Reply(_) => unreachable!("a generated answer has no reply"),
        }
        answer = answers.next().await?;
    }
}

/// Passes each token on as it comes.
pub(super) fn stream_response(
    formatter: ResponseFormatter,
    first: ResponsePart,
    answers: ResponseReceiver,
) -> Response<ResponseBody> {
    let events = events(formatter, first, answers);
    let frames = events.map(|event| Ok::<_, Infallible>(Frame::data(event)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().expect("is a valid header"));
    headers.insert("cache-control", "no-store".parse().expect("is a valid header"));
    response
}

fn events(
    formatter: ResponseFormatter,
    first: ResponsePart,
    answers: ResponseReceiver,
) -> impl Stream<Item = Bytes> {
    let start = Some((formatter, Some(first), answers));
    stream::unfold(start, |state| async move {
        let (formatter, first, mut answers) = state?;
        let answer = match first {
            Some(answer) => answer,
            None => answers.next().await.unwrap_or_else(ResponsePart::Refused),
        };
        let goes_on = !answer.is_final();
        let event = event(&formatter, answer);
        Some((event, goes_on.then_some((formatter, None, answers))))
    })
}

fn event(formatter: &ResponseFormatter, answer: ResponsePart) -> Bytes {
    match answer {
        ResponsePart::Token { text, .. } => {
            let text = String::from_utf8_lossy(&text);
            sse(None, &formatter.stream_event(&text, None), false)
        }
        ResponsePart::Finished { finish_reason, .. } => {
            sse(None, &formatter.stream_event("", Some(&finish_reason)), true)
        }
        ResponsePart::Refused(refusal) => {
            let problem = problem::body(&refusal, &formatter.request_id);
            sse(Some("error"), &problem, false)
        }
        ResponsePart::Reply(_) => unreachable!("a generated answer has no reply"),
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
