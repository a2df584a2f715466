//! Model engines that name a rate limit: reservations, prefills, decodes, cleanups and role
//! orders all keep to it.

use std::time::Duration;

use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::rate_limit::RateLimit;
use bamboodoor::router::upstream_notice::RateLimitNotice;
use bamboodoor::router::upstream_notice::UpstreamNotice;
use bamboodoor::router::upstreams::UpstreamKey;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;

const SHARE: f64 = 0.25;

fn harness() -> Harness {
    let mut harness = Harness::new(default_upstreams());
    harness.router.set_rate_limit_share(harness.now, SHARE);
    harness
}

fn key_of(harness: &Harness, id: &str) -> UpstreamKey {
    let mut all = harness.router.upstreams().service_upstreams(ENGINES);
    all.find(|(_, engine)| engine.listed.id == id).expect("the engine is listed").0
}

/// Has an engine name a limit.
fn limit(harness: &mut Harness, id: &str, requests_per_s: f64) {
    let upstream = key_of(harness, id);
    let rate_limit = RateLimitNotice::Named(requests_per_s);
    let notice = UpstreamNotice {
        upstream,
        sent_at: harness.now,
        rate_limit: Some(rate_limit),
        leaving: false,
        retry_after: None,
    };
    harness.router.record_notice(harness.now, &notice);
}

/// Time until the engine may be sent the next request.
fn wait_for(harness: &Harness, id: &str) -> Duration {
    let key = key_of(harness, id);
    let engine = harness.router.upstreams().get(key).expect("the engine is listed");
    let limit = engine.rate_limit.expect("the engine names a limit");
    limit.permit_at(harness.now).saturating_sub(harness.now)
}

#[test]
fn streams_go_to_the_engines_that_may_be_sent_a_request() {
    let mut harness = harness();
    limit(&mut harness, "d1", 0.01);
    limit(&mut harness, "p1", 0.01);
    for _ in 0..20 {
        let (key, step) = harness.start_request("/stream/1");
        assert_eq!(target(&step).id, "d2");
        let step = harness.report(key, reserved());
        assert_eq!(target(&step).id, "p2");
        harness.router.finish(harness.now, key);
    }
}

#[test]
fn a_decode_engine_prefills_the_prompt_while_all_prefill_engines_are_at_their_limits() {
    let mut harness = harness();
    limit(&mut harness, "p1", 0.01);
    limit(&mut harness, "p2", 0.01);
    let (key, _) = harness.start_request("/stream/1");
    let step = harness.report(key, reserved());
    assert!(matches!(step, Step::Decode { source: None, .. }), "{step:?}");
}

#[test]
fn a_stream_is_refused_at_once_if_no_decode_engine_may_be_sent_a_request_in_time() {
    let mut harness = harness();
    limit(&mut harness, "d1", 0.01);
    limit(&mut harness, "d2", 0.01);
    let (_, step) = harness.start_request("/stream/1");
    let Step::Refuse(refusal) = step else { panic!("unexpected step {step:?}") };
    assert_eq!(refusal.reason, RefusalReason::RateLimited);
    assert!(refusal.retry_after.is_some());
}

/// A reservation takes the permit of the decode as well, and gives it back if it fails.
#[test]
fn a_reservation_that_fails_takes_one_permit_and_one_that_is_granted_takes_two() {
    let interval = ms(2_000);
    for (event, permits) in
        [(Event::ReservationRejected, 1), (Event::Failed(Failure::Silent), 1), (reserved(), 2)]
    {
        let mut harness = harness();
        let other = key_of(&harness, "d2");
        let other = harness.router.target(other).expect("the engine is listed");
        harness.mark_leaving(&other);
        limit(&mut harness, "d1", 2.5);
        harness.now += interval;
        let (key, step) = harness.start_request("/stream/1");
        assert_eq!(target(&step).id, "d1");
        harness.router.advance(harness.now, key, event);
        let wait = wait_for(&harness, "d1");
        let least = interval * (permits - 1);
        assert!(wait > least.saturating_sub(ms(1_000)) && wait <= interval * permits, "{wait:?}");
    }
}

#[test]
fn a_cleanup_is_skipped_at_an_engine_at_its_limit() {
    let mut harness = harness();
    let (key, step) = harness.start_request("/stream/1");
    let engine = target(&step);
    harness.report(key, reserved());
    limit(&mut harness, &engine.id, 0.01);
    harness.router.finish(harness.now, key);
    let cleanups = harness.router.take_cleanups();
    assert_eq!(cleanups.len(), 1);
    assert!(!harness.router.permit_cleanup(harness.now, &cleanups[0]));
}

/// The permits of an entry with a small share are far apart; those of many entries must not
/// fall due together, even right after the entries have started.
#[test]
fn first_permits_of_entries_are_spread_over_an_interval() {
    let now = ms(100);
    let limits = (0..10).map(|tenth| RateLimit::new(now, 1.0, 0.01, f64::from(tenth) / 10.0));
    let waits: Vec<Duration> = limits.map(|limit| limit.permit_at(now) - now).collect();
    assert!(waits.windows(2).all(|pair| pair[1] - pair[0] > ms(10_000)), "{waits:?}");
}
