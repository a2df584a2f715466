//! The fold of the instance list: order, restarts, and entries that lapse.

use std::time::Duration;

use bamboodoor::router::fleet::Fleet;
use bamboodoor::router::fleet::ListedUpstream;
use bamboodoor::router::fleet::PoolRole;
use bamboodoor::router::instance_list::InstanceList;
use bamboodoor::router::instance_list::InstanceRecord;
use bamboodoor::router::instance_list::InstanceState;

use crate::scene::DESK;
use crate::scene::ms;
use crate::scene::upstream;

const GRACE: Duration = Duration::from_secs(2);

struct List {
    instance_list: InstanceList,
    fleet: Fleet,
}

impl List {
    fn new() -> Self {
        let mut list = Self { instance_list: InstanceList::new(GRACE), fleet: Fleet::default() };
        list.apply(ms(0), 5, present(upstream("s1", DESK, PoolRole::Service)));
        list
    }

    fn apply(&mut self, now: Duration, offset: u64, entry: InstanceState) {
        let record = InstanceRecord { id: "s1".into(), offset, state: entry };
        self.instance_list.apply(now, record, &mut self.fleet);
    }

    fn is_listed(&self) -> bool {
        self.fleet.get_by_id("s1").is_some()
    }
}

fn present(listed: ListedUpstream) -> InstanceState {
    InstanceState::Present(listed)
}

#[test]
fn a_removed_entry_is_gone_at_once() {
    let mut list = List::new();
    list.apply(ms(1_000), 6, InstanceState::Removed);
    assert!(!list.is_listed());
}

#[test]
fn an_older_record_changes_nothing() {
    let mut list = List::new();
    list.apply(ms(1_000), 4, InstanceState::Removed);
    assert!(list.is_listed());
}

#[test]
fn an_unreadable_entry_names_no_upstream() {
    let mut list = List::new();
    list.apply(ms(1_000), 6, InstanceState::Unreadable);
    assert!(!list.is_listed());
}

#[test]
fn what_lapsed_while_the_list_was_away_stays_for_the_grace() {
    let mut list = List::new();
    assert!(list.instance_list.mark_unavailable());
    assert!(list.instance_list.mark_available(ms(5_000)));
    list.apply(ms(5_000), 6, InstanceState::Removed);
    assert!(list.is_listed());
    assert!(list.instance_list.expire(ms(6_900), &mut list.fleet).is_empty());
    assert_eq!(list.instance_list.expire(ms(7_000), &mut list.fleet), ["s1"]);
    assert!(!list.is_listed());
}

#[test]
fn what_lapsed_and_does_not_answer_is_gone() {
    let mut list = List::new();
    list.instance_list.mark_unavailable();
    list.instance_list.mark_available(ms(5_000));
    assert!(!list.instance_list.record_failure("s1", &mut list.fleet));
    list.apply(ms(5_000), 6, InstanceState::Removed);
    assert!(list.instance_list.record_failure("s1", &mut list.fleet));
    assert!(!list.is_listed());
}

#[test]
fn what_comes_back_within_the_grace_never_went() {
    let mut list = List::new();
    list.instance_list.mark_unavailable();
    list.instance_list.mark_available(ms(5_000));
    list.apply(ms(5_000), 6, InstanceState::Removed);
    list.apply(ms(6_000), 7, present(upstream("s1", DESK, PoolRole::Service)));
    list.instance_list.expire(ms(9_000), &mut list.fleet);
    assert!(list.is_listed());
}

#[test]
fn a_whole_reading_removes_what_it_does_not_name() {
    let mut list = List::new();
    assert_eq!(list.instance_list.apply_full_read(ms(1_000), &[], 9, &mut list.fleet), 1);
    assert!(!list.is_listed());
}

#[test]
fn a_whole_reading_does_not_remove_what_came_after_it_began() {
    let mut list = List::new();
    assert_eq!(list.instance_list.apply_full_read(ms(1_000), &[], 5, &mut list.fleet), 0);
    assert!(list.is_listed());
}

#[test]
fn a_restart_under_the_same_id_is_a_new_upstream() {
    let mut list = List::new();
    let before = list.fleet.service_upstreams(DESK).next().expect("is listed").0;
    let again = ListedUpstream { started_ms: 2, ..upstream("s1", DESK, PoolRole::Service) };
    list.apply(ms(1_000), 6, present(again));
    assert!(list.fleet.get(before).is_none());
    assert!(list.is_listed());
}
