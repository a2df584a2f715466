//! Results of a prefill that no sound engine sends: they end the prefill as failed, and nothing of
//! them is too large for the connection to the entry.

use bamboodoor::agent::UpstreamEvent;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bytes::Bytes;

use crate::raw_engine::Body;
use crate::raw_engine::MAX_WAIT;
use crate::raw_engine::RawEngine;

/// Longest text about a failure that an entry is sent, in bytes.
const MAX_REASON_BYTES: usize = 16 << 10;
/// More than fits into a frame to an entry, in bytes.
const MORE_THAN_A_FRAME_BYTES: usize = 17 << 20;

fn result(handle: &str) -> String {
    serde_json::json!({ "handle": handle, "cached_tokens": 1, "kv_bytes": 64 }).to_string()
}

async fn prefill(status: &'static str, body: String) -> UpstreamEvent {
    let engine = RawEngine::start(status, Body::Whole(Bytes::from(body))).await;
    let id = AttemptId { entry: 1, request: 2, attempt: 3 };
    let request = wire::Prefill { id: Some(id), ..wire::Prefill::default() };
    let upstream = engine.upstream();
    let response = tokio::time::timeout(MAX_WAIT, upstream.run_prefill(request)).await;
    response.expect("the prefill ends")
}

#[tokio::test]
async fn a_sound_result_is_taken() {
    let event = prefill("200 OK", result("kv-1/a_b~")).await;
    assert!(matches!(event, UpstreamEvent::PrefillDone { .. }), "{event:?}");
}

macro_rules! failed {
    ($($name:ident: $status:expr, $body:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let event = prefill($status, $body).await;
                let UpstreamEvent::PrefillFailed { reason, .. } = event else {
                    panic!("the result is taken");
                };
                assert!(reason.len() <= MAX_REASON_BYTES, "a reason of {} bytes", reason.len());
            }
        )+
    };
}

failed! {
    an_empty_handle_is_no_result: "200 OK", result("");
    a_handle_larger_than_a_frame_is_no_result: "200 OK", result(&"h".repeat(MORE_THAN_A_FRAME_BYTES));
    a_handle_of_two_lines_is_no_result: "200 OK", result("kv-1\r\nhost: x");
    a_handle_with_a_space_is_no_result: "200 OK", result("kv 1");
    an_error_longer_than_a_frame_is_cut: "500 Internal Server Error", "e".repeat(MORE_THAN_A_FRAME_BYTES);
    a_long_error_is_cut: "500 Internal Server Error", "e".repeat(512 << 10);
    a_result_in_pieces_of_another_is_no_result: "200 OK", result("kv-1") + &result("kv-2");
    a_negative_size_is_no_result: "200 OK",
        "{\"handle\":\"kv-1\",\"cached_tokens\":0,\"kv_bytes\":-1}".to_string();
}
