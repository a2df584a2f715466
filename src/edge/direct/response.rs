//! Responses of an entry to its callers, and their bodies as hyper sends them.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::outcome::Refusal;

/// The response to a caller's request.
#[derive(Debug)]
pub enum CallerResponse {
    /// The upstream's response, relayed to the caller.
    Upstream {
        /// HTTP status code of the upstream.
        status: u16,
        /// Headers of the upstream's response, without hop-by-hop headers.
        headers: HeaderMap,
        /// Body to send to the caller.
        body: ResponseBody,
    },
    /// The entry refused the request.
    Refused(Refusal),
}

/// Error of a response body whose upstream failed before its end. hyper then closes
/// the caller's connection, so that the caller sees an incomplete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the upstream response ended before it was complete")]
pub struct IncompleteResponse;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body, already in memory.
    Complete(Bytes),
    /// Parts of the body, sent on as the upstream delivers them.
    Streamed(StreamedParts),
}

/// Parts of a body, in the order in which they are sent.
#[derive(Debug)]
pub struct StreamedParts {
    parts: mpsc::Receiver<ResponsePart>,
    /// True once the channel was found closed without [`ResponsePart::End`].
    cut: bool,
}

impl StreamedParts {
    /// Returns the parts that the channel delivers.
    pub fn new(parts: mpsc::Receiver<ResponsePart>) -> Self {
        Self { parts, cut: false }
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match ready!(self.parts.poll_recv(context)) {
            Some(ResponsePart::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(ResponsePart::End) => Poll::Ready(None),
            None if std::mem::replace(&mut self.cut, true) => {
                Poll::Ready(Some(Err(IncompleteResponse)))
            }
            None => {
                // hyper sends what it has buffered before it polls again; the error drops it.
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

/// One item of a streamed response body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponsePart {
    /// Bytes of the body.
    Data(Bytes),
    /// End of a complete response. A channel that closes without it marks the response as
    /// incomplete.
    End,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            Self::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(parts) => parts.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
