//! Budgets of a node in a deployment of the target size that can be checked by counting
//! instead of timing: bytes of control traffic and bytes of memory. The node is an entry.

#[path = "../../examples/capacity/fleet.rs"]
mod fleet;

use std::alloc::System;

use bamboodoor::entry::claims::ClaimIndex;
use bamboodoor::entry::claims::ClaimKey;
use bamboodoor::policy::prefix::PrefixIndex;
use bamboodoor::schema::record::Claim;
use bamboodoor::schema::record::ClaimBatch;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;
use fleet::Entry;
use fleet::NOW;
use prost::Message;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Budget of a node at the target size for control traffic: 5 KB a second.
const NODE_BYTES_PER_S: usize = 5_000;
/// Budget of a node at the target size for the memory of its control state: 32 MB.
const NODE_BYTES: usize = 32_000_000;
/// Number of agents that an entry is connected to: each of the 600 agents, one per replica,
/// has connections with 22 of the 410 entries, which is 32.2 agents per entry, rounded up.
const AGENTS_PER_ENTRY: usize = 33;
/// One heartbeat a second in each direction on every connection, as the documentation sets
/// it for the target size.
const HEARTBEATS_PER_S: usize = 1;
/// Number of manifests that are accepted in a day.
const MANIFESTS_PER_DAY: usize = 2_000;
const SECONDS_PER_DAY: usize = 86_400;
/// Size of the length field in front of each message on a connection.
const FRAME_HEADER_BYTES: usize = 4;
const CLIENT_ACCOUNTS: usize = 600;
const MODELS: usize = 8;
const CLAIMED_KEYS: usize = 40_000;
const PREFIXES: u64 = 16_384;
const REQUESTS_IN_FLIGHT: usize = 120;

/// Returns the control traffic of a node: the heartbeats that it exchanges with its agents,
/// and the manifests that it receives.
fn control_bytes_per_s() -> usize {
    let heartbeat_bytes = |number| {
        let load = Some(fleet::load(number));
        let to_entry = wire::AgentHeartbeat { generation: 123_456, leaving: false, load };
        let to_entry = wire::ToEntry { kind: Some(ToEntry::Heartbeat(to_entry)) };
        let to_agent = wire::EntryHeartbeat { generation: 123_456 };
        let to_agent = wire::ToAgent { kind: Some(ToAgent::Heartbeat(to_agent)) };
        to_entry.encoded_len() + to_agent.encoded_len() + 2 * FRAME_HEADER_BYTES
    };
    let bytes_per_interval: usize = (0..AGENTS_PER_ENTRY).map(heartbeat_bytes).sum();
    let manifest_bytes_per_s =
        fleet::manifest(MODELS, CLIENT_ACCOUNTS).len() * MANIFESTS_PER_DAY / SECONDS_PER_DAY;
    bytes_per_interval * HEARTBEATS_PER_S + manifest_bytes_per_s
}

/// Returns an index with this number of claims, none of them completed.
fn claims(keys: usize) -> ClaimIndex {
    let mut index = ClaimIndex::default();
    for number in 0..keys {
        let key = ClaimKey::new("account-0001", "desk", &number.to_string());
        let agent = "desk-001".to_string();
        let claim = Claim { key_high: key.high, key_low: key.low, agent, ..Claim::default() };
        index.apply(
            number as u64,
            NOW,
            &ClaimBatch { claims: vec![claim], completions: Vec::new() },
        );
    }
    index
}

/// The only test of this program, because the allocator counts for the whole process.
#[test]
fn a_node_at_the_target_size_stays_within_its_traffic_and_memory_budget() {
    let bytes_per_s = control_bytes_per_s();
    assert!(
        bytes_per_s <= NODE_BYTES_PER_S,
        "control traffic: {bytes_per_s} bytes/s of {NODE_BYTES_PER_S}"
    );

    let region = Region::new(ALLOCATOR);
    let mut entry = Entry::new(AGENTS_PER_ENTRY);
    for number in 0..REQUESTS_IN_FLIGHT {
        entry.accept_request(number);
    }
    let claims = claims(CLAIMED_KEYS);
    let mut prefixes = PrefixIndex::default();
    prefixes.insert(NOW, &(0..PREFIXES).collect::<Vec<u64>>(), entry.agents[0]);
    let change = region.change();
    let allocated = change.bytes_allocated.saturating_sub(change.bytes_deallocated);
    assert!(allocated <= NODE_BYTES, "memory: {allocated} bytes of {NODE_BYTES}");
    assert_eq!((claims.len(), prefixes.len()), (CLAIMED_KEYS, PREFIXES as usize));
}
