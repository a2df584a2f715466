//! A store, replicas behind proxies, and the entries as processes.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standins::platform::replica::Kind;
use standins::platform::replica::Replica;
use standins::platform::store::OPERATOR_TOPIC;
use standins::platform::store::REPLICAS_TOPIC;
use standins::platform::store::Store;

use crate::proxy::LinkFault;
use crate::proxy::Proxy;

/// Service of the model engines.
pub const ENGINES: &str = "engines";
/// Plain service of lookups and bookings.
pub const DESK: &str = "desk";
/// Plain service that a route moves to and fro.
pub const OTHER_DESK: &str = "other-desk";
/// Bound of a replica's leaving, as the settings say.
pub const DRAIN: Duration = Duration::from_secs(2);
/// Bound of a configuration, as the settings say.
pub const APPLY: Duration = Duration::from_secs(2);
/// Time between a stop and a kill, as the settings say.
pub const GRACE: Duration = Duration::from_secs(8);
/// Fixed part of the retry budget, as the settings say.
pub const RETRY_ALLOWANCE: usize = 40;
/// Ratio of the retry budget, as the settings say.
pub const RETRY_RATIO: f64 = 0.2;

/// Upstreams that one request may be sent to, on every route: what may run once
/// is held to that by its kind alone.
pub const ATTEMPTS: usize = 2;
/// Pause of an engine before each event.
const ENGINE_PAUSE: Duration = Duration::from_millis(40);
/// Pause of a desk before each answer.
const DESK_PAUSE: Duration = Duration::from_millis(10);
/// How long a replica that leaves goes on serving.
const LINGER: Duration = Duration::from_secs(6);

const SEEDED: [(&str, Kind); 12] = [
    (ENGINES, Kind::Prefill),
    (ENGINES, Kind::Prefill),
    (ENGINES, Kind::Prefill),
    (ENGINES, Kind::Prefill),
    (ENGINES, Kind::Decode),
    (ENGINES, Kind::Decode),
    (ENGINES, Kind::Decode),
    (DESK, Kind::Plain),
    (DESK, Kind::Plain),
    (DESK, Kind::Plain),
    (OTHER_DESK, Kind::Plain),
    (OTHER_DESK, Kind::Plain),
];

/// Replicas of a fleet.
pub const REPLICA_COUNT: usize = SEEDED.len();

/// A replica and the proxy that entries reach it by.
#[derive(Debug)]
pub struct Node {
    /// The replica.
    pub replica: Arc<Replica>,
    /// Its proxy.
    pub proxy: Arc<Proxy>,
    /// Its service.
    pub service: &'static str,
    /// When the store took up that it leaves.
    pub left: Mutex<Option<Instant>>,
}

impl Node {
    async fn start(id: &str, service: &'static str, kind: Kind) -> Arc<Self> {
        let (replica, address) = Replica::start(id, kind).await;
        replica.response_delay.set(if kind == Kind::Plain { DESK_PAUSE } else { ENGINE_PAUSE });
        let proxy = Proxy::start(address).await;
        Arc::new(Self { replica, proxy, service, left: Mutex::new(None) })
    }

    /// When the store took up that it leaves.
    pub fn left(&self) -> Option<Instant> {
        *self.left.lock().expect("no holder panics")
    }
}

/// An entry: its addresses, and the process that runs now.
#[derive(Debug)]
pub struct Entry {
    address: SocketAddr,
    /// Where callers reach it.
    pub callers: Arc<Proxy>,
    /// Where it reaches the store.
    pub store: Arc<Proxy>,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
}

impl Entry {
    async fn new(program: &Path, dir: &Path, number: usize, store: SocketAddr) -> Self {
        let name = format!("entry-{number}");
        let (address, ready) = (free_address(), free_address());
        let store = Proxy::start(store).await;
        let settings = dir.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(&name, address, ready, store.address))
            .expect("the directory is writable");
        let log = dir.join(format!("{name}.log"));
        let child = Mutex::new(spawn(program, &settings, &log));
        let callers = Proxy::start(address).await;
        Self { address, callers, store, settings, log, child }
    }

    /// Starts the process again, unless that was done already.
    pub fn restart(&self, program: &Path) {
        let mut child = self.child.lock().expect("no holder panics");
        if child.try_wait().expect("is a child").is_some() {
            *child = spawn(program, &self.settings, &self.log);
        }
    }

    /// Id of the process that runs now, or ran last.
    pub fn process_id(&self) -> u32 {
        self.child.lock().expect("no holder panics").id()
    }

    /// Sends a signal by name.
    pub fn signal(&self, signal: &str) {
        let id = self.process_id().to_string();
        // A process that has ended gets no signal.
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    /// Kills the process of that id, unless another runs by now.
    pub fn kill(&self, process_id: u32) {
        let mut child = self.child.lock().expect("no holder panics");
        if child.id() == process_id {
            // A process that has ended cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Exit code once the process has ended: `Some(None)` after a signal.
    pub fn ended(&self) -> Option<Option<i32>> {
        let mut child = self.child.lock().expect("no holder panics");
        child.try_wait().expect("is a child").map(|status| status.code())
    }

    /// Changes a line of the settings file that means nothing.
    pub fn touch_settings(&self) {
        let mut text = std::fs::read_to_string(&self.settings).expect("was written");
        text.push_str("# changed\n");
        std::fs::write(&self.settings, text).expect("the directory is writable");
        self.signal("HUP");
    }

    /// True while it listens.
    pub async fn listens(&self) -> bool {
        tokio::net::TcpStream::connect(self.address).await.is_ok()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill(self.process_id());
    }
}

/// Everything that a run is made of.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub store: Arc<Store>,
    /// The entries.
    pub entries: Vec<Arc<Entry>>,
    /// All replicas that ever were.
    pub nodes: Mutex<Vec<Arc<Node>>>,
    current: Mutex<Vec<Arc<Node>>>,
}

impl Fleet {
    /// Starts everything, with its first configuration.
    pub async fn start(program: &Path, dir: &Path, entries: usize) -> Arc<Self> {
        let (store, address) = Store::start().await;
        store.put_json(OPERATOR_TOPIC, "config", &configuration(1));
        let mut nodes = Vec::new();
        for (number, (service, kind)) in SEEDED.into_iter().enumerate() {
            nodes.push(Node::start(&format!("replica-{number}"), service, kind).await);
        }
        let mut running = Vec::new();
        for number in 0..entries {
            running.push(Arc::new(Entry::new(program, dir, number, address).await));
        }
        let fleet = Arc::new(Self {
            store,
            entries: running,
            current: Mutex::new(nodes.clone()),
            nodes: Mutex::new(nodes),
        });
        fleet.list_all();
        fleet
    }

    /// Writes the entry of every replica, as replicas do from time to time.
    pub fn list_all(&self) {
        for node in self.current.lock().expect("no holder panics").iter() {
            self.list(node, "ready");
        }
    }

    fn list(&self, node: &Node, state: &str) {
        let entry = node.replica.instance_record(node.service, node.proxy.address, state);
        self.store.put_json(REPLICAS_TOPIC, &node.replica.id, &entry);
    }

    /// The replica in a place.
    pub fn node(&self, place: usize) -> Arc<Node> {
        self.current.lock().expect("no holder panics")[place].clone()
    }

    /// A replica leaves as planned, and a new one takes its place.
    pub async fn replace(self: Arc<Self>, place: usize) {
        let old = self.node(place);
        let number = self.nodes.lock().expect("no holder panics").len();
        let id = format!("replica-{number}");
        let new = Node::start(&id, old.service, old.replica.kind).await;
        self.nodes.lock().expect("no holder panics").push(new.clone());
        self.current.lock().expect("no holder panics")[place] = new.clone();
        self.list(&new, "ready");
        self.list(&old, "draining");
        old.left.lock().expect("no holder panics").get_or_insert(Instant::now());
        tokio::time::sleep(LINGER).await;
        self.store.put(REPLICAS_TOPIC, &old.replica.id, None);
        old.proxy.set_fault(LinkFault::Reset);
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64) {
        self.store.put_json(OPERATOR_TOPIC, "config", &configuration(version));
    }
}

/// Service of the route that moves, under a version.
pub fn moved_service(version: u64) -> &'static str {
    if version.is_multiple_of(2) { OTHER_DESK } else { DESK }
}

fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "service.example", "pathPrefix": format!("/{name}/"),
            "kind": kind, "timeoutMs": 8000, "sloMs": 1000, "priority": 1, "service": service,
            "attempts": ATTEMPTS, "sticky": service == ENGINES, "canResume": name == "resumable",
            "gapTargetMs": 300
        })
    };
    let engine = json!({"slots": 64, "kvCapacity": 50000, "kvHoldS": 0.5, "holdMs": 2000.0});
    json!({
        "version": version,
        "routes": [
            route("stream", "stream", ENGINES),
            route("resumable", "stream", ENGINES),
            route("lookup", "safe", DESK),
            route("booking", "unsafe", DESK),
            route("moved", "unsafe", moved_service(version))
        ],
        "services": [
            {"name": ENGINES, "healthPath": "/healthz", "maxConns": 300, "protocol": "h1",
             "tls": false, "engine": engine},
            {"name": DESK, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1",
             "tls": false},
            {"name": OTHER_DESK, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1",
             "tls": false}
        ],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}
    })
}

fn settings_text(name: &str, address: SocketAddr, ready: SocketAddr, store: SocketAddr) -> String {
    format!(
        "nodeName = \"{name}\"\nzone = \"north\"\n\
         [listen]\nfront = \"{address}\"\nready = \"{ready}\"\n\
         [platform]\naddress = \"{store}\"\n\
         [bounds]\nretryRatio = {RETRY_RATIO}\nretrySlack = {RETRY_ALLOWANCE}\n\
         graceS = {}\napplyMs = {}\ndrainMs = {}\n",
        GRACE.as_secs(),
        APPLY.as_millis(),
        DRAIN.as_millis()
    )
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("is writable");
    Command::new(program)
        .env("BAMBOODOOR_CONFIG", settings)
        .stdout(Stdio::from(log))
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the program was built")
}

/// Ports below those that the system gives to outgoing connections, so that an
/// entry finds its own free when it starts again.
const PORTS: std::ops::Range<u16> = 10_000..30_000;

/// Runs of one process never meet at a port, and those of others seldom.
static PORTS_GIVEN: AtomicU32 = AtomicU32::new(0);

fn free_address() -> SocketAddr {
    loop {
        let given = PORTS_GIVEN.fetch_add(1, Ordering::SeqCst);
        let first = std::process::id().wrapping_mul(PORTS_A_PROCESS);
        let offset = first.wrapping_add(given) % u32::from(PORTS.end - PORTS.start);
        let port = PORTS.start + offset as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("a listener has an address");
        }
    }
}

/// Spread of the ports of processes with neighbouring ids.
const PORTS_A_PROCESS: u32 = 97;
