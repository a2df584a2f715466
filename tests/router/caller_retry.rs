//! Requests of callers that retry after a refusal, at times when capacity is short: they
//! come after those that can still be answered within the latency target.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::caller_retry::LongestCallerTimeout;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::upstream;

/// `Retry-After` of refusals.
const RETRY_AFTER: Duration = Duration::from_secs(4);

/// Checks whether a caller with this time left counts as retrying, after ten callers whose
/// timeouts are between 12 and 14 s.
macro_rules! callers {
    ($($name:ident: $remaining_ms:literal => $retries:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut longest = LongestCallerTimeout::default();
            for number in 0..10 {
                let first_timeout = ms(14_000 - 200 * number);
                assert!(!longest.record(first_timeout, RETRY_AFTER), "{first_timeout:?}");
            }
            assert_eq!(longest.record(ms($remaining_ms), RETRY_AFTER), $retries);
        }
    )*};
}

callers! {
    a_caller_with_the_longest_timeout_does_not_retry: 14_000 => false;
    a_caller_with_a_slightly_shorter_timeout_does_not_retry: 11_900 => false;
    a_caller_that_waited_for_the_retry_time_retries: 9_500 => true;
    a_caller_of_little_patience_that_waited_for_a_third_of_its_time_retries: 8_000 => true;
}

#[test]
fn callers_that_all_have_a_shorter_timeout_do_not_count_as_retrying() {
    let mut longest = LongestCallerTimeout::default();
    longest.record(ms(14_000), RETRY_AFTER);
    for _ in 0..1_000 {
        longest.record(ms(3_000), RETRY_AFTER);
    }
    assert!(!longest.record(ms(2_900), RETRY_AFTER));
}

#[test]
fn a_request_on_time_is_served_before_a_late_one_that_came_first() {
    let mut harness = Harness::new(default_upstreams());
    let (first, _) = harness.start_request("/stream/1");
    let (late, step) = harness.start_retry("/stream/2", ms(5_000));
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
    let (on_time, step) = harness.start_request("/stream/3");
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
    harness.report(first, reserved());
    assert_eq!(harness.router.take_runnable(), vec![on_time]);
    assert!(matches!(harness.report(on_time, Event::WaitEnded), Step::Reserve { .. }));
    harness.report(on_time, reserved());
    assert_eq!(harness.router.take_runnable(), vec![late]);
}

/// How a request fares while all engines are full.
struct FullPool {
    /// Number of reservation requests before the first wait.
    first_round: usize,
    /// Time from the arrival to the refusal.
    refused_after: Duration,
}

/// Starts a request whose caller has waited for `earlier_wait_ms` at 22 full engines.
fn run_at_full_pool(earlier_wait_ms: u64) -> FullPool {
    let engines = (0..20).map(|number| upstream(&format!("d{number}"), ENGINES, PoolRole::Decode));
    let mut harness = Harness::new(default_upstreams().into_iter().chain(engines).collect());
    // Shows the caller's usual timeout.
    let (first, _) = harness.start_request("/stream/1");
    harness.router.finish(harness.now, first);
    let start = harness.now;
    let (key, mut step) = harness.start_retry("/stream/2", ms(earlier_wait_ms));
    let mut first_round = None;
    let mut rejections = 0;
    loop {
        step = match step {
            Step::Reserve { .. } => {
                rejections += 1;
                harness.report(key, Event::ReservationRejected)
            }
            Step::Wait { until } => {
                first_round.get_or_insert(rejections);
                let wait = until.saturating_sub(harness.now).max(ms(1));
                harness.report_after(wait, key, Event::WaitEnded)
            }
            Step::Refuse(_) => {
                let first_round = first_round.expect("the request waits before it is refused");
                return FullPool { first_round, refused_after: harness.now - start };
            }
            other => panic!("unexpected step {other:?}"),
        };
    }
}

#[test]
fn a_late_request_asks_a_third_of_the_engines_and_is_refused_earlier() {
    let on_time = run_at_full_pool(0);
    let late = run_at_full_pool(5_000);
    assert_eq!(late.first_round * 3, on_time.first_round);
    assert!(late.refused_after < on_time.refused_after);
}
