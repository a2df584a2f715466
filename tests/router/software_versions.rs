//! Engines of several software versions side by side: a stream continues only at the version at
//! which it began.

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::Target;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::harness::upstream;

fn engine(id: &str, role: PoolRole, version: &str) -> ListedUpstream {
    ListedUpstream { version: version.into(), ..upstream(id, ENGINES, role) }
}

/// Two prefill engines, and decode engines of these versions.
fn harness(decode_versions: &[&str], seed: u64) -> Harness {
    let mut upstreams =
        vec![engine("p1", PoolRole::Prefill, "v1"), engine("p2", PoolRole::Prefill, "v2")];
    upstreams.extend(
        decode_versions
            .iter()
            .enumerate()
            .map(|(number, version)| engine(&format!("d{number}"), PoolRole::Decode, version)),
    );
    Harness::with_seed(upstreams, seed)
}

/// Starts a stream, has its engine send these events, and returns the engine.
fn start_stream(harness: &mut Harness, events: usize) -> (RequestKey, Target) {
    let (key, step) = harness.start_decode("/resumable/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    for _ in 0..events {
        harness.now += ms(20);
        harness.router.record_event(harness.now, key);
    }
    (key, target(&step))
}

#[test]
fn an_interrupted_stream_continues_at_the_version_at_which_it_began() {
    for seed in 0..50 {
        let mut harness = harness(&["v1", "v2", "v2", "v1", "v2"], seed);
        let (key, engine) = start_stream(&mut harness, 5);
        let step = harness.report(key, Event::ResponseInterrupted { last_event: Some(5) });
        assert_eq!(target(&step).version, engine.version, "seed {seed}");
        assert_ne!(target(&step), engine, "seed {seed}");
    }
}

#[test]
fn an_interrupted_stream_ends_if_no_engine_of_its_version_is_left() {
    let mut harness = harness(&["v1", "v2"], 0);
    let (key, engine) = start_stream(&mut harness, 5);
    harness.mark_leaving(&engine);
    let step = harness.report(key, Event::ResponseInterrupted { last_event: Some(5) });
    assert_eq!(step, Step::Abort);
}

/// The engine was lost before its first event, so nothing of its version has reached the caller.
#[test]
fn a_stream_without_events_continues_at_any_version() {
    let mut harness = harness(&["v1", "v2"], 0);
    let (key, engine) = start_stream(&mut harness, 0);
    harness.mark_leaving(&engine);
    let step = harness.report(key, Event::ResponseInterrupted { last_event: None });
    assert_ne!(target(&step).version, engine.version);
    harness.report(key, reserved());
}
