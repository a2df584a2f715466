//! Stand-in for the platform's append-only log: streams of records, numbered by offset.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::faults::Delay;
use crate::faults::Switch;
use crate::server;
use crate::server::Body;

/// Largest number of records in one read response.
const MAX_READ_RECORDS: usize = 1_000;

#[derive(Debug, Clone)]
struct StoredRecord {
    appended_at: Instant,
    record: String,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: Vec<StoredRecord>,
}

/// Stand-in log, shared between its server and the test.
#[derive(Debug, Default)]
pub struct Log {
    streams: Mutex<HashMap<String, Stream>>,
    appended: Notify,
    /// Responds to every request with status 503.
    pub down: Switch,
    /// Delay before each request is processed.
    pub request_delay: Delay,
    /// Stores the record of the next append, but breaks the connection without a response.
    pub lose_next_response: Switch,
    /// Stores the records of all appends, but breaks the connections without a response.
    pub lose_responses: Switch,
}

#[derive(Deserialize)]
struct AppendRequest {
    record: String,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Serialize)]
struct ReadResponse {
    first_offset: u64,
    next_offset: u64,
    records: Vec<ReadRecord>,
}

#[derive(Serialize)]
struct ReadRecord {
    offset: u64,
    age_ms: u64,
    record: String,
}

impl Log {
    /// Starts a log on a free loopback port, and returns it with its address.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let log = Arc::new(Self::default());
        let served = log.clone();
        let address = server::serve(move |request| served.clone().handle(request)).await;
        (log, address)
    }

    /// Appends a record to a stream, as a client would, and returns its offset.
    pub fn append(&self, stream: &str, record: &str) -> u64 {
        let mut streams = self.streams.lock().expect("the mutex is not poisoned");
        let stream = streams.entry(stream.to_string()).or_default();
        stream
            .records
            .push(StoredRecord { appended_at: Instant::now(), record: record.to_string() });
        self.appended.notify_waiters();
        stream.first_offset + stream.records.len() as u64 - 1
    }

    /// Removes the records of a stream before `offset`, as retention does.
    pub fn trim(&self, stream: &str, offset: u64) {
        let mut streams = self.streams.lock().expect("the mutex is not poisoned");
        let stream = streams.entry(stream.to_string()).or_default();
        while stream.first_offset < offset && !stream.records.is_empty() {
            stream.records.remove(0);
            stream.first_offset += 1;
        }
    }

    /// Records of a stream that the log still holds, oldest first.
    pub fn records(&self, stream: &str) -> Vec<String> {
        let streams = self.streams.lock().expect("the mutex is not poisoned");
        let stream = streams.get(stream);
        stream.map_or(Vec::new(), |stream| {
            stream.records.iter().map(|stored| stored.record.clone()).collect()
        })
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        self.request_delay.wait().await;
        if self.down.is_on() {
            return Ok(server::json(StatusCode::SERVICE_UNAVAILABLE, &"down"));
        }
        let path = request.uri().path().to_string();
        let stream = path.trim_start_matches("/streams/").trim_end_matches("/records").to_string();
        if request.method() == Method::POST {
            let Some(append) = server::read_json::<AppendRequest>(request).await else {
                return Ok(server::json(StatusCode::BAD_REQUEST, &"malformed request body"));
            };
            let offset = self.append(&stream, &append.record);
            if self.lose_next_response.take() || self.lose_responses.is_on() {
                return Err(server::broken_connection());
            }
            return Ok(server::json(StatusCode::OK, &AppendResponse { offset }));
        }
        let from = server::query_number(&request, "from");
        let wait = Duration::from_millis(server::query_number(&request, "wait_ms"));
        Ok(server::json(StatusCode::OK, &self.read(&stream, from, wait).await))
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> ReadResponse {
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let read = self.read_now(stream, from);
            let time_left = deadline.saturating_duration_since(Instant::now());
            if !read.records.is_empty() || time_left.is_zero() || self.down.is_on() {
                return read;
            }
            // Looks again at least every 100 ms, to notice also that `down` was switched on.
            let _ = tokio::time::timeout(time_left.min(Duration::from_millis(100)), appended).await;
        }
    }

    fn read_now(&self, stream: &str, from: u64) -> ReadResponse {
        let mut streams = self.streams.lock().expect("the mutex is not poisoned");
        let stream = streams.entry(stream.to_string()).or_default();
        let skip = from.saturating_sub(stream.first_offset) as usize;
        let records = stream.records.iter().enumerate().skip(skip).take(MAX_READ_RECORDS);
        let records = records.map(|(position, stored)| ReadRecord {
            offset: stream.first_offset + position as u64,
            age_ms: stored.appended_at.elapsed().as_millis() as u64,
            record: stored.record.clone(),
        });
        ReadResponse {
            first_offset: stream.first_offset,
            next_offset: stream.first_offset + stream.records.len() as u64,
            records: records.collect(),
        }
    }
}
