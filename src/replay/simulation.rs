//! Discrete-event simulation of a replay.
//!
//! Runs the decision cores of entries and agents, with simulated engines, services
//! and links, in virtual time. Events of the same time run in the order in which
//! they were scheduled, so that replays are reproducible.

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
use crate::policy::agents::AgentKey;
use crate::policy::prefix::MAX_PREFIXES;
use crate::policy::prefix::PREFIX_TOKENS;
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

/// Time before the trace starts, in which entries and agents exchange heartbeats.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after the trace in which requests in flight can end.
const COOL_DOWN: Duration = Duration::from_secs(40);
/// Time after the last fault from which requests count as arrived after recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Start of the sums that spread a fraction over a pool: rounds the number of
/// affected engines to the nearest whole number.
const ROUNDING_OFFSET: f64 = 0.5;
/// Time from an append to the log until all entries have read the record.
const LOG_LATENCY: Duration = Duration::from_millis(10);
/// Network latency of one message, one way.
const NETWORK_LATENCY: Duration = Duration::from_micros(300);
/// Incarnation of entry 0; the others follow in order.
const FIRST_ENTRY_INCARNATION: u64 = 1_000;
/// Time without a message after which a connection between entry and agent counts
/// as lost.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Event of the simulation, processed at the virtual time it is scheduled for.
///
/// Agents and entries are indexes into those of the simulation, and requests are indexes
/// of trace lines.
#[derive(Debug)]
enum ScheduledEvent {
    /// A line of the trace, by index: a request arrives or a fault is injected.
    TraceLine(usize),
    CallerDisconnected {
        entry: usize,
        key: RequestKey,
        request: usize,
    },
    /// A message from an entry reaches an agent.
    ToAgent {
        agent: usize,
        entry: usize,
        message: ToAgent,
    },
    /// A message from an agent reaches an entry.
    ToEntry {
        entry: usize,
        agent: usize,
        message: ToEntry,
    },
    /// An upstream reports an event to its agent.
    Upstream {
        agent: usize,
        event: UpstreamEvent,
    },
    PrefillFinished {
        agent: usize,
        id: AttemptId,
        request: usize,
        computed_tokens: u32,
        cached_tokens: u32,
        kv_bytes: u64,
    },
    /// A decode engine starts to import a KV cache; the import must end by the deadline.
    ImportStarted {
        agent: usize,
        decode: wire::Decode,
        deadline: Duration,
    },
    /// A KV cache import ends; ignored if its source was lost during the transfer.
    ImportFinished {
        agent: usize,
        id: AttemptId,
        request: usize,
        /// Agent of the prefill engine that the KV cache comes from.
        source: usize,
        computed_tokens: u32,
    },
    StepFinished {
        agent: usize,
    },
    CallFinished {
        agent: usize,
        id: AttemptId,
        request: usize,
    },
    TickAgent(usize),
    TickEntry(usize),
    /// The leases of the connections to a lost zone expire.
    ZoneTimedOut {
        zone: CompactString,
    },
    /// All entries read a batch of claims back from the log.
    ClaimsAppended(ClaimBatch),
}

/// Agent with its upstream, which is an engine or a plain service.
struct AgentNode {
    core: AgentCore,
    /// Simulated engine; stays idle if the upstream is a plain service.
    engine: Engine,
    pool: CompactString,
    zone: CompactString,
    upstream: CompactString,
    /// False after the zone was lost.
    up: bool,
    /// Time of the earliest scheduled tick, if any.
    next_tick_at: Option<Duration>,
    /// Load reports with the times they were made, from the newest that is at least as old
    /// as the report lag; from the first report if none is that old.
    load_reports: VecDeque<(Duration, wire::Load)>,
}

/// Entry with its connections and its requests in flight.
struct EntryNode {
    core: EntryCore,
    zone: CompactString,
    /// False after the zone was lost.
    up: bool,
    /// Agents that the entry connected to at the start, as indexes into the agents of the
    /// simulation. Lost agents stay in the map.
    agents: BTreeMap<AgentKey, usize>,
    /// Requests in flight, as indexes of their trace lines.
    requests: BTreeMap<RequestKey, usize>,
    /// Time of the earliest scheduled tick, if any.
    next_tick_at: Option<Duration>,
}

/// State of a replay: the event queue, all entries and agents, and the results.
pub struct Simulation<'a> {
    trace: &'a Trace,
    snapshot: Arc<Snapshot>,
    now: Duration,
    /// Times and sequence numbers of the scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Scheduled events by sequence number.
    events: BTreeMap<u64, ScheduledEvent>,
    /// Sequence number of the event that was scheduled last.
    sequence: u64,
    agents: Vec<AgentNode>,
    entries: Vec<EntryNode>,
    links: Links,
    summary: SummaryBuilder,
    rng: ChaCha8Rng,
    /// Number of requests passed to entries so far; assigns the next one round robin.
    arrivals: usize,
    /// Probability that a KV cache transfer stalls.
    stalled_share: f64,
    /// Age that the load reports in heartbeats have when they are sent.
    report_lag: Duration,
    /// Time of the last injected fault.
    fault_at: Option<Duration>,
    /// Offset that the next claim record gets in the log.
    next_claim_offset: u64,
}

impl<'a> Simulation<'a> {
    /// Creates the entries and agents, connects them and schedules the trace, which
    /// starts after a warm-up time.
    pub fn new(trace: &'a Trace, snapshot: &Snapshot, config: &ReplayConfig) -> Self {
        let mut simulation = Self {
            trace,
            snapshot: Arc::new(snapshot.clone()),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            agents: Vec::new(),
            entries: Vec::new(),
            links: Links::default(),
            summary: SummaryBuilder::new(trace, snapshot),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            arrivals: 0,
            stalled_share: 0.0,
            report_lag: Duration::ZERO,
            fault_at: None,
            next_claim_offset: 0,
        };
        simulation.add_agents();
        simulation.add_entries(config);
        for (index, line) in trace.lines.iter().enumerate() {
            simulation.schedule(
                WARM_UP + Duration::from_millis(line.at_ms),
                ScheduledEvent::TraceLine(index),
            );
        }
        simulation
    }

    fn schedule(&mut self, at: Duration, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Runs until no event is scheduled, at most until 40 s (`COOL_DOWN`) after the
    /// end of the trace.
    pub fn run(&mut self) {
        let end = WARM_UP + Duration::from_millis(self.trace.header.duration_ms) + COOL_DOWN;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.process(event);
            }
        }
    }

    /// Returns the summary of the replay.
    pub fn into_summary(self) -> Summary {
        let running = self.agents.iter().filter(|node| node.up);
        let held = running.map(|node| node.engine.held_streams()).sum();
        self.summary.into_summary(self.fault_at, RECOVERY_TIME, held)
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::TraceLine(index) => self.process_line(index),
            ScheduledEvent::CallerDisconnected { entry, key, request } => {
                if self.entries[entry].requests.contains_key(&key) {
                    self.summary.caller_disconnected(request);
                    let mut out = Vec::new();
                    self.entries[entry].core.caller_disconnected(self.now, key, &mut out);
                    self.execute_entry_actions(entry, out);
                }
            }
            ScheduledEvent::ToAgent { agent, entry, message } => {
                if self.entries[entry].up {
                    let entry = FIRST_ENTRY_INCARNATION + entry as u64;
                    self.handle_agent_event(agent, AgentEvent::FromEntry { entry, message });
                }
            }
            ScheduledEvent::ToEntry { entry, agent, message } => {
                self.handle_entry_message(entry, agent, message)
            }
            ScheduledEvent::Upstream { agent, event } => {
                self.handle_agent_event(agent, AgentEvent::Upstream(event));
            }
            ScheduledEvent::PrefillFinished {
                agent,
                id,
                request,
                computed_tokens,
                cached_tokens,
                kv_bytes,
            } => {
                if !self.agents[agent].up {
                    return;
                }
                let handle =
                    self.agents[agent].engine.store_result(self.now, id, request, computed_tokens);
                self.summary.prefill_finished(request, computed_tokens);
                let event = UpstreamEvent::PrefillDone { id, handle, cached_tokens, kv_bytes };
                self.handle_agent_event(agent, AgentEvent::Upstream(event));
            }
            ScheduledEvent::ImportStarted { agent, decode, deadline } => {
                self.start_import(agent, &decode, deadline)
            }
            ScheduledEvent::ImportFinished { agent, id, request, source, computed_tokens } => {
                if self.agents[source].up {
                    self.summary.import_finished(request, computed_tokens);
                    self.agents[agent].engine.store_import(id, request);
                    self.handle_agent_event(
                        agent,
                        AgentEvent::Upstream(UpstreamEvent::Imported { id }),
                    );
                }
            }
            ScheduledEvent::StepFinished { agent } => self.finish_step(agent),
            ScheduledEvent::CallFinished { agent, id, request } => {
                self.finish_call(agent, id, request)
            }
            ScheduledEvent::TickAgent(agent) => {
                self.agents[agent].next_tick_at = None;
                self.handle_agent_event(agent, AgentEvent::Tick);
            }
            ScheduledEvent::TickEntry(entry) => {
                self.entries[entry].next_tick_at = None;
                let mut out = Vec::new();
                if self.entries[entry].up {
                    self.entries[entry].core.tick(self.now, &mut out);
                    self.execute_entry_actions(entry, out);
                }
            }
            ScheduledEvent::ZoneTimedOut { zone } => self.disconnect_zone(&zone),
            ScheduledEvent::ClaimsAppended(batch) => self.deliver_claims(&batch),
        }
    }

    fn process_line(&mut self, index: usize) {
        match &self.trace.lines[index].event {
            Event::Fault(fault) => self.inject_fault(&fault.clone()),
            Event::Generate(generate) => {
                let incoming = incoming_generation(index, generate);
                self.accept_request(index, incoming, generate.gone_after_ms);
            }
            Event::Call(call) => {
                let incoming = IncomingRequest {
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
                self.accept_request(index, incoming, None);
            }
        }
    }

    /// Passes a request to the next running entry; drops it if no entry runs.
    fn accept_request(
        &mut self,
        index: usize,
        incoming: IncomingRequest,
        gone_after_ms: Option<u64>,
    ) {
        let running: Vec<usize> =
            (0..self.entries.len()).filter(|&entry| self.entries[entry].up).collect();
        let Some(&entry) = running.get(self.arrivals % running.len().max(1)) else { return };
        self.arrivals += 1;
        let is_call = matches!(incoming.work, IncomingWork::Call(_));
        self.summary.request_arrived(index, self.now, is_call);
        let mut out = Vec::new();
        let key = self.entries[entry].core.on_request(self.now, incoming, &mut out);
        self.entries[entry].requests.insert(key, index);
        self.execute_entry_actions(entry, out);
        if let Some(after_ms) = gone_after_ms {
            let at = self.now + Duration::from_millis(after_ms);
            self.schedule(at, ScheduledEvent::CallerDisconnected { entry, key, request: index });
        }
    }

    /// Delivers a claim record, as read back from the log, to all running entries.
    fn deliver_claims(&mut self, batch: &ClaimBatch) {
        let offset = self.next_claim_offset;
        self.next_claim_offset += 1;
        for entry in 0..self.entries.len() {
            if self.entries[entry].up {
                let mut out = Vec::new();
                let core = &mut self.entries[entry].core;
                core.on_claim_record(self.now, offset, Duration::ZERO, batch, &mut out);
                self.execute_entry_actions(entry, out);
            }
        }
    }

    /// Passes an event to the core of an agent, executes the actions that it returns
    /// and schedules its next tick, no sooner than 100 microseconds from now.
    fn handle_agent_event(&mut self, agent: usize, event: AgentEvent) {
        if !self.agents[agent].up {
            return;
        }
        let mut out = Vec::new();
        self.agents[agent].core.handle(self.now, event, &mut out);
        self.execute_agent_actions(agent, out);
        let tick_at = self.agents[agent]
            .core
            .next_wakeup(self.now)
            .max(self.now + Duration::from_micros(100));
        if self.agents[agent].next_tick_at.is_none_or(|at| tick_at < at) {
            self.agents[agent].next_tick_at = Some(tick_at);
            self.schedule(tick_at, ScheduledEvent::TickAgent(agent));
        }
    }

    fn handle_entry_message(&mut self, entry: usize, agent: usize, message: ToEntry) {
        if !self.entries[entry].up || !self.agents[agent].up {
            return;
        }
        let key = self.entries[entry].agents.iter().find(|(_, connected)| **connected == agent);
        let Some(key) = key.map(|(key, _)| *key) else { return };
        let mut out = Vec::new();
        self.entries[entry].core.on_agent_message(self.now, key, message, &mut out);
        self.execute_entry_actions(entry, out);
    }

    /// Executes the actions of an entry core and schedules its next tick, no sooner
    /// than 100 microseconds from now.
    fn execute_entry_actions(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { agent, message } => {
                    if let Some(&agent) = self.entries[entry].agents.get(&agent) {
                        let at = self.now + NETWORK_LATENCY;
                        self.schedule(at, ScheduledEvent::ToAgent { agent, entry, message });
                    }
                }
                EntryAction::Respond { request, part } => self.respond(entry, request, &part),
                EntryAction::AppendClaims(batch) => {
                    self.schedule(self.now + LOG_LATENCY, ScheduledEvent::ClaimsAppended(batch));
                }
                EntryAction::Record(record) => {
                    if let Decision::Retried(reason) = record.decision {
                        self.summary.retried(reason.to_string());
                    }
                }
                _ => {}
            }
        }
        let tick_at = self.entries[entry]
            .core
            .next_wakeup(self.now)
            .max(self.now + Duration::from_micros(100));
        if self.entries[entry].next_tick_at.is_none_or(|at| tick_at < at) {
            self.entries[entry].next_tick_at = Some(tick_at);
            self.schedule(tick_at, ScheduledEvent::TickEntry(entry));
        }
    }

    /// Records a part of a response as it reaches the caller.
    fn respond(&mut self, entry: usize, key: RequestKey, part: &ResponsePart) {
        let Some(request) = self.entries[entry].requests.get(&key).copied() else { return };
        self.summary.part_sent(request, self.now, part);
        if part.is_final() {
            self.entries[entry].requests.remove(&key);
        }
    }
}

/// Encodes the index of a trace line, which replayed requests carry as their body.
fn index_bytes(index: usize) -> Bytes {
    Bytes::copy_from_slice(&(index as u64).to_le_bytes())
}

/// Decodes the index of a trace line from the body of a replayed request.
fn index_of(bytes: &[u8]) -> usize {
    let bytes: [u8; 8] =
        bytes.try_into().expect("the body of a replayed request is an index of 8 bytes");
    u64::from_le_bytes(bytes) as usize
}

/// Builds the request of a trace line. Prompts of one family get equal hashes for the
/// prefix that they share; the hashes after it are unique to the request.
fn incoming_generation(index: usize, line: &GenerateLine) -> IncomingRequest {
    let shared = if line.family == 0 { 0 } else { line.shared_tokens };
    let chunks = (line.prompt_tokens / PREFIX_TOKENS).min(MAX_PREFIXES as u32);
    let prefixes = (0..chunks).map(|chunk| {
        let is_shared = (chunk + 1) * PREFIX_TOKENS <= shared;
        let prefix_id = if is_shared { u64::from(line.family) } else { !(index as u64) };
        xxh3_64(&[prefix_id.to_le_bytes(), u64::from(chunk).to_le_bytes()].concat())
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
