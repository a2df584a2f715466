//! What happens on the connection of a caller: its requests, waits and responses.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use crate::clock::BootClock;
use crate::clock::Clock;
use crate::router::connection_limits::CallerWait;
use crate::router::connection_limits::ConnectionLimits;
use compact_str::CompactString;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Time limits of the connections of a server.
#[derive(Clone)]
pub struct ConnectionTimeouts {
    /// Clock of the limits.
    pub clock: Arc<dyn Clock>,
    /// Limits, which may change while connections are open.
    pub limits: Rc<RefCell<ConnectionLimits>>,
    /// Called for each connection that is closed at a limit.
    pub timed_out: Rc<dyn Fn(CallerWait)>,
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        Self {
            clock: Arc::new(BootClock::default()),
            limits: Rc::default(),
            timed_out: Rc::new(|_| ()),
        }
    }
}

/// What happens on a connection, shared by its socket and its requests.
pub(super) struct Activity {
    pub(super) timeouts: ConnectionTimeouts,
    requests_in_flight: Cell<usize>,
    /// True from the first bytes of a head until the request starts. Of a head that was sent
    /// before the response to the request before it, only the later part is seen.
    head_begun: Cell<bool>,
    /// When the present wait began.
    since: Cell<Duration>,
    /// True once the connection is to be closed at its next wait for a request.
    pub(super) closing: Cell<bool>,
    /// True once the connection is to be reset instead of closed.
    pub(super) reset: Cell<bool>,
    /// Id of the request whose response is being sent, until its last bytes are in the socket.
    unread: RefCell<Option<CompactString>>,
    /// True once the body of the last response has ended or was dropped.
    body_ended: Cell<bool>,
    /// Wakes the task of the connection.
    pub(super) waker: RefCell<Option<Waker>>,
}

impl Activity {
    /// Creates the activity of a connection that was just accepted.
    pub(super) fn new(timeouts: ConnectionTimeouts) -> Rc<Self> {
        let since = Cell::new(timeouts.clock.now());
        Rc::new(Self {
            timeouts,
            requests_in_flight: Cell::default(),
            head_begun: Cell::default(),
            since,
            closing: Cell::default(),
            reset: Cell::default(),
            unread: RefCell::default(),
            body_ended: Cell::default(),
            waker: RefCell::default(),
        })
    }

    /// Records that a request starts, until the returned value is dropped.
    pub(super) fn start_request(self: &Rc<Self>) -> RequestInFlight {
        self.requests_in_flight.update(|requests| requests + 1);
        self.head_begun.set(false);
        RequestInFlight(self.clone())
    }

    /// Records that the response to this request is sent from now on.
    pub(super) fn start_response(&self, request_id: CompactString) {
        self.unread.replace(Some(request_id));
        self.body_ended.set(false);
    }

    /// Returns the id of the request whose response is not in the socket yet in full, if any.
    pub(super) fn unread_response(&self) -> Option<CompactString> {
        self.unread.borrow().clone()
    }

    /// Has the connection closed at its next wait for a request, or now if it waits for one.
    /// The task of the connection must be polled afterwards.
    pub(super) fn close_when_idle(&self) {
        self.closing.set(true);
    }

    /// Returns what the connection waits for and since when; `None` during a request.
    pub(super) fn wait(&self) -> Option<(CallerWait, Duration)> {
        let idle = self.requests_in_flight.get() == 0;
        let wait = if self.head_begun.get() { CallerWait::Head } else { CallerWait::NextRequest };
        idle.then(|| (wait, self.since.get()))
    }

    pub(super) fn record_read(&self) {
        if self.requests_in_flight.get() == 0 && !self.head_begun.replace(true) {
            self.since.set(self.timeouts.clock.now());
        }
    }

    /// Records that bytes of a response were sent. Its last bytes may be sent after the
    /// request has ended.
    pub(super) fn record_write(&self) {
        if self.wait().is_some_and(|(wait, _)| wait == CallerWait::NextRequest) {
            self.since.set(self.timeouts.clock.now());
        }
    }

    /// Records that all bytes that the HTTP library had are in the socket.
    pub(super) fn record_flush(&self) {
        if self.body_ended.get() {
            self.unread.take();
        }
    }

    /// Returns the time that is left of a wait.
    pub(super) fn remaining(&self, (wait, since): (CallerWait, Duration)) -> Duration {
        let close_at = self.timeouts.limits.borrow().close_at(wait, since);
        close_at.saturating_sub(self.timeouts.clock.now())
    }
}

/// Request in flight on a connection, until it is dropped.
pub(super) struct RequestInFlight(Rc<Activity>);

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.0.requests_in_flight.update(|requests| requests - 1);
        self.0.since.set(self.0.timeouts.clock.now());
        self.0.body_ended.set(true);
        // The idle time starts when the connection is read again.
        if let Some(waker) = self.0.waker.take() {
            waker.wake();
        }
    }
}

/// Body of a response; its request is in flight until the body has been sent.
pub(super) struct TrackedBody<B> {
    body: B,
    in_flight: RequestInFlight,
    /// True if only the end of the connection tells the caller that the body is complete.
    ends_with_connection: bool,
}

impl<B> TrackedBody<B> {
    /// Creates the body of the response to a request of this version of HTTP. Versions before
    /// 1.1 know no chunks.
    pub(super) fn new(body: B, in_flight: RequestInFlight, version: Version) -> Self {
        Self { body, in_flight, ends_with_connection: version < Version::HTTP_11 }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(context);
        if this.ends_with_connection && matches!(frame, Poll::Ready(Some(Err(_)))) {
            this.in_flight.0.reset.set(true);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
