//! Responses whose upstream is silent for a while and then goes on.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboodoor::router::Cleanup;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::PoolRole;
use compact_str::CompactString;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::upstream;

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
        harness.router.finish(harness.now, key);
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
    harness.router.end_paused_run(harness.now, key);
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
        harness.router.finish(harness.now, key);
        harness.now += ms(10);
    }
}

/// Reports a pause of the stream and that another engine is ready to decode it.
fn replace_paused(harness: &mut Harness, key: RequestKey) -> Step {
    harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    harness.report(key, reserved());
    let step = harness.report(key, Event::Prefilled { handle: "next".into() });
    assert!(matches!(step, Step::Decode { .. }), "{step:?}");
    step
}

#[test]
fn a_replacement_that_rejects_its_decode_does_not_abort_a_paused_stream() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    replace_paused(&mut harness, key);
    // The handle was gone, the hold had expired, or the engine restarted.
    let step = reject_after(&mut harness, key, Event::Failed(Failure::NotRun));
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
}

#[test]
fn a_replacement_whose_decode_is_not_sent_does_not_abort_a_paused_stream() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    replace_paused(&mut harness, key);
    let step = reject_after(&mut harness, key, Event::Failed(Failure::NotSent));
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
}

#[test]
fn the_paused_engine_is_not_its_own_replacement() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    let paused = upstream_id(&harness, key);
    let mut step = harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    for _ in 0..10 {
        step = match step {
            Step::Reserve { target, .. } => {
                assert_ne!(target.id, paused);
                harness.report(key, Event::ReservationRejected)
            }
            Step::Wait { until } => {
                let pause = until.saturating_sub(harness.now);
                harness.report_after(pause, key, Event::WaitEnded)
            }
            Step::Relay { idle_timeout } => {
                let pause = idle_timeout.expect("the stream may have another run");
                let event = Event::ResponsePaused { last_event: Some(5) };
                harness.report_after(pause, key, event)
            }
            other => panic!("{other:?}"),
        };
    }
}

#[test]
fn a_stream_whose_paused_run_is_lost_searches_as_long_as_an_interrupted_one() {
    let search_time = |lost_while_paused: bool| {
        let mut harness = Harness::new(default_upstreams());
        let key = start_stream(&mut harness);
        let started_at = harness.now;
        let event = if lost_while_paused {
            harness.report(key, Event::ResponsePaused { last_event: Some(5) });
            harness.router.end_paused_run(harness.now, key);
            Event::ReservationRejected
        } else {
            Event::ResponseInterrupted { last_event: Some(5) }
        };
        assert_eq!(reject_after(&mut harness, key, event), Step::Abort);
        harness.now - started_at
    };
    let (paused, interrupted) = (search_time(true), search_time(false));
    assert!(paused + ms(100) >= interrupted, "{paused:?} {interrupted:?}");
}

#[test]
fn a_stream_whose_paused_run_is_lost_asks_for_capacity_again() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    let mut step = harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    harness.router.end_paused_run(harness.now, key);
    while matches!(step, Step::Reserve { .. }) {
        step = harness.report(key, Event::ReservationRejected);
    }
    assert!(matches!(step, Step::Wait { until } if until <= harness.now + ms(100)), "{step:?}");
    let step = harness.report_after(ms(110), key, Event::WaitEnded);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn a_slow_stream_does_not_use_up_the_retry_budget_of_the_others() {
    let mut harness = Harness::new(default_upstreams());
    let slow = start_stream(&mut harness);
    let other = start_stream(&mut harness);
    for _ in 0..8 {
        let step =
            harness.report_after(ms(600), slow, Event::ResponsePaused { last_event: Some(5) });
        if matches!(step, Step::Reserve { .. }) {
            harness.report(slow, reserved());
            harness.report_after(ms(50), slow, Event::ResponseResumed);
        }
    }
    let step = harness.report(other, Event::ResponseInterrupted { last_event: Some(5) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn the_gap_of_a_replaced_stream_is_no_stall_of_its_engine() {
    let mut harness = Harness::new(default_upstreams());
    let key = start_stream(&mut harness);
    harness.router.record_event(harness.now, key);
    harness.now += ms(600);
    replace_paused(&mut harness, key);
    harness.report(key, Event::ResponseStarted { status: 200 });
    // After Event::ResponseInterrupted this is None.
    assert_eq!(harness.router.record_event(harness.now, key), None);
}

#[test]
fn many_silent_streams_do_not_enlarge_the_memory_of_later_requests() {
    let mut harness = Harness::new(default_upstreams());
    let tokens = |step: &Step| match step {
        Step::Reserve { tokens, .. } => *tokens,
        other => panic!("{other:?}"),
    };
    let (first, step) = harness.start_request("/resumable/1");
    let before = tokens(&step);
    harness.router.finish(harness.now, first);
    let streams: Vec<RequestKey> = (0..15).map(|_| start_stream(&mut harness)).collect();
    for &key in &streams {
        harness.router.record_event(harness.now, key);
    }
    harness.now += ms(600);
    for &key in &streams {
        harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    }
    harness.now += ms(600);
    for &key in &streams {
        harness.report(key, Event::ResponseResumed);
        harness.router.record_event(harness.now, key);
        harness.router.finish(harness.now, key);
    }
    let (_, step) = harness.start_request("/resumable/1");
    assert_eq!(tokens(&step), before);
}

/// One of two streams of an engine pauses while the other goes on: it was preempted.
#[test]
fn a_stream_that_pauses_alone_enlarges_the_memory_of_later_requests() {
    let mut harness = Harness::new(default_upstreams());
    let streams: Vec<RequestKey> = (0..4).map(|_| start_stream(&mut harness)).collect();
    for _ in 0..40 {
        harness.now += ms(50);
        for &key in &streams[1..] {
            assert_eq!(harness.router.record_event(harness.now, key), None);
        }
    }
    assert!(harness.router.record_event(harness.now, streams[0]).is_none());
    for _ in 0..40 {
        harness.now += ms(50);
        for &key in &streams[1..] {
            harness.router.record_event(harness.now, key);
        }
    }
    assert!(harness.router.record_event(harness.now, streams[0]).is_some());
}

#[test]
fn new_requests_are_served_while_paused_streams_search() {
    let mut upstreams = default_upstreams();
    upstreams.push(upstream("d3", ENGINES, PoolRole::Decode));
    for listed in &mut upstreams {
        if listed.id == "d3" {
            listed.version = "v2".into();
        }
    }
    let mut harness = Harness::new(upstreams);
    // Streams of v1; its engines are full, the one of v2 has room.
    let streams: Vec<RequestKey> = (0..8)
        .filter_map(|_| {
            let key = start_stream(&mut harness);
            harness.router.record_event(harness.now, key);
            if upstream_id(&harness, key) == "d3" {
                harness.router.finish(harness.now, key);
                return None;
            }
            Some(key)
        })
        .collect();
    for &key in &streams {
        harness.report(key, Event::ResponsePaused { last_event: Some(5) });
    }
    let (_, step) = harness.start_request("/stream/1");
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn no_more_reservations_are_made_than_the_budget_can_pay() {
    let mut harness = Harness::new(default_upstreams());
    let streams: Vec<RequestKey> = (0..60).map(|_| start_stream(&mut harness)).collect();
    let steps: Vec<Step> = streams
        .iter()
        .map(|&key| harness.report(key, Event::ResponsePaused { last_event: Some(5) }))
        .collect();
    let mut made_in_vain = 0;
    for (key, step) in streams.into_iter().zip(steps) {
        let step = match step {
            Step::Wait { .. } => harness.report(key, Event::WaitEnded),
            step => step,
        };
        if matches!(step, Step::Reserve { .. }) {
            let step = harness.report(key, reserved());
            made_in_vain += u32::from(matches!(step, Step::Relay { .. }));
        }
    }
    assert_eq!(made_in_vain, 0);
}

/// Streams of one version are silent for 10 s and their engines full; the engine of another
/// version serves every new request at once. Returns how many of 100 new ones are refused.
fn refused_beside_silent_streams(streams: usize) -> u32 {
    let upstreams = default_upstreams();
    let mut other = upstream("d3", ENGINES, PoolRole::Decode);
    other.version = "v2".into();
    let mut harness = Harness::new(upstreams);
    let silent: Vec<RequestKey> = (0..streams).map(|_| start_stream(&mut harness)).collect();
    for &key in &silent {
        harness.router.record_event(harness.now, key);
    }
    harness.list_upstream(other);
    let start = harness.now;
    let mut due: BTreeMap<(Duration, u64), (RequestKey, Event)> = BTreeMap::new();
    let mut number = 0;
    for (index, &key) in silent.iter().enumerate() {
        number += 1;
        let at = start + ms(600 + 150 * index as u64);
        due.insert((at, number), (key, Event::ResponsePaused { last_event: Some(5) }));
    }
    let mut arrivals: Vec<Duration> = (0..100).map(|i| start + ms(1_000 + 90 * i)).collect();
    arrivals.reverse();
    let mut refused = 0;
    loop {
        let next_due = due.keys().next().copied();
        let arrival = arrivals.last().copied();
        let (key, step) = match (next_due, arrival) {
            (_, Some(at)) if next_due.is_none_or(|(due_at, _)| at <= due_at) => {
                arrivals.pop();
                harness.now = at;
                harness.start_request("/stream/1")
            }
            (Some(first), _) if first.0 < start + ms(10_000) => {
                let (key, event) = due.remove(&first).expect("it is due");
                harness.now = first.0;
                if harness.router.request(key).is_none() {
                    continue;
                }
                (key, harness.router.advance(harness.now, key, event))
            }
            _ => return refused,
        };
        let (pause, event) = match step {
            Step::Reserve { target, .. } if target.id == "d3" => {
                harness.router.advance(harness.now, key, reserved());
                harness.router.finish(harness.now, key);
                (None, Event::Started)
            }
            Step::Reserve { .. } => (Some(harness.now + ms(3)), Event::ReservationRejected),
            Step::Wait { until } => (Some(until), Event::WaitEnded),
            Step::Relay { idle_timeout } => (
                idle_timeout.map(|timeout| harness.now + timeout),
                Event::ResponsePaused { last_event: Some(5) },
            ),
            Step::Refuse(_) => {
                refused += 1;
                harness.router.finish(harness.now, key);
                (None, Event::Started)
            }
            other => panic!("{other:?}"),
        };
        number += 1;
        if let Some(at) = pause {
            due.insert((at, number), (key, event));
        }
        for runnable in harness.router.take_runnable() {
            due.retain(|_, (waiting, _)| *waiting != runnable);
            number += 1;
            due.insert((harness.now, number), (runnable, Event::WaitEnded));
        }
    }
}

#[test]
fn silent_streams_do_not_starve_new_requests() {
    assert_eq!(refused_beside_silent_streams(0), 0);
    let refused: Vec<u32> = [1, 2, 4, 8].map(refused_beside_silent_streams).to_vec();
    assert_eq!(refused, [0, 0, 0, 0]);
}
