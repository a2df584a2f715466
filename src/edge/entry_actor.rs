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
use crate::entry::EntryAction;
use crate::entry::EntryConfig;
use crate::entry::EntryCore;
use crate::entry::ResponsePart;
use crate::entry::membership::Instance;
use crate::entry::request::IncomingRequest;
use crate::entry::request::RequestKey;
use crate::manifest::Snapshot;
use crate::policy::view::AgentKey;
use crate::schema::record::ClaimBatch;
use crate::schema::wire;

const APPEND_TIMEOUT: Duration = Duration::from_secs(1);
const APPEND_RETRY: Duration = Duration::from_millis(100);

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
    Arrive {
        /// The request.
        arrival: IncomingRequest,
        /// Where its answers go.
        answers: UnboundedSender<ResponsePart>,
        /// Gets the key, to tell that the caller is gone.
        key: oneshot::Sender<RequestKey>,
    },
    /// The caller went away.
    CallerGone(RequestKey),
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
    Manifests(LogRead),
    /// Records of the stream of claims.
    Claims(LogRead),
    /// A batch of claims was not appended, as far as is known.
    ClaimsNotAppended(ClaimBatch),
    /// The gathered claims are to be appended now.
    FlushClaims,
    /// Whether the log answers.
    LogUp(bool),
    /// A reading of the instance list.
    List(Vec<Instance>),
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
    answers: UnboundedSender<ResponsePart>,
    arrived: Duration,
    last_token: Option<Duration>,
}

/// The actor.
pub struct EntryActor {
    core: EntryCore,
    clock: Arc<dyn Clock>,
    setup: EntryActorSetup,
    wakeup_timer: WakeupTimer,
    actor: ActorRef<EntryActor>,
    agents: HashMap<AgentKey, UnboundedSender<wire::ToAgent>>,
    callers: HashMap<RequestKey, Caller>,
    peers: HashMap<CompactString, CancellationToken>,
    claims: ClaimBatch,
    appending_claims: bool,
}

impl Actor for EntryActor {
    type Args = (EntryActorSetup, Arc<dyn Clock>);
    type Error = Infallible;

    async fn on_start(
        (setup, clock): Self::Args,
        actor: ActorRef<Self>,
    ) -> std::result::Result<Self, Self::Error> {
        let core = EntryCore::new(setup.config.clone());
        let ticked = actor.clone();
        let wakeup_timer = ticker::spawn(clock.clone(), setup.stop.clone(), move || {
            ticked.tell(EntryInput::Tick).try_send().is_ok()
        });
        Ok(Self {
            core,
            clock,
            setup,
            wakeup_timer,
            actor,
            agents: HashMap::new(),
            callers: HashMap::new(),
            peers: HashMap::new(),
            claims: ClaimBatch::default(),
            appending_claims: false,
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
        self.take(now, input, &mut out);
        for action in out {
            self.carry_out(now, action);
        }
        self.wakeup_timer.schedule(self.core.next_wakeup(now));
    }
}

impl EntryActor {
    fn take(&mut self, now: Duration, input: EntryInput, out: &mut Vec<EntryAction>) {
        match input {
            EntryInput::Arrive { arrival, answers, key } => {
                let request = self.core.on_request(now, arrival, out);
                let caller = Caller { answers, arrived: now, last_token: None };
                self.callers.insert(request, caller);
                let _ = key.send(request);
            }
            EntryInput::CallerGone(request) => {
                self.callers.remove(&request);
                self.core.caller_disconnected(now, request, out);
            }
            EntryInput::AgentConnected { hello, outbound } => {
                let agent = self.core.agent_connected(now, &hello, out);
                self.agents.insert(agent, outbound);
            }
            EntryInput::AgentLost { name } => {
                if let Some(agent) = self.core.view().key_by_name(&name) {
                    self.agents.remove(&agent);
                    self.core.agent_disconnected(now, agent, out);
                }
            }
            EntryInput::FromAgent { name, message } => {
                if let Some(agent) = self.core.view().key_by_name(&name) {
                    self.core.on_agent_message(now, agent, message, out);
                }
            }
            EntryInput::Manifests(read) => self.take_manifests(now, &read, out),
            EntryInput::Claims(read) => self.take_claims(now, read, out),
            EntryInput::ClaimsNotAppended(batch) => {
                self.appending_claims = false;
                self.core.claims_not_appended(now, batch, out);
            }
            EntryInput::FlushClaims => self.append_claims(),
            EntryInput::LogUp(up) => self.core.set_log_reachable(up),
            EntryInput::List(instances) => self.core.on_instance_list(now, &instances, out),
            EntryInput::Leave => self.core.leave(now, out),
            EntryInput::Tick => self.core.tick(now, out),
        }
    }

    fn take_manifests(&mut self, now: Duration, read: &LogRead, out: &mut Vec<EntryAction>) {
        let Some(first) = read.records.first() else { return };
        self.core.on_manifest_start(first.offset);
        for record in &read.records {
            let age = from_ms(record.age_ms);
            self.core.on_manifest_record(now, record.offset, age, &record.record, out);
        }
    }

    fn take_claims(&mut self, now: Duration, read: LogRead, out: &mut Vec<EntryAction>) {
        for record in &read.records {
            if let Ok(batch) = serde_json::from_str::<ClaimBatch>(&record.record) {
                let age = from_ms(record.age_ms);
                self.core.on_claim_record(now, record.offset, age, &batch, out);
            }
        }
        self.core.set_log_reachable(true);
    }

    fn carry_out(&mut self, now: Duration, action: EntryAction) {
        match action {
            EntryAction::Send { agent, message } => {
                if let Some(outbound) = self.agents.get(&agent) {
                    let _ = outbound.send(wire::ToAgent { kind: Some(message) });
                }
            }
            EntryAction::Respond { request, part } => self.answer(now, request, part),
            EntryAction::Connect { name, address } => self.connect(name, &address),
            EntryAction::Disconnect { name } => {
                if let Some(peer) = self.peers.remove(&name) {
                    peer.cancel();
                }
            }
            EntryAction::AppendClaims(batch) => self.gather_claims(batch),
            EntryAction::AppendManifest(record) => self.append_manifest(record),
            EntryAction::Exit => self.setup.stop.cancel(),
            EntryAction::Record(record) => self.setup.telemetry.entry_record(&record),
        }
    }

    fn answer(&mut self, now: Duration, request: RequestKey, answer: ResponsePart) {
        let Some(caller) = self.callers.get_mut(&request) else { return };
        if matches!(answer, ResponsePart::Token { .. }) {
            match caller.last_token.replace(now) {
                None => {
                    self.setup.telemetry.time("first_token", now.saturating_sub(caller.arrived))
                }
                Some(last) => self.setup.telemetry.time("between_tokens", now.saturating_sub(last)),
            }
        }
        let is_final = answer.is_final();
        let _ = caller.answers.send(answer);
        if is_final {
            self.callers.remove(&request);
        }
    }

    fn connect(&mut self, name: CompactString, address: &str) {
        let Ok(address) = address.parse() else { return };
        let stop = self.setup.stop.child_token();
        if let Some(old) = self.peers.insert(name.clone(), stop.clone()) {
            old.cancel();
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

    fn gather_claims(&mut self, batch: ClaimBatch) {
        let first = self.claims.claims.is_empty() && self.claims.completions.is_empty();
        self.claims.claims.extend(batch.claims);
        self.claims.completions.extend(batch.completions);
        if first && !self.appending_claims {
            self.flush_claims_after(self.setup.claim_batch);
        }
    }

    fn flush_claims_after(&mut self, wait: Duration) {
        self.appending_claims = true;
        let actor = self.actor.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = actor.tell(EntryInput::FlushClaims).try_send();
        });
    }

    fn append_claims(&mut self) {
        let batch = std::mem::take(&mut self.claims);
        self.appending_claims = false;
        if batch.claims.is_empty() && batch.completions.is_empty() {
            return;
        }
        let log = self.setup.log.clone();
        let actor = self.actor.clone();
        tokio::spawn(async move {
            let text = serde_json::to_string(&batch).expect("a batch is plain data");
            if log.append(CLAIM_STREAM, &text, APPEND_TIMEOUT).await.is_err() {
                tokio::time::sleep(APPEND_RETRY).await;
                let _ = actor.tell(EntryInput::ClaimsNotAppended(batch)).try_send();
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
