//! Rate limits that upstreams name, which hold over all entries together.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::FleetSettings;

/// Time over which a limit is played.
const PLAYED: Duration = Duration::from_secs(60);

/// Half of the latency target of the route.
const MAX_WAIT: Duration = Duration::from_millis(450);

/// Returns the limits of three upstreams of which the last names none.
fn two_of_three(limit_per_s: f64) -> Vec<Option<f64>> {
    vec![Some(limit_per_s), Some(limit_per_s / 2.0), None]
}

macro_rules! limits_kept {
    ($($name:ident: $settings:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 1..=5 {
                let mut fleet = Fleet::new(FleetSettings { seed, ..$settings });
                fleet.run(PLAYED);
                fleet.assert_limits_kept();
            }
        }
    )*};
}

limits_kept! {
    five_entries_keep_the_limits_of_two_upstreams_out_of_three: FleetSettings {
        limits_per_s: two_of_three(3.3),
        ..FleetSettings::default()
    };
    five_entries_keep_the_limits_of_all_upstreams: FleetSettings {
        limits_per_s: vec![Some(3.3), Some(1.9), Some(2.2)],
        ..FleetSettings::default()
    };
    many_entries_keep_the_limits_of_all_upstreams: FleetSettings {
        entries: 68,
        limits_per_s: vec![Some(10.0); 5],
        requests_per_s: 155.0,
        ..FleetSettings::default()
    };
    many_entries_keep_a_limit_far_below_one_request_an_entry: FleetSettings {
        entries: 68,
        limits_per_s: vec![Some(0.3), None],
        requests_per_s: 155.0,
        ..FleetSettings::default()
    };
    retries_after_failures_keep_the_limits: FleetSettings {
        limits_per_s: two_of_three(3.3),
        failing_share: 0.3,
        ..FleetSettings::default()
    };
    a_limit_of_zero_is_kept: FleetSettings {
        limits_per_s: vec![Some(0.0), None],
        ..FleetSettings::default()
    };
}

#[test]
fn a_limit_that_changes_is_kept_and_one_that_is_lifted_is_forgotten() {
    let settings = FleetSettings { limits_per_s: two_of_three(8.0), ..FleetSettings::default() };
    let mut fleet = Fleet::new(settings);
    for limit_per_s in [8.0, 2.0, 6.0] {
        fleet.set_limits(two_of_three(limit_per_s));
        fleet.run(PLAYED);
        fleet.assert_limits_kept();
    }
    fleet.set_limits(vec![None; 3]);
    fleet.run(PLAYED);
    fleet.set_limits(vec![None; 3]);
    fleet.run(PLAYED);
    let mean = (0..3).map(|upstream| fleet.sent(upstream)).sum::<usize>() / 3;
    assert!((0..3).all(|upstream| fleet.sent(upstream) * 2 > mean), "a lifted limit is still kept");
}

#[test]
fn a_restarted_entry_keeps_the_limits_again() {
    let settings = FleetSettings { limits_per_s: two_of_three(3.3), ..FleetSettings::default() };
    let mut fleet = Fleet::new(settings);
    for entry in 0..5 {
        fleet.run(Duration::from_secs(10));
        fleet.restart_entry(entry);
    }
    fleet.run(PLAYED);
    fleet.assert_limits_kept();
}

/// Four of five entries lost the store one after the other: each keeps a part of its last share,
/// while the store gave what it had to the others.
#[test]
fn limits_are_kept_while_the_shares_of_entries_overlap() {
    let settings = FleetSettings {
        limits_per_s: vec![Some(3.3), Some(1.9), Some(2.2)],
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::new(settings);
    fleet.set_shares(&[0.1, 0.125, 0.167, 0.25, 1.0]);
    fleet.run(PLAYED);
    fleet.assert_limits_kept();
}

#[test]
fn no_request_is_refused_while_an_upstream_names_no_limit() {
    let settings = FleetSettings { limits_per_s: two_of_three(3.3), ..FleetSettings::default() };
    let mut fleet = Fleet::new(settings);
    fleet.run(PLAYED);
    assert_eq!(fleet.refused.len(), 0);
}

macro_rules! limits_used {
    ($($name:ident: $entries:literal, $limits:expr, $requests_per_s:literal;)*) => {$(
        /// At least half of what the upstreams take is served; the rest is refused within half
        /// of the latency target, with a time to come back.
        #[test]
        fn $name() {
            let limits_per_s: Vec<Option<f64>> = $limits;
            let taken_per_s: f64 = limits_per_s.iter().flatten().sum();
            let mut fleet = Fleet::new(FleetSettings {
                entries: $entries,
                limits_per_s,
                requests_per_s: $requests_per_s,
                ..FleetSettings::default()
            });
            fleet.run(PLAYED);
            assert!(fleet.served as f64 >= 0.5 * taken_per_s * PLAYED.as_secs_f64(), "{}", fleet.served);
            assert!(fleet.refused.iter().all(|waited| *waited <= MAX_WAIT));
            assert_eq!(fleet.retry_after.len(), fleet.refused.len());
        }
    )*};
}

limits_used! {
    five_entries_use_the_limits_of_all_upstreams: 5, vec![Some(3.3), Some(1.9), Some(2.2)], 25.0;
    many_entries_use_the_limits_of_all_upstreams: 68, vec![Some(10.0); 5], 155.0;
}

/// The store assigns 64 partitions, so most of 410 entries have no share.
#[test]
fn more_entries_than_shares_keep_the_limits() {
    let settings = FleetSettings {
        entries: 410,
        limits_per_s: vec![Some(10.0); 5],
        requests_per_s: 155.0,
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::new(settings);
    let shares: Vec<f64> =
        (0..410).map(|entry| if entry < 64 { 1.0 / 64.0 } else { 0.0 }).collect();
    fleet.set_shares(&shares);
    fleet.run(PLAYED);
    fleet.assert_limits_kept();
}

/// Seeds at which the permits of many entries fell close together.
#[test]
fn sparse_permits_of_many_entries_do_not_fall_together() {
    for (limit_per_s, seed) in [(0.3, 1_774), (0.3, 1_976), (1.0, 1_287)] {
        let mut fleet = Fleet::new(FleetSettings {
            entries: 68,
            limits_per_s: vec![Some(limit_per_s), None],
            requests_per_s: 155.0,
            seed,
            ..FleetSettings::default()
        });
        fleet.run(PLAYED);
        fleet.assert_limits_kept();
    }
}

/// Time in which the permits of all entries fall due at least once, however sparse they are.
const ALL_PERMITS: Duration = Duration::from_secs(700);

macro_rules! limits_kept_at_the_same_moments {
    ($($name:ident: $entries:literal, $limit_per_s:literal;)*) => {$(
        /// The permits of all entries fall due at the same moments.
        #[test]
        fn $name() {
            let mut fleet = Fleet::new(FleetSettings {
                entries: $entries,
                limits_per_s: vec![Some($limit_per_s), None],
                requests_per_s: 155.0,
                same_phases: true,
                ..FleetSettings::default()
            });
            fleet.run(ALL_PERMITS);
            fleet.assert_limits_kept();
        }
    )*};
}

limits_kept_at_the_same_moments! {
    same_phases_of_5_entries_keep_a_limit_of_0_3_a_second: 5, 0.3;
    same_phases_of_5_entries_keep_a_limit_of_1_a_second: 5, 1.0;
    same_phases_of_5_entries_keep_a_limit_of_3_a_second: 5, 3.0;
    same_phases_of_5_entries_keep_a_limit_of_10_a_second: 5, 10.0;
    same_phases_of_5_entries_keep_a_limit_of_30_a_second: 5, 30.0;
    same_phases_of_68_entries_keep_a_limit_of_0_3_a_second: 68, 0.3;
    same_phases_of_68_entries_keep_a_limit_of_1_a_second: 68, 1.0;
    same_phases_of_68_entries_keep_a_limit_of_3_a_second: 68, 3.0;
    same_phases_of_68_entries_keep_a_limit_of_10_a_second: 68, 10.0;
    same_phases_of_68_entries_keep_a_limit_of_30_a_second: 68, 30.0;
}
