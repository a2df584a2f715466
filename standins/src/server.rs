//! Small HTTP/1.1 server on loopback that passes each request to a closure.

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Response body; an error in it breaks the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Listens on a free loopback port and serves until the runtime ends. Returns the address.
/// An error from `handle` breaks the connection without a response.
pub async fn serve<F, R>(handle: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    serve_on("127.0.0.1:0".parse().expect("the address is valid"), handle).await
}

/// Listens on `address` and serves until the runtime ends. Returns the address, with the port
/// that was chosen if the given one is 0.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub async fn serve_on<F, R>(address: SocketAddr, handle: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    serve_until(address, watch::channel(None).1, handle).await
}

/// How a server stops; new connections are refused either way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// It finishes its responses.
    InOrder,
    /// It breaks its responses off.
    BreakingOff,
}

/// The same, until it is told to stop; it goes on if the sender of `stop` is dropped.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub async fn serve_until<F, R>(
    address: SocketAddr,
    mut stop: watch::Receiver<Option<Stop>>,
    handle: F,
) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await.expect("the address can be bound");
    let address = listener.local_addr().expect("a listener has an address");
    let handle = Arc::new(handle);
    tokio::spawn(async move {
        let connection_stop = stop.clone();
        let mut stopped = pin!(stopped(&mut stop));
        loop {
            let stream = tokio::select! {
                _ = stopped.as_mut() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = stream else { return };
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve_connection(stream, connection_stop.clone(), handle.clone()));
        }
    });
    address
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    mut stop: watch::Receiver<Option<Stop>>,
    handle: Arc<F>,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Response<Body>, std::io::Error>>,
{
    let service = service_fn(move |request| handle(request));
    let http = hyper::server::conn::http1::Builder::new();
    let mut connection = pin!(http.serve_connection(TokioIo::new(stream), service));
    let stop = tokio::select! {
        _ = connection.as_mut() => return,
        stop = stopped(&mut stop) => stop,
    };
    if stop == Stop::InOrder {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Completes once the server is told to stop.
async fn stopped(stop: &mut watch::Receiver<Option<Stop>>) -> Stop {
    let told = stop.wait_for(Option::is_some).await.ok().and_then(|stop| *stop);
    match told {
        Some(stop) => stop,
        None => pending().await,
    }
}

/// Body with a length.
pub fn whole_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Body without a length, all of which is sent after `pause`.
pub fn late_body(bytes: impl Into<Bytes>, pause: Duration) -> Body {
    let bytes = bytes.into();
    let chunk = async move {
        tokio::time::sleep(pause).await;
        Ok(Frame::data(bytes))
    };
    StreamBody::new(futures_util::stream::once(chunk)).boxed_unsync()
}

/// Response with the given status and `value` as JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("a response can be serialized as JSON");
    let mut response = Response::new(whole_body(bytes));
    *response.status_mut() = status;
    response
}

/// Response with status 200 whose body is sent part by part; an error part breaks the
/// connection.
pub fn stream(
    parts: impl Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
) -> Response<Body> {
    Response::new(StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync())
}

/// Error with which a stand-in breaks a connection on purpose, in place of a response or in the
/// middle of one.
pub fn broken_connection() -> std::io::Error {
    std::io::Error::other("connection broken on purpose by the stand-in")
}

/// Reads and decodes a JSON body; `None` if it cannot be read or does not match `T`.
pub async fn read_json<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Value of the query parameter `name` as a number; 0 if it is missing or not a number.
pub fn query_number(request: &Request<Incoming>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
