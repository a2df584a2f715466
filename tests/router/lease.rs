//! The lease of the entry that gives orders: at most one holder orders.

use std::time::Duration;

use bamboodoor::router::lease::Lease;
use bamboodoor::router::lease::LeaseSettings;
use bamboodoor::router::lease::RenewalResponse;

use crate::scene::ms;

const TAKEOVER_DELAY: Duration = Duration::from_millis(3_200);

fn lease() -> Lease {
    Lease::new(LeaseSettings {
        ttl: ms(4_000),
        renewal_interval: ms(1_000),
        takeover_delay: TAKEOVER_DELAY,
        safety_margin: ms(1_000),
    })
}

fn granted(generation: u64) -> RenewalResponse {
    RenewalResponse { generation, holds: true, share: 0.25 }
}

/// Renews once a second from `from` to `until`.
fn renew(lease: &mut Lease, from: u64, until: u64, granted: RenewalResponse) {
    for requested_at in (from..=until).step_by(1_000) {
        lease.record_renewal(ms(requested_at), ms(requested_at + 5), granted);
    }
}

#[test]
fn a_new_holder_lets_the_time_of_the_one_before_run_out() {
    let mut lease = lease();
    renew(&mut lease, 0, 3_000, granted(4));
    assert_eq!(lease.fencing_token(ms(3_100)), None);
    renew(&mut lease, 4_000, 4_000, granted(4));
    assert_eq!(lease.fencing_token(ms(4_100)), Some(4));
}

#[test]
fn without_renewals_no_order_is_begun_before_the_store_deals_the_lease_anew() {
    let mut lease = lease();
    renew(&mut lease, 0, 5_000, granted(4));
    assert_eq!(lease.fencing_token(ms(7_900)), Some(4));
    assert_eq!(lease.fencing_token(ms(8_000)), None);
}

#[test]
fn a_holder_that_was_suspended_starts_anew() {
    let mut lease = lease();
    renew(&mut lease, 0, 5_000, granted(4));
    renew(&mut lease, 20_000, 22_000, granted(4));
    assert_eq!(lease.fencing_token(ms(22_100)), None);
    renew(&mut lease, 23_000, 24_000, granted(4));
    assert_eq!(lease.fencing_token(ms(24_100)), Some(4));
}

#[test]
fn whoever_loses_the_lease_stops_at_once() {
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
fn the_token_never_goes_back() {
    let mut lease = lease();
    renew(&mut lease, 0, 5_000, granted(6));
    renew(&mut lease, 6_000, 6_000, granted(5));
    assert_eq!(lease.fencing_token(ms(6_100)), Some(6));
}

#[test]
fn two_members_never_order_in_the_same_time() {
    // The store deals the lease to the second when the first has been silent
    // for the whole time to live.
    let (mut first, mut second) = (lease(), lease());
    renew(&mut first, 0, 5_000, granted(1));
    let dealt = 9_000;
    renew(&mut second, dealt, dealt + 6_000, granted(2));
    let last = (0..20_000).filter(|&now| first.fencing_token(ms(now)).is_some()).max();
    let next = (dealt..20_000).find(|&now| second.fencing_token(ms(now)).is_some());
    let (last, next) = (last.expect("did order"), next.expect("orders"));
    assert!(next - last >= 3_000, "{last} and {next}");
}

#[test]
fn a_share_that_is_not_renewed_runs_out() {
    let mut lease = lease();
    lease.record_renewal(
        ms(1_000),
        ms(1_005),
        RenewalResponse { generation: 5, holds: false, share: 0.25 },
    );
    assert_eq!(lease.share(ms(4_900)), Some(0.25));
    assert_eq!(lease.share(ms(5_000)), None);
}
