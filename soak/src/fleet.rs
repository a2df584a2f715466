//! Fleet of a run: a stand-in store, stand-in replicas behind proxies, and the real entries as
//! processes.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standins::address::unused_address;
use standins::platform::replica::Kind;
use standins::platform::store::OPERATOR_TOPIC;
use standins::platform::store::REPLICAS_TOPIC;
use standins::platform::store::Store;

use crate::accounts::Published;
use crate::accounts::REVOKE_BOUND;
use crate::accounts::accounts;
use crate::features::Features;
use crate::proxy::LinkFault;
use crate::proxy::Proxy;
use crate::replica_node::ReplicaNode;

/// Name of the service of the model engines.
pub const ENGINE_SERVICE: &str = "engines";
/// Name of the plain service for lookups and bookings.
pub const DESK_SERVICE: &str = "desk";
/// Name of the plain service to which the `moved` route points in every second configuration.
pub const OTHER_DESK_SERVICE: &str = "other-desk";
/// Time after which a leaving replica gets no more requests (`drainMs` in the settings).
pub const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time within which a configuration is in force (`applyMs` in the settings).
pub const APPLY_BOUND: Duration = Duration::from_secs(2);
/// Time between asking an entry to stop and killing it (`graceS` in the settings).
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Fixed part of the retry budget, in requests (`retrySlack` in the settings).
pub const RETRY_SLACK: usize = 40;
/// Part of the retry budget that grows with the requests (`retryRatio` in the settings).
pub const RETRY_RATIO: f64 = 0.2;

/// Largest number of runs of a request, on every route (`attempts` in the configuration). It is
/// the same for unsafe routes, so that only their kind keeps a request from being executed twice.
pub const MAX_RUNS: usize = 2;
/// Time for which a leaving replica goes on serving, or longer if it finishes its streams.
const LEAVING_DURATION: Duration = Duration::from_secs(6);
const STREAM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of replicas of the second plain service.
const OTHER_DESK_REPLICAS: usize = 2;

/// Number of replicas of the engines and of the plain service for lookups and bookings.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    /// Number of engines, of which one more than half start in the prefill stage.
    pub engines: usize,
    /// Number of replicas of the plain service for lookups and bookings.
    pub desks: usize,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self { engines: 7, desks: 3 }
    }
}

impl FleetShape {
    /// Number of replicas in the fleet at any time, without those that leave.
    pub fn replica_count(&self) -> usize {
        self.engines + self.desks + OTHER_DESK_REPLICAS
    }

    /// Service and kind of the replicas at the start of a run.
    fn initial_replicas(&self) -> impl Iterator<Item = (&'static str, Kind)> {
        let prefill = self.engines / 2 + 1;
        let counts = [
            (ENGINE_SERVICE, Kind::Prefill, prefill),
            (ENGINE_SERVICE, Kind::Decode, self.engines - prefill),
            (DESK_SERVICE, Kind::Plain, self.desks),
            (OTHER_DESK_SERVICE, Kind::Plain, OTHER_DESK_REPLICAS),
        ];
        let repeat = |(service, kind, count)| std::iter::repeat_n((service, kind), count);
        counts.into_iter().flat_map(repeat)
    }
}

/// Entry under test: its proxies, files and current process.
#[derive(Debug)]
pub struct Entry {
    address: SocketAddr,
    /// Proxy through which callers reach the entry.
    pub caller_proxy: Arc<Proxy>,
    /// Proxy through which the entry reaches the store.
    pub store_proxy: Arc<Proxy>,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Mutex<Child>,
}

impl Entry {
    async fn start(program: &Path, dir: &Path, number: usize, store: SocketAddr) -> Self {
        let name = format!("entry-{number}");
        let (address, ready) = (unused_address(), unused_address());
        let store_proxy = Proxy::start(store).await;
        let settings_file = dir.join(format!("{name}.toml"));
        std::fs::write(&settings_file, settings_text(&name, address, ready, store_proxy.address()))
            .expect("the directory is writable");
        let log_file = dir.join(format!("{name}.log"));
        let child = Mutex::new(spawn(program, &settings_file, &log_file));
        let caller_proxy = Proxy::start(address).await;
        Self { address, caller_proxy, store_proxy, settings_file, log_file, child }
    }

    /// Starts the process again if it has ended.
    pub fn restart(&self, program: &Path) {
        let mut child = self.child.lock().expect("the mutex is not poisoned");
        if child.try_wait().expect("the status of the child can be read").is_some() {
            *child = spawn(program, &self.settings_file, &self.log_file);
        }
    }

    /// Process id of the current process, or of the last one if it has ended.
    pub fn process_id(&self) -> u32 {
        self.child.lock().expect("the mutex is not poisoned").id()
    }

    /// Sends the process a signal, given by name without `SIG`.
    pub fn signal(&self, signal: &str) {
        let id = self.process_id().to_string();
        // A process that has ended gets no signal.
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    /// Kills the process with this id, unless another one has replaced it by now.
    pub fn kill(&self, process_id: u32) {
        let mut child = self.child.lock().expect("the mutex is not poisoned");
        if child.id() == process_id {
            // A process that has ended cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Exit code of the process, `Some(None)` if a signal ended it; `None` while it runs.
    pub fn exit_code(&self) -> Option<Option<i32>> {
        let mut child = self.child.lock().expect("the mutex is not poisoned");
        child.try_wait().expect("the status of the child can be read").map(|status| status.code())
    }

    /// Appends a comment to the settings file and sends the entry a SIGHUP to reload it.
    pub fn reload_settings(&self) {
        let mut text =
            std::fs::read_to_string(&self.settings_file).expect("the settings file was written");
        text.push_str("# changed\n");
        std::fs::write(&self.settings_file, text).expect("the directory is writable");
        self.signal("HUP");
    }

    /// True if the entry accepts connections.
    pub async fn is_listening(&self) -> bool {
        tokio::net::TcpStream::connect(self.address).await.is_ok()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill(self.process_id());
    }
}

/// Store, entries and replicas of a run.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in store that the entries read.
    pub store: Arc<Store>,
    /// Entries under test, by index.
    pub entries: Vec<Arc<Entry>>,
    /// All replicas of the run so far, including those that have left.
    pub nodes: Mutex<Vec<Arc<ReplicaNode>>>,
    /// Replicas that serve now, by position; a replacement takes the position of the old one.
    current: Mutex<Vec<Arc<ReplicaNode>>>,
    /// What the run has beside the rest.
    pub features: Features,
    /// Configurations that were published so far.
    pub published: Mutex<Vec<Published>>,
}

impl Fleet {
    /// Starts the store with its first configuration, the replicas, and `entries` processes of
    /// `program`, whose settings files and logs go to `dir`. The replicas may have two software
    /// versions.
    pub async fn start(
        program: &Path,
        dir: &Path,
        entries: usize,
        shape: FleetShape,
        features: Features,
    ) -> Arc<Self> {
        let (store, address) = Store::start().await;
        let mut nodes = Vec::new();
        for (number, (service, kind)) in shape.initial_replicas().enumerate() {
            let node = ReplicaNode::start(&features.replica_id(number), service, kind).await;
            features.apply_to(&node.replica, number);
            nodes.push(node);
        }
        let mut started = Vec::new();
        for number in 0..entries {
            started.push(Arc::new(Entry::start(program, dir, number, address).await));
        }
        let fleet = Arc::new(Self {
            store,
            entries: started,
            current: Mutex::new(nodes.clone()),
            nodes: Mutex::new(nodes),
            features,
            published: Mutex::default(),
        });
        fleet.publish_configuration(1);
        fleet.publish_replicas();
        fleet
    }

    /// Number of responses that replicas sent a second time.
    pub fn late_copies(&self) -> u64 {
        let nodes = self.nodes.lock().expect("the mutex is not poisoned");
        nodes.iter().map(|node| node.proxy.repeated_responses()).sum()
    }

    /// Number of streams into which replicas wrote garbage.
    pub fn garbled_streams(&self) -> usize {
        let nodes = self.nodes.lock().expect("the mutex is not poisoned");
        nodes.iter().map(|node| node.replica.garbling.garbled_count()).sum()
    }

    /// Publishes the instance record of every replica that serves now, as replicas do at
    /// intervals.
    pub fn publish_replicas(&self) {
        for node in self.current.lock().expect("the mutex is not poisoned").iter() {
            self.publish_replica(node, "ready");
        }
    }

    fn publish_replica(&self, node: &ReplicaNode, state: &str) {
        let record = node.replica.instance_record(node.service, node.proxy.address(), state);
        self.store.put_json(REPLICAS_TOPIC, &node.replica.id, &record);
    }

    /// Returns the replica that serves at a position now.
    pub fn node(&self, position: usize) -> Arc<ReplicaNode> {
        self.current.lock().expect("the mutex is not poisoned")[position].clone()
    }

    /// Replicas of the service to which the replica at a position belongs, without those that
    /// leave.
    pub fn nodes_beside(&self, position: usize) -> Vec<Arc<ReplicaNode>> {
        let current = self.current.lock().expect("the mutex is not poisoned");
        let service = current[position].service;
        current.iter().filter(|node| node.service == service).cloned().collect()
    }

    /// The replica at a position says that it leaves, and drains as planned after `list_delay`,
    /// unless it does already.
    pub async fn leave_with_notice(self: Arc<Self>, position: usize, list_delay: Duration) {
        let node = self.node(position);
        if !node.announce_leaving() {
            return;
        }
        tokio::time::sleep(list_delay).await;
        if Arc::ptr_eq(&node, &self.node(position)) {
            self.replace_replica(position).await;
        }
    }

    /// Drains the replica at a position as planned, and starts a new one in its place.
    pub async fn replace_replica(self: Arc<Self>, position: usize) {
        let old = self.node(position);
        let number = self.nodes.lock().expect("the mutex is not poisoned").len();
        let id = self.features.replica_id(number);
        let new = ReplicaNode::start(&id, old.service, old.replica.kind).await;
        self.features.apply_to(&new.replica, number);
        self.nodes.lock().expect("the mutex is not poisoned").push(new.clone());
        self.current.lock().expect("the mutex is not poisoned")[position] = new.clone();
        self.publish_replica(&new, "ready");
        self.publish_replica(&old, "draining");
        old.leaving_since.lock().expect("the mutex is not poisoned").get_or_insert(Instant::now());
        tokio::time::sleep(DRAIN_BOUND).await;
        if self.features.crosses_closes {
            old.proxy.close_listener();
        }
        tokio::time::sleep(LEAVING_DURATION - DRAIN_BOUND).await;
        while self.features.crosses_closes && old.replica.open_streams.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(STREAM_POLL_INTERVAL).await;
        }
        old.gone_since.lock().expect("the mutex is not poisoned").get_or_insert(Instant::now());
        self.store.put(REPLICAS_TOPIC, &old.replica.id, None);
        old.proxy.set_fault(LinkFault::Reset);
    }

    /// Publishes the configuration of a version.
    pub fn publish_configuration(&self, version: u64) {
        let mut configuration = configuration(version, self.features.caller_timeout());
        if self.features.accounts {
            configuration["tenants"] = accounts(version);
        }
        self.store.put_json(OPERATOR_TOPIC, "config", &configuration);
        let published = Published { version, at: Instant::now() };
        self.published.lock().expect("the mutex is not poisoned").push(published);
    }
}

/// Name of the service to which the `moved` route points in a version of the configuration.
pub fn moved_service(version: u64) -> &'static str {
    if version.is_multiple_of(2) { OTHER_DESK_SERVICE } else { DESK_SERVICE }
}

fn configuration(version: u64, timeout: Duration) -> Value {
    let timeout_ms = timeout.as_millis() as u64;
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "service.example", "pathPrefix": format!("/{name}/"),
            "kind": kind, "timeoutMs": timeout_ms, "sloMs": 1000, "priority": 1, "service": service,
            "attempts": MAX_RUNS, "sticky": service == ENGINE_SERVICE,
            "canResume": name == "resumable", "gapTargetMs": 300
        })
    };
    let engine = json!({"slots": 64, "kvCapacity": 50000, "kvHoldS": 0.5, "holdMs": 2000.0});
    json!({
        "version": version,
        "routes": [
            route("stream", "stream", ENGINE_SERVICE),
            route("resumable", "stream", ENGINE_SERVICE),
            route("lookup", "safe", DESK_SERVICE),
            route("booking", "unsafe", DESK_SERVICE),
            route("moved", "unsafe", moved_service(version))
        ],
        "services": [
            {"name": ENGINE_SERVICE, "healthPath": "/healthz", "maxConns": 300, "protocol": "h1",
             "tls": false, "engine": engine},
            {"name": DESK_SERVICE, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1",
             "tls": false},
            {"name": OTHER_DESK_SERVICE, "healthPath": "/healthz", "maxConns": 100,
             "protocol": "h1", "tls": false}
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
         [bounds]\nretryRatio = {RETRY_RATIO}\nretrySlack = {RETRY_SLACK}\n\
         graceS = {}\napplyMs = {}\ndrainMs = {}\nstrictRevoke = true\nrevokeMs = {}\n",
        STOP_GRACE.as_secs(),
        APPLY_BOUND.as_millis(),
        DRAIN_BOUND.as_millis(),
        REVOKE_BOUND.as_millis()
    )
}

fn spawn(program: &Path, settings_file: &Path, log_file: &Path) -> Child {
    let log =
        File::options().create(true).append(true).open(log_file).expect("the log file is writable");
    Command::new(program)
        .env("BAMBOODOOR_CONFIG", settings_file)
        .stdout(Stdio::from(log))
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the entry program was built and can be started")
}
