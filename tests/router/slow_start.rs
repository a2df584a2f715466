//! Slow start of upstreams that have just started or recovered, through all entries together.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::slow_start::SlowStart;
use bamboodoor::router::slow_start::SlowStartCause;
use bamboodoor::router::slow_start::SlowStartSettings;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;
use compact_str::CompactString;

use crate::harness::DESK;
use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::target;
use crate::harness::upstream;

/// Entries before the same upstreams.
const ENTRIES: u64 = 26;
/// Time in which an upstream answers a call.
const RESPONSE_TIME: Duration = Duration::from_millis(30);
/// Pause of each entry between two calls: 26 entries make 52 calls a second.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the entries know their instance lists.
const KNOWN_AT: Duration = Duration::from_secs(10);

/// Upstream of the plain service that starts once the others are known.
fn started_upstream() -> ListedUpstream {
    ListedUpstream { started_ms: 10_000, ..upstream("s3", DESK, PoolRole::Service) }
}

/// Entries that know two upstreams of a plain service, at [`KNOWN_AT`].
fn entries() -> Vec<Harness> {
    let entry = |seed| {
        let mut entry = Harness::with_seed(default_upstreams(), seed);
        entry.now = KNOWN_AT;
        entry
    };
    (0..ENTRIES).map(entry).collect()
}

/// Has the entry make a lookup, which the upstream answers in time or fails. Returns the
/// upstream that was called first.
fn call(entry: &mut Harness, fails_at: Option<&str>) -> CompactString {
    let (key, step) = entry.start_request("/lookup/1");
    let called = target(&step).id;
    if fails_at == Some(called.as_str()) {
        entry.report_after(RESPONSE_TIME, key, Event::Failed(Failure::Broken));
    } else {
        entry.report_after(RESPONSE_TIME, key, Event::ResponseStarted { status: 200 });
    }
    entry.router.finish(entry.now, key);
    called
}

/// Calls of all entries to `s3` in the second that starts after `delay`, of 52.
fn calls_in_second(entries: &mut [Harness], delay: Duration, fails: bool) -> usize {
    let calls_per_entry = 2;
    let mut calls = 0;
    for entry in entries {
        let from = KNOWN_AT + delay;
        for index in 0..calls_per_entry {
            entry.now = from + CALL_INTERVAL * index;
            let called = call(entry, fails.then_some("s3"));
            calls += usize::from(called == "s3");
        }
    }
    calls
}

/// Load: a release or a crash, after which an upstream with nothing to do is listed at 26
/// entries, of which each sees that it has no open request.
#[test]
fn all_entries_together_do_not_flood_an_upstream_that_has_just_started() {
    let mut entries = entries();
    entries.iter_mut().for_each(|entry| entry.list_upstream(started_upstream()));
    let calls = calls_in_second(&mut entries, ms(0), false);
    assert!((1..=12).contains(&calls), "{calls} of 52 calls in the first second");
}

#[test]
fn an_upstream_that_answers_is_used_like_its_peers_within_seconds() {
    let mut entries = entries();
    entries.iter_mut().for_each(|entry| entry.list_upstream(started_upstream()));
    for second in 0..4 {
        calls_in_second(&mut entries, ms(1_000 * second), false);
    }
    let calls = calls_in_second(&mut entries, ms(4_000), false);
    assert!((10..=26).contains(&calls), "{calls} of 52 calls in the fifth second");
}

#[test]
fn an_upstream_that_starts_and_fails_is_not_flooded() {
    let mut entries = entries();
    entries.iter_mut().for_each(|entry| entry.list_upstream(started_upstream()));
    let mut calls = 0;
    for second in 0..5 {
        calls += calls_in_second(&mut entries, ms(1_000 * second), true);
    }
    assert!(calls <= 5 * 52 / 6, "{calls} of 260 calls in five seconds, half of an equal share");
}

#[test]
fn an_upstream_that_starts_gets_the_requests_if_there_is_no_other() {
    let mut entries = entries();
    for entry in &mut entries {
        entry.list_upstream(started_upstream());
        entry.apply_record("s1", InstanceState::Removed);
        entry.apply_record("s2", InstanceState::Removed);
    }
    let calls = calls_in_second(&mut entries, ms(0), false);
    assert_eq!(calls, 52);
}

/// Ends the slow starts that are over by now and returns the causes of those that began.
fn begun(entry: &mut Harness) -> Vec<SlowStartCause> {
    let now = entry.now;
    let changes = entry.router.instance_list().1.take_slow_start_changes(now);
    let begun = changes.iter().filter(|change| change.ended_after.is_none());
    begun.map(|change| change.cause).collect()
}

fn list_later(entry: &mut Harness, listed: ListedUpstream) {
    entry.now = KNOWN_AT;
    entry.list_upstream(listed);
}

fn fail_calls(entry: &mut Harness) {
    entry.apply_record("s2", InstanceState::Removed);
    for upstream in ["s3", "s4"] {
        entry.list_upstream(self::upstream(upstream, DESK, PoolRole::Service));
    }
    for _ in 0..12 {
        call(entry, Some("s1"));
    }
}

macro_rules! slow_starts {
    ($($name:ident: $events:expr => $causes:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut entry = Harness::new(default_upstreams());
            let events: fn(&mut Harness) = $events;
            events(&mut entry);
            assert_eq!(begun(&mut entry), $causes);
        }
    )*};
}

slow_starts! {
    the_first_list_of_an_entry_starts_none: |_| () => [];
    an_upstream_of_the_first_read_that_comes_late_starts_none: |entry| {
        entry.now += ms(2_000);
        entry.list_upstream(upstream("s3", DESK, PoolRole::Service));
    } => [];
    an_upstream_that_starts_later_starts_slowly:
        |entry| list_later(entry, started_upstream()) => [SlowStartCause::Started];
    a_restarted_upstream_starts_slowly: |entry| {
        list_later(entry, ListedUpstream { started_ms: 9_500, ..upstream("s1", DESK, PoolRole::Service) });
    } => [SlowStartCause::Started];
    an_old_upstream_that_is_listed_again_starts_none: |entry| {
        entry.apply_record("s1", InstanceState::Removed);
        entry.now = ms(30_000);
        entry.list_upstream(upstream("s1", DESK, PoolRole::Service));
    } => [];
    an_engine_that_prefills_from_now_on_starts_slowly:
        |entry| list_later(entry, upstream("d1", ENGINES, PoolRole::Prefill)) => [SlowStartCause::RoleChanged];
    a_decode_engine_limits_by_itself_what_it_gets:
        |entry| list_later(entry, upstream("p1", ENGINES, PoolRole::Decode)) => [];
    an_upstream_that_was_ejected_starts_slowly: fail_calls => [SlowStartCause::Recovered];
    a_record_without_a_change_starts_none:
        |entry| list_later(entry, upstream("s1", DESK, PoolRole::Service)) => [];
}

/// Slow start that begins at zero.
fn slow_start() -> SlowStart {
    SlowStart::new(SlowStartSettings::default(), SlowStartCause::Started, Duration::ZERO)
}

#[test]
fn the_share_doubles_with_each_response() {
    let mut slow_start = slow_start();
    (0..4).for_each(|_| slow_start.record_success(ms(0)));
    assert!(slow_start.is_over(ms(0)));
}

#[test]
fn a_failure_halves_the_share_and_stops_its_growth() {
    let mut slow_start = slow_start();
    let grown = slow_start.share(ms(2_000));
    slow_start.record_failure(ms(2_000));
    assert_eq!(slow_start.share(ms(3_000)), grown / 2.0);
}

#[test]
fn the_share_grows_without_responses() {
    assert!(!slow_start().is_over(ms(3_000)));
    assert!(slow_start().is_over(ms(4_000)));
}

/// First steps of requests, by the upstreams that they address.
fn choices(settings: SlowStartSettings, seed: u64) -> Vec<CompactString> {
    let mut entry = Harness::with_slow_start(default_upstreams(), seed, settings);
    entry.now = KNOWN_AT;
    let paths = ["/lookup/1", "/stream/1", "/booking/1"];
    let start = |path: &&str| match entry.start_request(path).1 {
        step @ (Step::Call { .. } | Step::Reserve { .. }) => target(&step).id,
        _ => CompactString::default(),
    };
    paths.iter().cycle().take(60).map(start).collect()
}

#[test]
fn selections_without_starts_are_the_same_with_and_without_slow_start() {
    let off = SlowStartSettings { initial_share: 1.0, ..SlowStartSettings::default() };
    for seed in 0..5 {
        assert_eq!(choices(SlowStartSettings::default(), seed), choices(off, seed));
    }
}
