//! Generations whose attempt says nothing for longer than an attempt usually takes, or whose
//! agent is out of touch, and goes on afterwards: their callers get the complete response.

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
const STEP: Duration = Duration::from_millis(100);
/// Attempts that the default policy allows for one request.
const MAX_ATTEMPTS: usize = 4;
/// Retries that a full budget allows.
const RETRY_BUDGET: usize = 50;
/// Longer than any wait of the entry for a connected agent, shorter than the deadline.
const LONG_SILENCE: Duration = Duration::from_secs(20);
/// Time limit of a generation in the manifest.
const DEADLINE: Duration = Duration::from_secs(60);
/// Longer than `resume_timeout`, shorter than `lease_ttl`.
const SHORT_OUTAGE: Duration = Duration::from_secs(2);
/// Time after which the agent has cancelled what an entry without a connection had sent it.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Step at which an attempt falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Prefill,
    Transfer,
    Stream,
    /// The connection to the decode agent is lost in the stream.
    Link,
}

/// What keeps the entry from sending the generation to another agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// The manifest forbids running the generation twice.
    NotIdempotent,
    /// The attempts of the request are used up.
    Attempts,
    /// The retry budget is used up.
    Budget,
}

/// One generation at an entry whose agents are connected and say what the test tells them to.
struct Trial {
    core: EntryCore,
    agents: Vec<AgentKey>,
    disconnected: Option<AgentKey>,
    now: Duration,
    request: RequestKey,
    /// Messages to the agents.
    sent: Vec<(AgentKey, ToAgent)>,
    /// Parts of the response to the generation.
    parts: Vec<ResponsePart>,
    next_index: u32,
}

impl Trial {
    fn new(idempotent: bool) -> Self {
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
    fn request(&mut self, number: usize) {
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

    fn record(&mut self, actions: Vec<EntryAction>) {
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

    fn deliver(&mut self, agent: AgentKey, message: ToEntry) {
        let mut out = Vec::new();
        self.core.on_agent_message(self.now, agent, message, &mut out);
        self.record(out);
    }

    /// Lets time pass in which connected agents only report their load.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + STEP).min(end);
            self.report_loads();
            let mut out = Vec::new();
            self.core.tick(self.now, &mut out);
            self.record(out);
        }
    }

    fn report_loads(&mut self) {
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

    fn last_reserve(&self) -> (AgentKey, AttemptId) {
        let found = self.sent.iter().rev().find_map(|(agent, message)| match message {
            ToAgent::Reserve(reserve) => Some((*agent, reserve.id?)),
            _ => None,
        });
        found.expect("the entry asks for a slot")
    }

    fn last_prefill(&self) -> (AgentKey, AttemptId) {
        let found = self.sent.iter().rev().find_map(|(agent, message)| match message {
            ToAgent::Prefill(prefill) => Some((*agent, prefill.id?)),
            _ => None,
        });
        found.expect("the entry sends a prefill")
    }

    fn is_cancelled(&self, id: AttemptId) -> bool {
        let is_cancel =
            |message: &ToAgent| matches!(message, ToAgent::Cancel(cancel) if cancel.id == Some(id));
        self.sent.iter().any(|(_, message)| is_cancel(message))
    }

    fn grant(&mut self) {
        let (agent, id) = self.last_reserve();
        let reply =
            wire::ReserveReply { id: Some(id), granted: true, ..wire::ReserveReply::default() };
        self.deliver(agent, ToEntry::ReserveReply(reply));
    }

    fn complete_prefill(&mut self) {
        let (agent, id) = self.last_prefill();
        let reply =
            wire::PrefillReply { id: Some(id), lives_ms: 800, ..wire::PrefillReply::default() };
        self.deliver(agent, ToEntry::PrefillReply(reply));
    }

    fn import(&mut self, (agent, id): (AgentKey, AttemptId)) {
        self.deliver(agent, ToEntry::Imported(wire::Imported { id: Some(id) }));
    }

    /// Delivers the next token of an attempt.
    fn token(&mut self, (agent, id): (AgentKey, AttemptId), last: bool) {
        let index = self.next_index;
        let chunk =
            wire::Chunk { id: Some(id), index, text: "t ".into(), last, ..wire::Chunk::default() };
        self.next_index += 1;
        self.deliver(agent, ToEntry::Chunk(chunk));
    }

    /// Makes a transfer fail, for which the agent does not count as failed.
    fn fail_transfer(&mut self) {
        let (agent, id) = self.last_reserve();
        let failed = wire::StreamFailed { id: Some(id), reason: "transfer-failed".to_string() };
        self.deliver(agent, ToEntry::StreamFailed(failed));
    }

    fn fail_prefill(&mut self) {
        let (agent, id) = self.last_prefill();
        let failed = wire::StreamFailed { id: Some(id), reason: "prefill-failed".to_string() };
        self.deliver(agent, ToEntry::StreamFailed(failed));
    }

    /// Leaves no retry for the generation that is started next.
    fn use_up_budget(&mut self) {
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
    fn advance_to(&mut self, phase: Phase) -> (AgentKey, AttemptId) {
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

    fn disconnect(&mut self, agent: AgentKey) {
        let mut out = Vec::new();
        self.disconnected = Some(agent);
        self.core.agent_disconnected(self.now, agent, &mut out);
        self.record(out);
    }

    fn reconnect(&mut self) {
        let agent = self.disconnected.take().expect("an agent was disconnected");
        let number = self.agents.iter().position(|&other| other == agent);
        let mut out = Vec::new();
        let hello = hello(number.expect("the agent is one of the fleet"));
        self.core.agent_connected(self.now, &hello, &mut out);
        self.record(out);
    }

    /// The silent attempt goes on, to the end of the response.
    fn go_on(&mut self, phase: Phase, decode: (AgentKey, AttemptId)) {
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

    fn refusal(&self) -> Option<RefusalReason> {
        self.parts.iter().find_map(|part| match part {
            ResponsePart::Refused(refusal) => Some(refusal.reason),
            _ => None,
        })
    }

    fn is_complete(&self) -> bool {
        matches!(self.parts.last(), Some(ResponsePart::Finished { .. }))
    }
}

/// Starts a generation that the entry cannot send elsewhere, and advances it to the phase.
/// Returns the trial, the decode agent and its attempt.
fn without_retry(phase: Phase, obstacle: Obstacle) -> (Trial, (AgentKey, AttemptId)) {
    let mut trial = Trial::new(obstacle != Obstacle::NotIdempotent);
    if obstacle == Obstacle::Budget {
        trial.use_up_budget();
    }
    trial.request(0);
    if obstacle == Obstacle::Attempts {
        for _ in 1..MAX_ATTEMPTS {
            trial.grant();
            trial.fail_transfer();
        }
    }
    let decode = trial.advance_to(phase);
    (trial, decode)
}

/// Plays an attempt that is silent for a while, though it cannot be retried, and then goes on.
fn silence(phase: Phase, obstacle: Obstacle) {
    let (mut trial, decode) = without_retry(phase, obstacle);
    trial.pass(if phase == Phase::Link { SHORT_OUTAGE } else { LONG_SILENCE });
    assert_eq!(trial.refusal(), None, "the response ends though its agent is sound");
    assert!(!trial.is_cancelled(decode.1), "the attempt is cancelled though nothing replaces it");
    trial.go_on(phase, decode);
    assert!(trial.is_complete(), "{:?}", trial.parts);
}

macro_rules! silences {
    ($($name:ident: $phase:ident, $obstacle:ident;)+) => {
        $(
            #[test]
            fn $name() {
                silence(Phase::$phase, Obstacle::$obstacle);
            }
        )+
    };
}

silences! {
    a_silent_prefill_that_may_not_run_twice_is_waited_for: Prefill, NotIdempotent;
    a_silent_prefill_without_attempts_left_is_waited_for: Prefill, Attempts;
    a_silent_prefill_without_a_retry_in_the_budget_is_waited_for: Prefill, Budget;
    a_silent_transfer_that_may_not_run_twice_is_waited_for: Transfer, NotIdempotent;
    a_silent_transfer_without_attempts_left_is_waited_for: Transfer, Attempts;
    a_silent_transfer_without_a_retry_in_the_budget_is_waited_for: Transfer, Budget;
    a_silent_stream_that_may_not_run_twice_is_waited_for: Stream, NotIdempotent;
    a_silent_stream_without_attempts_left_is_waited_for: Stream, Attempts;
    a_silent_stream_without_a_retry_in_the_budget_is_waited_for: Stream, Budget;
    a_stream_out_of_touch_that_may_not_run_twice_is_waited_for: Link, NotIdempotent;
    a_stream_out_of_touch_without_attempts_left_is_waited_for: Link, Attempts;
    a_stream_out_of_touch_without_a_retry_in_the_budget_is_waited_for: Link, Budget;
}

/// An attempt that stays silent ends the response at its deadline, not before, and its memory
/// is given back.
#[test]
fn a_stream_that_stays_silent_ends_at_its_deadline() {
    let (mut trial, decode) = without_retry(Phase::Stream, Obstacle::Budget);
    trial.pass(DEADLINE - STEP);
    assert_eq!(trial.refusal(), None);
    trial.pass(STEP);
    assert_eq!(trial.refusal(), Some(RefusalReason::DeadlineExceeded));
    assert!(trial.is_cancelled(decode.1));
}

/// Past the lease the agent has cancelled the stream, so there is nothing to wait for.
#[test]
fn a_stream_whose_agent_stays_out_of_touch_ends_with_the_lease() {
    let (mut trial, _) = without_retry(Phase::Link, Obstacle::Budget);
    trial.pass(LEASE_TTL - STEP);
    assert_eq!(trial.refusal(), None);
    trial.pass(STEP * 2);
    assert_eq!(trial.refusal(), Some(RefusalReason::RetryBudget));
}

/// Plays an attempt that is silent while the budget allows a retry.
fn replaced(phase: Phase) {
    let mut trial = Trial::new(true);
    trial.request(0);
    let decode = trial.advance_to(phase);
    let requests = trial.sent.len();
    trial.pass(if phase == Phase::Link { SHORT_OUTAGE } else { LONG_SILENCE });
    let asked = trial.sent[requests..]
        .iter()
        .any(|(agent, message)| *agent != decode.0 && matches!(message, ToAgent::Reserve(_)));
    assert!(asked, "another agent is asked");
}

#[test]
fn a_silent_stream_with_a_retry_is_replaced() {
    replaced(Phase::Stream);
}

#[test]
fn a_stream_out_of_touch_with_a_retry_is_replaced() {
    replaced(Phase::Link);
}

/// The budget earns the retry while the silent stream is waited for.
#[test]
fn a_silent_stream_is_replaced_once_the_budget_allows_it() {
    let (mut trial, decode) = without_retry(Phase::Stream, Obstacle::Budget);
    trial.pass(LONG_SILENCE);
    assert!(!trial.is_cancelled(decode.1));
    let waiting = trial.request;
    // Each success earns a tenth of a retry.
    for number in 100..111 {
        trial.request(number);
        let other = trial.advance_to(Phase::Stream);
        trial.token(other, true);
    }
    trial.request = waiting;
    let requests = trial.sent.len();
    trial.pass(Duration::from_secs(2));
    let asked =
        trial.sent[requests..].iter().any(|(_, message)| matches!(message, ToAgent::Reserve(_)));
    assert!(asked, "another agent is asked");
}

/// Longest silence before another agent is asked.
fn silence_before_retry(phase: Phase) -> Duration {
    match phase {
        Phase::Prefill | Phase::Transfer => Duration::from_secs(2),
        Phase::Stream => Duration::from_secs(5),
        Phase::Link => Duration::from_millis(400),
    }
}

/// Plays an attempt that is silent until another agent is asked, whose attempts all fail, and that
/// then goes on.
fn outlives_replacements(phase: Phase) {
    let mut trial = Trial::new(true);
    trial.request(0);
    let decode = trial.advance_to(phase);
    let first_prefill = trial.last_prefill();
    trial.pass(silence_before_retry(phase));
    for _ in 1..MAX_ATTEMPTS {
        if phase == Phase::Prefill {
            assert_ne!(trial.last_prefill(), first_prefill, "another agent is asked");
            trial.fail_prefill();
        } else {
            assert_ne!(trial.last_reserve(), decode, "another agent is asked");
            trial.grant();
            trial.fail_transfer();
        }
    }
    assert_eq!(trial.refusal(), None, "the response ends though its first agent is sound");
    if phase == Phase::Prefill {
        let (agent, id) = first_prefill;
        let reply =
            wire::PrefillReply { id: Some(id), lives_ms: 800, ..wire::PrefillReply::default() };
        trial.deliver(agent, ToEntry::PrefillReply(reply));
        trial.import(decode);
        trial.token(decode, true);
    } else {
        trial.go_on(phase, decode);
    }
    assert!(trial.is_complete(), "{:?}", trial.parts);
}

macro_rules! failed_replacements {
    ($($name:ident: $phase:ident;)+) => {
        $(
            #[test]
            fn $name() {
                outlives_replacements(Phase::$phase);
            }
        )+
    };
}

failed_replacements! {
    a_silent_prefill_outlives_its_replacements: Prefill;
    a_silent_transfer_outlives_its_replacements: Transfer;
    a_silent_stream_outlives_its_replacements: Stream;
    a_stream_out_of_touch_outlives_its_replacements: Link;
}
