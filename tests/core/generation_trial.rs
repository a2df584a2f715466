//! A generation at an entry whose agents are connected and say what the test tells them to, in
//! virtual time.

use std::time::Duration;

use bamboodoor::entry::EntryAction;
use bamboodoor::entry::EntryConfig;
use bamboodoor::entry::EntryCore;
use bamboodoor::entry::ResponsePart;
use bamboodoor::entry::request::IncomingGeneration;
use bamboodoor::entry::request::IncomingRequest;
use bamboodoor::entry::request::IncomingWork;
use bamboodoor::entry::request::RequestKey;
use bamboodoor::manifest::fold::publish_record;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::policy::agents::AgentKey;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;

use crate::fleet;
use crate::fleet::hello;
use crate::fleet::load;

const AGENTS: usize = 8;
/// Interval at which the agents report their load and the entry handles its timers.
pub const STEP: Duration = Duration::from_millis(100);
/// Attempts that the default policy allows for one request.
pub const MAX_ATTEMPTS: usize = 4;
/// Retries that a full budget allows.
const RETRY_BUDGET: usize = 50;

/// Step at which an attempt falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Prefill,
    Transfer,
    Stream,
    /// The connection to the decode agent is lost in the stream.
    Link,
}

/// One generation at an entry whose agents are connected and say what the test tells them to.
pub struct Trial {
    pub core: EntryCore,
    agents: Vec<AgentKey>,
    disconnected: Option<AgentKey>,
    pub now: Duration,
    pub request: RequestKey,
    /// Messages to the agents.
    pub sent: Vec<(AgentKey, ToAgent)>,
    /// Parts of the response to the generation.
    pub parts: Vec<ResponsePart>,
    pub next_index: u32,
}

impl Trial {
    pub fn new(idempotent: bool) -> Self {
        let mut core = EntryCore::new(EntryConfig::default());
        let mut out = Vec::new();
        let rule = if idempotent { "" } else { r#", "non_idempotent": [{ "model": "model-0" }]"# };
        let manifest = fleet::manifest(1, 600);
        let (fields, _) = manifest.rsplit_once('}').expect("the manifest is an object");
        let record = publish_record("test", "test", 0, &format!("{fields}{rule} }}"));
        let text = serde_json::to_string(&record).expect("a record can be serialized as JSON");
        core.on_manifest_start(0);
        core.on_manifest_record(fleet::NOW, 0, Duration::ZERO, &text, &mut out);
        let connect = |number| core.agent_connected(fleet::NOW, &hello(number), &mut out);
        let agents = (0..AGENTS).map(connect).collect();
        Self {
            core,
            agents,
            disconnected: None,
            now: fleet::NOW,
            request: RequestKey::default(),
            sent: Vec::new(),
            parts: Vec::new(),
            next_index: 0,
        }
    }

    /// Starts the generation to which later calls refer, in place of an earlier one.
    pub fn request(&mut self, number: usize) {
        let incoming = IncomingRequest {
            request_id: format!("{number:032x}").into(),
            account: format!("account-{number:04}").into(),
            work: IncomingWork::Generate(IncomingGeneration {
                model: "model-0".into(),
                prompt: vec![b'x'; 800].into(),
                prompt_tokens: 200,
                prefixes: vec![number as u64],
                max_tokens: 400,
            }),
        };
        let mut out = Vec::new();
        self.request = self.core.on_request(self.now, incoming, &mut out);
        self.parts.clear();
        self.next_index = 0;
        self.record(out);
    }

    pub fn record(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { agent, message } => self.sent.push((agent, message)),
                EntryAction::Respond { request, part } if request == self.request => {
                    self.parts.push(part);
                }
                _ => {}
            }
        }
    }

    pub fn deliver(&mut self, agent: AgentKey, message: ToEntry) {
        let mut out = Vec::new();
        self.core.on_agent_message(self.now, agent, message, &mut out);
        self.record(out);
    }

    /// Lets time pass in which connected agents only report their load.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + STEP).min(end);
            self.report_loads();
            let mut out = Vec::new();
            self.core.tick(self.now, &mut out);
            self.record(out);
        }
    }

    pub fn report_loads(&mut self) {
        for (number, agent) in self.agents.clone().into_iter().enumerate() {
            if self.disconnected == Some(agent) {
                continue;
            }
            let heartbeat = wire::AgentHeartbeat {
                load: Some(load(number)),
                ..wire::AgentHeartbeat::default()
            };
            self.deliver(agent, ToEntry::Heartbeat(heartbeat));
        }
    }

    pub fn last_reserve(&self) -> (AgentKey, AttemptId) {
        let found = self.sent.iter().rev().find_map(|(agent, message)| match message {
            ToAgent::Reserve(reserve) => Some((*agent, reserve.id?)),
            _ => None,
        });
        found.expect("the entry asks for a slot")
    }

    pub fn last_prefill(&self) -> (AgentKey, AttemptId) {
        let found = self.sent.iter().rev().find_map(|(agent, message)| match message {
            ToAgent::Prefill(prefill) => Some((*agent, prefill.id?)),
            _ => None,
        });
        found.expect("the entry sends a prefill")
    }

    pub fn is_cancelled(&self, id: AttemptId) -> bool {
        let is_cancel =
            |message: &ToAgent| matches!(message, ToAgent::Cancel(cancel) if cancel.id == Some(id));
        self.sent.iter().any(|(_, message)| is_cancel(message))
    }

    pub fn grant(&mut self) {
        let (agent, id) = self.last_reserve();
        let reply =
            wire::ReserveReply { id: Some(id), granted: true, ..wire::ReserveReply::default() };
        self.deliver(agent, ToEntry::ReserveReply(reply));
    }

    pub fn complete_prefill(&mut self) {
        let (agent, id) = self.last_prefill();
        let reply =
            wire::PrefillReply { id: Some(id), lives_ms: 800, ..wire::PrefillReply::default() };
        self.deliver(agent, ToEntry::PrefillReply(reply));
    }

    pub fn import(&mut self, (agent, id): (AgentKey, AttemptId)) {
        self.deliver(agent, ToEntry::Imported(wire::Imported { id: Some(id) }));
    }

    /// Delivers the next token of an attempt.
    pub fn token(&mut self, (agent, id): (AgentKey, AttemptId), last: bool) {
        let index = self.next_index;
        let chunk =
            wire::Chunk { id: Some(id), index, text: "t ".into(), last, ..wire::Chunk::default() };
        self.next_index += 1;
        self.deliver(agent, ToEntry::Chunk(chunk));
    }

    /// Makes a transfer fail, for which the agent does not count as failed.
    pub fn fail_transfer(&mut self) {
        let (agent, id) = self.last_reserve();
        let failed = wire::StreamFailed { id: Some(id), reason: "transfer-failed".to_string() };
        self.deliver(agent, ToEntry::StreamFailed(failed));
    }

    pub fn fail_prefill(&mut self) {
        let (agent, id) = self.last_prefill();
        let failed = wire::StreamFailed { id: Some(id), reason: "prefill-failed".to_string() };
        self.deliver(agent, ToEntry::StreamFailed(failed));
    }

    /// Leaves no retry for the generation that is started next.
    pub fn use_up_budget(&mut self) {
        for number in 1..=RETRY_BUDGET {
            self.report_loads();
            self.request(number);
            self.grant();
            self.fail_transfer();
            let mut out = Vec::new();
            self.core.caller_disconnected(self.now, self.request, &mut out);
            self.record(out);
        }
        self.report_loads();
    }

    /// Advances the generation, whose slot was requested, to the phase. Returns the decode
    /// agent and its attempt.
    pub fn advance_to(&mut self, phase: Phase) -> (AgentKey, AttemptId) {
        let decode = self.last_reserve();
        self.grant();
        if phase == Phase::Prefill {
            return decode;
        }
        self.complete_prefill();
        if phase == Phase::Transfer {
            return decode;
        }
        self.import(decode);
        self.token(decode, false);
        if phase == Phase::Link {
            self.disconnect(decode.0);
        }
        decode
    }

    pub fn disconnect(&mut self, agent: AgentKey) {
        let mut out = Vec::new();
        self.disconnected = Some(agent);
        self.core.agent_disconnected(self.now, agent, &mut out);
        self.record(out);
    }

    pub fn reconnect(&mut self) {
        let agent = self.disconnected.take().expect("an agent was disconnected");
        let number = self.agents.iter().position(|&other| other == agent);
        let mut out = Vec::new();
        let hello = hello(number.expect("the agent is one of the fleet"));
        self.core.agent_connected(self.now, &hello, &mut out);
        self.record(out);
    }

    /// The silent attempt goes on, to the end of the response.
    pub fn go_on(&mut self, phase: Phase, decode: (AgentKey, AttemptId)) {
        match phase {
            Phase::Prefill => {
                self.complete_prefill();
                self.import(decode);
            }
            Phase::Transfer => self.import(decode),
            Phase::Stream => {}
            Phase::Link => self.reconnect(),
        }
        self.token(decode, false);
        self.token(decode, true);
    }

    pub fn refusal(&self) -> Option<RefusalReason> {
        self.parts.iter().find_map(|part| match part {
            ResponsePart::Refused(refusal) => Some(refusal.reason),
            _ => None,
        })
    }

    pub fn is_complete(&self) -> bool {
        matches!(self.parts.last(), Some(ResponsePart::Finished { .. }))
    }
}
