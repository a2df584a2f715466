//! Stand-in of the platform's store, with the calls that entries make.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, respond};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const PARTITIONS: usize = 8;

#[derive(Default)]
struct State {
    /// Records of partition 0 of each topic.
    topics: HashMap<String, Vec<Vec<u8>>>,
    /// When each server wrote last.
    beats: HashMap<String, Instant>,
    /// Members of the group, with the time of their last join.
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts the store on an address. Entries of silent servers expire after three heartbeats.
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        let listener = TcpListener::bind(address).expect("the address of the store is free");
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    /// Appends a record of a topic with keys.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        self.append(topic, vec![record]);
    }

    /// Writes the entry of a server, which changes if its value does. Returns true if it changed.
    pub fn beat(&self, id: &str, value: &str) -> bool {
        let known = self.newest("keyed.servers").remove(id).map(|(value, _)| value);
        self.0.0.lock().unwrap().beats.insert(id.to_string(), Instant::now());
        let changed = known.as_deref() != Some(value.as_bytes());
        if changed {
            self.put("keyed.servers", id, value.as_bytes());
        }
        changed
    }

    /// Removes the entry of a server that has left.
    pub fn remove(&self, id: &str) {
        self.0.0.lock().unwrap().beats.remove(id);
        self.put("keyed.servers", id, b"");
    }

    fn expire(&self) {
        let silent = |at: &Instant| at.elapsed() > 3 * HEARTBEAT;
        let state = self.0.0.lock().unwrap();
        let ids: Vec<String> =
            state.beats.iter().filter(|(_, at)| silent(at)).map(|(id, _)| id.clone()).collect();
        drop(state);
        ids.iter().for_each(|id| self.remove(id));
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut state = self.0.0.lock().unwrap();
        let log = state.topics.entry(topic.to_string()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        self.0.1.notify_all();
        (offset, end)
    }

    /// Newest value of each key that has one, with its offset.
    fn newest(&self, topic: &str) -> BTreeMap<String, (Vec<u8>, usize)> {
        let state = self.0.0.lock().unwrap();
        let mut newest = BTreeMap::new();
        for (offset, record) in state.topics.get(topic).into_iter().flatten().enumerate() {
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).to_string();
            match &record[key_end..] {
                [] => newest.remove(&key),
                value => newest.insert(key, (value.to_vec(), offset)),
            };
        }
        newest
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut input) {
            thread::sleep(Duration::from_millis(4));
            let body = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if respond(&mut output, 200, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("");
        match request.path() {
            "/api/log-append" => {
                let mut records = Vec::new();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let (offset, end) = self.append(topic, records);
                format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes()
            }
            "/api/log-read" => self.read(request, topic),
            "/api/log-newest" => self.newest_page(topic),
            "/api/log-join" => self.join(&request.body),
            _ => b"{}".to_vec(),
        }
    }

    fn read(&self, request: &Message, topic: &str) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.0.0.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            state = self.0.1.wait_timeout(state, until - now).unwrap().0;
        }
        let log = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for record in log.iter().skip(from) {
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        body
    }

    fn newest_page(&self, topic: &str) -> Vec<u8> {
        let newest = self.newest(topic);
        let end = self.0.0.lock().unwrap().topics.get(topic).map_or(0, Vec::len);
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}").into_bytes()
    }

    /// Answers a join: the partitions of all topics are dealt to the members in turn.
    fn join(&self, body: &[u8]) -> Vec<u8> {
        let body = String::from_utf8_lossy(body);
        let member = body.split("\"member\":\"").nth(1).and_then(|it| it.split('"').next());
        let member = member.unwrap_or("").to_string();
        let topics = body.split("\"topics\":[").nth(1).and_then(|it| it.split(']').next());
        let topics: Vec<&str> = topics.unwrap_or("").split(',').collect();
        let mut state = self.0.0.lock().unwrap();
        if state.members.insert(member.clone(), Instant::now()).is_none() {
            state.generation += 1;
        }
        let place = state.members.keys().position(|it| *it == member).unwrap_or(0);
        let members = state.members.len();
        let all = topics.iter().flat_map(|topic| (0..PARTITIONS).map(move |part| (topic, part)));
        let own = all.enumerate().filter(|(index, _)| index % members == place);
        let parts: Vec<String> =
            own.map(|(_, (topic, part))| format!("[{topic},{part},0]")).collect();
        let (generation, parts) = (state.generation, parts.join(","));
        format!("{{\"generation\":{generation},\"ttlMs\":4000,\"parts\":[{parts}]}}").into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
