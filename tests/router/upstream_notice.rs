//! What upstreams say of themselves: when a rate limit holds, and when it is lifted.

use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::upstream_notice::RateLimitChange;
use bamboodoor::router::upstream_notice::RateLimitNotice;
use bamboodoor::router::upstream_notice::UpstreamNotice;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;
use bamboodoor::router::upstreams::UpstreamKey;

use crate::harness::DESK;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::harness::upstream;

/// Returns a router and the key of one of its upstreams.
fn harness_with_upstream() -> (Harness, UpstreamKey) {
    let mut harness = Harness::new(default_upstreams());
    let (_, step) = harness.start_request("/lookup/1");
    (harness, target(&step).key)
}

fn notice(upstream: UpstreamKey, sent_at_ms: u64, rate_limit: RateLimitNotice) -> UpstreamNotice {
    UpstreamNotice {
        upstream,
        sent_at: ms(sent_at_ms),
        rate_limit: Some(rate_limit),
        leaving: false,
        retry_after: None,
    }
}

#[test]
fn a_rate_limit_holds_from_the_first_response_that_names_it() {
    let (mut harness, key) = harness_with_upstream();
    let named = notice(key, 900, RateLimitNotice::Named(2.5));
    let change = harness.router.record_notice(ms(1_000), &named).rate_limit;
    assert_eq!(change, Some(RateLimitChange { before: None, after: Some(2.5) }));
    assert_eq!(harness.router.record_notice(ms(1_010), &named).rate_limit, None);
}

#[test]
fn a_response_to_a_request_sent_earlier_does_not_lift_a_rate_limit() {
    let (mut harness, key) = harness_with_upstream();
    let named = notice(key, 900, RateLimitNotice::Named(2.5));
    harness.router.record_notice(ms(1_000), &named);
    let earlier = notice(key, 950, RateLimitNotice::Absent);
    assert_eq!(harness.router.record_notice(ms(1_020), &earlier).rate_limit, None);
    let later = notice(key, 1_030, RateLimitNotice::Absent);
    let change = harness.router.record_notice(ms(1_050), &later).rate_limit;
    assert_eq!(change, Some(RateLimitChange { before: Some(2.5), after: None }));
}

#[test]
fn an_invalid_rate_limit_leaves_the_named_one_in_force() {
    let (mut harness, key) = harness_with_upstream();
    let named = notice(key, 900, RateLimitNotice::Named(2.5));
    harness.router.record_notice(ms(1_000), &named);
    let invalid = notice(key, 1_100, RateLimitNotice::Invalid);
    assert_eq!(harness.router.record_notice(ms(1_200), &invalid).rate_limit, None);
}

fn leaving(upstream: UpstreamKey) -> UpstreamNotice {
    UpstreamNotice {
        upstream,
        sent_at: ms(900),
        rate_limit: None,
        leaving: true,
        retry_after: None,
    }
}

/// The instance list goes on showing it as ready, and once without its record.
#[test]
fn an_upstream_that_says_that_it_leaves_gets_no_work_whatever_the_list_says() {
    let (mut harness, key) = harness_with_upstream();
    let id = harness.router.target(key).expect("it is listed").id;
    let listed = upstream(&id, DESK, PoolRole::Service);
    assert!(harness.router.record_notice(harness.now, &leaving(key)).leaving);
    assert!(!harness.router.record_notice(harness.now, &leaving(key)).leaving);
    harness.list_upstream(listed.clone());
    harness.apply_record(&id, InstanceState::Removed);
    harness.list_upstream(listed.clone());
    for _ in 0..20 {
        let (_, step) = harness.start_request("/booking/1");
        assert_ne!(target(&step).id, id);
    }
    // Another incarnation is another upstream.
    harness.list_upstream(ListedUpstream { started_ms: 2, ..listed });
    let chosen = (0..20).any(|_| target(&harness.start_request("/booking/1").1).id == id);
    assert!(chosen, "the new incarnation gets no work");
}

#[test]
fn an_engine_that_says_that_it_leaves_in_a_reservation_gets_no_decode() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/stream/1");
    let engine = target(&step);
    harness.router.record_notice(harness.now, &leaving(engine.key));
    harness.report(key, reserved());
    let step = harness.report(key, Event::Prefilled { handle: "handle".into() });
    assert_ne!(target(&step).id, engine.id);
}

fn turned_away(upstream: UpstreamKey, retry_after_ms: u64) -> UpstreamNotice {
    let retry_after = Some(ms(retry_after_ms));
    UpstreamNotice { upstream, sent_at: ms(900), rate_limit: None, leaving: false, retry_after }
}

#[test]
fn an_upstream_that_turned_the_entry_away_gets_nothing_until_the_time_it_named() {
    let (mut harness, key) = harness_with_upstream();
    harness.router.record_notice(harness.now, &turned_away(key, 5_500));
    // A shorter time that is named later does not end the longer one.
    harness.router.record_notice(harness.now, &turned_away(key, 100));
    let ends_at = harness.now + ms(5_500);
    while harness.now < ends_at {
        let (_, step) = harness.start_request("/booking/1");
        assert_ne!(target(&step).key, key);
        harness.now += ms(100);
    }
    let chosen = (0..20).any(|_| target(&harness.start_request("/booking/1").1).key == key);
    assert!(chosen, "it gets no work after its time");
}

#[test]
fn calls_are_refused_at_once_with_the_time_while_all_upstreams_turn_the_entry_away() {
    let mut harness = Harness::new(default_upstreams());
    for (id, retry_after_ms) in [("s1", 4_000), ("s2", 3_000)] {
        let desk: Vec<_> = harness.router.upstreams().service_upstreams(DESK).collect();
        let named = desk.iter().find(|(_, upstream)| upstream.listed.id == id);
        let key = named.expect("the upstream is listed").0;
        harness.router.record_notice(harness.now, &turned_away(key, retry_after_ms));
    }
    let (_, step) = harness.start_request("/booking/1");
    let Step::Refuse(refusal) = step else { panic!("unexpected step {step:?}") };
    assert_eq!(refusal.reason, RefusalReason::RateLimited);
    let retry_after = refusal.retry_after.expect("the time is known");
    assert!(retry_after >= ms(3_000) && retry_after <= ms(4_500), "{retry_after:?}");
}

#[test]
fn an_engine_that_turns_the_entry_away_during_a_prefill_gets_no_decode() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/stream/1");
    let engine = target(&step);
    harness.report(key, reserved());
    harness.router.record_notice(harness.now, &turned_away(engine.key, 2_000));
    let step = harness.report(key, Event::Prefilled { handle: "handle".into() });
    assert_ne!(target(&step).id, engine.id);
}
