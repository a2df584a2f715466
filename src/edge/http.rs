//! A small HTTP client over `hyper`, for the platform and the upstreams.

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

const MAX_RESPONSE_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection came about: no byte of the request went out.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The exchange broke off; the other side may have acted.
    #[error("broken off: {0}")]
    Interrupted(String),
    /// No answer in time; the other side may have acted.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The other side answered with an error status.
    #[error("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// The answer is not what was expected.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// HTTP/1.1 client with a pool of connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_max_idle_per_host(usize::MAX)
    }
}

impl HttpClient {
    /// A client that opens a connection for every request, so that a request
    /// never meets one that the other side has just closed.
    pub fn without_pool() -> Self {
        Self::with_max_idle_per_host(0)
    }

    fn with_max_idle_per_host(max_idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // The library would send a request again on a connection that closed
        // early; only the core decides what is sent twice.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(10))
            .pool_max_idle_per_host(max_idle_per_host)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the answer with its body unread.
    ///
    /// # Errors
    /// `NotSent` if no connection came about, else `Interrupted`.
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

    /// Sends JSON and reads JSON, within `timeout`.
    ///
    /// # Errors
    /// Any of [`HttpError`]; a status of 400 or above is an error too.
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
            let body = read_body(response.into_body()).await?;
            if status >= 400 {
                let body = String::from_utf8_lossy(&body).into_owned();
                return Err(HttpError::Status { status, body });
            }
            serde_json::from_slice(&body).map_err(|error| HttpError::Malformed(error.to_string()))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::Timeout(timeout)))
    }
}

/// A request with a JSON body.
///
/// # Errors
/// The path is not valid.
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

/// Reads a whole body, up to a fixed limit.
///
/// # Errors
/// The connection broke or the body is too long.
pub async fn read_body(body: Incoming) -> Result<Bytes, HttpError> {
    let limited = Limited::new(body, MAX_RESPONSE_BYTES);
    let collected = limited.collect().await;
    collected.map(|body| body.to_bytes()).map_err(|error| HttpError::Interrupted(error.to_string()))
}
