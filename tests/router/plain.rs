//! Calls to plain services: which are retried after a failure, and which outcome a
//! refusal reports.

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::request::RequestKey;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::target;

/// What the router does after an attempt of a call.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    /// The call is retried at another upstream.
    Retried,
    /// The call is refused, and the refusal reports this outcome.
    Refused(Outcome),
    /// The response is relayed to the caller.
    Relayed,
}

fn next(step: Step) -> Next {
    match step {
        Step::Call { .. } => Next::Retried,
        Step::Refuse(refusal) => Next::Refused(refusal.outcome),
        Step::Relay { .. } => Next::Relayed,
        other => panic!("unexpected step {other:?}"),
    }
}

macro_rules! after_the_first_attempt {
    ($($name:ident: $path:literal, $event:expr => $next:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut harness = Harness::new(default_upstreams());
            let (key, step) = harness.start_request($path);
            let first = target(&step);
            let step = harness.report(key, $event);
            if let Step::Call { target, .. } = &step {
                assert_ne!(*target, first);
            }
            assert_eq!(next(step), $next);
        }
    )*};
}

after_the_first_attempt! {
    a_lookup_that_was_not_sent_is_retried: "/lookup/1", Event::Failed(Failure::NotSent) => Next::Retried;
    a_lookup_that_did_not_run_is_retried: "/lookup/1", Event::Failed(Failure::NotRun) => Next::Retried;
    an_interrupted_lookup_is_retried: "/lookup/1", Event::Failed(Failure::Broken) => Next::Retried;
    a_lookup_without_a_response_is_retried: "/lookup/1", Event::Failed(Failure::Silent) => Next::Retried;
    a_lookup_with_status_500_is_retried: "/lookup/1", Event::ResponseStarted { status: 500 } => Next::Retried;
    a_lookup_with_status_404_is_relayed: "/lookup/1", Event::ResponseStarted { status: 404 } => Next::Relayed;
    a_booking_that_was_not_sent_is_retried: "/booking/1", Event::Failed(Failure::NotSent) => Next::Retried;
    a_booking_that_did_not_run_is_retried: "/booking/1", Event::Failed(Failure::NotRun) => Next::Retried;
    a_booking_that_reached_another_instance_is_retried: "/booking/1", Event::Failed(Failure::OtherInstance) => Next::Retried;
    an_interrupted_booking_has_an_unknown_outcome: "/booking/1", Event::Failed(Failure::Broken) => Next::Refused(Outcome::Unknown);
    a_booking_without_a_response_has_an_unknown_outcome: "/booking/1", Event::Failed(Failure::Silent) => Next::Refused(Outcome::Unknown);
    a_booking_with_status_500_is_relayed: "/booking/1", Event::ResponseStarted { status: 500 } => Next::Relayed;
    a_booking_with_status_503_has_an_unknown_outcome: "/booking/1", Event::ResponseStarted { status: 503 } => Next::Refused(Outcome::Unknown);
    a_booking_with_status_429_has_an_unknown_outcome: "/booking/1", Event::ResponseStarted { status: 429 } => Next::Refused(Outcome::Unknown);
    a_booking_with_status_408_has_an_unknown_outcome: "/booking/1", Event::ResponseStarted { status: 408 } => Next::Refused(Outcome::Unknown);
    a_booking_with_status_421_has_an_unknown_outcome: "/booking/1", Event::ResponseStarted { status: 421 } => Next::Refused(Outcome::Unknown);
    a_lookup_with_status_429_is_relayed: "/lookup/1", Event::ResponseStarted { status: 429 } => Next::Relayed;
    a_booking_past_its_deadline_has_an_unknown_outcome: "/booking/1", Event::DeadlinePassed => Next::Refused(Outcome::Unknown);
}

#[test]
fn a_booking_with_an_unproven_rejection_says_why_it_failed() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_request("/booking/1");
    let Step::Refuse(refusal) = harness.report(key, Event::ResponseStarted { status: 503 }) else {
        panic!("a booking is not retried");
    };
    assert_eq!(refusal.reason, RefusalReason::UnprovenRejection);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn a_retried_booking_is_not_retried_again_once_it_may_have_run() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_request("/booking/1");
    let step = harness.report(key, Event::Failed(Failure::NotRun));
    assert_eq!(next(step), Next::Retried);
    let step = harness.report(key, Event::Failed(Failure::Broken));
    assert_eq!(next(step), Next::Refused(Outcome::Unknown));
}

#[test]
fn a_lookup_runs_no_more_often_than_its_route_allows() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_request("/lookup/1");
    let step = harness.report(key, Event::ResponseStarted { status: 500 });
    assert_eq!(next(step), Next::Retried);
    let step = harness.report(key, Event::ResponseStarted { status: 500 });
    assert_eq!(next(step), Next::Relayed);
}

#[test]
fn a_leaving_upstream_gets_no_calls() {
    let mut harness = Harness::new(default_upstreams());
    let (_, step) = harness.start_request("/booking/1");
    let leaving = target(&step);
    harness.mark_leaving(&leaving);
    for _ in 0..20 {
        let (_, step) = harness.start_request("/booking/1");
        assert_ne!(target(&step), leaving);
    }
}

#[test]
fn a_call_passes_the_remaining_time_to_the_upstream() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/lookup/1");
    assert!(matches!(step, Step::Call { remaining_time, .. } if remaining_time == ms(14_000)));
    let step = harness.report_after(ms(200), key, Event::Failed(Failure::NotRun));
    assert!(matches!(step, Step::Call { remaining_time, .. } if remaining_time == ms(13_800)));
}

/// Reports that a call exceeded its timeout. Returns the next step, or `None` if the entry
/// keeps waiting for the upstream.
fn exceed_timeout(harness: &mut Harness, key: RequestKey) -> Option<Step> {
    let repeats = harness.router.repeat_call(harness.now, key);
    repeats.then(|| harness.report(key, Event::CallOverdue))
}

#[test]
fn idempotent_calls_are_not_refused_early_when_the_retry_budget_is_spent() {
    let mut harness = Harness::new(default_upstreams());
    let calls: Vec<RequestKey> = (0..100).map(|_| harness.start_request("/lookup/1").0).collect();
    for (index, key) in calls.into_iter().enumerate() {
        let step = exceed_timeout(&mut harness, key);
        assert!(matches!(step, None | Some(Step::Call { .. })), "{index}: {step:?}");
    }
}
