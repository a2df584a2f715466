//! HTTP/1.1 server for callers, with graceful shutdown.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::edge::direct::caller_stream::CallerStream;
use crate::edge::direct::connection_activity::Activity;
use crate::edge::direct::connection_activity::ConnectionTimeouts;
use crate::edge::direct::connection_activity::TrackedBody;
use crate::edge::direct::response::ResponseBody;

/// Pause after a failed accept, so that an error that persists, such as a lack of free file
/// descriptors, does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// `TCP_USER_TIMEOUT`: time after which unacknowledged bytes close a caller's connection.
const CALLER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a stopping server checks whether connections are still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of the connections of callers.
#[derive(Clone)]
pub struct ServerSettings {
    /// Time limits of the connections.
    pub timeouts: ConnectionTimeouts,
    /// Maximum size of the read buffer and thus of a request head, in bytes.
    pub max_header_bytes: usize,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self { timeouts: ConnectionTimeouts::default(), max_header_bytes: 64 << 10 }
    }
}

/// Id of the request that a response answers, as an extension of the response.
#[derive(Debug, Clone)]
pub struct AnsweredRequest(pub CompactString);

/// The connections that are open at one server; clones share them.
#[derive(Clone, Default)]
pub struct OpenConnections(Rc<RefCell<ConnectionMap>>);

#[derive(Default)]
struct ConnectionMap {
    accepted: u64,
    open: BTreeMap<u64, Rc<Activity>>,
}

impl OpenConnections {
    /// Returns the number of connections that are open now.
    pub fn count(&self) -> usize {
        self.0.borrow().open.len()
    }

    /// Ids of the requests whose responses are not in the sockets of their callers yet in full.
    pub fn unread_responses(&self) -> Vec<CompactString> {
        let connections = self.0.borrow();
        connections.open.values().filter_map(|activity| activity.unread_response()).collect()
    }

    fn add(&self, activity: Rc<Activity>) -> OpenConnectionGuard {
        let mut connections = self.0.borrow_mut();
        connections.accepted += 1;
        let number = connections.accepted;
        connections.open.insert(number, activity);
        OpenConnectionGuard { connections: self.clone(), number }
    }
}

/// Accepts and serves connections until `stop` is cancelled, then closes the listener and
/// lets requests finish that are in flight or whose head has begun. The service tells callers
/// of a stop with `Connection: close`. Returns once all connections are closed.
pub async fn serve<S, F>(
    listener: TcpListener,
    settings: ServerSettings,
    stop: CancellationToken,
    open: OpenConnections,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let activity = Activity::new(settings.timeouts.clone());
                let guard = open.add(activity.clone());
                let (max_header_bytes, stop) = (settings.max_header_bytes, stop.clone());
                let connection =
                    serve_connection(stream, activity, max_header_bytes, stop, service.clone());
                tokio::task::spawn_local(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { detail: = error });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections in the accept queue are reset at once instead of waiting for a process
    // that accepts no more.
    drop(listener);
    while open.count() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Its connection is open until it is dropped.
struct OpenConnectionGuard {
    connections: OpenConnections,
    number: u64,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.connections.0.borrow_mut().open.remove(&self.number);
    }
}

async fn serve_connection<S, F>(
    stream: TcpStream,
    activity: Rc<Activity>,
    max_header_bytes: usize,
    stop: CancellationToken,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    // Setting an option fails only on a socket that is already closed.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(CALLER_TCP_USER_TIMEOUT));
    let (requests, stopped) = (activity.clone(), activity.clone());
    let service = service_fn(move |request| {
        let (in_flight, version) = (requests.start_request(), request.version());
        let (response, activity) = (service(request), requests.clone());
        async move {
            let mut response = response.await;
            if let Some(AnsweredRequest(id)) = response.extensions_mut().remove() {
                activity.start_response(id);
            }
            let tracked = response.map(|body| TrackedBody::new(body, in_flight, version));
            Ok::<_, Infallible>(tracked)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_header_bytes)
        .serve_connection(TokioIo::new(CallerStream::new(stream, activity)), service);
    let mut connection = std::pin::pin!(connection);
    // An error means that the caller disconnected or sent invalid HTTP; hyper has
    // responded to the latter.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => stopped.close_when_idle(),
    }
    let _ = connection.await;
}
