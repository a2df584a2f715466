//! Response of an upstream that is ready to be relayed: read completely, or a stream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Body;
use tokio::time::timeout;

use crate::edge::direct::bounded_read::MAX_PART_READ_BYTES;
use crate::edge::direct::bounded_read::read_body;
use crate::edge::direct::connections::Connection;
use crate::edge::direct::response_memory::ResponseMemory;
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
    /// Response whose body is still to be read, beyond its first part if that was awaited.
    Streamed { response: UpstreamResponse, first_part: Option<Bytes> },
}

impl ReadyResponse {
    /// HTTP status of the response.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::Buffered { status, .. } => *status,
            Self::Streamed { response, .. } => response.status,
        }
    }

    /// Reads a response completely and releases its connection, unless it is an event stream,
    /// announces a length above [`MAX_BUFFERED_BYTES`], or announces one for which there is no
    /// memory.
    ///
    /// # Errors
    /// `Broken` if the body ends early, exceeds [`MAX_UNSIZED_BYTES`], or has no length and
    /// grows beyond the memory of all buffered responses.
    pub(super) async fn read(
        response: UpstreamResponse,
        buffers: &ResponseMemory,
        release: impl FnOnce(Connection, Option<Duration>),
    ) -> Result<Self, Failure> {
        let length = response.body.size_hint().exact();
        let small = length.is_none_or(|bytes| bytes <= MAX_BUFFERED_BYTES);
        if response.is_event_stream || !small {
            return Ok(Self::Streamed { response, first_part: None });
        }
        let length = length.unwrap_or(0) as usize;
        let Some(mut memory) = buffers.reserve(length) else {
            return Ok(Self::Streamed { response, first_part: None });
        };
        let UpstreamResponse { status, headers, body, connection, keep_alive, .. } = response;
        let body = read_body(&connection, body, MAX_UNSIZED_BYTES, |bytes| memory.grow_to(bytes));
        let body = body.await.map_err(|_| Failure::Broken)?;
        release(connection, keep_alive);
        Ok(Self::Buffered { status, headers, body: memory.attach_to(body) })
    }

    /// Waits for the first bytes of a stream, for [`MAX_RUN_OVERLAP`] at most: until then the run
    /// that it replaces has ended.
    ///
    /// # Errors
    /// `Broken` if the stream ends or breaks off before its first bytes.
    pub(super) async fn await_first_part(&mut self) -> Result<(), Failure> {
        let Self::Streamed { response, first_part } = self else { return Ok(()) };
        response.connection.limit_reads(MAX_PART_READ_BYTES);
        match timeout(MAX_RUN_OVERLAP, response.body.frame()).await {
            Ok(Some(Ok(frame))) => *first_part = Some(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_)) | None) => return Err(Failure::Broken),
            // A slow stream is relayed all the same.
            Err(_) => {}
        }
        Ok(())
    }
}
