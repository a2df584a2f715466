//! Calls to plain services: which may be sent again after a failure, and which
//! outcome a refusal reports.

use bamboodoor::outcome::Outcome;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;

use crate::harness::Harness;
use crate::harness::fleet;
use crate::harness::ms;
use crate::harness::target;

/// What the router does after the first send.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    /// The call is sent to another upstream.
    SentAgain,
    /// The call is refused, and the refusal reports this outcome.
    Refused(Outcome),
    /// The response is relayed to the caller.
    Relayed,
}

fn next(step: Step) -> Next {
    match step {
        Step::Call { .. } => Next::SentAgain,
        Step::Refuse(refusal) => Next::Refused(refusal.outcome),
        Step::Relay { .. } => Next::Relayed,
        other => panic!("unexpected step {other:?}"),
    }
}

macro_rules! after_the_first_send {
    ($($name:ident: $path:literal, $event:expr => $next:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut harness = Harness::new(fleet());
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

after_the_first_send! {
    a_lookup_that_was_not_sent_is_sent_again: "/lookup/1", Event::Failed(Failure::NotSent) => Next::SentAgain;
    a_lookup_that_did_not_run_is_sent_again: "/lookup/1", Event::Failed(Failure::NotRun) => Next::SentAgain;
    an_interrupted_lookup_is_sent_again: "/lookup/1", Event::Failed(Failure::Broken) => Next::SentAgain;
    a_lookup_without_a_response_is_sent_again: "/lookup/1", Event::Failed(Failure::Silent) => Next::SentAgain;
    a_lookup_with_status_500_is_sent_again: "/lookup/1", Event::ResponseStarted { status: 500 } => Next::SentAgain;
    a_lookup_with_status_404_is_relayed: "/lookup/1", Event::ResponseStarted { status: 404 } => Next::Relayed;
    a_booking_that_was_not_sent_is_sent_again: "/booking/1", Event::Failed(Failure::NotSent) => Next::SentAgain;
    a_booking_that_did_not_run_is_sent_again: "/booking/1", Event::Failed(Failure::NotRun) => Next::SentAgain;
    a_booking_that_reached_another_instance_is_sent_again: "/booking/1", Event::Failed(Failure::OtherInstance) => Next::SentAgain;
    an_interrupted_booking_has_an_unknown_outcome: "/booking/1", Event::Failed(Failure::Broken) => Next::Refused(Outcome::Unknown);
    a_booking_without_a_response_has_an_unknown_outcome: "/booking/1", Event::Failed(Failure::Silent) => Next::Refused(Outcome::Unknown);
    a_booking_with_status_500_is_relayed: "/booking/1", Event::ResponseStarted { status: 500 } => Next::Relayed;
    a_booking_past_its_deadline_has_an_unknown_outcome: "/booking/1", Event::DeadlinePassed => Next::Refused(Outcome::Unknown);
}

#[test]
fn a_booking_sent_again_is_not_sent_a_third_time_once_it_may_have_run() {
    let mut harness = Harness::new(fleet());
    let (key, _) = harness.start_request("/booking/1");
    let step = harness.report(key, Event::Failed(Failure::NotRun));
    assert_eq!(next(step), Next::SentAgain);
    let step = harness.report(key, Event::Failed(Failure::Broken));
    assert_eq!(next(step), Next::Refused(Outcome::Unknown));
}

#[test]
fn a_lookup_runs_on_no_more_upstreams_than_its_route_allows() {
    let mut harness = Harness::new(fleet());
    let (key, _) = harness.start_request("/lookup/1");
    let step = harness.report(key, Event::ResponseStarted { status: 500 });
    assert_eq!(next(step), Next::SentAgain);
    let step = harness.report(key, Event::ResponseStarted { status: 500 });
    assert_eq!(next(step), Next::Relayed);
}

#[test]
fn a_leaving_upstream_gets_no_calls() {
    let mut harness = Harness::new(fleet());
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
    let mut harness = Harness::new(fleet());
    let (key, step) = harness.start_request("/lookup/1");
    assert!(matches!(step, Step::Call { remaining_time, .. } if remaining_time == ms(14_000)));
    let step = harness.report_after(ms(200), key, Event::Failed(Failure::NotRun));
    assert!(matches!(step, Step::Call { remaining_time, .. } if remaining_time == ms(13_800)));
}
