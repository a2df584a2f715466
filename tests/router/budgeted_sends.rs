//! What each send of a request costs in the retry budget, and what follows when none is left.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::retry_budgets::BudgetDecision;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::BUDGET_SHARE;
use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::harness::upstream;

/// Returns a router whose budgets have this number of sends and no more for further requests.
fn router_with_sends(sends: f64) -> Harness {
    let allowance = sends / BUDGET_SHARE;
    let budget = BudgetLimits {
        ratio: 0.0,
        allowance,
        share_settling: Duration::ZERO,
        ..BudgetLimits::default()
    };
    Harness::with_budget(default_upstreams(), 0, budget)
}

/// Starts a model request up to its prefill.
fn start_prefill(harness: &mut Harness, path: &str) -> (RequestKey, Step) {
    let (key, step) = harness.start_request(path);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    let step = harness.report(key, reserved());
    (key, step)
}

/// Has the prefill engines fail one prefill each, so that neither gets one unpaid.
fn fail_both_prefill_engines(harness: &mut Harness) {
    for _ in 0..2 {
        let (key, step) = start_prefill(harness, "/stream/1");
        assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
        harness.report(key, Event::Failed(Failure::Broken));
        harness.router.finish(harness.now, key);
    }
}

fn decisions(harness: &mut Harness) -> Vec<BudgetDecision> {
    harness.router.take_budget_notices().into_iter().map(|notice| notice.decision).collect()
}

macro_rules! unpaid_prefills_that_fail {
    ($($name:ident: $failure:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut harness = router_with_sends(0.0);
            let (key, step) = start_prefill(&mut harness, "/stream/1");
            assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
            let step = harness.report(key, Event::Failed($failure));
            let Step::Refuse(refusal) = step else { panic!("{step:?}") };
            assert_eq!(refusal.reason, RefusalReason::RetryBudget);
            assert_eq!(refusal.outcome, Outcome::NotRun);
            assert!(refusal.retry_after.is_some());
        }
    )*};
}

unpaid_prefills_that_fail! {
    a_request_whose_unpaid_prefill_is_reset_is_refused_as_not_run: Failure::Broken;
    a_request_whose_unpaid_prefill_is_rejected_is_refused_as_not_run: Failure::NotRun;
    a_request_whose_unpaid_prefill_is_misdirected_is_refused_as_not_run: Failure::OtherInstance;
    a_request_whose_unpaid_prefill_crashes_the_engine_is_refused_as_not_run: Failure::Crashed;
}

#[test]
fn a_prefill_that_was_not_sent_costs_nothing() {
    let mut harness = router_with_sends(0.0);
    let (key, _) = start_prefill(&mut harness, "/stream/1");
    let step = harness.report(key, Event::Failed(Failure::NotSent));
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
}

#[test]
fn without_a_send_left_a_prefill_goes_to_an_engine_that_has_not_failed_one() {
    let mut harness = router_with_sends(0.0);
    let (key, step) = start_prefill(&mut harness, "/stream/1");
    let failed = target(&step);
    harness.report(key, Event::Failed(Failure::Broken));
    harness.router.finish(harness.now, key);
    for _ in 0..10 {
        let (key, step) = start_prefill(&mut harness, "/stream/1");
        assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
        assert_ne!(target(&step).id, failed.id);
        harness.router.finish(harness.now, key);
    }
}

#[test]
fn without_a_send_left_the_decode_engine_prefills_while_all_prefill_engines_fail() {
    let mut harness = router_with_sends(0.0);
    fail_both_prefill_engines(&mut harness);
    let (key, step) = start_prefill(&mut harness, "/stream/1");
    assert!(matches!(step, Step::Decode { source: None, .. }), "{step:?}");
    harness.router.finish(harness.now, key);
    harness.now += BudgetLimits::default().window;
    let (_, step) = start_prefill(&mut harness, "/stream/1");
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
}

#[test]
fn an_accepted_prefill_ends_the_doubt_of_its_engine() {
    let mut harness = router_with_sends(1.0);
    let (key, step) = start_prefill(&mut harness, "/stream/1");
    let failed = target(&step).id;
    let mut step = harness.report(key, Event::Failed(Failure::Broken));
    harness.now += ms(11_000);
    while !matches!(&step, Step::Prefill { target, .. } if target.id == failed) {
        harness.router.finish(harness.now, key);
        (_, step) = start_prefill(&mut harness, "/stream/1");
    }
}

#[test]
fn accepted_prefills_leave_the_budget_as_it_was() {
    let mut harness = router_with_sends(2.0);
    for _ in 0..10 {
        let (key, step) = harness.start_decode("/stream/1");
        assert!(matches!(step, Step::Decode { .. }), "{step:?}");
        harness.router.finish(harness.now, key);
    }
    assert_eq!(decisions(&mut harness), []);
    let (key, _) = start_prefill(&mut harness, "/stream/1");
    let step = harness.report(key, Event::Failed(Failure::Broken));
    assert!(!matches!(step, Step::Refuse(_)), "{step:?}");
    assert_eq!(decisions(&mut harness), [BudgetDecision::PrefillFailed]);
}

#[test]
fn callers_that_leave_during_their_prefill_leave_the_budget_as_it_was() {
    let mut harness = router_with_sends(1.0);
    for _ in 0..10 {
        let (key, _) = start_prefill(&mut harness, "/stream/1");
        harness.router.finish(harness.now, key);
    }
    let (key, _) = harness.start_decode("/resumable/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    let step = harness.report(key, Event::ResponseInterrupted { last_event: Some(1) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

/// The stream has arrived at an engine, so a prefill that may be rejected is an extra send.
#[test]
fn a_caller_that_leaves_during_the_prefill_of_another_run_costs_a_send() {
    let mut harness = router_with_sends(3.0);
    // The first run had no prefill.
    for id in ["p1", "p2"] {
        let engine = upstream(id, ENGINES, PoolRole::Prefill);
        harness.list_upstream(ListedUpstream { leaving: true, ..engine });
    }
    let (key, step) = start_prefill(&mut harness, "/resumable/1");
    assert!(matches!(step, Step::Decode { source: None, .. }), "{step:?}");
    harness.report(key, Event::ResponseStarted { status: 200 });
    harness.list_upstream(upstream("p3", ENGINES, PoolRole::Prefill));
    harness.report(key, Event::ResponseInterrupted { last_event: Some(1) });
    let step = harness.report(key, reserved());
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
    decisions(&mut harness);
    harness.router.finish(harness.now, key);
    assert_eq!(decisions(&mut harness), [BudgetDecision::GivenBack, BudgetDecision::PrefillFailed]);
}

/// The first prefill that an engine accepts is free, another one is not.
#[test]
fn another_run_costs_a_prefill_and_a_decode() {
    let mut harness = router_with_sends(4.0);
    let (key, step) = interrupt_stream(&mut harness);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    harness.report(key, reserved());
    let step = harness.report(key, Event::Prefilled { handle: "again".into() });
    assert!(matches!(step, Step::Decode { .. }), "{step:?}");
    let notices = harness.router.take_budget_notices();
    let last = notices.last().expect("the decode is paid");
    assert_eq!((last.balance.spent, last.balance.held), (2, 0));
}

/// Has a stream break off after its first event. Returns the step that follows.
fn interrupt_stream(harness: &mut Harness) -> (RequestKey, Step) {
    let (key, step) = harness.start_decode("/resumable/1");
    assert!(matches!(step, Step::Decode { .. }), "{step:?}");
    harness.report(key, Event::ResponseStarted { status: 200 });
    let step = harness.report(key, Event::ResponseInterrupted { last_event: Some(1) });
    (key, step)
}

/// A search for a replacement gives back its own send, not that of another stream, which was
/// sent later.
#[test]
fn what_is_given_back_does_not_shorten_the_time_that_other_sends_count() {
    let mut harness = router_with_sends(2.0);
    let (paused, _) = harness.start_decode("/resumable/1");
    harness.report(paused, Event::ResponseStarted { status: 200 });
    harness.report(paused, Event::ResponsePaused { last_event: Some(1) });
    harness.now += ms(400);
    let (other, step) = interrupt_stream(&mut harness);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    let step = harness.report(other, reserved());
    assert!(matches!(step, Step::Decode { .. }), "{step:?}");
    harness.report(paused, Event::ResponseResumed);
    harness.now += ms(10_900);
    let (key, step) = interrupt_stream(&mut harness);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    harness.report(key, reserved());
    let (_, step) = interrupt_stream(&mut harness);
    assert_eq!(step, Step::Abort);
}
