//! HTTP/1.1 client for the platform's services and the upstreams, built on `hyper`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest response body that is read into memory unless the client has another limit, in
/// bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Longest part of an error response that is kept in [`HttpError::Status`], in bytes.
const MAX_ERROR_BODY_BYTES: usize = 1 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of an HTTP request; the variants tell whether the server may have acted.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request could not be built or no connection could be opened: the server
    /// received no byte of it.
    #[error("no connection to the server or invalid request, nothing was sent: {0}")]
    NotSent(String),
    /// The connection failed during the exchange, or the response body was too long;
    /// the server may have acted.
    #[error("connection failed before the response was complete: {0}")]
    Interrupted(String),
    /// The response was not complete within this time; the server may have acted.
    #[error("no complete response within {0:?}")]
    Timeout(Duration),
    /// The server responded with a status of 400 or above.
    #[error("server responded with HTTP status {status}: {body}")]
    Status {
        /// HTTP status code of the response.
        status: u16,
        /// Start of the response body, up to 1 KiB, with invalid UTF-8 replaced.
        body: String,
    },
    /// The response body is not the expected JSON, or the request body could not be
    /// written as JSON.
    #[error("cannot write the request or read the response as JSON: {0}")]
    Malformed(String),
}

/// HTTP/1.1 client that keeps idle connections open for reuse, unless made by
/// [`HttpClient::without_pool`].
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_response_bytes: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_max_idle_per_host(usize::MAX)
    }
}

impl HttpClient {
    /// Creates a client that opens a new connection for every request, so that no
    /// request is sent on a pooled connection that the server has just closed.
    pub fn without_pool() -> Self {
        Self::with_max_idle_per_host(0)
    }

    fn with_max_idle_per_host(max_idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // By default the library resends a request if a pooled connection closed
        // before it was sent. Only the decision core may decide to send one twice.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(10))
            .pool_max_idle_per_host(max_idle_per_host)
            .build(connector);
        Self { client, max_response_bytes: MAX_RESPONSE_BYTES }
    }

    /// Limits the response bodies that [`HttpClient::send_json`] reads, 64 MiB by default.
    #[must_use]
    pub fn with_max_response_bytes(self, max_response_bytes: usize) -> Self {
        Self { max_response_bytes, ..self }
    }

    /// Sends a request and returns the response once its headers are there, with the
    /// body unread. Does not limit the time or check the status.
    ///
    /// # Errors
    /// Returns [`HttpError::NotSent`] if no connection could be opened, otherwise
    /// [`HttpError::Interrupted`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::NotSent(error.to_string())
            } else {
                HttpError::Interrupted(error.to_string())
            }
        })
    }

    /// Sends a request with a JSON body and decodes the JSON response. `timeout` limits
    /// the whole exchange.
    ///
    /// # Errors
    /// Returns any variant of [`HttpError`]; a status of 400 or above is
    /// [`HttpError::Status`].
    pub async fn send_json<T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let request = json_request(method, address, path, body)?;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status().as_u16();
            let body = read_body(response.into_body(), self.max_response_bytes).await?;
            if status >= 400 {
                let start = &body[..body.len().min(MAX_ERROR_BODY_BYTES)];
                let body = String::from_utf8_lossy(start).into_owned();
                return Err(HttpError::Status { status, body });
            }
            serde_json::from_slice(&body).map_err(|error| HttpError::Malformed(error.to_string()))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::Timeout(timeout)))
    }
}

/// Builds a request with a JSON body.
///
/// # Errors
/// Returns [`HttpError::NotSent`] if the path is not valid, and
/// [`HttpError::Malformed`] if `body` cannot be written as JSON.
pub fn json_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let body = serde_json::to_vec(body).map_err(|error| HttpError::Malformed(error.to_string()))?;
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| HttpError::NotSent(error.to_string()))
}

/// Reads a whole response body of at most `max_bytes`.
///
/// # Errors
/// Returns [`HttpError::Interrupted`] if the connection failed or the body is too long.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, HttpError> {
    let limited = Limited::new(body, max_bytes);
    let collected = limited.collect().await;
    collected.map(|body| body.to_bytes()).map_err(|error| HttpError::Interrupted(error.to_string()))
}
