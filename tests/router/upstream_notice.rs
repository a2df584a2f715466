//! What upstreams say of themselves: when a rate limit holds, and when it is lifted.

use bamboodoor::router::upstream_notice::RateLimitChange;
use bamboodoor::router::upstream_notice::RateLimitNotice;
use bamboodoor::router::upstream_notice::UpstreamNotice;
use bamboodoor::router::upstreams::UpstreamKey;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::target;

/// Returns a router and the key of one of its upstreams.
fn harness_with_upstream() -> (Harness, UpstreamKey) {
    let mut harness = Harness::new(default_upstreams());
    let (_, step) = harness.start_request("/lookup/1");
    (harness, target(&step).key)
}

fn notice(upstream: UpstreamKey, sent_at_ms: u64, rate_limit: RateLimitNotice) -> UpstreamNotice {
    UpstreamNotice { upstream, sent_at: ms(sent_at_ms), rate_limit }
}

#[test]
fn a_rate_limit_holds_from_the_first_response_that_names_it() {
    let (mut harness, key) = harness_with_upstream();
    let named = notice(key, 900, RateLimitNotice::Named(2.5));
    let change = harness.router.record_notice(ms(1_000), &named);
    assert_eq!(change, Some(RateLimitChange { before: None, after: Some(2.5) }));
    assert_eq!(harness.router.record_notice(ms(1_010), &named), None);
}

#[test]
fn a_response_to_a_request_sent_earlier_does_not_lift_a_rate_limit() {
    let (mut harness, key) = harness_with_upstream();
    let named = notice(key, 900, RateLimitNotice::Named(2.5));
    harness.router.record_notice(ms(1_000), &named);
    let earlier = notice(key, 950, RateLimitNotice::Absent);
    assert_eq!(harness.router.record_notice(ms(1_020), &earlier), None);
    let later = notice(key, 1_030, RateLimitNotice::Absent);
    let change = harness.router.record_notice(ms(1_050), &later);
    assert_eq!(change, Some(RateLimitChange { before: Some(2.5), after: None }));
}

#[test]
fn an_invalid_rate_limit_leaves_the_named_one_in_force() {
    let (mut harness, key) = harness_with_upstream();
    let named = notice(key, 900, RateLimitNotice::Named(2.5));
    harness.router.record_notice(ms(1_000), &named);
    let invalid = notice(key, 1_100, RateLimitNotice::Invalid);
    assert_eq!(harness.router.record_notice(ms(1_200), &invalid), None);
}
