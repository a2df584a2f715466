//! Response of an upstream that is ready to be relayed: read completely, or a stream.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body;
use tokio::time::timeout;

use crate::edge::direct::bounded_read::read_body;
use crate::edge::direct::connections::Connection;
use crate::edge::direct::open_stream::OpenStream;
use crate::edge::direct::open_stream::StreamItem;
use crate::edge::direct::open_stream::StreamLoss;
use crate::edge::direct::response_memory::ResponseMemory;
use crate::edge::direct::run_events::RunEvents;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::router::flow::Failure;
use crate::router::pauses::MAX_RUN_OVERLAP;

/// Responses with a `Content-Length` up to this are read completely before they are passed
/// on, so that the request can be retried if the upstream fails in the middle of one.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;
/// Maximum size of a response without `Content-Length` that is no event stream. It is read
/// completely as well; a larger one counts as failed.
const MAX_UNSIZED_BYTES: usize = 1 << 20;

/// Response of an upstream that can be relayed to the caller.
pub(super) enum ReadyResponse {
    /// Complete response in memory.
    Buffered { status: u16, headers: HeaderMap, body: Bytes },
    /// Response whose body is still to be read.
    Streamed(Box<OpenStream>),
}

impl ReadyResponse {
    /// HTTP status of the response.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::Buffered { status, .. } => *status,
            Self::Streamed(stream) => stream.response.status,
        }
    }

    /// Reads a response completely and releases its connection, unless it is an event stream,
    /// announces a length above [`MAX_BUFFERED_BYTES`], or announces one for which there is no
    /// memory. `events` are those of the run if the route has streams.
    ///
    /// # Errors
    /// `Broken` if the body ends early, exceeds [`MAX_UNSIZED_BYTES`], or has no length and
    /// grows beyond the memory of all buffered responses.
    pub(super) async fn read(
        response: UpstreamResponse,
        events: Option<RunEvents>,
        buffers: &ResponseMemory,
        release: impl FnOnce(Connection, Option<Duration>),
    ) -> Result<Self, Failure> {
        if response.is_event_stream {
            return Ok(Self::Streamed(Box::new(OpenStream::new(response, events))));
        }
        let length = response.body.size_hint().exact();
        let small = length.is_none_or(|bytes| bytes <= MAX_BUFFERED_BYTES);
        let length = length.unwrap_or(0) as usize;
        let memory = if small { buffers.reserve(length) } else { None };
        let Some(mut memory) = memory else {
            return Ok(Self::Streamed(Box::new(OpenStream::new(response, None))));
        };
        let UpstreamResponse { status, headers, body, connection, keep_alive, .. } = response;
        let body = read_body(&connection, body, MAX_UNSIZED_BYTES, |bytes| memory.grow_to(bytes));
        let body = body.await.map_err(|_| Failure::Broken)?;
        release(connection, keep_alive);
        Ok(Self::Buffered { status, headers, body: memory.attach_to(body) })
    }

    /// Waits for the first item of a stream, for [`MAX_RUN_OVERLAP`] at most: until then the run
    /// that it replaces has ended.
    ///
    /// # Errors
    /// If the stream ends or breaks off before its first event, or begins with something that is
    /// none.
    pub(super) async fn await_first_item(&mut self) -> Result<(), StreamLoss> {
        let Self::Streamed(stream) = self else { return Ok(()) };
        // A slow stream is relayed all the same.
        let Ok(item) = timeout(MAX_RUN_OVERLAP, stream.await_item()).await else { return Ok(()) };
        match item {
            StreamItem::Event(_) | StreamItem::Part(_) => Ok(()),
            StreamItem::Invalid(invalid) => Err(StreamLoss::Invalid(*invalid)),
            StreamItem::Complete | StreamItem::EndedEarly | StreamItem::ConnectionLost => {
                Err(StreamLoss::Ended)
            }
        }
    }
}
