//! How the feeds of the platform's store are followed.

use bamboodoor::router::follow::Cursor;
use bamboodoor::router::follow::Feed;
use bamboodoor::router::follow::FollowBounds;
use bamboodoor::router::follow::Read;
use bamboodoor::router::follow::ReadTiming;

use crate::scene::ms;

#[test]
fn the_list_is_read_twice_within_the_drain_bound() {
    for drain in [2_000, 3_000, 10_000].map(ms) {
        let bounds = FollowBounds { drain, ..FollowBounds::default() };
        let timing = ReadTiming::of(Feed::Upstreams, &bounds);
        assert!(timing.interval * 2 < drain);
    }
}

#[test]
fn a_silent_read_of_the_configuration_ends_near_the_apply_bound() {
    let bounds = FollowBounds::default();
    let timing = ReadTiming::of(Feed::Configuration, &bounds);
    assert!(timing.long_poll < bounds.apply);
    assert!(timing.response_timeout < bounds.apply / 2);
}

#[test]
fn pages_are_read_one_after_the_other_and_then_the_changes_since_the_first() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.record_page(vec!["a".into(), "b".into()], true, 7), None);
    assert_eq!(*cursor.next(), Read::Newest { after: Some("b".into()) });
    let whole = cursor.record_page(vec!["c".into()], false, 12);
    assert_eq!(whole, Some((vec!["a".into(), "b".into(), "c".into()], 7)));
    // What came between the pages is read again: pages are no snapshot.
    assert_eq!(*cursor.next(), Read::Changes { from: 7 });
}

#[test]
fn a_lost_history_is_read_whole() {
    let mut cursor = Cursor::default();
    cursor.record_page(Vec::new(), false, 3);
    cursor.record_changes(9);
    assert_eq!(*cursor.next(), Read::Changes { from: 9 });
    cursor.restart();
    assert_eq!(*cursor.next(), Read::Newest { after: None });
}
