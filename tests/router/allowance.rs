//! Which part of the allowance an entry may use: what it has had for long enough.

use std::time::Duration;

use bamboodoor::router::allowance::AssignedShare;
use bamboodoor::router::allowance::ShareHistory;

use crate::harness::ms;

const SETTLING: Duration = Duration::from_secs(15);
const TTL: Duration = Duration::from_secs(4);

fn history() -> ShareHistory {
    ShareHistory::new(SETTLING, false)
}

/// Assigns a share once a second, from `from_s` to `until_s`.
fn assign(history: &mut ShareHistory, from_s: u64, until_s: u64, share: f64) {
    for at in (from_s..=until_s).map(Duration::from_secs) {
        history.assign(at, AssignedShare { share, valid_until: at + TTL });
    }
}

#[test]
fn a_share_is_used_once_it_has_been_had_for_the_settling_time() {
    let mut history = history();
    assign(&mut history, 10, 25, 0.25);
    assert_eq!(history.usable(ms(24_999)), 0.0);
    assert_eq!(history.usable(ms(25_000)), 0.25);
}

/// Members that join one after the other get smaller shares, and the last ones none at first.
#[test]
fn at_the_first_start_the_share_is_used_that_an_entry_has_once_all_have_joined() {
    for first in [1.0, 0.0] {
        let mut history = ShareHistory::new(SETTLING, true);
        assign(&mut history, 0, 1, first);
        assign(&mut history, 2, 4, 0.25);
        assert_eq!(history.usable(ms(3_999)), 0.0);
        assert_eq!(history.usable(ms(4_000)), 0.25);
        // A share that grows afterwards has been used by others.
        assign(&mut history, 5, 10, 0.5);
        assert_eq!(history.usable(ms(10_000)), 0.25);
    }
}

#[test]
fn after_another_start_there_is_no_exception() {
    let mut history = history();
    assign(&mut history, 0, 14, 0.25);
    assert_eq!(history.usable(ms(14_999)), 0.0);
}

#[test]
fn a_share_that_grows_is_used_as_far_as_it_was_had_before() {
    let mut history = history();
    assign(&mut history, 10, 40, 0.25);
    assign(&mut history, 41, 60, 0.5);
    assert_eq!(history.usable(ms(55_999)), 0.25);
    assert_eq!(history.usable(ms(56_000)), 0.5);
}

#[test]
fn a_share_that_shrinks_is_used_no_longer() {
    let mut history = history();
    assign(&mut history, 10, 40, 0.25);
    assign(&mut history, 41, 41, 0.125);
    assert_eq!(history.usable(ms(41_000)), 0.125);
}

#[test]
fn a_share_that_was_smaller_for_a_moment_settles_again() {
    let mut history = history();
    assign(&mut history, 10, 40, 0.25);
    assign(&mut history, 41, 41, 0.125);
    assign(&mut history, 42, 60, 0.25);
    assert_eq!(history.usable(ms(56_999)), 0.125);
    assert_eq!(history.usable(ms(57_000)), 0.25);
}

#[test]
fn a_share_that_was_not_renewed_in_time_settles_again() {
    let mut history = history();
    assign(&mut history, 10, 40, 0.25);
    assert_eq!(history.usable(ms(43_999)), 0.25);
    assert_eq!(history.usable(ms(44_000)), 0.0);
    assign(&mut history, 46, 61, 0.25);
    assert_eq!(history.usable(ms(60_999)), 0.0);
    assert_eq!(history.usable(ms(61_000)), 0.25);
}

#[test]
fn a_share_that_is_dropped_settles_again() {
    let mut history = history();
    assign(&mut history, 10, 40, 0.25);
    history.lapse(ms(40_500));
    assert_eq!(history.usable(ms(40_500)), 0.0);
    assign(&mut history, 41, 56, 0.25);
    assert_eq!(history.usable(ms(55_999)), 0.0);
    assert_eq!(history.usable(ms(56_000)), 0.25);
}

#[test]
fn a_share_that_is_no_longer_valid_is_not_assigned_again() {
    let mut history = history();
    assign(&mut history, 10, 40, 0.25);
    history.assign(ms(50_000), AssignedShare { share: 0.25, valid_until: ms(44_000) });
    assert_eq!(history.usable(ms(50_000)), 0.0);
}
