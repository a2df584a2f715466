//! A whole answer through separate processes, byte by byte.

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::eventually;

const MAX_TOKENS: u32 = 40;

fn prompt() -> String {
    "Boletim da feira de Petrolina.\n".to_string() + &"lote 14 ovelha 38 kg\n".repeat(50)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_comes_whole() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let answer = fleet.caller(0).stream_completion("redator", &prompt(), MAX_TOKENS, "any").await;
    assert_eq!(answer.text, standins::engine::completion(&prompt(), MAX_TOKENS));
    assert!(answer.done, "the end of the stream came");
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_comes_whole() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let body = serde_json::json!({
        "model": "redator", "max_tokens": MAX_TOKENS,
        "messages": [{ "role": "user", "content": prompt() }],
    });
    let (status, answer) =
        fleet.caller(0).call("POST", "/v1/chat/completions", None, &body.to_string()).await;
    let json: serde_json::Value = serde_json::from_str(&answer).expect("is JSON");
    assert_eq!(status, 200);
    let expected = standins::engine::completion(&format!("user: {}\n", prompt()), MAX_TOKENS);
    assert_eq!(json["choices"][0]["message"]["content"], expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_plain_service_is_passed_on_whole() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let (status, body) =
        fleet.caller(0).call("GET", "/services/desk/reels/7?side=b", None, "").await;
    let ran: serde_json::Value = serde_json::from_str(&body).expect("is JSON");
    assert_eq!(
        (status, &ran["method"], &ran["path"]),
        (200, &"GET".into(), &"/reels/7?side=b".into())
    );
    assert_eq!(fleet.calls_run(), 1);
}
