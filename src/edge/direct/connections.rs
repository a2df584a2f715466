//! Kept HTTP/1.1 connections, one exchange at a time on each.
//!
//! The pool never sends anything twice and says of each failure whether the
//! request can have gone out. Dropping an exchange closes its connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::router::flow::Failure;

/// How connections are made and kept.
#[derive(Debug, Clone)]
pub struct ConnectionSettings {
    /// Longest time until a connection is there.
    pub connect_timeout: Duration,
    /// Unacknowledged bytes close a connection after that.
    pub user_timeout: Duration,
    /// How long an unused connection is kept if the other side does not say.
    pub idle: Duration,
    /// Age of an unused connection beyond which it is not trusted with a
    /// request that must not be sent twice.
    pub fresh: Duration,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            user_timeout: Duration::from_secs(2),
            idle: Duration::from_secs(4),
            fresh: Duration::from_millis(1_000),
        }
    }
}

/// A connection that is in use. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
}

#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    keep: Duration,
}

/// An answer whose body is still to be read, and its connection.
#[derive(Debug)]
pub struct Exchange {
    /// Head and body of the answer.
    pub response: Response<Incoming>,
    /// To be given back to the pool once the body was read whole.
    pub connection: Connection,
}

/// Connections to any number of addresses.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    settings: Rc<ConnectionSettings>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Connections {
    /// An empty pool.
    pub fn new(settings: ConnectionSettings) -> Self {
        Self { settings: Rc::new(settings), idle: Rc::default() }
    }

    /// Sends a request and waits for the head of the answer. With `fresh`, no
    /// connection is used that lay idle for long.
    ///
    /// # Errors
    /// `NotSent` if no byte went out, else `Broken`.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        while let Some(mut connection) = self.take(address, fresh) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(Exchange { response, connection }),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken),
                },
            }
        }
        let mut connection = self.connect(address).await.ok_or(Failure::NotSent)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(Exchange { response, connection }),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::NotSent),
                None => Err(Failure::Broken),
            },
        }
    }

    /// Keeps a connection whose answer was read whole. `keep` is how long the
    /// other side said it would keep it.
    pub fn give_back(&self, connection: Connection, keep: Option<Duration>) {
        let keep = keep.unwrap_or(self.settings.idle);
        if connection.sender.is_closed() || keep.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address).or_default();
        kept.push(Idle { connection, since: Instant::now(), keep });
    }

    /// Closes what was unused for too long.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.since.elapsed() < idle.keep && !idle.connection.is_closed());
            !kept.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, fresh: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(candidate) = kept.pop() {
            let age = candidate.since.elapsed();
            let usable = age < candidate.keep && !candidate.connection.is_closed();
            let recent = !fresh || age < self.settings.fresh;
            if usable && recent && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
            if usable && !recent {
                kept.push(candidate);
                return None;
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let connecting = TcpStream::connect(address);
        let stream =
            tokio::time::timeout(self.settings.connect_timeout, connecting).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(self.settings.user_timeout)).ok()?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let driver = tokio::task::spawn_local(async move {
            // Whoever waits for the answer learns of the error from hyper.
            let _ = connection.await;
        });
        Some(Connection { address, sender, driver: Driver(driver.abort_handle()) })
    }
}

const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

impl Connection {
    fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.0.is_finished()
    }
}
