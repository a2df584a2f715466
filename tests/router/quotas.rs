//! Quotas of accounts, which hold over all entries together. The bound is the users': what is
//! admitted in any window of 8 s is at most 1.1 times the quota of the window, plus 190,000.

use std::time::Duration;

use crate::quota_fleet::QuotaFleet;
use crate::quota_fleet::QuotaFleetSettings;
use crate::quota_fleet::uneven;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
/// Load of an account that sends several times what it usually does.
const HOT: f64 = 4.0;
/// Load that is usual for an account.
const USUAL: f64 = 0.55;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Plays a scenario with several seeds and checks the bound.
fn check(name: &str, settings: QuotaFleetSettings, play: impl Fn(&mut QuotaFleet)) {
    for seed in SEEDS {
        let mut fleet = QuotaFleet::settled(QuotaFleetSettings { seed, ..settings.clone() });
        play(&mut fleet);
        let largest = fleet.largest_window();
        println!(
            "{name} seed {seed}: largest {largest:.3}, used {:.3}, lost {:.4}, refused {}, calls {}",
            fleet.used_part(),
            fleet.lost_part(),
            fleet.refused,
            fleet.store_calls
        );
        assert!(largest <= 1.0, "{name}, seed {seed}: {largest} of what is allowed");
    }
}

macro_rules! quota_kept {
    ($($name:ident: $settings:expr, $play:expr;)*) => {$(
        #[test]
        fn $name() {
            check(stringify!($name), $settings, $play);
        }
    )*};
}

fn default() -> QuotaFleetSettings {
    QuotaFleetSettings::default()
}

fn with_entries(entries: usize) -> QuotaFleetSettings {
    QuotaFleetSettings { weights: uneven(entries), ..default() }
}

fn burst(fleet: &mut QuotaFleet) {
    fleet.run(s(10), USUAL);
    fleet.run(s(12), HOT);
    fleet.run(s(10), USUAL);
}

fn all(fleet: &mut QuotaFleet, change: impl Fn(&mut QuotaFleet, usize)) {
    (0..fleet.len()).for_each(|entry| change(fleet, entry));
}

quota_kept! {
    a_burst_at_one_entry: default(), |fleet| {
        fleet.send_all_to(3);
        burst(fleet);
    };
    a_burst_that_moves_from_one_entry_to_the_next: default(), |fleet| {
        for entry in 0..12 {
            fleet.send_all_to(entry);
            fleet.run(s(2), HOT);
        }
    };
    a_burst_at_5_uneven_entries: with_entries(5), burst;
    a_burst_at_26_uneven_entries: default(), burst;
    a_burst_at_68_uneven_entries: with_entries(68), burst;
    a_burst_of_large_requests: QuotaFleetSettings {
        rate_per_s: 92_874.0,
        units: (200.0, 13_000.0),
        ..default()
    }, burst;
    a_burst_at_68_entries_with_equal_phases: QuotaFleetSettings {
        weights: vec![1.0; 68],
        same_phases: true,
        ..default()
    }, burst;
    a_quota_that_halves_twice: default(), |fleet| {
        fleet.run(s(10), HOT);
        fleet.set_rate(75_000.0);
        fleet.run(s(10), HOT);
        fleet.set_rate(37_500.0);
        fleet.run(s(10), HOT);
    };
    a_quota_that_rises: default(), |fleet| {
        fleet.run(s(10), HOT);
        fleet.set_rate(300_000.0);
        fleet.run(s(15), HOT);
    };
    an_account_that_is_missing_in_one_of_two_configurations_in_a_second: default(), |fleet| {
        fleet.run(s(10), HOT);
        for _ in 0..5 {
            fleet.remove_account();
            fleet.run(Duration::from_millis(500), 0.0);
            fleet.restore_account();
            fleet.run(s(1), HOT);
        }
    };
    killed_entries: default(), |fleet| {
        fleet.run(s(10), HOT);
        for entry in 0..6 {
            fleet.kill(entry * 4);
            fleet.run(s(1), HOT);
            fleet.restart(entry * 4);
            fleet.run(s(1), HOT);
        }
    };
    all_entries_killed_at_once: default(), |fleet| {
        fleet.run(s(10), USUAL);
        fleet.run(s(3), HOT);
        all(fleet, QuotaFleet::kill);
        fleet.run(s(1), HOT);
        all(fleet, QuotaFleet::restart);
        fleet.run(s(12), HOT);
    };
    entries_cut_off_and_back: default(), |fleet| {
        fleet.run(s(5), HOT);
        (20..24).for_each(|entry| fleet.set_reaches_store(entry, false));
        fleet.run(s(12), HOT);
        (20..24).for_each(|entry| fleet.set_reaches_store(entry, true));
        fleet.run(s(10), HOT);
    };
    many_entries_cut_off_for_long: default(), |fleet| {
        (16..26).for_each(|entry| fleet.set_reaches_store(entry, false));
        fleet.run(s(80), HOT);
        (16..26).for_each(|entry| fleet.set_reaches_store(entry, true));
        fleet.run(s(10), HOT);
    };
    all_entries_cut_off: default(), |fleet| {
        all(fleet, |fleet, entry| fleet.set_reaches_store(entry, false));
        burst(fleet);
    };
    frozen_entries: default(), |fleet| {
        fleet.run(s(5), HOT);
        (18..26).for_each(|entry| fleet.set_frozen(entry, true));
        fleet.run(s(6), HOT);
        (18..26).for_each(|entry| fleet.set_frozen(entry, false));
        fleet.run(s(10), HOT);
    };
    added_entries: default(), |fleet| {
        fleet.run(s(10), HOT);
        (0..13).for_each(|_| fleet.add(4.0));
        fleet.run(s(12), HOT);
    };
}

#[test]
fn a_store_that_is_away_from_the_start() {
    for seed in SEEDS {
        let mut fleet = QuotaFleet::new(QuotaFleetSettings { seed, ..default() });
        all(&mut fleet, |fleet, entry| fleet.set_reaches_store(entry, false));
        fleet.run(s(5), USUAL);
        fleet.run(s(20), HOT);
        let largest = fleet.largest_window();
        println!("away seed {seed}: {largest:.3}, lost {:.3}", fleet.lost_part());
        assert!(largest <= 1.0, "seed {seed}: {largest}");
    }
}

/// Plays an account that stays within its quota, and checks that nothing is refused.
fn check_nothing_refused(settings: QuotaFleetSettings, load: f64) {
    for seed in SEEDS {
        let mut fleet = QuotaFleet::settled(QuotaFleetSettings { seed, ..settings.clone() });
        fleet.run(s(60), load);
        println!(
            "inside, seed {seed}, load {load}: lost {:.4}, refused {}, calls {}",
            fleet.lost_part(),
            fleet.refused,
            fleet.store_calls
        );
        assert_eq!(fleet.refused, 0, "seed {seed}: {} refused", fleet.refused);
    }
}

macro_rules! nothing_refused {
    ($($name:ident: $settings:expr, $load:expr;)*) => {$(
        #[test]
        fn $name() {
            check_nothing_refused($settings, $load);
        }
    )*};
}

nothing_refused! {
    an_account_at_a_quarter_of_its_quota: default(), 0.25;
    an_account_at_half_of_its_quota: default(), 0.5;
    an_account_at_its_usual_load: default(), USUAL;
    an_account_at_its_usual_load_at_5_entries: with_entries(5), USUAL;
    an_account_at_its_usual_load_at_68_entries: with_entries(68), USUAL;
    an_account_at_its_whole_rate: default(), 0.95;
}
