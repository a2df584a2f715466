//! HTTP server for callers: reads their requests, passes them to the entry actor and
//! sends back the responses.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::ToCompactString;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use kameo::actor::ActorRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::edge::completion_api;
use crate::edge::completion_api::ApiFormat;
use crate::edge::completion_api::ResponseFormatter;
use crate::edge::entry_actor::EntryActor;
use crate::edge::entry_actor::EntryInput;
use crate::edge::entry_actor::GetSnapshot;
use crate::edge::problem;
use crate::edge::responses::ResponseReceiver;
use crate::edge::responses::json_response;
use crate::edge::responses::stream_response;
use crate::edge::telemetry::Telemetry;
use crate::entry::ResponsePart;
use crate::entry::request::IncomingCall;
use crate::entry::request::IncomingRequest;
use crate::entry::request::IncomingWork;
use crate::manifest::Snapshot;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::schema::wire;

/// Body of a response to a caller, either complete or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

const ACCOUNT_HEADER: &str = "x-client-account";
const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const SERVICES_PREFIX: &str = "/services/";
const MAX_REQUEST_ID_BYTES: usize = 128;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 7] =
    ["connection", "host", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"];

/// Limits on requests and connections of callers.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest request line and headers together, in bytes.
    pub max_header_bytes: usize,
    /// Longest time from the end of the headers until the whole body was received.
    pub body_read_timeout: Duration,
    /// Longest time that an open connection may wait for the headers of a request.
    pub idle_timeout: Duration,
    /// Most connections served at once; requests on further ones are refused.
    pub max_connections: usize,
}

/// HTTP server for callers.
#[derive(Debug, Clone)]
pub struct CallerServer {
    /// Actor that decides on the requests.
    pub actor: ActorRef<EntryActor>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Sink for the metrics of refused requests.
    pub telemetry: Telemetry,
    /// Token that stops the server: once it is cancelled, no new connection is
    /// accepted.
    pub stop: CancellationToken,
}

/// Builds a response body from bytes that are all known.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed_unsync()
}

impl CallerServer {
    /// Serves connections until the token is cancelled, then waits for the responses
    /// in progress to end.
    pub async fn serve(self, listener: TcpListener) {
        let connection_permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let server = Arc::new(self);
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = server.stop.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = connection_permits.clone().try_acquire_owned() else {
                tokio::spawn(server.clone().refuse_connection(stream));
                continue;
            };
            let server = server.clone();
            connections.spawn(async move {
                server.serve_connection(stream).await;
                drop(permit);
            });
        }
        connections.close();
        connections.wait().await;
    }

    /// Responds to one request with the refusal `TooManyConnections` and closes the
    /// connection.
    async fn refuse_connection(self: Arc<Self>, stream: TcpStream) {
        let reason = RefusalReason::TooManyConnections;
        self.telemetry.count("refused", &reason.to_string());
        let service = service_fn(move |request: Request<Incoming>| {
            let refusal = Refusal::not_run(reason, Some(UNAVAILABLE_RETRY_AFTER));
            let response = problem::response(&refusal, &request_id(request.headers()));
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .keep_alive(false)
            .timer(TokioTimer::new())
            .header_read_timeout(UNAVAILABLE_RETRY_AFTER)
            .serve_connection(TokioIo::new(stream), service);
        let _ = tokio::time::timeout(UNAVAILABLE_RETRY_AFTER * 2, connection).await;
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let server = self.clone();
        let service = service_fn(move |request| {
            let server = server.clone();
            async move { Ok::<_, Infallible>(server.handle(request).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.idle_timeout)
            .max_buf_size(self.limits.max_header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.stop.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let request_id = request_id(request.headers());
        let routed = self.route(request, &request_id).await;
        let mut response = routed.unwrap_or_else(|refusal| {
            self.telemetry.count("refused", &refusal.reason.to_string());
            problem::response(&refusal, &request_id)
        });
        if let Ok(value) = request_id.parse() {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        request_id: &CompactString,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => {
                self.generate(request, ApiFormat::Completion, request_id).await
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.generate(request, ApiFormat::Chat, request_id).await
            }
            (&Method::GET, "/v1/models") => {
                let snapshot = self.snapshot().await?;
                Ok(models_response(&snapshot))
            }
            _ if path.starts_with(SERVICES_PREFIX) => self.call(request, request_id).await,
            _ => {
                let refusal = Refusal::not_run(RefusalReason::UnknownService, None);
                Err(Refusal { detail: format!("no such path: {path}"), ..refusal })
            }
        }
    }

    /// Returns the manifest in force, or the refusal `NotReady` if there is none yet.
    async fn snapshot(&self) -> Result<Arc<Snapshot>, Refusal> {
        let snapshot = self.actor.ask(GetSnapshot).await.ok().flatten();
        snapshot
            .ok_or_else(|| Refusal::not_run(RefusalReason::NotReady, Some(UNAVAILABLE_RETRY_AFTER)))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let collect = Limited::new(body, self.limits.max_body_bytes).collect();
        match tokio::time::timeout(self.limits.body_read_timeout, collect).await {
            Err(_) => Err(Refusal::not_run(RefusalReason::BodyTimeout, None)),
            Ok(Err(_)) => Err(Refusal::not_run(RefusalReason::BodyTooLarge, None)),
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
        }
    }

    async fn generate(
        &self,
        request: Request<Incoming>,
        format: ApiFormat,
        request_id: &CompactString,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let account = header(request.headers(), ACCOUNT_HEADER);
        let bytes = self.read_body(request.into_body()).await?;
        let snapshot = self.snapshot().await?;
        let parsed = completion_api::parse_request(format, &bytes, &snapshot)?;
        let model = parsed.incoming.model.clone();
        let formatter = ResponseFormatter { format, request_id: request_id.clone(), model };
        let work = IncomingWork::Generate(parsed.incoming);
        let incoming = IncomingRequest { request_id: request_id.clone(), account, work };
        let mut response_parts = self.submit(incoming).await?;
        let first = response_parts.next().await?;
        if let ResponsePart::Refused(refusal) = first {
            return Err(refusal);
        }
        if parsed.stream {
            return Ok(stream_response(formatter, first, response_parts));
        }
        json_response(&formatter, first, response_parts).await
    }

    async fn call(
        &self,
        request: Request<Incoming>,
        request_id: &CompactString,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (head, body) = request.into_parts();
        let service_and_path = head.uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
        let (service, path) = service_and_path.split_once('/').unwrap_or((service_and_path, ""));
        let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        let call = IncomingCall {
            service: service.into(),
            method: head.method.as_str().into(),
            path: format!("/{path}{query}"),
            headers: end_to_end_headers(&head.headers, request_id),
            body: self.read_body(body).await?,
            idempotency_key: head
                .headers
                .get(IDEMPOTENCY_KEY_HEADER)
                .map(|_| header(&head.headers, IDEMPOTENCY_KEY_HEADER)),
        };
        let account = header(&head.headers, ACCOUNT_HEADER);
        let work = IncomingWork::Call(call);
        let incoming = IncomingRequest { request_id: request_id.clone(), account, work };
        let mut response_parts = self.submit(incoming).await?;
        match response_parts.next().await? {
            ResponsePart::Reply(reply) => Ok(call_response(reply)),
            ResponsePart::Refused(refusal) => Err(refusal),
            ResponsePart::Token { .. } | ResponsePart::Finished { .. } => {
                unreachable!("the core responds to a call with a reply or a refusal only")
            }
        }
    }

    async fn submit(&self, incoming: IncomingRequest) -> Result<ResponseReceiver, Refusal> {
        let (response_parts, receiver) = mpsc::unbounded_channel();
        let (key_sender, key) = oneshot::channel();
        let reason = RefusalReason::ShuttingDown;
        let input = EntryInput::Request { incoming, response_parts, key: key_sender };
        let sent = self.actor.tell(input).try_send();
        sent.map_err(|_| Refusal::not_run(reason, Some(UNAVAILABLE_RETRY_AFTER)))?;
        // If the actor stops now, the core may already have started the request, so
        // its outcome is unknown.
        let received = key.await;
        let key = received.map_err(|_| Refusal::with_outcome(reason, Outcome::Unknown))?;
        Ok(ResponseReceiver::new(receiver, key, self.actor.clone()))
    }
}

/// Retry time in refusals by an entry that is not ready, full or shutting down. On a
/// refused connection, it is also the time limit for the headers and half the time limit
/// for the whole exchange.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

fn call_response(reply: wire::CallReply) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(reply.body));
    if let Ok(status) = u16::try_from(reply.status).unwrap_or_default().try_into() {
        *response.status_mut() = status;
    }
    for header in reply.headers {
        let name = hyper::header::HeaderName::from_bytes(header.name.as_bytes());
        let value = hyper::header::HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && !HOP_BY_HOP_HEADERS.contains(&name.as_str())
            && name != "content-length"
        {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn end_to_end_headers(headers: &HeaderMap, request_id: &str) -> Vec<wire::Header> {
    let kept = headers.iter().filter(|(name, _)| {
        !HOP_BY_HOP_HEADERS.contains(&name.as_str())
            && *name != "content-length"
            && name.as_str() != REQUEST_ID_HEADER
    });
    let mut forwarded: Vec<wire::Header> = kept
        .map(|(name, value)| wire::Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    let value = Bytes::copy_from_slice(request_id.as_bytes());
    forwarded.push(wire::Header { name: REQUEST_ID_HEADER.to_string(), value });
    forwarded
}

/// Returns the value of a header; empty if the header is missing or not visible ASCII.
fn header(headers: &HeaderMap, name: &str) -> CompactString {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_compact_string()
}

/// Returns the caller's request id, or a random one if it is missing or too long.
fn request_id(headers: &HeaderMap) -> CompactString {
    let given = header(headers, REQUEST_ID_HEADER);
    if !given.is_empty() && given.len() <= MAX_REQUEST_ID_BYTES {
        return given;
    }
    CompactString::from(format!("{:032x}", rand::random::<u128>()))
}

fn models_response(snapshot: &Snapshot) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(completion_api::models(snapshot)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
