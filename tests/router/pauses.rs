//! Responses whose upstream is silent for a while and then goes on.

use std::time::Duration;

use bamboodoor::router::Cleanup;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::request::RequestKey;
use compact_str::CompactString;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;

/// Longest time for which a test looks for a replacement.
const MAX_SEARCH: Duration = Duration::from_secs(10);

/// Starts a resumable stream whose response has started.
fn start_stream(harness: &mut Harness) -> RequestKey {
    let (key, step) = harness.start_decode("/resumable/1");
    assert!(matches!(step, Step::Decode { .. }), "{step:?}");
    harness.report(key, Event::ResponseStarted { status: 200 });
    key
}

fn upstream_id(harness: &Harness, key: RequestKey) -> CompactString {
    harness.router.request(key).expect("the request is in flight").upstream_id()
}

/// Number of requests that are counted as open at the upstreams.
fn open_requests(harness: &Harness) -> u32 {
    let upstreams = harness.router.upstreams();
    ["d1", "d2"].iter().filter_map(|id| upstreams.get_by_id(id)).map(|it| it.open_requests).sum()
}

/// Reports a pause of the stream and then, while the router looks for another engine, that
/// every engine rejects the reservation. Returns the first other step.
fn pause_without_capacity(harness: &mut Harness, key: RequestKey) -> Step {
    reject_after(harness, key, Event::ResponsePaused { last_event: Some(5) })
}

/// Reports an event, and that every engine rejects the reservations that follow. Returns the
/// first other step.
fn reject_after(harness: &mut Harness, key: RequestKey, event: Event) -> Step {
    let mut step = harness.report(key, event);
    let started_at = harness.now;
    while harness.now < started_at + MAX_SEARCH {
        step = match step {
            Step::Reserve { .. } => harness.report(key, Event::ReservationRejected),
            Step::Wait { until } => {
                let pause = until.saturating_sub(harness.now);
                harness.report_after(pause, key, Event::WaitEnded)
            }
            other => return other,
        };
    }
    panic!("the search for an engine does not end");
}

#[test]
fn a_paused_stream_is_not_aborted_while_no_engine_has_capacity() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    let step = pause_without_capacity(&mut harness, key);
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
}

#[test]
fn paused_streams_are_not_aborted_when_the_retry_budget_is_spent() {
    let mut harness = Harness::new(default_upstreams());
    let streams: Vec<RequestKey> = (0..60).map(|_| start_stream(&mut harness)).collect();
    for (index, key) in streams.into_iter().enumerate() {
        let mut step = harness.report(key, Event::ResponsePaused { last_event: Some(5) });
        if matches!(step, Step::Reserve { .. }) {
            step = harness.report(key, reserved());
        }
        assert!(!matches!(step, Step::Abort | Step::Refuse(_)), "{index}: {step:?}");
    }
}

#[test]
fn a_paused_stream_is_not_aborted_without_another_engine_of_its_version() {
    let mut upstreams = default_upstreams();
    for listed in &mut upstreams {
        if listed.id == "d2" {
            listed.version = "v2".into();
        }
    }
    let mut harness = Harness::new(upstreams);
    let mut key = start_stream(&mut harness);
    while harness.router.request(key).is_some_and(|request| request.upstream_id() != "d1") {
        harness.router.finish(key);
        key = start_stream(&mut harness);
    }
    harness.router.record_event(harness.now, key);
    let step = harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    assert!(!matches!(step, Step::Abort | Step::Refuse(_)), "{step:?}");
    let step = pause_without_capacity(&mut harness, key);
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
}

#[test]
fn a_plain_response_whose_body_pauses_is_not_aborted() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_request("/booking/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    let step = harness.report_after(ms(2_000), key, Event::ResponsePaused { last_event: None });
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
}

#[test]
fn a_stream_that_goes_on_during_the_search_stays_at_its_engine() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    let engine = upstream_id(&harness, key);
    harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    let step = harness.report(key, Event::ResponseResumed);
    assert_eq!(step, Step::Relay { idle_timeout: Some(ms(600)) });
    assert_eq!(upstream_id(&harness, key), engine);
}

#[test]
fn a_stream_that_goes_on_during_the_prefill_frees_the_replacement() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    let engine = upstream_id(&harness, key);
    harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    let step = harness.report(key, reserved());
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
    harness.router.take_cleanups();
    let step = harness.report(key, Event::ResponseResumed);
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
    assert_eq!(upstream_id(&harness, key), engine);
    let cleanups = harness.router.take_cleanups();
    assert!(matches!(cleanups[..], [Cleanup::ReleaseReservation(_)]), "{cleanups:?}");
    assert_eq!(open_requests(&harness), 1);
}

#[test]
fn a_stream_that_pauses_again_is_replaced() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    pause_without_capacity(&mut harness, key);
    let pause = Event::ResponsePaused { last_event: None };
    let step = harness.report_after(ms(600), key, pause);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    harness.report(key, reserved());
    match harness.report(key, Event::Prefilled { handle: "next".into() }) {
        Step::Decode { after_event, .. } => assert_eq!(after_event, Some(5)),
        other => panic!("unexpected step {other:?}"),
    }
}

#[test]
fn without_capacity_a_stream_whose_paused_run_was_lost_is_aborted() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    harness.router.record_lost_paused_run(key);
    let step = reject_after(&mut harness, key, Event::ReservationRejected);
    assert_eq!(step, Step::Abort);
}

#[test]
fn only_a_replacement_that_gets_a_reservation_takes_from_the_retry_budget() {
    let mut harness = Harness::new(default_upstreams());
    for _ in 0..100 {
        let key = start_stream(&mut harness);
        let step = harness.report(key, Event::ResponsePaused { last_event: Some(5) });
        assert!(!matches!(step, Step::Relay { .. }), "{step:?}");
        harness.report(key, Event::ResponseResumed);
        harness.router.finish(key);
        harness.now += ms(10);
    }
}
