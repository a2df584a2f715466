//! Callers that send requests over keep-alive connections, and record the outcome of each.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::platform::replica::EVENTS_PER_STREAM;
use standins::platform::stream_shape::STREAM_SHAPE_HEADER;
use standins::platform::stream_shape::StreamShape;
use standins::server::Body;
use standins::server::late_body;
use standins::server::whole_body;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::accounts::ACCOUNT_HEADER;
use crate::accounts::CallerKey;
use crate::action::DeadlyKind;
use crate::fleet::Fleet;
use crate::stop_plan::Manner;
use crate::stop_plan::draw_manner;
use crate::stop_plan::draw_shape;

/// Time for which a caller really waits beyond what its requests say.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Prompt tokens, and most output tokens.
const TOKEN_COUNT: &str = "100,700";
/// The same in runs whose streams outlast a stop: half of the output is expected.
const LONG_STREAM_TOKEN_COUNT: &str = "100,144";
/// Shape of the streams of other runs, and of probes.
const SHORT_STREAM: StreamShape =
    StreamShape { events: EVENTS_PER_STREAM, interval: Duration::from_millis(40), pause: None };
/// Time between two requests that crash replicas.
const DEADLY_INTERVAL: Duration = Duration::from_millis(300);
/// Number of pieces of a response after which a slow caller pauses: midway in a long stream.
const READ_PAUSE_AFTER: u32 = 30;
/// Pause of a caller after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Routes of the configuration, by name; each has its own kind of request.
pub const ROUTES: [&str; 5] = ["stream", "resumable", "lookup", "booking", "moved"];
/// A caller disconnects early from one in this many requests, on average.
const DISCONNECT_ONE_IN: u32 = 12;

/// Outcome of a request, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response arrived.
    Complete {
        /// HTTP status of the response.
        status: u16,
        /// Signature header of the upstream; `None` if the entry itself responded.
        signature: Option<String>,
        /// Whole response body.
        body: Bytes,
    },
    /// The response broke off or was not complete in time, or none came.
    Incomplete {
        /// Part of the body that arrived before a successful response broke off, otherwise empty.
        body: Bytes,
    },
    /// The caller disconnected early, as its random choices said.
    Disconnected,
}

/// Request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id, `r` and a number.
    pub id: String,
    /// Route, by name; the path starts with it.
    pub route: &'static str,
    /// Index of the entry that it was sent to.
    pub entry: usize,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Time at which its outcome was known.
    pub ended_at: Instant,
    /// Key that it carried, if the configurations have accounts.
    pub key: Option<CallerKey>,
    /// Stream that it takes up, if it does.
    pub resumed: Option<ResumedStream>,
    /// Shape of the stream, if it asks for one.
    pub shape: StreamShape,
    /// How it was sent, and its response read.
    pub manner: Manner,
    /// Outcome that the caller saw.
    pub outcome: RequestOutcome,
}

/// Broken stream that a caller takes up with another request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedStream {
    /// Id of the request that began the stream.
    pub first_id: String,
    /// Number of events that the caller has received.
    pub after_event: u64,
}

impl CallerRequest {
    /// Number of complete events in its response.
    pub fn received_events(&self) -> u64 {
        let body = match &self.outcome {
            RequestOutcome::Complete { status: 200, body, .. }
            | RequestOutcome::Incomplete { body } => body,
            _ => return 0,
        };
        String::from_utf8_lossy(body).matches("\n\n").count() as u64
    }

    /// Earliest time at which its whole body can have been sent.
    pub fn body_sent_at(&self) -> Instant {
        self.sent_at + self.manner.body_pause.unwrap_or_default()
    }

    /// Method and path, as the replica should receive them.
    pub fn line(&self) -> String {
        format!("{} /{}/{}", method(self.route), self.route, self.id)
    }
}

fn method(route: &str) -> &'static str {
    if route == "lookup" { "GET" } else { "POST" }
}

/// What a caller asks for in one request, and how.
#[derive(Debug)]
struct Wish {
    route: &'static str,
    shape: StreamShape,
    manner: Manner,
    disconnect_after: Option<Duration>,
    resumed: Option<ResumedStream>,
    is_deadly: bool,
}

impl Wish {
    fn new(route: &'static str, shape: StreamShape) -> Self {
        let (manner, disconnect_after) = (Manner::default(), None);
        Self { route, shape, manner, disconnect_after, resumed: None, is_deadly: false }
    }
}

/// State that all callers share: the fleet, the request ids and the recorded requests.
#[derive(Debug)]
pub struct Callers {
    fleet: Arc<Fleet>,
    next_id: AtomicU64,
    /// Requests with a known outcome so far, in the order in which they ended.
    pub requests: Mutex<Vec<CallerRequest>>,
    /// The same for requests that crash replicas.
    pub deadly_requests: Mutex<Vec<CallerRequest>>,
}

impl Callers {
    /// Creates the shared state of the callers of a fleet.
    pub fn new(fleet: Arc<Fleet>) -> Arc<Self> {
        Arc::new(Self {
            fleet,
            next_id: AtomicU64::new(0),
            requests: Mutex::default(),
            deadly_requests: Mutex::default(),
        })
    }

    /// Number of entries in the fleet.
    pub fn entry_count(&self) -> usize {
        self.fleet.entries.len()
    }

    /// Number of request ids that were issued so far: `r0`, `r1` and so on.
    pub fn issued_id_count(&self) -> u64 {
        self.next_id.load(Ordering::SeqCst)
    }

    /// Sends one request for a route to an entry, on a new connection. True if a complete
    /// response came, with any status, and any recorded request for this route at this entry was
    /// served.
    pub async fn probe(&self, entry: usize, route: &'static str) -> bool {
        if self.send(None, entry, Wish::new(route, SHORT_STREAM)).await.is_none() {
            return false;
        }
        let requests = self.requests.lock().expect("the mutex is not poisoned");
        requests.iter().rev().any(|request| {
            request.entry == entry && request.route == route && crate::checks::is_served(request)
        })
    }

    /// Runs one caller, whose choices `seed` fixes: sends one request after another until the
    /// task is aborted.
    pub async fn run_caller(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut connection = None;
        let outlasts_stops = self.fleet.features.outlasts_stops;
        // Some send the next request as soon as a response has ended.
        let is_eager = outlasts_stops && seed.is_multiple_of(2);
        loop {
            let route = ROUTES[rng.random_range(0..ROUTES.len())];
            let disconnects = rng.random_ratio(1, DISCONNECT_ONE_IN);
            let disconnect_after =
                disconnects.then(|| Duration::from_millis(rng.random_range(1..150)));
            let entry = rng.random_range(0..self.fleet.entries.len());
            let shape = if outlasts_stops { draw_shape(&mut rng) } else { SHORT_STREAM };
            let mut wish = Wish { disconnect_after, ..Wish::new(route, shape) };
            if self.fleet.features.crosses_closes {
                wish.manner = draw_manner(&mut rng, seed, method(route) != "GET");
            }
            connection = self.send(connection, entry, wish).await;
            let pause = Duration::from_millis(rng.random_range(5..60));
            if !is_eager || connection.is_none() {
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Sends one request on the open connection if it is still usable, otherwise on a new one
    /// to `entry`, and records it. Returns the connection if it may be used again.
    async fn send(&self, open: Option<Connection>, entry: usize, wish: Wish) -> Option<Connection> {
        let reusable = open.filter(|open| open.sender.is_ready());
        let mut connection = match reusable {
            Some(open) => open,
            None => self.connect(entry).await?,
        };
        let record = self.exchange(&mut connection, wish).await;
        let complete = matches!(record.outcome, RequestOutcome::Complete { .. });
        let broke_off = matches!(record.outcome, RequestOutcome::Incomplete { .. });
        let refused = matches!(record.outcome, RequestOutcome::Complete { status: 503, .. });
        self.requests.lock().expect("the mutex is not poisoned").push(record.clone());
        if self.fleet.features.several_versions && record.route == "resumable" && broke_off {
            self.take_up(&record).await;
        }
        if refused && self.fleet.features.accounts {
            // An entry that is not certain of its keys asks for this pause.
            tokio::time::sleep(REFUSED_PAUSE).await;
        }
        complete.then_some(connection)
    }

    /// Takes up a broken stream at the next entry, if any of its events have arrived.
    async fn take_up(&self, broken: &CallerRequest) {
        let after_event = broken.received_events();
        let next_entry = (broken.entry + 1) % self.fleet.entries.len();
        if after_event == 0 {
            return;
        }
        let Some(mut connection) = self.connect(next_entry).await else { return };
        let resumed = ResumedStream { first_id: broken.id.clone(), after_event };
        let wish = Wish { resumed: Some(resumed), ..Wish::new(broken.route, broken.shape) };
        let record = self.exchange(&mut connection, wish).await;
        self.requests.lock().expect("the mutex is not poisoned").push(record);
    }

    /// Sends one request with a new id and returns it with its outcome.
    async fn exchange(&self, connection: &mut Connection, wish: Wish) -> CallerRequest {
        let (id, key) = self.next_id_and_key();
        let (sent_at, entry) = (Instant::now(), connection.entry);
        let request = self.build_request(&id, key, &wish);
        let exchange = exchange(&mut connection.sender, request, wish.manner.read_pause);
        let response_timeout = wish.disconnect_after.unwrap_or(self.response_timeout());
        let outcome = match timeout(response_timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) if wish.disconnect_after.is_some() => RequestOutcome::Disconnected,
            Err(_) => RequestOutcome::Incomplete { body: Bytes::new() },
        };
        let ended_at = Instant::now();
        let Wish { route, shape, manner, resumed, .. } = wish;
        CallerRequest { id, route, entry, sent_at, ended_at, key, resumed, shape, manner, outcome }
    }

    /// Time after which a caller really stops waiting, a little later than its requests say.
    fn response_timeout(&self) -> Duration {
        self.fleet.features.caller_timeout() + RESPONSE_TIMEOUT_MARGIN
    }

    fn build_request(&self, id: &str, key: Option<CallerKey>, wish: &Wish) -> Request<Body> {
        let features = &self.fleet.features;
        let content = if wish.is_deadly { "deadly" } else { id };
        let tokens = if features.outlasts_stops { LONG_STREAM_TOKEN_COUNT } else { TOKEN_COUNT };
        let mut request = Request::builder()
            .method(method(wish.route))
            .uri(format!("/{}/{content}", wish.route))
            .header("host", "service.example")
            .header("bamboodoor-request-id", id)
            .header("bamboodoor-model", "m")
            .header("bamboodoor-token-count", tokens)
            .header("bamboodoor-prompt-prefix", "5c1e07a2:100")
            .header("bamboodoor-deadline-ms", features.caller_timeout().as_millis().to_string());
        if let Some(key) = key {
            // The caller claims to be another account.
            request = request
                .header("authorization", format!("Bearer {}", key.text()))
                .header(ACCOUNT_HEADER, "forged");
        }
        if let Some(resumed) = &wish.resumed {
            request = request
                .header("last-event-id", resumed.after_event.to_string())
                .header("resumes", &resumed.first_id);
        }
        if features.outlasts_stops {
            request = request.header(STREAM_SHAPE_HEADER, wish.shape.to_string());
        }
        let body = match wish.manner.body_pause {
            Some(pause) => late_body(content.to_string(), pause),
            None => whole_body(content.to_string()),
        };
        request.body(body).expect("the request is valid")
    }

    /// Sends requests of the same content, which crash replicas, to the entries by turns.
    pub(crate) async fn send_deadly_requests(&self, kind: DeadlyKind, duration: Duration) {
        let route = match kind {
            DeadlyKind::Lookup => "lookup",
            DeadlyKind::Booking => "booking",
        };
        let started_at = Instant::now();
        for entry in (0..self.fleet.entries.len()).cycle() {
            if started_at.elapsed() >= duration {
                return;
            }
            tokio::time::sleep(DEADLY_INTERVAL).await;
            let Some(mut connection) = self.connect(entry).await else { continue };
            let wish = Wish { is_deadly: true, ..Wish::new(route, SHORT_STREAM) };
            let request = self.exchange(&mut connection, wish).await;
            self.deadly_requests.lock().expect("the mutex is not poisoned").push(request);
        }
    }

    /// Issues a request id, with the key of the request if the configurations have accounts.
    fn next_id_and_key(&self) -> (String, Option<CallerKey>) {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let published = self.fleet.published.lock().expect("the mutex is not poisoned");
        let key = CallerKey::of_request(number, &published);
        (format!("r{number}"), self.fleet.features.accounts.then_some(key))
    }

    async fn connect(&self, entry: usize) -> Option<Connection> {
        let address = self.fleet.entries[entry].caller_proxy.address();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Errors show in the outcomes of the requests.
            let _ = connection.await;
        });
        Some(Connection { entry, sender })
    }
}

/// Open connection to an entry.
#[derive(Debug)]
pub struct Connection {
    entry: usize,
    sender: SendRequest<Body>,
}

async fn exchange(
    sender: &mut SendRequest<Body>,
    request: Request<Body>,
    read_pause: Duration,
) -> RequestOutcome {
    match sender.send_request(request).await {
        Ok(response) => read_response(response, read_pause).await,
        Err(_) => RequestOutcome::Incomplete { body: Bytes::new() },
    }
}

async fn read_response(response: Response<Incoming>, read_pause: Duration) -> RequestOutcome {
    let status = response.status();
    let signature = response.headers().get("bamboodoor-response-signature");
    let signature = signature.and_then(|value| value.to_str().ok()).map(ToString::to_string);
    let mut body = response.into_body();
    let mut received = BytesMut::new();
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let body = if status.is_success() { received.freeze() } else { Bytes::new() };
            return RequestOutcome::Incomplete { body };
        };
        if let Ok(data) = frame.into_data() {
            received.extend_from_slice(&data);
            frames += 1;
            if frames == READ_PAUSE_AFTER {
                tokio::time::sleep(read_pause).await;
            }
        }
    }
    RequestOutcome::Complete { status: status.as_u16(), signature, body: received.freeze() }
}
