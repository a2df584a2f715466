//! Stand-in for a model engine, for prefill and decode.
//!
//! Each token depends on the prompt and the token index alone, so that any engine continues a
//! completion with the same bytes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::faults::Switch;
use crate::server;
use crate::server::Body;

/// Prompt bytes that the engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;
const TOKEN_TEXTS: [&str; 16] = [
    "ovelha ",
    "preço ",
    "feira ",
    "lote ",
    "arroba ",
    "cordeiro ",
    "raça ",
    "alta ",
    "film ",
    "reel ",
    "splice ",
    "frame ",
    "scan ",
    "archive ",
    "grain ",
    "fade ",
];

/// Capacity, speed and features of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Number of KV cache blocks; an import for which too few are free is rejected with status 507.
    pub blocks: u32,
    /// Number of tokens that one KV cache block holds.
    pub block_tokens: u32,
    /// Prefill speed in prompt tokens per second; prefills run one after another.
    pub prefill_tokens_per_s: u32,
    /// Fixed part of the duration of a decode step, without `step_per_stream`.
    pub step_base: Duration,
    /// Part of the duration of a decode step for each stream on the engine.
    pub step_per_stream: Duration,
    /// Time after a prefill at which the engine evicts its KV cache.
    pub kv_eviction: Duration,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u32,
    /// True if the engine rejects orders with an older fencing token, with status 409.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            blocks: 4_000,
            block_tokens: 16,
            prefill_tokens_per_s: 20_000,
            step_base: Duration::from_millis(5),
            step_per_stream: Duration::from_micros(250),
            kv_eviction: Duration::from_millis(800),
            kv_bytes_per_token: 64,
            checks_fencing: true,
        }
    }
}

#[derive(Debug, Clone)]
struct PrefillResult {
    /// Hash of the prompt alone, without the continued text.
    prompt_hash: u64,
    /// Number of tokens of the prompt and the continued text.
    tokens: u32,
    evicted_at: Instant,
}

#[derive(Debug, Clone)]
struct Stream {
    prompt_hash: u64,
    blocks: u32,
    max_tokens: Option<u32>,
    cancelled: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Number in the last handle that was issued.
    last_handle: u64,
    /// Prefill results by handle.
    prefill_results: HashMap<String, PrefillResult>,
    /// Handles of the prefill results by the id of the prefill.
    handles_by_id: HashMap<String, String>,
    /// Streams by id, from the import until the last token or a cancel.
    streams: HashMap<String, Stream>,
    prefilled_tokens: u64,
    prefills: u64,
    started_streams: Vec<String>,
    model: String,
    fencing_token: (u64, u64),
    prefill_busy_until: Option<Instant>,
}

/// Stand-in engine, shared between its server and the test.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    state: Mutex<State>,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
    /// Responds to every prefill with status 500.
    pub fail_prefill: Switch,
    /// Never responds to KV cache transfers into this engine.
    pub stall_import: Switch,
    /// Never responds to the next KV cache transfer into this engine.
    pub stall_next_import: Switch,
    /// Breaks the connection of the next stream after 3 tokens; the engine keeps the stream.
    pub break_next_stream: Switch,
    /// Leaves out the fourth token of the next stream.
    pub skip_token_of_next_stream: Switch,
    /// Ignores cancels and breaks their connections without a response.
    pub lose_cancels: Switch,
    /// Holds back the tokens of all streams until it is off again.
    pub freeze_streams: Switch,
}

#[derive(Deserialize)]
struct PrefillRequest {
    id: String,
    prompt: String,
    /// Text already sent to the caller, if a response is continued.
    continued: String,
}

#[derive(Serialize)]
struct PrefillResponse {
    handle: String,
    cached_tokens: u32,
    kv_bytes: u64,
}

#[derive(Deserialize)]
struct ImportRequest {
    id: String,
    handle: String,
    source: String,
}

#[derive(Serialize, Deserialize)]
struct ExportResponse {
    prompt_hash: u64,
    tokens: u32,
}

#[derive(Deserialize)]
struct DecodeRequest {
    id: String,
    from_index: u32,
    max_tokens: u32,
}

#[derive(Deserialize)]
struct CancelRequest {
    id: String,
}

#[derive(Deserialize)]
struct OrderRequest {
    model: String,
    fence_incarnation: u64,
    fence_generation: u64,
}

#[derive(Serialize)]
struct StateResponse {
    model: String,
    fence_incarnation: u64,
    fence_generation: u64,
}

#[derive(Serialize)]
struct StreamsResponse {
    streams: Vec<StreamSummary>,
}

#[derive(Serialize)]
struct StreamSummary {
    id: String,
    blocks: u32,
}

#[derive(Serialize)]
struct EmptyResponse {}

/// Text of the token at `index`, from 0, of the completion of a prompt with this hash.
pub fn token_text(prompt_hash: u64, index: u32) -> &'static str {
    let mixed = xxh3_64(&[prompt_hash.to_le_bytes(), u64::from(index).to_le_bytes()].concat());
    TOKEN_TEXTS[(mixed % TOKEN_TEXTS.len() as u64) as usize]
}

/// Number of tokens in the unlimited completion of a prompt with this hash: 20 to 79.
pub fn completion_tokens(prompt_hash: u64) -> u32 {
    20 + (prompt_hash % 60) as u32
}

/// Complete text of the completion of `prompt`, with at most `max_tokens` tokens.
pub fn completion(prompt: &str, max_tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    let tokens = completion_tokens(hash).min(max_tokens);
    (0..tokens).map(|index| token_text(hash, index)).collect()
}

impl Engine {
    /// Starts an engine on a free loopback port, and returns it with its address.
    pub async fn start(config: EngineConfig) -> (Arc<Self>, SocketAddr) {
        let engine = Arc::new(Self {
            config,
            state: Mutex::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            fail_prefill: Switch::default(),
            stall_import: Switch::default(),
            stall_next_import: Switch::default(),
            break_next_stream: Switch::default(),
            skip_token_of_next_stream: Switch::default(),
            lose_cancels: Switch::default(),
            freeze_streams: Switch::default(),
        });
        let served = engine.clone();
        let address = server::serve(move |request| served.clone().handle(request)).await;
        (engine, address)
    }

    /// Number of KV cache blocks that streams hold.
    pub fn held_blocks(&self) -> u32 {
        self.state().streams.values().map(|stream| stream.blocks).sum()
    }

    /// Number of streams that the engine holds, decoding or imported and not yet started.
    pub fn stream_count(&self) -> usize {
        self.state().streams.len()
    }

    /// Total number of prefilled tokens, and of prefills, since the start.
    pub fn prefill_totals(&self) -> (u64, u64) {
        let state = self.state();
        (state.prefilled_tokens, state.prefills)
    }

    /// Ids of the streams in the order in which they were started; a resumed stream is listed again.
    pub fn started_streams(&self) -> Vec<String> {
        self.state().started_streams.clone()
    }

    /// Name of the loaded model, empty before the first order.
    pub fn model(&self) -> String {
        self.state().model.clone()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the mutex is not poisoned")
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let path = request.uri().path().to_string();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/prefill") => self.prefill(request).await,
            (Method::POST, "/v1/kv/import") => self.import(request).await,
            (Method::POST, "/v1/decode") => self.decode(request).await,
            (Method::POST, "/v1/cancel") => self.cancel(request).await,
            (Method::POST, "/v1/orders") => self.order(request).await,
            (Method::GET, "/v1/streams") => Ok(self.list_streams()),
            (Method::GET, "/v1/state") => Ok(self.state_response(StatusCode::OK)),
            (Method::GET, path) if path.starts_with("/v1/kv/") => Ok(self.export(path)),
            _ => Ok(server::json(StatusCode::NOT_FOUND, &"no such path")),
        }
    }

    async fn prefill(&self, request: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let Some(body) = server::read_json::<PrefillRequest>(request).await else {
            return Ok(server::json(StatusCode::BAD_REQUEST, &"malformed request body"));
        };
        if self.fail_prefill.is_on() {
            return Ok(server::json(StatusCode::INTERNAL_SERVER_ERROR, &"prefill failed"));
        }
        let tokens = (body.prompt.len() + body.continued.len()).div_ceil(BYTES_PER_TOKEN) as u32;
        let duration = Duration::from_secs_f64(
            f64::from(tokens) / f64::from(self.config.prefill_tokens_per_s),
        );
        let done_at = {
            let mut state = self.state();
            let start = state.prefill_busy_until.unwrap_or_else(Instant::now).max(Instant::now());
            state.prefill_busy_until = Some(start + duration);
            start + duration
        };
        tokio::time::sleep_until(done_at.into()).await;
        let mut state = self.state();
        state.last_handle += 1;
        state.prefilled_tokens += u64::from(tokens);
        state.prefills += 1;
        let handle = format!("kv-{}", state.last_handle);
        let kv = PrefillResult {
            prompt_hash: xxh3_64(body.prompt.as_bytes()),
            tokens,
            evicted_at: Instant::now() + self.config.kv_eviction,
        };
        state.prefill_results.insert(handle.clone(), kv);
        state.handles_by_id.insert(body.id, handle.clone());
        let kv_bytes = u64::from(tokens) * u64::from(self.config.kv_bytes_per_token);
        Ok(server::json(StatusCode::OK, &PrefillResponse { handle, cached_tokens: 0, kv_bytes }))
    }

    fn export(&self, path: &str) -> Response<Body> {
        let handle = path.trim_start_matches("/v1/kv/");
        let mut state = self.state();
        let now = Instant::now();
        state.prefill_results.retain(|_, kv| now < kv.evicted_at);
        match state.prefill_results.get(handle) {
            None => server::json(StatusCode::GONE, &"KV cache evicted"),
            Some(kv) => {
                let response = ExportResponse { prompt_hash: kv.prompt_hash, tokens: kv.tokens };
                server::json(StatusCode::OK, &response)
            }
        }
    }

    async fn import(&self, request: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let Some(body) = server::read_json::<ImportRequest>(request).await else {
            return Ok(server::json(StatusCode::BAD_REQUEST, &"malformed request body"));
        };
        if self.stall_import.is_on() || self.stall_next_import.take() {
            std::future::pending::<()>().await;
        }
        let uri = format!("http://{}/v1/kv/{}", body.source, body.handle);
        let Ok(uri) = uri.parse() else {
            return Ok(server::json(StatusCode::BAD_REQUEST, &"malformed source address"));
        };
        let Ok(response) = self.client.get(uri).await else {
            return Ok(server::json(StatusCode::BAD_GATEWAY, &"source unreachable"));
        };
        if response.status() != StatusCode::OK {
            return Ok(server::json(StatusCode::GONE, &"KV cache evicted"));
        }
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(|_| server::broken_connection())?
            .to_bytes();
        let kv: ExportResponse =
            serde_json::from_slice(&bytes).map_err(|_| server::broken_connection())?;
        let blocks = kv.tokens.div_ceil(self.config.block_tokens);
        let mut state = self.state();
        let used: u32 = state.streams.values().map(|stream| stream.blocks).sum();
        if used + blocks > self.config.blocks {
            return Ok(server::json(StatusCode::INSUFFICIENT_STORAGE, &"too few free blocks"));
        }
        let stream =
            Stream { prompt_hash: kv.prompt_hash, blocks, max_tokens: None, cancelled: false };
        state.streams.insert(body.id, stream);
        Ok(server::json(StatusCode::OK, &EmptyResponse {}))
    }

    async fn decode(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let Some(body) = server::read_json::<DecodeRequest>(request).await else {
            return Ok(server::json(StatusCode::BAD_REQUEST, &"malformed request body"));
        };
        let prompt_hash = {
            let mut state = self.state();
            let Some(stream) = state.streams.get_mut(&body.id) else {
                return Ok(server::json(StatusCode::NOT_FOUND, &"no such stream"));
            };
            // 0 is no limit: a resumed stream then keeps the limit that it was started with.
            if body.max_tokens > 0 {
                stream.max_tokens = Some(body.max_tokens);
            }
            let prompt_hash = stream.prompt_hash;
            state.started_streams.push(body.id.clone());
            prompt_hash
        };
        let break_at = self.break_next_stream.take().then_some(body.from_index + 3);
        let skipped = self.skip_token_of_next_stream.take().then_some(body.from_index + 3);
        let start = Some((self, body.id, body.from_index));
        let tokens = futures_util::stream::unfold(start, move |state| async move {
            let (engine, id, index) = state?;
            if break_at == Some(index) {
                return Some((Err(server::broken_connection()), None));
            }
            engine.decode_step().await;
            let index = if skipped == Some(index) { index + 1 } else { index };
            let line = engine.next_line(&id, prompt_hash, index)?;
            let following = (!line.1).then_some((engine, id, index + 1));
            Some((Ok(line.0), following))
        });
        Ok(server::stream(tokens))
    }

    /// Waits while the streams are frozen and then for one decode step, which takes longer with
    /// more streams.
    async fn decode_step(&self) {
        while self.freeze_streams.is_on() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let streams = self.stream_count() as u32;
        tokio::time::sleep(self.config.step_base + self.config.step_per_stream * streams).await;
    }

    /// Returns the line of the token at `index` and whether it is the last one, and removes the
    /// stream with the last one. `None` if the stream was cancelled.
    fn next_line(&self, id: &str, prompt_hash: u64, index: u32) -> Option<(Bytes, bool)> {
        let mut state = self.state();
        let stream = state.streams.get(id).filter(|stream| !stream.cancelled)?;
        let tokens = completion_tokens(prompt_hash);
        let limit = stream.max_tokens.unwrap_or(u32::MAX);
        let last = index + 1 >= tokens.min(limit);
        let text = token_text(prompt_hash, index);
        let mut line = serde_json::json!({ "index": index, "text": text });
        if last {
            line["finish_reason"] = if limit < tokens { "length".into() } else { "stop".into() };
            state.streams.remove(id);
        }
        Some((Bytes::from(format!("{line}\n")), last))
    }

    async fn cancel(&self, request: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let Some(body) = server::read_json::<CancelRequest>(request).await else {
            return Ok(server::json(StatusCode::BAD_REQUEST, &"malformed request body"));
        };
        if self.lose_cancels.is_on() {
            return Err(server::broken_connection());
        }
        let mut state = self.state();
        state.streams.remove(&body.id);
        if let Some(handle) = state.handles_by_id.remove(&body.id) {
            state.prefill_results.remove(&handle);
        }
        Ok(server::json(StatusCode::OK, &EmptyResponse {}))
    }

    async fn order(&self, request: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let Some(body) = server::read_json::<OrderRequest>(request).await else {
            return Ok(server::json(StatusCode::BAD_REQUEST, &"malformed request body"));
        };
        let fencing_token = (body.fence_incarnation, body.fence_generation);
        {
            let mut state = self.state();
            if self.config.checks_fencing && fencing_token < state.fencing_token {
                drop(state);
                return Ok(self.state_response(StatusCode::CONFLICT));
            }
            state.fencing_token = fencing_token;
            state.model = body.model;
        }
        Ok(self.state_response(StatusCode::OK))
    }

    fn state_response(&self, status: StatusCode) -> Response<Body> {
        let state = self.state();
        let response = StateResponse {
            model: state.model.clone(),
            fence_incarnation: state.fencing_token.0,
            fence_generation: state.fencing_token.1,
        };
        server::json(status, &response)
    }

    fn list_streams(&self) -> Response<Body> {
        let state = self.state();
        let summaries = state
            .streams
            .iter()
            .map(|(id, stream)| StreamSummary { id: id.clone(), blocks: stream.blocks });
        server::json(StatusCode::OK, &StreamsResponse { streams: summaries.collect() })
    }
}
