//! Calls to plain services: what may be sent again, and what is said of it.

use bamboodoor::outcome::Outcome;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;

use crate::scene::Scene;
use crate::scene::fleet;
use crate::scene::ms;
use crate::scene::target;

/// What a failure of the first send leads to.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    SentAgain,
    Refused(Outcome),
    Relayed,
}

fn next(step: Step) -> Next {
    match step {
        Step::Call { .. } => Next::SentAgain,
        Step::Refuse(refusal) => Next::Refused(refusal.outcome),
        Step::Relay { .. } => Next::Relayed,
        other => panic!("{other:?}"),
    }
}

macro_rules! after_the_first_send {
    ($($name:ident: $path:literal, $event:expr => $next:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut scene = Scene::new(fleet());
            let (key, step) = scene.begin($path);
            let first = target(&step);
            let step = scene.then(key, $event);
            if let Step::Call { target, .. } = &step {
                assert_ne!(*target, first);
            }
            assert_eq!(next(step), $next);
        }
    )*};
}

after_the_first_send! {
    lookup_not_sent: "/lookup/1", Event::Failed(Failure::NotSent) => Next::SentAgain;
    lookup_not_run: "/lookup/1", Event::Failed(Failure::NotRun) => Next::SentAgain;
    lookup_broken: "/lookup/1", Event::Failed(Failure::Broken) => Next::SentAgain;
    lookup_silent: "/lookup/1", Event::Failed(Failure::Silent) => Next::SentAgain;
    lookup_error: "/lookup/1", Event::ResponseStarted { status: 500 } => Next::SentAgain;
    lookup_missing: "/lookup/1", Event::ResponseStarted { status: 404 } => Next::Relayed;
    booking_not_sent: "/booking/1", Event::Failed(Failure::NotSent) => Next::SentAgain;
    booking_not_run: "/booking/1", Event::Failed(Failure::NotRun) => Next::SentAgain;
    booking_elsewhere: "/booking/1", Event::Failed(Failure::OtherInstance) => Next::SentAgain;
    booking_broken: "/booking/1", Event::Failed(Failure::Broken) => Next::Refused(Outcome::Unknown);
    booking_silent: "/booking/1", Event::Failed(Failure::Silent) => Next::Refused(Outcome::Unknown);
    booking_error: "/booking/1", Event::ResponseStarted { status: 500 } => Next::Relayed;
    booking_overdue: "/booking/1", Event::DeadlinePassed => Next::Refused(Outcome::Unknown);
}

#[test]
fn a_booking_runs_at_most_once_whatever_comes_after_an_unknown_end() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.begin("/booking/1");
    let step = scene.then(key, Event::Failed(Failure::NotRun));
    assert_eq!(next(step), Next::SentAgain);
    let step = scene.then(key, Event::Failed(Failure::Broken));
    assert_eq!(next(step), Next::Refused(Outcome::Unknown));
}

#[test]
fn a_lookup_runs_at_no_more_upstreams_than_its_route_allows() {
    let mut scene = Scene::new(fleet());
    let (key, _) = scene.begin("/lookup/1");
    let step = scene.then(key, Event::ResponseStarted { status: 500 });
    assert_eq!(next(step), Next::SentAgain);
    let step = scene.then(key, Event::ResponseStarted { status: 500 });
    assert_eq!(next(step), Next::Relayed);
}

#[test]
fn a_leaving_upstream_gets_no_call() {
    let mut scene = Scene::new(fleet());
    let (_, step) = scene.begin("/booking/1");
    let leaving = target(&step);
    scene.leaves(&leaving);
    for _ in 0..20 {
        let (_, step) = scene.begin("/booking/1");
        assert_ne!(target(&step), leaving);
    }
}

#[test]
fn a_call_tells_the_upstream_the_time_that_is_left() {
    let mut scene = Scene::new(fleet());
    let (key, step) = scene.begin("/lookup/1");
    assert!(matches!(step, Step::Call { deadline, .. } if deadline == ms(14_000)));
    let step = scene.after(ms(200), key, Event::Failed(Failure::NotRun));
    assert!(matches!(step, Step::Call { deadline, .. } if deadline == ms(13_800)));
}
