//! Reads of the feeds of the platform's store: their timing and their order.

use bamboodoor::router::follow::Cursor;
use bamboodoor::router::follow::Feed;
use bamboodoor::router::follow::FollowBounds;
use bamboodoor::router::follow::FullRead;
use bamboodoor::router::follow::Read;
use bamboodoor::router::follow::ReadTiming;

use crate::harness::ms;

#[test]
fn the_instance_list_is_read_twice_within_the_drain_bound() {
    for drain in [2_000, 3_000, 10_000].map(ms) {
        let bounds = FollowBounds { drain, ..FollowBounds::default() };
        let timing = ReadTiming::of(Feed::Upstreams, &bounds);
        assert!(timing.interval * 2 < drain);
    }
}

#[test]
fn an_unresponsive_read_of_the_configuration_ends_within_one_and_a_half_apply_bounds() {
    let bounds = FollowBounds::default();
    let timing = ReadTiming::of(Feed::Configuration, &bounds);
    assert!(timing.long_poll < bounds.apply);
    assert!(timing.response_timeout < bounds.apply / 2);
}

#[test]
fn after_the_last_page_the_changes_since_the_first_page_are_read() {
    let mut cursor = Cursor::default();
    let first = cursor.record_page(vec!["a".into(), "b".into()], true, 7);
    assert_eq!(first, FullRead::Unfinished);
    assert_eq!(*cursor.next(), Read::Newest { after: Some("b".into()) });
    let complete = cursor.record_page(vec!["c".into()], false, 12);
    let keys = vec!["a".into(), "b".into(), "c".into()];
    assert_eq!(complete, FullRead::Complete { keys, end_offset: 7 });
    // Pages are no snapshot, so changes made between them are read again.
    assert_eq!(*cursor.next(), Read::Changes { from: 7 });
}

macro_rules! full_reads_end_at_pages_without_progress {
    ($($name:ident: $page:expr;)*) => {$(
        /// Guards against a full read that asks for the same page for ever, and never gets to the
        /// changes.
        #[test]
        fn $name() {
            let mut cursor = Cursor::default();
            cursor.record_page(vec!["a".into(), "b\u{FFFD}".into()], true, 7);
            assert_eq!(cursor.record_page($page, true, 8), FullRead::Stuck);
            assert_eq!(*cursor.next(), Read::Changes { from: 7 });
        }
    )*};
}

full_reads_end_at_pages_without_progress! {
    a_full_read_ends_at_the_page_that_it_had_before: vec!["b\u{FFFD}".into()];
    a_full_read_ends_at_an_empty_page: Vec::new();
}

#[test]
fn an_empty_first_page_that_announces_more_ends_the_full_read() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.record_page(Vec::new(), true, 7), FullRead::Stuck);
}

#[test]
fn after_a_lost_history_the_feed_is_read_in_full_again() {
    let mut cursor = Cursor::default();
    cursor.record_page(Vec::new(), false, 3);
    cursor.record_changes(9);
    assert_eq!(*cursor.next(), Read::Changes { from: 9 });
    cursor.restart();
    assert_eq!(*cursor.next(), Read::Newest { after: None });
}
