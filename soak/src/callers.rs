//! Callers that keep their connections open and write down what they saw.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::Fleet;

/// How long a caller waits, as it tells the entry.
pub const PATIENCE: Duration = Duration::from_secs(8);
/// Callers wait a little longer than they say.
const GIVE_UP: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Kinds of requests, one route each.
pub const ROUTES: [&str; 5] = ["stream", "resumable", "lookup", "booking", "moved"];
/// One request in so many is hung up on.
const HANG_UP_ONE_IN: u32 = 12;

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Whole {
        /// HTTP status.
        status: u16,
        /// The upstream's signature.
        signature: Option<String>,
        /// Body.
        body: Bytes,
    },
    /// The answer broke off, or none came.
    Broken {
        /// What came of the body of a success.
        body: Bytes,
    },
    /// The caller hung up.
    HungUp,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id.
    pub id: String,
    /// Route, which begins the path.
    pub route: &'static str,
    /// Entry.
    pub entry: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What came of it.
    pub end: End,
}

impl Attempt {
    /// Method and path.
    pub fn line(&self) -> String {
        format!("{} /{}/{}", method(self.route), self.route, self.id)
    }
}

fn method(route: &str) -> &'static str {
    if route == "lookup" { "GET" } else { "POST" }
}

/// What all callers share.
#[derive(Debug)]
pub struct Callers {
    fleet: Arc<Fleet>,
    next: AtomicU64,
    /// What they saw so far.
    pub seen: Mutex<Vec<Attempt>>,
}

impl Callers {
    /// Callers of a fleet.
    pub fn new(fleet: Arc<Fleet>) -> Arc<Self> {
        Arc::new(Self { fleet, next: AtomicU64::new(0), seen: Mutex::default() })
    }

    /// Entries of the fleet.
    pub fn entries(&self) -> usize {
        self.fleet.entries.len()
    }

    /// How many ids were given out: `r0` and up.
    pub fn issued(&self) -> u64 {
        self.next.load(Ordering::SeqCst)
    }

    /// Asks an entry once, on a new connection. True if it serves the route.
    pub async fn is_served(&self, entry: usize, route: &'static str) -> bool {
        self.ask(None, entry, route, None).await.is_some()
            && self.seen.lock().expect("no holder panics").iter().rev().any(|attempt| {
                attempt.entry == entry
                    && attempt.route == route
                    && crate::checks::is_served(attempt)
            })
    }

    /// One caller: asks again and again.
    pub async fn call(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut connection = None;
        loop {
            let route = ROUTES[rng.random_range(0..ROUTES.len())];
            let hang_up = rng.random_ratio(1, HANG_UP_ONE_IN);
            let hang_up = hang_up.then(|| Duration::from_millis(rng.random_range(1..150)));
            let entry = rng.random_range(0..self.fleet.entries.len());
            connection = self.ask(connection, entry, route, hang_up).await;
            let pause = Duration::from_millis(rng.random_range(5..60));
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks the entry of an open connection, or the given one. Returns the
    /// connection if it may be used again.
    pub async fn ask(
        &self,
        open: Option<Connection>,
        entry: usize,
        route: &'static str,
        hang_up: Option<Duration>,
    ) -> Option<Connection> {
        let usable = open.filter(|open| open.sender.is_ready());
        let mut connection = match usable {
            Some(open) => open,
            None => self.connect(entry).await?,
        };
        let id = format!("r{}", self.next.fetch_add(1, Ordering::SeqCst));
        let (sent, entry) = (Instant::now(), connection.entry);
        let exchange = exchange(&mut connection.sender, request(&id, route));
        let end = match timeout(hang_up.unwrap_or(GIVE_UP), exchange).await {
            Ok(end) => end,
            Err(_) if hang_up.is_some() => End::HungUp,
            Err(_) => End::Broken { body: Bytes::new() },
        };
        let whole = matches!(end, End::Whole { .. });
        let attempt = Attempt { id, route, entry, sent, ended: Instant::now(), end };
        self.seen.lock().expect("no holder panics").push(attempt);
        whole.then_some(connection)
    }

    async fn connect(&self, entry: usize) -> Option<Connection> {
        let address = self.fleet.entries[entry].callers.address;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // What went wrong shows in the answers.
            let _ = connection.await;
        });
        Some(Connection { entry, sender })
    }
}

/// An open connection to an entry.
#[derive(Debug)]
pub struct Connection {
    entry: usize,
    sender: SendRequest<Full<Bytes>>,
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> End {
    match sender.send_request(request).await {
        Ok(response) => read(response).await,
        Err(_) => End::Broken { body: Bytes::new() },
    }
}

async fn read(response: Response<Incoming>) -> End {
    let status = response.status();
    let signature = response.headers().get("bamboodoor-response-signature");
    let signature = signature.and_then(|value| value.to_str().ok()).map(ToString::to_string);
    let mut body = response.into_body();
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let body = if status.is_success() { read.freeze() } else { Bytes::new() };
            return End::Broken { body };
        };
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
    }
    End::Whole { status: status.as_u16(), signature, body: read.freeze() }
}

fn request(id: &str, route: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method(route))
        .uri(format!("/{route}/{id}"))
        .header("host", "service.example")
        .header("bamboodoor-request-id", id)
        .header("bamboodoor-deadline-ms", PATIENCE.as_millis().to_string())
        .header("bamboodoor-model", "m")
        .header("bamboodoor-token-count", "100,700")
        .header("bamboodoor-prompt-prefix", "5c1e07a2:100")
        .body(Full::from(Bytes::from(id.to_string())))
        .expect("is valid")
}
