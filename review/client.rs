//! Clients: they send requests to entries that are ready, and retry once after a promise.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Random;
use crate::record::Record;

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// Prompt tokens and maximum number of output tokens of a model request.
    pub tokens: Option<(u32, u32)>,
    pub body_bytes: usize,
    /// True if it may run more than once.
    pub idempotent: bool,
}

/// What a client got for one attempt.
#[derive(Debug, Clone)]
pub struct Got {
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
    /// True if the answer had its whole body.
    pub complete: bool,
    pub retry_after: Option<Duration>,
}

pub struct Clients {
    pub host: &'static str,
    pub fronts: Vec<SocketAddr>,
    pub record: Arc<Record>,
    pub random: Arc<Random>,
    pub next: AtomicUsize,
}

impl Clients {
    /// Sends a request as one client does: once more after a refusal, if the time allows it.
    pub fn ask(&self, kind: &Kind) -> Got {
        let until = Instant::now() + kind.deadline;
        let first = self.attempt(kind, until);
        let promised = matches!(first.status, 408 | 421 | 429 | 503);
        let left = until.saturating_duration_since(Instant::now());
        if !promised || left.is_zero() {
            return first;
        }
        let wait = first.retry_after.unwrap_or_default().min(left / 3);
        std::thread::sleep(wait);
        self.attempt(kind, until)
    }

    /// Sends one attempt with an id of its own on a new connection.
    pub fn attempt(&self, kind: &Kind, until: Instant) -> Got {
        let id = self.random.id();
        let front = self.fronts[self.next.fetch_add(1, Ordering::SeqCst) % self.fronts.len()];
        let left = until.saturating_duration_since(Instant::now());
        let class = if kind.idempotent { "may run again" } else { "may run once" };
        self.record.add("sent", &id, format!("{} {} to {front}, {class}", kind.method, kind.path));
        let got = self.exchange(kind, &id, front, left).unwrap_or(Got {
            status: 0,
            complete: false,
            retry_after: None,
        });
        let whole = if got.complete { "whole" } else { "cut" };
        self.record.add("answer", &id, format!("{} {whole}", got.status));
        got
    }

    /// One client that keeps its connection to an entry and sends one request after the other on
    /// it, until `end` of the record. The record says of each whether it is the first on its
    /// connection.
    pub fn keep_asking(self: &Arc<Self>, kind: Kind, front: SocketAddr, end: Duration) {
        let clients = self.clone();
        std::thread::spawn(move || {
            while clients.record.now() < end {
                let Ok(mut stream) = http::connect(front, kind.deadline) else {
                    std::thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = http::Reader::new(copy);
                for number in 0.. {
                    std::thread::sleep(Duration::from_secs_f64(0.3 * clients.random.unit()));
                    if clients.record.now() >= end {
                        return;
                    }
                    let id = clients.random.id();
                    let connection = if number == 0 { "a new" } else { "a kept" };
                    clients.record.add(
                        "sent",
                        &id,
                        format!("to {front} on {connection} connection"),
                    );
                    let text = clients.head(&kind, &id, kind.deadline);
                    let got = Self::exchange_on(&mut stream, &mut reader, &text, &kind);
                    let (status, complete) =
                        got.as_ref().map_or((0, false), |it| (it.status, it.complete));
                    let whole = if complete { "whole" } else { "cut" };
                    clients.record.add("answer", &id, format!("{status} {whole}"));
                    if !complete {
                        break;
                    }
                }
            }
        });
    }

    /// Head of a request.
    fn head(&self, kind: &Kind, id: &str, left: Duration) -> String {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nBamboodoor-Request-Id: {id}\r\nBamboodoor-Deadline-Ms: {}\r\n",
            kind.method,
            kind.path,
            self.host,
            left.as_millis()
        );
        if let Some((prompt, most)) = kind.tokens {
            text.push_str(&format!(
                "Bamboodoor-Model: m\r\nBamboodoor-Token-Count: {prompt},{most}\r\n\
                 Bamboodoor-Prompt-Prefix: 5c1e07a2:200,{id}:{}\r\n",
                prompt.saturating_sub(200)
            ));
        }
        if kind.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", kind.body_bytes));
        }
        text.push_str("\r\n");
        text
    }

    fn exchange(&self, kind: &Kind, id: &str, front: SocketAddr, left: Duration) -> Option<Got> {
        let text = self.head(kind, id, left);
        let mut stream = http::connect(front, left.max(Duration::from_millis(1))).ok()?;
        let mut reader = http::Reader::new(stream.try_clone().ok()?);
        Self::exchange_on(&mut stream, &mut reader, &text, kind)
    }

    /// Sends a request on a connection and reads the answer.
    fn exchange_on(
        stream: &mut TcpStream,
        reader: &mut http::Reader,
        text: &str,
        kind: &Kind,
    ) -> Option<Got> {
        stream.write_all(text.as_bytes()).ok()?;
        if kind.method == "POST" {
            stream.write_all(&vec![b'x'; kind.body_bytes]).ok()?;
        }
        let head = reader.head().ok()??;
        let body = reader.body(&head).ok().flatten();
        let retry_after = head.header("retry-after").and_then(|it| it.parse().ok());
        Some(Got {
            status: head.status(),
            complete: body.is_some(),
            retry_after: retry_after.map(Duration::from_secs_f64),
        })
    }

    /// Sends requests at a rate, at random moments, until `end` of the record.
    pub fn load(self: &Arc<Self>, kind: Kind, per_s: f64, end: Duration) {
        let clients = self.clone();
        std::thread::spawn(move || {
            while clients.record.now() < end {
                let pause = -(1.0 - clients.random.unit()).ln() / per_s;
                std::thread::sleep(Duration::from_secs_f64(pause));
                let (clients, kind) = (clients.clone(), kind.clone());
                let thread = std::thread::Builder::new().stack_size(256 << 10);
                let _ = thread.spawn(move || clients.ask(&kind));
            }
        });
    }
}
