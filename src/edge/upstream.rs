//! HTTP client of the upstream that the agent drives: an engine or a plain service.
//!
//! The engine's interface is stated in docs/INTERFACES.md.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::agent::RunningStream;
use crate::agent::UpstreamEvent;
use crate::agent::orders::EngineState;
use crate::agent::orders::FencingToken;
use crate::agent::orders::Order;
use crate::edge::frames::MAX_FRAME_BYTES;
use crate::edge::http::HttpClient;
use crate::edge::http::HttpError;
use crate::edge::http::json_request;
use crate::edge::http::read_body;
use crate::edge::token_lines::TokenError;
use crate::edge::token_lines::TokenLines;
use crate::schema::wire;
use crate::schema::wire::AttemptId;

const PREFILL_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of requests that only read or change the state of the engine.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const HTTP_GONE: u16 = 410;
/// Longest handle of a KV cache that is accepted, in bytes.
const MAX_HANDLE_BYTES: usize = 1 << 10;
/// Largest response of an engine that is read into memory, in bytes.
const MAX_ENGINE_RESPONSE_BYTES: usize = 1 << 20;
/// Largest response body of a plain service, in bytes: with its headers it must fit into
/// a frame to the entry.
const MAX_CALL_RESPONSE_BYTES: usize = MAX_FRAME_BYTES - (1 << 20);
const HEX_RADIX: u32 = 16;

/// Writes an attempt id as the engine and the logs name it: entry, request and
/// attempt in hexadecimal, joined by `-`.
pub fn format_attempt_id(id: &AttemptId) -> String {
    format!("{:x}-{:x}-{:x}", id.entry, id.request, id.attempt)
}

/// Parses the text of [`format_attempt_id`]; returns `None` if it is any other text.
pub fn parse_attempt_id(text: &str) -> Option<AttemptId> {
    let mut parts = text.split('-');
    let mut part = || u64::from_str_radix(parts.next()?, HEX_RADIX).ok();
    let (entry, request, attempt) = (part()?, part()?, part()?);
    let id = AttemptId { entry, request, attempt: attempt.try_into().ok()? };
    (format_attempt_id(&id) == text).then_some(id)
}

#[derive(Serialize)]
struct PrefillRequest<'a> {
    id: String,
    model: &'a str,
    prompt: &'a str,
    continued: &'a str,
}

#[derive(Deserialize)]
struct PrefillResponse {
    handle: String,
    cached_tokens: u32,
    kv_bytes: u64,
}

#[derive(Serialize)]
struct ImportRequest<'a> {
    id: String,
    handle: &'a str,
    source: &'a str,
}

#[derive(Serialize)]
struct DecodeRequest {
    id: String,
    from_index: u32,
    max_tokens: u32,
    priority: u32,
}

#[derive(Serialize)]
struct CancelRequest {
    id: String,
}

#[derive(Deserialize)]
struct StreamListResponse {
    streams: Vec<ListedStream>,
}

#[derive(Deserialize)]
struct ListedStream {
    id: String,
    blocks: u32,
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    model: &'a str,
    fence_incarnation: u64,
    fence_generation: u64,
}

#[derive(Deserialize)]
struct StateResponse {
    model: CompactString,
    fence_incarnation: u64,
    fence_generation: u64,
}

#[derive(Deserialize)]
struct EmptyResponse {}

/// HTTP client of the upstream that this agent drives. The methods that return an
/// [`UpstreamEvent`] report failures in the event.
#[derive(Debug, Clone)]
pub struct Upstream {
    http: HttpClient,
    unpooled_http: HttpClient,
    address: SocketAddr,
}

impl Upstream {
    /// Creates a client of the upstream at `address`. Calls to a plain service do not
    /// use the connection pool of `http`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        let http = http.with_max_response_bytes(MAX_ENGINE_RESPONSE_BYTES);
        Self { http, unpooled_http: HttpClient::without_pool(), address }
    }

    async fn post_json<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        self.http.send_json(Method::POST, self.address, path, body, timeout).await
    }

    /// Runs a prefill at the engine; fails after 60 s without a complete response, and if
    /// its handle cannot be part of a path.
    pub async fn run_prefill(&self, prefill: wire::Prefill) -> UpstreamEvent {
        let id = prefill.id.unwrap_or_default();
        let body = PrefillRequest {
            id: format_attempt_id(&id),
            model: &prefill.model,
            prompt: &String::from_utf8_lossy(&prefill.prompt),
            continued: &String::from_utf8_lossy(&prefill.continued),
        };
        match self.post_json::<PrefillResponse>("/v1/prefill", &body, PREFILL_TIMEOUT).await {
            Ok(response) if !is_valid_handle(&response.handle) => {
                let reason = format!("handle of {} bytes is invalid", response.handle.len());
                UpstreamEvent::PrefillFailed { id, reason }
            }
            Ok(response) => UpstreamEvent::PrefillDone {
                id,
                handle: response.handle,
                cached_tokens: response.cached_tokens,
                kv_bytes: response.kv_bytes,
            },
            Err(error) => UpstreamEvent::PrefillFailed { id, reason: error.to_string() },
        }
    }

    /// Asks the engine to fetch a KV cache from the engine that computed it. A failed
    /// import has `evicted` set if that engine no longer holds the cache.
    pub async fn import_kv_cache(&self, decode: wire::Decode, timeout: Duration) -> UpstreamEvent {
        let id = decode.id.unwrap_or_default();
        let body = ImportRequest {
            id: format_attempt_id(&id),
            handle: &decode.handle,
            source: &decode.source,
        };
        match self.post_json::<EmptyResponse>("/v1/kv/import", &body, timeout).await {
            Ok(EmptyResponse {}) => UpstreamEvent::Imported { id },
            Err(HttpError::Status { status: HTTP_GONE, .. }) => {
                UpstreamEvent::ImportFailed { id, evicted: true }
            }
            Err(_) => UpstreamEvent::ImportFailed { id, evicted: false },
        }
    }

    /// Starts decoding at `from_index` and passes each token to `emit`. If the stream
    /// cannot start, is cut off or holds what is not the next token, `emit` gets an event
    /// for that instead of the end.
    pub async fn read_stream(
        &self,
        id: AttemptId,
        from_index: u32,
        max_tokens: u32,
        rank: u32,
        emit: impl Fn(UpstreamEvent),
    ) {
        let body =
            DecodeRequest { id: format_attempt_id(&id), from_index, max_tokens, priority: rank };
        let Ok(request) = json_request(Method::POST, self.address, "/v1/decode", &body) else {
            return;
        };
        let response = match self.http.send(request).await {
            Ok(response) => response,
            Err(error) => {
                emit(UpstreamEvent::StreamFailed { id, reason: error.to_string() });
                return;
            }
        };
        if !response.status().is_success() {
            let reason = format!(
                "POST /v1/decode at the engine: HTTP status {}",
                response.status().as_u16()
            );
            emit(UpstreamEvent::StreamFailed { id, reason });
            return;
        }
        let mut lines = TokenLines::new(from_index, max_tokens);
        match read_tokens(id, response.into_body(), &mut lines, &emit).await {
            Ok(true) => {}
            Ok(false) => emit(UpstreamEvent::StreamDisconnected { id }),
            Err(error) => emit(UpstreamEvent::StreamInvalid { id, reason: error.to_string() }),
        }
    }

    /// Cancels a stream or frees a prefill result; returns `None` if the request failed.
    pub async fn cancel(&self, id: AttemptId) -> Option<UpstreamEvent> {
        let body = CancelRequest { id: format_attempt_id(&id) };
        let cancelled = self.post_json::<EmptyResponse>("/v1/cancel", &body, CONTROL_TIMEOUT).await;
        cancelled.is_ok().then_some(UpstreamEvent::Cancelled { id })
    }

    /// Lists the streams at the engine, without those whose id is not an attempt id.
    ///
    /// # Errors
    /// Returns any variant of [`HttpError`].
    pub async fn list_streams(&self) -> Result<UpstreamEvent, HttpError> {
        let response: StreamListResponse = self
            .http
            .send_json(Method::GET, self.address, "/v1/streams", &(), CONTROL_TIMEOUT)
            .await?;
        let parse_stream = |stream: ListedStream| {
            parse_attempt_id(&stream.id).map(|id| RunningStream { id, blocks: stream.blocks })
        };
        let streams = response.streams.into_iter().filter_map(parse_stream).collect();
        Ok(UpstreamEvent::RunningStreams { streams })
    }

    /// Sends an order to the engine and returns its new state, or `None` if the request
    /// failed. The engine may reject an order whose fencing token is older than the
    /// newest that it has seen.
    pub async fn order(&self, order: Order) -> Option<UpstreamEvent> {
        let body = OrderRequest {
            model: &order.model,
            fence_incarnation: order.fence.incarnation,
            fence_generation: order.fence.generation,
        };
        let state =
            self.post_json::<StateResponse>("/v1/orders", &body, CONTROL_TIMEOUT).await.ok()?;
        Some(UpstreamEvent::State(to_engine_state(state)))
    }

    /// Reads the model and fencing token of the engine; returns `None` if the request
    /// failed.
    pub async fn read_state(&self) -> Option<UpstreamEvent> {
        let state = self
            .http
            .send_json::<StateResponse>(
                Method::GET,
                self.address,
                "/v1/state",
                &(),
                CONTROL_TIMEOUT,
            )
            .await;
        state.ok().map(|state| UpstreamEvent::State(to_engine_state(state)))
    }

    /// Sends a call to the plain service, once. If it fails, the reply holds the error
    /// and whether the call certainly did not run.
    pub async fn send_call(&self, call: wire::Call) -> UpstreamEvent {
        let id = call.id.unwrap_or_default();
        let timeout = Duration::from_millis(call.timeout_ms.into());
        let exchange = tokio::time::timeout(timeout, self.exchange_call(&call)).await;
        let reply = match exchange.unwrap_or(Err(HttpError::Timeout(timeout))) {
            Ok(reply) => wire::CallReply { id: Some(id), ..reply },
            Err(error) => wire::CallReply {
                id: Some(id),
                not_run: matches!(error, HttpError::NotSent(_)),
                error: error.to_string(),
                ..wire::CallReply::default()
            },
        };
        UpstreamEvent::CallDone { id, reply }
    }

    async fn exchange_call(&self, call: &wire::Call) -> Result<wire::CallReply, HttpError> {
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", self.address, call.path));
        for header in &call.headers {
            builder = builder.header(header.name.as_str(), header.value.as_ref());
        }
        let request = builder
            .body(Full::new(call.body.clone()))
            .map_err(|error| HttpError::NotSent(error.to_string()))?;
        let response = self.unpooled_http.send(request).await?;
        let status = response.status().as_u16().into();
        let to_wire_header =
            |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
                wire::Header {
                    name: name.to_string(),
                    value: Bytes::copy_from_slice(value.as_bytes()),
                }
            };
        let headers = response.headers().iter().map(to_wire_header).collect();
        let body = read_body(response.into_body(), MAX_CALL_RESPONSE_BYTES).await?;
        Ok(wire::CallReply { status, headers, body, ..wire::CallReply::default() })
    }
}

/// True if a handle can be a part of the path under which other engines fetch the cache.
fn is_valid_handle(handle: &str) -> bool {
    let is_visible = |byte: u8| byte.is_ascii_graphic();
    !handle.is_empty() && handle.len() <= MAX_HANDLE_BYTES && handle.bytes().all(is_visible)
}

fn to_engine_state(state: StateResponse) -> EngineState {
    let fence =
        FencingToken { incarnation: state.fence_incarnation, generation: state.fence_generation };
    EngineState { model: state.model, fence }
}

/// Reads JSON lines with one token each and emits them. Returns true if the last
/// token was received, false if the stream ended early.
///
/// # Errors
/// Returns [`TokenError`] for the first line that is not the next token of the run.
async fn read_tokens(
    id: AttemptId,
    mut body: hyper::body::Incoming,
    lines: &mut TokenLines,
    emit: &impl Fn(UpstreamEvent),
) -> Result<bool, TokenError> {
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        lines.push(&data);
        while let Some(token) = lines.next_token()? {
            let last = token.finish_reason.is_some();
            emit(UpstreamEvent::Chunk {
                id,
                index: token.index,
                text: token.text.into(),
                last,
                finish_reason: token.finish_reason.unwrap_or_default(),
            });
            if last {
                return Ok(true);
            }
        }
    }
    Ok(false)
}
