//! Stand-in for a replica: a model engine that prefills or decodes, or a plain service.
//!
//! It records the requests and orders that it receives, and tests switch its faults on while it
//! runs.

mod events;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Incoming;
use serde_json::json;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::faults::Delay;
use crate::faults::Pause;
use crate::faults::Switch;
use crate::platform::garbage::Garbling;
use crate::platform::orders::Orders;
use crate::platform::replacement_faults::LATE_REJECTION_TIME;
use crate::platform::replacement_faults::ReplacementFault;
use crate::platform::replacement_faults::ReplacementFaults;
use crate::server;
use crate::server::Body;
use crate::server::Stop;

/// End of the path of requests that crash the replica that runs them.
pub const DEADLY_PATH: &str = "/deadly";
/// Number of events in each stream of a decode engine whose request names no other shape.
pub const EVENTS_PER_STREAM: u64 = 6;

/// Request as it reached the replica.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Time at which the whole request had arrived.
    pub received_at: Instant,
    /// Value of the `bamboodoor-request-id` header, empty without one.
    pub id: String,
    /// Request line without the HTTP version, such as `GET /lookup/1`.
    pub line: String,
    /// Header values by header name in lower case; of a repeated header the last one.
    pub headers: HashMap<String, String>,
    /// Whole body, empty if it could not be read.
    pub body: Bytes,
}

/// Kind of replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engine that starts in the prefill stage.
    Prefill,
    /// Model engine that starts in the decode stage.
    Decode,
    /// Plain service.
    Plain,
}

/// Stand-in replica, shared between its server and the test.
#[derive(Debug)]
pub struct Replica {
    /// Id of the instance, the key of its record in the store.
    pub id: String,
    /// Kind at the start; role orders change the stage of an engine, but not this.
    pub kind: Kind,
    /// Version of its software in its record.
    pub version: Mutex<String>,
    /// Role orders that it received.
    pub orders: Orders,
    /// Requests that it executed, in the order of execution, without prefills.
    pub executed_requests: Mutex<Vec<ReceivedRequest>>,
    /// Requests that it prefilled, in the order of execution.
    pub prefill_requests: Mutex<Vec<ReceivedRequest>>,
    /// Requests that it rejected with the `bamboodoor-not-executed` header, in order of arrival.
    pub rejected_requests: Mutex<Vec<ReceivedRequest>>,
    /// Paths of the `DELETE` requests that released reservations and prefill results.
    pub released_paths: Mutex<Vec<String>>,
    /// Number of streams whose connection the entry closed before their end.
    pub streams_closed_early: AtomicU64,
    /// Number of streams that are open now.
    pub open_streams: AtomicU64,
    /// Ids of the requests whose streams have ended, whole or not, with the time.
    pub stream_ends: Mutex<Vec<(String, Instant)>>,
    /// Number in the next name of a reservation or prefill result.
    next_number: AtomicU64,
    /// Gives reservations and prefill results names that a path cannot contain as they are.
    pub reserved_characters: Switch,
    /// Rejects all reservations with status 503.
    pub full: Switch,
    /// Rejects the requests beyond this many at once as not executed; 0 means no limit.
    pub capacity: AtomicU64,
    /// Number of requests that are executed now.
    executing: AtomicU64,
    /// Leaves the request id out of its rejections.
    pub anonymous_rejections: Switch,
    /// Executes the next request, but responds with status 500.
    pub fail_next: Switch,
    /// Executes the next request, but responds with a complete body that is no stream.
    pub complete_next: Switch,
    /// Executes the next request, but breaks its connection without a response.
    pub lose_next_response: Switch,
    /// Rejects the next request or prefill with status 503 as not executed.
    pub reject_next: Switch,
    /// Rejects the next request as not executed, after the delay of a response.
    pub reject_next_late: Switch,
    /// Breaks the connections on which a report is asked, as a replica does that has too many.
    pub break_reports: Switch,
    /// Names another request id in the headers of the next response to an executed request.
    pub mismatch_next_id: Switch,
    /// Breaks the connection of the next stream in the middle of event 4.
    pub break_next_stream: Switch,
    /// Breaks the connection of the next stream after its head, before the first event.
    pub break_next_before_event: Switch,
    /// Faults of the requests that an entry has moved to it.
    pub replacement_faults: ReplacementFaults,
    /// Garbage in its streams, and in place of prefill results, reservations and reports.
    pub garbling: Garbling,
    /// Marks the end of its responses to executed requests only by the end of the connection.
    pub end_with_connection: Switch,
    /// Delay before each request is executed or prefilled, and before each event of a stream.
    pub response_delay: Delay,
    /// Sends nothing on any connection during a pause, but keeps all open. It serves the requests
    /// that arrive meanwhile, and continues its responses, afterwards.
    pub pause: Pause,
    /// Rejects requests, prefills and reservations with status 503 and this `Retry-After`, in
    /// seconds; `None` rejects none.
    pub retry_after: Mutex<Option<String>>,
    /// Says in all its responses that it is leaving.
    pub leaving: Switch,
    /// Rate limit that it names in all its responses, in the text of the header; `None` names none.
    pub rate_limit: Mutex<Option<String>>,
    /// Requests that made it crash: those whose path ends with [`DEADLY_PATH`].
    pub deadly_requests: Mutex<Vec<ReceivedRequest>>,
    /// Signals that a request made it crash. The connection of the request is broken; the test
    /// does the rest.
    pub crashed: Notify,
    /// Times at which requests and calls of any kind arrived, in this order.
    pub arrivals: Mutex<Vec<Instant>>,
    /// How it stops, once it does.
    stop: watch::Sender<Option<Stop>>,
}

impl Replica {
    /// Starts a replica on a free loopback port, and returns it with its address.
    pub async fn start(id: &str, kind: Kind) -> (Arc<Self>, SocketAddr) {
        let replica = Arc::new(Self {
            id: id.to_string(),
            kind,
            version: Mutex::new("v1".to_string()),
            orders: Orders::default(),
            executed_requests: Mutex::default(),
            prefill_requests: Mutex::default(),
            rejected_requests: Mutex::default(),
            released_paths: Mutex::default(),
            streams_closed_early: AtomicU64::default(),
            open_streams: AtomicU64::default(),
            stream_ends: Mutex::default(),
            next_number: AtomicU64::default(),
            reserved_characters: Switch::default(),
            full: Switch::default(),
            capacity: AtomicU64::default(),
            executing: AtomicU64::default(),
            anonymous_rejections: Switch::default(),
            fail_next: Switch::default(),
            complete_next: Switch::default(),
            lose_next_response: Switch::default(),
            reject_next: Switch::default(),
            reject_next_late: Switch::default(),
            break_reports: Switch::default(),
            mismatch_next_id: Switch::default(),
            break_next_stream: Switch::default(),
            break_next_before_event: Switch::default(),
            replacement_faults: ReplacementFaults::default(),
            garbling: Garbling::default(),
            end_with_connection: Switch::default(),
            response_delay: Delay::default(),
            pause: Pause::default(),
            retry_after: Mutex::default(),
            leaving: Switch::default(),
            rate_limit: Mutex::default(),
            deadly_requests: Mutex::default(),
            crashed: Notify::default(),
            arrivals: Mutex::default(),
            stop: watch::Sender::new(None),
        });
        let served = replica.clone();
        let free_port = "127.0.0.1:0".parse().expect("the address is valid");
        let handle = move |request| served.clone().handle(request);
        let address = server::serve_until(free_port, replica.stop.subscribe(), handle).await;
        (replica, address)
    }

    /// Returns the value of its record in the replicas topic of the store: it belongs to
    /// `service`, entries reach it at `address`, and `state` is `ready` or `draining`.
    pub fn instance_record(
        &self,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) -> serde_json::Value {
        let version = self.version();
        let mut record = json!({
            "service": service, "address": address.to_string(), "zone": "north", "version": version,
            "slots": 64, "state": state, "coldLeftMs": 0, "seq": 1
        });
        if let Some(stage) = self.stage() {
            record["stage"] = stage.into();
        }
        record
    }

    /// Stage of an engine: that of the last accepted order, or of its kind before the first.
    /// `None` for a plain service.
    fn stage(&self) -> Option<String> {
        let initial = match self.kind {
            Kind::Prefill => "prefill",
            Kind::Decode => "decode",
            Kind::Plain => return None,
        };
        Some(self.orders.stage().unwrap_or_else(|| initial.to_string()))
    }

    /// Number of times that the request with this id was executed, without prefills.
    pub fn execution_count(&self, id: &str) -> usize {
        let executed = self.executed_requests.lock().expect("the mutex is not poisoned");
        executed.iter().filter(|received| received.id == id).count()
    }

    /// When the stream that the request began at `begun_at` ended; `None` if it is open.
    pub fn stream_end(&self, id: &str, begun_at: Instant) -> Option<Instant> {
        let ends = self.stream_ends.lock().expect("the mutex is not poisoned");
        ends.iter().find(|(ended, at)| ended == id && *at >= begun_at).map(|(_, at)| *at)
    }

    /// Sets the version of its software in its next records.
    pub fn set_version(&self, version: &str) {
        *self.version.lock().expect("the mutex is not poisoned") = version.to_string();
    }

    /// Version of its software.
    pub fn version(&self) -> String {
        self.version.lock().expect("the mutex is not poisoned").clone()
    }

    /// Names a rate limit from now on, or none.
    pub fn set_rate_limit(&self, limit: Option<&str>) {
        let mut named = self.rate_limit.lock().expect("the mutex is not poisoned");
        *named = limit.map(str::to_string);
    }

    /// Turns requests away with this `Retry-After` from now on, or none.
    pub fn set_retry_after(&self, seconds: Option<&str>) {
        let mut retry_after = self.retry_after.lock().expect("the mutex is not poisoned");
        *retry_after = seconds.map(str::to_string);
    }

    /// Stops: it listens no more.
    pub fn stop(&self, stop: Stop) {
        self.stop.send_replace(Some(stop));
    }

    /// Number of requests and calls of any kind that arrived.
    pub fn arrival_count(&self) -> usize {
        self.arrivals.lock().expect("the mutex is not poisoned").len()
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        self.arrivals.lock().expect("the mutex is not poisoned").push(Instant::now());
        let (method, path) = (request.method().clone(), request.uri().path().to_string());
        let received = receive(request).await;
        self.pause.wait().await;
        let response = self.clone().respond(&method, path, received).await;
        self.pause.wait().await;
        let mut response = response?;
        if self.leaving.is_on() {
            let leaving = "1".parse().expect("the header is valid");
            response.headers_mut().insert("server-leaving", leaving);
        }
        let limit = self.rate_limit.lock().expect("the mutex is not poisoned").clone();
        if let Some(limit) = limit {
            let limit = limit.parse().expect("the header is valid");
            response.headers_mut().insert("server-limit", limit);
        }
        Ok(response)
    }

    async fn respond(
        self: Arc<Self>,
        method: &Method,
        path: String,
        received: ReceivedRequest,
    ) -> Result<Response<Body>, std::io::Error> {
        if method == Method::DELETE {
            self.released_paths.lock().expect("the mutex is not poisoned").push(path);
            return Ok(server::json(StatusCode::OK, &json!({})));
        }
        let retry_after = self.retry_after.lock().expect("the mutex is not poisoned").clone();
        if let Some(retry_after) = retry_after {
            let mut response = self.reject(&received, StatusCode::SERVICE_UNAVAILABLE);
            let retry_after = retry_after.parse().expect("the header is valid");
            response.headers_mut().insert("retry-after", retry_after);
            return Ok(response);
        }
        match path.as_str() {
            "/api/hold-take" => return Ok(self.reserve()),
            "/api/report" if self.break_reports.is_on() => return Err(server::broken_connection()),
            "/api/report" => return Ok(self.report_stage()),
            "/api/order" => return Ok(self.receive_order(&received)),
            _ => {}
        }
        let expected = received.headers.get("bamboodoor-expect-instance");
        if expected.is_some_and(|expected| *expected != self.id) {
            return Ok(self.reject(&received, StatusCode::MISDIRECTED_REQUEST));
        }
        if self.reject_next.take() {
            return Ok(self.reject(&received, StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(_place) = self.clone().take_place() else {
            return Ok(self.reject(&received, StatusCode::SERVICE_UNAVAILABLE));
        };
        self.response_delay.wait().await;
        if received.headers.get("bamboodoor-stage").is_some_and(|stage| stage == "prefill") {
            return Ok(self.prefill(received));
        }
        if self.reject_next_late.take() {
            return Ok(self.reject(&received, StatusCode::SERVICE_UNAVAILABLE));
        }
        let has = |name| received.headers.contains_key(name);
        let was_moved = has("last-event-id") && !has("resumes");
        let fault = was_moved
            .then(|| self.replacement_faults.next(&received.id, received.received_at))
            .flatten();
        if fault == Some(ReplacementFault::RejectLate) {
            tokio::time::sleep(LATE_REJECTION_TIME).await;
            return Ok(self.reject(&received, StatusCode::SERVICE_UNAVAILABLE));
        }
        self.execute(received, fault)
    }

    /// Takes a place for a request that is executed; `None` if all are taken.
    fn take_place(self: Arc<Self>) -> Option<Place> {
        let capacity = self.capacity.load(Ordering::SeqCst);
        let executing = self.executing.fetch_add(1, Ordering::SeqCst);
        let place = Place(self);
        (capacity == 0 || executing < capacity).then_some(place)
    }

    fn report_stage(&self) -> Response<Body> {
        let report =
            json!({"stage": self.stage(), "busy": false, "seq": self.orders.accepted_count()});
        self.garbling.next_result().unwrap_or_else(|| server::json(StatusCode::OK, &report))
    }

    fn receive_order(&self, received: &ReceivedRequest) -> Response<Body> {
        let status = match serde_json::from_slice(&received.body) {
            Ok(order) => self.orders.receive(order),
            Err(_) => StatusCode::BAD_REQUEST,
        };
        server::json(status, &json!({}))
    }

    fn reserve(&self) -> Response<Body> {
        if self.full.is_on() {
            let mut response = server::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            let not_executed = "1".parse().expect("the header is valid");
            response.headers_mut().insert("bamboodoor-not-executed", not_executed);
            return response;
        }
        let result = json!({"hold": self.next_name("hold")});
        self.garbling.next_result().unwrap_or_else(|| server::json(StatusCode::OK, &result))
    }

    /// Returns a new name for a reservation or a prefill result.
    fn next_name(&self, kind: &str) -> String {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let separator = if self.reserved_characters.is_on() { " ?#" } else { "-" };
        format!("{kind}{separator}{number}")
    }

    fn prefill(&self, received: ReceivedRequest) -> Response<Body> {
        let id = received.id.parse().expect("the header is valid");
        self.prefill_requests.lock().expect("the mutex is not poisoned").push(received);
        let handle = self.next_name("handle");
        let result = json!({"handle": handle, "tokens": 100, "version": 1});
        let garbage = self.garbling.next_result();
        let mut response = garbage.unwrap_or_else(|| server::json(StatusCode::OK, &result));
        response.headers_mut().insert("bamboodoor-request-id", id);
        response
    }

    fn execute(
        self: &Arc<Self>,
        received: ReceivedRequest,
        fault: Option<ReplacementFault>,
    ) -> Result<Response<Body>, std::io::Error> {
        if received.line.ends_with(DEADLY_PATH) {
            self.deadly_requests.lock().expect("the mutex is not poisoned").push(received);
            self.crashed.notify_one();
            return Err(server::broken_connection());
        }
        self.executed_requests.lock().expect("the mutex is not poisoned").push(received.clone());
        if self.lose_next_response.take() || fault == Some(ReplacementFault::LoseResponse) {
            return Err(server::broken_connection());
        }
        let fails = self.fail_next.take() || fault == Some(ReplacementFault::ServerError);
        let mut response = match (self.kind, fails) {
            (_, true) => server::json(StatusCode::INTERNAL_SERVER_ERROR, &json!({"error": "x"})),
            (Kind::Plain, false) => server::json(StatusCode::OK, &json!({"echo": received.line})),
            (_, false)
                if self.complete_next.take() || fault == Some(ReplacementFault::NoStream) =>
            {
                server::json(StatusCode::OK, &json!({}))
            }
            (_, false) => {
                events::stream(self, &received, fault == Some(ReplacementFault::BreakOff))
            }
        };
        let id = if self.mismatch_next_id.take() { "another" } else { &received.id };
        let head = response.headers_mut();
        head.insert("bamboodoor-request-id", id.parse().expect("the header is valid"));
        let signature = format!("sig.{id}").parse().expect("the header is valid");
        head.insert("bamboodoor-response-signature", signature);
        if self.end_with_connection.is_on() {
            // The version of the response decides that it has no chunks; a body with a known
            // size has its length all the same.
            *response.version_mut() = Version::HTTP_10;
        }
        Ok(response)
    }

    fn reject(&self, received: &ReceivedRequest, status: StatusCode) -> Response<Body> {
        self.rejected_requests.lock().expect("the mutex is not poisoned").push(received.clone());
        let mut response = server::json(status, &json!({}));
        let head = response.headers_mut();
        head.insert("bamboodoor-not-executed", "1".parse().expect("the header is valid"));
        if !self.anonymous_rejections.is_on() {
            head.insert("bamboodoor-request-id", received.id.parse().expect("the header is valid"));
        }
        head.insert("bamboodoor-instance-id", self.id.parse().expect("the header is valid"));
        response
    }
}

/// Text of the event with this id; ids start at 1, and all streams have the same events.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// Place of a request until it was executed, or until the head of its stream was sent.
struct Place(Arc<Replica>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.executing.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn receive(request: Request<Incoming>) -> ReceivedRequest {
    let line = format!("{} {}", request.method(), request.uri());
    let to_text = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    let headers: HashMap<String, String> = request.headers().iter().map(to_text).collect();
    let id = headers.get("bamboodoor-request-id").cloned().unwrap_or_default();
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    ReceivedRequest { received_at: Instant::now(), id, line, headers, body }
}

/// Time for which a test waits for a condition before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
