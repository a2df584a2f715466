//! Responses that pass through separate processes: they arrive complete and unchanged.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::eventually;

const MAX_TOKENS: u32 = 40;
/// Less than the time after which an entry leaves a silent stream.
const MAX_STREAM_TIME: Duration = Duration::from_secs(4);

fn prompt() -> String {
    "Boletim da feira de Petrolina.\n".to_string() + &"lote 14 ovelha 38 kg\n".repeat(50)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_response_arrives_complete() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let response = fleet.caller(0).stream_completion("redator", &prompt(), MAX_TOKENS, "any").await;
    assert_eq!(response.text, standins::engine::completion(&prompt(), MAX_TOKENS));
    assert!(response.done, "the stream has no end marker");
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_response_with_a_token_left_out_by_the_engine_arrives_complete() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    for engine in &fleet.decodes {
        engine.skip_token_of_next_stream.set(true);
    }
    let started = Instant::now();
    let response = fleet.caller(0).stream_completion("redator", &prompt(), MAX_TOKENS, "any").await;
    assert_eq!(response.text, standins::engine::completion(&prompt(), MAX_TOKENS));
    assert!(response.done, "the stream has no end marker");
    assert!(started.elapsed() < MAX_STREAM_TIME, "{:?}", started.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_streaming_arrives_complete() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let request = serde_json::json!({
        "model": "redator", "max_tokens": MAX_TOKENS,
        "messages": [{ "role": "user", "content": prompt() }],
    });
    let (status, body) =
        fleet.caller(0).call("POST", "/v1/chat/completions", None, &request.to_string()).await;
    let json: serde_json::Value = serde_json::from_str(&body).expect("the body is JSON");
    assert_eq!(status, 200);
    let expected = standins::engine::completion(&format!("user: {}\n", prompt()), MAX_TOKENS);
    assert_eq!(json["choices"][0]["message"]["content"], expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_plain_service_arrives_with_its_method_path_and_query() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let (status, body) =
        fleet.caller(0).call("GET", "/services/desk/reels/7?side=b", None, "").await;
    let call: serde_json::Value = serde_json::from_str(&body).expect("the body is JSON");
    assert_eq!(
        (status, &call["method"], &call["path"]),
        (200, &"GET".into(), &"/reels/7?side=b".into())
    );
    assert_eq!(fleet.calls_run(), 1);
}
