//! Replies of a plain service that are too large for the connection to the entry.

use bamboodoor::agent::UpstreamEvent;
use bamboodoor::edge::frames::MAX_FRAME_BYTES;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bytes::Bytes;
use prost::Message;

use crate::raw_engine::Body;
use crate::raw_engine::MAX_WAIT;
use crate::raw_engine::RawEngine;

/// Calls a service that replies with a body of this size. Returns the size of the body in the
/// reply and of the frame that holds it.
async fn call(body_bytes: usize) -> (usize, usize) {
    let body = Bytes::from(vec![b'b'; body_bytes]);
    let engine = RawEngine::start("200 OK", Body::Whole(body)).await;
    let call = wire::Call {
        id: Some(AttemptId { entry: 1, request: 2, attempt: 3 }),
        method: "GET".to_string(),
        path: "/".to_string(),
        timeout_ms: MAX_WAIT.as_millis() as u32,
        ..wire::Call::default()
    };
    let event = engine.upstream().send_call(call).await;
    let UpstreamEvent::CallDone { reply, .. } = event else { panic!("the call has no reply") };
    let received = reply.body.len();
    let message = wire::ToEntry { kind: Some(wire::to_entry::Kind::CallReply(reply)) };
    (received, message.encoded_len())
}

#[tokio::test]
async fn a_large_body_is_passed_on() {
    let bytes = 8 << 20;
    assert_eq!(call(bytes).await.0, bytes);
}

#[tokio::test]
async fn a_body_larger_than_a_frame_is_no_reply() {
    let (received, frame) = call(MAX_FRAME_BYTES + 1).await;
    assert_eq!(received, 0);
    assert!(frame <= MAX_FRAME_BYTES, "a frame of {frame} bytes");
}
