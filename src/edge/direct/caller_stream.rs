//! Socket of a caller's connection, which ends when its caller is silent or reads nothing for
//! too long.
//!
//! The HTTP library has one timer for the idle time and for the head of a request, with a
//! limit that is fixed for each connection. Here the limits in force decide, and a
//! connection is closed only after a look into the buffer of its socket.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use crate::edge::direct::connection_activity::Activity;
use crate::router::connection_limits::CallerWait;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Interval at which bytes are offered to a full socket. The runtime reports it as writable
/// only when about a third of its buffer is free, which a slow caller may take long to read.
const OFFER_INTERVAL: Duration = Duration::from_millis(250);

/// Socket of a caller's connection. Once the connection has waited for too long, or waits
/// and is to be closed, a read returns the end of the input, at which the HTTP library
/// closes the connection. Once the caller has read nothing of a response for too long, a write
/// fails with [`io::ErrorKind::TimedOut`], and dropping the socket resets the connection.
pub(super) struct CallerStream {
    stream: TcpStream,
    activity: Rc<Activity>,
    timer: Pin<Box<Sleep>>,
    /// Wait for which the timer was set.
    timed_wait: Option<(CallerWait, Duration)>,
    /// Since when the socket has taken no bytes of a response, if it is full.
    blocked_since: Option<Duration>,
    /// Timer of the next offer to a full socket.
    offer_timer: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Creates the socket of a connection that was just accepted.
    pub(super) fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        let timer = Box::pin(tokio::time::sleep(Duration::ZERO));
        let offer_timer = Box::pin(tokio::time::sleep(Duration::ZERO));
        Self { stream, activity, timer, timed_wait: None, blocked_since: None, offer_timer }
    }

    /// True if the connection has waited for too long or is to be closed; else wakes the task
    /// when it may have. While a response waits to be read, no other wait counts.
    fn poll_ended(&mut self, context: &mut Context<'_>) -> bool {
        self.activity.waker.replace(Some(context.waker().clone()));
        if self.blocked_since.is_some() {
            return false;
        }
        let Some(wait) = self.activity.wait() else { return false };
        if self.activity.closing.get() && wait.0 == CallerWait::NextRequest {
            return !self.has_unread_input();
        }
        if self.timed_wait != Some(wait) {
            self.timed_wait = Some(wait);
            self.set_timer(self.activity.remaining(wait));
        }
        while self.timer.as_mut().poll(context).is_ready() {
            let remaining = self.activity.remaining(wait);
            if remaining.is_zero() {
                if self.has_unread_input() {
                    return false;
                }
                (self.activity.timeouts.timed_out)(wait.0);
                return true;
            }
            self.set_timer(remaining);
        }
        false
    }

    /// True if the socket holds bytes or an end that the runtime has not reported yet, such
    /// as what arrived while the process was paused. The runtime wakes the task for them.
    fn has_unread_input(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn set_timer(&mut self, remaining: Duration) {
        self.timer.as_mut().reset(Instant::now() + remaining);
    }

    /// Completes a write: one that is pending fails once its caller has read nothing for too
    /// long. `send` sends the same bytes whatever the runtime has reported.
    fn poll_written(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
        send: impl Fn(&SockRef<'_>) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = if written.is_pending() { self.poll_offer(context, send) } else { written };
        if written.is_ready() {
            self.activity.record_write();
            if self.blocked_since.take().is_some() {
                // The connection is read again, which starts the timer of its next wait.
                context.waker().wake_by_ref();
            }
        }
        written
    }

    /// Offers bytes to a full socket at intervals, until it takes some or the time of the
    /// caller is over.
    fn poll_offer(
        &mut self,
        context: &mut Context<'_>,
        send: impl Fn(&SockRef<'_>) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let since = self.blocked_since.unwrap_or_else(|| self.start_offers());
        while self.offer_timer.as_mut().poll(context).is_ready() {
            match send(&SockRef::from(&self.stream)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                sent => return Poll::Ready(sent),
            }
            let remaining = self.activity.remaining((CallerWait::Read, since));
            if remaining.is_zero() {
                return Poll::Ready(Err(self.give_up_caller()));
            }
            self.set_offer_timer(remaining);
        }
        Poll::Pending
    }

    /// Starts the wait for a caller to read on, and returns its beginning.
    fn start_offers(&mut self) -> Duration {
        let since = self.activity.timeouts.clock.now();
        self.blocked_since = Some(since);
        self.set_offer_timer(self.activity.remaining((CallerWait::Read, since)));
        since
    }

    fn set_offer_timer(&mut self, remaining: Duration) {
        let next = Instant::now() + remaining.min(OFFER_INTERVAL);
        self.offer_timer.as_mut().reset(next);
    }

    /// Has the connection reset, which also frees what its socket holds.
    fn give_up_caller(&self) -> io::Error {
        (self.activity.timeouts.timed_out)(CallerWait::Read);
        self.activity.reset.set(true);
        io::ErrorKind::TimedOut.into()
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.activity.reset.get() {
            // Closing a socket that does not linger resets its connection. Setting the option
            // fails only on a socket that is already closed.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut this.stream).poll_read(context, buffer) {
            if buffer.filled().len() > filled_before {
                this.activity.record_read();
            }
            return Poll::Ready(result);
        }
        if this.poll_ended(context) { Poll::Ready(Ok(())) } else { Poll::Pending }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.poll_written(context, written, |socket| socket.send(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = Pin::new(&mut this.stream).poll_flush(context);
        if flushed.is_ready() {
            this.activity.record_flush();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, buffers);
        this.poll_written(context, written, |socket| socket.send_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
