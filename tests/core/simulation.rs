//! Runs entries and agents under random faults, with fixed seeds, and checks the invariants
//! against what the callers and the fake upstreams saw.

#[path = "simulation/checker.rs"]
mod checker;
#[path = "simulation/fakes.rs"]
mod fakes;
#[path = "simulation/sim.rs"]
mod sim;

use std::collections::BTreeSet;

use bamboodoor::outcome::RefusalReason;
use bamboodoor::outcome::RetryReason;
use sim::Faults;
use sim::Sim;
use strum::IntoEnumIterator;

const SEEDS: u64 = 100;

fn assert_invariants_hold(faults: Faults) {
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, faults.clone());
        sim.run_with_faults();
        sim.run_without_faults();
        let violations = sim.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Not all requests succeed, because the non-idempotent calls with a key have only 30 keys
/// among them, so most of these calls are refused as already completed.
#[test]
fn most_requests_succeed_when_nothing_fails() {
    let mut sim = Sim::new(1, Faults::default());
    sim.run_with_faults();
    sim.run_without_faults();
    assert!(sim.complete_share() > 0.75, "{}", sim.complete_share());
}

macro_rules! faults {
    ($($name:ident: $faults:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_invariants_hold($faults);
            }
        )+
    };
}

faults! {
    invariants_hold_when_nothing_fails: Faults::default();
    invariants_hold_when_callers_disconnect:
        Faults { disconnect_caller: 0.02, ..Faults::default() };
    invariants_hold_when_connections_are_cut: Faults { cut_connection: 0.02, ..Faults::default() };
    invariants_hold_when_connections_are_partitioned:
        Faults { partition_connection: 0.03, ..Faults::default() };
    invariants_hold_when_agents_drain_during_a_partition:
        Faults { partition_connection: 0.03, drain_agent: 0.01, ..Faults::default() };
    invariants_hold_when_agents_are_killed: Faults { kill_agent: 0.006, ..Faults::default() };
    invariants_hold_when_entries_are_killed: Faults { kill_entry: 0.004, ..Faults::default() };
    invariants_hold_when_entries_are_frozen_past_their_lease:
        Faults { freeze_entry: 0.004, ..Faults::default() };
    invariants_hold_when_transfers_stall_and_streams_are_cut:
        Faults { stall_transfer: 0.2, cut_stream: 0.02, ..Faults::default() };
    invariants_hold_when_prefills_fail: Faults { fail_prefill: 0.2, ..Faults::default() };
    invariants_hold_when_cancels_are_lost:
        Faults { disconnect_caller: 0.03, lose_cancel: 0.5, ..Faults::default() };
    invariants_hold_when_responses_of_services_are_lost:
        Faults { lose_call_response: 0.3, slow_call: 0.2, ..Faults::default() };
    invariants_hold_when_the_log_is_down_and_its_responses_are_lost:
        Faults { log_outage: 0.02, lose_append_response: 0.3, ..Faults::default() };
    invariants_hold_when_agents_and_entries_drain:
        Faults { drain_agent: 0.01, drain_entry: 0.006, ..Faults::default() };
    invariants_hold_when_everything_fails_together: Faults {
        drain_agent: 0.003,
        drain_entry: 0.002,
        disconnect_caller: 0.01,
        cut_connection: 0.01,
        partition_connection: 0.005,
        kill_agent: 0.003,
        kill_entry: 0.002,
        freeze_entry: 0.002,
        stall_transfer: 0.1,
        cut_stream: 0.01,
        fail_prefill: 0.05,
        lose_cancel: 0.2,
        lose_call_response: 0.1,
        slow_call: 0.05,
        log_outage: 0.01,
        lose_append_response: 0.1,
    };
}

#[test]
fn draining_cuts_off_no_response() {
    for seed in 0..SEEDS {
        let faults = Faults { drain_agent: 0.01, drain_entry: 0.006, ..Faults::default() };
        let mut sim = Sim::new(seed, faults);
        sim.run_with_faults();
        sim.run_without_faults();
        // A call whose idempotency key belongs to a call in flight is refused with an
        // unknown outcome. It only repeats that call, so draining cut nothing off.
        let cut_off: Vec<String> = sim
            .cut_off_requests()
            .into_iter()
            .filter(|request| !request.contains("KeyInProgress"))
            .collect();
        assert!(cut_off.is_empty(), "seed {seed}: {cut_off:#?}");
    }
}

/// Reasons for which the edge refuses a request before it reaches the entry core;
/// `tests/processes/refusals.rs` and `platform/tests/entry` reach them.
const EDGE_REASONS: [RefusalReason; 7] = [
    RefusalReason::MalformedJson,
    RefusalReason::InvalidField,
    RefusalReason::BodyTooLarge,
    RefusalReason::HeaderTooLarge,
    RefusalReason::BodyTimeout,
    RefusalReason::TooManyConnections,
    RefusalReason::PromptTooLong,
];

/// Reasons that depend on the manifest, or on an idempotency key that is reused for another
/// request; `refusals.rs` and `idempotency.rs` in `tests/processes` reach them.
const MANIFEST_REASONS: [RefusalReason; 6] = [
    RefusalReason::UnknownModel,
    RefusalReason::UnknownService,
    RefusalReason::UnknownAccount,
    RefusalReason::KeyRequired,
    RefusalReason::NotReady,
    RefusalReason::KeyReused,
];

/// Reasons of an entry that connects to upstreams directly; `tests/router` reaches them
/// (`accounts`, `key_certainty`, `quotas`, `rate_limited_engines`, `upstream_notice`, `software_versions`, `poison`, `deadly_requests`, `plain`).
const ROUTER_REASONS: [RefusalReason; 8] = [
    RefusalReason::UnknownApiKey,
    RefusalReason::KeysUncertain,
    RefusalReason::QuotaExceeded,
    RefusalReason::RateLimited,
    RefusalReason::VersionUnavailable,
    RefusalReason::PoisonousPrompt,
    RefusalReason::PoisonousRequest,
    RefusalReason::UnprovenRejection,
];

#[test]
fn every_reason_for_refusal_or_retry_is_reached() {
    let mut reached = BTreeSet::new();
    let faults = Faults {
        cut_connection: 0.03,
        kill_agent: 0.02,
        drain_agent: 0.01,
        drain_entry: 0.004,
        stall_transfer: 0.3,
        cut_stream: 0.02,
        fail_prefill: 0.4,
        lose_call_response: 0.4,
        slow_call: 0.2,
        log_outage: 0.01,
        freeze_entry: 0.002,
        ..Faults::default()
    };
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, faults.clone());
        sim.run_with_faults();
        reached.extend(sim.decisions().iter().cloned());
    }
    reached.extend(crate::replays::decisions_beyond_capacity());
    let is_reached_elsewhere = |reason: &RefusalReason| {
        EDGE_REASONS.contains(reason)
            || MANIFEST_REASONS.contains(reason)
            || ROUTER_REASONS.contains(reason)
    };
    let refused = RefusalReason::iter().filter(|reason| !is_reached_elsewhere(reason));
    let refused = refused.map(|reason| format!("refused-{reason}"));
    let retried = RetryReason::iter().map(|reason| format!("retry-{reason}"));
    let missing: Vec<String> =
        refused.chain(retried).filter(|name| !reached.contains(name)).collect();
    assert!(missing.is_empty(), "decisions that no run reached: {missing:?}");
}
