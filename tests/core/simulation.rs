//! Entries and agents under faults in random orders, from fixed seeds. The
//! records of the small fakes are the judge.

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

fn holds_under(faults: Faults) {
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, faults.clone());
        sim.run();
        sim.settle();
        let broken = sim.broken();
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}

/// The bookings with a key share 30 keys, so most of them are refused as done.
#[test]
fn most_requests_are_answered_when_nothing_fails() {
    let mut sim = Sim::new(1, Faults::default());
    sim.run();
    sim.settle();
    assert!(sim.whole_share() > 0.75, "{}", sim.whole_share());
}

macro_rules! faults {
    ($($name:ident: $faults:expr;)+) => {
        $(
            #[test]
            fn $name() {
                holds_under($faults);
            }
        )+
    };
}

faults! {
    nothing_fails: Faults::default();
    callers_hang_up: Faults { hang_up: 0.02, ..Faults::default() };
    connections_are_cut: Faults { cut: 0.02, ..Faults::default() };
    connections_are_silent: Faults { partition: 0.03, ..Faults::default() };
    silent_while_agents_leave: Faults { partition: 0.03, stop_agent: 0.01, ..Faults::default() };
    agents_are_killed: Faults { kill_agent: 0.006, ..Faults::default() };
    entries_are_killed: Faults { kill_entry: 0.004, ..Faults::default() };
    entries_are_frozen_past_their_lease: Faults { freeze_entry: 0.004, ..Faults::default() };
    transfers_stall_and_streams_are_cut: Faults { stall: 0.2, cut_stream: 0.02, ..Faults::default() };
    prefills_fail: Faults { fail_prefill: 0.2, ..Faults::default() };
    cancels_are_lost: Faults { hang_up: 0.03, lose_cancel: 0.5, ..Faults::default() };
    answers_of_services_are_lost: Faults { lose_call_answer: 0.3, slow_call: 0.2, ..Faults::default() };
    the_log_is_down_and_loses_answers: Faults { log_down: 0.02, lose_append: 0.3, ..Faults::default() };
    agents_and_entries_stop_as_planned: Faults { stop_agent: 0.01, stop_entry: 0.006, ..Faults::default() };
    everything_fails_together: Faults {
        stop_agent: 0.003,
        stop_entry: 0.002,
        hang_up: 0.01,
        cut: 0.01,
        partition: 0.005,
        kill_agent: 0.003,
        kill_entry: 0.002,
        freeze_entry: 0.002,
        stall: 0.1,
        cut_stream: 0.01,
        fail_prefill: 0.05,
        lose_cancel: 0.2,
        lose_call_answer: 0.1,
        slow_call: 0.05,
        log_down: 0.01,
        lose_append: 0.1,
    };
}

#[test]
fn a_planned_stop_cuts_off_nothing() {
    for seed in 0..SEEDS {
        let faults = Faults { stop_agent: 0.01, stop_entry: 0.006, ..Faults::default() };
        let mut sim = Sim::new(seed, faults);
        sim.run();
        sim.settle();
        // A second request with a key whose first still runs is told so; that
        // is an answer to a repetition, not an answer cut off.
        let cut: Vec<String> =
            sim.cut_off().into_iter().filter(|cut| !cut.contains("KeyInProgress")).collect();
        assert!(cut.is_empty(), "seed {seed}: {cut:#?}");
    }
}

/// Reasons that the HTTP edges give; `tests/processes/limits.rs` and the tests of
/// the platform's entry reach them.
const OF_THE_EDGE: [RefusalReason; 7] = [
    RefusalReason::MalformedJson,
    RefusalReason::InvalidField,
    RefusalReason::BodyTooLarge,
    RefusalReason::HeaderTooLarge,
    RefusalReason::BodyTimeout,
    RefusalReason::TooManyConnections,
    RefusalReason::PromptTooLong,
];

/// Reasons that come of a manifest; `tests/processes` reaches them.
const OF_OTHER_TESTS: [RefusalReason; 6] = [
    RefusalReason::UnknownModel,
    RefusalReason::UnknownService,
    RefusalReason::UnknownAccount,
    RefusalReason::KeyRequired,
    RefusalReason::NotReady,
    RefusalReason::KeyReused,
];

#[test]
fn every_reason_is_reached() {
    let mut reached = BTreeSet::new();
    let faults = Faults {
        cut: 0.03,
        kill_agent: 0.02,
        stop_agent: 0.01,
        stop_entry: 0.004,
        stall: 0.3,
        cut_stream: 0.02,
        fail_prefill: 0.4,
        lose_call_answer: 0.4,
        slow_call: 0.2,
        log_down: 0.01,
        freeze_entry: 0.002,
        ..Faults::default()
    };
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, faults.clone());
        sim.run();
        reached.extend(sim.reasons().iter().cloned());
    }
    reached.extend(crate::replays::reasons_beyond_capacity());
    let elsewhere =
        |reason: &RefusalReason| OF_THE_EDGE.contains(reason) || OF_OTHER_TESTS.contains(reason);
    let refused = RefusalReason::iter().filter(|reason| !elsewhere(reason));
    let refused = refused.map(|reason| format!("refused-{reason}"));
    let retried = RetryReason::iter().map(|reason| format!("retry-{reason}"));
    let missing: Vec<String> =
        refused.chain(retried).filter(|name| !reached.contains(name)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
