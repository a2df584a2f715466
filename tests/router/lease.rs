//! Lease of the entry that gives role orders: at most one entry gives them at a
//! time.

use std::time::Duration;

use bamboodoor::router::lease::Lease;
use bamboodoor::router::lease::LeaseSettings;
use bamboodoor::router::lease::RenewalResponse;

use crate::harness::ms;

/// Time that a new holder waits before its first order.
const TAKEOVER_DELAY: Duration = Duration::from_millis(3_200);

fn lease() -> Lease {
    Lease::new(LeaseSettings {
        ttl: ms(4_000),
        renewal_interval: ms(1_000),
        takeover_delay: TAKEOVER_DELAY,
        safety_margin: ms(1_000),
    })
}

/// Returns a response that grants the lease.
fn granted(generation: u64) -> RenewalResponse {
    RenewalResponse { generation, holds: true, share: 0.25 }
}

/// Renews the lease once a second, from the time `from` to `until` in
/// milliseconds. The store responds to each renewal after 5 ms.
fn renew(lease: &mut Lease, from: u64, until: u64, response: RenewalResponse) {
    for requested_at in (from..=until).step_by(1_000) {
        lease.record_renewal(ms(requested_at), ms(requested_at + 5), response);
    }
}

#[test]
fn a_new_holder_gives_no_orders_before_the_takeover_delay_is_over() {
    let mut lease = lease();
    renew(&mut lease, 0, 3_000, granted(4));
    assert_eq!(lease.fencing_token(ms(3_100)), None);
    renew(&mut lease, 4_000, 4_000, granted(4));
    assert_eq!(lease.fencing_token(ms(4_100)), Some(4));
}

#[test]
fn without_renewals_orders_stop_before_the_store_reassigns_the_lease() {
    let mut lease = lease();
    renew(&mut lease, 0, 5_000, granted(4));
    assert_eq!(lease.fencing_token(ms(7_900)), Some(4));
    assert_eq!(lease.fencing_token(ms(8_000)), None);
}

#[test]
fn a_holder_whose_lease_expired_waits_for_the_takeover_delay_again() {
    let mut lease = lease();
    renew(&mut lease, 0, 5_000, granted(4));
    // The process was suspended for 15 s, so its lease has expired.
    renew(&mut lease, 20_000, 22_000, granted(4));
    assert_eq!(lease.fencing_token(ms(22_100)), None);
    renew(&mut lease, 23_000, 24_000, granted(4));
    assert_eq!(lease.fencing_token(ms(24_100)), Some(4));
}

#[test]
fn a_member_that_loses_the_lease_stops_giving_orders_at_once() {
    let mut lease = lease();
    renew(&mut lease, 0, 5_000, granted(4));
    lease.record_renewal(
        ms(6_000),
        ms(6_005),
        RenewalResponse { generation: 5, holds: false, share: 0.25 },
    );
    assert_eq!(lease.fencing_token(ms(6_010)), None);
}

#[test]
fn the_fencing_token_never_goes_back() {
    let mut lease = lease();
    renew(&mut lease, 0, 5_000, granted(6));
    renew(&mut lease, 6_000, 6_000, granted(5));
    assert_eq!(lease.fencing_token(ms(6_100)), Some(6));
}

#[test]
fn two_members_never_give_orders_at_the_same_time() {
    // The first member renews for the last time at 5 s. The store reassigns the
    // lease when the time to live of 4 s has passed since then.
    let (mut first, mut second) = (lease(), lease());
    renew(&mut first, 0, 5_000, granted(1));
    let reassigned_at = 9_000;
    renew(&mut second, reassigned_at, reassigned_at + 6_000, granted(2));
    let last_of_first = (0..20_000).filter(|&now| first.fencing_token(ms(now)).is_some()).max();
    let first_of_second =
        (reassigned_at..20_000).find(|&now| second.fencing_token(ms(now)).is_some());
    let (last, next) = (
        last_of_first.expect("the first member gave orders"),
        first_of_second.expect("the second member gives orders"),
    );
    assert!(
        next - last >= 3_000,
        "last order of the first member at {last} ms, first order of the second at {next} ms"
    );
}

#[test]
fn a_share_of_the_retry_budgets_that_is_not_renewed_expires() {
    let mut lease = lease();
    lease.record_renewal(
        ms(1_000),
        ms(1_005),
        RenewalResponse { generation: 5, holds: false, share: 0.25 },
    );
    assert_eq!(lease.share(ms(4_900)), Some(0.25));
    assert_eq!(lease.share(ms(5_000)), None);
}

/// The store may have given the share to others, but gives nothing while it is down.
#[test]
fn without_renewals_half_of_the_last_share_of_rate_limits_is_used() {
    let mut lease = lease();
    assert_eq!(lease.rate_limit_share(ms(0)), None);
    renew(&mut lease, 0, 3_000, granted(4));
    assert_eq!(lease.rate_limit_share(ms(6_900)), Some(0.25));
    assert_eq!(lease.rate_limit_share(ms(7_100)), Some(0.125));
}

/// There are more entries than partitions, so some of them get none.
#[test]
fn an_entry_to_which_the_store_assigns_no_share_uses_none_of_the_rate_limits() {
    let mut lease = lease();
    renew(&mut lease, 0, 3_000, RenewalResponse { generation: 4, holds: false, share: 0.0 });
    assert_eq!(lease.rate_limit_share(ms(3_100)), Some(0.0));
}
