//! Records of the instance list: the order in which they apply, restarts of
//! instances, and upstreams that are retained after an outage.

use std::time::Duration;

use bamboodoor::router::instance_list::InstanceList;
use bamboodoor::router::instance_list::InstanceRecord;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;
use bamboodoor::router::upstreams::Upstreams;

use crate::harness::DESK;
use crate::harness::ms;
use crate::harness::upstream;

/// Time for which upstreams whose records vanished stay usable after an outage of
/// the list.
const GRACE: Duration = Duration::from_secs(2);

/// Instance list with a record of one upstream, `s1` at offset 5, and the upstreams
/// that its records update.
struct ListWithUpstreams {
    instance_list: InstanceList,
    upstreams: Upstreams,
}

impl ListWithUpstreams {
    fn new() -> Self {
        let mut list =
            Self { instance_list: InstanceList::new(GRACE), upstreams: Upstreams::default() };
        list.apply(ms(0), 5, present(upstream("s1", DESK, PoolRole::Service)));
        list
    }

    /// Applies a record of `s1`.
    fn apply(&mut self, now: Duration, offset: u64, state: InstanceState) {
        let record = InstanceRecord { id: "s1".into(), offset, state };
        self.instance_list.apply(now, record, &mut self.upstreams);
    }

    fn is_listed(&self) -> bool {
        self.upstreams.get_by_id("s1").is_some()
    }

    /// True if the upstream is listed and gets new work.
    fn is_usable(&self) -> bool {
        self.upstreams.get_by_id("s1").is_some_and(|upstream| !upstream.is_leaving())
    }
}

/// Record of `s1` in an incarnation that started at this time.
fn started_at(started_ms: u64) -> ListedUpstream {
    ListedUpstream { started_ms, ..upstream("s1", DESK, PoolRole::Service) }
}

/// The same, as that of an upstream that is leaving.
fn leaving(started_ms: u64) -> ListedUpstream {
    ListedUpstream { leaving: true, ..started_at(started_ms) }
}

fn present(listed: ListedUpstream) -> InstanceState {
    InstanceState::Present(listed)
}

#[test]
fn a_record_that_vanishes_removes_its_upstream_at_once() {
    let mut list = ListWithUpstreams::new();
    list.apply(ms(1_000), 6, InstanceState::Removed);
    assert!(!list.is_listed());
}

#[test]
fn an_older_record_changes_nothing() {
    let mut list = ListWithUpstreams::new();
    list.apply(ms(1_000), 4, InstanceState::Removed);
    assert!(list.is_listed());
}

#[test]
fn an_unreadable_record_removes_its_upstream() {
    let mut list = ListWithUpstreams::new();
    list.apply(ms(1_000), 6, InstanceState::Unreadable);
    assert!(!list.is_listed());
}

#[test]
fn an_upstream_whose_record_vanished_in_an_outage_is_retained_for_the_grace_period() {
    let mut list = ListWithUpstreams::new();
    assert!(list.instance_list.mark_unavailable());
    assert!(list.instance_list.mark_available(ms(5_000)));
    list.apply(ms(5_000), 6, InstanceState::Removed);
    assert!(list.is_listed());
    assert!(list.instance_list.remove_retained(ms(6_900), &mut list.upstreams).is_empty());
    assert_eq!(list.instance_list.remove_retained(ms(7_000), &mut list.upstreams), ["s1"]);
    assert!(!list.is_listed());
}

#[test]
fn a_retained_upstream_is_removed_when_it_does_not_respond() {
    let mut list = ListWithUpstreams::new();
    list.instance_list.mark_unavailable();
    list.instance_list.mark_available(ms(5_000));
    assert!(!list.instance_list.record_failure("s1", &mut list.upstreams));
    list.apply(ms(5_000), 6, InstanceState::Removed);
    assert!(list.instance_list.record_failure("s1", &mut list.upstreams));
    assert!(!list.is_listed());
}

#[test]
fn a_record_that_returns_within_the_grace_period_keeps_its_upstream() {
    let mut list = ListWithUpstreams::new();
    list.instance_list.mark_unavailable();
    list.instance_list.mark_available(ms(5_000));
    list.apply(ms(5_000), 6, InstanceState::Removed);
    list.apply(ms(6_000), 7, present(upstream("s1", DESK, PoolRole::Service)));
    list.instance_list.remove_retained(ms(9_000), &mut list.upstreams);
    assert!(list.is_listed());
}

#[test]
fn a_full_read_removes_upstreams_that_it_does_not_contain() {
    let mut list = ListWithUpstreams::new();
    assert_eq!(list.instance_list.apply_full_read(ms(1_000), &[], 9, &mut list.upstreams), 1);
    assert!(!list.is_listed());
}

#[test]
fn a_full_read_keeps_upstreams_that_were_listed_after_it_began() {
    let mut list = ListWithUpstreams::new();
    assert_eq!(list.instance_list.apply_full_read(ms(1_000), &[], 5, &mut list.upstreams), 0);
    assert!(list.is_listed());
}

#[test]
fn an_instance_that_restarts_under_its_id_is_a_new_upstream() {
    let mut list = ListWithUpstreams::new();
    let before = list.upstreams.service_upstreams(DESK).next().expect("the upstream is listed").0;
    let restarted = ListedUpstream { started_ms: 2, ..upstream("s1", DESK, PoolRole::Service) };
    list.apply(ms(1_000), 6, present(restarted));
    assert!(list.upstreams.get(before).is_none());
    assert!(list.is_listed());
}

macro_rules! usable_after_records {
    ($($name:ident: [$($record:expr),*] => $usable:literal;)*) => {$(
        /// Guards against new work for an upstream that has left, brought back by a record that the
        /// store carried out late.
        #[test]
        fn $name() {
            let mut list = ListWithUpstreams::new();
            let mut offset = 5;
            $(
                offset += 1;
                list.apply(ms(100 * offset), offset, $record);
            )*
            assert_eq!(list.is_usable(), $usable);
        }
    )*};
}

usable_after_records! {
    a_late_heartbeat_does_not_undo_a_drain: [
        present(leaving(1)), present(started_at(1))
    ] => false;
    late_heartbeats_do_not_undo_a_drain: [
        present(leaving(1)), present(started_at(1)), present(started_at(1))
    ] => false;
    a_late_heartbeat_does_not_undo_a_drain_that_ended: [
        present(leaving(1)), InstanceState::Removed, present(started_at(1)), present(started_at(1))
    ] => false;
    a_late_heartbeat_between_two_reports_of_a_drain_changes_nothing: [
        present(leaving(1)), present(started_at(1)), present(leaving(1))
    ] => false;
    a_late_heartbeat_after_a_removal_is_not_used: [
        InstanceState::Removed, present(started_at(1))
    ] => false;
    a_late_heartbeat_that_expires_is_never_used: [
        InstanceState::Removed, present(started_at(1)), InstanceState::Removed,
        present(started_at(1))
    ] => false;
    a_removed_upstream_that_goes_on_writing_is_used: [
        InstanceState::Removed, present(started_at(1)), present(started_at(1))
    ] => true;
    a_restart_after_a_removal_is_used: [InstanceState::Removed, present(started_at(2))] => true;
    a_restart_after_a_late_heartbeat_is_used: [
        InstanceState::Removed, present(started_at(1)), present(started_at(2))
    ] => true;
    a_late_heartbeat_from_before_a_restart_does_not_undo_a_drain: [
        present(leaving(2)), present(started_at(1))
    ] => false;
    a_late_heartbeat_from_before_a_restart_that_was_removed_is_not_used: [
        present(started_at(2)), InstanceState::Removed, present(started_at(1))
    ] => false;
    a_late_drain_from_before_a_restart_changes_nothing: [
        present(started_at(2)), present(leaving(1))
    ] => true;
    a_restart_with_an_earlier_start_time_is_used_from_its_second_record_on: [
        present(started_at(2)), present(leaving(2)), present(started_at(1)), present(started_at(1))
    ] => true;
    a_restart_after_a_drain_is_used: [present(leaving(1)), present(started_at(2))] => true;
    a_restart_after_a_drain_and_a_late_heartbeat_is_used: [
        present(leaving(1)), present(started_at(1)), present(started_at(2))
    ] => true;
}

/// Guards against an upstream that is replaced by its own past under the same id.
#[test]
fn a_late_heartbeat_from_before_a_restart_keeps_the_upstream() {
    let mut list = ListWithUpstreams::new();
    list.apply(ms(1_000), 6, present(started_at(2)));
    list.apply(ms(1_100), 7, present(started_at(1)));
    let upstream = list.upstreams.get_by_id("s1").expect("the upstream is listed");
    assert_eq!(upstream.listed.started_ms, 2);
}

/// A record that stands for longer than three heartbeats is that of an upstream that lives.
#[test]
fn a_removed_upstream_whose_record_stands_is_used() {
    let mut list = ListWithUpstreams::new();
    list.apply(ms(1_000), 6, InstanceState::Removed);
    list.apply(ms(1_100), 7, present(started_at(1)));
    assert!(list.instance_list.apply_held_back(ms(7_000), &mut list.upstreams).is_empty());
    assert_eq!(list.instance_list.apply_held_back(ms(7_100), &mut list.upstreams), ["s1"]);
    assert!(list.is_usable());
}

/// Records expire while the store is away, and upstreams that live write theirs again.
#[test]
fn an_upstream_that_lapsed_after_an_outage_is_used_from_its_first_record_on() {
    let mut list = ListWithUpstreams::new();
    list.instance_list.mark_unavailable();
    list.instance_list.mark_available(ms(5_000));
    list.apply(ms(5_000), 6, InstanceState::Removed);
    assert_eq!(list.instance_list.remove_retained(ms(7_000), &mut list.upstreams), ["s1"]);
    list.apply(ms(7_100), 7, present(started_at(1)));
    assert!(list.is_usable());
}
