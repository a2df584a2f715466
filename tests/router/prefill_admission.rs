//! Room to prefill as part of the decision to admit: replays of a pool that gets more prompts
//! than it can read, and the limits on starting a prefill anew.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::prefill_pool::ObservedPrefill;
use bamboodoor::router::prefill_pool::PrefillPool;
use bamboodoor::router::prefill_pool::admitted_share;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::prefill_pool_replay::Counts;
use crate::prefill_pool_replay::ReplaySettings;
use crate::prefill_pool_replay::replay;

/// Largest share of the tokens read that may be in vain: the project's own bound.
const MAX_SHARE_IN_VAIN: f64 = 0.03;

fn share_in_vain(counts: Counts) -> f64 {
    counts.tokens_in_vain as f64 / counts.tokens as f64
}

macro_rules! overload_wastes_few_tokens {
    ($($name:ident: $load:expr, $entries:expr, $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            let counts = replay(ReplaySettings {
                load: $load,
                entries: $entries,
                seed: $seed,
                ..ReplaySettings::default()
            });
            assert!(share_in_vain(counts) < MAX_SHARE_IN_VAIN, "{counts:?}");
        }
    )*};
}

overload_wastes_few_tokens! {
    load_1_5_at_25_entries_wastes_few_tokens: 1.5, 25, 1;
    load_1_5_at_25_entries_with_another_seed_wastes_few_tokens: 1.5, 25, 2;
    load_1_5_at_5_entries_wastes_few_tokens: 1.5, 5, 3;
    load_2_at_25_entries_wastes_few_tokens: 2.0, 25, 4;
    load_3_at_60_entries_wastes_few_tokens: 3.0, 60, 5;
}

/// The pool has room for all: nobody is refused and no prefill is started anew.
#[test]
fn a_pool_with_room_admits_all() {
    let counts = replay(ReplaySettings { load: 0.3, ..ReplaySettings::default() });
    assert_eq!(counts.refused, 0, "{counts:?}");
    assert_eq!(counts.repeated_prefills, 0, "{counts:?}");
    assert_eq!(counts.on_time, counts.requests, "{counts:?}");
}

/// Callers of a full pool are answered, by a first event or a refusal: none gives up.
#[test]
fn callers_of_a_full_pool_do_not_wait_in_vain() {
    let counts = replay(ReplaySettings::default());
    assert_eq!(counts.given_up, 0, "{counts:?}");
}

/// What does not fit is refused so that the rest is on time: half of the requests at twice the
/// rate could be; more than half of these are.
#[test]
fn most_of_what_the_pool_can_read_at_twice_its_rate_is_on_time() {
    let counts = replay(ReplaySettings { load: 2.0, ..ReplaySettings::default() });
    assert!(counts.on_time > counts.requests / 4, "{counts:?}");
}

/// A prefill that waits at a silent engine is started anew, and its caller is served.
#[test]
fn prefills_at_an_engine_that_falls_silent_are_started_anew() {
    let counts = replay(ReplaySettings {
        load: 0.3,
        silent_from: Some(Duration::from_secs(10)),
        ..ReplaySettings::default()
    });
    assert!(counts.repeated_prefills > 0, "{counts:?}");
    assert!(counts.given_up * 100 <= counts.requests, "{counts:?}");
}

fn sample(wait_ms: u64, ahead: u32) -> ObservedPrefill {
    ObservedPrefill { wait: ms(wait_ms), time: ms(100), ahead }
}

#[test]
fn without_a_recent_prefill_no_wait_is_expected() {
    let mut pool = PrefillPool::default();
    pool.record(ms(1_000), sample(800, 0));
    assert!(pool.expected_wait(ms(1_500), &[]) > Duration::ZERO);
    assert_eq!(pool.expected_wait(ms(2_100), &[]), Duration::ZERO);
}

#[test]
fn more_prefills_in_flight_than_before_lengthen_the_expected_wait() {
    let mut pool = PrefillPool::default();
    pool.record(ms(1_000), sample(400, 1));
    let same = pool.expected_wait(ms(1_100), &[sample(0, 0)]);
    let more = pool.expected_wait(ms(1_100), &[sample(0, 0), sample(0, 1), sample(0, 2)]);
    let fewer = pool.expected_wait(ms(1_100), &[]);
    assert!(more > same && same > fewer, "{more:?} {same:?} {fewer:?}");
}

#[test]
fn a_prefill_in_flight_that_has_waited_long_counts() {
    let pool = PrefillPool::default();
    assert!(pool.expected_wait(ms(1_000), &[sample(2_000, 0)]) >= ms(1_500));
}

#[test]
fn the_admitted_share_falls_to_none_at_the_longest_wait() {
    assert_eq!(admitted_share(Duration::ZERO, ms(600)), 1.0);
    assert_eq!(admitted_share(ms(300), ms(600)), 1.0);
    assert!((admitted_share(ms(450), ms(600)) - 0.5).abs() < 0.01);
    assert_eq!(admitted_share(ms(600), ms(600)), 0.0);
    assert_eq!(admitted_share(ms(1), Duration::ZERO), 0.0);
}

/// The prefill lasts longer than the reservation: a new reservation is made, and decode gets
/// the same prefill result.
#[test]
fn a_reservation_that_lapsed_is_made_anew_and_the_prefill_result_is_kept() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/stream/1");
    let Step::Reserve { ttl, .. } = step else { panic!("{step:?}") };
    harness.report(key, reserved());
    let step = harness.report_after(ttl, key, Event::Prefilled { handle: "kept".into() });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    let step = harness.report(key, reserved());
    let Step::Decode { source: Some(source), .. } = step else { panic!("{step:?}") };
    assert_eq!(source.handle, "kept");
}

/// A decode engine that runs nothing despite a reservation didn't fetch the prefill result:
/// another one gets it before the prompt is prefilled anew.
#[test]
fn a_prefill_result_is_tried_at_two_decode_engines() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_decode("/stream/1");
    let first = target(&step);
    let step = harness.report(key, Event::Failed(Failure::NotRun));
    assert_ne!(target(&step), first);
    let step = harness.report(key, reserved());
    assert!(matches!(step, Step::Decode { source: Some(_), .. }), "{step:?}");
    harness.report(key, Event::Failed(Failure::NotRun));
    harness.now += ms(5_000);
    let mut step = harness.report(key, Event::WaitEnded);
    if matches!(step, Step::Reserve { .. }) {
        step = harness.report(key, reserved());
    }
    assert!(!matches!(step, Step::Decode { .. }), "{step:?}");
}

/// Prefills of the pool take a second: one that takes two is slow like the others.
#[test]
fn a_prefill_that_is_merely_slow_is_not_abandoned() {
    let mut harness = Harness::new(default_upstreams());
    let (fast, _) = harness.start_request("/stream/1");
    harness.report(fast, reserved());
    harness.report_after(ms(100), fast, Event::Prefilled { handle: "h".into() });
    let (slow, _) = harness.start_request("/stream/1");
    harness.report(slow, reserved());
    let (same, _) = harness.start_request("/stream/1");
    harness.report(same, reserved());
    harness.report_after(ms(1_000), same, Event::Prefilled { handle: "h".into() });
    harness.now += ms(800);
    assert!(!harness.router.abandon_prefill(harness.now, slow));
    // Another one could not end before the caller gives up.
    harness.now += ms(1_750);
    assert!(!harness.router.abandon_prefill(harness.now, slow));
}

/// Has four prefills wait for 2 s at a pool that has just been fast, and returns the first step
/// of another request.
fn first_step_at_an_overloaded_pool(harness: &mut Harness) -> Step {
    let (fast, _) = harness.start_request("/stream/1");
    harness.report(fast, reserved());
    harness.report_after(ms(100), fast, Event::Prefilled { handle: "h".into() });
    for _ in 0..4 {
        let (key, _) = harness.start_request("/stream/1");
        harness.report(key, reserved());
    }
    harness.now += ms(2_000);
    harness.start_request("/stream/1").1
}

#[test]
fn an_overloaded_pool_is_answered_with_a_truthful_refusal() {
    let mut harness = Harness::new(default_upstreams());
    harness.add_accounts();
    let step = first_step_at_an_overloaded_pool(&mut harness);
    let Step::Refuse(refusal) = step else { panic!("{step:?}") };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after.is_some_and(|wait| wait >= ms(4_000)), "{refusal:?}");
}

#[test]
fn without_accounts_an_overloaded_pool_admits_all() {
    let mut harness = Harness::new(default_upstreams());
    let step = first_step_at_an_overloaded_pool(&mut harness);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}
