//! The measurements. Each is taken at several sizes and printed as one row of the table,
//! except the goodput with subsets of the agents, which has a table of its own.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bamboodoor::agent::AgentAction;
use bamboodoor::agent::AgentConfig;
use bamboodoor::agent::AgentCore;
use bamboodoor::agent::AgentEvent;
use bamboodoor::agent::UpstreamEvent;
use bamboodoor::entry::claims::ClaimIndex;
use bamboodoor::entry::claims::ClaimKey;
use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::prefix::PrefixIndex;
use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::replay;
use bamboodoor::replay::synthesis;
use bamboodoor::replay::synthesis::Synthesis;
use bamboodoor::schema::record::Claim;
use bamboodoor::schema::record::ClaimBatch;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stats_alloc::Region;

use crate::ALLOCATOR;
use crate::fit::Points;
use crate::fleet;
use crate::fleet::Entry;
use crate::fleet::NOW;

/// Size of the length prefix of a message on a connection between entry and agent.
const FRAME_HEADER_BYTES: usize = 4;
const HEARTBEATS_PER_S: f64 = 2.0;
/// Number of timed runs, of which the fastest counts.
const RUNS: usize = 7;
const US_PER_S: f64 = 1e6;
/// Interval between manifest changes, at 2,000 changes per day.
const SECONDS_PER_MANIFEST_CHANGE: f64 = 86_400.0 / 2_000.0;

/// Measures a quantity at each size and prints the row.
fn measure(
    quantity: &'static str,
    unit: &'static str,
    sizes: &[usize],
    value: impl Fn(usize) -> f64,
) {
    let values = sizes.iter().map(|&size| value(size)).collect();
    let sizes = sizes.iter().map(|&size| size as f64).collect();
    Points { quantity, unit, sizes, values }.print();
}

/// Returns the mean time of a call in the fastest of several runs, in microseconds.
fn min_us(calls: usize, mut run: impl FnMut()) -> f64 {
    let mut min = f64::MAX;
    for _ in 0..RUNS {
        let started = Instant::now();
        for _ in 0..calls {
            run();
        }
        min = min.min(started.elapsed().as_secs_f64() * US_PER_S / calls as f64);
    }
    min
}

/// Returns how many bytes more are allocated after building a value than before, and
/// the value.
fn retained_bytes<T>(build: impl FnOnce() -> T) -> (usize, T) {
    let region = Region::new(ALLOCATOR);
    let built = build();
    let change = region.change();
    (change.bytes_allocated.saturating_sub(change.bytes_deallocated), built)
}

/// Returns the size of a message on the wire in bytes, with its length prefix.
fn frame_bytes(message: &impl Message) -> f64 {
    (message.encoded_len() + FRAME_HEADER_BYTES) as f64
}

fn heartbeat(number: usize) -> wire::AgentHeartbeat {
    wire::AgentHeartbeat { generation: 123_456, leaving: false, load: Some(fleet::load(number)) }
}

pub fn heartbeat_bytes() {
    measure(
        "heartbeats of one entry, both ways",
        "bytes/s over agents",
        &[10, 40, 100, 300, 600],
        |agents| {
            let frame_pair = |number| {
                let from_agent =
                    wire::ToEntry { kind: Some(ToEntry::Heartbeat(heartbeat(number))) };
                let from_entry = wire::EntryHeartbeat { generation: 123_456 };
                let from_entry = wire::ToAgent { kind: Some(ToAgent::Heartbeat(from_entry)) };
                frame_bytes(&from_agent) + frame_bytes(&from_entry)
            };
            (0..agents).map(frame_pair).sum::<f64>() * HEARTBEATS_PER_S
        },
    );
}

pub fn entry_heartbeat_time() {
    measure(
        "entry takes and sends heartbeats",
        "us/s over agents",
        &[10, 40, 100, 300, 600],
        |agents| {
            let mut entry = Entry::new(agents);
            let mut now = NOW;
            let us_per_round = min_us(50, || {
                now += Duration::from_millis(500);
                for (number, &agent) in entry.agents.iter().enumerate() {
                    let message = ToEntry::Heartbeat(heartbeat(number));
                    entry.core.on_agent_message(now, agent, message, &mut entry.out);
                }
                entry.core.tick(now, &mut entry.out);
                entry.out.clear();
            });
            us_per_round * HEARTBEATS_PER_S
        },
    );
}

pub fn agent_tick_time() {
    measure("agent ticks", "us a tick over requests held", &[10, 20, 40, 80, 160], |count| {
        let mut core = agent_with_reservations(count);
        let mut out = Vec::new();
        min_us(200, || {
            core.handle(NOW, AgentEvent::Tick, &mut out);
            out.clear();
        })
    });
}

pub fn decide_time() {
    measure("admit and place one request", "us over agents", &[20, 40, 100, 300, 600], |agents| {
        let mut entry = Entry::new(agents);
        let mut number = 0;
        min_us(50, || {
            number += 1;
            black_box(entry.accept_request(number));
        })
    });
}

pub fn request_memory() {
    measure(
        "request in flight at an entry",
        "bytes over requests",
        &[100, 200, 400, 800],
        |requests| {
            let mut entry = Entry::new(40);
            let (bytes, ()) = retained_bytes(|| {
                for number in 0..requests {
                    entry.accept_request(number);
                }
            });
            bytes as f64
        },
    );
}

pub fn prefix_memory() {
    measure("prefix index", "bytes over entries", &[2_000, 4_000, 8_000, 16_000], |prefixes| {
        let agent = Entry::new(1).agents[0];
        let mut index = PrefixIndex::default();
        let hashes: Vec<u64> = (0..prefixes as u64).collect();
        let (bytes, ()) = retained_bytes(|| index.insert(NOW, &hashes, agent));
        bytes as f64
    });
}

pub fn claim_memory() {
    measure("claim index", "bytes over keys", &[10_000, 20_000, 40_000, 80_000], |keys| {
        let mut index = ClaimIndex::default();
        let (bytes, ()) = retained_bytes(|| {
            for number in 0..keys {
                let key = ClaimKey::new("account-0001", "desk", &number.to_string());
                let claim = Claim {
                    key_high: key.high,
                    key_low: key.low,
                    agent: "desk-001".to_string(),
                    ..Claim::default()
                };
                let batch = ClaimBatch { claims: vec![claim], completions: Vec::new() };
                index.apply(number as u64, NOW, &batch);
            }
        });
        bytes as f64
    });
}

pub fn agent_view_memory() {
    measure(
        "view of the agents at an entry",
        "bytes over agents",
        &[40, 100, 300, 600],
        |agents| {
            let (bytes, entry) = retained_bytes(|| Entry::new(agents));
            drop(entry);
            bytes as f64
        },
    );
}

pub fn token_time() {
    measure("relay at the entry", "us over tokens", &[50, 100, 200, 400], |tokens| {
        let chunk = |id, index| wire::Chunk {
            id: Some(id),
            index,
            text: "token ".into(),
            ..wire::Chunk::default()
        };
        let mut min = f64::MAX;
        for run in 0..RUNS {
            let mut entry = Entry::new(40);
            let Some((agent, id)) = entry.accept_request(run) else { continue };
            let granted =
                wire::ReserveReply { id: Some(id), granted: true, wait_ms: 0, load: None };
            entry.core.on_agent_message(NOW, agent, ToEntry::ReserveReply(granted), &mut entry.out);
            let started = Instant::now();
            for index in 0..tokens as u32 {
                let message = ToEntry::Chunk(chunk(id, index));
                entry.core.on_agent_message(NOW, agent, message, &mut entry.out);
                entry.out.clear();
            }
            min = min.min(started.elapsed().as_secs_f64() * US_PER_S);
        }
        min
    });
}

pub fn manifest_bytes() {
    measure(
        "manifest changes, whole body",
        "bytes/s a process over accounts",
        &[100, 300, 600, 1_200],
        |accounts| {
            let copy =
                wire::ManifestCopy { generation: 123_456, body: fleet::manifest(8, accounts) };
            frame_bytes(&wire::ToAgent { kind: Some(ToAgent::Manifest(copy)) })
                / SECONDS_PER_MANIFEST_CHANGE
        },
    );
}

pub fn manifest_adopt_time() {
    measure("read and check a manifest", "us over accounts", &[100, 300, 600, 1_200], |accounts| {
        let body = fleet::manifest(8, accounts);
        min_us(3, || drop(black_box(Snapshot::parse(1, &body))))
    });
}

/// Returns a decode agent that holds the given number of reservations.
fn agent_with_reservations(reservations: usize) -> AgentCore {
    let mut core = AgentCore::new(AgentConfig {
        pool: "decode-0".into(),
        lease_ttl: Duration::from_secs(3_600),
        ..AgentConfig::default()
    });
    let body = fleet::manifest(1, 1)
        .replace("\"max_streams\": 20", "\"max_streams\": 100000")
        .replace("\"blocks\": 4000", "\"blocks\": 100000000");
    let mut out: Vec<AgentAction> = Vec::new();
    core.adopt(
        Arc::new(Snapshot::parse(1, &body).expect("the generated manifest is valid")),
        &mut out,
    );
    core.handle(
        NOW,
        AgentEvent::Upstream(UpstreamEvent::RunningStreams { streams: Vec::new() }),
        &mut out,
    );
    core.handle(
        NOW,
        AgentEvent::EntryConnected(wire::EntryHello { entry: 1, ..wire::EntryHello::default() }),
        &mut out,
    );
    for number in 0..reservations {
        let id = Some(AttemptId { entry: 1, request: number as u64, attempt: 1 });
        let reserve =
            wire::Reserve { id, blocks: 150, expected_tokens: 250, max_wait_ms: 1_000, rank: 10 };
        core.handle(
            NOW,
            AgentEvent::FromEntry { entry: 1, message: ToAgent::Reserve(reserve) },
            &mut out,
        );
        out.clear();
    }
    core
}

/// Simulates how many appends to the log are made a second if claims arrive at 410
/// entries at random and each entry appends a batch at most once in 20 ms.
pub fn claim_appends() {
    measure(
        "appends of 410 entries",
        "appends/s over claims/s",
        &[50, 100, 200, 400, 800],
        |claims_per_s| {
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let seconds = 20;
            let mut next_append_s = vec![f64::MIN; 410];
            let mut appends = 0;
            for number in 0..claims_per_s * seconds {
                let at_s = number as f64 / claims_per_s as f64;
                let entry = rng.random_range(0..next_append_s.len());
                if at_s >= next_append_s[entry] {
                    next_append_s[entry] = at_s + 0.02;
                    appends += 1;
                }
            }
            f64::from(appends) / seconds as f64
        },
    );
}

pub fn reconnect_bytes() {
    measure("an entry connects again", "bytes over agents", &[10, 40, 100, 300], |agents| {
        let connection_bytes = |number| {
            let agent_hello = wire::ToEntry { kind: Some(ToEntry::Hello(fleet::hello(number))) };
            let hello = wire::EntryHello {
                entry: 1_764_790_000_000_000,
                name: "entry-123".to_string(),
                generation: 123_456,
            };
            let resume = wire::Resume { points: Vec::new() };
            let hello = wire::ToAgent { kind: Some(ToAgent::Hello(hello)) };
            let resume = wire::ToAgent { kind: Some(ToAgent::Resume(resume)) };
            frame_bytes(&agent_hello) + frame_bytes(&hello) + frame_bytes(&resume)
        };
        (0..agents).map(connection_bytes).sum()
    });
}

/// Prints the goodput at 1.3 times capacity when each entry is connected to only some
/// of the agents.
pub fn subset_goodput() {
    println!(
        "| entries | entries an agent | agents an entry | goodput/s | within targets % | refused at once % |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let workload = synthesis::associacao();
    let snapshot = Snapshot::parse(1, include_str!("../associacao.jsonc"))
        .expect("the example manifest is valid");
    let synthesis = Synthesis { load: 1.3, ..Synthesis::default() };
    let trace = synthesis::synthesize(&workload, &snapshot, &synthesis);
    // The example manifest has 21 agents: 6 for prefill, 12 for decode, 3 for the service.
    for entries_per_agent in [2, 3, 4, 6, 9, 12] {
        let config = ReplayConfig { entries: 12, entries_per_agent, ..ReplayConfig::default() };
        let summary = replay(&trace, &snapshot, &config).expect("the trace fits the manifest");
        println!(
            "| 12 | {entries_per_agent} | {:.1} | {:.1} | {:.1} | {:.0} |",
            21.0 * entries_per_agent as f64 / 12.0,
            summary.goodput_per_s,
            summary.within_targets_percent,
            summary.refused_at_once_percent,
        );
    }
}
