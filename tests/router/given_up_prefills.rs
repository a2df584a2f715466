//! Prefills that are given up as their engine is silent, and what follows if the engine that gets
//! the prompt next fails: the stream goes on, though the result of the first one is lost.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::PoolRole;

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
