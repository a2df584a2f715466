//! Pool of HTTP/1.1 client connections, without pipelining.
//!
//! The pool never sends a request twice, and each error says whether the request
//! may have reached the peer. Dropping an exchange closes its connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::edge::direct::bounded_read::BoundedStream;
use crate::edge::direct::bounded_read::MAX_HEAD_READ_BYTES;
use crate::edge::direct::bounded_read::ReadAllowance;
use crate::edge::direct::bounded_read::ResponsePlace;
use crate::router::flow::Failure;
use crate::router::liveness::EngineAnswer;

/// Probes without a response after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Timeouts of client connections.
#[derive(Debug, Clone)]
pub struct ConnectionSettings {
    /// Time within which a TCP connection must be established.
    pub connect_timeout: Duration,
    /// `TCP_USER_TIMEOUT`: time after which unacknowledged bytes close a connection.
    pub tcp_user_timeout: Duration,
    /// Time without a byte after which the peer is probed.
    pub keepalive_after: Duration,
    /// Time between two probes.
    pub keepalive_interval: Duration,
    /// Time for which an idle connection is kept if the peer announces no
    /// keep-alive timeout.
    pub idle_timeout: Duration,
    /// Longest idle time after which a connection may still carry a request that must not
    /// be sent twice. The peer may be closing a connection that was idle for longer.
    pub max_fresh_idle: Duration,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            tcp_user_timeout: Duration::from_secs(2),
            keepalive_after: Duration::from_secs(5),
            keepalive_interval: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(4),
            max_fresh_idle: Duration::from_millis(1_000),
        }
    }
}

/// What a peer does with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionProbe {
    /// Its host accepts it, or resets it.
    Accepted,
    /// Its host runs, but no process listens.
    Refused,
    /// It does not answer.
    Silent,
    /// This process could not open a connection.
    NotTried,
}

impl From<ConnectionProbe> for EngineAnswer {
    fn from(probe: ConnectionProbe) -> Self {
        match probe {
            ConnectionProbe::Accepted => Self::Alive,
            ConnectionProbe::Refused => Self::Refused,
            ConnectionProbe::Silent => Self::Silent,
            ConnectionProbe::NotTried => Self::NotAsked,
        }
    }
}

/// Which connections may carry a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Any idle one, or a new one.
    Any,
    /// One that was not idle for longer than [`ConnectionSettings::max_fresh_idle`], or a new one.
    Fresh,
    /// A new one.
    New,
}

/// An established connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    /// Name of the peer of the current exchange, for log lines.
    peer: CompactString,
    allowance: ReadAllowance,
    /// Number of requests that it has carried, the current one included.
    requests: u32,
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

/// Handle of the task that reads and writes a connection. Dropping it aborts the task.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    keep_alive: Duration,
}

/// A response whose body has not been read yet, with its connection.
#[derive(Debug)]
pub struct Exchange {
    /// Head of the response and its unread body.
    pub response: Response<Incoming>,
    /// Connection to release to the pool once the complete body has been read.
    pub connection: Connection,
}

/// Pool of connections by address; clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    settings: Rc<ConnectionSettings>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: ConnectionSettings) -> Self {
        Self { settings: Rc::new(settings), idle: Rc::default() }
    }

    /// Sends a request and waits for the head of the response. `peer` names the receiver in
    /// log lines.
    ///
    /// # Errors
    /// `NotSent` if no connection could be made or hyper returned the request unsent;
    /// `Broken` if the peer may have received the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        peer: &str,
        request: Request<Full<Bytes>>,
        allowed: ConnectionUse,
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(address, allowed) {
            match connection.exchange(peer, request).await {
                Ok(response) => return Ok(Exchange { response, connection }),
                Err(Some(unsent)) => request = unsent,
                Err(None) => return Err(Failure::Broken),
            }
        }
        let mut connection = self.connect(address).await.ok_or(Failure::NotSent)?;
        match connection.exchange(peer, request).await {
            Ok(response) => Ok(Exchange { response, connection }),
            Err(Some(_)) => Err(Failure::NotSent),
            Err(None) => Err(Failure::Broken),
        }
    }

    /// Returns a connection to the pool after its response was read completely.
    /// `keep_alive` is the keep-alive timeout that the peer announced, if any; with
    /// zero the connection is closed.
    pub fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        let keep_alive = keep_alive.unwrap_or(self.settings.idle_timeout);
        if connection.sender.is_closed() || keep_alive.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(connection.address).or_default();
        pooled.push(IdleConnection { connection, since: Instant::now(), keep_alive });
    }

    /// Closes idle connections whose keep-alive time has passed or whose peer has
    /// closed them.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, pooled| {
            pooled.retain(|it| it.since.elapsed() < it.keep_alive && !it.connection.is_closed());
            !pooled.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, allowed: ConnectionUse) -> Option<Connection> {
        if allowed == ConnectionUse::New {
            return None;
        }
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        while let Some(candidate) = pooled.pop() {
            let idle_time = candidate.since.elapsed();
            let usable = idle_time < candidate.keep_alive && !candidate.connection.is_closed();
            let recent = allowed == ConnectionUse::Any || idle_time < self.settings.max_fresh_idle;
            if usable && recent && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
            if usable && !recent {
                pooled.push(candidate);
                return None;
            }
        }
        None
    }

    /// Tries to open a connection to a peer, within `limit`.
    pub async fn probe(&self, address: SocketAddr, limit: Duration) -> ConnectionProbe {
        let connecting = TcpStream::connect(address);
        let Ok(connected) = tokio::time::timeout(limit, connecting).await else {
            return ConnectionProbe::Silent;
        };
        match connected.map_err(|error| error.kind()) {
            Ok(_) | Err(ErrorKind::ConnectionReset) => ConnectionProbe::Accepted,
            Err(ErrorKind::ConnectionRefused) => ConnectionProbe::Refused,
            Err(
                ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable,
            ) => ConnectionProbe::Silent,
            Err(_) => ConnectionProbe::NotTried,
        }
    }

    /// Probes that close a connection whose peer has become unresponsive.
    fn keepalive(&self) -> TcpKeepalive {
        TcpKeepalive::new()
            .with_time(self.settings.keepalive_after)
            .with_interval(self.settings.keepalive_interval)
            .with_retries(KEEPALIVE_PROBES)
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let connecting = TcpStream::connect(address);
        let stream =
            tokio::time::timeout(self.settings.connect_timeout, connecting).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(self.settings.tcp_user_timeout)).ok()?;
        socket.set_tcp_keepalive(&self.keepalive()).ok()?;
        let allowance = ReadAllowance::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(BoundedStream::new(stream, allowance.clone())))
            .await
            .ok()?;
        let task = tokio::task::spawn_local(async move {
            // hyper also reports the error to the exchange that waits for a response.
            let _ = connection.await;
        });
        let (peer, task) = (CompactString::default(), ConnectionTask(task.abort_handle()));
        Some(Connection { address, peer, allowance, requests: 0, sender, task })
    }
}

/// Maximum size of the read buffer and thus of a response head.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

impl Connection {
    /// Sends a request and waits for the head of the response. The error is the request if it
    /// was not sent.
    async fn exchange(
        &mut self,
        peer: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Option<Request<Full<Bytes>>>> {
        self.peer = peer.into();
        self.requests += 1;
        self.limit_reads(MAX_HEAD_READ_BYTES);
        let mut error = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if error.error().is_parse_too_large() {
            self.log_too_large(ResponsePlace::Head);
        } else {
            self.log_if_exceeded(ResponsePlace::Head);
        }
        Err(error.take_message())
    }

    /// Name of the peer of the current exchange.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Number of requests that the connection has carried, the current one included.
    pub fn requests(&self) -> u32 {
        self.requests
    }

    /// True if the current request is the first one that the connection carries: its response
    /// cannot be a late copy of another one.
    pub fn is_first_request(&self) -> bool {
        self.requests <= 1
    }

    /// Sets how many more bytes the peer may send; with the next one the connection fails.
    pub(super) fn limit_reads(&self, bytes: usize) {
        self.allowance.set(bytes);
    }

    /// Logs that the response is too large if the connection has failed for that.
    pub(super) fn log_if_exceeded(&self, place: ResponsePlace) {
        if self.allowance.is_exceeded() {
            self.log_too_large(place);
        }
    }

    /// Logs that the response is too large. The caller drops the connection, which closes it.
    pub(super) fn log_too_large(&self, place: ResponsePlace) {
        spdlog::warn!("response-too-large", kv: {
            upstream: = self.peer,
            address: = self.address,
            place: = place
        });
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.task.0.is_finished()
    }
}
