//! A small HTTP server on loopback that hands requests to a closure.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

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

/// Body of an answer; an error breaks the connection off.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Listens on a free port of loopback and serves until the runtime ends.
pub async fn serve<F, R>(handle: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    serve_on("127.0.0.1:0".parse().expect("is an address"), handle).await
}

/// Listens on the given address and serves until the runtime ends.
pub async fn serve_on<F, R>(address: SocketAddr, handle: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await.expect("loopback has free ports");
    let address = listener.local_addr().expect("a listener has an address");
    let handle = Arc::new(handle);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            let service = service_fn(move |request| handle(request));
            tokio::spawn(async move {
                let http = hyper::server::conn::http1::Builder::new();
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    address
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("is plain data");
    let body = Full::new(Bytes::from(bytes)).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// An answer whose body comes in parts.
pub fn stream(
    parts: impl Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
) -> Response<Body> {
    Response::new(StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync())
}

/// The error that breaks a connection off without an answer.
pub fn lost() -> std::io::Error {
    std::io::Error::other("answer lost on purpose")
}

/// Reads a JSON body.
pub async fn read_json<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// The number behind `name=` in a query, or 0.
pub fn query_number(request: &Request<Incoming>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
