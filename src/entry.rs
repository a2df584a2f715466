//! The decision core of an entry, the process that callers talk to, if it reaches the
//! upstreams through agents. An entry that calls them itself has [`crate::router`].
//!
//! The core does no I/O. Its methods take requests, messages from agents, records
//! of the log and the current time, and append actions to a list. Each request
//! gets exactly one final part of a response, unless its caller disconnects.

mod action;
pub mod calls;
mod candidates;
mod claiming;
pub mod claims;
mod configuration;
mod decoding;
mod generate;
pub mod membership;
mod prefilling;
pub mod request;
mod silence;
mod silent_attempt;
mod slots;
mod timers;

pub use action::Decision;
pub use action::EntryAction;
pub use action::EntryConfig;
pub use action::EntryRecord;
pub use action::ResponsePart;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;

use crate::entry::claims::ClaimIndex;
use crate::entry::configuration::CarryForward;
use crate::entry::membership::Membership;
use crate::entry::request::IncomingRequest;
use crate::entry::request::Request;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::entry::timers::Timers;
use crate::manifest::Snapshot;
use crate::manifest::fold::ManifestFold;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::policy::agents::AgentKey;
use crate::policy::agents::AgentTable;
use crate::policy::ejection::EjectionLimits;
use crate::policy::fair::FairShare;
use crate::policy::placement::policy_of;
use crate::policy::prefix::PrefixIndex;
use crate::policy::retry::RetryBudget;
use crate::policy::slot_wait::SlotWaitEstimator;
use crate::schema::record::ClaimBatch;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::Load;
use crate::schema::wire::to_agent::Kind as ToAgent;
use crate::schema::wire::to_entry::Kind as ToEntry;

/// Statistics of the completed generations of one model.
#[derive(Debug, Default)]
struct ModelStats {
    /// Moving average of generated tokens as a share of the requested maximum.
    output_share: Option<f64>,
}

/// Decision core of one entry.
#[derive(Debug)]
pub struct EntryCore {
    config: EntryConfig,
    manifest_fold: ManifestFold,
    carry_forward: CarryForward,
    agents: AgentTable,
    membership: Membership,
    requests: SlotMap<RequestKey, Request>,
    timers: Timers,
    pending_cancels: HashMap<AttemptId, PendingCancel>,
    prefix_index: PrefixIndex,
    fair_share: FairShare,
    /// Estimators of the wait for a decode slot, by model.
    slot_wait_estimators: HashMap<CompactString, SlotWaitEstimator>,
    /// Retry budgets, by model or by pool of a service.
    retry_budgets: HashMap<CompactString, RetryBudget>,
    model_stats: HashMap<CompactString, ModelStats>,
    claims: ClaimIndex,
    /// Claims and completions gathered since the last batch for the log.
    unsent_claims: ClaimBatch,
    log_reachable: bool,
    /// Number of choices made under the round-robin policy.
    round_robin_turn: usize,
    rng: ChaCha8Rng,
    /// When the next heartbeats are sent.
    heartbeat_due: Duration,
    /// When unconfirmed cancels are sent again.
    cancel_retry_due: Duration,
    leaving: bool,
    exit_sent: bool,
}

/// A cancel that its agent has not confirmed.
#[derive(Debug, Clone, Copy)]
struct PendingCancel {
    agent: AgentKey,
}

/// An agent gets no new work once no message from it has arrived for this many
/// heartbeat intervals.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Interval at which unconfirmed cancels are sent again. Also the default retry
/// delay advised to callers whose request did not run.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl EntryCore {
    /// Creates a core without manifest, agents or requests.
    pub fn new(config: EntryConfig) -> Self {
        Self {
            manifest_fold: ManifestFold::new(config.max_manifest_bytes),
            carry_forward: CarryForward::default(),
            agents: AgentTable::new(config.heartbeat_interval * MAX_MISSED_HEARTBEATS),
            membership: Membership::default(),
            requests: SlotMap::with_key(),
            timers: Timers::default(),
            pending_cancels: HashMap::new(),
            prefix_index: PrefixIndex::default(),
            fair_share: FairShare::default(),
            slot_wait_estimators: HashMap::new(),
            retry_budgets: HashMap::new(),
            model_stats: HashMap::new(),
            claims: ClaimIndex::default(),
            unsent_claims: ClaimBatch::default(),
            log_reachable: false,
            round_robin_turn: 0,
            rng: ChaCha8Rng::seed_from_u64(config.random_seed ^ config.incarnation),
            heartbeat_due: Duration::ZERO,
            cancel_retry_due: Duration::ZERO,
            leaving: false,
            exit_sent: false,
            config,
        }
    }

    /// Number of requests in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Generation of the manifest in force at this entry, 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.manifest_fold.generation()
    }

    /// True if the entry accepts requests: it has a manifest and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.generation() > 0 && !self.leaving
    }

    /// The manifest in force, or `None` before the first one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.manifest_fold.in_force_shared()
    }

    /// All agents that the entry knows, with their load and health.
    pub fn agents(&self) -> &AgentTable {
        &self.agents
    }

    /// Number of idempotency keys that the claim index holds.
    pub fn remembered_claims(&self) -> usize {
        self.claims.len()
    }

    /// Starts a new request, or refuses it at once. The response is returned in
    /// parts, as actions, from this and later calls.
    pub fn on_request(
        &mut self,
        now: Duration,
        incoming: IncomingRequest,
        out: &mut Vec<EntryAction>,
    ) -> RequestKey {
        let snapshot = self.manifest_fold.in_force_shared();
        let key = self.requests.insert(Request::new(now, incoming, snapshot));
        if self.leaving {
            self.refuse(
                key,
                Refusal::not_run(RefusalReason::ShuttingDown, Some(RETRY_INTERVAL)),
                out,
            );
        } else if self.requests[key].snapshot.is_none() {
            let retry_after = Some(self.config.heartbeat_interval);
            self.refuse(key, Refusal::not_run(RefusalReason::NotReady, retry_after), out);
        } else {
            self.start_request(now, key, out);
        }
        self.flush(now, out);
        key
    }

    fn start_request(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        match self.requests[key].work {
            Work::Generate(_) => self.start_generate(now, key, out),
            Work::Call(_) => self.start_call(now, key, out),
        }
    }

    /// Ends a request whose caller disconnected, and cancels its work at agents.
    pub fn caller_disconnected(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.requests.contains_key(key) {
            return;
        }
        self.record_decision(key, Decision::Cancelled, None, String::new(), out);
        self.cancel_attempts(key, out);
        self.remove(key);
        self.flush(now, out);
    }

    /// Registers the connection of an agent that has sent its hello, and resumes
    /// the requests that waited for it to reconnect.
    pub fn agent_connected(
        &mut self,
        now: Duration,
        hello: &wire::AgentHello,
        out: &mut Vec<EntryAction>,
    ) -> AgentKey {
        let known_agent = self.agents.key_by_name(&hello.name);
        let previous_incarnation =
            known_agent.and_then(|key| self.agents.get(key)).map(|agent| agent.incarnation);
        let agent = self.agents.connect(now, hello);
        self.record_agent_decision(agent, Decision::AgentConnected, out);
        let same_incarnation = previous_incarnation == Some(hello.incarnation);
        self.pending_cancels.retain(|_, cancel| cancel.agent != agent || same_incarnation);
        self.resume_attempts(now, agent, same_incarnation, out);
        self.pull_if_behind(agent, hello.generation, out);
        self.flush(now, out);
        agent
    }

    /// Handles the loss of the connection to an agent. Token streams, and calls
    /// that are not idempotent, wait for it to reconnect; other work there is retried
    /// or its request refused.
    pub fn agent_disconnected(
        &mut self,
        now: Duration,
        agent: AgentKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        if !view.connected {
            return;
        }
        view.connected = false;
        view.open_calls = 0;
        self.record_agent_decision(agent, Decision::AgentLost, out);
        for key in self.requests.keys().collect::<Vec<_>>() {
            self.request_agent_disconnected(now, key, agent, out);
        }
        self.flush(now, out);
    }

    fn request_agent_disconnected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        out: &mut Vec<EntryAction>,
    ) {
        match &self.requests[key].work {
            Work::Generate(_) => self.generate_agent_disconnected(now, key, agent, out),
            Work::Call(_) => self.call_agent_disconnected(now, key, agent, out),
        }
    }

    /// Handles a message from an agent.
    pub fn on_agent_message(
        &mut self,
        now: Duration,
        agent: AgentKey,
        message: ToEntry,
        out: &mut Vec<EntryAction>,
    ) {
        self.agents.record_message(now, agent);
        match message {
            ToEntry::Hello(_) => {}
            ToEntry::Heartbeat(heartbeat) => self.on_heartbeat(now, agent, &heartbeat, out),
            ToEntry::Manifest(copy) => self.on_manifest_copy(now, &copy, out),
            ToEntry::ManifestPull(pull) => self.on_manifest_pull(agent, &pull, out),
            ToEntry::Cancelled(cancelled) => {
                self.pending_cancels.remove(&cancelled.id.unwrap_or_default());
            }
            ToEntry::ReserveReply(reply) => self.on_reserve_reply(now, agent, &reply, out),
            ToEntry::SlotReady(ready) => self.on_slot_ready(now, ready.id.unwrap_or_default(), out),
            ToEntry::PrefillReply(reply) => self.on_prefill_reply(now, agent, reply, out),
            ToEntry::Imported(imported) => {
                self.on_imported(now, imported.id.unwrap_or_default(), out)
            }
            ToEntry::Chunk(chunk) => self.on_chunk(now, agent, chunk, out),
            ToEntry::StreamFailed(failed) => self.on_stream_failed(now, agent, &failed, out),
            ToEntry::Rejected(rejected) => self.on_rejected(now, agent, &rejected, out),
            ToEntry::CallReply(reply) => self.on_call_reply(now, agent, reply, out),
            ToEntry::AbandonReply(reply) => self.on_abandon_reply(now, &reply, out),
        }
        self.flush(now, out);
    }

    fn on_heartbeat(
        &mut self,
        now: Duration,
        agent: AgentKey,
        heartbeat: &wire::AgentHeartbeat,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.leaving |= heartbeat.leaving;
        }
        self.update_load(now, agent, heartbeat.load.as_ref());
        self.pull_if_behind(agent, heartbeat.generation, out);
    }

    fn update_load(&mut self, now: Duration, agent: AgentKey, load: Option<&Load>) {
        if let (Some(view), Some(load)) = (self.agents.get_mut(agent), load) {
            view.apply_report(now, load);
        }
    }

    /// Starts a graceful shutdown: new requests are refused, those in flight go on.
    /// [`EntryAction::Exit`] follows when they have ended and agents have confirmed
    /// all cancels.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        self.leaving = true;
        self.flush(now, out);
    }

    /// Does everything that is due at `now`: handles the timers of requests, sends
    /// unconfirmed cancels again, and sends heartbeats and the carry-forward record.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        while let Some(key) = self.timers.pop_due(now) {
            self.on_timer(now, key, out);
        }
        self.retry_cancels(now, out);
        self.send_heartbeats(now, out);
        self.carry_manifest_forward(now, out);
        self.flush(now, out);
    }

    /// Latest time at which [`Self::tick`] must be called again.
    pub fn next_wakeup(&self, now: Duration) -> Duration {
        let mut next = self.heartbeat_due;
        if !self.pending_cancels.is_empty() {
            next = next.min(self.cancel_retry_due);
        }
        if let Some(timer) = self.timers.next() {
            next = next.min(timer);
        }
        next.max(now)
    }

    fn on_timer(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(key) else { return };
        if request.timer.is_none_or(|timer| now < timer) {
            return;
        }
        self.requests[key].timer = None;
        match self.requests[key].work {
            Work::Generate(_) => self.on_generate_timer(now, key, out),
            Work::Call(_) => self.on_call_timer(now, key, out),
        }
    }

    /// Sets the request's only timer to `at`, or to the request's deadline if that
    /// is earlier.
    fn set_timer(&mut self, key: RequestKey, at: Duration) {
        if let Some(request) = self.requests.get_mut(key) {
            let at = at.min(request.deadline.max(request.received_at));
            request.timer = Some(at);
            self.timers.push(at, key);
        }
    }

    fn send_heartbeats(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        if now < self.heartbeat_due {
            return;
        }
        self.heartbeat_due = now + self.config.heartbeat_interval;
        let heartbeat = wire::EntryHeartbeat { generation: self.generation() };
        for (agent, view) in self.agents.iter() {
            if view.connected {
                out.push(EntryAction::Send { agent, message: ToAgent::Heartbeat(heartbeat) });
            }
        }
    }

    fn retry_cancels(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        if now < self.cancel_retry_due {
            return;
        }
        self.cancel_retry_due = now + RETRY_INTERVAL;
        for (&id, cancel) in &self.pending_cancels {
            let connected = self.agents.get(cancel.agent).is_some_and(|agent| agent.connected);
            if connected {
                let message = ToAgent::Cancel(wire::Cancel { id: Some(id) });
                out.push(EntryAction::Send { agent: cancel.agent, message });
            }
        }
    }

    /// Asks an agent to cancel an attempt. [`Self::retry_cancels`] repeats the
    /// message until the agent confirms it.
    fn cancel(&mut self, agent: AgentKey, id: AttemptId, out: &mut Vec<EntryAction>) {
        let Some(view) = self.agents.get(agent) else { return };
        self.pending_cancels.insert(id, PendingCancel { agent });
        if view.connected {
            let message = ToAgent::Cancel(wire::Cancel { id: Some(id) });
            out.push(EntryAction::Send { agent, message });
        }
    }

    fn cancel_attempts(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        for (agent, id) in self.requests[key].open_attempts(self.config.incarnation, key) {
            self.cancel(agent, id, out);
        }
        if let Work::Generate(generate) = &mut self.requests[key].work {
            generate.pending_reservations.clear();
            generate.decode_attempt = None;
            generate.prefill_attempt = None;
            generate.silent_attempt = None;
        }
    }

    /// Refuses the request: cancels its work at agents, sends the refusal to the
    /// caller and removes the request.
    fn refuse(&mut self, key: RequestKey, refusal: Refusal, out: &mut Vec<EntryAction>) {
        self.cancel_attempts(key, out);
        let detail = format!("outcome {}", refusal.outcome);
        self.record_decision(key, Decision::Refused(refusal.reason), None, detail, out);
        out.push(EntryAction::Respond { request: key, part: ResponsePart::Refused(refusal) });
        self.remove(key);
    }

    /// Refuses a request that may have reached an upstream; the outcome in the
    /// refusal says whether it may have run.
    fn refuse_with_outcome(
        &mut self,
        key: RequestKey,
        reason: RefusalReason,
        out: &mut Vec<EntryAction>,
    ) {
        let outcome = self.requests[key].outcome();
        let retry_after = (outcome == Outcome::NotRun).then_some(RETRY_INTERVAL);
        let refusal = Refusal { reason, outcome, retry_after, detail: String::new() };
        self.refuse(key, refusal, out);
    }

    fn remove(&mut self, key: RequestKey) {
        self.requests.remove(key);
    }

    /// Emits the gathered claims and completions as one batch. Emits the exit, once,
    /// when the entry is leaving, no request is in flight and no cancel is unconfirmed.
    fn flush(&mut self, _now: Duration, out: &mut Vec<EntryAction>) {
        if !self.unsent_claims.claims.is_empty() || !self.unsent_claims.completions.is_empty() {
            out.push(EntryAction::AppendClaims(std::mem::take(&mut self.unsent_claims)));
        }
        if self.leaving
            && !self.exit_sent
            && self.requests.is_empty()
            && self.pending_cancels.is_empty()
        {
            self.exit_sent = true;
            out.push(EntryAction::Exit);
        }
    }

    fn attempt_id(&self, key: RequestKey, attempt: u32) -> AttemptId {
        attempt_id(self.config.incarnation, key, attempt)
    }

    /// The request in flight that an attempt of this entry belongs to; `None` for an
    /// attempt of another entry or of a request that has ended.
    fn find_request(&self, id: AttemptId) -> Option<RequestKey> {
        let key = RequestKey::from(KeyData::from_ffi(id.request));
        let ours = id.entry == self.config.incarnation && self.requests.contains_key(key);
        ours.then_some(key)
    }

    fn ejection_limits(&self) -> Option<EjectionLimits> {
        self.manifest_fold.in_force().map(|snapshot| EjectionLimits::from(policy_of(snapshot)))
    }

    /// Counts a failed exchange with an agent, which may eject it as an outlier.
    fn record_failure(&mut self, now: Duration, agent: AgentKey) {
        if let Some(limits) = self.ejection_limits() {
            self.agents.record_failure(now, agent, &limits);
        }
    }

    /// Counts a successful exchange with an agent.
    fn record_success(&mut self, agent: AgentKey) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.health.record_success();
        }
    }

    fn record_decision(
        &self,
        key: RequestKey,
        decision: Decision,
        agent: Option<AgentKey>,
        detail: String,
        out: &mut Vec<EntryAction>,
    ) {
        let request = &self.requests[key];
        let agent = agent.and_then(|agent| self.agents.get(agent));
        out.push(EntryAction::Record(EntryRecord {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            id: Some(self.attempt_id(key, request.attempt)),
            generation: request.snapshot.as_ref().map_or(0, |snapshot| snapshot.generation),
            decision,
            agent: agent.map(|agent| agent.name.clone()).unwrap_or_default(),
            detail,
        }));
    }

    fn record_agent_decision(
        &self,
        agent: AgentKey,
        decision: Decision,
        out: &mut Vec<EntryAction>,
    ) {
        let name = self.agents.get(agent).map(|agent| agent.name.clone()).unwrap_or_default();
        out.push(EntryAction::Record(EntryRecord {
            request_id: CompactString::default(),
            attempt: 0,
            id: None,
            generation: self.generation(),
            decision,
            agent: name,
            detail: String::new(),
        }));
    }
}

/// Id of an attempt in messages and in the log.
///
/// `entry` is the incarnation of the entry, `attempt` counts from 1.
pub fn attempt_id(entry: u64, key: RequestKey, attempt: u32) -> AttemptId {
    AttemptId { entry, request: key.data().as_ffi(), attempt }
}
