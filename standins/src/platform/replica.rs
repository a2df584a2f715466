//! Stand-in of a replica: a model engine or a plain service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::faults::Delay;
use crate::faults::Switch;
use crate::platform::orders::Orders;
use crate::server;
use crate::server::Body;

/// Events of one stream.
pub const EVENTS_PER_STREAM: u64 = 6;

/// A request as it reached the replica.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// When it came.
    pub received_at: Instant,
    /// Id of the request.
    pub id: String,
    /// Method and path.
    pub request_line: String,
    /// Headers, in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Bytes,
}

/// What a replica is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An engine that prefills.
    Prefill,
    /// An engine that decodes.
    Decode,
    /// A plain service.
    Plain,
}

/// A replica, shared between the server and the test.
#[derive(Debug)]
pub struct Replica {
    /// Id of the instance.
    pub id: String,
    /// What it was at its start.
    pub kind: Kind,
    /// Orders that came in.
    pub orders: Orders,
    /// Requests that ran.
    pub executed: Mutex<Vec<ReceivedRequest>>,
    /// Prompts that were prefilled.
    pub prefill_requests: Mutex<Vec<ReceivedRequest>>,
    /// Requests that were refused as not run.
    pub rejected: Mutex<Vec<ReceivedRequest>>,
    /// Reservations and prefill results that were freed.
    pub released_paths: Mutex<Vec<String>>,
    /// Streams whose connection closed before they ended.
    pub aborted_streams: AtomicU64,
    /// Streams that are open now.
    pub open_streams: AtomicU64,
    next: AtomicU64,
    /// Reservations are refused.
    pub full: Switch,
    /// The next request runs and is answered 500.
    pub fail_next: Switch,
    /// The next request runs and its connection breaks without an answer.
    pub lose_next_response: Switch,
    /// The next request is refused as not run.
    pub reject_next: Switch,
    /// The next answer names another request.
    pub mismatch_next_id: Switch,
    /// The next stream breaks off in the middle of an event.
    pub break_next_stream: Switch,
    /// Pause before each answer and each event.
    pub response_delay: Delay,
}

impl Replica {
    /// Starts a replica on a free port.
    pub async fn start(id: &str, kind: Kind) -> (Arc<Self>, SocketAddr) {
        let replica = Arc::new(Self {
            id: id.to_string(),
            kind,
            orders: Orders::default(),
            executed: Mutex::default(),
            prefill_requests: Mutex::default(),
            rejected: Mutex::default(),
            released_paths: Mutex::default(),
            aborted_streams: AtomicU64::default(),
            open_streams: AtomicU64::default(),
            next: AtomicU64::default(),
            full: Switch::default(),
            fail_next: Switch::default(),
            lose_next_response: Switch::default(),
            reject_next: Switch::default(),
            mismatch_next_id: Switch::default(),
            break_next_stream: Switch::default(),
            response_delay: Delay::default(),
        });
        let served = replica.clone();
        let address = server::serve(move |request| served.clone().handle(request)).await;
        (replica, address)
    }

    /// Its entry in the list.
    pub fn instance_record(
        &self,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) -> serde_json::Value {
        let mut entry = json!({
            "service": service, "address": address.to_string(), "zone": "north", "version": "v1",
            "slots": 64, "state": state, "coldLeftMs": 0, "seq": 1
        });
        if let Some(stage) = self.stage() {
            entry["stage"] = stage.into();
        }
        entry
    }

    /// What an engine does now: what it was ordered last.
    fn stage(&self) -> Option<String> {
        let first = match self.kind {
            Kind::Prefill => "prefill",
            Kind::Decode => "decode",
            Kind::Plain => return None,
        };
        Some(self.orders.stage().unwrap_or_else(|| first.to_string()))
    }

    /// How often the request ran.
    pub fn runs_of(&self, id: &str) -> usize {
        let ran = self.executed.lock().expect("no holder panics");
        ran.iter().filter(|seen| seen.id == id).count()
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let path = request.uri().path().to_string();
        if request.method() == Method::DELETE {
            self.released_paths.lock().expect("no holder panics").push(path);
            return Ok(server::json(StatusCode::OK, &json!({})));
        }
        match path.as_str() {
            "/api/hold-take" => return Ok(self.hold()),
            "/api/report" => return Ok(self.report()),
            "/api/order" => return Ok(self.order(request).await),
            _ => {}
        }
        let seen = see(request).await;
        let expected = seen.headers.get("bamboodoor-expect-instance");
        if expected.is_some_and(|expected| *expected != self.id) {
            return Ok(self.unrun(&seen, StatusCode::MISDIRECTED_REQUEST));
        }
        if self.reject_next.take() {
            return Ok(self.unrun(&seen, StatusCode::SERVICE_UNAVAILABLE));
        }
        self.response_delay.wait().await;
        if seen.headers.get("bamboodoor-stage").is_some_and(|stage| stage == "prefill") {
            return Ok(self.prefill(seen));
        }
        self.run(seen)
    }

    fn report(&self) -> Response<Body> {
        let report = json!({"stage": self.stage(), "busy": false, "seq": self.orders.accepted()});
        server::json(StatusCode::OK, &report)
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let status = match server::read_json(request).await {
            Some(order) => self.orders.take(order),
            None => StatusCode::BAD_REQUEST,
        };
        server::json(status, &json!({}))
    }

    fn hold(&self) -> Response<Body> {
        if self.full.is_on() {
            return server::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let hold = format!("hold-{}", self.next.fetch_add(1, Ordering::SeqCst));
        server::json(StatusCode::OK, &json!({"hold": hold}))
    }

    fn prefill(&self, seen: ReceivedRequest) -> Response<Body> {
        self.prefill_requests.lock().expect("no holder panics").push(seen);
        let handle = format!("handle-{}", self.next.fetch_add(1, Ordering::SeqCst));
        server::json(StatusCode::OK, &json!({"handle": handle, "tokens": 100, "version": 1}))
    }

    fn run(self: &Arc<Self>, seen: ReceivedRequest) -> Result<Response<Body>, std::io::Error> {
        self.executed.lock().expect("no holder panics").push(seen.clone());
        if self.lose_next_response.take() {
            return Err(server::lost());
        }
        let mut response = match (self.kind, self.fail_next.take()) {
            (_, true) => server::json(StatusCode::INTERNAL_SERVER_ERROR, &json!({"error": "x"})),
            (Kind::Plain, false) => {
                server::json(StatusCode::OK, &json!({"echo": seen.request_line}))
            }
            (_, false) => self.stream(&seen),
        };
        let id = if self.mismatch_next_id.take() { "another" } else { &seen.id };
        let head = response.headers_mut();
        head.insert("bamboodoor-request-id", id.parse().expect("is a valid header"));
        let signature = format!("sig.{id}").parse().expect("is a valid header");
        head.insert("bamboodoor-response-signature", signature);
        Ok(response)
    }

    fn unrun(&self, seen: &ReceivedRequest, status: StatusCode) -> Response<Body> {
        self.rejected.lock().expect("no holder panics").push(seen.clone());
        let mut response = server::json(status, &json!({}));
        let head = response.headers_mut();
        head.insert("bamboodoor-not-executed", "1".parse().expect("is a valid header"));
        head.insert("bamboodoor-request-id", seen.id.parse().expect("is a valid header"));
        head.insert("bamboodoor-instance-id", self.id.parse().expect("is a valid header"));
        response
    }

    fn stream(self: &Arc<Self>, seen: &ReceivedRequest) -> Response<Body> {
        let after = seen.headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let breaks = self.break_next_stream.take();
        self.open_streams.fetch_add(1, Ordering::SeqCst);
        let open = OpenStream { replica: self.clone(), next: after + 1, ended: false };
        let events = stream::unfold(open, move |mut open| async move {
            if open.next > EVENTS_PER_STREAM {
                return None;
            }
            open.replica.response_delay.wait().await;
            let id = open.next;
            let part = match (breaks, id) {
                (true, 4) => Err(server::lost()),
                (true, 3) => Ok(Bytes::from(format!("{}id: 4\nda", event(id)))),
                _ => Ok(Bytes::from(event(id))),
            };
            if part.is_err() {
                // What was sent before reaches the reader first.
                tokio::time::sleep(BREAK_DELAY).await;
            }
            open.next += 1;
            open.ended = part.is_err() || open.next > EVENTS_PER_STREAM;
            Some((part, open))
        });
        let mut response = server::stream(events);
        let kind = "text/event-stream".parse().expect("is a valid header");
        response.headers_mut().insert("content-type", kind);
        response
    }
}

/// One event of every stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

struct OpenStream {
    replica: Arc<Replica>,
    next: u64,
    ended: bool,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.replica.open_streams.fetch_sub(1, Ordering::SeqCst);
        if !self.ended {
            self.replica.aborted_streams.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn see(request: Request<Incoming>) -> ReceivedRequest {
    let request_line = format!("{} {}", request.method(), request.uri());
    let named = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    let headers: HashMap<String, String> = request.headers().iter().map(named).collect();
    let id = headers.get("bamboodoor-request-id").cloned().unwrap_or_default();
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    ReceivedRequest { received_at: Instant::now(), id, request_line, headers, body }
}

const BREAK_DELAY: Duration = Duration::from_millis(50);

/// How long a test waits for something to happen.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
