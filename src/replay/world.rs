//! Entries, agents and fakes in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::agent::AgentAction;
use crate::agent::AgentConfig;
use crate::agent::AgentCore;
use crate::agent::AgentEvent;
use crate::agent::UpstreamEvent;
use crate::entry::Answer;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryConfig;
use crate::entry::EntryCore;
use crate::entry::request::Arrival;
use crate::entry::request::ArrivalWork;
use crate::entry::request::CallArrival;
use crate::entry::request::GenerateArrival;
use crate::entry::request::RequestKey;
use crate::manifest::Snapshot;
use crate::manifest::fold::publish_record;
use crate::policy::placement::Place;
use crate::policy::prefix::MAX_PREFIXES;
use crate::policy::prefix::PREFIX_TOKENS;
use crate::policy::subset::Member;
use crate::policy::subset::subset;
use crate::policy::view::AgentKey;
use crate::replay::ReplayConfig;
use crate::replay::engine::Engine;
use crate::replay::judge::Judge;
use crate::replay::judge::Summary;
use crate::replay::links::Links;
use crate::replay::trace::Event;
use crate::replay::trace::Fault;
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
enum Happening {
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
pub struct World<'a> {
    trace: &'a Trace,
    snapshot: Arc<Snapshot>,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    sequence: u64,
    agents: Vec<AgentNode>,
    entries: Vec<EntryNode>,
    links: Links,
    judge: Judge,
    rng: ChaCha8Rng,
    turn: usize,
    stalled_share: f64,
    report_lag: Duration,
    fault_at: Option<Duration>,
    claims_appended: u64,
}

impl<'a> World<'a> {
    /// A warmed-up world before the first line of the trace.
    pub fn new(trace: &'a Trace, snapshot: &Snapshot, config: &ReplayConfig) -> Self {
        let mut world = Self {
            trace,
            snapshot: Arc::new(snapshot.clone()),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            sequence: 0,
            agents: Vec::new(),
            entries: Vec::new(),
            links: Links::default(),
            judge: Judge::new(trace, snapshot),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            turn: 0,
            stalled_share: 0.0,
            report_lag: Duration::ZERO,
            fault_at: None,
            claims_appended: 0,
        };
        world.add_agents();
        world.add_entries(config);
        for (index, line) in trace.lines.iter().enumerate() {
            world.at(WARM_UP + Duration::from_millis(line.at_ms), Happening::Line(index));
        }
        world
    }

    fn zone(&self, number: usize) -> CompactString {
        self.trace.header.zones[number % self.trace.header.zones.len()].clone()
    }

    fn add_agents(&mut self) {
        let snapshot = self.snapshot.clone();
        for pool in &snapshot.manifest.pools {
            for replica in 0..pool.replicas as usize {
                let zone = self.zone(replica);
                let name = CompactString::from(format!("{}-{replica}", pool.name));
                let config = AgentConfig {
                    name: name.clone(),
                    pool: pool.name.as_str().into(),
                    region: self.trace.header.region.clone(),
                    zone: zone.clone(),
                    upstream: name.clone(),
                    lease_ttl: LEASE_TTL,
                    ..AgentConfig::default()
                };
                let node = AgentNode {
                    core: AgentCore::new(config),
                    engine: Engine::new(pool),
                    pool: pool.name.as_str().into(),
                    zone,
                    upstream: name,
                    up: true,
                    wakes_at: None,
                    reports: VecDeque::new(),
                };
                self.agents.push(node);
                let agent = self.agents.len() - 1;
                let mut out = Vec::new();
                self.agents[agent].core.adopt(snapshot.clone(), &mut out);
                self.carry_out_agent(agent, out);
            }
        }
    }

    fn add_entries(&mut self, config: &ReplayConfig) {
        for number in 0..config.entries {
            let zone = self.zone(number);
            let entry_config = EntryConfig {
                name: format!("entry-{number}").into(),
                incarnation: FIRST_ENTRY_INCARNATION + number as u64,
                place: Place { region: self.trace.header.region.clone(), zone: zone.clone() },
                policy: config.policy,
                random_seed: config.seed,
                lease_ttl: LEASE_TTL,
                ..EntryConfig::default()
            };
            let mut core = EntryCore::new(entry_config);
            let record = publish_record("replay", "replay", 0, &self.snapshot.body);
            let text = serde_json::to_string(&record).expect("a record is plain data");
            let mut out = Vec::new();
            core.set_log_up(true);
            core.on_manifest_start(0);
            core.on_manifest_record(self.now, 0, Duration::ZERO, &text, &mut out);
            let node = EntryNode {
                core,
                zone,
                up: true,
                agents: BTreeMap::new(),
                requests: BTreeMap::new(),
                wakes_at: None,
            };
            self.entries.push(node);
        }
        for number in 0..config.entries {
            self.connect(number, config.entries_per_agent);
        }
    }

    fn member(&self, zone: &CompactString, name: &CompactString) -> Member {
        let region = self.trace.header.region.clone();
        Member { region, zone: zone.clone(), name: name.clone() }
    }

    /// The agents that an entry connects to, chosen for each pool by itself.
    fn subset_of(&self, entry: usize, entries_per_agent: usize) -> Vec<usize> {
        let entries: Vec<Member> = (0..self.entries.len())
            .map(|number| {
                self.member(&self.entries[number].zone, &format!("entry-{number}").into())
            })
            .collect();
        let mut chosen = Vec::new();
        for pool in &self.snapshot.manifest.pools {
            let of_pool: Vec<usize> = (0..self.agents.len())
                .filter(|&agent| self.agents[agent].pool == pool.name.as_str())
                .collect();
            let members: Vec<Member> = of_pool
                .iter()
                .map(|&agent| self.member(&self.agents[agent].zone, &self.agents[agent].upstream))
                .collect();
            let mine = subset(&entries[entry].name, &entries, &members, entries_per_agent);
            chosen.extend(mine.into_iter().map(|index| of_pool[index]));
        }
        chosen
    }

    fn connect(&mut self, entry: usize, entries_per_agent: usize) {
        let hello = wire::EntryHello {
            entry: FIRST_ENTRY_INCARNATION + entry as u64,
            name: format!("entry-{entry}"),
            generation: 1,
        };
        for agent in self.subset_of(entry, entries_per_agent) {
            let greeting = self.agents[agent].core.hello(self.now);
            let ToEntry::Hello(greeting) = greeting else { continue };
            let mut out = Vec::new();
            let key = self.entries[entry].core.agent_connected(self.now, &greeting, &mut out);
            self.entries[entry].agents.insert(key, agent);
            self.carry_out_entry(entry, out);
            self.agent_event(agent, AgentEvent::EntryConnected(hello.clone()));
        }
    }

    fn at(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    /// Runs to the end of the trace and until what is in flight has ended.
    pub fn run(&mut self) {
        let end = WARM_UP + Duration::from_millis(self.trace.header.duration_ms) + DRAIN;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&sequence) {
                self.happen(happening);
            }
        }
    }

    /// What came of the trace.
    pub fn into_summary(self) -> Summary {
        let up = self.agents.iter().filter(|node| node.up);
        let held = up.map(|node| node.engine.held()).sum();
        self.judge.into_summary(self.fault_at, SETTLE, held)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Line(index) => self.line(index),
            Happening::CallerGone { entry, key, request } => {
                if self.entries[entry].requests.contains_key(&key) {
                    self.judge.caller_gone(request);
                    let mut out = Vec::new();
                    self.entries[entry].core.caller_gone(self.now, key, &mut out);
                    self.carry_out_entry(entry, out);
                }
            }
            Happening::ToAgent { agent, entry, message } => {
                if self.entries[entry].up {
                    let entry = FIRST_ENTRY_INCARNATION + entry as u64;
                    self.agent_event(agent, AgentEvent::FromEntry { entry, message });
                }
            }
            Happening::ToEntry { entry, agent, message } => {
                self.entry_message(entry, agent, message)
            }
            Happening::Upstream { agent, event } => {
                self.agent_event(agent, AgentEvent::Upstream(event));
            }
            Happening::Computed { agent, id, request, computed, cached, kv_bytes } => {
                let handle = self.agents[agent].engine.keep(self.now, id, request, computed);
                self.judge.prefilled(request, computed);
                let event =
                    UpstreamEvent::PrefillDone { id, handle, cached_tokens: cached, kv_bytes };
                self.agent_event(agent, AgentEvent::Upstream(event));
            }
            Happening::Import { agent, decode, until } => self.import(agent, &decode, until),
            Happening::Imported { agent, id, request, source, computed } => {
                if self.agents[source].up {
                    self.judge.imported(request, computed);
                    self.agents[agent].engine.import(id, request);
                    self.agent_event(agent, AgentEvent::Upstream(UpstreamEvent::Imported { id }));
                }
            }
            Happening::Step { agent } => self.step(agent),
            Happening::Called { agent, id, request } => self.called(agent, id, request),
            Happening::TickAgent(agent) => {
                self.agents[agent].wakes_at = None;
                self.agent_event(agent, AgentEvent::Tick);
            }
            Happening::TickEntry(entry) => {
                self.entries[entry].wakes_at = None;
                let mut out = Vec::new();
                if self.entries[entry].up {
                    self.entries[entry].core.tick(self.now, &mut out);
                    self.carry_out_entry(entry, out);
                }
            }
            Happening::SilenceNoticed { zone } => self.notice_silence(&zone),
            Happening::ClaimsAppended(batch) => self.append_claims(&batch),
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
                let arrival = Arrival {
                    request_id: index.to_string().into(),
                    account: call.account.clone(),
                    work: ArrivalWork::Call(CallArrival {
                        service: call.service.clone(),
                        method: call.method.clone(),
                        path: call.path.clone(),
                        body: index_bytes(index),
                        idempotency_key: call.key.clone(),
                        ..CallArrival::default()
                    }),
                };
                self.arrive(index, arrival, None);
            }
        }
    }

    fn arrive(&mut self, index: usize, arrival: Arrival, gone_after_ms: Option<u64>) {
        let up: Vec<usize> =
            (0..self.entries.len()).filter(|&entry| self.entries[entry].up).collect();
        let Some(&entry) = up.get(self.turn % up.len().max(1)) else { return };
        self.turn += 1;
        let is_call = matches!(arrival.work, ArrivalWork::Call(_));
        self.judge.arrived(index, self.now, is_call);
        let mut out = Vec::new();
        let key = self.entries[entry].core.arrive(self.now, arrival, &mut out);
        self.entries[entry].requests.insert(key, index);
        self.carry_out_entry(entry, out);
        if let Some(after_ms) = gone_after_ms {
            let at = self.now + Duration::from_millis(after_ms);
            self.at(at, Happening::CallerGone { entry, key, request: index });
        }
    }

    fn fail(&mut self, fault: &Fault) {
        self.fault_at = Some(self.now);
        match fault {
            Fault::ZoneLost { zone } => self.lose_zone(zone),
            Fault::SlowEngines { share, factor } => {
                let mut seen: BTreeMap<CompactString, f64> = BTreeMap::new();
                for node in &mut self.agents {
                    let pool = node.upstream.rsplit_once('-').map_or("", |(pool, _)| pool);
                    let owed = seen.entry(pool.into()).or_insert(ROUND_TO_NEAREST);
                    *owed += share;
                    if *owed >= 1.0 {
                        *owed -= 1.0;
                        node.engine.slowdown = *factor;
                    }
                }
            }
            Fault::StalledTransfers { share } => self.stalled_share = *share,
            Fault::LateReports { lag_ms } => self.report_lag = Duration::from_millis(*lag_ms),
        }
    }

    fn lose_zone(&mut self, zone: &CompactString) {
        for node in self.agents.iter_mut().filter(|node| node.zone == *zone) {
            node.up = false;
        }
        for entry in &mut self.entries {
            if entry.zone == *zone {
                entry.up = false;
                for &request in entry.requests.values() {
                    self.judge.lost(request);
                }
            }
        }
        // A lost zone says no goodbye: its connections end by silence.
        let at = self.now + LEASE_TTL;
        self.at(at, Happening::SilenceNoticed { zone: zone.clone() });
    }

    fn notice_silence(&mut self, zone: &CompactString) {
        for entry in 0..self.entries.len() {
            if !self.entries[entry].up {
                continue;
            }
            let lost: Vec<AgentKey> = self.entries[entry]
                .agents
                .iter()
                .filter(|(_, agent)| self.agents[**agent].zone == *zone)
                .map(|(key, _)| *key)
                .collect();
            for key in lost {
                let mut out = Vec::new();
                self.entries[entry].core.agent_lost(self.now, key, &mut out);
                self.carry_out_entry(entry, out);
            }
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
            self.at(wake, Happening::TickAgent(agent));
        }
    }

    fn entry_message(&mut self, entry: usize, agent: usize, message: ToEntry) {
        if !self.entries[entry].up || !self.agents[agent].up {
            return;
        }
        let key = self.entries[entry].agents.iter().find(|(_, known)| **known == agent);
        let Some(key) = key.map(|(key, _)| *key) else { return };
        let mut out = Vec::new();
        self.entries[entry].core.from_agent(self.now, key, message, &mut out);
        self.carry_out_entry(entry, out);
    }

    fn carry_out_entry(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { agent, message } => {
                    if let Some(&agent) = self.entries[entry].agents.get(&agent) {
                        let at = self.now + HOP;
                        self.at(at, Happening::ToAgent { agent, entry, message });
                    }
                }
                EntryAction::Answer { request, answer } => self.answer(entry, request, &answer),
                EntryAction::AppendClaims(batch) => {
                    self.at(self.now + LOG_LATENCY, Happening::ClaimsAppended(batch));
                }
                EntryAction::Record(record) => {
                    if let Decision::Retried(reason) = record.what {
                        self.judge.retried(reason.to_string());
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
            self.at(wake, Happening::TickEntry(entry));
        }
    }

    fn answer(&mut self, entry: usize, key: RequestKey, answer: &Answer) {
        let Some(request) = self.entries[entry].requests.get(&key).copied() else { return };
        self.judge.answered(request, self.now, answer);
        if answer.is_final() {
            self.entries[entry].requests.remove(&key);
        }
    }

    fn carry_out_agent(&mut self, agent: usize, actions: Vec<AgentAction>) {
        for action in actions {
            self.carry_out_agent_one(agent, action);
        }
    }

    fn carry_out_agent_one(&mut self, agent: usize, action: AgentAction) {
        let now = self.now;
        match action {
            AgentAction::Send { entry, message } => {
                let Some(entry) = entry.checked_sub(FIRST_ENTRY_INCARNATION) else { return };
                let message = self.with_late_load(agent, message);
                let entry = entry as usize;
                self.at(now + HOP, Happening::ToEntry { entry, agent, message });
            }
            AgentAction::Prefill(prefill) => self.prefill(agent, &prefill),
            AgentAction::Import { decode, timeout } => {
                self.at(now, Happening::Import { agent, decode, until: now + timeout });
            }
            AgentAction::Decode { id, from_index, max_tokens, .. } => {
                self.decode(agent, id, from_index, max_tokens);
            }
            AgentAction::Stop { id } => {
                self.agents[agent].engine.stop(id);
                let event = UpstreamEvent::Stopped { id };
                self.at(now + HOP, Happening::Upstream { agent, event });
            }
            AgentAction::Call(call) => {
                let id = call.id.unwrap_or_default();
                let request = index_of(&call.body);
                let takes = self.call_time(request);
                self.at(now + takes, Happening::Called { agent, id, request });
            }
            AgentAction::ListStreams => {
                let event = UpstreamEvent::Running { streams: self.agents[agent].engine.running() };
                self.at(now, Happening::Upstream { agent, event });
            }
            _ => {}
        }
    }

    /// Heartbeats come on time, but the load in them may be an old one.
    fn with_late_load(&mut self, agent: usize, message: ToEntry) -> ToEntry {
        let ToEntry::Heartbeat(mut beat) = message else { return message };
        if let Some(load) = beat.load {
            let reports = &mut self.agents[agent].reports;
            reports.push_back((self.now, load));
            let horizon = self.now.saturating_sub(self.report_lag);
            while reports.len() > 1 && reports[1].0 <= horizon {
                reports.pop_front();
            }
            beat.load = reports.front().map(|(_, load)| *load);
        }
        ToEntry::Heartbeat(beat)
    }

    fn prefill(&mut self, agent: usize, prefill: &wire::Prefill) {
        let request = index_of(&prefill.prompt);
        let engine = &mut self.agents[agent].engine;
        let cached = engine.cache(&prefill.prefixes, prefill.prompt_tokens);
        let computed = prefill.prompt_tokens - cached;
        let done = self.now + engine.prefill_time(computed);
        let model = self.snapshot.model(&prefill.model);
        let kv_bytes_per_token = model.map_or(0, |model| model.kv_bytes_per_token);
        let kv_bytes = u64::from(prefill.prompt_tokens) * u64::from(kv_bytes_per_token);
        let id = prefill.id.unwrap_or_default();
        self.at(done, Happening::Computed { agent, id, request, computed, cached, kv_bytes });
    }

    fn import(&mut self, agent: usize, decode: &wire::Decode, until: Duration) {
        let id = decode.id.unwrap_or_default();
        let failed = |gone| UpstreamEvent::ImportFailed { id, gone };
        let source = self.agents.iter().position(|node| node.upstream == decode.source);
        let Some(source) = source.filter(|&source| self.agents[source].up) else {
            self.at(until, Happening::Upstream { agent, event: failed(false) });
            return;
        };
        let Some(kv) = self.agents[source].engine.result(self.now, &decode.handle) else {
            self.at(self.now + HOP, Happening::Upstream { agent, event: failed(true) });
            return;
        };
        if self.rng.random_bool(self.stalled_share) {
            self.at(until, Happening::Upstream { agent, event: failed(false) });
            return;
        }
        let (from, to) = (self.agents[source].zone.clone(), self.agents[agent].zone.clone());
        let snapshot = self.snapshot.clone();
        let done = self.links.transfer(self.now, &snapshot, &from, &to, decode.kv_bytes);
        if done > until {
            self.at(until, Happening::Upstream { agent, event: failed(false) });
        } else if done >= kv.evicted_at {
            self.at(kv.evicted_at, Happening::Upstream { agent, event: failed(true) });
        } else {
            let (request, computed) = (kv.request, kv.computed_tokens);
            self.at(done, Happening::Imported { agent, id, request, source, computed });
        }
    }

    fn decode(&mut self, agent: usize, id: AttemptId, from_index: u32, max_tokens: u32) {
        let Some(request) = self.agents[agent].engine.request_of(id) else { return };
        let Event::Generate(generate) = &self.trace.lines[request].event else { return };
        let end = generate.output_tokens.min(max_tokens);
        if self.agents[agent].engine.decode(id, from_index, end) {
            let at = self.now + self.agents[agent].engine.step_time();
            self.at(at, Happening::Step { agent });
        }
    }

    fn step(&mut self, agent: usize) {
        if !self.agents[agent].up {
            return;
        }
        for token in self.agents[agent].engine.step() {
            let event = UpstreamEvent::Chunk {
                id: token.id,
                index: token.index,
                text: Bytes::from_static(b"t"),
                last: token.last,
                finish_reason: "stop".to_string(),
            };
            self.agent_event(agent, AgentEvent::Upstream(event));
        }
        if self.agents[agent].engine.steps_on() {
            let at = self.now + self.agents[agent].engine.step_time();
            self.at(at, Happening::Step { agent });
        }
    }

    fn call_time(&self, request: usize) -> Duration {
        match &self.trace.lines[request].event {
            Event::Call(call) => Duration::from_millis(call.takes_ms),
            _ => Duration::ZERO,
        }
    }

    fn called(&mut self, agent: usize, id: AttemptId, request: usize) {
        if !self.agents[agent].up {
            return;
        }
        if let Event::Call(call) = &self.trace.lines[request].event {
            let rule = self.snapshot.non_idempotent_call(&call.service, &call.method, &call.path);
            self.judge.ran(request, rule.is_none());
        }
        let reply = wire::CallReply { id: Some(id), status: 200, ..wire::CallReply::default() };
        self.agent_event(agent, AgentEvent::Upstream(UpstreamEvent::CallDone { id, reply }));
    }
}

fn index_bytes(index: usize) -> Bytes {
    Bytes::copy_from_slice(&(index as u64).to_le_bytes())
}

fn index_of(bytes: &[u8]) -> usize {
    let bytes: [u8; 8] = bytes.try_into().expect("a replayed body is an index");
    u64::from_le_bytes(bytes) as usize
}

fn generate_arrival(index: usize, line: &GenerateLine) -> Arrival {
    let shared = if line.family == 0 { 0 } else { line.shared_tokens };
    let chunks = (line.prompt_tokens / PREFIX_TOKENS).min(MAX_PREFIXES as u32);
    let prefixes = (0..chunks).map(|chunk| {
        let is_shared = (chunk + 1) * PREFIX_TOKENS <= shared;
        let owner = if is_shared { u64::from(line.family) } else { !(index as u64) };
        xxh3_64(&[owner.to_le_bytes(), u64::from(chunk).to_le_bytes()].concat())
    });
    Arrival {
        request_id: index.to_string().into(),
        account: line.account.clone(),
        work: ArrivalWork::Generate(GenerateArrival {
            model: line.model.clone(),
            prompt: index_bytes(index),
            prompt_tokens: line.prompt_tokens,
            prefixes: prefixes.collect(),
            max_tokens: line.max_tokens,
        }),
    }
}
