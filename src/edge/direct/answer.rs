//! What an entry answers a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::outcome::Refusal;

/// The final answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// The upstream's answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: ReplyBody,
    },
    /// The request was given up on.
    Refused(Refusal),
}

/// The upstream broke off in the middle of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// Body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// Parts as they come.
    Parts(mpsc::Receiver<Part>),
}

/// A part of an answer that is passed on as it comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Data(Bytes),
    /// The answer is whole. A channel that closes without it broke off.
    End,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Parts(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(BrokenOff)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
