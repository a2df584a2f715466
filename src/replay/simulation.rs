//! Entries, agents and fakes in virtual time.

mod faults;
mod setup;
mod upstreams;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::agent::AgentCore;
use crate::agent::AgentEvent;
use crate::agent::UpstreamEvent;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::ResponsePart;
use crate::entry::request::IncomingCall;
use crate::entry::request::IncomingGeneration;
use crate::entry::request::IncomingRequest;
use crate::entry::request::IncomingWork;
use crate::entry::request::RequestKey;
use crate::manifest::Snapshot;
use crate::policy::prefix::MAX_PREFIXES;
use crate::policy::prefix::PREFIX_TOKENS;
use crate::policy::view::AgentKey;
use crate::replay::ReplayConfig;
use crate::replay::engine::Engine;
use crate::replay::links::Links;
use crate::replay::summary::Summary;
use crate::replay::summary::SummaryBuilder;
use crate::replay::trace::Event;
use crate::replay::trace::GenerateLine;
use crate::replay::trace::Trace;
use crate::schema::record::ClaimBatch;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;
use crate::schema::wire::to_entry::Kind as ToEntry;

const WARM_UP: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_secs(40);
const SETTLE: Duration = Duration::from_secs(10);
const ROUND_TO_NEAREST: f64 = 0.5;
const LOG_LATENCY: Duration = Duration::from_millis(10);
const HOP: Duration = Duration::from_micros(300);
const FIRST_ENTRY_INCARNATION: u64 = 1_000;
const LEASE_TTL: Duration = Duration::from_secs(3);

#[derive(Debug)]
enum ScheduledEvent {
    Line(usize),
    CallerGone {
        entry: usize,
        key: RequestKey,
        request: usize,
    },
    ToAgent {
        agent: usize,
        entry: usize,
        message: ToAgent,
    },
    ToEntry {
        entry: usize,
        agent: usize,
        message: ToEntry,
    },
    Upstream {
        agent: usize,
        event: UpstreamEvent,
    },
    Computed {
        agent: usize,
        id: AttemptId,
        request: usize,
        computed: u32,
        cached: u32,
        kv_bytes: u64,
    },
    Import {
        agent: usize,
        decode: wire::Decode,
        until: Duration,
    },
    Imported {
        agent: usize,
        id: AttemptId,
        request: usize,
        source: usize,
        computed: u32,
    },
    Step {
        agent: usize,
    },
    Called {
        agent: usize,
        id: AttemptId,
        request: usize,
    },
    TickAgent(usize),
    TickEntry(usize),
    SilenceNoticed {
        zone: CompactString,
    },
    ClaimsAppended(ClaimBatch),
}

struct AgentNode {
    core: AgentCore,
    engine: Engine,
    pool: CompactString,
    zone: CompactString,
    upstream: CompactString,
    up: bool,
    wakes_at: Option<Duration>,
    reports: VecDeque<(Duration, wire::Load)>,
}

struct EntryNode {
    core: EntryCore,
    zone: CompactString,
    up: bool,
    agents: BTreeMap<AgentKey, usize>,
    requests: BTreeMap<RequestKey, usize>,
    wakes_at: Option<Duration>,
}

/// Everything that takes part in a replay.
pub struct Simulation<'a> {
    trace: &'a Trace,
    snapshot: Arc<Snapshot>,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    sequence: u64,
    agents: Vec<AgentNode>,
    entries: Vec<EntryNode>,
    links: Links,
    summary: SummaryBuilder,
    rng: ChaCha8Rng,
    turn: usize,
    stalled_share: f64,
    report_lag: Duration,
    fault_at: Option<Duration>,
    claims_appended: u64,
}

impl<'a> Simulation<'a> {
    /// A warmed-up simulation before the first line of the trace.
    pub fn new(trace: &'a Trace, snapshot: &Snapshot, config: &ReplayConfig) -> Self {
        let mut simulation = Self {
            trace,
            snapshot: Arc::new(snapshot.clone()),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            agents: Vec::new(),
            entries: Vec::new(),
            links: Links::default(),
            summary: SummaryBuilder::new(trace, snapshot),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            turn: 0,
            stalled_share: 0.0,
            report_lag: Duration::ZERO,
            fault_at: None,
            claims_appended: 0,
        };
        simulation.add_agents();
        simulation.add_entries(config);
        for (index, line) in trace.lines.iter().enumerate() {
            simulation.at(WARM_UP + Duration::from_millis(line.at_ms), ScheduledEvent::Line(index));
        }
        simulation
    }

    fn at(&mut self, at: Duration, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    /// Runs to the end of the trace and until what is in flight has ended.
    pub fn run(&mut self) {
        let end = WARM_UP + Duration::from_millis(self.trace.header.duration_ms) + DRAIN;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(event) = self.scheduled.remove(&sequence) {
                self.process(event);
            }
        }
    }

    /// What came of the trace.
    pub fn into_summary(self) -> Summary {
        let up = self.agents.iter().filter(|node| node.up);
        let held = up.map(|node| node.engine.held_streams()).sum();
        self.summary.into_summary(self.fault_at, SETTLE, held)
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Line(index) => self.line(index),
            ScheduledEvent::CallerGone { entry, key, request } => {
                if self.entries[entry].requests.contains_key(&key) {
                    self.summary.caller_disconnected(request);
                    let mut out = Vec::new();
                    self.entries[entry].core.caller_disconnected(self.now, key, &mut out);
                    self.carry_out_entry(entry, out);
                }
            }
            ScheduledEvent::ToAgent { agent, entry, message } => {
                if self.entries[entry].up {
                    let entry = FIRST_ENTRY_INCARNATION + entry as u64;
                    self.agent_event(agent, AgentEvent::FromEntry { entry, message });
                }
            }
            ScheduledEvent::ToEntry { entry, agent, message } => {
                self.entry_message(entry, agent, message)
            }
            ScheduledEvent::Upstream { agent, event } => {
                self.agent_event(agent, AgentEvent::Upstream(event));
            }
            ScheduledEvent::Computed { agent, id, request, computed, cached, kv_bytes } => {
                let handle =
                    self.agents[agent].engine.store_result(self.now, id, request, computed);
                self.summary.prefill_finished(request, computed);
                let event =
                    UpstreamEvent::PrefillDone { id, handle, cached_tokens: cached, kv_bytes };
                self.agent_event(agent, AgentEvent::Upstream(event));
            }
            ScheduledEvent::Import { agent, decode, until } => self.import(agent, &decode, until),
            ScheduledEvent::Imported { agent, id, request, source, computed } => {
                if self.agents[source].up {
                    self.summary.import_finished(request, computed);
                    self.agents[agent].engine.store_import(id, request);
                    self.agent_event(agent, AgentEvent::Upstream(UpstreamEvent::Imported { id }));
                }
            }
            ScheduledEvent::Step { agent } => self.step(agent),
            ScheduledEvent::Called { agent, id, request } => self.called(agent, id, request),
            ScheduledEvent::TickAgent(agent) => {
                self.agents[agent].wakes_at = None;
                self.agent_event(agent, AgentEvent::Tick);
            }
            ScheduledEvent::TickEntry(entry) => {
                self.entries[entry].wakes_at = None;
                let mut out = Vec::new();
                if self.entries[entry].up {
                    self.entries[entry].core.tick(self.now, &mut out);
                    self.carry_out_entry(entry, out);
                }
            }
            ScheduledEvent::SilenceNoticed { zone } => self.notice_silence(&zone),
            ScheduledEvent::ClaimsAppended(batch) => self.append_claims(&batch),
        }
    }

    fn line(&mut self, index: usize) {
        match &self.trace.lines[index].event {
            Event::Fault(fault) => self.fail(&fault.clone()),
            Event::Generate(generate) => {
                let arrival = generate_arrival(index, generate);
                self.arrive(index, arrival, generate.gone_after_ms);
            }
            Event::Call(call) => {
                let arrival = IncomingRequest {
                    request_id: index.to_string().into(),
                    account: call.account.clone(),
                    work: IncomingWork::Call(IncomingCall {
                        service: call.service.clone(),
                        method: call.method.clone(),
                        path: call.path.clone(),
                        body: index_bytes(index),
                        idempotency_key: call.key.clone(),
                        ..IncomingCall::default()
                    }),
                };
                self.arrive(index, arrival, None);
            }
        }
    }

    fn arrive(&mut self, index: usize, arrival: IncomingRequest, gone_after_ms: Option<u64>) {
        let up: Vec<usize> =
            (0..self.entries.len()).filter(|&entry| self.entries[entry].up).collect();
        let Some(&entry) = up.get(self.turn % up.len().max(1)) else { return };
        self.turn += 1;
        let is_call = matches!(arrival.work, IncomingWork::Call(_));
        self.summary.request_arrived(index, self.now, is_call);
        let mut out = Vec::new();
        let key = self.entries[entry].core.on_request(self.now, arrival, &mut out);
        self.entries[entry].requests.insert(key, index);
        self.carry_out_entry(entry, out);
        if let Some(after_ms) = gone_after_ms {
            let at = self.now + Duration::from_millis(after_ms);
            self.at(at, ScheduledEvent::CallerGone { entry, key, request: index });
        }
    }

    fn append_claims(&mut self, batch: &ClaimBatch) {
        let offset = self.claims_appended;
        self.claims_appended += 1;
        for entry in 0..self.entries.len() {
            if self.entries[entry].up {
                let mut out = Vec::new();
                let core = &mut self.entries[entry].core;
                core.on_claim_record(self.now, offset, Duration::ZERO, batch, &mut out);
                self.carry_out_entry(entry, out);
            }
        }
    }

    fn agent_event(&mut self, agent: usize, event: AgentEvent) {
        if !self.agents[agent].up {
            return;
        }
        let mut out = Vec::new();
        self.agents[agent].core.handle(self.now, event, &mut out);
        self.carry_out_agent(agent, out);
        let wake = self.agents[agent]
            .core
            .next_wakeup(self.now)
            .max(self.now + Duration::from_micros(100));
        if self.agents[agent].wakes_at.is_none_or(|at| wake < at) {
            self.agents[agent].wakes_at = Some(wake);
            self.at(wake, ScheduledEvent::TickAgent(agent));
        }
    }

    fn entry_message(&mut self, entry: usize, agent: usize, message: ToEntry) {
        if !self.entries[entry].up || !self.agents[agent].up {
            return;
        }
        let key = self.entries[entry].agents.iter().find(|(_, known)| **known == agent);
        let Some(key) = key.map(|(key, _)| *key) else { return };
        let mut out = Vec::new();
        self.entries[entry].core.on_agent_message(self.now, key, message, &mut out);
        self.carry_out_entry(entry, out);
    }

    fn carry_out_entry(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { agent, message } => {
                    if let Some(&agent) = self.entries[entry].agents.get(&agent) {
                        let at = self.now + HOP;
                        self.at(at, ScheduledEvent::ToAgent { agent, entry, message });
                    }
                }
                EntryAction::Respond { request, part } => self.answer(entry, request, &part),
                EntryAction::AppendClaims(batch) => {
                    self.at(self.now + LOG_LATENCY, ScheduledEvent::ClaimsAppended(batch));
                }
                EntryAction::Record(record) => {
                    if let Decision::Retried(reason) = record.decision {
                        self.summary.retried(reason.to_string());
                    }
                }
                _ => {}
            }
        }
        let wake = self.entries[entry]
            .core
            .next_wakeup(self.now)
            .max(self.now + Duration::from_micros(100));
        if self.entries[entry].wakes_at.is_none_or(|at| wake < at) {
            self.entries[entry].wakes_at = Some(wake);
            self.at(wake, ScheduledEvent::TickEntry(entry));
        }
    }

    fn answer(&mut self, entry: usize, key: RequestKey, answer: &ResponsePart) {
        let Some(request) = self.entries[entry].requests.get(&key).copied() else { return };
        self.summary.part_sent(request, self.now, answer);
        if answer.is_final() {
            self.entries[entry].requests.remove(&key);
        }
    }
}

fn index_bytes(index: usize) -> Bytes {
    Bytes::copy_from_slice(&(index as u64).to_le_bytes())
}

fn index_of(bytes: &[u8]) -> usize {
    let bytes: [u8; 8] = bytes.try_into().expect("a replayed body is an index");
    u64::from_le_bytes(bytes) as usize
}

fn generate_arrival(index: usize, line: &GenerateLine) -> IncomingRequest {
    let shared = if line.family == 0 { 0 } else { line.shared_tokens };
    let chunks = (line.prompt_tokens / PREFIX_TOKENS).min(MAX_PREFIXES as u32);
    let prefixes = (0..chunks).map(|chunk| {
        let is_shared = (chunk + 1) * PREFIX_TOKENS <= shared;
        let owner = if is_shared { u64::from(line.family) } else { !(index as u64) };
        xxh3_64(&[owner.to_le_bytes(), u64::from(chunk).to_le_bytes()].concat())
    });
    IncomingRequest {
        request_id: index.to_string().into(),
        account: line.account.clone(),
        work: IncomingWork::Generate(IncomingGeneration {
            model: line.model.clone(),
            prompt: index_bytes(index),
            prompt_tokens: line.prompt_tokens,
            prefixes: prefixes.collect(),
            max_tokens: line.max_tokens,
        }),
    }
}
