//! Test fleet: the real programs as child processes on loopback, with stand-ins
//! for the log, the instance list, the engines and the services in the test
//! process.

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

/// Interval of the heartbeats between agents and entries.
pub const HEARTBEAT_MS: u64 = 100;
/// Time to live of the leases between agents and entries: how long each waits for a
/// message of the other.
pub const LEASE_TTL_MS: u64 = 1_000;
/// Largest number of open connections that each entry accepts.
pub const MAX_CONNECTIONS: usize = 40;
const REGION: &str = "nordeste";
const ZONE: &str = "petrolina";
/// Longest wait for an expected state before the test fails.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Pause between two checks for an expected state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Running entry or agent, killed when dropped.
pub struct Process {
    child: Child,
    pub name: String,
    /// Address for callers (entry) or for entries (agent).
    pub address: SocketAddr,
    /// Address of the operators' listener.
    pub operators_address: SocketAddr,
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program, and waits until it logs the addresses on which it listens.
    fn start(program: &str, name: &str, settings: &str, dir: &TempDir) -> Self {
        let file = dir.path().join(format!("{name}-{}.jsonc", rand::random::<u32>()));
        std::fs::write(&file, settings).expect("the settings file can be written");
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program can be started");
        let mut lines =
            BufReader::new(child.stdout.take().expect("standard output is piped")).lines();
        let listening = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("\"payload\":\"listening\""))
            .expect("the program logs the addresses on which it listens");
        let json: serde_json::Value =
            serde_json::from_str(&listening).expect("the log line is JSON");
        let address = |field: &str| {
            json["kv"][field]
                .as_str()
                .expect("the field is text")
                .parse()
                .expect("the field is an address")
        };
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        let collected = log_lines.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                collected.lock().expect("the mutex is not poisoned").push(line);
            }
        });
        let listen_address = address("address");
        let operators_address = address("operators_address");
        Self {
            child,
            name: name.to_string(),
            address: listen_address,
            operators_address,
            log_lines,
        }
    }

    /// Returns the lines that the program has logged since it started to listen.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().expect("the mutex is not poisoned").clone()
    }

    /// Sends a signal by its name without `SIG`, such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        assert!(
            status.expect("the kill command can be run").success(),
            "{} is not running",
            self.name
        );
    }

    /// Kills the process and waits for its end; does nothing if it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits. Returns true if it exited with status 0.
    /// Panics if it does not exit in time.
    pub fn wait_exit(&mut self) -> bool {
        let deadline = Instant::now() + MAX_WAIT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the exit status can be read") {
                return status.success();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("{} did not exit within {MAX_WAIT:?}", self.name);
    }

    /// Returns the JSON of the operators' page `/status`; null if the process does not
    /// respond with JSON.
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

/// Numbers of stand-in upstreams of each kind and of entries, and the settings of the
/// stand-in engines. Each upstream gets an agent.
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

/// Running entries and agents, and the stand-ins that they work with.
pub struct Fleet {
    pub log: Arc<Log>,
    pub instance_list: Arc<InstanceList>,
    pub prefills: Vec<Arc<Engine>>,
    pub decodes: Vec<Arc<Engine>>,
    pub services: Vec<Arc<Service>>,
    pub agents: Vec<Process>,
    pub entries: Vec<Process>,
    pub log_address: SocketAddr,
    instance_list_address: SocketAddr,
    /// Name of each agent, with the address of its upstream.
    upstreams: Vec<(String, SocketAddr)>,
    dir: TempDir,
}

/// Returns the manifest of the tests, with `max_streams` as the limit on the streams
/// of a decode engine. The fleet starts with a limit of 8.
pub fn manifest(max_streams: u32) -> String {
    include_str!("manifest.jsonc")
        .replace("\"max_streams\": 8", &format!("\"max_streams\": {max_streams}"))
}

impl Fleet {
    /// Starts the stand-ins and programs, and waits until they are ready.
    pub async fn start(config: FleetConfig) -> Self {
        let (log, log_address) = Log::start().await;
        let (instance_list, instance_list_address) = InstanceList::start().await;
        let mut fleet = Self {
            log,
            instance_list,
            prefills: Vec::new(),
            decodes: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            log_address,
            instance_list_address,
            upstreams: Vec::new(),
            dir: TempDir::new().expect("a temporary directory can be created"),
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

    /// Appends a manifest to the log, written against the generation `based_on`.
    /// Returns the generation that the manifest has if it is accepted.
    pub fn publish(&self, manifest: &str, based_on: u64) -> u64 {
        let record = publish_record(&rand::random::<u64>().to_string(), "test", based_on, manifest);
        self.log.append(
            "manifest",
            &serde_json::to_string(&record).expect("the record can be serialized"),
        ) + 1
    }

    /// Starts an agent for the upstream at `upstream`, adds it to the instance
    /// list, and returns its index in `agents`.
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

    /// Adds an agent to the instance list, or replaces its predecessor there.
    fn list_agent(&self, agent: &Process, pool: &str) {
        self.instance_list.put(ListedInstance {
            kind: "agent",
            name: agent.name.clone(),
            region: REGION.to_string(),
            zone: ZONE.to_string(),
            pool: pool.to_string(),
            address: agent.address.to_string(),
            leaving: false,
        });
    }

    /// Starts an entry and adds it to the instance list.
    pub fn add_entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let settings = serde_json::json!({
            "name": name, "listen": "127.0.0.1:0", "region": REGION, "zone": ZONE,
            "log": self.log_address.to_string(),
            "instance_list": self.instance_list_address.to_string(),
            "heartbeat_ms": HEARTBEAT_MS, "lease_ttl_ms": LEASE_TTL_MS, "list_poll_ms": 100,
            "max_connections": MAX_CONNECTIONS,
        });
        let program = env!("CARGO_BIN_EXE_bamboodoor-entry");
        let entry = Process::start(program, &name, &settings.to_string(), &self.dir);
        self.instance_list.put(ListedInstance {
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

    /// Waits until every entry is ready and connected to every agent, and every
    /// agent has the generation of the first entry.
    pub async fn wait_ready(&self) {
        let generation = self.first_entry_generation().await;
        for entry in &self.entries {
            eventually("the entry is ready and connected to all agents", async || {
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
        // The entries learn the capacity of the agents with the next heartbeat.
        tokio::time::sleep(Duration::from_millis(3 * HEARTBEAT_MS)).await;
    }

    /// Waits until the first entry has a manifest, and returns its generation.
    /// Returns 0 without entries.
    async fn first_entry_generation(&self) -> u64 {
        let Some(entry) = self.entries.first() else { return 0 };
        eventually("the entry has a manifest", async || entry.status().await["generation"] != 0)
            .await;
        entry.status().await["generation"].as_u64().unwrap_or(0)
    }

    /// Returns the addresses of the entries for callers.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Shuts an agent down gracefully, and starts its successor under the same name and
    /// for the same upstream. Waits until all processes are ready.
    pub async fn replace_agent(&mut self, name: &str) {
        let index =
            self.agents.iter().position(|agent| agent.name == name).expect("the agent was started");
        self.agents[index].signal("TERM");
        let mut old = self.agents.remove(index);
        let old = tokio::task::spawn_blocking(move || old.wait_exit()).await;
        assert!(
            old.expect("the blocking task does not panic"),
            "{name} did not exit with status 0"
        );
        let (pool, number) = name.rsplit_once('-').expect("the name consists of pool and number");
        let number = number.parse().expect("the name ends with a number");
        self.add_agent(pool, number, self.upstream_of(name));
        self.wait_ready().await;
    }

    /// Shuts an entry down gracefully, and starts its successor under the same name.
    /// Waits until all processes are ready.
    pub async fn replace_entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let index = self
            .entries
            .iter()
            .position(|entry| entry.name == name)
            .expect("the entry was started");
        self.entries[index].signal("TERM");
        let mut old = self.entries.remove(index);
        let old = tokio::task::spawn_blocking(move || old.wait_exit()).await;
        assert!(
            old.expect("the blocking task does not panic"),
            "{name} did not exit with status 0"
        );
        self.add_entry(number);
        self.wait_ready().await;
    }

    /// Returns the address of the upstream of the agent with this name.
    pub fn upstream_of(&self, name: &str) -> SocketAddr {
        self.upstreams.iter().find(|(agent, _)| agent == name).expect("the agent was started").1
    }

    /// Returns a caller of the entry at this index.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].address)
    }

    /// Returns the number of KV cache blocks in use at all decode engines together.
    pub fn held_blocks(&self) -> u32 {
        self.decodes.iter().map(|engine| engine.held_blocks()).sum()
    }

    /// Returns the number of calls that ran at all services together.
    pub fn calls_run(&self) -> usize {
        self.services.iter().map(|service| service.calls().len()).sum()
    }
}

/// Waits until `condition` returns true. Panics with the text `what`, which states the
/// condition, if it does not in time.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + MAX_WAIT;
    while !condition().await {
        assert!(Instant::now() < deadline, "not within {MAX_WAIT:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
