//! Starts a whole fleet in one process: stand-ins, agents and entries on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bamboodoor::daemon::agent::RunningAgent;
use bamboodoor::daemon::entry::RunningEntry;
use bamboodoor::manifest::Snapshot;
use bamboodoor::manifest::fold::publish_record;
use bamboodoor::schema::manifest::Pool;
use bamboodoor::schema::manifest::pool::Role;
use bamboodoor::schema::settings::AgentSettings;
use bamboodoor::schema::settings::EntrySettings;
use standins::engine::Engine;
use standins::engine::EngineConfig;
use standins::instance_list::InstanceList;
use standins::instance_list::ListedInstance;
use standins::log::Log;
use standins::service::Service;

const ZONES: [&str; 3] = ["petrolina", "juazeiro", "caruaru"];
const REGION: &str = "nordeste";
/// Number of entries in the fleet.
pub const ENTRIES: usize = 3;
/// Longest wait for the engines to free their blocks.
const FREE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running fleet, with the engines and services that it serves.
pub struct Fleet {
    instance_list: Arc<InstanceList>,
    instance_list_address: SocketAddr,
    log_address: SocketAddr,
    engines: Vec<Arc<Engine>>,
    services: Vec<Arc<Service>>,
    agents: Vec<RunningAgent>,
    entries: Vec<RunningEntry>,
}

impl Fleet {
    /// Starts all pools of the manifest and the entries, and waits until every entry is
    /// ready and connected to every agent.
    pub async fn start(manifest: &str) -> Self {
        let (log, log_address) = Log::start().await;
        let (instance_list, instance_list_address) = InstanceList::start().await;
        let record = publish_record("quickstart", "quickstart", 0, manifest);
        log.append(
            "manifest",
            &serde_json::to_string(&record).expect("a manifest record can be serialized as JSON"),
        );
        let snapshot = Snapshot::parse(1, manifest).expect("the example manifest is valid");
        let mut fleet = Self {
            instance_list,
            instance_list_address,
            log_address,
            engines: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
        };
        for pool in &snapshot.manifest.pools {
            for replica in 0..pool.replicas {
                fleet.add_replica(pool, replica as usize).await;
            }
        }
        for number in 0..ENTRIES {
            fleet.add_entry(number).await;
        }
        fleet.wait_until_ready().await;
        fleet
    }

    async fn add_replica(&mut self, pool: &Pool, replica: usize) {
        let upstream = if pool.role() == Role::Service {
            let (service, address) = Service::start().await;
            self.services.push(service);
            address
        } else {
            let (engine, address) = Engine::start(engine_config(pool)).await;
            self.engines.push(engine);
            address
        };
        let zone = ZONES[replica % ZONES.len()];
        let name = format!("{}-{replica}", pool.name);
        let settings = AgentSettings {
            name: name.clone(),
            listen: "127.0.0.1:0".to_string(),
            operators_listen: "127.0.0.1:0".to_string(),
            region: REGION.to_string(),
            zone: zone.to_string(),
            pool: pool.name.clone(),
            upstream: upstream.to_string(),
            heartbeat_ms: 200,
            lease_ttl_ms: 2_000,
            tombstone_ms: 60_000,
            max_manifest_bytes: 1 << 20,
            ..AgentSettings::default()
        };
        let agent = RunningAgent::start(&settings).await.expect("loopback has free ports");
        self.instance_list.put(ListedInstance {
            kind: "agent",
            name,
            region: REGION.to_string(),
            zone: zone.to_string(),
            pool: pool.name.clone(),
            address: agent.address.to_string(),
            leaving: false,
        });
        self.agents.push(agent);
    }

    async fn add_entry(&mut self, number: usize) {
        let zone = ZONES[number % ZONES.len()];
        let text = format!(
            r#"{{ "name": "entry-{number}", "listen": "127.0.0.1:0", "region": "{REGION}",
                 "zone": "{zone}", "log": "{}", "instance_list": "{}",
                 "heartbeat_ms": 200, "lease_ttl_ms": 2000, "list_poll_ms": 200 }}"#,
            self.log_address, self.instance_list_address
        );
        let settings: EntrySettings =
            bamboodoor::settings::parse_entry(&text).expect("the settings are valid");
        let entry = RunningEntry::start(&settings).await.expect("loopback has free ports");
        self.instance_list.put(ListedInstance {
            kind: "entry",
            name: settings.name,
            region: REGION.to_string(),
            zone: zone.to_string(),
            pool: String::new(),
            address: String::new(),
            leaving: false,
        });
        self.entries.push(entry);
    }

    async fn wait_until_ready(&self) {
        let agents = format!("\"agents\":{}", self.agents.len());
        for entry in &self.entries {
            loop {
                let client = standins::caller::Caller::new(entry.operators_address);
                let (_, status) = client.call("GET", "/status", None, "").await;
                if status.contains(&agents) && status.contains("\"ready\":true") {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        // Wait for two heartbeat intervals, so that at least one more heartbeat is sent, after
        // which every agent has the manifest.
        tokio::time::sleep(Duration::from_millis(400)).await;
    }

    /// Returns the address of an entry; numbers go round robin over the entries.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        self.entries[number % self.entries.len()].address
    }

    /// Waits until the engines hold no blocks, for 5 s at most, and returns how many they
    /// still hold.
    pub async fn wait_until_blocks_freed(&self) -> u32 {
        let deadline = tokio::time::Instant::now() + FREE_TIMEOUT;
        loop {
            let held: u32 = self.engines.iter().map(|engine| engine.held_blocks()).sum();
            if held == 0 || tokio::time::Instant::now() >= deadline {
                return held;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of prefills that ran and of streams that were started.
    pub fn prefills_and_streams(&self) -> (u64, u64) {
        let prefills = self.engines.iter().map(|engine| engine.prefill_totals().1).sum();
        let streams = self.engines.iter().map(|engine| engine.started_streams().len() as u64).sum();
        (prefills, streams)
    }

    /// Returns how many price submissions the services ran.
    pub fn submissions_run(&self) -> usize {
        let ran = self.services.iter().flat_map(|service| service.calls());
        ran.filter(|call| call.method == "POST").count()
    }
}

fn engine_config(pool: &Pool) -> EngineConfig {
    let defaults = EngineConfig::default();
    EngineConfig {
        blocks: pool.blocks,
        block_tokens: pool.block_tokens.max(1),
        prefill_tokens_per_s: pool.prefill_tokens_per_s.max(1),
        step_base: Duration::from_micros(pool.step_base_us.into()),
        step_per_stream: Duration::from_micros(pool.step_per_stream_us.into()),
        checks_fencing: pool.checks_fencing,
        ..defaults
    }
}
