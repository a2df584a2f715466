//! Time limits on connections of callers, across changes of the configuration.

use std::time::Duration;

use bamboodoor::router::configuration::CallerLimits;
use bamboodoor::router::connection_limits::CallerWait;
use bamboodoor::router::connection_limits::ConnectionLimits;

fn limits(idle_s: u64, header_s: u64) -> CallerLimits {
    CallerLimits {
        idle_timeout: Duration::from_secs(idle_s),
        header_timeout: Duration::from_secs(header_s),
        ..CallerLimits::default()
    }
}

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn the_longest_limit_in_force_during_the_wait_counts() {
    let mut connections = ConnectionLimits::default();
    connections.change(at(0), limits(10, 3));
    assert_eq!(connections.close_at(CallerWait::NextRequest, at(1)), at(11));
    assert_eq!(connections.close_at(CallerWait::Head, at(1)), at(4));
    connections.change(at(2), limits(40, 1));
    connections.change(at(3), limits(5, 2));
    assert_eq!(connections.close_at(CallerWait::NextRequest, at(1)), at(41));
    assert_eq!(connections.close_at(CallerWait::Head, at(1)), at(4));
    assert_eq!(connections.close_at(CallerWait::NextRequest, at(4)), at(9));
    assert_eq!(connections.close_at(CallerWait::Head, at(4)), at(6));
}

#[test]
fn a_limit_that_is_set_again_does_not_end_the_effect_of_a_longer_one() {
    let mut connections = ConnectionLimits::default();
    connections.change(at(0), limits(40, 3));
    for second in 1..=20 {
        connections.change(at(second), limits(5 + second % 2, 3));
    }
    assert_eq!(connections.close_at(CallerWait::NextRequest, at(1)), at(41));
    assert_eq!(connections.close_at(CallerWait::NextRequest, at(20)), at(26));
}

#[test]
fn a_caller_may_leave_its_response_unread_for_the_longest_idle_timeout() {
    let mut connections = ConnectionLimits::default();
    connections.change(at(0), limits(10, 3));
    assert_eq!(connections.close_at(CallerWait::Read, at(1)), at(11));
    connections.change(at(2), limits(5, 30));
    assert_eq!(connections.close_at(CallerWait::Read, at(1)), at(11));
    assert_eq!(connections.close_at(CallerWait::Read, at(3)), at(8));
}
