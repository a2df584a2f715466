//! The HTTP server that callers talk to, with a planned stop.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::edge::direct::response::ResponseBody;

const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Bytes that a caller does not acknowledge close its connection after that.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// How connections of callers are served.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Longest time without a request on an open connection.
    pub idle: Duration,
    /// Most bytes of a head that are read.
    pub max_header_bytes: usize,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self { idle: Duration::from_secs(15), max_header_bytes: 64 << 10 }
    }
}

/// ConnectionPool that are open at one server.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections(Rc<Cell<usize>>);

impl OpenConnections {
    /// How many.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// Serves connections until `stop`, then lets open requests end. Returns when
/// all connections are closed.
pub async fn serve<S, F>(
    listener: TcpListener,
    settings: impl Fn() -> ServerSettings,
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
                let connection =
                    serve_connection(stream, settings(), stop.clone(), service.clone());
                let open = Open::new(open.clone());
                tokio::task::spawn_local(async move {
                    connection.await;
                    drop(open);
                });
            }
            Err(error) => {
                spdlog::warn!("accept-failed", kv: { detail: = error });
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
    // Who waits to be taken is turned away at once.
    drop(listener);
    while open.count() > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

struct Open(OpenConnections);

impl Open {
    fn new(connections: OpenConnections) -> Self {
        connections.0.set(connections.count() + 1);
        Self(connections)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.0.set(self.0.count() - 1);
    }
}

async fn serve_connection<S, F>(
    stream: TcpStream,
    settings: ServerSettings,
    stop: CancellationToken,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    // A socket that refuses options is already closed.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(CALLER_USER_TIMEOUT));
    let service = service_fn(move |request| {
        let answer = service(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.idle)
        .max_buf_size(settings.max_header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error means that the caller is gone or sent what is not HTTP; hyper
    // has answered the latter.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
