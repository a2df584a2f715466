//! Results of an engine, and limits of a caller, that are out of range: they cost the work that they
//! are about, and no other.

use std::sync::Arc;
use std::time::Duration;

use bamboodoor::agent::AgentAction;
use bamboodoor::agent::AgentConfig;
use bamboodoor::agent::AgentCore;
use bamboodoor::agent::AgentEvent;
use bamboodoor::agent::RunningStream;
use bamboodoor::agent::UpstreamEvent;
use bamboodoor::agent::transfers::TransferSchedule;
use bamboodoor::entry::EntryAction;
use bamboodoor::entry::request::IncomingGeneration;
use bamboodoor::entry::request::IncomingRequest;
use bamboodoor::entry::request::IncomingWork;
use bamboodoor::manifest::Snapshot;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;

use crate::fleet;
use crate::fleet::NOW;

const ENTRY: u64 = 1;
const ID: AttemptId = AttemptId { entry: ENTRY, request: 1, attempt: 1 };
const ZONE: &str = "zone-0";
/// Most times in a row that a stream is asked for again without a token from it.
const MAX_RESUMES: usize = 8;

fn snapshot() -> Arc<Snapshot> {
    Arc::new(Snapshot::parse(1, &fleet::manifest(1, 1)).expect("the manifest is valid"))
}

/// Agent of a decode engine that runs these streams, with an entry connected.
struct DecodeAgent {
    core: AgentCore,
    out: Vec<AgentAction>,
}

impl DecodeAgent {
    fn new(streams: Vec<RunningStream>) -> Self {
        let config = AgentConfig {
            pool: "decode-0".into(),
            zone: ZONE.into(),
            incarnation: 7,
            ..AgentConfig::default()
        };
        let mut agent = Self { core: AgentCore::new(config), out: Vec::new() };
        agent.core.adopt(snapshot(), &mut agent.out);
        let hello = wire::EntryHello { entry: ENTRY, ..wire::EntryHello::default() };
        agent.core.handle(NOW, AgentEvent::EntryConnected(hello), &mut agent.out);
        agent.engine(UpstreamEvent::RunningStreams { streams });
        agent
    }

    fn engine(&mut self, event: UpstreamEvent) {
        self.core.handle(NOW, AgentEvent::Upstream(event), &mut self.out);
    }

    fn entry(&mut self, message: ToAgent) {
        let event = AgentEvent::FromEntry { entry: ENTRY, message };
        self.core.handle(NOW, event, &mut self.out);
    }

    /// Starts a stream, of which the engine has sent no token yet.
    fn start_stream(&mut self) {
        self.entry(ToAgent::Reserve(wire::Reserve {
            id: Some(ID),
            blocks: 1,
            max_wait_ms: 1_000,
            ..wire::Reserve::default()
        }));
        self.entry(ToAgent::Decode(wire::Decode {
            id: Some(ID),
            max_tokens: 100,
            lives_ms: 1_000,
            ..wire::Decode::default()
        }));
        self.engine(UpstreamEvent::Imported { id: ID });
        self.out.clear();
    }

    /// The engine sends the token at this index, which is not the last one.
    fn token(&mut self, index: u32) {
        let finish_reason = String::new();
        let text = "t".into();
        self.engine(UpstreamEvent::Chunk { id: ID, index, text, last: false, finish_reason });
    }

    /// Number of times that the stream was asked for since it was started.
    fn resumes(&self) -> usize {
        self.out.iter().filter(|action| matches!(action, AgentAction::Decode { .. })).count()
    }

    fn has_failed(&self) -> bool {
        let is_failure = |action: &AgentAction| {
            matches!(action, AgentAction::Send { message: ToEntry::StreamFailed(_), .. })
        };
        self.out.iter().any(is_failure)
    }
}

#[test]
fn a_stream_that_breaks_off_without_a_token_again_and_again_fails() {
    let mut agent = DecodeAgent::new(Vec::new());
    agent.start_stream();
    for _ in 0..=MAX_RESUMES {
        agent.engine(UpstreamEvent::StreamDisconnected { id: ID });
    }
    assert!(agent.has_failed(), "the engine is asked {} times", agent.resumes());
    assert!(agent.resumes() <= MAX_RESUMES);
}

#[test]
fn a_stream_that_breaks_off_after_each_token_goes_on() {
    let mut agent = DecodeAgent::new(Vec::new());
    agent.start_stream();
    for index in 0..20 {
        agent.token(index);
        agent.engine(UpstreamEvent::StreamDisconnected { id: ID });
    }
    assert!(!agent.has_failed());
    assert_eq!(agent.resumes(), 20);
}

#[test]
fn a_stream_that_breaks_off_twice_without_a_token_goes_on() {
    let mut agent = DecodeAgent::new(Vec::new());
    agent.start_stream();
    for _ in 0..2 {
        agent.engine(UpstreamEvent::StreamDisconnected { id: ID });
    }
    assert!(!agent.has_failed());
    assert_eq!(agent.resumes(), 2);
}

#[test]
fn listed_streams_with_more_blocks_than_can_be_counted_stop_no_agent() {
    let stream = |request| RunningStream {
        id: AttemptId { entry: 9, request, attempt: 1 },
        blocks: u32::MAX,
    };
    let mut agent = DecodeAgent::new(vec![stream(1), stream(2)]);
    agent.start_stream();
    assert_eq!(agent.core.load(NOW).free_blocks, 0);
}

#[test]
fn a_cache_size_out_of_range_holds_up_no_later_transfer() {
    let snapshot = snapshot();
    let pool = snapshot.pool("decode-0").expect("the pool exists");
    let mut transfers = TransferSchedule::default();
    transfers.configure(&snapshot, pool, ZONE);
    let lifetime = Duration::from_millis(800);
    transfers.push(ID, ZONE, u64::MAX, NOW + lifetime);
    assert_eq!(transfers.start(NOW).len(), 1);
    let next = AttemptId { request: 2, ..ID };
    let later = NOW + lifetime;
    transfers.push(next, ZONE, 1 << 20, later + lifetime);
    let started = transfers.start(later);
    assert!(started.iter().any(|start| start.id == next), "{:?}", transfers.next_wakeup());
}

#[test]
fn a_cache_size_out_of_range_on_a_slow_link_stops_no_agent() {
    let slow = fleet::manifest(1, 1).replace("50000000000", "1");
    let snapshot = Snapshot::parse(1, &slow).expect("the manifest is valid");
    let pool = snapshot.pool("decode-0").expect("the pool exists");
    let mut transfers = TransferSchedule::default();
    transfers.configure(&snapshot, pool, ZONE);
    transfers.push(ID, ZONE, u64::MAX, NOW + Duration::from_millis(800));
    assert_eq!(transfers.start(NOW).len(), 1);
}

#[test]
fn a_caller_that_asks_for_more_tokens_than_can_be_counted_is_served() {
    let mut entry = fleet::Entry::new(8);
    let work = IncomingWork::Generate(IncomingGeneration {
        model: "model-0".into(),
        prompt: vec![b'x'; 800].into(),
        prompt_tokens: 200,
        prefixes: vec![1],
        max_tokens: u32::MAX,
    });
    let account = "account-0000".into();
    let incoming = IncomingRequest { request_id: "r1".into(), account, work };
    entry.core.on_request(NOW, incoming, &mut entry.out);
    let asks_for_slot = |action: &EntryAction| {
        matches!(action, EntryAction::Send { message: ToAgent::Reserve(_), .. })
    };
    assert!(entry.out.iter().any(asks_for_slot));
}
