//! Actor that owns the agent's decision core, feeds it events and performs the
//! actions that it returns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::mailbox;
use kameo::message::Context;
use kameo::message::Message;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

use crate::agent::AgentAction;
use crate::agent::AgentConfig;
use crate::agent::AgentCore;
use crate::agent::AgentEvent;
use crate::agent::UpstreamEvent;
use crate::clock::Clock;
use crate::edge::telemetry::Telemetry;
use crate::edge::ticker;
use crate::edge::ticker::WakeupTimer;
use crate::edge::upstream::Upstream;
use crate::schema::wire;
use crate::schema::wire::AttemptId;

/// Delay before the engine's streams are listed again after a failed request.
const STREAM_LIST_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Configuration and resources that the agent actor starts with.
#[derive(Debug)]
pub struct AgentActorSetup {
    /// Configuration of the decision core.
    pub config: AgentConfig,
    /// HTTP client of the upstream that this agent drives.
    pub upstream: Upstream,
    /// Sink for the decisions' log lines and metrics.
    pub telemetry: Telemetry,
    /// Token that the actor cancels when the agent has no work left and may exit.
    pub stop: CancellationToken,
}

/// Messages to the agent actor.
#[derive(Debug)]
pub enum AgentInput {
    /// An entry connected and sent its hello message.
    Connected {
        /// First message of the entry, with its name and incarnation.
        hello: wire::EntryHello,
        /// Queue of messages to write to this connection.
        outbound: UnboundedSender<wire::ToEntry>,
        /// Token that the actor cancels to close the connection.
        close: CancellationToken,
    },
    /// The connection of an entry ended.
    Disconnected {
        /// Incarnation from the entry's hello message.
        entry: u64,
        /// Queue of the connection that ended, which tells it from a newer connection
        /// of the same entry.
        outbound: UnboundedSender<wire::ToEntry>,
    },
    /// Any other event, passed to the decision core unchanged.
    Event(AgentEvent),
}

/// State of the agent as `/status` shows it to operators.
#[derive(Debug, Clone, serde::Serialize, kameo::Reply)]
pub struct AgentStatus {
    /// Generation of the manifest in force, 0 if none.
    pub generation: u64,
    /// True once a graceful shutdown was requested.
    pub leaving: bool,
    /// KV cache blocks in use by reservations, including those being cancelled, and by
    /// orphaned streams.
    pub held_blocks: u32,
    /// Number of reservations, prefills, unfinished calls and orphaned streams; they keep
    /// a draining agent from exiting.
    pub held_requests: usize,
    /// Number of entries connected.
    pub entries: usize,
}

/// Request for the current [`AgentStatus`].
#[derive(Debug)]
pub struct GetStatus;

struct Connection {
    outbound: UnboundedSender<wire::ToEntry>,
    close: CancellationToken,
}

/// Actor that connects the agent core with the clock, the upstream and the entries.
/// It handles one message at a time.
pub struct AgentActor {
    core: AgentCore,
    clock: Arc<dyn Clock>,
    upstream: Upstream,
    telemetry: Telemetry,
    stop: CancellationToken,
    wakeup_timer: WakeupTimer,
    actor: ActorRef<AgentActor>,
    /// Connections of entries, by the incarnation in their hello message.
    connections: HashMap<u64, Connection>,
    stream_readers: HashMap<AttemptId, AbortHandle>,
}

impl Actor for AgentActor {
    type Args = (AgentActorSetup, Arc<dyn Clock>);
    type Error = Infallible;

    async fn on_start(
        (setup, clock): Self::Args,
        actor: ActorRef<Self>,
    ) -> std::result::Result<Self, Self::Error> {
        let core = AgentCore::new(setup.config);
        let tick_target = actor.clone();
        let wakeup_timer = ticker::spawn(clock.clone(), setup.stop.clone(), move || {
            tick_target.tell(AgentInput::Event(AgentEvent::Tick)).try_send().is_ok()
        });
        Ok(Self {
            core,
            clock,
            upstream: setup.upstream,
            telemetry: setup.telemetry,
            stop: setup.stop,
            wakeup_timer,
            actor,
            connections: HashMap::new(),
            stream_readers: HashMap::new(),
        })
    }
}

/// Spawns the agent actor with an unbounded mailbox.
pub fn spawn(setup: AgentActorSetup, clock: Arc<dyn Clock>) -> ActorRef<AgentActor> {
    AgentActor::spawn_with_mailbox((setup, clock), mailbox::unbounded())
}

impl Message<AgentInput> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, input: AgentInput, _ctx: &mut Context<Self, Self::Reply>) {
        let event = match input {
            AgentInput::Event(event) => event,
            AgentInput::Connected { hello, outbound, close } => {
                let connection = Connection { outbound, close };
                if let Some(replaced) = self.connections.insert(hello.entry, connection) {
                    replaced.close.cancel();
                }
                AgentEvent::EntryConnected(hello)
            }
            AgentInput::Disconnected { entry, outbound } => {
                let current = self.connections.get(&entry);
                if current.is_none_or(|current| !current.outbound.same_channel(&outbound)) {
                    return;
                }
                self.connections.remove(&entry);
                AgentEvent::EntryDisconnected { entry }
            }
        };
        let mut actions = Vec::new();
        self.core.handle(self.clock.now(), event, &mut actions);
        self.execute_all(actions);
    }
}

impl Message<GetStatus> for AgentActor {
    type Reply = AgentStatus;

    async fn handle(&mut self, _: GetStatus, _ctx: &mut Context<Self, Self::Reply>) -> AgentStatus {
        AgentStatus {
            generation: self.core.generation(),
            leaving: self.core.is_leaving(),
            held_blocks: self.core.held_blocks(),
            held_requests: self.core.held_requests(),
            entries: self.connections.len(),
        }
    }
}

impl AgentActor {
    fn execute_all(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            self.execute(action);
        }
        self.telemetry.gauge("blocks.held", self.core.held_blocks().into());
        self.wakeup_timer.schedule(self.core.next_wakeup(self.clock.now()));
    }

    fn execute(&mut self, action: AgentAction) {
        let upstream = self.upstream.clone();
        match action {
            AgentAction::Send { entry, message } => {
                if let Some(connection) = self.connections.get(&entry) {
                    let _ = connection.outbound.send(wire::ToEntry { kind: Some(message) });
                }
            }
            AgentAction::CloseEntry { entry } => {
                if let Some(connection) = self.connections.remove(&entry) {
                    connection.close.cancel();
                }
            }
            AgentAction::Prefill(prefill) => {
                self.run_task(async move { Some(upstream.run_prefill(prefill).await) });
            }
            AgentAction::Import { decode, timeout } => {
                self.run_task(async move { Some(upstream.import_kv_cache(decode, timeout).await) });
            }
            AgentAction::Decode { id, from_index, max_tokens, rank } => {
                self.read_stream(id, from_index, max_tokens, rank);
            }
            AgentAction::Cancel { id } => {
                if let Some(reader) = self.stream_readers.remove(&id) {
                    reader.abort();
                }
                self.run_task(async move { upstream.cancel(id).await });
            }
            AgentAction::Call(call) => {
                self.run_task(async move { Some(upstream.send_call(call).await) });
            }
            AgentAction::ListStreams => self.list_streams(),
            AgentAction::Order(order) => self.run_task(async move { upstream.order(order).await }),
            AgentAction::ReadState => self.run_task(async move { upstream.read_state().await }),
            AgentAction::Exit => self.stop.cancel(),
            AgentAction::Record(record) => {
                self.telemetry.agent_record(&record, self.core.generation());
            }
        }
    }

    fn run_task(&self, task: impl Future<Output = Option<UpstreamEvent>> + Send + 'static) {
        let actor = self.actor.clone();
        tokio::spawn(async move {
            if let Some(event) = task.await {
                let _ = actor.tell(AgentInput::Event(AgentEvent::Upstream(event))).try_send();
            }
        });
    }

    fn read_stream(&mut self, id: AttemptId, from_index: u32, max_tokens: u32, rank: u32) {
        let upstream = self.upstream.clone();
        let actor = self.actor.clone();
        let reader = tokio::spawn(async move {
            let emit = |event| {
                let _ = actor.tell(AgentInput::Event(AgentEvent::Upstream(event))).try_send();
            };
            upstream.read_stream(id, from_index, max_tokens, rank, emit).await;
        });
        self.stream_readers.retain(|_, reader| !reader.is_finished());
        self.stream_readers.insert(id, reader.abort_handle());
    }

    fn list_streams(&self) {
        let upstream = self.upstream.clone();
        self.run_task(async move {
            loop {
                match upstream.list_streams().await {
                    Ok(event) => return Some(event),
                    Err(_) => tokio::time::sleep(STREAM_LIST_RETRY_DELAY).await,
                }
            }
        });
    }
}
