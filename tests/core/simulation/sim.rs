//! Simulated entries and agents in virtual time, with their connections, the log, the
//! upstreams and the faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bamboodoor::agent::AgentAction;
use bamboodoor::agent::AgentConfig;
use bamboodoor::agent::AgentCore;
use bamboodoor::agent::AgentEvent;
use bamboodoor::agent::UpstreamEvent;
use bamboodoor::entry::EntryAction;
use bamboodoor::entry::EntryConfig;
use bamboodoor::entry::EntryCore;
use bamboodoor::entry::request::IncomingCall;
use bamboodoor::entry::request::IncomingGeneration;
use bamboodoor::entry::request::IncomingRequest;
use bamboodoor::entry::request::IncomingWork;
use bamboodoor::entry::request::RequestKey;
use bamboodoor::manifest::Snapshot;
use bamboodoor::manifest::fold::publish_record;
use bamboodoor::policy::agents::AgentKey;
use bamboodoor::schema::record::ClaimBatch;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulation::checker::Checker;
use crate::simulation::checker::RequestKind;
use crate::simulation::checker::RequestNumber;
use crate::simulation::fakes::FakeEngine;

const MANIFEST: &str = include_str!("../../processes/manifest.jsonc");
const STEPS_WITH_FAULTS: usize = 1_500;
const STEPS_WITHOUT_FAULTS: usize = 6_000;
const STEP: Duration = Duration::from_millis(10);
const POOLS: [&str; 3] = ["prefill", "decode", "desk"];
const AGENTS_PER_POOL: usize = 2;
const ENTRIES: usize = 2;
/// Time after which both ends of an unresponsive connection treat it as lost: the
/// default `lease_ttl` of agents and entries.
const LEASE_TTL: Duration = Duration::from_secs(3);
/// How long an entry stays frozen: longer than `LEASE_TTL`, so that its leases expire.
const FREEZE_DURATION: Duration = Duration::from_secs(4);
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
const LOG_OUTAGE: Duration = Duration::from_millis(800);
/// Number of idempotency keys that the callers share.
const IDEMPOTENCY_KEYS: u64 = 30;

/// Probability of each fault, 0 to 1: in a step, or each time that it can happen.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub disconnect_caller: f64,
    pub cut_connection: f64,
    /// A connection carries nothing for a while, and neither end is notified.
    pub partition_connection: f64,
    pub kill_agent: f64,
    pub kill_entry: f64,
    pub freeze_entry: f64,
    pub stall_transfer: f64,
    /// The connection that carries a stream from the engine to the agent breaks.
    pub cut_stream: f64,
    pub fail_prefill: f64,
    /// A request to the engine to cancel an attempt has no effect and gets no response.
    pub lose_cancel: f64,
    /// A service runs a call, but its response does not reach the agent.
    pub lose_call_response: f64,
    pub log_outage: f64,
    /// A batch is appended, but the log's response does not reach the entry.
    pub lose_append_response: f64,
    pub slow_call: f64,
    /// An agent is told to leave. Once drained it exits and is replaced.
    pub drain_agent: f64,
    /// An entry is told to leave. Once drained it exits and is replaced.
    pub drain_entry: f64,
}

/// Agent with the engine beside it. A plain service keeps no state, so the engine of its
/// agent stays empty.
struct Agent {
    core: AgentCore,
    engine: FakeEngine,
    incarnation: u64,
}

struct Entry {
    core: EntryCore,
    incarnation: u64,
    frozen_until: Duration,
    /// Key of each agent that has connected to the entry, by the agent's index; it stays
    /// when the connection is lost.
    agent_keys: BTreeMap<usize, AgentKey>,
    requests: BTreeMap<RequestKey, RequestNumber>,
    /// Number of claim records that the entry has read from the log.
    claims_read: usize,
}

/// Connection between an entry and an agent.
#[derive(Default)]
struct Connection {
    connected: bool,
    /// Closed at the agent's end; the entry detects that after the queued messages.
    closed: bool,
    /// The entry does not reconnect before this time.
    down_until: Duration,
    partitioned_from: Duration,
    partitioned_until: Duration,
    to_agent: VecDeque<ToAgent>,
    to_entry: VecDeque<ToEntry>,
}

/// Event that an upstream reports to its agent at a later time.
struct ScheduledEvent {
    at: Duration,
    agent: usize,
    incarnation: u64,
    event: UpstreamEvent,
}

/// Simulation of a fleet, with one random number generator for all choices.
pub struct Sim {
    now: Duration,
    rng: ChaCha8Rng,
    faults: Faults,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    /// Connections by the indexes of entry and agent.
    connections: BTreeMap<(usize, usize), Connection>,
    scheduled: Vec<ScheduledEvent>,
    /// KV caches whose transfer will succeed but has not ended: the request of each, by
    /// attempt.
    transferring: BTreeMap<(u64, u64, u32), RequestNumber>,
    /// Claim records of the log, by offset.
    log: Vec<ClaimBatch>,
    log_down_until: Duration,
    /// Appends in flight: when they arrive, the entry and its incarnation, and the batch.
    pending_appends: Vec<(Duration, usize, u64, ClaimBatch)>,
    /// Messages that a partition delays: when they arrive, the agent, the incarnation of
    /// the entry, and the message.
    delayed_messages: Vec<(Duration, usize, u64, ToAgent)>,
    checker: Checker,
    decisions: BTreeSet<String>,
    exited_agents: Vec<usize>,
    exited_entries: Vec<usize>,
    next_number: RequestNumber,
    /// Incarnation that was allocated last, to an agent or an entry.
    last_incarnation: u64,
}

impl Sim {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut sim = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            agents: Vec::new(),
            entries: Vec::new(),
            connections: BTreeMap::new(),
            scheduled: Vec::new(),
            transferring: BTreeMap::new(),
            log: Vec::new(),
            log_down_until: Duration::ZERO,
            pending_appends: Vec::new(),
            delayed_messages: Vec::new(),
            checker: Checker::default(),
            decisions: BTreeSet::new(),
            exited_agents: Vec::new(),
            exited_entries: Vec::new(),
            next_number: 1,
            last_incarnation: 1,
        };
        for agent in 0..POOLS.len() * AGENTS_PER_POOL {
            let node = sim.new_agent(agent, FakeEngine::default());
            sim.agents.push(node);
            sim.start_agent(agent);
        }
        for entry in 0..ENTRIES {
            let node = sim.new_entry(entry);
            sim.entries.push(node);
        }
        sim
    }

    fn allocate_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }

    fn new_agent(&mut self, agent: usize, engine: FakeEngine) -> Agent {
        let incarnation = self.allocate_incarnation();
        let core = AgentCore::new(AgentConfig {
            name: format!("agent-{agent}").into(),
            pool: POOLS[agent / AGENTS_PER_POOL].into(),
            upstream: format!("{agent}").into(),
            incarnation,
            ..AgentConfig::default()
        });
        Agent { core, engine, incarnation }
    }

    fn start_agent(&mut self, agent: usize) {
        let snapshot = Arc::new(Snapshot::parse(1, MANIFEST).expect("the manifest is valid"));
        let mut out = Vec::new();
        self.agents[agent].core.adopt(snapshot, &mut out);
        self.execute_agent_actions(agent, out);
    }

    fn new_entry(&mut self, entry: usize) -> Entry {
        let incarnation = self.allocate_incarnation();
        let mut core = EntryCore::new(EntryConfig {
            name: format!("entry-{entry}").into(),
            incarnation,
            ..EntryConfig::default()
        });
        let record = publish_record("sim", "sim", 0, MANIFEST);
        let text =
            serde_json::to_string(&record).expect("a manifest record can be serialized as JSON");
        core.set_log_reachable(true);
        core.on_manifest_start(0);
        core.on_manifest_record(self.now, 0, Duration::ZERO, &text, &mut Vec::new());
        Entry {
            core,
            incarnation,
            frozen_until: Duration::ZERO,
            agent_keys: BTreeMap::new(),
            requests: BTreeMap::new(),
            claims_read: 0,
        }
    }

    /// Sends requests and injects faults at random.
    pub fn run_with_faults(&mut self) {
        for _ in 0..STEPS_WITH_FAULTS {
            self.inject_faults();
            if self.rng.random_bool(0.15) {
                self.send_request();
            }
            self.step();
        }
    }

    /// Continues without new faults or requests until every request has had time to end.
    pub fn run_without_faults(&mut self) {
        self.faults = Faults::default();
        self.log_down_until = Duration::ZERO;
        for _ in 0..STEPS_WITHOUT_FAULTS {
            self.step();
        }
    }

    /// All violations of the invariants, including capacity that is still in use at an
    /// agent or engine.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.checker.violations();
        for (number, agent) in self.agents.iter().enumerate() {
            let running = agent.engine.running();
            if !running.is_empty() || agent.core.held_blocks() > 0 {
                violations.push(format!(
                    "agent {number} still has reserved blocks or running attempts: {running:?}"
                ));
            }
        }
        violations
    }

    /// Requests that ended without a response though they may have run, and those whose
    /// caller disconnected or whose entry was killed.
    pub fn cut_off_requests(&self) -> Vec<String> {
        self.checker.cut_off_requests()
    }

    /// Names of all decisions in the decision records of the entries.
    pub fn decisions(&self) -> &BTreeSet<String> {
        &self.decisions
    }

    /// Share of the requests that got a whole response, 0 to 1.
    pub fn complete_share(&self) -> f64 {
        self.checker.complete_share()
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Replaces the agents and entries that exited after they were drained.
    fn replace_exited(&mut self) {
        for agent in std::mem::take(&mut self.exited_agents) {
            for entry in 0..ENTRIES {
                // The last messages of the agent still arrive; those in flight to it
                // are lost.
                let connection = self.connections.entry((entry, agent)).or_default();
                connection.closed |= connection.connected;
                connection.connected = false;
                connection.to_agent.clear();
            }
            self.replace_agent(agent);
        }
        for entry in std::mem::take(&mut self.exited_entries) {
            self.kill_entry(entry);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.replace_exited();
        self.deliver_delayed_messages();
        self.reconnect();
        for entry in 0..ENTRIES {
            for agent in 0..self.agents.len() {
                if self.is_running(entry) {
                    self.detect_partition(entry, agent);
                }
            }
        }
        self.run_upstreams();
        self.run_log();
        for entry in 0..ENTRIES {
            for agent in 0..self.agents.len() {
                self.deliver(entry, agent);
            }
        }
        for agent in 0..self.agents.len() {
            self.handle_agent_event(agent, AgentEvent::Tick);
        }
        for entry in 0..ENTRIES {
            if self.is_running(entry) {
                let mut out = Vec::new();
                self.entries[entry].core.tick(self.now, &mut out);
                self.execute_entry_actions(entry, out);
            }
        }
    }

    /// True unless the entry is frozen.
    fn is_running(&self, entry: usize) -> bool {
        self.now >= self.entries[entry].frozen_until
    }

    fn reconnect(&mut self) {
        for entry in 0..ENTRIES {
            for agent in 0..self.agents.len() {
                let connection = self.connections.entry((entry, agent)).or_default();
                let can_connect = !connection.connected
                    && !connection.closed
                    && self.now >= connection.down_until;
                if can_connect && self.is_running(entry) {
                    self.connect(entry, agent);
                }
            }
        }
    }

    fn connect(&mut self, entry: usize, agent: usize) {
        let connection = self.connections.entry((entry, agent)).or_default();
        *connection = Connection { connected: true, ..Connection::default() };
        let hello = wire::EntryHello {
            entry: self.entries[entry].incarnation,
            name: format!("entry-{entry}"),
            generation: 1,
        };
        self.handle_agent_event(agent, AgentEvent::EntryConnected(hello));
    }

    fn cut_connection(&mut self, entry: usize, agent: usize) {
        let connection = self.connections.entry((entry, agent)).or_default();
        if !connection.connected {
            return;
        }
        *connection = Connection { closed: true, ..Connection::default() };
        let incarnation = self.entries[entry].incarnation;
        self.handle_agent_event(agent, AgentEvent::EntryDisconnected { entry: incarnation });
    }

    /// Tells the entry that a connection closed.
    fn detect_disconnect(&mut self, entry: usize, agent: usize) {
        let down_until = self.now + RECONNECT_DELAY;
        let connection = self.connections.entry((entry, agent)).or_default();
        *connection = Connection { down_until, ..Connection::default() };
        if let Some(&key) = self.entries[entry].agent_keys.get(&agent) {
            let mut out = Vec::new();
            self.entries[entry].core.agent_disconnected(self.now, key, &mut out);
            self.execute_entry_actions(entry, out);
        }
    }

    /// Closes a partitioned connection once it has carried nothing for one `LEASE_TTL`.
    /// Messages in flight to the agent still arrive when the partition ends.
    fn detect_partition(&mut self, entry: usize, agent: usize) {
        let connection = self.connections.entry((entry, agent)).or_default();
        let partitioned = self.now < connection.partitioned_until;
        if !partitioned
            || self.now < connection.partitioned_from + LEASE_TTL
            || !(connection.connected || connection.closed)
        {
            return;
        }
        let partition_end = connection.partitioned_until;
        let incarnation = self.entries[entry].incarnation;
        for message in std::mem::take(&mut connection.to_agent) {
            self.delayed_messages.push((partition_end, agent, incarnation, message));
        }
        self.detect_disconnect(entry, agent);
        self.connections.entry((entry, agent)).or_default().down_until = partition_end;
    }

    fn deliver_delayed_messages(&mut self) {
        for (at, agent, entry, message) in std::mem::take(&mut self.delayed_messages) {
            if self.now >= at {
                self.handle_agent_event(agent, AgentEvent::FromEntry { entry, message });
            } else {
                self.delayed_messages.push((at, agent, entry, message));
            }
        }
    }

    /// Delivers a random number of queued messages, at most five in each direction; none
    /// during a partition, and none to a frozen entry.
    fn deliver(&mut self, entry: usize, agent: usize) {
        if self.now < self.connections.entry((entry, agent)).or_default().partitioned_until {
            return;
        }
        let incarnation = self.entries[entry].incarnation;
        let count = self.rng.random_range(0..6);
        for _ in 0..count {
            let connection = self.connections.entry((entry, agent)).or_default();
            let Some(message) = connection.to_agent.pop_front() else { break };
            self.handle_agent_event(agent, AgentEvent::FromEntry { entry: incarnation, message });
        }
        if !self.is_running(entry) {
            return;
        }
        let count = self.rng.random_range(0..6);
        for _ in 0..count {
            let connection = self.connections.entry((entry, agent)).or_default();
            let Some(message) = connection.to_entry.pop_front() else { break };
            self.deliver_to_entry(entry, agent, message);
        }
        let connection = self.connections.entry((entry, agent)).or_default();
        if connection.closed && connection.to_entry.is_empty() {
            self.detect_disconnect(entry, agent);
        }
    }

    fn deliver_to_entry(&mut self, entry: usize, agent: usize, message: ToEntry) {
        let mut out = Vec::new();
        let node = &mut self.entries[entry];
        match message {
            ToEntry::Hello(hello) => {
                let key = node.core.agent_connected(self.now, &hello, &mut out);
                node.agent_keys.insert(agent, key);
            }
            message => {
                let Some(&key) = node.agent_keys.get(&agent) else { return };
                node.core.on_agent_message(self.now, key, message, &mut out);
            }
        }
        self.execute_entry_actions(entry, out);
    }

    fn handle_agent_event(&mut self, agent: usize, event: AgentEvent) {
        let mut out = Vec::new();
        self.agents[agent].core.handle(self.now, event, &mut out);
        self.execute_agent_actions(agent, out);
    }

    fn execute_entry_actions(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { agent, message } => {
                    let found =
                        self.entries[entry].agent_keys.iter().find(|(_, key)| **key == agent);
                    let Some(agent) = found.map(|(agent, _)| *agent) else { continue };
                    let connection = self.connections.entry((entry, agent)).or_default();
                    if connection.connected {
                        connection.to_agent.push_back(message);
                    }
                }
                EntryAction::Respond { request, part } => {
                    let Some(&number) = self.entries[entry].requests.get(&request) else {
                        continue;
                    };
                    self.checker.record_part(number, &part, tokens_of(number));
                    if part.is_final() {
                        self.entries[entry].requests.remove(&request);
                    }
                }
                EntryAction::AppendClaims(batch) => {
                    let at = self.now + Duration::from_millis(20);
                    let incarnation = self.entries[entry].incarnation;
                    self.pending_appends.push((at, entry, incarnation, batch));
                }
                EntryAction::Exit => self.exited_entries.push(entry),
                EntryAction::Record(record) => {
                    self.decisions.insert(record.decision.to_string());
                }
                _ => {}
            }
        }
    }

    fn schedule(&mut self, agent: usize, after_ms: u64, event: UpstreamEvent) {
        let at = self.now + Duration::from_millis(after_ms);
        let incarnation = self.agents[agent].incarnation;
        self.scheduled.push(ScheduledEvent { at, agent, incarnation, event });
    }

    fn execute_agent_actions(&mut self, agent: usize, actions: Vec<AgentAction>) {
        for action in actions {
            self.execute_agent_action(agent, action);
        }
    }

    fn execute_agent_action(&mut self, agent: usize, action: AgentAction) {
        match action {
            AgentAction::Send { entry, message } => {
                let found = self.entries.iter().position(|node| node.incarnation == entry);
                let Some(entry) = found else { return };
                let connection = self.connections.entry((entry, agent)).or_default();
                if connection.connected {
                    connection.to_entry.push_back(message);
                }
            }
            AgentAction::CloseEntry { entry } => {
                let found = self.entries.iter().position(|node| node.incarnation == entry);
                if let Some(connection) =
                    found.and_then(|entry| self.connections.get_mut(&(entry, agent)))
                {
                    connection.connected = false;
                    connection.closed = true;
                    connection.to_agent.clear();
                }
            }
            AgentAction::Prefill(prefill) => {
                let id = prefill.id.unwrap_or_default();
                let number = number_of(&prefill.prompt);
                self.checker.record_run(number);
                if self.chance(self.faults.fail_prefill) {
                    let reason = "injected prefill failure".to_string();
                    self.schedule(agent, 50, UpstreamEvent::PrefillFailed { id, reason });
                    return;
                }
                let handle = self.agents[agent].engine.prefill(id, number);
                let event =
                    UpstreamEvent::PrefillDone { id, handle, cached_tokens: 0, kv_bytes: 64 };
                self.schedule(agent, 50, event);
            }
            AgentAction::Import { decode, timeout } => self.import(agent, &decode, timeout),
            AgentAction::Decode { id, from_index, max_tokens, .. } => {
                self.decode(agent, id, from_index, max_tokens);
            }
            AgentAction::Cancel { id } => self.cancel(agent, id),
            AgentAction::Call(call) => self.call(agent, &call),
            AgentAction::Exit => self.exited_agents.push(agent),
            AgentAction::ListStreams => {
                let streams = self.agents[agent].engine.running();
                self.schedule(agent, 5, UpstreamEvent::RunningStreams { streams });
            }
            _ => {}
        }
    }

    fn decode(&mut self, agent: usize, id: wire::AttemptId, from_index: u32, max_tokens: u32) {
        if !self.agents[agent].engine.decode(id, from_index, max_tokens) {
            let reason = "unknown stream".to_string();
            self.schedule(agent, 5, UpstreamEvent::StreamFailed { id, reason });
        }
    }

    fn cancel(&mut self, agent: usize, id: wire::AttemptId) {
        if self.chance(self.faults.lose_cancel) {
            return;
        }
        self.agents[agent].engine.cancel(id);
        self.schedule(agent, 5, UpstreamEvent::Cancelled { id });
    }

    fn import(&mut self, agent: usize, decode: &wire::Decode, timeout: Duration) {
        let id = decode.id.unwrap_or_default();
        let source: usize = decode.source.parse().unwrap_or_default();
        if self.chance(self.faults.stall_transfer) {
            let event = UpstreamEvent::ImportFailed { id, evicted: false };
            self.schedule(agent, timeout.as_millis() as u64, event);
            return;
        }
        match self.agents[source].engine.result(&decode.handle) {
            Some(number) => {
                // The cache arrives later, even if the attempt was cancelled meanwhile.
                let after_ms = self.rng.random_range(5..40);
                self.schedule(agent, after_ms, UpstreamEvent::Imported { id });
                self.transferring.insert((id.entry, id.request, id.attempt), number);
            }
            None => self.schedule(agent, 5, UpstreamEvent::ImportFailed { id, evicted: true }),
        }
    }

    fn call(&mut self, agent: usize, call: &wire::Call) {
        let id = call.id.unwrap_or_default();
        let number = call.headers.first().map_or(0, |header| number_of(&header.value));
        self.checker.record_run(number);
        let response_lost = self.chance(self.faults.lose_call_response);
        let reply = wire::CallReply {
            id: Some(id),
            status: 200,
            body: if response_lost { Vec::new().into() } else { number.to_string().into() },
            error: if response_lost { "response lost".to_string() } else { String::new() },
            ..wire::CallReply::default()
        };
        let is_slow = self.chance(self.faults.slow_call);
        let after_ms = if is_slow {
            self.rng.random_range(1_000..1_500)
        } else {
            self.rng.random_range(5..900)
        };
        self.schedule(agent, after_ms, UpstreamEvent::CallDone { id, reply });
    }

    fn run_upstreams(&mut self) {
        let (due, later): (Vec<ScheduledEvent>, Vec<ScheduledEvent>) =
            std::mem::take(&mut self.scheduled).into_iter().partition(|due| due.at <= self.now);
        self.scheduled = later;
        for due in due {
            if let UpstreamEvent::Imported { id } = due.event
                && let Some(number) = self.transferring.remove(&(id.entry, id.request, id.attempt))
            {
                self.agents[due.agent].engine.import(id, number);
            }
            if self.agents[due.agent].incarnation == due.incarnation {
                self.handle_agent_event(due.agent, AgentEvent::Upstream(due.event));
            }
        }
        for agent in 0..self.agents.len() {
            for event in self.agents[agent].engine.step() {
                self.handle_agent_event(agent, AgentEvent::Upstream(event));
            }
            if self.chance(self.faults.cut_stream)
                && let Some(id) = self.agents[agent].engine.cut_stream()
            {
                self.handle_agent_event(
                    agent,
                    AgentEvent::Upstream(UpstreamEvent::StreamDisconnected { id }),
                );
            }
        }
    }

    fn run_log(&mut self) {
        let down = self.now < self.log_down_until;
        for (at, entry, incarnation, batch) in std::mem::take(&mut self.pending_appends) {
            if at > self.now {
                self.pending_appends.push((at, entry, incarnation, batch));
                continue;
            }
            let response_lost = down || self.chance(self.faults.lose_append_response);
            if !down {
                self.log.push(batch.clone());
            }
            // An entry that was frozen or killed since does not learn that the response
            // was lost; its batch is appended all the same unless the log is down.
            if response_lost
                && self.entries[entry].incarnation == incarnation
                && self.is_running(entry)
            {
                let mut out = Vec::new();
                self.entries[entry].core.claims_not_appended(self.now, batch, &mut out);
                self.execute_entry_actions(entry, out);
            }
        }
        for entry in 0..ENTRIES {
            if down || !self.is_running(entry) {
                self.entries[entry].core.set_log_reachable(!down);
                continue;
            }
            self.entries[entry].core.set_log_reachable(true);
            while let Some(batch) = self.log.get(self.entries[entry].claims_read).cloned() {
                let offset = self.entries[entry].claims_read as u64;
                self.entries[entry].claims_read += 1;
                let mut out = Vec::new();
                let core = &mut self.entries[entry].core;
                core.on_claim_record(self.now, offset, Duration::ZERO, &batch, &mut out);
                self.execute_entry_actions(entry, out);
            }
        }
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.cut_connection) {
            let (entry, agent) =
                (self.rng.random_range(0..ENTRIES), self.rng.random_range(0..self.agents.len()));
            self.cut_connection(entry, agent);
        }
        if self.chance(self.faults.partition_connection) {
            let (entry, agent) =
                (self.rng.random_range(0..ENTRIES), self.rng.random_range(0..self.agents.len()));
            let duration = Duration::from_millis(self.rng.random_range(500..6_000));
            let now = self.now;
            let connection = self.connections.entry((entry, agent)).or_default();
            connection.partitioned_from = now;
            connection.partitioned_until = now + duration;
        }
        if self.chance(self.faults.kill_agent) {
            let agent = self.rng.random_range(0..self.agents.len());
            self.kill_agent(agent);
        }
        if self.chance(self.faults.drain_agent) {
            let agent = self.rng.random_range(0..self.agents.len());
            self.handle_agent_event(agent, AgentEvent::Leave);
        }
        if self.chance(self.faults.drain_entry) {
            let entry = self.rng.random_range(0..ENTRIES);
            let mut out = Vec::new();
            self.entries[entry].core.leave(self.now, &mut out);
            self.execute_entry_actions(entry, out);
        }
        if self.chance(self.faults.kill_entry) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.kill_entry(entry);
        }
        if self.chance(self.faults.freeze_entry) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.entries[entry].frozen_until = self.now + FREEZE_DURATION;
        }
        if self.chance(self.faults.log_outage) {
            self.log_down_until = self.now + LOG_OUTAGE;
        }
        if self.chance(self.faults.disconnect_caller) {
            self.disconnect_caller();
        }
    }

    fn kill_agent(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            self.cut_connection(entry, agent);
        }
        self.replace_agent(agent);
    }

    fn replace_agent(&mut self, agent: usize) {
        let mut engine = std::mem::take(&mut self.agents[agent].engine);
        engine.close_all_connections();
        engine.evict_results();
        self.agents[agent] = self.new_agent(agent, engine);
        self.start_agent(agent);
    }

    fn kill_entry(&mut self, entry: usize) {
        for agent in 0..self.agents.len() {
            self.cut_connection(entry, agent);
            *self.connections.entry((entry, agent)).or_default() = Connection::default();
        }
        for &number in self.entries[entry].requests.values() {
            self.checker.record_disconnect(number);
        }
        self.entries[entry] = self.new_entry(entry);
    }

    fn disconnect_caller(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        if !self.is_running(entry) || self.entries[entry].requests.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.entries[entry].requests.len());
        let Some((&key, &number)) = self.entries[entry].requests.iter().nth(index) else { return };
        self.checker.record_disconnect(number);
        let mut out = Vec::new();
        self.entries[entry].core.caller_disconnected(self.now, key, &mut out);
        self.entries[entry].requests.remove(&key);
        self.execute_entry_actions(entry, out);
    }

    fn send_request(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        if !self.is_running(entry) {
            return;
        }
        let number = self.next_number;
        self.next_number += 1;
        let kind = match self.rng.random_range(0..4) {
            0 => RequestKind::IdempotentCall,
            1 => RequestKind::NonIdempotentCall(None),
            2 => RequestKind::NonIdempotentCall(Some(self.rng.random_range(0..IDEMPOTENCY_KEYS))),
            _ => RequestKind::Generation,
        };
        self.checker.record_request(number, kind);
        let request = IncomingRequest {
            request_id: number.to_string().into(),
            account: "any".into(),
            work: work(number, kind),
        };
        let mut out = Vec::new();
        let key = self.entries[entry].core.on_request(self.now, request, &mut out);
        self.entries[entry].requests.insert(key, number);
        self.execute_entry_actions(entry, out);
    }
}

/// Number of tokens in the complete response to a generation request.
fn tokens_of(number: RequestNumber) -> u32 {
    5 + (number % 40) as u32
}

/// Reads the number that identifies a request from its prompt or header value.
fn number_of(bytes: &[u8]) -> RequestNumber {
    std::str::from_utf8(bytes)
        .expect("a request number is text")
        .parse()
        .expect("a request number is digits")
}

fn work(number: RequestNumber, kind: RequestKind) -> IncomingWork {
    let bytes = number.to_string().into_bytes();
    match kind {
        RequestKind::Generation => IncomingWork::Generate(IncomingGeneration {
            model: "redator".into(),
            prompt: bytes.into(),
            prompt_tokens: 200,
            prefixes: Vec::new(),
            max_tokens: tokens_of(number),
        }),
        RequestKind::IdempotentCall | RequestKind::NonIdempotentCall(_) => {
            let non_idempotent = kind != RequestKind::IdempotentCall;
            let key = if let RequestKind::NonIdempotentCall(key) = kind { key } else { None };
            let header = wire::Header { name: "x-number".to_string(), value: bytes.into() };
            IncomingWork::Call(IncomingCall {
                service: "desk".into(),
                method: if non_idempotent { "POST".into() } else { "GET".into() },
                path: if non_idempotent { "/bookings".to_string() } else { "/reels".to_string() },
                headers: vec![header],
                // Calls with the same key must have the same body, or they are refused as
                // `KeyReused`.
                body: key.unwrap_or(number).to_string().into(),
                idempotency_key: key.map(|key| key.to_string().into()),
            })
        }
    }
}
