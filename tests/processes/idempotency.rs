//! Calls that must not run twice, and idempotent calls, which are retried. The
//! stand-in service records which calls ran.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::eventually;

/// Path at which the manifest declares POST calls to be not idempotent.
const BOOKING: &str = "/services/desk/bookings";

/// Returns the reason and the outcome in the body of a refusal.
fn reason_and_outcome(body: &str) -> (String, String) {
    let json: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let text = |field: &str| json[field].as_str().unwrap_or_default().to_string();
    (text("reason"), text("outcome"))
}

async fn start_two_entries() -> Fleet {
    Fleet::start(FleetConfig { entries: 2, services: 2, ..FleetConfig::default() }).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_response_is_lost_is_not_retried_and_has_an_unknown_outcome() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.services[0].lose_next_response.set(true);
    let (status, body) = fleet.caller(0).call("POST", BOOKING, None, "slot 9").await;
    assert_eq!(status, 502);
    assert_eq!(reason_and_outcome(&body), ("upstream-failed".to_string(), "unknown".to_string()));
    assert_eq!(fleet.calls_run(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_whose_response_is_lost_is_retried() {
    let fleet = start_two_entries().await;
    fleet.services[0].lose_next_response.set(true);
    fleet.services[1].lose_next_response.set(true);
    let (status, _) = fleet.caller(0).call("GET", "/services/desk/reels", None, "").await;
    assert_eq!(
        (status, fleet.calls_run()),
        (200, 3),
        "status and calls run: each service loses one response, the third attempt succeeds"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_with_the_same_key_at_two_entries_run_once() {
    let fleet = start_two_entries().await;
    let (first, _) = fleet.caller(0).call("POST", BOOKING, Some("slot-9"), "slot 9").await;
    eventually("the other entry has read the completion", async || {
        let (_, body) = fleet.caller(1).call("POST", BOOKING, Some("slot-9"), "slot 9").await;
        reason_and_outcome(&body) == ("key-completed".to_string(), "ran".to_string())
    })
    .await;
    assert_eq!(first, 200);
    assert_eq!(fleet.calls_run(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_the_same_key_at_two_entries_run_once() {
    let fleet = start_two_entries().await;
    let (one, other) = (fleet.caller(0), fleet.caller(1));
    let (first, second) = tokio::join!(
        one.call("POST", BOOKING, Some("slot-9"), "slot 9"),
        other.call("POST", BOOKING, Some("slot-9"), "slot 9"),
    );
    let succeeded = [first.0, second.0].iter().filter(|status| **status == 200).count();
    assert_eq!((succeeded, fleet.calls_run()), (1, 1), "responses {first:?} and {second:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_used_for_another_request_is_refused() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.caller(0).call("POST", BOOKING, Some("slot-9"), "slot 9").await;
    let (status, body) = fleet.caller(0).call("POST", BOOKING, Some("slot-9"), "slot 10").await;
    assert_eq!(status, 422);
    assert_eq!(reason_and_outcome(&body), ("key-reused".to_string(), "not-run".to_string()));
    assert_eq!(fleet.calls_run(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_refused_as_not_run_while_the_log_is_down() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.log.down.set(true);
    let (_, body) = fleet.caller(0).call("POST", BOOKING, Some("slot-9"), "slot 9").await;
    assert_eq!(reason_and_outcome(&body), ("log-unavailable".to_string(), "not-run".to_string()));
    assert_eq!(fleet.calls_run(), 0);
    fleet.log.down.set(false);
    eventually("the booking runs once the log is back", async || {
        fleet.caller(0).call("POST", BOOKING, Some("slot-9"), "slot 9").await.0 == 200
    })
    .await;
    assert_eq!(fleet.calls_run(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_when_the_responses_of_the_log_are_lost() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    fleet.log.lose_responses.set(true);
    let (status, body) = fleet.caller(0).call("POST", BOOKING, Some("slot-9"), "slot 9").await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(fleet.calls_run(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_entry_was_killed_never_runs_twice() {
    let mut fleet = start_two_entries().await;
    fleet
        .services
        .iter()
        .for_each(|service| service.response_delay.set(Duration::from_millis(400)));
    let caller = fleet.caller(0);
    tokio::spawn(async move { caller.call("POST", BOOKING, Some("slot-9"), "slot 9").await });
    eventually("the booking runs", async || fleet.calls_run() == 1).await;
    fleet.entries[0].kill();
    for _ in 0..5 {
        let (status, body) = fleet.caller(1).call("POST", BOOKING, Some("slot-9"), "slot 9").await;
        assert_ne!(status, 200, "{body}");
        assert_ne!(
            reason_and_outcome(&body).1,
            "not-run",
            "refused as not run although it ran: {body}"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(fleet.calls_run(), 1);
}
