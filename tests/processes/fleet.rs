//! The real programs on loopback, beside stand-ins in the test's process.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bamboodoor::manifest::fold::publish_record;
use standins::caller::Caller;
use standins::engine::Engine;
use standins::engine::EngineConfig;
use standins::instance_list::InstanceList;
use standins::instance_list::ListedInstance;
use standins::log::Log;
use standins::service::Service;
use tempfile::TempDir;

pub const HEARTBEAT_MS: u64 = 100;
pub const LEASE_TTL_MS: u64 = 1_000;
pub const MAX_CONNECTIONS: usize = 40;
const REGION: &str = "nordeste";
const ZONE: &str = "petrolina";
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// A program that was started.
pub struct Process {
    child: Child,
    pub name: String,
    pub address: SocketAddr,
    pub operators_address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    fn start(program: &str, name: &str, settings: &str, dir: &TempDir) -> Self {
        let file = dir.path().join(format!("{name}-{}.jsonc", rand::random::<u32>()));
        std::fs::write(&file, settings).expect("the directory is writable");
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program was built");
        let mut lines = BufReader::new(child.stdout.take().expect("is piped")).lines();
        let listening = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("\"payload\":\"listening\""))
            .expect("the program says where it listens");
        let json: serde_json::Value = serde_json::from_str(&listening).expect("is JSON");
        let address = |field: &str| {
            json["kv"][field].as_str().expect("is text").parse().expect("is an address")
        };
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().expect("no holder panics").push(line);
            }
        });
        let address_of_entries = address("address");
        let operators_address = address("operators_address");
        Self { child, name: name.to_string(), address: address_of_entries, operators_address, log }
    }

    /// Lines that the program logged after it listened.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("no holder panics").clone()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        assert!(status.expect("kill is there").success(), "{} is alive", self.name);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the exit and returns whether it was a success.
    pub fn wait_exit(&mut self) -> bool {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("is a child") {
                return status.success();
            }
            std::thread::sleep(POLL);
        }
        panic!("{} did not exit", self.name);
    }

    pub async fn status(&self) -> serde_json::Value {
        let (_, body) = Caller::new(self.operators_address).call("GET", "/status", None, "").await;
        serde_json::from_str(&body).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sizes of a fleet.
pub struct FleetConfig {
    pub prefills: usize,
    pub decodes: usize,
    pub services: usize,
    pub entries: usize,
    pub engine: EngineConfig,
}

impl Default for FleetConfig {
    fn default() -> Self {
        let engine =
            EngineConfig { kv_eviction: Duration::from_secs(5), ..EngineConfig::default() };
        Self { prefills: 1, decodes: 2, services: 1, entries: 1, engine }
    }
}

/// The programs and what stands around them.
pub struct Fleet {
    pub log: Arc<Log>,
    pub list: Arc<InstanceList>,
    pub prefills: Vec<Arc<Engine>>,
    pub decodes: Vec<Arc<Engine>>,
    pub services: Vec<Arc<Service>>,
    pub agents: Vec<Process>,
    pub entries: Vec<Process>,
    pub log_address: SocketAddr,
    list_address: SocketAddr,
    upstreams: Vec<(String, SocketAddr)>,
    dir: TempDir,
}

/// The manifest that most tests run with.
pub fn manifest(max_streams: u32) -> String {
    include_str!("manifest.jsonc")
        .replace("\"max_streams\": 8", &format!("\"max_streams\": {max_streams}"))
}

impl Fleet {
    pub async fn start(config: FleetConfig) -> Self {
        let (log, log_address) = Log::start().await;
        let (list, list_address) = InstanceList::start().await;
        let mut fleet = Self {
            log,
            list,
            prefills: Vec::new(),
            decodes: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            log_address,
            list_address,
            upstreams: Vec::new(),
            dir: TempDir::new().expect("a temporary directory can be made"),
        };
        fleet.publish(&manifest(8), 0);
        for number in 0..config.prefills {
            let (engine, address) = Engine::start(config.engine.clone()).await;
            fleet.prefills.push(engine);
            fleet.add_agent("prefill", number, address);
        }
        for number in 0..config.decodes {
            let (engine, address) = Engine::start(config.engine.clone()).await;
            fleet.decodes.push(engine);
            fleet.add_agent("decode", number, address);
        }
        for number in 0..config.services {
            let (service, address) = Service::start().await;
            fleet.services.push(service);
            fleet.add_agent("desk", number, address);
        }
        for number in 0..config.entries {
            fleet.add_entry(number);
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Appends a manifest to the log, and returns its generation.
    pub fn publish(&self, manifest: &str, based_on: u64) -> u64 {
        let record = publish_record(&rand::random::<u64>().to_string(), "test", based_on, manifest);
        self.log.append("manifest", &serde_json::to_string(&record).expect("is plain data")) + 1
    }

    /// Starts an agent for the upstream at `upstream` and puts it on the list.
    pub fn add_agent(&mut self, pool: &str, number: usize, upstream: SocketAddr) -> usize {
        let name = format!("{pool}-{number}");
        self.upstreams.push((name.clone(), upstream));
        let settings = serde_json::json!({
            "name": name, "listen": "127.0.0.1:0", "region": REGION, "zone": ZONE, "pool": pool,
            "upstream": upstream.to_string(), "heartbeat_ms": HEARTBEAT_MS,
            "lease_ttl_ms": LEASE_TTL_MS,
        });
        let program = env!("CARGO_BIN_EXE_bamboodoor-agent");
        let agent = Process::start(program, &name, &settings.to_string(), &self.dir);
        self.list_agent(&agent, pool);
        self.agents.push(agent);
        self.agents.len() - 1
    }

    fn list_agent(&self, agent: &Process, pool: &str) {
        self.list.put(ListedInstance {
            kind: "agent",
            name: agent.name.clone(),
            region: REGION.to_string(),
            zone: ZONE.to_string(),
            pool: pool.to_string(),
            address: agent.address.to_string(),
            leaving: false,
        });
    }

    /// Starts an entry and puts it on the list.
    pub fn add_entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let settings = serde_json::json!({
            "name": name, "listen": "127.0.0.1:0", "region": REGION, "zone": ZONE,
            "log": self.log_address.to_string(), "instance_list": self.list_address.to_string(),
            "heartbeat_ms": HEARTBEAT_MS, "lease_ttl_ms": LEASE_TTL_MS, "list_poll_ms": 100,
            "max_connections": MAX_CONNECTIONS,
        });
        let program = env!("CARGO_BIN_EXE_bamboodoor-entry");
        let entry = Process::start(program, &name, &settings.to_string(), &self.dir);
        self.list.put(ListedInstance {
            kind: "entry",
            name,
            region: REGION.to_string(),
            zone: ZONE.to_string(),
            pool: String::new(),
            address: String::new(),
            leaving: false,
        });
        self.entries.push(entry);
    }

    /// Waits until every entry knows every agent and all hold one generation.
    pub async fn wait_ready(&self) {
        let generation = self.entries_generation().await;
        for entry in &self.entries {
            eventually("the entry is connected", async || {
                let status = entry.status().await;
                status["ready"] == true && status["agents"] == self.agents.len()
            })
            .await;
        }
        for agent in &self.agents {
            eventually("the agent has the manifest", async || {
                agent.status().await["generation"].as_u64() >= Some(generation)
            })
            .await;
        }
        // The entries learn the sizes of the agents with the next heartbeat.
        tokio::time::sleep(Duration::from_millis(3 * HEARTBEAT_MS)).await;
    }

    async fn entries_generation(&self) -> u64 {
        let Some(entry) = self.entries.first() else { return 0 };
        eventually("the entry has a manifest", async || entry.status().await["generation"] != 0)
            .await;
        entry.status().await["generation"].as_u64().unwrap_or(0)
    }

    /// Addresses that callers may use.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Stops an agent as planned and starts its successor in the same slot.
    pub async fn replace_agent(&mut self, name: &str) {
        let index = self.agents.iter().position(|agent| agent.name == name).expect("was started");
        self.agents[index].signal("TERM");
        let mut old = self.agents.remove(index);
        let old = tokio::task::spawn_blocking(move || old.wait_exit()).await;
        assert!(old.expect("does not panic"), "{name} exits by itself");
        let (pool, number) = name.rsplit_once('-').expect("is pool and number");
        let number = number.parse().expect("is a number");
        self.add_agent(pool, number, self.upstream_of(name));
        self.wait_ready().await;
    }

    /// Stops an entry as planned and starts its successor.
    pub async fn replace_entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let index = self.entries.iter().position(|entry| entry.name == name).expect("was started");
        self.entries[index].signal("TERM");
        let mut old = self.entries.remove(index);
        let old = tokio::task::spawn_blocking(move || old.wait_exit()).await;
        assert!(old.expect("does not panic"), "{name} exits by itself");
        self.add_entry(number);
        self.wait_ready().await;
    }

    /// Address of the upstream beside an agent.
    pub fn upstream_of(&self, name: &str) -> SocketAddr {
        self.upstreams.iter().find(|(agent, _)| agent == name).expect("was started").1
    }

    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].address)
    }

    /// Blocks that the engines hold.
    pub fn held_blocks(&self) -> u32 {
        self.decodes.iter().map(|engine| engine.held_blocks()).sum()
    }

    /// Calls that ran at any of the services.
    pub fn calls_run(&self) -> usize {
        self.services.iter().map(|service| service.calls().len()).sum()
    }
}

/// Waits until `holds` returns true, and fails the test if it does not.
pub async fn eventually(what: &str, holds: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < deadline, "in time: {what}");
        tokio::time::sleep(POLL).await;
    }
}
