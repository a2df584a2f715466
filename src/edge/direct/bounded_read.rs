//! Limits the bytes that a peer may send in an exchange. A peer in trouble may send bytes
//! without end, and hyper passes over some of them itself, such as informational responses.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::edge::direct::connections::Connection;

/// Bytes that may arrive until the head of a response is passed on: informational responses,
/// the head itself, and the bytes of the body that hyper reads ahead.
pub(super) const MAX_HEAD_READ_BYTES: usize = 256 << 10;
/// Bytes that may arrive in addition to those of a body: the framing of chunks, trailers, and
/// what hyper reads ahead.
const BODY_OVERHEAD_BYTES: usize = 256 << 10;
/// Bytes that may arrive between two parts of a body that is relayed part by part.
pub(super) const MAX_PART_READ_BYTES: usize = 512 << 10;

/// Part of a response that exceeds its limit; logged under these names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ResponsePlace {
    /// The head, or informational responses before it.
    Head,
    /// The body, its framing or its trailers.
    Body,
    /// One event of a stream.
    Event,
    /// A body for which the memory of all buffered responses does not suffice.
    Memory,
}

/// Why a body was not read completely.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the response is too large")]
    TooLarge,
    /// The connection failed or the body is not valid HTTP.
    #[error(transparent)]
    Interrupted(#[from] hyper::Error),
}

/// Number of bytes that a peer may still send on a connection; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadAllowance(Rc<AllowanceState>);

#[derive(Debug, Default)]
struct AllowanceState {
    remaining_bytes: Cell<usize>,
    exceeded: Cell<bool>,
}

impl ReadAllowance {
    /// Replaces the number of bytes.
    pub(super) fn set(&self, bytes: usize) {
        self.0.remaining_bytes.set(bytes);
    }

    /// True if the peer has sent more bytes than it may; the connection has failed then.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.exceeded.get()
    }

    /// Takes received bytes off. Returns false if there are more than the peer may send.
    fn take(&self, bytes: usize) -> bool {
        let remaining = self.0.remaining_bytes.get().checked_sub(bytes);
        self.0.remaining_bytes.set(remaining.unwrap_or_default());
        self.0.exceeded.set(self.is_exceeded() || remaining.is_none());
        remaining.is_some()
    }
}

/// TCP stream on which reads fail once the peer has sent more bytes than its allowance.
#[derive(Debug)]
pub(super) struct BoundedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl BoundedStream {
    pub(super) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.allowance.take(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, BodyError::TooLarge)))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Reads a body of at most `max_bytes` completely. `reserve` is called with the size of the
/// buffer whenever it has grown, and returns false if there is no memory for it.
///
/// # Errors
/// `TooLarge`, which is logged, or `Interrupted`. The connection must not be reused.
pub async fn read_body(
    connection: &Connection,
    mut body: Incoming,
    max_bytes: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    connection.limit_reads(max_bytes + BODY_OVERHEAD_BYTES);
    let length = body.size_hint().exact().unwrap_or(0);
    if length > max_bytes as u64 {
        connection.log_too_large(ResponsePlace::Body);
        return Err(BodyError::TooLarge);
    }
    // Exact, so that a body with a length takes no more memory than that.
    let mut buffered = BytesMut::with_capacity(length as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.inspect_err(|_| connection.log_if_exceeded(ResponsePlace::Body))?;
        // Trailers are not passed on.
        let Ok(data) = frame.into_data() else { continue };
        if buffered.len() + data.len() > max_bytes {
            connection.log_too_large(ResponsePlace::Body);
            return Err(BodyError::TooLarge);
        }
        buffered.extend_from_slice(&data);
        if !reserve(buffered.capacity()) {
            connection.log_too_large(ResponsePlace::Memory);
            return Err(BodyError::TooLarge);
        }
    }
    Ok(buffered.freeze())
}
