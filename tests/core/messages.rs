//! Late, doubled and crossed messages, and the race between abandon and start.

use std::sync::Arc;
use std::time::Duration;

use bamboodoor::agent::AgentAction;
use bamboodoor::agent::AgentConfig;
use bamboodoor::agent::AgentCore;
use bamboodoor::agent::AgentEvent;
use bamboodoor::agent::UpstreamEvent;
use bamboodoor::entry::EntryAction;
use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::view::AgentKey;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;

use crate::fleet::Entry;
use crate::fleet::NOW;

const MANIFEST: &str = include_str!("../processes/manifest.jsonc");

/// An entry whose agents answer as they should, message by message.
struct Talk {
    entry: Entry,
    decode: Option<(AgentKey, AttemptId)>,
}

impl Talk {
    fn new() -> Self {
        Self { entry: Entry::new(8), decode: None }
    }

    fn tell(&mut self, agent: AgentKey, message: ToEntry) -> Vec<EntryAction> {
        let mut out = Vec::new();
        self.entry.core.on_agent_message(NOW, agent, message, &mut out);
        out
    }

    /// Takes a request up to the point where tokens come.
    fn decoding(&mut self, number: usize) -> (AgentKey, AttemptId) {
        let (agent, id) = self.entry.accept_request(number).expect("a slot is asked for");
        self.grant_and_prefill(agent, id)
    }

    fn grant_and_prefill(&mut self, agent: AgentKey, id: AttemptId) -> (AgentKey, AttemptId) {
        let granted =
            wire::ReserveReply { id: Some(id), granted: true, ..wire::ReserveReply::default() };
        let out = self.tell(agent, ToEntry::ReserveReply(granted));
        let (prefiller, prefill) = out.iter().find_map(prefill_of).expect("a prefill is sent");
        let reply = wire::PrefillReply {
            id: Some(prefill),
            lives_ms: 800,
            ..wire::PrefillReply::default()
        };
        self.tell(prefiller, ToEntry::PrefillReply(reply));
        self.tell(agent, ToEntry::Imported(wire::Imported { id: Some(id) }));
        self.decode = Some((agent, id));
        (agent, id)
    }

    fn token(&mut self, agent: AgentKey, id: AttemptId, index: u32) -> usize {
        let chunk =
            wire::Chunk { id: Some(id), index, text: "t ".into(), ..wire::Chunk::default() };
        let out = self.tell(agent, ToEntry::Chunk(chunk));
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
fn a_token_that_comes_twice_is_given_once() {
    let mut talk = Talk::new();
    let (agent, id) = talk.decoding(1);
    assert_eq!((talk.token(agent, id, 0), talk.token(agent, id, 0)), (1, 0));
}

#[test]
fn a_token_that_was_skipped_is_not_passed_over() {
    let mut talk = Talk::new();
    let (agent, id) = talk.decoding(1);
    assert_eq!((talk.token(agent, id, 1), talk.token(agent, id, 0)), (0, 1));
}

#[test]
fn a_late_token_of_an_older_try_is_dropped_even_with_the_right_index() {
    let mut talk = Talk::new();
    let (agent, old) = talk.decoding(1);
    assert_eq!(talk.token(agent, old, 0), 1);
    let failed = wire::StreamFailed { id: Some(old), reason: "lost".to_string() };
    let out = talk.tell(agent, ToEntry::StreamFailed(failed));
    let (agent, new) = out.iter().find_map(reserve_of).expect("it is tried elsewhere");
    let (agent, new) = talk.grant_and_prefill(agent, new);
    assert_eq!(talk.token(agent, old, 1), 0, "the older try is not heard");
    assert_eq!(talk.token(agent, new, 1), 1);
}

#[test]
fn two_requests_that_cross_are_not_mixed() {
    let mut talk = Talk::new();
    let (first_agent, first) = talk.decoding(1);
    let (second_agent, second) = talk.decoding(2);
    talk.token(first_agent, first, 0);
    assert_eq!(talk.token(first_agent, first, 1), 1);
    // The second has had no token: one of the first's indices is not its own.
    assert_eq!(talk.token(second_agent, second, 1), 0);
    assert_eq!(talk.token(second_agent, second, 0), 1);
}

#[test]
fn a_token_after_the_end_is_dropped_and_its_stream_stopped() {
    let mut talk = Talk::new();
    let (agent, id) = talk.decoding(1);
    let last = wire::Chunk { id: Some(id), index: 0, last: true, ..wire::Chunk::default() };
    talk.tell(agent, ToEntry::Chunk(last));
    let late = wire::Chunk { id: Some(id), index: 1, ..wire::Chunk::default() };
    let out = talk.tell(agent, ToEntry::Chunk(late));
    assert!(!out.iter().any(|action| matches!(action, EntryAction::Respond { .. })));
    let cancels = |action: &EntryAction| {
        matches!(action, EntryAction::Send { message: ToAgent::Cancel(_), .. })
    };
    assert!(out.iter().any(cancels));
}

const CALL: AttemptId = AttemptId { entry: 1, request: 1, attempt: 1 };
const INCARNATION: u64 = 7;

/// What the agent beside a service did with a call and an abandon.
#[derive(Debug, Default, PartialEq)]
struct Did {
    started: usize,
    fenced: Vec<bool>,
    rejected: usize,
}

fn agent_does(messages: Vec<ToAgent>) -> Did {
    let mut core = AgentCore::new(AgentConfig {
        pool: "desk".into(),
        incarnation: INCARNATION,
        ..AgentConfig::default()
    });
    let mut out = Vec::new();
    core.adopt(Arc::new(Snapshot::parse(1, MANIFEST).expect("is valid")), &mut out);
    let hello = wire::EntryHello { entry: 1, ..wire::EntryHello::default() };
    core.handle(NOW, AgentEvent::EntryConnected(hello), &mut out);
    for message in messages {
        core.handle(NOW, AgentEvent::FromEntry { entry: 1, message }, &mut out);
    }
    let later = NOW + Duration::from_millis(100);
    core.handle(later, AgentEvent::Tick, &mut out);
    let mut did = Did::default();
    for action in out {
        match action {
            AgentAction::Call(_) => did.started += 1,
            AgentAction::Send { message: ToEntry::AbandonReply(reply), .. } => {
                did.fenced.push(reply.fenced)
            }
            AgentAction::Send { message: ToEntry::Rejected(_), .. } => did.rejected += 1,
            _ => {}
        }
    }
    did
}

fn call(incarnation: u64) -> ToAgent {
    ToAgent::Call(wire::Call {
        id: Some(CALL),
        incarnation,
        timeout_ms: 1_000,
        ..wire::Call::default()
    })
}

fn abandon(incarnation: u64) -> ToAgent {
    ToAgent::Abandon(wire::Abandon { id: Some(CALL), incarnation })
}

macro_rules! abandons {
    ($($name:ident: $messages:expr => started $started:expr, fenced $fenced:expr, rejected $rejected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let expected = Did { started: $started, fenced: $fenced, rejected: $rejected };
                assert_eq!(agent_does($messages), expected);
            }
        )+
    };
}

abandons! {
    a_call_starts: vec![call(INCARNATION)] => started 1, fenced vec![], rejected 0;
    a_call_that_comes_twice_starts_once:
        vec![call(INCARNATION), call(INCARNATION)] => started 1, fenced vec![], rejected 0;
    an_abandon_before_the_call_keeps_it_from_ever_starting:
        vec![abandon(INCARNATION), call(INCARNATION)] => started 0, fenced vec![true], rejected 1;
    an_abandon_after_the_start_does_not_say_fenced:
        vec![call(INCARNATION), abandon(INCARNATION)] => started 1, fenced vec![false], rejected 0;
    an_abandon_meant_for_an_earlier_agent_does_not_say_fenced:
        vec![abandon(INCARNATION - 1)] => started 0, fenced vec![false], rejected 0;
    a_call_meant_for_an_earlier_agent_does_not_start:
        vec![call(INCARNATION - 1)] => started 0, fenced vec![], rejected 1;
    two_abandons_say_the_same:
        vec![abandon(INCARNATION), abandon(INCARNATION)] => started 0, fenced vec![true, true], rejected 0;
}

/// The agent's own word: what it does with each kind of new work once it leaves.
fn leaving_agent_does(pool: &str, message: ToAgent) -> (usize, usize) {
    let mut core = AgentCore::new(AgentConfig {
        pool: pool.into(),
        incarnation: INCARNATION,
        ..AgentConfig::default()
    });
    let mut out = Vec::new();
    core.adopt(Arc::new(Snapshot::parse(1, MANIFEST).expect("is valid")), &mut out);
    core.handle(
        NOW,
        AgentEvent::Upstream(UpstreamEvent::Running { streams: Vec::new() }),
        &mut out,
    );
    let hello = wire::EntryHello { entry: 1, ..wire::EntryHello::default() };
    core.handle(NOW, AgentEvent::EntryConnected(hello), &mut out);
    core.handle(NOW, AgentEvent::Leave, &mut out);
    out.clear();
    core.handle(NOW, AgentEvent::FromEntry { entry: 1, message }, &mut out);
    let started =
        |action: &&AgentAction| matches!(action, AgentAction::Call(_) | AgentAction::Prefill(_));
    let refused = |action: &&AgentAction| {
        matches!(action, AgentAction::Send { message: ToEntry::Rejected(_), .. })
    };
    (out.iter().filter(started).count(), out.iter().filter(refused).count())
}

macro_rules! leaving {
    ($($name:ident: $pool:expr, $message:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(leaving_agent_does($pool, $message), (0, 1));
            }
        )+
    };
}

leaving! {
    a_leaving_agent_grants_no_slot: "decode",
        ToAgent::Reserve(wire::Reserve { id: Some(CALL), blocks: 1, ..wire::Reserve::default() });
    a_leaving_agent_starts_no_prefill: "prefill",
        ToAgent::Prefill(wire::Prefill { id: Some(CALL), deadline_ms: 100, ..wire::Prefill::default() });
    a_leaving_agent_starts_no_call: "desk", call(INCARNATION);
}
