//! Silent streams, and what their engines answer when they are asked for a sign of life.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::flow::Target;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::liveness::EngineAnswer;
use bamboodoor::router::liveness::SilenceStep;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstream_notice::UpstreamNotice;

use crate::harness::Harness;
use crate::harness::default_configuration;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;

/// Silence of an engine that sound ones keep below.
const SOUND_SILENCE: Duration = ms(2_000);
/// Callers have left a silent stream by then.
const PATIENCE: Duration = ms(3_600);

/// Starts a resumable stream, which receives one event. Returns its key and its engine.
fn start_stream(harness: &mut Harness) -> (RequestKey, Target) {
    let (key, _) = harness.start_decode("/resumable/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    harness.router.record_event(harness.now, key);
    let request = harness.router.request(key).expect("the request is in flight");
    (key, request.upstream().expect("it is at an engine").clone())
}

/// Lets a stream be silent for `duration`. Returns the number of calls to its engine and, if it
/// counts as lost, after what time.
fn be_silent(
    harness: &mut Harness,
    key: RequestKey,
    duration: Duration,
    answer: EngineAnswer,
) -> (usize, Option<Duration>) {
    let started_at = harness.now;
    let mut calls = 0;
    while harness.now < started_at + duration {
        match harness.router.judge_silence(harness.now, key) {
            SilenceStep::Wait(wait) => harness.now += wait.max(ms(1)),
            SilenceStep::Ask(target) => {
                calls += 1;
                harness.now += if answer == EngineAnswer::Silent { ms(500) } else { ms(5) };
                harness.router.record_engine_answer(harness.now, key, &target, answer);
            }
            SilenceStep::EngineLost => return (calls, Some(harness.now - started_at)),
        }
    }
    (calls, None)
}

#[test]
fn an_engine_that_answers_is_not_lost_however_long_its_stream_is_silent() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = start_stream(&mut harness);
    let (calls, lost_after) = be_silent(&mut harness, key, ms(10_000), EngineAnswer::Alive);
    assert_eq!(lost_after, None);
    assert!((10..=20).contains(&calls), "{calls}");
}

#[test]
fn an_engine_without_a_sign_of_life_is_lost_before_its_callers_leave() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = start_stream(&mut harness);
    let (_, lost_after) = be_silent(&mut harness, key, PATIENCE, EngineAnswer::Silent);
    let lost_after = lost_after.expect("the engine is lost");
    assert!(lost_after > SOUND_SILENCE && lost_after < PATIENCE, "{lost_after:?}");
}

/// Cases: latency target and longest interval of the route in milliseconds, and the shortest and
/// the longest silence after which an engine is lost.
macro_rules! silences_follow_from_the_patience_of_callers {
    ($($name:ident: $target:literal, $interval:literal, $shortest:literal, $longest:literal;)*) =>
    {$(
        /// Guards against an engine that is left when its callers have left, or long before.
        #[test]
        fn $name() {
            let mut harness = Harness::new(default_upstreams());
            let mut configuration = default_configuration();
            configuration.version += 1;
            for route in &mut configuration.routes {
                route.latency_target = ms($target);
                route.max_event_interval = ms($interval);
            }
            assert!(harness.router.configure(configuration));
            let (key, _) = start_stream(&mut harness);
            let (_, lost_after) = be_silent(&mut harness, key, ms(12_000), EngineAnswer::Silent);
            let lost_after = lost_after.expect("the engine is lost");
            let expected = ms($shortest)..=ms($longest);
            assert!(expected.contains(&lost_after), "{lost_after:?}");
        }
    )*};
}

silences_follow_from_the_patience_of_callers! {
    an_engine_is_lost_before_impatient_callers_leave: 300, 150, 1_500, 1_800;
    an_engine_is_lost_before_callers_of_the_usual_patience_leave: 900, 300, 2_400, 2_600;
    an_engine_is_lost_later_if_the_latency_target_is_long: 2_000, 300, 5_300, 6_000;
    an_engine_is_lost_later_if_the_gaps_are_long: 300, 1_000, 5_300, 6_000;
    an_engine_is_lost_before_the_deadline_if_that_is_sooner: 9_000, 300, 9_000, 10_000;
}

#[test]
fn an_engine_that_answered_once_is_lost_as_late_as_any() {
    let mut harness = Harness::new(default_upstreams());
    let (key, engine) = start_stream(&mut harness);
    be_silent(&mut harness, key, ms(1_000), EngineAnswer::Alive);
    harness.router.record_engine_answer(harness.now, key, &engine, EngineAnswer::Alive);
    let (_, lost_after) = be_silent(&mut harness, key, SOUND_SILENCE, EngineAnswer::Silent);
    assert_eq!(lost_after, None);
}

#[test]
fn events_of_another_stream_are_signs_of_life() {
    let mut harness = Harness::new(default_upstreams());
    let (silent, engine) = start_stream(&mut harness);
    let other = loop {
        let (key, target) = start_stream(&mut harness);
        if target == engine {
            break key;
        }
    };
    for _ in 0..50 {
        harness.now += ms(100);
        harness.router.record_event(harness.now, other);
        let step = harness.router.judge_silence(harness.now, silent);
        assert!(matches!(step, SilenceStep::Wait(_)), "{step:?}");
    }
}

#[test]
fn an_entry_that_stood_still_asks_before_it_judges() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = start_stream(&mut harness);
    harness.now += ms(700);
    assert!(matches!(harness.router.judge_silence(harness.now, key), SilenceStep::Ask(_)));
    // The answer lies in the socket.
    harness.now += ms(10_000);
    assert!(matches!(harness.router.judge_silence(harness.now, key), SilenceStep::Ask(_)));
}

#[test]
fn streams_of_an_engine_share_its_answers() {
    let mut harness = Harness::new(default_upstreams());
    let mut streams: Vec<_> = (0..20).map(|_| start_stream(&mut harness)).collect();
    let engine = streams[0].1.clone();
    streams.retain(|(_, target)| *target == engine);
    harness.now += ms(700);
    let asked = streams
        .iter()
        .filter(|(key, _)| {
            matches!(harness.router.judge_silence(harness.now, *key), SilenceStep::Ask(_))
        })
        .count();
    assert!(streams.len() > 1);
    assert_eq!(asked, 1);
    harness.router.record_engine_answer(harness.now, streams[0].0, &engine, EngineAnswer::Alive);
    for (key, _) in streams {
        let step = harness.router.judge_silence(harness.now, key);
        assert!(matches!(step, SilenceStep::Wait(_)), "{step:?}");
    }
}

#[test]
fn an_engine_that_turns_this_entry_away_is_neither_asked_nor_lost() {
    let mut harness = Harness::new(default_upstreams());
    let (key, engine) = start_stream(&mut harness);
    let notice = UpstreamNotice {
        upstream: engine.key,
        sent_at: harness.now,
        rate_limit: None,
        leaving: false,
        retry_after: Some(ms(5_000)),
    };
    harness.router.record_notice(harness.now, &notice);
    assert_eq!(be_silent(&mut harness, key, ms(4_000), EngineAnswer::Silent), (0, None));
}

#[test]
fn an_engine_that_is_no_longer_listed_is_asked_and_lost_like_any() {
    let mut harness = Harness::new(default_upstreams());
    let (key, engine) = start_stream(&mut harness);
    harness.apply_record(&engine.id, InstanceState::Removed);
    be_silent(&mut harness, key, ms(4_000), EngineAnswer::Alive);
    assert!(harness.router.upstreams().get(engine.key).is_none());
    harness.router.record_engine_answer(harness.now, key, &engine, EngineAnswer::Alive);
    let (calls, lost_after) = be_silent(&mut harness, key, PATIENCE, EngineAnswer::Silent);
    assert!(calls > 1);
    assert!(lost_after.is_some_and(|after| after > SOUND_SILENCE), "{lost_after:?}");
}

macro_rules! calls_that_prove_no_silence {
    ($($name:ident: $answer:ident;)*) => {$(
        /// Guards against an engine that is taken for lost though nothing shows that it is silent.
        #[test]
        fn $name() {
            let mut harness = Harness::new(default_upstreams());
            let (key, _) = start_stream(&mut harness);
            let (_, lost_after) = be_silent(&mut harness, key, ms(10_000), EngineAnswer::$answer);
            assert_eq!(lost_after, None);
        }
    )*};
}

calls_that_prove_no_silence! {
    an_engine_whose_host_resets_connections_is_not_lost: Alive;
    an_engine_that_could_not_be_asked_is_not_lost: NotAsked;
}

/// Calls by which a silent engine is asked at least before it is lost.
const MIN_CALLS: usize = 2;

/// Has an engine be known as leaving.
type Leave = fn(&mut Harness, &Target);

macro_rules! leaving_engines_that_refuse_connections {
    ($($name:ident: $leave:expr;)*) => {$(
        /// Guards against a stream that is given up though its engine finishes it, as the engine
        /// listens no more, and against one that waits for a leaving engine which hangs.
        #[test]
        fn $name() {
            let mut harness = Harness::new(default_upstreams());
            let (key, engine) = start_stream(&mut harness);
            let leave: Leave = $leave;
            leave(&mut harness, &engine);
            let (calls, lost_after) =
                be_silent(&mut harness, key, ms(7_000), EngineAnswer::Refused);
            assert!(calls >= MIN_CALLS, "{calls}");
            let lost_after = lost_after.expect("the engine is lost");
            assert!(lost_after > SOUND_SILENCE && lost_after < PATIENCE, "{lost_after:?}");
        }
    )*};
}

leaving_engines_that_refuse_connections! {
    an_engine_whose_record_says_that_it_leaves_may_refuse_connections:
        |harness, engine| mark_draining(harness, &engine.id);
    an_engine_that_says_that_it_leaves_may_refuse_connections: |harness, engine| {
        let notice = UpstreamNotice {
            upstream: engine.key,
            sent_at: harness.now,
            rate_limit: None,
            leaving: true,
            retry_after: None,
        };
        harness.router.record_notice(harness.now, &notice);
    };
    an_engine_whose_record_is_removed_may_refuse_connections:
        |harness, engine| harness.apply_record(&engine.id, InstanceState::Removed);
    an_engine_that_has_said_that_it_leaves_and_is_replaced_may_refuse_connections:
        |harness, engine| {
            mark_draining(harness, &engine.id);
            replace(harness, &engine.id);
        };
}

/// Has the record of an upstream say that it is leaving.
fn mark_draining(harness: &mut Harness, id: &str) {
    let mut listed = harness.router.upstreams().get_by_id(id).expect("is listed").listed.clone();
    listed.leaving = true;
    harness.apply_record(id, InstanceState::Present(listed));
}

/// Lists another incarnation of an upstream, at another address.
fn replace(harness: &mut Harness, id: &str) {
    let mut listed = harness.router.upstreams().get_by_id(id).expect("is listed").listed.clone();
    listed.leaving = false;
    listed.started_ms += 1;
    listed.address.set_port(listed.address.port() + 1_000);
    harness.apply_record(id, InstanceState::Present(listed));
}

macro_rules! engines_that_refuse_connections_without_a_word {
    ($($name:ident: $change:expr;)*) => {$(
        /// A process that stops in order may not say so; one that is gone leaves its connections
        /// without an end at times.
        #[test]
        fn $name() {
            let mut harness = Harness::new(default_upstreams());
            let (key, engine) = start_stream(&mut harness);
            let change: Leave = $change;
            change(&mut harness, &engine);
            let (_, lost_after) = be_silent(&mut harness, key, PATIENCE, EngineAnswer::Refused);
            let lost_after = lost_after.expect("the engine is lost");
            assert!(lost_after > SOUND_SILENCE && lost_after < PATIENCE, "{lost_after:?}");
        }
    )*};
}

engines_that_refuse_connections_without_a_word! {
    an_engine_that_refuses_connections_is_lost_as_late_as_a_silent_one: |_, _| {};
    an_engine_that_is_replaced_without_a_word_is_lost_as_late_as_a_silent_one:
        |harness, engine| replace(harness, &engine.id);
}

#[test]
fn an_engine_that_is_gone_is_lost_with_the_first_call() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = start_stream(&mut harness);
    let (calls, lost_after) = be_silent(&mut harness, key, PATIENCE, EngineAnswer::Gone);
    assert_eq!(calls, 1);
    assert!(lost_after.is_some_and(|after| after < ms(1_000)), "{lost_after:?}");
}

/// Guards against a verdict that is used again when the engine may run again.
#[test]
fn a_lost_engine_is_asked_again_after_a_search_in_vain() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = start_stream(&mut harness);
    let (_, lost_after) = be_silent(&mut harness, key, PATIENCE, EngineAnswer::Silent);
    assert!(lost_after.is_some());
    let mut step = harness.report(key, Event::ResponsePaused { last_event: Some(1) });
    while matches!(step, Step::Reserve { .. }) {
        step = harness.report(key, Event::ReservationRejected);
    }
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
    harness.now += ms(200);
    let (calls, lost_after) = be_silent(&mut harness, key, ms(2_000), EngineAnswer::Alive);
    assert_eq!(lost_after, None, "after {calls} calls");
}

/// Guards against a run that is given up for a replacement though its engine has answered since.
#[test]
fn a_lost_engine_that_answers_before_the_decode_keeps_its_stream() {
    let mut harness = Harness::new(default_upstreams());
    let (key, engine) = start_stream(&mut harness);
    be_silent(&mut harness, key, PATIENCE, EngineAnswer::Silent);
    harness.report(key, Event::ResponsePaused { last_event: Some(1) });
    harness.report(key, reserved());
    harness.now += ms(50);
    harness.router.record_engine_answer(harness.now, key, &engine, EngineAnswer::Alive);
    let step = harness.report(key, Event::Prefilled { handle: "next".into() });
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
}

/// Guards against a search that ends with the replacement that is about to begin, and leaves it
/// counted.
#[test]
fn a_stream_that_goes_on_during_the_decode_of_its_replacement_stays_at_its_engine() {
    let mut harness = Harness::new(default_upstreams());
    let (key, engine) = start_stream(&mut harness);
    harness.report(key, Event::ResponsePaused { last_event: Some(1) });
    harness.report(key, reserved());
    let step = harness.report(key, Event::Prefilled { handle: "next".into() });
    assert!(matches!(step, Step::Decode { .. }), "{step:?}");
    let step = harness.report(key, Event::ResponseResumed);
    assert_eq!(step, Step::Relay { idle_timeout: None });
    let request = harness.router.request(key).expect("the request is in flight");
    assert_eq!(request.upstream(), Some(&engine));
    let open = |id: &str| {
        harness.router.upstreams().get_by_id(id).map_or(0, |upstream| upstream.open_requests)
    };
    assert_eq!(open("d1") + open("d2"), 1);
}

/// Guards against an upstream that has crashed and is not found by the late check, as its record
/// expired around an outage of the store and its failure removed it.
#[test]
fn a_retained_upstream_that_interrupts_a_call_has_not_said_that_it_leaves() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/lookup/1");
    let upstream = target(&step);
    let now = harness.now;
    harness.router.instance_list().0.mark_unavailable();
    harness.router.instance_list().0.mark_available(now);
    harness.apply_record(&upstream.id, InstanceState::Removed);
    assert!(!harness.router.is_upstream_leaving(&upstream));
    harness.report(key, Event::Failed(Failure::Broken));
    assert_eq!(harness.router.take_unchecked_runs().len(), 1);
    assert!(!harness.router.is_upstream_leaving(&upstream));
}

/// Guards against an engine that is taken for leaving, as its record cannot be read.
#[test]
fn an_engine_whose_record_cannot_be_read_has_not_said_that_it_leaves() {
    let mut harness = Harness::new(default_upstreams());
    let (key, engine) = start_stream(&mut harness);
    harness.apply_record(&engine.id, InstanceState::Unreadable);
    let (_, lost_after) = be_silent(&mut harness, key, PATIENCE, EngineAnswer::Refused);
    assert!(lost_after.is_some());
}
