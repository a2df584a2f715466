//! The actor that owns the entry's core and carries out its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::mailbox;
use kameo::message::Context;
use kameo::message::Message;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::clock::from_ms;
use crate::edge::entry_peers;
use crate::edge::entry_peers::AgentPeer;
use crate::edge::platform::CLAIM_STREAM;
use crate::edge::platform::LogClient;
use crate::edge::platform::LogRead;
use crate::edge::platform::MANIFEST_STREAM;
use crate::edge::telemetry::Telemetry;
use crate::edge::ticker;
use crate::edge::ticker::WakeupTimer;
use crate::entry::Answer;
use crate::entry::EntryAction;
use crate::entry::EntryConfig;
use crate::entry::EntryCore;
use crate::entry::membership::Instance;
use crate::entry::request::Arrival;
use crate::entry::request::RequestKey;
use crate::manifest::Snapshot;
use crate::policy::view::AgentKey;
use crate::schema::record::ClaimBatch;
use crate::schema::wire;

const APPEND_TIMEOUT: Duration = Duration::from_secs(1);
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the actor is given at its start.
#[derive(Debug)]
pub struct EntryActorSetup {
    /// Settings of the core.
    pub config: EntryConfig,
    /// Client of the log.
    pub log: LogClient,
    /// How long claims are gathered for one append.
    pub claim_batch: Duration,
    /// Logs and metrics.
    pub telemetry: Telemetry,
    /// Cancelled once the entry may exit.
    pub stop: CancellationToken,
}

/// Messages to the actor.
#[derive(Debug)]
pub enum EntryInput {
    /// A request of a caller.
    Request {
        /// The request.
        incoming: Arrival,
        /// Where its answers go.
        response_parts: UnboundedSender<Answer>,
        /// Gets the key, to tell that the caller is gone.
        key: oneshot::Sender<RequestKey>,
    },
    /// The caller went away.
    CallerDisconnected(RequestKey),
    /// An agent said hello; what is meant for it goes to `outbound`.
    AgentConnected {
        /// Its greeting.
        hello: wire::AgentHello,
        /// Queue of the connection.
        outbound: UnboundedSender<wire::ToAgent>,
    },
    /// The connection to an agent ended.
    AgentLost {
        /// Name of the agent.
        name: CompactString,
    },
    /// A message of an agent.
    FromAgent {
        /// Name of the agent.
        name: CompactString,
        /// The message.
        message: wire::to_entry::Kind,
    },
    /// Records of the stream of manifests.
    ManifestRecords(LogRead),
    /// Records of the stream of claims.
    ClaimRecords(LogRead),
    /// A batch of claims was not appended, as far as is known.
    ClaimAppendFailed(ClaimBatch),
    /// The gathered claims are to be appended now.
    FlushClaims,
    /// Whether the log answers.
    LogReachable(bool),
    /// A reading of the instance list.
    InstanceList(Vec<Instance>),
    /// A planned stop was asked for.
    Leave,
    /// Time has passed.
    Tick,
}

/// State of the entry, for operators.
#[derive(Debug, Clone, serde::Serialize, kameo::Reply)]
pub struct EntryStatus {
    /// True if requests are taken up.
    pub ready: bool,
    /// Generation of the manifest, 0 for none.
    pub generation: u64,
    /// Requests in flight.
    pub open_requests: usize,
    /// Agents connected.
    pub agents: usize,
    /// Idempotency keys remembered.
    pub remembered_claims: usize,
}

/// Asks for the state.
#[derive(Debug)]
pub struct GetStatus;

/// Asks for the manifest in force.
#[derive(Debug)]
pub struct GetSnapshot;

/// Asks for the offset of the manifest record to read next.
#[derive(Debug)]
pub struct GetManifestOffset;

struct Caller {
    response_parts: UnboundedSender<Answer>,
    arrived_at: Duration,
    last_token_at: Option<Duration>,
}

/// The actor.
pub struct EntryActor {
    core: EntryCore,
    clock: Arc<dyn Clock>,
    setup: EntryActorSetup,
    wakeup_timer: WakeupTimer,
    actor: ActorRef<EntryActor>,
    agent_queues: HashMap<AgentKey, UnboundedSender<wire::ToAgent>>,
    callers: HashMap<RequestKey, Caller>,
    connection_stops: HashMap<CompactString, CancellationToken>,
    pending_claims: ClaimBatch,
    flush_scheduled: bool,
}

impl Actor for EntryActor {
    type Args = (EntryActorSetup, Arc<dyn Clock>);
    type Error = Infallible;

    async fn on_start(
        (setup, clock): Self::Args,
        actor: ActorRef<Self>,
    ) -> std::result::Result<Self, Self::Error> {
        let core = EntryCore::new(setup.config.clone());
        let tick_target = actor.clone();
        let wakeup_timer = ticker::spawn(clock.clone(), setup.stop.clone(), move || {
            tick_target.tell(EntryInput::Tick).try_send().is_ok()
        });
        Ok(Self {
            core,
            clock,
            setup,
            wakeup_timer,
            actor,
            agent_queues: HashMap::new(),
            callers: HashMap::new(),
            connection_stops: HashMap::new(),
            pending_claims: ClaimBatch::default(),
            flush_scheduled: false,
        })
    }
}

/// Starts the actor.
pub fn spawn(setup: EntryActorSetup, clock: Arc<dyn Clock>) -> ActorRef<EntryActor> {
    EntryActor::spawn_with_mailbox((setup, clock), mailbox::unbounded())
}

impl Message<GetStatus> for EntryActor {
    type Reply = EntryStatus;

    async fn handle(&mut self, _: GetStatus, _ctx: &mut Context<Self, Self::Reply>) -> EntryStatus {
        EntryStatus {
            ready: self.core.is_ready(),
            generation: self.core.generation(),
            open_requests: self.core.open_requests(),
            agents: self.core.view().iter().filter(|(_, agent)| agent.connected).count(),
            remembered_claims: self.core.remembered_claims(),
        }
    }
}

impl Message<GetSnapshot> for EntryActor {
    type Reply = Option<Arc<Snapshot>>;

    async fn handle(
        &mut self,
        _: GetSnapshot,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Option<Arc<Snapshot>> {
        self.core.snapshot()
    }
}

impl Message<GetManifestOffset> for EntryActor {
    type Reply = u64;

    async fn handle(&mut self, _: GetManifestOffset, _ctx: &mut Context<Self, Self::Reply>) -> u64 {
        self.core.next_manifest_offset()
    }
}

impl Message<EntryInput> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, input: EntryInput, _ctx: &mut Context<Self, Self::Reply>) {
        let now = self.clock.now();
        let mut out = Vec::new();
        self.dispatch_input(now, input, &mut out);
        for action in out {
            self.execute(now, action);
        }
        self.wakeup_timer.schedule(self.core.next_wakeup(now));
    }
}

impl EntryActor {
    fn dispatch_input(&mut self, now: Duration, input: EntryInput, out: &mut Vec<EntryAction>) {
        match input {
            EntryInput::Request { incoming, response_parts, key } => {
                let request = self.core.arrive(now, incoming, out);
                let caller = Caller { response_parts, arrived_at: now, last_token_at: None };
                self.callers.insert(request, caller);
                let _ = key.send(request);
            }
            EntryInput::CallerDisconnected(request) => {
                self.callers.remove(&request);
                self.core.caller_gone(now, request, out);
            }
            EntryInput::AgentConnected { hello, outbound } => {
                let agent = self.core.agent_connected(now, &hello, out);
                self.agent_queues.insert(agent, outbound);
            }
            EntryInput::AgentLost { name } => {
                if let Some(agent) = self.core.view().named(&name) {
                    self.agent_queues.remove(&agent);
                    self.core.agent_lost(now, agent, out);
                }
            }
            EntryInput::FromAgent { name, message } => {
                if let Some(agent) = self.core.view().named(&name) {
                    self.core.from_agent(now, agent, message, out);
                }
            }
            EntryInput::ManifestRecords(read) => self.apply_manifests(now, &read, out),
            EntryInput::ClaimRecords(read) => self.apply_claims(now, read, out),
            EntryInput::ClaimAppendFailed(batch) => {
                self.flush_scheduled = false;
                self.core.claims_not_appended(now, batch, out);
            }
            EntryInput::FlushClaims => self.append_claims(),
            EntryInput::LogReachable(up) => self.core.set_log_up(up),
            EntryInput::InstanceList(instances) => self.core.on_list(now, &instances, out),
            EntryInput::Leave => self.core.leave(now, out),
            EntryInput::Tick => self.core.tick(now, out),
        }
    }

    fn apply_manifests(&mut self, now: Duration, read: &LogRead, out: &mut Vec<EntryAction>) {
        let Some(first) = read.records.first() else { return };
        self.core.on_manifest_start(first.offset);
        for record in &read.records {
            let age = from_ms(record.age_ms);
            self.core.on_manifest_record(now, record.offset, age, &record.record, out);
        }
    }

    fn apply_claims(&mut self, now: Duration, read: LogRead, out: &mut Vec<EntryAction>) {
        for record in &read.records {
            if let Ok(batch) = serde_json::from_str::<ClaimBatch>(&record.record) {
                let age = from_ms(record.age_ms);
                self.core.on_claim_record(now, record.offset, age, &batch, out);
            }
        }
        self.core.set_log_up(true);
    }

    fn execute(&mut self, now: Duration, action: EntryAction) {
        match action {
            EntryAction::Send { agent, message } => {
                if let Some(outbound) = self.agent_queues.get(&agent) {
                    let _ = outbound.send(wire::ToAgent { kind: Some(message) });
                }
            }
            EntryAction::Answer { request, answer } => self.send_part(now, request, answer),
            EntryAction::Connect { name, address } => self.connect(name, &address),
            EntryAction::Disconnect { name } => {
                if let Some(stop) = self.connection_stops.remove(&name) {
                    stop.cancel();
                }
            }
            EntryAction::AppendClaims(batch) => self.queue_claims(batch),
            EntryAction::AppendManifest(record) => self.append_manifest(record),
            EntryAction::Exit => self.setup.stop.cancel(),
            EntryAction::Record(record) => self.setup.telemetry.entry_record(&record),
        }
    }

    fn send_part(&mut self, now: Duration, request: RequestKey, answer: Answer) {
        let Some(caller) = self.callers.get_mut(&request) else { return };
        if matches!(answer, Answer::Token { .. }) {
            match caller.last_token_at.replace(now) {
                None => {
                    self.setup.telemetry.time("first_token", now.saturating_sub(caller.arrived_at))
                }
                Some(last) => self.setup.telemetry.time("between_tokens", now.saturating_sub(last)),
            }
        }
        let is_final = answer.is_final();
        let _ = caller.response_parts.send(answer);
        if is_final {
            self.callers.remove(&request);
        }
    }

    fn connect(&mut self, name: CompactString, address: &str) {
        let Ok(address) = address.parse() else { return };
        let stop = self.setup.stop.child_token();
        if let Some(replaced) = self.connection_stops.insert(name.clone(), stop.clone()) {
            replaced.cancel();
        }
        let peer = AgentPeer {
            name,
            address,
            hello: wire::EntryHello {
                entry: self.setup.config.incarnation,
                name: self.setup.config.name.to_string(),
                generation: self.core.generation(),
            },
            lease_ttl: self.setup.config.lease_ttl,
        };
        tokio::spawn(entry_peers::keep_connected(peer, self.actor.clone(), stop));
    }

    fn queue_claims(&mut self, batch: ClaimBatch) {
        let first =
            self.pending_claims.claims.is_empty() && self.pending_claims.completions.is_empty();
        self.pending_claims.claims.extend(batch.claims);
        self.pending_claims.completions.extend(batch.completions);
        if first && !self.flush_scheduled {
            self.flush_claims_after(self.setup.claim_batch);
        }
    }

    fn flush_claims_after(&mut self, delay: Duration) {
        self.flush_scheduled = true;
        let actor = self.actor.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = actor.tell(EntryInput::FlushClaims).try_send();
        });
    }

    fn append_claims(&mut self) {
        let batch = std::mem::take(&mut self.pending_claims);
        self.flush_scheduled = false;
        if batch.claims.is_empty() && batch.completions.is_empty() {
            return;
        }
        let log = self.setup.log.clone();
        let actor = self.actor.clone();
        tokio::spawn(async move {
            let text = serde_json::to_string(&batch).expect("a batch is plain data");
            if log.append(CLAIM_STREAM, &text, APPEND_TIMEOUT).await.is_err() {
                tokio::time::sleep(APPEND_RETRY_DELAY).await;
                let _ = actor.tell(EntryInput::ClaimAppendFailed(batch)).try_send();
            }
        });
    }

    fn append_manifest(&self, record: String) {
        let log = self.setup.log.clone();
        tokio::spawn(async move {
            // A lost answer does no harm: the next try is made only if the
            // record does not turn up in the stream.
            let _ = log.append(MANIFEST_STREAM, &record, APPEND_TIMEOUT).await;
        });
    }
}
