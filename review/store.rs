//! Stand-in of the platform's store: topics with and without keys, and groups.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::json_number;
use crate::http::json_text;

/// Partitions of each topic, as in the settings.
const PARTS: u64 = 8;
/// Largest page of the newest records: `at most 500 or 1 MB`.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Newest value of each key with its offset.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// End of the membership, and the generation that the member named last.
    members: BTreeMap<String, (Instant, u64)>,
    owners: HashMap<(String, u64), String>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let served = store.clone();
        let address = http::listen(ip, Arc::default(), move |stream| served.serve(stream));
        (store, address)
    }

    /// Writes a record with a key, or removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or("").as_bytes());
        self.append(topic, vec![record]);
    }

    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name.to_string()).or_default();
        let first = topic.records.len() as u64;
        for record in records {
            let offset = topic.records.len() as u64;
            if name.starts_with("keyed.") && !record.is_empty() {
                let end = (1 + record[0] as usize).min(record.len());
                let key = String::from_utf8_lossy(&record[1..end]).into_owned();
                if record.len() > end {
                    topic.newest.insert(key, (offset, record[end..].to_vec()));
                } else {
                    topic.newest.remove(&key);
                }
            }
            topic.records.push(record);
        }
        self.appended.notify_all();
        (first, topic.records.len() as u64)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut reader = http::Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            // A call takes some milliseconds, as the pages say.
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json".to_string())];
            if output.write_all(&http::response(status, &headers, &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or("");
        let first_part = request.query("part").unwrap_or("0") == "0";
        match (request.method(), request.path()) {
            ("POST", "/api/log-append") if first_part => {
                let (offset, end) = self.append(topic, split_records(&request.body));
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            ("GET", "/api/log-read") if first_part => (200, self.read(topic, request)),
            ("GET", "/api/log-newest") if first_part => {
                let after = request.query("after").map(percent_decoded).unwrap_or_default();
                (200, self.newest(topic, &after))
            }
            ("POST", "/api/log-join") => (200, self.join(&String::from_utf8_lossy(&request.body))),
            _ => (200, b"{}".to_vec()),
        }
    }

    fn read(&self, name: &str, request: &Message) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (from, until) =
            (number("from"), Instant::now() + Duration::from_millis(number("waitMs")));
        let mut state = self.state.lock().unwrap();
        loop {
            let topic = state.topics.entry(name.to_string()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.records.len() as u64 > from || left.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in topic.records.iter().skip(from as usize) {
                    if body.len() > 1 << 20 {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
    }

    /// A page of the newest record of each key: at most 500 of them or 1 MB, after the key `after`.
    fn newest(&self, name: &str, after: &str) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name.to_string()).or_default();
        let mut rest = topic.newest.iter().filter(|(key, _)| key.as_str() > after).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, (offset, value))) = rest.next_if(|(_, (_, value))| {
            items.len() < MAX_PAGE_ITEMS
                && (items.is_empty() || bytes + value.len() <= MAX_PAGE_BYTES)
        }) {
            bytes += value.len();
            let value = base64(value);
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (more, end, items) = (rest.peek().is_some(), topic.records.len(), items.join(","));
        format!("{{\"items\":[{items}],\"hasMore\":{more},\"end\":{end}}}").into_bytes()
    }

    /// Joins a group. A partition moves once its former owner has left or has named the present
    /// generation.
    fn join(&self, body: &str) -> Vec<u8> {
        let member = json_text(body, "member").unwrap_or_default();
        let known = json_number(body, "generation").unwrap_or(0.0) as u64;
        let ttl = Duration::from_millis(json_number(body, "ttlMs").unwrap_or(4000.0) as u64);
        let topics = body.split_once("\"topics\":[").map_or("", |(_, rest)| rest);
        let topics = topics.split(']').next().unwrap_or("");
        let topics: Vec<&str> = topics.split(',').map(|t| t.trim().trim_matches('"')).collect();
        let mut state = self.state.lock().unwrap();
        let name = json_text(body, "group").unwrap_or_default();
        let group = state.groups.entry(name).or_default();
        let now = Instant::now();
        let before = group.members.len();
        group.members.retain(|_, (until, _)| *until > now);
        if before != group.members.len() || !group.members.contains_key(&member) {
            group.generation += 1;
        }
        group.members.insert(member.clone(), (now + ttl, known));
        let names: Vec<String> = group.members.keys().cloned().collect();
        let mut parts = Vec::new();
        for (topic_index, topic) in topics.iter().enumerate() {
            for part in 0..PARTS {
                let index = topic_index * PARTS as usize + part as usize;
                let partition = (topic.to_string(), part);
                let released = match group.owners.get(&partition) {
                    Some(owner) if *owner != member => {
                        group.members.get(owner).is_none_or(|(_, known)| *known >= group.generation)
                    }
                    _ => true,
                };
                if names[index % names.len()] == member && released {
                    group.owners.insert(partition, member.clone());
                    parts.push(format!("[\"{topic}\",{part},0]"));
                }
            }
        }
        let (generation, ttl) = (group.generation, ttl.as_millis());
        let parts = parts.join(",");
        format!("{{\"generation\":{generation},\"ttlMs\":{ttl},\"parts\":[{parts}]}}").into_bytes()
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let end = (4 + length).min(body.len());
        records.push(body[4..end].to_vec());
        body = &body[end..];
    }
    records
}

/// Text of a part of a query.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, others)) = rest.split_first() {
        let digits = others.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        let byte = digits.and_then(|it| u8::from_str_radix(it, 16).ok());
        match byte.filter(|_| first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            None => {
                bytes.push(if first == b'+' { b' ' } else { first });
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number =
            group.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
