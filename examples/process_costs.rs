//! Measures the costs of real processes: memory and processor time when idle and under
//! load, and the time until a manifest is in force at every process.
//!
//! Run with `cargo build --release && cargo run --release --example process_costs`

#[path = "capacity/fit.rs"]
mod fit;
#[path = "process_costs/process.rs"]
mod process;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bamboodoor::manifest::fold::publish_record;
use fit::Points;
use process::Process;
use standins::caller::Caller;
use standins::engine::Engine;
use standins::engine::EngineConfig;
use standins::instance_list::InstanceList;
use standins::instance_list::ListedInstance;
use standins::log::Log;

const MANIFEST: &str = include_str!("associacao.jsonc");
/// Interval between two reads of the status of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time over which the processor time of idle processes is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Agents and one entry as processes, with a stand-in log, instance list and engines.
struct Fleet {
    log: Arc<Log>,
    log_address: SocketAddr,
    instance_list: Arc<InstanceList>,
    instance_list_address: SocketAddr,
    agents: Vec<Process>,
    entry: Option<Process>,
    /// Generation of the manifest that was published last; 0 before the first.
    generation: u64,
}

impl Fleet {
    async fn start(prefills: usize, decodes: usize) -> Self {
        let (log, log_address) = Log::start().await;
        let (instance_list, instance_list_address) = InstanceList::start().await;
        let mut fleet = Self {
            log,
            log_address,
            instance_list,
            instance_list_address,
            agents: Vec::new(),
            entry: None,
            generation: 0,
        };
        fleet.publish(MANIFEST);
        for number in 0..prefills {
            fleet.add_agent("redator-prefill", number).await;
        }
        for number in 0..decodes {
            fleet.add_agent("redator-decode", number).await;
        }
        let settings = serde_json::json!({
            "name": "entry-0", "listen": "127.0.0.1:0", "region": "nordeste", "zone": "petrolina",
            "log": log_address.to_string(), "instance_list": instance_list_address.to_string(),
            "log_level": "warn",
        });
        let operators_address = process::unused_address();
        let callers_address = process::unused_address();
        fleet.entry =
            Some(Process::start("bamboodoor-entry", &settings, callers_address, operators_address));
        fleet.wait_until_in_force().await;
        fleet
    }

    /// Appends a manifest to the log as the next generation.
    fn publish(&mut self, manifest: &str) {
        let record =
            publish_record(&self.generation.to_string(), "costs", self.generation, manifest);
        let text =
            serde_json::to_string(&record).expect("a manifest record can be serialized as JSON");
        self.generation = self.log.append("manifest", &text) + 1;
    }

    async fn add_agent(&mut self, pool: &str, number: usize) {
        let engine = EngineConfig { step_per_stream: Duration::ZERO, ..EngineConfig::default() };
        let (_engine, upstream) = Engine::start(engine).await;
        let name = format!("{pool}-{number}");
        let settings = serde_json::json!({
            "name": name, "region": "nordeste", "zone": "petrolina", "pool": pool,
            "upstream": upstream.to_string(), "log_level": "warn",
        });
        let (entries_address, operators_address) =
            (process::unused_address(), process::unused_address());
        let agent =
            Process::start("bamboodoor-agent", &settings, entries_address, operators_address);
        self.instance_list.put(ListedInstance {
            kind: "agent",
            name,
            region: "nordeste".to_string(),
            zone: "petrolina".to_string(),
            pool: pool.to_string(),
            address: entries_address.to_string(),
            leaving: false,
        });
        self.agents.push(agent);
    }

    fn entry(&self) -> &Process {
        self.entry.as_ref().expect("the entry was started")
    }

    /// Waits until the last published manifest is in force at every process.
    async fn wait_until_in_force(&self) {
        let _ = (self.log_address, self.instance_list_address);
        let wanted = format!("\"generation\":{},", self.generation);
        for process in self.agents.iter().chain(&self.entry) {
            loop {
                let caller = Caller::new(process.operators_address);
                if caller.call("GET", "/status", None, "").await.1.contains(&wanted) {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Sends streamed requests and returns the number of tokens received.
    async fn send_requests(&self, requests: usize, max_tokens: u32) -> usize {
        let mut tasks = Vec::new();
        for number in 0..requests {
            let caller = Caller::new(self.entry().address);
            tasks.push(tokio::spawn(async move {
                let prompt = format!("boletim {number} {}", "lote 14 ovelha 38 kg\n".repeat(60));
                let streamed =
                    caller.stream_completion("redator", &prompt, max_tokens, "boletim").await;
                streamed.token_intervals.len() + usize::from(!streamed.text.is_empty())
            }));
            tokio::time::sleep(Duration::from_millis(12)).await;
        }
        let mut tokens = 0;
        for task in tasks {
            tokens += task.await.expect("a request task does not panic");
        }
        tokens
    }
}

#[tokio::main]
async fn main() {
    println!("| what | sizes | values | slope | fixed part | residual |");
    println!("| --- | --- | --- | --- | --- | --- |");
    measure_idle().await;
    measure_load().await;
    measure_rollout().await;
}

/// Measures memory and processor time without requests, by number of agents.
async fn measure_idle() {
    let sizes = [4, 10, 20, 40];
    let mut entry_memory = Vec::new();
    let mut entry_time = Vec::new();
    let mut agent_memory = Vec::new();
    let mut agent_time = Vec::new();
    for agents in sizes {
        let fleet = Fleet::start(agents / 2, agents - agents / 2).await;
        let (entry_before, agent_before) = (fleet.entry().cpu_ms(), fleet.agents[0].cpu_ms());
        tokio::time::sleep(IDLE_PERIOD).await;
        entry_time.push((fleet.entry().cpu_ms() - entry_before) / IDLE_PERIOD.as_secs_f64());
        agent_time.push((fleet.agents[0].cpu_ms() - agent_before) / IDLE_PERIOD.as_secs_f64());
        entry_memory.push(fleet.entry().resident_mb());
        agent_memory.push(fleet.agents[0].resident_mb());
    }
    let print = |quantity, unit, values| {
        let sizes = sizes.iter().map(|&size| size as f64).collect();
        Points { quantity, unit, sizes, values }.print();
    };
    print("entry process at rest", "MB resident over agents", entry_memory);
    print("entry process at rest", "ms a second over agents", entry_time);
    print("agent process at rest", "MB resident over agents", agent_memory);
    print("agent process at rest", "ms a second over agents", agent_time);
}

/// Measures the processor time of entry and agents under load, by number of tokens.
async fn measure_load() {
    let fleet = Fleet::start(4, 8).await;
    fleet.send_requests(50, 16).await;
    let requests = 300;
    let mut tokens = Vec::new();
    let mut entry_ms = Vec::new();
    let mut agents_ms = Vec::new();
    for max_tokens in [8, 24, 48, 72] {
        let agents_cpu_ms = || fleet.agents.iter().map(Process::cpu_ms).sum::<f64>();
        let (entry_before, agents_before) = (fleet.entry().cpu_ms(), agents_cpu_ms());
        let received = fleet.send_requests(requests, max_tokens).await;
        tokens.push(received as f64);
        entry_ms.push(fleet.entry().cpu_ms() - entry_before);
        agents_ms.push(agents_cpu_ms() - agents_before);
    }
    let (quantity, unit) = ("entry process, 300 requests", "ms over tokens");
    Points { quantity, unit, sizes: tokens.clone(), values: entry_ms }.print();
    let quantity = "agent processes, 300 requests";
    Points { quantity, unit, sizes: tokens, values: agents_ms }.print();
    let memory = fleet.entry().resident_mb();
    println!("| entry process after the load (MB resident) | | {memory:.1} | | | |");
}

/// Measures the time until a new manifest is in force at every process, by number of
/// agents.
async fn measure_rollout() {
    let sizes = [5, 20, 40, 80];
    let mut values = Vec::new();
    for agents in sizes {
        let mut fleet = Fleet::start(agents / 2, agents - agents / 2).await;
        let mut max_ms: f64 = 0.0;
        for change in 0..5 {
            let name = format!("\"name\": \"associacao-{change}\"");
            let started = Instant::now();
            fleet.publish(&MANIFEST.replace("\"name\": \"associacao\"", &name));
            fleet.wait_until_in_force().await;
            max_ms = max_ms.max(started.elapsed().as_secs_f64() * 1e3);
        }
        values.push(max_ms);
    }
    let sizes = sizes.iter().map(|&size| size as f64).collect();
    let (quantity, unit) = ("manifest in force, longest of 5", "ms over agents");
    Points { quantity, unit, sizes, values }.print();
}
