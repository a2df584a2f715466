//! Prefills that are given up as their engine is silent, and what follows if the engine that gets
//! the prompt next fails: the stream goes on, though the result of the first one is lost.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::BUDGET_SHARE;
use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::harness::upstream;

/// How long callers wait for the first event: four times the latency target.
const CALLER_PATIENCE: Duration = Duration::from_millis(3_600);

/// Starts a stream with a reservation. Returns its key and the step of its first prefill.
fn start_prefill(harness: &mut Harness) -> (RequestKey, Step) {
    let (key, _) = harness.start_request("/stream/1");
    (key, harness.report(key, reserved()))
}

/// Lets the prefill be silent for its timeout, and returns what follows; `None` if the entry waits
/// on.
fn stay_silent(harness: &mut Harness, key: RequestKey, step: &Step) -> Option<Step> {
    let Step::Prefill { timeout, .. } = step else { panic!("{step:?}") };
    harness.now += *timeout;
    let abandoned = harness.router.abandon_prefill(harness.now, key);
    abandoned.then(|| harness.report(key, Event::Failed(Failure::Silent)))
}

/// True if the stream is decoded, or gets a new reservation for that as the first one has lapsed.
fn goes_on(step: &Step) -> bool {
    matches!(step, Step::Prefill { .. } | Step::Reserve { .. } | Step::Decode { .. })
}

macro_rules! replacements_fail {
    ($($name:ident: $failure:ident after $delay:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut harness = Harness::new(default_upstreams());
            let (key, first) = start_prefill(&mut harness);
            let second = stay_silent(&mut harness, key, &first).expect("the prefill is given up");
            assert_ne!(target(&second), target(&first));
            let step = harness.report_after($delay, key, Event::Failed(Failure::$failure));
            assert!(goes_on(&step), "{step:?}");
        }
    )*};
}

replacements_fail! {
    a_stream_goes_on_after_a_second_prefill_that_is_rejected: NotRun after ms(10);
    a_stream_goes_on_after_a_second_prefill_that_is_rejected_late: NotRun after ms(1_500);
    a_stream_goes_on_after_a_second_prefill_that_breaks: Broken after ms(10);
    a_stream_goes_on_after_a_second_prefill_that_was_not_sent: NotSent after ms(10);
}

/// Gives up prefills at silent engines, until the entry waits on or another step follows.
/// Returns the number of prefills, and that step.
fn give_up_prefills(harness: &mut Harness) -> (usize, Option<Step>) {
    let (key, mut step) = start_prefill(harness);
    let started_at = harness.now;
    let mut prefills = 0;
    while let Step::Prefill { .. } = &step {
        prefills += 1;
        let Some(next) = stay_silent(harness, key, &step) else { return (prefills, None) };
        step = next;
    }
    assert!(harness.now < started_at + CALLER_PATIENCE);
    (prefills, Some(step))
}

#[test]
fn a_stream_goes_on_though_two_prefills_are_silent() {
    let (prefills, step) = give_up_prefills(&mut Harness::new(default_upstreams()));
    assert!(step.as_ref().is_some_and(goes_on), "after {prefills}: {step:?}");
}

/// The first engine was sound and its result is lost: the decode engine must prefill the prompt
/// itself, not wait for an engine that is silent for good.
#[test]
fn a_stream_goes_on_though_three_prefills_are_silent() {
    let mut upstreams = default_upstreams();
    upstreams.push(upstream("p3", ENGINES, PoolRole::Prefill));
    let (prefills, step) = give_up_prefills(&mut Harness::new(upstreams));
    assert!(step.as_ref().is_some_and(goes_on), "after {prefills}: {step:?}");
}

/// The engines that are silent may have rejected their prefills; the decode is the run itself.
#[test]
fn three_silent_prefills_cost_three_sends_and_the_decode_costs_none() {
    let mut harness = three_prefill_engines(3.0);
    let (key, step) = give_up_all_prefills(&mut harness);
    assert!(matches!(step, Some(Step::Reserve { .. })), "{step:?}");
    let step = harness.report(key, reserved());
    assert!(matches!(step, Step::Decode { source: None, .. }), "{step:?}");
    harness.router.finish(harness.now, key);
    let notices = harness.router.take_budget_notices();
    let balance = notices.last().expect("the budget was asked").balance;
    assert_eq!((balance.spent, balance.held), (3, 0));
}

/// Without a send left, a prefill that is given up could not be paid for.
#[test]
fn a_silent_prefill_is_waited_for_without_a_send_in_the_retry_budget() {
    let mut harness = three_prefill_engines(2.0);
    let (_, step) = give_up_all_prefills(&mut harness);
    assert_eq!(step, None);
}

/// Returns a router with three prefill engines, whose budgets have this number of sends.
fn three_prefill_engines(sends: f64) -> Harness {
    let mut upstreams = default_upstreams();
    upstreams.push(upstream("p3", ENGINES, PoolRole::Prefill));
    let budget = BudgetLimits {
        ratio: 0.0,
        allowance: sends / BUDGET_SHARE,
        share_settling: Duration::ZERO,
        ..BudgetLimits::default()
    };
    Harness::with_budget(upstreams, 0, budget)
}

/// Gives up prefills at silent engines. Returns the key of their stream, and the step that
/// follows; `None` if the entry waits on.
fn give_up_all_prefills(harness: &mut Harness) -> (RequestKey, Option<Step>) {
    let (key, mut step) = start_prefill(harness);
    while let Step::Prefill { .. } = &step {
        let Some(next) = stay_silent(harness, key, &step) else { return (key, None) };
        step = next;
    }
    (key, Some(step))
}
