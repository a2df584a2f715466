//! Budgets of the target size that can be counted rather than timed: control
//! bytes a second and memory of a node.

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

/// Letter 1: for control a node spends at most 5 KB a second and 32 MB.
const NODE_BYTES_PER_S: usize = 5_000;
const NODE_BYTES: usize = 32_000_000;
/// 22 entries an agent before 600 replicas, spread over 410 entries.
const AGENTS_PER_ENTRY: usize = 33;
/// One a second, as the page of the target size sets it.
const HEARTBEATS_PER_S: usize = 1;
const CHANGES_PER_DAY: usize = 2_000;
const SECONDS_PER_DAY: usize = 86_400;
const FRAME_HEADER_BYTES: usize = 4;
const CLIENT_ACCOUNTS: usize = 600;
const MODELS: usize = 8;
const CLAIMED_KEYS: usize = 40_000;
const PREFIXES: u64 = 16_384;
const REQUESTS_IN_FLIGHT: usize = 120;

fn control_bytes_per_s() -> usize {
    let beat = |number| {
        let load = Some(fleet::load(number));
        let down = wire::AgentHeartbeat { generation: 123_456, leaving: false, load };
        let down = wire::ToEntry { kind: Some(ToEntry::Heartbeat(down)) };
        let up = wire::EntryHeartbeat { generation: 123_456 };
        let up = wire::ToAgent { kind: Some(ToAgent::Heartbeat(up)) };
        down.encoded_len() + up.encoded_len() + 2 * FRAME_HEADER_BYTES
    };
    let beats: usize = (0..AGENTS_PER_ENTRY).map(beat).sum();
    let manifest =
        fleet::manifest(MODELS, CLIENT_ACCOUNTS).len() * CHANGES_PER_DAY / SECONDS_PER_DAY;
    beats * HEARTBEATS_PER_S + manifest
}

fn claimed(keys: usize) -> ClaimIndex {
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

/// One test, because the counts are of the whole process.
#[test]
fn a_node_of_the_target_size_stays_within_its_budget() {
    let bytes_per_s = control_bytes_per_s();
    assert!(bytes_per_s <= NODE_BYTES_PER_S, "{bytes_per_s} bytes/s");

    let region = Region::new(ALLOCATOR);
    let mut entry = Entry::new(AGENTS_PER_ENTRY);
    for number in 0..REQUESTS_IN_FLIGHT {
        entry.accept_request(number);
    }
    let claims = claimed(CLAIMED_KEYS);
    let mut prefixes = PrefixIndex::default();
    prefixes.insert(NOW, &(0..PREFIXES).collect::<Vec<u64>>(), entry.agents[0]);
    let change = region.change();
    let held = change.bytes_allocated.saturating_sub(change.bytes_deallocated);
    assert!(held <= NODE_BYTES, "{held} bytes");
    assert_eq!((claims.len(), prefixes.len()), (CLAIMED_KEYS, PREFIXES as usize));
}
