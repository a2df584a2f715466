//! The processes, their connections, the log, and the faults.

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
use bamboodoor::policy::view::AgentKey;
use bamboodoor::schema::record::ClaimBatch;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulation::checker::Judge;
use crate::simulation::checker::Kind;
use crate::simulation::checker::Number;
use crate::simulation::fakes::Engine;

const MANIFEST: &str = include_str!("../../processes/manifest.jsonc");
const STEPS: usize = 1_500;
const SETTLE_STEPS: usize = 6_000;
const STEP: Duration = Duration::from_millis(10);
const POOLS: [&str; 3] = ["prefill", "decode", "desk"];
const AGENTS_PER_POOL: usize = 2;
const ENTRIES: usize = 2;
const LEASE: Duration = Duration::from_secs(3);
const FREEZE: Duration = Duration::from_secs(4);
const RECONNECT: Duration = Duration::from_millis(300);
const OUTAGE: Duration = Duration::from_millis(800);
const KEYS: u64 = 30;

/// How probable each fault is, in a step or at an occasion.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub hang_up: f64,
    pub cut: f64,
    /// A connection carries nothing for a while, and nobody is told.
    pub partition: f64,
    pub kill_agent: f64,
    pub kill_entry: f64,
    pub freeze_entry: f64,
    pub stall: f64,
    pub cut_stream: f64,
    pub fail_prefill: f64,
    pub lose_cancel: f64,
    pub lose_call_answer: f64,
    pub log_down: f64,
    pub lose_append: f64,
    pub slow_call: f64,
    pub stop_agent: f64,
    pub stop_entry: f64,
}

struct Agent {
    core: AgentCore,
    engine: Engine,
    incarnation: u64,
}

struct Entry {
    core: EntryCore,
    incarnation: u64,
    frozen_until: Duration,
    keys: BTreeMap<usize, AgentKey>,
    requests: BTreeMap<RequestKey, Number>,
    claims_read: usize,
}

#[derive(Default)]
struct Link {
    connected: bool,
    /// The agent closed it; the entry finds out after what is in the queue.
    closed: bool,
    down_until: Duration,
    parted_from: Duration,
    parted_until: Duration,
    to_agent: VecDeque<ToAgent>,
    to_entry: VecDeque<ToEntry>,
}

struct Due {
    at: Duration,
    agent: usize,
    incarnation: u64,
    event: UpstreamEvent,
}

pub struct Sim {
    now: Duration,
    rng: ChaCha8Rng,
    faults: Faults,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    links: BTreeMap<(usize, usize), Link>,
    due: Vec<Due>,
    arriving: BTreeMap<(u64, u64, u32), Number>,
    log: Vec<ClaimBatch>,
    log_down_until: Duration,
    appends: Vec<(Duration, usize, u64, ClaimBatch)>,
    strays: Vec<(Duration, usize, u64, ToAgent)>,
    judge: Judge,
    reasons: BTreeSet<String>,
    stopped_agents: Vec<usize>,
    stopped_entries: Vec<usize>,
    next_number: Number,
    next_incarnation: u64,
}

impl Sim {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut sim = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            agents: Vec::new(),
            entries: Vec::new(),
            links: BTreeMap::new(),
            due: Vec::new(),
            arriving: BTreeMap::new(),
            log: Vec::new(),
            log_down_until: Duration::ZERO,
            appends: Vec::new(),
            strays: Vec::new(),
            judge: Judge::default(),
            reasons: BTreeSet::new(),
            stopped_agents: Vec::new(),
            stopped_entries: Vec::new(),
            next_number: 1,
            next_incarnation: 1,
        };
        for agent in 0..POOLS.len() * AGENTS_PER_POOL {
            let node = sim.new_agent(agent, Engine::default());
            sim.agents.push(node);
            sim.start_agent(agent);
        }
        for entry in 0..ENTRIES {
            let node = sim.new_entry(entry);
            sim.entries.push(node);
        }
        sim
    }

    fn incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn new_agent(&mut self, agent: usize, engine: Engine) -> Agent {
        let incarnation = self.incarnation();
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
        let snapshot = Arc::new(Snapshot::parse(1, MANIFEST).expect("is valid"));
        let mut out = Vec::new();
        self.agents[agent].core.adopt(snapshot, &mut out);
        self.carry_out_agent(agent, out);
    }

    fn new_entry(&mut self, entry: usize) -> Entry {
        let incarnation = self.incarnation();
        let mut core = EntryCore::new(EntryConfig {
            name: format!("entry-{entry}").into(),
            incarnation,
            ..EntryConfig::default()
        });
        let record = publish_record("sim", "sim", 0, MANIFEST);
        let text = serde_json::to_string(&record).expect("is plain data");
        core.set_log_reachable(true);
        core.on_manifest_start(0);
        core.on_manifest_record(self.now, 0, Duration::ZERO, &text, &mut Vec::new());
        Entry {
            core,
            incarnation,
            frozen_until: Duration::ZERO,
            keys: BTreeMap::new(),
            requests: BTreeMap::new(),
            claims_read: 0,
        }
    }

    pub fn run(&mut self) {
        for _ in 0..STEPS {
            self.inject();
            if self.rng.random_bool(0.15) {
                self.arrive();
            }
            self.step();
        }
    }

    /// No more faults: everything comes back and ends.
    pub fn settle(&mut self) {
        self.faults = Faults::default();
        self.log_down_until = Duration::ZERO;
        for _ in 0..SETTLE_STEPS {
            self.step();
        }
    }

    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.judge.broken();
        for (number, agent) in self.agents.iter().enumerate() {
            let running = agent.engine.running();
            if !running.is_empty() || agent.core.held_blocks() > 0 {
                broken.push(format!("agent {number} still holds {running:?}"));
            }
        }
        broken
    }

    /// Requests that ended without their answer though they may have run.
    pub fn cut_off(&self) -> Vec<String> {
        self.judge.cut_off()
    }

    /// Every decision that was taken, by name.
    pub fn reasons(&self) -> &BTreeSet<String> {
        &self.reasons
    }

    pub fn whole_share(&self) -> f64 {
        self.judge.whole_share()
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Successors take the places of those that stopped as planned.
    fn replace_stopped(&mut self) {
        for agent in std::mem::take(&mut self.stopped_agents) {
            for entry in 0..ENTRIES {
                // What the agent said last still arrives; what was on its way
                // to it does not.
                let link = self.links.entry((entry, agent)).or_default();
                link.closed |= link.connected;
                link.connected = false;
                link.to_agent.clear();
            }
            self.replace_agent(agent);
        }
        for entry in std::mem::take(&mut self.stopped_entries) {
            self.kill_entry(entry);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.replace_stopped();
        self.deliver_strays();
        self.keep_connected();
        for entry in 0..ENTRIES {
            for agent in 0..self.agents.len() {
                if self.is_awake(entry) {
                    self.notice_partition(entry, agent);
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
            self.agent_event(agent, AgentEvent::Tick);
        }
        for entry in 0..ENTRIES {
            if self.is_awake(entry) {
                let mut out = Vec::new();
                self.entries[entry].core.tick(self.now, &mut out);
                self.carry_out_entry(entry, out);
            }
        }
    }

    fn is_awake(&self, entry: usize) -> bool {
        self.now >= self.entries[entry].frozen_until
    }

    fn keep_connected(&mut self) {
        for entry in 0..ENTRIES {
            for agent in 0..self.agents.len() {
                let link = self.links.entry((entry, agent)).or_default();
                let may = !link.connected && !link.closed && self.now >= link.down_until;
                if may && self.is_awake(entry) {
                    self.connect(entry, agent);
                }
            }
        }
    }

    fn connect(&mut self, entry: usize, agent: usize) {
        let link = self.links.entry((entry, agent)).or_default();
        *link = Link { connected: true, ..Link::default() };
        let hello = wire::EntryHello {
            entry: self.entries[entry].incarnation,
            name: format!("entry-{entry}"),
            generation: 1,
        };
        self.agent_event(agent, AgentEvent::EntryConnected(hello));
    }

    fn cut(&mut self, entry: usize, agent: usize) {
        let link = self.links.entry((entry, agent)).or_default();
        if !link.connected {
            return;
        }
        *link = Link { closed: true, ..Link::default() };
        let incarnation = self.entries[entry].incarnation;
        self.agent_event(agent, AgentEvent::EntryLost { entry: incarnation });
    }

    /// The entry notices that a connection ended.
    fn notice_closed(&mut self, entry: usize, agent: usize) {
        let down_until = self.now + RECONNECT;
        let link = self.links.entry((entry, agent)).or_default();
        *link = Link { down_until, ..Link::default() };
        if let Some(&key) = self.entries[entry].keys.get(&agent) {
            let mut out = Vec::new();
            self.entries[entry].core.agent_disconnected(self.now, key, &mut out);
            self.carry_out_entry(entry, out);
        }
    }

    /// Both ends wait for a lease before they take a silent connection for lost.
    /// What was on its way still arrives when the network is back.
    fn notice_partition(&mut self, entry: usize, agent: usize) {
        let link = self.links.entry((entry, agent)).or_default();
        let parted = self.now < link.parted_until;
        if !parted || self.now < link.parted_from + LEASE || !(link.connected || link.closed) {
            return;
        }
        let back_at = link.parted_until;
        let incarnation = self.entries[entry].incarnation;
        for message in std::mem::take(&mut link.to_agent) {
            self.strays.push((back_at, agent, incarnation, message));
        }
        self.notice_closed(entry, agent);
        self.links.entry((entry, agent)).or_default().down_until = back_at;
    }

    fn deliver_strays(&mut self) {
        for (at, agent, entry, message) in std::mem::take(&mut self.strays) {
            if self.now >= at {
                self.agent_event(agent, AgentEvent::FromEntry { entry, message });
            } else {
                self.strays.push((at, agent, entry, message));
            }
        }
    }

    fn deliver(&mut self, entry: usize, agent: usize) {
        if self.now < self.links.entry((entry, agent)).or_default().parted_until {
            return;
        }
        let incarnation = self.entries[entry].incarnation;
        let count = self.rng.random_range(0..6);
        for _ in 0..count {
            let link = self.links.entry((entry, agent)).or_default();
            let Some(message) = link.to_agent.pop_front() else { break };
            self.agent_event(agent, AgentEvent::FromEntry { entry: incarnation, message });
        }
        if !self.is_awake(entry) {
            return;
        }
        let count = self.rng.random_range(0..6);
        for _ in 0..count {
            let link = self.links.entry((entry, agent)).or_default();
            let Some(message) = link.to_entry.pop_front() else { break };
            self.entry_message(entry, agent, message);
        }
        let link = self.links.entry((entry, agent)).or_default();
        if link.closed && link.to_entry.is_empty() {
            self.notice_closed(entry, agent);
        }
    }

    fn entry_message(&mut self, entry: usize, agent: usize, message: ToEntry) {
        let mut out = Vec::new();
        let node = &mut self.entries[entry];
        match message {
            ToEntry::Hello(hello) => {
                let key = node.core.agent_connected(self.now, &hello, &mut out);
                node.keys.insert(agent, key);
            }
            message => {
                let Some(&key) = node.keys.get(&agent) else { return };
                node.core.on_agent_message(self.now, key, message, &mut out);
            }
        }
        self.carry_out_entry(entry, out);
    }

    fn agent_event(&mut self, agent: usize, event: AgentEvent) {
        let mut out = Vec::new();
        self.agents[agent].core.handle(self.now, event, &mut out);
        self.carry_out_agent(agent, out);
    }

    fn carry_out_entry(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { agent, message } => {
                    let found = self.entries[entry].keys.iter().find(|(_, key)| **key == agent);
                    let Some(agent) = found.map(|(agent, _)| *agent) else { continue };
                    let link = self.links.entry((entry, agent)).or_default();
                    if link.connected {
                        link.to_agent.push_back(message);
                    }
                }
                EntryAction::Respond { request, part } => {
                    let Some(&number) = self.entries[entry].requests.get(&request) else {
                        continue;
                    };
                    self.judge.answered(number, &part, tokens_of(number));
                    if part.is_final() {
                        self.entries[entry].requests.remove(&request);
                    }
                }
                EntryAction::AppendClaims(batch) => {
                    let at = self.now + Duration::from_millis(20);
                    let incarnation = self.entries[entry].incarnation;
                    self.appends.push((at, entry, incarnation, batch));
                }
                EntryAction::Exit => self.stopped_entries.push(entry),
                EntryAction::Record(record) => {
                    self.reasons.insert(record.decision.to_string());
                }
                _ => {}
            }
        }
    }

    fn later(&mut self, agent: usize, after_ms: u64, event: UpstreamEvent) {
        let at = self.now + Duration::from_millis(after_ms);
        let incarnation = self.agents[agent].incarnation;
        self.due.push(Due { at, agent, incarnation, event });
    }

    fn carry_out_agent(&mut self, agent: usize, actions: Vec<AgentAction>) {
        for action in actions {
            self.carry_out_agent_one(agent, action);
        }
    }

    fn carry_out_agent_one(&mut self, agent: usize, action: AgentAction) {
        match action {
            AgentAction::Send { entry, message } => {
                let found = self.entries.iter().position(|node| node.incarnation == entry);
                let Some(entry) = found else { return };
                let link = self.links.entry((entry, agent)).or_default();
                if link.connected {
                    link.to_entry.push_back(message);
                }
            }
            AgentAction::CloseEntry { entry } => {
                let found = self.entries.iter().position(|node| node.incarnation == entry);
                if let Some(link) = found.and_then(|entry| self.links.get_mut(&(entry, agent))) {
                    link.connected = false;
                    link.closed = true;
                    link.to_agent.clear();
                }
            }
            AgentAction::Prefill(prefill) => {
                let id = prefill.id.unwrap_or_default();
                let number = number_of(&prefill.prompt);
                self.judge.ran(number);
                if self.chance(self.faults.fail_prefill) {
                    let reason = "failed on purpose".to_string();
                    self.later(agent, 50, UpstreamEvent::PrefillFailed { id, reason });
                    return;
                }
                let handle = self.agents[agent].engine.prefill(id, number);
                let event =
                    UpstreamEvent::PrefillDone { id, handle, cached_tokens: 0, kv_bytes: 64 };
                self.later(agent, 50, event);
            }
            AgentAction::Import { decode, timeout } => self.import(agent, &decode, timeout),
            AgentAction::Decode { id, from_index, max_tokens, .. } => {
                self.decode(agent, id, from_index, max_tokens);
            }
            AgentAction::Stop { id } => self.stop(agent, id),
            AgentAction::Call(call) => self.call(agent, &call),
            AgentAction::Exit => self.stopped_agents.push(agent),
            AgentAction::ListStreams => {
                let streams = self.agents[agent].engine.running();
                self.later(agent, 5, UpstreamEvent::Running { streams });
            }
            _ => {}
        }
    }

    fn decode(&mut self, agent: usize, id: wire::AttemptId, from_index: u32, max_tokens: u32) {
        if !self.agents[agent].engine.decode(id, from_index, max_tokens) {
            let reason = "no such stream".to_string();
            self.later(agent, 5, UpstreamEvent::StreamFailed { id, reason });
        }
    }

    fn stop(&mut self, agent: usize, id: wire::AttemptId) {
        if self.chance(self.faults.lose_cancel) {
            return;
        }
        self.agents[agent].engine.stop(id);
        self.later(agent, 5, UpstreamEvent::Stopped { id });
    }

    fn import(&mut self, agent: usize, decode: &wire::Decode, timeout: Duration) {
        let id = decode.id.unwrap_or_default();
        let source: usize = decode.source.parse().unwrap_or_default();
        if self.chance(self.faults.stall) {
            let event = UpstreamEvent::ImportFailed { id, evicted: false };
            self.later(agent, timeout.as_millis() as u64, event);
            return;
        }
        match self.agents[source].engine.result(&decode.handle) {
            Some(number) => {
                // The cache arrives later, also when the try was stopped since.
                let after_ms = self.rng.random_range(5..40);
                self.later(agent, after_ms, UpstreamEvent::Imported { id });
                self.arriving.insert((id.entry, id.request, id.attempt), number);
            }
            None => self.later(agent, 5, UpstreamEvent::ImportFailed { id, evicted: true }),
        }
    }

    fn call(&mut self, agent: usize, call: &wire::Call) {
        let id = call.id.unwrap_or_default();
        let number = call.headers.first().map_or(0, |header| number_of(&header.value));
        self.judge.ran(number);
        let lost = self.chance(self.faults.lose_call_answer);
        let reply = wire::CallReply {
            id: Some(id),
            status: 200,
            body: if lost { Vec::new().into() } else { number.to_string().into() },
            error: if lost { "answer lost".to_string() } else { String::new() },
            ..wire::CallReply::default()
        };
        let slow = self.chance(self.faults.slow_call);
        let after_ms =
            if slow { self.rng.random_range(1_000..1_500) } else { self.rng.random_range(5..900) };
        self.later(agent, after_ms, UpstreamEvent::CallDone { id, reply });
    }

    fn run_upstreams(&mut self) {
        let (due, rest): (Vec<Due>, Vec<Due>) =
            std::mem::take(&mut self.due).into_iter().partition(|due| due.at <= self.now);
        self.due = rest;
        for due in due {
            if let UpstreamEvent::Imported { id } = due.event
                && let Some(number) = self.arriving.remove(&(id.entry, id.request, id.attempt))
            {
                self.agents[due.agent].engine.import(id, number);
            }
            if self.agents[due.agent].incarnation == due.incarnation {
                self.agent_event(due.agent, AgentEvent::Upstream(due.event));
            }
        }
        for agent in 0..self.agents.len() {
            for event in self.agents[agent].engine.step() {
                self.agent_event(agent, AgentEvent::Upstream(event));
            }
            if self.chance(self.faults.cut_stream)
                && let Some(id) = self.agents[agent].engine.cut_a_stream()
            {
                self.agent_event(
                    agent,
                    AgentEvent::Upstream(UpstreamEvent::StreamDisconnected { id }),
                );
            }
        }
    }

    fn run_log(&mut self) {
        let down = self.now < self.log_down_until;
        for (at, entry, incarnation, batch) in std::mem::take(&mut self.appends) {
            if at > self.now {
                self.appends.push((at, entry, incarnation, batch));
                continue;
            }
            let answer_lost = down || self.chance(self.faults.lose_append);
            if !down {
                self.log.push(batch.clone());
            }
            // What a frozen or killed entry sent has still been appended.
            if answer_lost && self.entries[entry].incarnation == incarnation && self.is_awake(entry)
            {
                let mut out = Vec::new();
                self.entries[entry].core.claims_not_appended(self.now, batch, &mut out);
                self.carry_out_entry(entry, out);
            }
        }
        for entry in 0..ENTRIES {
            if down || !self.is_awake(entry) {
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
                self.carry_out_entry(entry, out);
            }
        }
    }

    fn inject(&mut self) {
        if self.chance(self.faults.cut) {
            let (entry, agent) =
                (self.rng.random_range(0..ENTRIES), self.rng.random_range(0..self.agents.len()));
            self.cut(entry, agent);
        }
        if self.chance(self.faults.partition) {
            let (entry, agent) =
                (self.rng.random_range(0..ENTRIES), self.rng.random_range(0..self.agents.len()));
            let lasts = Duration::from_millis(self.rng.random_range(500..6_000));
            let now = self.now;
            let link = self.links.entry((entry, agent)).or_default();
            link.parted_from = now;
            link.parted_until = now + lasts;
        }
        if self.chance(self.faults.kill_agent) {
            let agent = self.rng.random_range(0..self.agents.len());
            self.kill_agent(agent);
        }
        if self.chance(self.faults.stop_agent) {
            let agent = self.rng.random_range(0..self.agents.len());
            self.agent_event(agent, AgentEvent::Leave);
        }
        if self.chance(self.faults.stop_entry) {
            let entry = self.rng.random_range(0..ENTRIES);
            let mut out = Vec::new();
            self.entries[entry].core.leave(self.now, &mut out);
            self.carry_out_entry(entry, out);
        }
        if self.chance(self.faults.kill_entry) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.kill_entry(entry);
        }
        if self.chance(self.faults.freeze_entry) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.entries[entry].frozen_until = self.now + FREEZE;
        }
        if self.chance(self.faults.log_down) {
            self.log_down_until = self.now + OUTAGE;
        }
        if self.chance(self.faults.hang_up) {
            self.hang_up();
        }
    }

    fn kill_agent(&mut self, agent: usize) {
        for entry in 0..ENTRIES {
            self.cut(entry, agent);
        }
        self.replace_agent(agent);
    }

    fn replace_agent(&mut self, agent: usize) {
        let mut engine = std::mem::take(&mut self.agents[agent].engine);
        engine.lose_readers();
        engine.evict();
        self.agents[agent] = self.new_agent(agent, engine);
        self.start_agent(agent);
    }

    fn kill_entry(&mut self, entry: usize) {
        for agent in 0..self.agents.len() {
            self.cut(entry, agent);
            *self.links.entry((entry, agent)).or_default() = Link::default();
        }
        for &number in self.entries[entry].requests.values() {
            self.judge.abandoned(number);
        }
        self.entries[entry] = self.new_entry(entry);
    }

    fn hang_up(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        if !self.is_awake(entry) || self.entries[entry].requests.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.entries[entry].requests.len());
        let Some((&key, &number)) = self.entries[entry].requests.iter().nth(index) else { return };
        self.judge.abandoned(number);
        let mut out = Vec::new();
        self.entries[entry].core.caller_disconnected(self.now, key, &mut out);
        self.entries[entry].requests.remove(&key);
        self.carry_out_entry(entry, out);
    }

    fn arrive(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        if !self.is_awake(entry) {
            return;
        }
        let number = self.next_number;
        self.next_number += 1;
        let kind = match self.rng.random_range(0..4) {
            0 => Kind::Lookup,
            1 => Kind::Booking(None),
            2 => Kind::Booking(Some(self.rng.random_range(0..KEYS))),
            _ => Kind::Draft,
        };
        self.judge.arrived(number, kind);
        let arrival = IncomingRequest {
            request_id: number.to_string().into(),
            account: "any".into(),
            work: work(number, kind),
        };
        let mut out = Vec::new();
        let key = self.entries[entry].core.on_request(self.now, arrival, &mut out);
        self.entries[entry].requests.insert(key, number);
        self.carry_out_entry(entry, out);
    }
}

fn tokens_of(number: Number) -> u32 {
    5 + (number % 40) as u32
}

fn number_of(bytes: &[u8]) -> Number {
    std::str::from_utf8(bytes).expect("is text").parse().expect("is a number")
}

fn work(number: Number, kind: Kind) -> IncomingWork {
    let bytes = number.to_string().into_bytes();
    match kind {
        Kind::Draft => IncomingWork::Generate(IncomingGeneration {
            model: "redator".into(),
            prompt: bytes.into(),
            prompt_tokens: 200,
            prefixes: Vec::new(),
            max_tokens: tokens_of(number),
        }),
        Kind::Lookup | Kind::Booking(_) => {
            let is_booking = kind != Kind::Lookup;
            let key = if let Kind::Booking(key) = kind { key } else { None };
            let header = wire::Header { name: "x-number".to_string(), value: bytes.into() };
            IncomingWork::Call(IncomingCall {
                service: "desk".into(),
                method: if is_booking { "POST".into() } else { "GET".into() },
                path: if is_booking { "/bookings".to_string() } else { "/reels".to_string() },
                headers: vec![header],
                // Two bookings with one key are the same booking.
                body: key.unwrap_or(number).to_string().into(),
                idempotency_key: key.map(|key| key.to_string().into()),
            })
        }
    }
}
