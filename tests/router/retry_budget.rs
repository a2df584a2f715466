//! The retry budget of a service as a promise of all entries together: arrivals at its upstreams
//! beyond the first of their request, in any window.

use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::upstreams::PoolRole;

use crate::retry_fleet::Fault;
use crate::retry_fleet::Load;
use crate::retry_fleet::Reaction;
use crate::retry_fleet::RetryFleet;
use crate::retry_fleet::RetryFleetSettings;

fn fault(from_ms: u64, until_ms: u64, role: PoolRole, share: f64, reaction: Reaction) -> Fault {
    Fault { from_ms, until_ms, role, share, reaction }
}

/// Prefill engines that all fail in the same way for five seconds.
fn prefills(reaction: Reaction) -> RetryFleetSettings {
    RetryFleetSettings {
        faults: vec![fault(4_000, 9_000, PoolRole::Prefill, 1.0, reaction)],
        ..RetryFleetSettings::default()
    }
}

/// Four times the load for the time in which half of all engines fail in the same way.
fn burst(reaction: Reaction) -> RetryFleetSettings {
    let load = |until_ms, requests_per_s| Load { until_ms, requests_per_s, entries: 0..24 };
    RetryFleetSettings {
        loads: vec![load(4_000, 35.0), load(9_000, 140.0), load(20_000, 35.0)],
        faults: vec![
            fault(4_000, 9_000, PoolRole::Prefill, 0.5, reaction),
            fault(4_000, 9_000, PoolRole::Decode, 0.5, reaction),
        ],
        ..RetryFleetSettings::default()
    }
}

/// Engines that mostly fail, for the whole time.
fn long_failure(reaction: Reaction) -> RetryFleetSettings {
    RetryFleetSettings {
        faults: vec![
            fault(2_000, 20_000, PoolRole::Prefill, 0.7, reaction),
            fault(2_000, 20_000, PoolRole::Decode, 0.7, reaction),
        ],
        ..RetryFleetSettings::default()
    }
}

/// Lookups and bookings at a plain service, two thirds of which fail in the same way.
fn calls(reaction: Reaction) -> RetryFleetSettings {
    RetryFleetSettings {
        paths: vec!["/lookup/1", "/booking/1"],
        loads: vec![Load { until_ms: 20_000, requests_per_s: 76.0, entries: 0..24 }],
        faults: vec![fault(2_000, 20_000, PoolRole::Service, 0.7, reaction)],
        ..RetryFleetSettings::default()
    }
}

/// All entries are killed three times, a few seconds apart.
fn killed(settings: RetryFleetSettings) -> RetryFleetSettings {
    let all = 0..settings.entries;
    let kills = [5_000, 8_000, 11_000].map(|at_ms| (at_ms, all.clone())).to_vec();
    RetryFleetSettings { kills, ..settings }
}

/// Half of the entries are lost for good, so that their shares move to the others.
fn half_lost(settings: RetryFleetSettings) -> RetryFleetSettings {
    let lost = settings.entries / 2..settings.entries;
    RetryFleetSettings { losses: vec![(6_000, lost)], ..settings }
}

/// The store is away for longer than the shares last, and away again later.
fn store_away(settings: RetryFleetSettings) -> RetryFleetSettings {
    RetryFleetSettings { store_away: vec![1_000..9_000, 12_000..18_000], ..settings }
}

/// The load moves from one half of the entries to the other.
fn moving_load(settings: RetryFleetSettings) -> RetryFleetSettings {
    let half = settings.entries / 2;
    let load = |until_ms, entries| Load { until_ms, requests_per_s: 35.0, entries };
    let loads = vec![load(10_000, 0..half), load(20_000, half..settings.entries)];
    RetryFleetSettings { loads, ..settings }
}

/// Bursts that lie half in one window and half in the next one.
fn bursts_between_windows(settings: RetryFleetSettings) -> RetryFleetSettings {
    let entries = 0..settings.entries;
    let load =
        |until_ms, requests_per_s| Load { until_ms, requests_per_s, entries: entries.clone() };
    let loads = vec![
        load(1_000, 35.0),
        load(3_500, 200.0),
        load(11_000, 5.0),
        load(13_500, 200.0),
        load(20_000, 5.0),
    ];
    RetryFleetSettings { loads, ..settings }
}

fn with_68_entries(settings: RetryFleetSettings) -> RetryFleetSettings {
    let mut settings = RetryFleetSettings { entries: 68, engines: 60, ..settings };
    settings.budget.allowance = 176.0;
    for load in &mut settings.loads {
        load.entries = 0..68;
        load.requests_per_s *= 3.0;
    }
    settings
}

fn with_5_entries(settings: RetryFleetSettings) -> RetryFleetSettings {
    let budget = BudgetLimits { allowance: 58.0, ..settings.budget };
    let mut settings = RetryFleetSettings { entries: 5, engines: 18, budget, ..settings };
    for load in &mut settings.loads {
        load.entries = 0..5;
        load.requests_per_s *= 0.5;
    }
    settings
}

/// Streams break off while the load is at one half of the entries, then at the other, and there
/// is no allowance: each half uses the ratio over its own requests.
fn ratio_alone() -> RetryFleetSettings {
    let settings = RetryFleetSettings {
        paths: vec!["/resumable/1"],
        budget: BudgetLimits { allowance: 0.0, ..BudgetLimits::default() },
        faults: vec![fault(6_000, 20_000, PoolRole::Decode, 1.0, Reaction::BreakOff)],
        ..RetryFleetSettings::default()
    };
    moving_load(settings)
}

macro_rules! budget_kept {
    ($($name:ident: $settings:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 1..=3 {
                let fleet = RetryFleet::play(RetryFleetSettings { seed, ..$settings });
                fleet.assert_budget_kept();
                assert!(fleet.extras() > 0, "nothing was sent again");
            }
        }
    )*};
}

budget_kept! {
    prefills_that_are_reset_keep_the_budget: prefills(Reaction::Reset);
    prefills_that_are_rejected_keep_the_budget: prefills(Reaction::Reject);
    misdirected_prefills_keep_the_budget: prefills(Reaction::Misdirected);
    prefills_whose_answer_is_lost_keep_the_budget: prefills(Reaction::LoseAnswer);
    silent_prefills_keep_the_budget: prefills(Reaction::Silent);
    a_burst_while_half_of_the_engines_reset_keeps_the_budget: burst(Reaction::Reset);
    a_burst_while_half_of_the_engines_reject_keeps_the_budget: burst(Reaction::Reject);
    a_burst_while_half_of_the_engines_break_streams_off_keeps_the_budget: burst(Reaction::BreakOff);
    entries_killed_while_engines_reset_keep_the_budget: killed(long_failure(Reaction::Reset));
    entries_killed_while_engines_reject_keep_the_budget: killed(long_failure(Reaction::Reject));
    entries_killed_while_streams_break_off_keep_the_budget: killed(long_failure(Reaction::BreakOff));
    entries_killed_while_calls_fail_keep_the_budget: killed(calls(Reaction::Error));
    entries_lost_while_engines_reset_keep_the_budget: half_lost(long_failure(Reaction::Reset));
    entries_lost_while_calls_are_rejected_keep_the_budget: half_lost(calls(Reaction::Reject));
    a_store_that_is_away_while_engines_reset_keeps_the_budget: store_away(long_failure(Reaction::Reset));
    a_store_that_is_away_while_calls_fail_keeps_the_budget: store_away(calls(Reaction::Error));
    a_load_that_moves_keeps_the_budget: moving_load(long_failure(Reaction::Reset));
    calls_of_a_load_that_moves_keep_the_budget: moving_load(calls(Reaction::Error));
    a_load_that_moves_keeps_the_ratio_without_an_allowance: ratio_alone();
    bursts_between_windows_keep_the_budget: bursts_between_windows(long_failure(Reaction::Reset));
    calls_that_are_reset_keep_the_budget: calls(Reaction::Reset);
    silent_calls_keep_the_budget: calls(Reaction::Silent);
    prefills_that_are_reset_keep_the_budget_of_68_entries: with_68_entries(prefills(Reaction::Reset));
    a_store_that_is_away_keeps_the_budget_of_68_entries: store_away(with_68_entries(calls(Reaction::Error)));
    entries_killed_keep_the_budget_of_68_entries: killed(with_68_entries(long_failure(Reaction::Reset)));
    prefills_that_are_reset_keep_the_budget_of_5_entries: with_5_entries(prefills(Reaction::Reset));
    entries_killed_keep_the_budget_of_5_entries: killed(with_5_entries(long_failure(Reaction::Reset)));
}
