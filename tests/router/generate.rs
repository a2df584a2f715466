//! Model requests: order of the steps, and what each failure leads to.

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::Refusal;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::fleet::PoolRole;
use bamboodoor::router::flow::Failure;

use crate::scene::BUDGET_SHARE;
use crate::scene::ENGINES;
use crate::scene::Scene;
use crate::scene::fleet;
use crate::scene::ms;
use crate::scene::reserved;
use crate::scene::target;
use crate::scene::upstream;

fn refusal(step: Step) -> Refusal {
    match step {
        Step::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, found {other:?}"),
    }
}

#[test]
fn room_is_reserved_before_the_prefill() {
    let mut scene = Scene::new(fleet());
    let (key, step) = scene.begin("/stream/1");
    let decode = target(&step);
    assert!(matches!(step, Step::Reserve { tokens: 5_500, .. }), "{step:?}");
    let step = scene.then(key, reserved());
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
    let prefill = target(&step);
    match scene.then(key, Event::Prefilled { handle: "handle".into() }) {
        Step::Decode { target, source: Some(source), reservation, .. } => {
            assert_eq!(target, decode);
            assert_eq!(source.address, prefill.address);
            assert_eq!(reservation.as_deref(), Some("hold"));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn no_room_anywhere_is_refused_as_not_run_within_half_of_the_target() {
    let mut scene = Scene::new(fleet());
    let (key, mut step) = scene.begin("/stream/1");
    let start = scene.now;
    while scene.now < start + ms(2_000) {
        step = match step {
            Step::Reserve { .. } => scene.then(key, Event::ReservationRejected),
            Step::Wait { until } => {
                let pause = until.saturating_sub(scene.now).max(ms(1));
                scene.after(pause, key, Event::WaitEnded)
            }
            other => {
                let refusal = refusal(other);
                assert_eq!(refusal.outcome, Outcome::NotRun);
                assert!(refusal.retry_after.is_some());
                assert!(scene.now <= start + ms(460), "{:?}", scene.now - start);
                return;
            }
        };
    }
    panic!("still waits: {step:?}");
}

#[test]
fn a_refused_caller_is_asked_to_come_back_with_time_left() {
    let mut scene = Scene::new(fleet());
    let (key, mut step) = scene.begin("/stream/1");
    // Most of the time of the caller has passed.
    scene.now += ms(12_000);
    loop {
        step = match step {
            Step::Reserve { .. } => scene.then(key, Event::ReservationRejected),
            Step::Wait { until } => {
                scene.after(until.saturating_sub(scene.now), key, Event::WaitEnded)
            }
            Step::Refuse(refusal) => {
                let pause = refusal.retry_after.expect("may come back");
                assert!(pause <= ms(2_000) / 3, "{pause:?}");
                return;
            }
            other => panic!("{other:?}"),
        };
    }
}

#[test]
fn only_the_first_in_line_asks_for_room() {
    let mut scene = Scene::new(fleet());
    let (first, _) = scene.begin("/stream/1");
    let (second, step) = scene.begin("/stream/2");
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
    scene.then(first, reserved());
    assert_eq!(scene.router.take_runnable(), vec![second]);
    let step = scene.then(second, Event::WaitEnded);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn an_engine_that_leaves_during_the_prefill_gets_no_decode() {
    let mut scene = Scene::new(fleet());
    let (key, step) = scene.begin("/stream/1");
    let leaving = target(&step);
    scene.then(key, reserved());
    scene.leaves(&leaving);
    let step = scene.after(ms(2_500), key, Event::Prefilled { handle: "handle".into() });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    assert_ne!(target(&step), leaving);
}

#[test]
fn a_prefill_result_outlives_the_engine_that_was_to_decode_it() {
    let mut scene = Scene::new(fleet());
    let (key, step) = scene.begin("/stream/1");
    let leaving = target(&step);
    scene.then(key, reserved());
    scene.leaves(&leaving);
    scene.after(ms(90), key, Event::Prefilled { handle: "handle".into() });
    match scene.then(key, reserved()) {
        Step::Decode { target, source: Some(source), .. } => {
            assert_ne!(target, leaving);
            assert_eq!(source.handle, "handle");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may_be_continued() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.decoding("/stream/1");
    let refused = refusal(scene.then(key, Event::Failed(Failure::Broken)));
    assert_eq!(refused.outcome, Outcome::Unknown);
    assert_eq!(refused.retry_after, None);
}

#[test]
fn what_certainly_did_not_run_is_sent_again() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.decoding("/stream/1");
    let step = scene.then(key, Event::Failed(Failure::NotRun));
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn a_broken_stream_goes_on_after_its_last_event_at_another_engine() {
    let mut scene = Scene::new(fleet());
    let (key, step) = scene.decoding("/resumable/1");
    let lost = target(&step);
    scene.then(key, Event::ResponseStarted { status: 200 });
    let step = scene.then(key, Event::ResponseInterrupted { last_event: Some(12) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    assert_ne!(target(&step), lost);
    scene.then(key, reserved());
    match scene.then(key, Event::Prefilled { handle: "next".into() }) {
        Step::Decode { after_event, .. } => assert_eq!(after_event, Some(12)),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_long_stream_that_breaks_late_still_has_time_to_find_room() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.decoding("/resumable/1");
    scene.then(key, Event::ResponseStarted { status: 200 });
    let step = scene.after(ms(9_000), key, Event::ResponseInterrupted { last_event: Some(125) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    let step = scene.then(key, Event::ReservationRejected);
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
}

/// A pool in which room comes free every 100 ms, and a request every 50 ms: who
/// cannot be served within the wait is told so at once.
#[test]
fn who_will_find_no_room_in_time_is_refused_at_once() {
    let mut scene = Scene::new(fleet());
    let mut line = std::collections::VecDeque::new();
    let (mut at_once, mut late) = (0, 0);
    for turn in 0..200 {
        scene.now += ms(50);
        let (key, step) = scene.begin("/stream/1");
        match step {
            Step::Refuse(refused) => {
                assert_eq!(refused.outcome, Outcome::NotRun);
                assert!(refused.retry_after.is_some());
                at_once += 1;
                scene.router.finish(scene.now, key);
            }
            _ => line.push_back((key, scene.now)),
        }
        if turn % 2 == 0
            && let Some((served, _)) = line.pop_front()
        {
            scene.then(served, reserved());
            scene.router.finish(scene.now, served);
        }
        while line.front().is_some_and(|(_, arrived)| scene.now >= *arrived + ms(450)) {
            let (key, _) = line.pop_front().expect("is not empty");
            scene.router.finish(scene.now, key);
            late += 1;
        }
    }
    assert!(at_once >= 70, "{at_once} at once");
    assert!(late <= 20, "{late} after the wait");
}

#[test]
fn what_was_begun_goes_before_what_is_new() {
    let mut scene = Scene::new(fleet());
    let (begun, _) = scene.decoding("/resumable/1");
    scene.then(begun, Event::ResponseStarted { status: 200 });
    let (_, step) = scene.begin("/stream/2");
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    let (_, step) = scene.begin("/stream/3");
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
    let step = scene.then(begun, Event::ResponseInterrupted { last_event: Some(5) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn a_silent_engine_does_not_stand_for_a_full_pool() {
    let mut scene = Scene::new(fleet());
    let (key, step) = scene.begin("/stream/1");
    let silent = target(&step);
    let step = scene.after(ms(460), key, Event::Failed(Failure::Silent));
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    assert_ne!(target(&step), silent);
}

#[test]
fn a_broken_stream_that_may_not_be_continued_is_broken_off() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.decoding("/stream/1");
    scene.then(key, Event::ResponseStarted { status: 200 });
    let step = scene.then(key, Event::ResponseInterrupted { last_event: Some(12) });
    assert_eq!(step, Step::Abort);
}

#[test]
fn without_prefill_engines_the_decode_engine_prefills() {
    let decode_only = vec![upstream("d1", ENGINES, PoolRole::Decode)];
    let mut scene = Scene::new(decode_only);
    let (key, _) = scene.begin("/stream/1");
    let step = scene.then(key, reserved());
    assert!(matches!(step, Step::Decode { source: None, .. }), "{step:?}");
}

#[test]
fn what_is_still_held_at_the_end_is_freed() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.begin("/stream/1");
    scene.then(key, reserved());
    scene.router.finish(scene.now, key);
    assert_eq!(scene.router.take_cleanups().len(), 1);
    assert_eq!(scene.router.open_requests(), 0);
}

#[test]
fn a_caller_that_leaves_the_line_lets_the_next_one_ask() {
    let mut scene = Scene::new(fleet());
    let (first, _) = scene.begin("/stream/1");
    let (second, _) = scene.begin("/stream/2");
    scene.router.finish(scene.now, first);
    assert_eq!(scene.router.take_runnable(), vec![second]);
}

#[test]
fn past_the_deadline_nothing_claims_that_it_did_not_run() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.decoding("/stream/1");
    let refused = refusal(scene.after(ms(14_000), key, Event::DeadlinePassed));
    assert_eq!(refused.reason, RefusalReason::DeadlineExceeded);
    assert_eq!(refused.outcome, Outcome::Unknown);
}

#[test]
fn a_stuck_prefill_is_given_to_another_engine() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.begin("/stream/1");
    let step = scene.then(key, reserved());
    let stuck = target(&step);
    let Step::Prefill { timeout, .. } = step else { panic!("{step:?}") };
    assert!(timeout < ms(900), "{timeout:?}");
    let step = scene.after(timeout, key, Event::Failed(Failure::Silent));
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
    assert_ne!(target(&step), stuck);
}

#[test]
fn prefills_that_fail_count_against_the_budget_whatever_follows() {
    let mut scene = Scene::new(fleet());
    let mut sends = 0;
    let mut requests = 0;
    while requests < 60 {
        let (key, _) = scene.begin("/stream/1");
        let mut step = scene.then(key, reserved());
        while let Step::Prefill { .. } = step {
            sends += 1;
            if !scene.router.abandon_prefill(scene.now, key) {
                step = scene.then(key, Event::Prefilled { handle: "late".into() });
                break;
            }
            step = scene.then(key, Event::Failed(Failure::Silent));
        }
        assert!(matches!(step, Step::Decode { .. }), "{step:?}");
        scene.router.finish(scene.now, key);
        requests += 1;
    }
    // Each request sends one prefill at least; those beyond keep to the budget.
    let allowed = 0.2 * f64::from(requests) + 50.0 * BUDGET_SHARE;
    assert!(f64::from(sends - requests) <= allowed, "{sends} sends for {requests}");
}

#[test]
fn an_engine_that_turns_prefills_away_is_left_alone_for_a_while() {
    let mut scene = Scene::new(fleet());
    let mut turned_away = 0;
    // Ten requests a second for ten seconds; p1 changes its role.
    for _ in 0..100 {
        let (key, _) = scene.begin("/stream/1");
        let mut step = scene.then(key, reserved());
        while let Step::Prefill { target, .. } = &step {
            step = if target.id == "p1" {
                turned_away += 1;
                scene.then(key, Event::Failed(Failure::NotRun))
            } else {
                scene.then(key, Event::Prefilled { handle: "handle".into() })
            };
        }
        scene.router.finish(scene.now, key);
        scene.now += ms(100);
    }
    assert!(turned_away <= 10, "{turned_away}");
}

#[test]
fn an_engine_that_reserves_but_does_not_run_is_left_alone_for_a_while() {
    let mut scene = Scene::new(fleet());
    let mut turned_away = 0;
    // d1 is changing its role: it grants reservations and runs nothing.
    for _ in 0..50 {
        let (key, mut step) = scene.begin("/stream/1");
        for _ in 0..12 {
            step = match step {
                Step::Reserve { .. } => scene.then(key, reserved()),
                Step::Prefill { .. } => scene.then(key, Event::Prefilled { handle: "h".into() }),
                Step::Decode { ref target, .. } if target.id == "d1" => {
                    turned_away += 1;
                    scene.then(key, Event::Failed(Failure::NotRun))
                }
                _ => break,
            };
        }
        scene.router.finish(scene.now, key);
        scene.now += ms(50);
    }
    assert!(turned_away <= 6, "{turned_away}");
}

#[test]
fn an_engine_whose_results_cannot_be_fetched_is_passed_over() {
    let mut scene = Scene::new(fleet());
    let mut lapses = [("p1", 0), ("p2", 0)];
    // Only the results of p1 cannot be fetched.
    for _ in 0..40 {
        let (key, _) = scene.begin("/stream/1");
        let prefill = target(&scene.then(key, reserved()));
        scene.then(key, Event::Prefilled { handle: "handle".into() });
        if prefill.id == "p1" {
            scene.then(key, Event::Failed(Failure::NotRun));
        }
        let used = lapses.iter_mut().find(|(id, _)| *id == prefill.id).expect("is one of two");
        used.1 += 1;
        scene.router.finish(scene.now, key);
    }
    assert!(lapses[0].1 <= 3, "{lapses:?}");
}
