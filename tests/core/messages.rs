//! Late, duplicate and interleaved messages between entry and agents, the race between the
//! abandoning of a call and its start, and new work for an agent that is leaving.

use std::sync::Arc;
use std::time::Duration;

use bamboodoor::agent::AgentAction;
use bamboodoor::agent::AgentConfig;
use bamboodoor::agent::AgentCore;
use bamboodoor::agent::AgentEvent;
use bamboodoor::agent::UpstreamEvent;
use bamboodoor::entry::EntryAction;
use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::agents::AgentKey;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;

use crate::fleet::Entry;
use crate::fleet::NOW;

const MANIFEST: &str = include_str!("../processes/manifest.jsonc");

/// An entry and its agents, whose messages the test delivers one by one.
struct Conversation {
    entry: Entry,
    /// Decode agent and attempt whose transfer completed last.
    decoding: Option<(AgentKey, AttemptId)>,
}

impl Conversation {
    fn new() -> Self {
        Self { entry: Entry::new(8), decoding: None }
    }

    /// Delivers a message of an agent to the entry, and returns the actions of the entry.
    fn deliver(&mut self, agent: AgentKey, message: ToEntry) -> Vec<EntryAction> {
        let mut out = Vec::new();
        self.entry.core.on_agent_message(NOW, agent, message, &mut out);
        out
    }

    /// Starts a generation request and advances it until the entry expects its first token.
    /// Returns the decode agent and the attempt.
    fn start_decoding(&mut self, number: usize) -> (AgentKey, AttemptId) {
        let (agent, id) =
            self.entry.accept_request(number).expect("the entry sends a reserve request");
        self.grant_and_prefill(agent, id)
    }

    /// Grants the reservation of an attempt, and completes its prefill and transfer. Returns
    /// the decode agent and the attempt.
    fn grant_and_prefill(&mut self, agent: AgentKey, id: AttemptId) -> (AgentKey, AttemptId) {
        let granted =
            wire::ReserveReply { id: Some(id), granted: true, ..wire::ReserveReply::default() };
        let out = self.deliver(agent, ToEntry::ReserveReply(granted));
        let (prefill_agent, prefill) = out.iter().find_map(prefill_of).expect("a prefill is sent");
        let reply = wire::PrefillReply {
            id: Some(prefill),
            lives_ms: 800,
            ..wire::PrefillReply::default()
        };
        self.deliver(prefill_agent, ToEntry::PrefillReply(reply));
        self.deliver(agent, ToEntry::Imported(wire::Imported { id: Some(id) }));
        self.decoding = Some((agent, id));
        (agent, id)
    }

    /// Delivers a token. Returns how many response parts the entry sends to the caller.
    fn deliver_token(&mut self, agent: AgentKey, id: AttemptId, index: u32) -> usize {
        let chunk =
            wire::Chunk { id: Some(id), index, text: "t ".into(), ..wire::Chunk::default() };
        let out = self.deliver(agent, ToEntry::Chunk(chunk));
        out.iter().filter(|action| matches!(action, EntryAction::Respond { .. })).count()
    }
}

fn prefill_of(action: &EntryAction) -> Option<(AgentKey, AttemptId)> {
    match action {
        EntryAction::Send { agent, message: ToAgent::Prefill(prefill) } => {
            Some((*agent, prefill.id?))
        }
        _ => None,
    }
}

fn reserve_of(action: &EntryAction) -> Option<(AgentKey, AttemptId)> {
    match action {
        EntryAction::Send { agent, message: ToAgent::Reserve(reserve) } => {
            Some((*agent, reserve.id?))
        }
        _ => None,
    }
}

#[test]
fn a_duplicate_token_is_sent_to_the_caller_once() {
    let mut conversation = Conversation::new();
    let (agent, id) = conversation.start_decoding(1);
    assert_eq!(
        (conversation.deliver_token(agent, id, 0), conversation.deliver_token(agent, id, 0)),
        (1, 0)
    );
}

#[test]
fn a_token_after_a_missing_one_is_dropped() {
    let mut conversation = Conversation::new();
    let (agent, id) = conversation.start_decoding(1);
    assert_eq!(
        (conversation.deliver_token(agent, id, 1), conversation.deliver_token(agent, id, 0)),
        (0, 1)
    );
}

#[test]
fn a_late_token_of_an_older_attempt_is_dropped_even_with_the_right_index() {
    let mut conversation = Conversation::new();
    let (agent, older) = conversation.start_decoding(1);
    assert_eq!(conversation.deliver_token(agent, older, 0), 1);
    let failed = wire::StreamFailed { id: Some(older), reason: "lost".to_string() };
    let out = conversation.deliver(agent, ToEntry::StreamFailed(failed));
    let (agent, newer) = out.iter().find_map(reserve_of).expect("a new attempt is started");
    let (agent, newer) = conversation.grant_and_prefill(agent, newer);
    assert_eq!(conversation.deliver_token(agent, older, 1), 0, "the older attempt is ignored");
    assert_eq!(conversation.deliver_token(agent, newer, 1), 1);
}

#[test]
fn two_interleaved_requests_are_not_mixed() {
    let mut conversation = Conversation::new();
    let (first_agent, first) = conversation.start_decoding(1);
    let (second_agent, second) = conversation.start_decoding(2);
    conversation.deliver_token(first_agent, first, 0);
    assert_eq!(conversation.deliver_token(first_agent, first, 1), 1);
    // The second request has had no token yet, so index 1 is out of order for it.
    assert_eq!(conversation.deliver_token(second_agent, second, 1), 0);
    assert_eq!(conversation.deliver_token(second_agent, second, 0), 1);
}

#[test]
fn a_token_from_an_agent_that_does_not_run_the_attempt_is_dropped() {
    let mut conversation = Conversation::new();
    let (agent, id) = conversation.start_decoding(1);
    let agents = conversation.entry.agents.clone();
    let other = agents.into_iter().find(|&other| other != agent).expect("there are more agents");
    assert_eq!(conversation.deliver_token(other, id, 0), 0);
    assert_eq!(conversation.deliver_token(agent, id, 0), 1);
}

#[test]
fn a_token_after_the_end_is_dropped_and_its_attempt_cancelled() {
    let mut conversation = Conversation::new();
    let (agent, id) = conversation.start_decoding(1);
    let last = wire::Chunk { id: Some(id), index: 0, last: true, ..wire::Chunk::default() };
    conversation.deliver(agent, ToEntry::Chunk(last));
    let late = wire::Chunk { id: Some(id), index: 1, ..wire::Chunk::default() };
    let out = conversation.deliver(agent, ToEntry::Chunk(late));
    assert!(!out.iter().any(|action| matches!(action, EntryAction::Respond { .. })));
    let cancels = |action: &EntryAction| {
        matches!(action, EntryAction::Send { message: ToAgent::Cancel(_), .. })
    };
    assert!(out.iter().any(cancels));
}

/// Attempt that the messages to an agent are about.
const CALL: AttemptId = AttemptId { entry: 1, request: 1, attempt: 1 };
/// Incarnation of the agent that receives the messages.
const INCARNATION: u64 = 7;

/// What the agent of a plain service did with the messages that it received.
#[derive(Debug, Default, PartialEq)]
struct ServiceAgentResult {
    /// Number of calls that were sent to the service.
    started: usize,
    /// For each reply to an abandon message, whether it guarantees that the call never
    /// starts.
    fenced: Vec<bool>,
    /// Number of calls that were rejected.
    rejected: usize,
}

/// Sends calls and abandon messages to the agent of a plain service, one after the other.
fn service_agent_result(messages: Vec<ToAgent>) -> ServiceAgentResult {
    let mut core = AgentCore::new(AgentConfig {
        pool: "desk".into(),
        incarnation: INCARNATION,
        ..AgentConfig::default()
    });
    let mut out = Vec::new();
    core.adopt(Arc::new(Snapshot::parse(1, MANIFEST).expect("the manifest is valid")), &mut out);
    let hello = wire::EntryHello { entry: 1, ..wire::EntryHello::default() };
    core.handle(NOW, AgentEvent::EntryConnected(hello), &mut out);
    for message in messages {
        core.handle(NOW, AgentEvent::FromEntry { entry: 1, message }, &mut out);
    }
    let later = NOW + Duration::from_millis(100);
    core.handle(later, AgentEvent::Tick, &mut out);
    let mut result = ServiceAgentResult::default();
    for action in out {
        match action {
            AgentAction::Call(_) => result.started += 1,
            AgentAction::Send { message: ToEntry::AbandonReply(reply), .. } => {
                result.fenced.push(reply.fenced)
            }
            AgentAction::Send { message: ToEntry::Rejected(_), .. } => result.rejected += 1,
            _ => {}
        }
    }
    result
}

/// Call that is addressed to this incarnation of the agent.
fn call(incarnation: u64) -> ToAgent {
    ToAgent::Call(wire::Call {
        id: Some(CALL),
        incarnation,
        timeout_ms: 1_000,
        ..wire::Call::default()
    })
}

/// Request to the agent to never start the call, which an entry had addressed to this
/// incarnation of the agent.
fn abandon(incarnation: u64) -> ToAgent {
    ToAgent::Abandon(wire::Abandon { id: Some(CALL), incarnation })
}

macro_rules! abandons {
    ($($name:ident: $messages:expr => started $started:expr, fenced $fenced:expr, rejected $rejected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let expected =
                    ServiceAgentResult { started: $started, fenced: $fenced, rejected: $rejected };
                assert_eq!(service_agent_result($messages), expected);
            }
        )+
    };
}

abandons! {
    a_call_starts: vec![call(INCARNATION)] => started 1, fenced vec![], rejected 0;
    a_duplicate_call_starts_once:
        vec![call(INCARNATION), call(INCARNATION)] => started 1, fenced vec![], rejected 0;
    an_abandon_before_the_call_prevents_its_start:
        vec![abandon(INCARNATION), call(INCARNATION)] => started 0, fenced vec![true], rejected 1;
    an_abandon_after_the_start_is_not_reported_as_fenced:
        vec![call(INCARNATION), abandon(INCARNATION)] => started 1, fenced vec![false], rejected 0;
    an_abandon_for_an_earlier_incarnation_is_not_reported_as_fenced:
        vec![abandon(INCARNATION - 1)] => started 0, fenced vec![false], rejected 0;
    a_call_for_an_earlier_incarnation_is_rejected:
        vec![call(INCARNATION - 1)] => started 0, fenced vec![], rejected 1;
    a_repeated_abandon_gets_the_same_reply:
        vec![abandon(INCARNATION), abandon(INCARNATION)] => started 0, fenced vec![true, true], rejected 0;
}

/// Sends a request for new work to an agent that is leaving. Returns how many calls and
/// prefills it started and how many requests it rejected.
fn leaving_agent_result(pool: &str, message: ToAgent) -> (usize, usize) {
    let mut core = AgentCore::new(AgentConfig {
        pool: pool.into(),
        incarnation: INCARNATION,
        ..AgentConfig::default()
    });
    let mut out = Vec::new();
    core.adopt(Arc::new(Snapshot::parse(1, MANIFEST).expect("the manifest is valid")), &mut out);
    core.handle(
        NOW,
        AgentEvent::Upstream(UpstreamEvent::RunningStreams { streams: Vec::new() }),
        &mut out,
    );
    let hello = wire::EntryHello { entry: 1, ..wire::EntryHello::default() };
    core.handle(NOW, AgentEvent::EntryConnected(hello), &mut out);
    core.handle(NOW, AgentEvent::Leave, &mut out);
    out.clear();
    core.handle(NOW, AgentEvent::FromEntry { entry: 1, message }, &mut out);
    let started =
        |action: &&AgentAction| matches!(action, AgentAction::Call(_) | AgentAction::Prefill(_));
    let rejected = |action: &&AgentAction| {
        matches!(action, AgentAction::Send { message: ToEntry::Rejected(_), .. })
    };
    (out.iter().filter(started).count(), out.iter().filter(rejected).count())
}

macro_rules! leaving {
    ($($name:ident: $pool:expr, $message:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(leaving_agent_result($pool, $message), (0, 1));
            }
        )+
    };
}

leaving! {
    a_leaving_agent_rejects_a_reservation: "decode",
        ToAgent::Reserve(wire::Reserve { id: Some(CALL), blocks: 1, ..wire::Reserve::default() });
    a_leaving_agent_rejects_a_prefill: "prefill",
        ToAgent::Prefill(wire::Prefill { id: Some(CALL), deadline_ms: 100, ..wire::Prefill::default() });
    a_leaving_agent_rejects_a_call: "desk", call(INCARNATION);
}
