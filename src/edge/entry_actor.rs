//! Actor that owns the entry's decision core, feeds it input and performs the
//! actions that it returns.

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
use crate::entry::EntryAction;
use crate::entry::EntryConfig;
use crate::entry::EntryCore;
use crate::entry::ResponsePart;
use crate::entry::membership::Instance;
use crate::entry::request::IncomingRequest;
use crate::entry::request::RequestKey;
use crate::manifest::Snapshot;
use crate::policy::agents::AgentKey;
use crate::schema::record::ClaimBatch;
use crate::schema::wire;

const APPEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the core is told of a failed append of claims.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Configuration and resources that the entry actor starts with.
#[derive(Debug)]
pub struct EntryActorSetup {
    /// Configuration of the decision core.
    pub config: EntryConfig,
    /// Client of the platform's log.
    pub log: LogClient,
    /// Time for which claims are collected before one append writes them together.
    pub claim_batch_window: Duration,
    /// Sink for the decisions' log lines and metrics.
    pub telemetry: Telemetry,
    /// Token that the actor cancels when no request is left and the entry may exit.
    pub stop: CancellationToken,
}

/// Messages to the entry actor.
#[derive(Debug)]
pub enum EntryInput {
    /// A new request of a caller.
    Request {
        /// Request as the caller server parsed it.
        incoming: IncomingRequest,
        /// Queue of the response parts for the caller.
        response_parts: UnboundedSender<ResponsePart>,
        /// Channel for the key that the core gives the request. The caller server needs it
        /// to report a disconnected caller.
        key: oneshot::Sender<RequestKey>,
    },
    /// The caller disconnected before its response was complete.
    CallerDisconnected(RequestKey),
    /// The entry connected to an agent and received its hello message.
    AgentConnected {
        /// First message of the agent, with its name and incarnation.
        hello: wire::AgentHello,
        /// Queue of messages to write to this connection.
        outbound: UnboundedSender<wire::ToAgent>,
    },
    /// A connection to an agent ended, possibly before the agent's hello.
    AgentLost {
        /// Name of the agent.
        name: CompactString,
    },
    /// A message of a connected agent, other than its hello.
    FromAgent {
        /// Name of the agent.
        name: CompactString,
        /// Message as decoded from the connection.
        message: wire::to_entry::Kind,
    },
    /// Records read from the manifest stream.
    ManifestRecords(LogRead),
    /// Records read from the claim stream.
    ClaimRecords(LogRead),
    /// The append of a batch of claims failed. The record may still have been stored
    /// if only the response was lost.
    ClaimAppendFailed(ClaimBatch),
    /// The collection time of the pending claims is over: append them now.
    FlushClaims,
    /// Whether the last read of the log succeeded.
    LogReachable(bool),
    /// The instance list as just read from the platform.
    InstanceList(Vec<Instance>),
    /// A graceful shutdown was requested.
    Leave,
    /// The wakeup time that the core requested has been reached.
    Tick,
}

/// State of the entry as `/status` shows it to operators.
#[derive(Debug, Clone, serde::Serialize, kameo::Reply)]
pub struct EntryStatus {
    /// True if the entry accepts new requests.
    pub ready: bool,
    /// Generation of the manifest in force, 0 if none.
    pub generation: u64,
    /// Number of requests in flight.
    pub open_requests: usize,
    /// Number of agents connected.
    pub agents: usize,
    /// Number of idempotency keys that the entry remembers.
    pub remembered_claims: usize,
}

/// Request for the current [`EntryStatus`].
#[derive(Debug)]
pub struct GetStatus;

/// Request for the manifest in force; the reply is `None` before the first one.
#[derive(Debug)]
pub struct GetSnapshot;

/// Request for the offset at which to read the manifest stream next.
#[derive(Debug)]
pub struct GetManifestOffset;

struct Caller {
    response_parts: UnboundedSender<ResponsePart>,
    received_at: Duration,
    last_token_at: Option<Duration>,
}

/// Actor that connects the entry core with the clock, the log, the callers and the
/// agents. It handles one message at a time.
pub struct EntryActor {
    core: EntryCore,
    clock: Arc<dyn Clock>,
    setup: EntryActorSetup,
    wakeup_timer: WakeupTimer,
    actor: ActorRef<EntryActor>,
    agent_queues: HashMap<AgentKey, UnboundedSender<wire::ToAgent>>,
    callers: HashMap<RequestKey, Caller>,
    /// Tokens that stop the connection tasks, by the name of the agent.
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

/// Spawns the entry actor with an unbounded mailbox.
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
            agents: self.core.agents().iter().filter(|(_, agent)| agent.connected).count(),
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
                let request = self.core.on_request(now, incoming, out);
                let caller = Caller { response_parts, received_at: now, last_token_at: None };
                self.callers.insert(request, caller);
                let _ = key.send(request);
            }
            EntryInput::CallerDisconnected(request) => {
                self.callers.remove(&request);
                self.core.caller_disconnected(now, request, out);
            }
            EntryInput::AgentConnected { hello, outbound } => {
                let agent = self.core.agent_connected(now, &hello, out);
                self.agent_queues.insert(agent, outbound);
            }
            EntryInput::AgentLost { name } => {
                if let Some(agent) = self.core.agents().key_by_name(&name) {
                    self.agent_queues.remove(&agent);
                    self.core.agent_disconnected(now, agent, out);
                }
            }
            EntryInput::FromAgent { name, message } => {
                if let Some(agent) = self.core.agents().key_by_name(&name) {
                    self.core.on_agent_message(now, agent, message, out);
                }
            }
            EntryInput::ManifestRecords(read) => self.apply_manifests(now, &read, out),
            EntryInput::ClaimRecords(read) => self.apply_claims(now, read, out),
            EntryInput::ClaimAppendFailed(batch) => {
                self.flush_scheduled = false;
                self.core.claims_not_appended(now, batch, out);
            }
            EntryInput::FlushClaims => self.append_claims(),
            EntryInput::LogReachable(reachable) => self.core.set_log_reachable(reachable),
            EntryInput::InstanceList(instances) => self.core.on_instance_list(now, &instances, out),
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
        self.core.set_log_reachable(true);
    }

    fn execute(&mut self, now: Duration, action: EntryAction) {
        match action {
            EntryAction::Send { agent, message } => {
                if let Some(outbound) = self.agent_queues.get(&agent) {
                    let _ = outbound.send(wire::ToAgent { kind: Some(message) });
                }
            }
            EntryAction::Respond { request, part } => self.send_part(now, request, part),
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

    fn send_part(&mut self, now: Duration, request: RequestKey, part: ResponsePart) {
        let Some(caller) = self.callers.get_mut(&request) else { return };
        if matches!(part, ResponsePart::Token { .. }) {
            match caller.last_token_at.replace(now) {
                None => {
                    self.setup.telemetry.time("first_token", now.saturating_sub(caller.received_at))
                }
                Some(last) => self.setup.telemetry.time("between_tokens", now.saturating_sub(last)),
            }
        }
        let is_final = part.is_final();
        let _ = caller.response_parts.send(part);
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
        let was_empty =
            self.pending_claims.claims.is_empty() && self.pending_claims.completions.is_empty();
        self.pending_claims.claims.extend(batch.claims);
        self.pending_claims.completions.extend(batch.completions);
        if was_empty && !self.flush_scheduled {
            self.flush_claims_after(self.setup.claim_batch_window);
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
            let text = serde_json::to_string(&batch).expect("a batch can be serialized as JSON");
            if log.append(CLAIM_STREAM, &text, APPEND_TIMEOUT).await.is_err() {
                tokio::time::sleep(APPEND_RETRY_DELAY).await;
                let _ = actor.tell(EntryInput::ClaimAppendFailed(batch)).try_send();
            }
        });
    }

    fn append_manifest(&self, record: String) {
        let log = self.setup.log.clone();
        tokio::spawn(async move {
            // A failed append needs no handling: the core appends again only if the
            // record does not appear in the manifest stream.
            let _ = log.append(MANIFEST_STREAM, &record, APPEND_TIMEOUT).await;
        });
    }
}
