//! Entries and agents under faults in random orders, from fixed seeds. The
//! records of the small fakes are the judge.

#[path = "simulation/fakes.rs"]
mod fakes;
#[path = "simulation/judge.rs"]
mod judge;
#[path = "simulation/sim.rs"]
mod sim;

use sim::Faults;
use sim::Sim;

const SEEDS: u64 = 40;

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
    agents_are_killed: Faults { kill_agent: 0.006, ..Faults::default() };
    entries_are_killed: Faults { kill_entry: 0.004, ..Faults::default() };
    entries_are_frozen_past_their_lease: Faults { freeze_entry: 0.004, ..Faults::default() };
    transfers_stall_and_streams_are_cut: Faults { stall: 0.2, cut_stream: 0.02, ..Faults::default() };
    prefills_fail: Faults { fail_prefill: 0.2, ..Faults::default() };
    cancels_are_lost: Faults { hang_up: 0.03, lose_cancel: 0.5, ..Faults::default() };
    answers_of_services_are_lost: Faults { lose_call_answer: 0.3, ..Faults::default() };
    the_log_is_down_and_loses_answers: Faults { log_down: 0.02, lose_append: 0.3, ..Faults::default() };
    everything_fails_together: Faults {
        hang_up: 0.01,
        cut: 0.01,
        kill_agent: 0.003,
        kill_entry: 0.002,
        freeze_entry: 0.002,
        stall: 0.1,
        cut_stream: 0.01,
        fail_prefill: 0.05,
        lose_cancel: 0.2,
        lose_call_answer: 0.1,
        log_down: 0.01,
        lose_append: 0.1,
    };
}
