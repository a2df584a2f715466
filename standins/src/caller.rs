//! A small caller of an entry.

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

/// A caller of one entry.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A streamed answer as it came in.
#[derive(Debug, Default)]
pub struct StreamedCompletion {
    /// The text.
    pub text: String,
    /// True if the end of the stream came.
    pub done: bool,
    /// Until the first token.
    pub time_to_first_token: Duration,
    /// Between the tokens.
    pub token_intervals: Vec<Duration>,
}

impl Caller {
    /// A caller of the entry at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: HyperClient::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a call and returns status and body.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> (u16, String) {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("x-client-account", "associados");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(Bytes::from(body.to_string()))).expect("is a request");
        let Ok(response) = self.http.request(request).await else { return (0, String::new()) };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map(|body| body.to_bytes());
        (status, String::from_utf8_lossy(&body.unwrap_or_default()).into_owned())
    }

    /// Asks for a streamed completion and reads it to its end.
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
            .expect("is a request");
        let started = Instant::now();
        match self.http.request(request).await {
            Ok(response) => read_events(response, started).await,
            Err(_) => StreamedCompletion::default(),
        }
    }
}

async fn read_events(response: Response<Incoming>, started: Instant) -> StreamedCompletion {
    let mut streamed = StreamedCompletion::default();
    let mut last = None;
    let mut pending = String::new();
    let mut body = response.into_body();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        pending.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, rest)) = pending.split_once("\n\n") {
            let event = event.strip_prefix("data: ").unwrap_or_default().to_string();
            pending = rest.to_string();
            if event == "[DONE]" {
                streamed.done = true;
                continue;
            }
            let json: serde_json::Value = serde_json::from_str(&event).unwrap_or_default();
            let text = json["choices"][0]["text"].as_str().unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            streamed.text.push_str(text);
            match last.replace(Instant::now()) {
                None => streamed.time_to_first_token = started.elapsed(),
                Some(before) => streamed.token_intervals.push(before.elapsed()),
            }
        }
    }
    streamed
}
