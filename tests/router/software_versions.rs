//! Engines of several software versions side by side: a stream continues only at the version at
//! which it began.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::Target;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::stream_origins::OriginLookup;
use bamboodoor::router::stream_origins::StreamOrigin;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::incoming;
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

/// Longer than any stream lasts, so that an entry knows all versions of that time.
const LONGEST_STREAM: Duration = Duration::from_secs(14);

/// The store has answered all reads.
const COMPLETE: OriginLookup = OriginLookup { log_read: true, list_read: true };

/// Has a caller take up a stream after event 5 and returns the first step.
fn take_up(harness: &mut Harness, resumes: Option<&str>) -> (RequestKey, Step) {
    let resumes = resumes.map(Into::into);
    let resume_after = Some(5);
    harness.start(IncomingRequest { resume_after, resumes, ..incoming("/resumable/2") })
}

fn origin(request_id: &str, version: &str) -> StreamOrigin {
    StreamOrigin { request_id: request_id.into(), version: version.into() }
}

fn assert_refused(step: Step) {
    let Step::Refuse(refusal) = step else { panic!("unexpected step {step:?}") };
    assert_eq!(refusal.reason, RefusalReason::VersionUnavailable);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn a_stream_that_is_taken_up_continues_at_the_version_that_the_store_names() {
    for seed in 0..20 {
        let mut harness = harness(&["v1", "v2", "v2", "v1"], seed);
        let (key, step) = take_up(&mut harness, Some("first"));
        assert!(
            matches!(&step, Step::LookUpOrigin { request_id, .. } if request_id.as_deref() == Some("first"))
        );
        harness.router.record_origins(harness.now, vec![origin("first", "v2")]);
        let step = harness.report(key, Event::OriginsRead(COMPLETE));
        assert_eq!(target(&step).version, "v2", "seed {seed}");
    }
}

#[test]
fn a_stream_that_is_taken_up_where_it_began_needs_no_lookup() {
    let mut harness = harness(&["v1", "v2", "v2", "v1"], 0);
    let (key, engine) = start_stream(&mut harness, 5);
    harness.router.finish(harness.now, key);
    let (_, step) = take_up(&mut harness, Some("request"));
    assert_eq!(target(&step).version, engine.version);
}

#[test]
fn a_stream_whose_version_is_not_known_is_refused_while_there_are_several() {
    let mut harness = harness(&["v1", "v2"], 0);
    let (key, _) = take_up(&mut harness, Some("first"));
    let step = harness.report(key, Event::OriginsRead(COMPLETE));
    assert_refused(step);
    let (_, step) = take_up(&mut harness, None);
    assert_refused(step);
}

/// The last engine of v1 has gone, but streams that it began may still be taken up.
#[test]
fn a_version_counts_for_as_long_as_its_streams_may_be_taken_up() {
    let mut harness = harness(&["v1", "v2"], 0);
    harness.apply_record("d0", InstanceState::Removed);
    harness.apply_record("p1", InstanceState::Removed);
    harness.now += LONGEST_STREAM - ms(100);
    let (key, step) = take_up(&mut harness, Some("first"));
    assert!(matches!(step, Step::LookUpOrigin { .. }), "{step:?}");
    harness.router.record_origins(harness.now, vec![origin("first", "v1")]);
    assert_refused(harness.report(key, Event::OriginsRead(COMPLETE)));
    harness.now += ms(200);
    let (key, _) = take_up(&mut harness, Some("second"));
    let step = harness.report(key, Event::OriginsRead(COMPLETE));
    assert_eq!(target(&step).version, "v2");
}

/// A new entry does not know which versions there were.
#[test]
fn a_new_entry_goes_on_with_the_only_version_once_no_other_can_have_begun_the_stream() {
    let mut harness = Harness::new(vec![
        engine("p1", PoolRole::Prefill, "v1"),
        engine("d1", PoolRole::Decode, "v1"),
    ]);
    let (key, step) = take_up(&mut harness, Some("first"));
    assert!(matches!(step, Step::LookUpOrigin { .. }), "{step:?}");
    assert_refused(harness.report(key, Event::OriginsRead(COMPLETE)));
    harness.now += LONGEST_STREAM;
    let (key, _) = take_up(&mut harness, Some("second"));
    let step = harness.report(key, Event::OriginsRead(COMPLETE));
    assert_eq!(target(&step).version, "v1");
}

#[test]
fn origins_are_appended_only_while_there_are_several_versions() {
    let mut harness = Harness::new(vec![
        engine("p1", PoolRole::Prefill, "v1"),
        engine("d1", PoolRole::Decode, "v1"),
    ]);
    start_stream(&mut harness, 2);
    assert!(!harness.router.has_unsent_origins());
    // The streams in flight are appended as soon as there is another version.
    harness.list_upstream(engine("d2", PoolRole::Decode, "v2"));
    assert_eq!(harness.router.take_unsent_origins(), vec![origin("request", "v1")]);
    harness.list_upstream(engine("d3", PoolRole::Decode, "v2"));
    assert!(!harness.router.has_unsent_origins());
}

/// Taken up while there was one version, so the origin is not known from the store.
#[test]
fn a_stream_taken_up_before_a_second_version_came_stays_at_its_version() {
    let mut harness = Harness::new(vec![
        engine("p1", PoolRole::Prefill, "v1"),
        engine("d1", PoolRole::Decode, "v1"),
        engine("d2", PoolRole::Decode, "v1"),
    ]);
    harness.now += LONGEST_STREAM;
    let (key, _) = take_up(&mut harness, Some("first"));
    let step = harness.report(key, Event::OriginsRead(COMPLETE));
    let begun_at = target(&step);
    harness.report(key, reserved());
    harness.report(key, Event::Prefilled { handle: "handle".into() });
    harness.report(key, Event::ResponseStarted { status: 200 });
    harness.router.record_event(harness.now, key);
    for number in 3..9 {
        harness.list_upstream(engine(&format!("d{number}"), PoolRole::Decode, "v2"));
    }
    assert_eq!(harness.router.take_unsent_origins(), vec![origin("first", "v1")]);
    let step = harness.report(key, Event::ResponseInterrupted { last_event: Some(6) });
    assert_eq!(target(&step).version, begun_at.version);
}

/// Returns a router with prefill engines of two versions, and decode engines of `v2` only.
fn harness_with_prefill_versions() -> Harness {
    Harness::new(vec![
        engine("p1", PoolRole::Prefill, "v1"),
        engine("p2", PoolRole::Prefill, "v1"),
        engine("p3", PoolRole::Prefill, "v2"),
        engine("d1", PoolRole::Decode, "v2"),
        engine("d2", PoolRole::Decode, "v2"),
    ])
}

/// Starts a request and returns the version of its prefill engine.
fn prefill_version(harness: &mut Harness) -> compact_str::CompactString {
    let (key, _) = harness.start_request("/stream/1");
    target(&harness.report(key, reserved())).version
}

#[test]
fn a_prompt_is_prefilled_at_the_version_of_its_decode_engine() {
    for _ in 0..20 {
        let mut harness = harness_with_prefill_versions();
        assert_eq!(prefill_version(&mut harness), "v2");
    }
}

/// The only engine of that version has a queue: the request would come late.
#[test]
fn a_prompt_is_prefilled_at_another_version_rather_than_late() {
    let mut harness = harness_with_prefill_versions();
    let versions: Vec<_> = (0..12).map(|_| prefill_version(&mut harness)).collect();
    assert!(versions.iter().any(|version| version == "v1"), "{versions:?}");
}
