//! Streams whose engine vanishes from the instance list while it works on them, as its record has
//! expired or the store was out of reach: they go on there.

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::request::RequestKey;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;

/// Starts a stream that has had an event, and removes the records of these instances and, if
/// there are none, of its engine.
fn start_unlisted_stream(path: &str, removed: &[&str]) -> (Harness, RequestKey) {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode(path);
    harness.report(key, Event::ResponseStarted { status: 200 });
    harness.router.record_event(harness.now, key);
    let engine = harness.router.request(key).expect("the request is in flight").upstream_id();
    let own = [engine.as_str()];
    for id in if removed.is_empty() { &own } else { removed } {
        harness.apply_record(id, InstanceState::Removed);
    }
    (harness, key)
}

macro_rules! vanished_records {
    ($($name:ident: $path:literal, $removed:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut harness, key) = start_unlisted_stream($path, &$removed);
            harness.now += ms(200);
            harness.router.record_event(harness.now, key);
            let paused = Event::ResponsePaused { last_event: Some(5) };
            let mut step = harness.report_after(ms(700), key, paused);
            // While another engine is sought, the paused one goes on.
            if matches!(step, Step::Reserve { .. }) {
                step = harness.report_after(ms(100), key, Event::ResponseResumed);
            }
            assert!(matches!(step, Step::Relay { .. }), "{step:?}");
            harness.router.record_event(harness.now, key);
        }
    )*};
}

vanished_records! {
    a_resumable_stream_goes_on_though_its_engine_vanished: "/resumable/1", [];
    a_resumable_stream_goes_on_though_all_engines_vanished:
        "/resumable/1", ["p1", "p2", "d1", "d2"];
}
