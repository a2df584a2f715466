//! Small HTTP client that calls an entry as a client account does.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Caller of one entry, over plain HTTP/1.1.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// Streamed completion as far as the caller received it; empty if the request failed.
#[derive(Debug, Default)]
pub struct StreamedCompletion {
    /// Concatenated text of all tokens received.
    pub text: String,
    /// True if the final `[DONE]` event arrived.
    pub done: bool,
    /// Time from sending the request to the first token; zero if none arrived.
    pub time_to_first_token: Duration,
    /// Time between each token and the one before it, in order of arrival.
    pub token_intervals: Vec<Duration>,
}

impl Caller {
    /// Creates a caller of the entry at `address`. It connects with the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: HyperClient::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a call for the client account `associados`, with the idempotency key if given, and
    /// returns status and body. The status is 0 if no response came. The body is empty if it
    /// broke off.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> (u16, String) {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("x-client-account", "associados");
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request =
            request.body(Full::new(Bytes::from(body.to_string()))).expect("the request is valid");
        let Ok(response) = self.http.request(request).await else { return (0, String::new()) };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map(|body| body.to_bytes());
        (status, String::from_utf8_lossy(&body.unwrap_or_default()).into_owned())
    }

    /// Requests a streamed completion for the client account `account` and reads it to its
    /// end, or until it breaks off.
    pub async fn stream_completion(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        account: &str,
    ) -> StreamedCompletion {
        let body = serde_json::json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true
        });
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{}/v1/completions", self.address))
            .header("x-client-account", account)
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is valid");
        let sent_at = Instant::now();
        match self.http.request(request).await {
            Ok(response) => read_events(response, sent_at).await,
            Err(_) => StreamedCompletion::default(),
        }
    }
}

async fn read_events(response: Response<Incoming>, sent_at: Instant) -> StreamedCompletion {
    let mut completion = StreamedCompletion::default();
    let mut last_token_at = None;
    let mut pending = String::new();
    let mut body = response.into_body();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        pending.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, remainder)) = pending.split_once("\n\n") {
            let event = event.strip_prefix("data: ").unwrap_or_default().to_string();
            pending = remainder.to_string();
            if event == "[DONE]" {
                completion.done = true;
                continue;
            }
            let json: serde_json::Value = serde_json::from_str(&event).unwrap_or_default();
            let text = json["choices"][0]["text"].as_str().unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            completion.text.push_str(text);
            match last_token_at.replace(Instant::now()) {
                None => completion.time_to_first_token = sent_at.elapsed(),
                Some(previous) => completion.token_intervals.push(previous.elapsed()),
            }
        }
    }
    completion
}
