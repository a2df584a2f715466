//! Stand-in of the platform's store: keyed topics of one partition.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::Notify;

use crate::faults::Delay;
use crate::faults::Switch;
use crate::platform::groups::Group;
use crate::platform::groups::Join;
use crate::server;
use crate::server::Body;

/// Topic of the operator.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic of the replicas.
pub const REPLICAS_TOPIC: &str = "keyed.servers";

#[derive(Debug, Clone)]
struct Kept {
    key: String,
    value: Option<Bytes>,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Kept>,
    newest: BTreeMap<String, (u64, Bytes)>,
}

/// The store, shared between the server and the test.
#[derive(Debug, Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    groups: Mutex<HashMap<String, Group>>,
    appended: Notify,
    /// Every call is answered 503.
    pub down: Switch,
    /// Every exchange takes so long.
    pub request_delay: Delay,
}

impl Store {
    /// Starts a store on a free port.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let served = store.clone();
        let address = server::serve(move |request| served.clone().handle(request)).await;
        (store, address)
    }

    /// Writes a record; without a value the key is removed.
    pub fn put(&self, topic: &str, key: &str, value: Option<Bytes>) {
        let mut topics = self.topics.lock().expect("no holder panics");
        let topic = topics.entry(topic.to_string()).or_default();
        let offset = topic.first + topic.records.len() as u64;
        match &value {
            Some(value) => topic.newest.insert(key.to_string(), (offset, value.clone())),
            None => topic.newest.remove(key),
        };
        topic.records.push(Kept { key: key.to_string(), value });
        self.appended.notify_waiters();
    }

    /// Writes a JSON record.
    pub fn put_json(&self, topic: &str, key: &str, value: &serde_json::Value) {
        self.put(topic, key, Some(value.to_string().into()));
    }

    /// Forgets the history of a topic; the newest record of each key stays.
    pub fn drop_history(&self, topic: &str) {
        let mut topics = self.topics.lock().expect("no holder panics");
        let topic = topics.entry(topic.to_string()).or_default();
        topic.first += topic.records.len() as u64;
        topic.records.clear();
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        self.request_delay.wait().await;
        if self.down.is_on() {
            return Ok(server::json(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
        }
        if request.uri().path() == "/api/log-join" {
            return Ok(self.join(request).await);
        }
        let topic = query_text(&request, "topic");
        match request.uri().path() {
            "/api/log-newest" => Ok(self.newest(&topic, &query_text(&request, "after"))),
            "/api/log-read" => {
                let from = server::query_number(&request, "from");
                let wait = Duration::from_millis(server::query_number(&request, "waitMs"));
                Ok(self.read(&topic, from, wait).await)
            }
            _ => Ok(server::json(StatusCode::NOT_FOUND, &json!({}))),
        }
    }

    async fn join(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(join) = server::read_json::<Join>(request).await else {
            return server::json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(join.group.clone()).or_default();
        let (generation, parts) = group.join(Instant::now(), &join, PARTS);
        let parts: Vec<_> = parts.iter().map(|(topic, part)| json!([topic, part, 0])).collect();
        server::json(StatusCode::OK, &json!({"generation": generation, "parts": parts}))
    }

    fn newest(&self, topic: &str, after: &str) -> Response<Body> {
        let mut topics = self.topics.lock().expect("no holder panics");
        let topic = topics.entry(topic.to_string()).or_default();
        let end = topic.first + topic.records.len() as u64;
        let later = topic.newest.iter().filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let later: Vec<_> = later.collect();
        let page: Vec<_> = later
            .iter()
            .take(PAGE)
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let body = json!({"items": page, "hasMore": later.len() > PAGE, "end": end});
        server::json(StatusCode::OK, &body)
    }

    async fn read(&self, topic: &str, from: u64, wait: Duration) -> Response<Body> {
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let read = self.read_now(topic, from);
            let left = deadline.saturating_duration_since(Instant::now());
            match read {
                Err(first) => return server::json(StatusCode::GONE, &json!({"first": first})),
                Ok(read) if read.len() > HEAD_BYTES || left.is_zero() || self.down.is_on() => {
                    return server::stream(stream::iter([Ok(read)]));
                }
                Ok(_) => {}
            }
            let _ = tokio::time::timeout(left.min(LOOK_AGAIN), appended).await;
        }
    }

    /// The raw answer, or the first offset if `from` is gone.
    fn read_now(&self, topic: &str, from: u64) -> Result<Bytes, u64> {
        let mut topics = self.topics.lock().expect("no holder panics");
        let topic = topics.entry(topic.to_string()).or_default();
        if from < topic.first {
            return Err(topic.first);
        }
        let mut answer = BytesMut::new();
        answer.put_u64(topic.first + topic.records.len() as u64);
        answer.put_u64(topic.first);
        for record in topic.records.iter().skip((from - topic.first) as usize) {
            let value = record.value.clone().unwrap_or_default();
            answer.put_u32((1 + record.key.len() + value.len()) as u32);
            answer.put_u8(record.key.len() as u8);
            answer.put_slice(record.key.as_bytes());
            answer.put_slice(&value);
        }
        Ok(answer.freeze())
    }
}

const HEAD_BYTES: usize = 16;
/// Partitions of each topic.
const PARTS: u64 = 8;
/// Small, so that tests meet more than one page.
const PAGE: usize = 4;
const LOOK_AGAIN: Duration = Duration::from_millis(50);

fn query_text(request: &Request<Incoming>, name: &str) -> String {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    found.map(|(_, value)| value.to_string()).unwrap_or_default()
}
