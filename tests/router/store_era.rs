//! The store comes back from an older copy, in a new era: what starts over, and what stays.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::allowance::AssignedShare;
use bamboodoor::router::configuration::Configuration;
use bamboodoor::router::follow::Cursor;
use bamboodoor::router::follow::LogPosition;
use bamboodoor::router::follow::Read;
use bamboodoor::router::instance_list::InstanceRecord;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::lease::Lease;
use bamboodoor::router::lease::LeaseSettings;
use bamboodoor::router::lease::RenewalResponse;
use bamboodoor::router::store_era::StoreEra;
use bamboodoor::router::store_era::StoreEraChange;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::BUDGET_SHARE;
use crate::harness::DESK;
use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_configuration;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::upstream;

/// Time within which orders of two holders count as taking turns.
const HOLDER_CHANGE: Duration = Duration::from_millis(3_000);

fn risen(before: u64, after: u64, origins: usize) -> StoreEraChange {
    StoreEraChange::Risen { before: StoreEra(before), after: StoreEra(after), origins }
}

/// Router that knows era 1.
fn harness() -> Harness {
    let mut harness = Harness::new(default_upstreams());
    assert_eq!(harness.router.record_store_era(harness.now, StoreEra(1)), StoreEraChange::None);
    harness
}

/// Names the era in a response of the store.
fn name_era(harness: &mut Harness, era: u64) -> StoreEraChange {
    harness.router.record_store_era(harness.now, StoreEra(era))
}

/// Applies a record of the plain upstream `s1` at an offset.
fn apply(harness: &mut Harness, offset: u64, state: InstanceState) {
    let record = InstanceRecord { id: "s1".into(), offset, state };
    let now = harness.now;
    let (instance_list, upstreams) = harness.router.instance_list();
    instance_list.apply(now, record, upstreams);
}

/// Has the list apply what it held back, after this time.
fn apply_held_back(harness: &mut Harness, after: Duration) -> Vec<String> {
    harness.now += after;
    let now = harness.now;
    let (list, upstreams) = harness.router.instance_list();
    list.apply_held_back(now, upstreams).iter().map(ToString::to_string).collect()
}

fn s1() -> ListedUpstream {
    upstream("s1", DESK, PoolRole::Service)
}

fn is_usable(harness: &Harness, id: &str) -> bool {
    harness.router.upstreams().get_by_id(id).is_some_and(|upstream| !upstream.is_leaving())
}

#[test]
fn each_rise_of_the_era_starts_over_and_a_fall_is_ignored() {
    let mut harness = harness();
    for era in [2, 3, 4, 9] {
        let before = harness.router.store_era().expect("an era is known").0;
        assert_eq!(name_era(&mut harness, era), risen(before, era, 0));
        assert_eq!(name_era(&mut harness, era), StoreEraChange::None);
    }
    let fell = StoreEraChange::Fell { known: StoreEra(9), named: StoreEra(8) };
    assert_eq!(name_era(&mut harness, 8), fell);
    assert_eq!(harness.router.store_era(), Some(StoreEra(9)));
}

#[test]
fn the_configuration_in_force_outlasts_a_rise_of_the_era() {
    let mut harness = harness();
    name_era(&mut harness, 2);
    let version = |version| Configuration { version, ..default_configuration() };
    assert!(!harness.router.configure(version(6)));
    assert!(!harness.router.configure(version(7)));
    assert!(harness.router.configure(version(8)));
}

#[test]
fn shares_are_dropped_or_small_until_the_group_has_answered_and_never_rise() {
    let mut harness = harness();
    assert_eq!(harness.router.budget_share(harness.now), BUDGET_SHARE);
    harness.router.set_rate_limit_share(harness.now, 0.25);
    name_era(&mut harness, 2);
    assert_eq!(harness.router.budget_share(harness.now), 0.0);
    assert_eq!(harness.router.rate_limit_share(), 0.125);
    let assigned = AssignedShare { share: 0.01, valid_until: Duration::MAX };
    harness.router.assign_budget_share(harness.now, assigned);
    harness.router.set_rate_limit_share(harness.now, 0.0);
    name_era(&mut harness, 3);
    assert_eq!(harness.router.budget_share(harness.now), 0.0);
    assert_eq!(harness.router.rate_limit_share(), 0.0);
}

#[test]
fn records_at_offsets_that_are_given_out_again_are_applied() {
    let mut harness = harness();
    apply(&mut harness, 50, InstanceState::Present(s1()));
    name_era(&mut harness, 2);
    apply(&mut harness, 3, InstanceState::Present(ListedUpstream { leaving: true, ..s1() }));
    assert!(!is_usable(&harness, "s1"));
}

#[test]
fn an_upstream_that_the_copy_lacks_is_retained_for_the_grace_period() {
    let mut harness = harness();
    name_era(&mut harness, 2);
    let now = harness.now;
    let (list, upstreams) = harness.router.instance_list();
    let present = ["p1", "p2", "d1", "d2", "s2"].map(Into::into);
    assert_eq!(list.apply_full_read(now, &present, 2, upstreams), 0);
    assert!(list.remove_retained(now + ms(1_900), upstreams).is_empty());
    assert_eq!(list.remove_retained(now + ms(2_000), upstreams), ["s1"]);
}

#[test]
fn an_upstream_that_writes_its_record_again_within_the_grace_period_stays() {
    let mut harness = harness();
    name_era(&mut harness, 2);
    let now = harness.now;
    let (list, upstreams) = harness.router.instance_list();
    list.apply_full_read(now, &["p1", "p2", "d1", "d2", "s2"].map(Into::into), 2, upstreams);
    harness.now += ms(1_500);
    apply(&mut harness, 2, InstanceState::Present(s1()));
    let (list, upstreams) = harness.router.instance_list();
    assert!(list.remove_retained(now + ms(9_000), upstreams).is_empty());
    assert!(is_usable(&harness, "s1"));
}

#[test]
fn a_leaving_upstream_that_the_copy_lists_as_ready_stays_leaving() {
    let mut harness = harness();
    apply(&mut harness, 50, InstanceState::Present(ListedUpstream { leaving: true, ..s1() }));
    name_era(&mut harness, 2);
    apply(&mut harness, 3, InstanceState::Present(s1()));
    assert!(!is_usable(&harness, "s1"));
    // A restarted instance is another one.
    apply(&mut harness, 4, InstanceState::Present(ListedUpstream { started_ms: 2, ..s1() }));
    assert!(is_usable(&harness, "s1"));
}

#[test]
fn a_leaving_upstream_whose_removal_the_copy_lacks_stays_leaving() {
    let mut harness = harness();
    apply(&mut harness, 50, InstanceState::Present(ListedUpstream { leaving: true, ..s1() }));
    apply(&mut harness, 51, InstanceState::Removed);
    name_era(&mut harness, 2);
    apply(&mut harness, 3, InstanceState::Present(s1()));
    assert!(!is_usable(&harness, "s1"));
}

#[test]
fn origins_of_own_streams_are_appended_again_while_they_are_kept() {
    let mut harness = harness();
    let d2 = upstream("d2", ENGINES, PoolRole::Decode);
    harness.list_upstream(ListedUpstream { version: "v2".into(), ..d2 });
    let (key, _) = harness.start_decode("/resumable/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    harness.router.record_event(harness.now, key);
    let sent = harness.router.take_unsent_origins();
    assert_eq!(sent.len(), 1);
    // This entry has read it from the log of the store since.
    harness.router.record_origins(harness.now, sent.clone());
    for era in [2, 3] {
        assert_eq!(name_era(&mut harness, era), risen(era - 1, era, 1));
        assert_eq!(harness.router.take_unsent_origins(), sent);
    }
    harness.now += ms(61_000);
    assert_eq!(name_era(&mut harness, 4), risen(3, 4, 0));
}

#[test]
fn a_feed_is_read_in_full_again_in_a_new_era() {
    let mut cursor = Cursor::default();
    assert!(!cursor.enter_era(Some(StoreEra(1))));
    cursor.record_page(Vec::new(), false, 3);
    assert!(!cursor.enter_era(Some(StoreEra(1))));
    assert_eq!(*cursor.next(), Read::Changes { from: 3 });
    assert!(cursor.enter_era(Some(StoreEra(2))));
    assert_eq!(*cursor.next(), Read::Newest { after: None });
    assert!(!cursor.enter_era(Some(StoreEra(2))));
}

#[test]
fn the_log_of_origins_is_read_from_its_beginning_again_in_a_new_era() {
    let mut position = LogPosition::default();
    assert!(!position.enter_era(Some(StoreEra(1))));
    position.next_offset = 7;
    assert!(position.enter_era(Some(StoreEra(2))));
    assert_eq!(position.next_offset, 0);
}

/// Lease of one entry that knows era 1.
fn lease() -> Lease {
    let mut lease = Lease::new(LeaseSettings::default());
    assert!(!lease.enter_era(ms(0), Some(StoreEra(1))));
    lease
}

/// Renews the lease, which the store grants with this generation, each second.
fn renew(lease: &mut Lease, from: u64, until: u64, generation: u64) {
    for at in (from..=until).step_by(1_000) {
        let response = RenewalResponse { generation, holds: true, share: 0.25 };
        lease.record_renewal(ms(at), ms(at + 5), response);
    }
}

#[test]
fn the_fencing_token_rises_when_generations_are_given_out_again() {
    let mut lease = lease();
    renew(&mut lease, 0, 8_000, 40);
    let before = lease.fencing_token(ms(8_100)).expect("orders may be given");
    assert!(lease.enter_era(ms(8_500), Some(StoreEra(2))));
    assert_eq!(lease.fencing_token(ms(8_600)), None);
    assert_eq!(lease.generation(), 0);
    renew(&mut lease, 9_000, 20_000, 3);
    let after = lease.fencing_token(ms(20_100)).expect("orders may be given");
    assert!(after > before, "{after} after {before}");
}

#[test]
fn a_generation_above_those_of_an_era_has_no_fencing_token() {
    let mut lease = lease();
    renew(&mut lease, 0, 8_000, 1_000_000);
    assert_eq!(lease.fencing_token(ms(8_100)), None);
}

#[test]
fn shares_lapse_in_a_new_era_until_the_group_has_answered() {
    let mut lease = lease();
    renew(&mut lease, 0, 8_000, 40);
    lease.enter_era(ms(8_500), Some(StoreEra(2)));
    assert_eq!(lease.share(ms(8_500)), None);
    assert_eq!(lease.rate_limit_share(ms(8_500)), Some(0.125));
    renew(&mut lease, 9_000, 9_000, 3);
    assert_eq!(lease.share(ms(9_100)), Some(0.25));
}

/// The former holder does not reach the store any more, so it does not know of the new era.
#[test]
fn holders_of_two_eras_do_not_give_orders_in_turn() {
    let rewound_at = 10_000;
    let (mut former, mut next) = (lease(), lease());
    renew(&mut former, 0, rewound_at, 40);
    next.enter_era(ms(rewound_at), Some(StoreEra(2)));
    renew(&mut next, rewound_at, 30_000, 39);
    let last = (0..30_000).rev().find(|&at| former.fencing_token(ms(at)).is_some());
    let first = (rewound_at..30_000).find(|&at| next.fencing_token(ms(at)).is_some());
    let (last, first) = (last.expect("it gave orders"), first.expect("it gives orders"));
    assert!(ms(first - last) >= HOLDER_CHANGE, "{last} ms, then {first} ms");
}

/// The instance never said that it is leaving; its record was removed.
#[test]
fn an_upstream_whose_removal_the_copy_lacks_is_not_listed_at_once() {
    let mut harness = harness();
    apply(&mut harness, 51, InstanceState::Removed);
    name_era(&mut harness, 2);
    apply(&mut harness, 3, InstanceState::Present(s1()));
    assert!(!is_usable(&harness, "s1"));
    // Its record expires again.
    harness.now += ms(4_000);
    apply(&mut harness, 9, InstanceState::Removed);
    assert!(apply_held_back(&mut harness, ms(20_000)).is_empty());
    assert!(!is_usable(&harness, "s1"));
}

#[test]
fn a_removed_upstream_that_is_listed_for_long_in_a_new_era_is_used() {
    let mut harness = harness();
    apply(&mut harness, 51, InstanceState::Removed);
    name_era(&mut harness, 2);
    apply(&mut harness, 3, InstanceState::Present(s1()));
    assert!(apply_held_back(&mut harness, ms(5_900)).is_empty());
    assert_eq!(apply_held_back(&mut harness, ms(200)), ["s1"]);
    assert!(is_usable(&harness, "s1"));
}

#[test]
fn a_removed_upstream_that_registers_in_the_new_era_is_used_at_once() {
    let mut harness = harness();
    apply(&mut harness, 51, InstanceState::Removed);
    name_era(&mut harness, 2);
    apply(&mut harness, 3, InstanceState::Present(s1()));
    apply(&mut harness, 7, InstanceState::Present(s1()));
    assert!(is_usable(&harness, "s1"));
}

/// Its first record may be one from before the removal that the store carried out late.
#[test]
fn a_removed_upstream_that_comes_back_in_the_same_era_is_used_from_its_second_record_on() {
    let mut harness = harness();
    apply(&mut harness, 51, InstanceState::Removed);
    apply(&mut harness, 52, InstanceState::Present(s1()));
    assert!(!is_usable(&harness, "s1"));
    apply(&mut harness, 53, InstanceState::Present(s1()));
    assert!(is_usable(&harness, "s1"));
}
