//! Stand-in for the platform's store: topics of keyed records.
//!
//! Each topic has one log of records, whose history can be dropped, and the newest value of each
//! key. The store can come back from an older copy of itself, in a new era.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use percent_encoding::percent_decode_str;
use serde_json::json;
use tokio::sync::Notify;

use crate::faults::Delay;
use crate::faults::Switch;
use crate::platform::groups::Group;
use crate::platform::groups::JoinRequest;
use crate::server;
use crate::server::Body;

/// Topic in which operators publish the configuration.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic of the instance list, with one record for each replica.
pub const REPLICAS_TOPIC: &str = "keyed.servers";

#[derive(Debug, Clone)]
struct Record {
    key: String,
    value: Option<Bytes>,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    /// Offset of the first record in `records`.
    first_offset: u64,
    records: Vec<Record>,
    /// Offset and value of the newest record of each key, without removed keys.
    newest_values: BTreeMap<String, (u64, Bytes)>,
}

impl Topic {
    /// Appends a record to a topic with keys; without a value it removes the key.
    fn append_keyed(&mut self, record: Record) {
        let offset = self.first_offset + self.records.len() as u64;
        match &record.value {
            Some(value) => {
                self.newest_values.insert(record.key.clone(), (offset, value.clone()));
            }
            None => {
                self.newest_values.remove(&record.key);
            }
        }
        self.records.push(record);
    }
}

/// Copy of all that a store holds, to which it can go back. The default is that of an empty
/// store.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
}

/// Stand-in store, shared between its server and the test.
#[derive(Debug)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    groups: Mutex<HashMap<String, Group>>,
    /// Number of the era, which rises by one with each return from an older copy.
    era: AtomicU64,
    /// Text of the era header in place of the number; `None` for the number.
    era_text: Mutex<Option<String>>,
    appended: Notify,
    /// Responds to every request with status 503.
    pub down: Switch,
    /// Delay before each request is processed.
    pub request_delay: Delay,
    /// Topic whose requests get no response; `None` for none.
    silent_topic: Mutex<Option<String>>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            topics: Mutex::default(),
            groups: Mutex::default(),
            era: AtomicU64::new(FIRST_ERA),
            era_text: Mutex::default(),
            appended: Notify::default(),
            down: Switch::default(),
            request_delay: Delay::default(),
            silent_topic: Mutex::default(),
        }
    }
}

impl Store {
    /// Starts a store on a free loopback port, and returns it with its address.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let served = store.clone();
        let address = server::serve(move |request| served.clone().handle(request)).await;
        (store, address)
    }

    /// Appends a record to a topic; without a value it removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<Bytes>) {
        let mut topics = self.topics.lock().expect("the mutex is not poisoned");
        let topic = topics.entry(topic.to_string()).or_default();
        topic.append_keyed(Record { key: key.to_string(), value });
        self.appended.notify_waiters();
    }

    /// Appends a record with a JSON value to a topic.
    pub fn put_json(&self, topic: &str, key: &str, value: &serde_json::Value) {
        self.put(topic, key, Some(value.to_string().into()));
    }

    /// Drops the log of a topic, as retention does; the newest value of each key stays.
    /// Reads from an earlier offset then fail with status 410.
    pub fn drop_history(&self, topic: &str) {
        let mut topics = self.topics.lock().expect("the mutex is not poisoned");
        let topic = topics.entry(topic.to_string()).or_default();
        topic.first_offset += topic.records.len() as u64;
        topic.records.clear();
    }

    /// Takes a copy of all that the store holds.
    pub fn copy(&self) -> StoreCopy {
        let topics = self.topics.lock().expect("the mutex is not poisoned").clone();
        let groups = self.groups.lock().expect("the mutex is not poisoned").clone();
        StoreCopy { topics, groups }
    }

    /// Comes back from a copy, in the next era: what was written since is lost, and its
    /// offsets and generations are given out again. Breaks the connections of requests that
    /// are being processed.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut topics = self.topics.lock().expect("the mutex is not poisoned");
        let mut groups = self.groups.lock().expect("the mutex is not poisoned");
        self.era.fetch_add(1, Ordering::SeqCst);
        *topics = copy.topics.clone();
        *groups = copy.groups.clone();
        self.appended.notify_waiters();
    }

    /// Number of the present era.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::SeqCst)
    }

    /// Sends this text as the era in all responses from now on; `None` for the number.
    pub fn set_era_text(&self, text: Option<&str>) {
        *self.era_text.lock().expect("the mutex is not poisoned") = text.map(str::to_string);
    }

    /// Sends no response to requests for a topic from now on, also to those that wait for a
    /// record; `None` ends that.
    pub fn set_silent_topic(&self, topic: Option<&str>) {
        *self.silent_topic.lock().expect("the mutex is not poisoned") = topic.map(str::to_string);
    }

    fn is_silent(&self, topic: &str) -> bool {
        self.silent_topic.lock().expect("the mutex is not poisoned").as_deref() == Some(topic)
    }

    /// Processes a request; all responses name the era. A return from a copy meanwhile breaks
    /// the connection.
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let era = self.era();
        let topic = query_text(&request, "topic");
        let mut response = self.clone().respond(request).await?;
        while self.is_silent(&topic) {
            tokio::time::sleep(READ_POLL_INTERVAL).await;
        }
        if era != self.era() {
            return Err(std::io::Error::other("the store came back from a copy meanwhile"));
        }
        let era_text = self.era_text.lock().expect("the mutex is not poisoned").clone();
        let era_text = era_text.unwrap_or_else(|| era.to_string());
        let value = HeaderValue::from_str(&era_text).expect("the text is valid in a header");
        response.headers_mut().insert(STORE_ERA, value);
        Ok(response)
    }

    async fn respond(
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
        if request.uri().path() == "/api/log-append" {
            return Ok(self.append(request).await);
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

    /// Appends the records of a request to a topic, unless operators or replicas write it.
    async fn append(&self, request: Request<Incoming>) -> Response<Body> {
        let topic = query_text(&request, "topic");
        let Ok(body) = request.into_body().collect().await else {
            return server::json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let mut body = body.to_bytes();
        let mut records = Vec::new();
        while body.len() >= RECORD_SIZE_BYTES {
            let length = body.get_u32() as usize;
            if body.len() < length {
                return server::json(StatusCode::BAD_REQUEST, &json!({}));
            }
            records.push(body.split_to(length));
        }
        if topic == OPERATOR_TOPIC || topic == REPLICAS_TOPIC {
            return server::json(StatusCode::FORBIDDEN, &json!({}));
        }
        let is_keyed = topic.starts_with(KEYED_PREFIX);
        let mut topics = self.topics.lock().expect("the mutex is not poisoned");
        let topic = topics.entry(topic).or_default();
        let offset = topic.first_offset + topic.records.len() as u64;
        for content in records {
            if is_keyed {
                topic.append_keyed(keyed_record(content));
            } else {
                topic.records.push(Record { key: String::new(), value: Some(content) });
            }
        }
        let end = topic.first_offset + topic.records.len() as u64;
        self.appended.notify_waiters();
        server::json(StatusCode::OK, &json!({"offset": offset, "end": end}))
    }

    async fn join(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(join) = server::read_json::<JoinRequest>(request).await else {
            return server::json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let mut groups = self.groups.lock().expect("the mutex is not poisoned");
        let group = groups.entry(join.group.clone()).or_default();
        let (generation, partitions) = group.join(Instant::now(), &join, PARTITIONS_PER_TOPIC);
        let partitions: Vec<_> =
            partitions.iter().map(|(topic, number)| json!([topic, number, 0])).collect();
        server::json(StatusCode::OK, &json!({"generation": generation, "parts": partitions}))
    }

    fn newest(&self, topic: &str, after: &str) -> Response<Body> {
        let mut topics = self.topics.lock().expect("the mutex is not poisoned");
        let topic = topics.entry(topic.to_string()).or_default();
        let end = topic.first_offset + topic.records.len() as u64;
        let remaining =
            topic.newest_values.iter().filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let remaining: Vec<_> = remaining.collect();
        let page: Vec<_> = remaining
            .iter()
            .take(PAGE_SIZE)
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let body = json!({"items": page, "hasMore": remaining.len() > PAGE_SIZE, "end": end});
        server::json(StatusCode::OK, &body)
    }

    async fn read(&self, topic: &str, from: u64, wait: Duration) -> Response<Body> {
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let read = self.read_now(topic, from);
            let time_left = deadline.saturating_duration_since(Instant::now());
            match read {
                Err(first) => return server::json(StatusCode::GONE, &json!({"first": first})),
                Ok(read)
                    if read.len() > READ_HEADER_BYTES
                        || time_left.is_zero()
                        || self.down.is_on() =>
                {
                    return server::stream(stream::iter([Ok(read)]));
                }
                Ok(_) => {}
            }
            let _ = tokio::time::timeout(time_left.min(READ_POLL_INTERVAL), appended).await;
        }
    }

    /// Returns the records from an offset in the binary format of the store: the end and the
    /// first offset as big-endian 64-bit numbers, then for each record a 32-bit length and, in a
    /// topic with keys, a key length byte and the key, then the value.
    ///
    /// # Errors
    ///
    /// Returns the first offset of the log if it no longer holds `from`, or does not reach it.
    fn read_now(&self, topic: &str, from: u64) -> Result<Bytes, u64> {
        let keyed = topic.starts_with(KEYED_PREFIX);
        let mut topics = self.topics.lock().expect("the mutex is not poisoned");
        let topic = topics.entry(topic.to_string()).or_default();
        let end_offset = topic.first_offset + topic.records.len() as u64;
        if from < topic.first_offset || from > end_offset {
            return Err(topic.first_offset);
        }
        let mut response = BytesMut::new();
        response.put_u64(end_offset);
        response.put_u64(topic.first_offset);
        for record in topic.records.iter().skip((from - topic.first_offset) as usize) {
            let value = record.value.clone().unwrap_or_default();
            if !keyed {
                response.put_u32(value.len() as u32);
                response.put_slice(&value);
                continue;
            }
            response.put_u32((1 + record.key.len() + value.len()) as u32);
            response.put_u8(record.key.len() as u8);
            response.put_slice(record.key.as_bytes());
            response.put_slice(&value);
        }
        Ok(response.freeze())
    }
}

/// Header of all responses that names the era.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Era of a store that never came back from a copy.
const FIRST_ERA: u64 = 1;
/// Start of the names of topics whose records have keys.
const KEYED_PREFIX: &str = "keyed.";
/// Size of the length before each record of an append.
const RECORD_SIZE_BYTES: usize = 4;
/// Size of a read response without records.
const READ_HEADER_BYTES: usize = 16;
/// Number of partitions of each topic that a group assigns to its members.
const PARTITIONS_PER_TOPIC: u64 = 8;
/// Largest number of newest values in one response. Small, so that tests read more than one page.
const PAGE_SIZE: usize = 4;
/// Longest time after which a waiting read looks at the log again. It then also notices that
/// [`Store::down`] was switched on.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Splits the content of a record in a topic with keys: the length of the key in one byte, the
/// key, and the value; without a value the record removes the key.
fn keyed_record(mut content: Bytes) -> Record {
    let key_bytes = if content.is_empty() { 0 } else { usize::from(content.get_u8()) };
    let key = content.split_to(key_bytes.min(content.len()));
    let key = String::from_utf8_lossy(&key).into_owned();
    Record { key, value: (!content.is_empty()).then_some(content) }
}

/// Decoded value of a parameter of the query; empty without one.
fn query_text(request: &Request<Incoming>, name: &str) -> String {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    let value = found.map(|(_, value)| value.replace('+', " ")).unwrap_or_default();
    percent_decode_str(&value).decode_utf8_lossy().into_owned()
}
