//! Refusals with their status, reason and detail, and forms of requests that must be
//! accepted.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::MAX_CONNECTIONS;
use crate::fleet::eventually;
use crate::fleet::manifest;

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
/// Body of a chat request with content that is not supported.
const IMAGE_REQUEST: &str =
    r#"{"model":"redator","messages":[{"role":"user","content":[{"type":"image"}]}]}"#;

/// Sends a request, checks that the response is a refusal with outcome `not-run`, the
/// status and a request id, and returns its status, reason and detail.
async fn refusal(fleet: &Fleet, method: &str, path: &str, request: &str) -> (u16, String, String) {
    let (status, body) = fleet.caller(0).call(method, path, None, request).await;
    let json: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    let text = |field: &str| json[field].as_str().unwrap_or_default().to_string();
    assert_eq!(text("outcome"), "not-run", "{body}");
    assert_eq!(json["status"], status);
    assert!(!text("request_id").is_empty(), "the refusal has no request id");
    (status, text("reason"), text("detail"))
}

#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_an_invalid_request_names_the_field() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let long = format!(r#"{{"model":"redator","prompt":"{}"}}"#, "x".repeat(20_000));
    let cases = [
        (COMPLETIONS, "{", 400, "malformed-json", ""),
        (COMPLETIONS, r#"{"model":"redator","prompt":[]}"#, 400, "invalid-field", "prompt"),
        (COMPLETIONS, r#"{"model":"nobody","prompt":"p"}"#, 404, "unknown-model", "model"),
        (COMPLETIONS, &long, 400, "prompt-too-long", "prompt"),
        (COMPLETIONS, r#"{"model":"redator","prompt":"p","n":2}"#, 400, "invalid-field", "n:"),
        (
            COMPLETIONS,
            r#"{"model":"redator","prompt":"p","stop":["x"]}"#,
            400,
            "invalid-field",
            "stop:",
        ),
        (CHAT, IMAGE_REQUEST, 400, "invalid-field", "messages[0].content"),
        ("/services/nothing/x", "", 404, "unknown-service", ""),
        ("/nowhere", "", 404, "unknown-service", "/nowhere"),
    ];
    for (path, body, status, reason, field) in cases {
        let (got_status, got_reason, detail) = refusal(&fleet, "POST", path, body).await;
        assert_eq!((got_status, got_reason.as_str()), (status, reason));
        assert!(detail.contains(field), "the detail does not name {field}: {detail}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn message_content_in_text_parts_is_joined() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let single_text =
        r#"{"model":"redator","max_tokens":4,"messages":[{"role":"user","content":"ab"}]}"#;
    let parts = r#"{"model":"redator","max_tokens":4,"n":1,"messages":[{"role":"user","content":
        [{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}"#;
    let text = async |body: &str| {
        let (status, body) = fleet.caller(0).call("POST", CHAT, None, body).await;
        let json: serde_json::Value = serde_json::from_str(&body).expect("the body is JSON");
        (status, json["choices"][0]["message"]["content"].clone())
    };
    let expected = text(single_text).await;
    assert_eq!(expected.0, 200);
    assert!(expected.1.is_string(), "{expected:?}");
    assert_eq!(text(parts).await, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_models_of_the_manifest_in_force_are_listed() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let (status, body) = fleet.caller(0).call("GET", "/v1/models", None, "").await;
    let json: serde_json::Value = serde_json::from_str(&body).expect("the body is JSON");
    assert_eq!((status, &json["object"]), (200, &"list".into()));
    assert_eq!(json["data"][0]["id"], "redator");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_too_large_is_refused() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let (status, reason, _) = refusal(&fleet, "POST", COMPLETIONS, &"x".repeat(5 << 20)).await;
    assert_eq!((status, reason.as_str()), (413, "body-too-large"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_arrives_too_slowly_is_refused() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let address = fleet.entries[0].address;
    let read = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).expect("the entry listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(15)))
            .expect("the read timeout can be set");
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
        stream.write_all(head.as_bytes()).expect("the request head can be sent");
        let mut response = vec![0; 4_096];
        let read = stream.read(&mut response).expect("a response arrives");
        String::from_utf8_lossy(&response[..read]).into_owned()
    });
    let response = read.await.expect("the blocking task does not panic");
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_manifest_applies_without_a_restart() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let stricter = manifest(8)
        .replace(
            "\"path_prefix\": \"/bookings\"",
            "\"path_prefix\": \"/bookings\", \"key_required\": true",
        )
        .replace(
            "\"policy\":",
            "\"client_accounts\": [{ \"name\": \"known\", \"weight\": 1 }], \"policy\":",
        );
    let generation = fleet.publish(&stricter, 1);
    eventually("the manifest is in force", async || {
        fleet.entries[0].status().await["generation"] == generation
    })
    .await;
    let (status, reason, _) = refusal(&fleet, "POST", "/services/desk/bookings", "slot").await;
    assert_eq!((status, reason.as_str()), (400, "key-required"));
    let (status, reason, detail) =
        refusal(&fleet, "POST", COMPLETIONS, r#"{"model":"redator","prompt":"p"}"#).await;
    assert_eq!((status, reason.as_str()), (403, "unknown-account"));
    assert!(detail.starts_with("x-client-account:"), "{detail}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_a_manifest_refuses_as_not_ready() {
    let mut fleet = Fleet::start(FleetConfig {
        prefills: 0,
        decodes: 0,
        services: 0,
        ..FleetConfig::default()
    })
    .await;
    fleet.log.down.set(true);
    fleet.entries.clear();
    fleet.add_entry(1);
    let (status, reason, _) =
        refusal(&fleet, "POST", COMPLETIONS, r#"{"model":"redator","prompt":"p"}"#).await;
    assert_eq!((status, reason.as_str()), (503, "not-ready"));
    let operators = standins::caller::Caller::new(fleet.entries[0].operators_address);
    assert_eq!(operators.call("GET", "/readyz", None, "").await.0, 503);
    assert_eq!(operators.call("GET", "/healthz", None, "").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_an_upstream_the_refusal_has_a_retry_after() {
    let fleet = Fleet::start(FleetConfig {
        prefills: 0,
        decodes: 0,
        services: 0,
        ..FleetConfig::default()
    })
    .await;
    let body = r#"{"model":"redator","prompt":"p"}"#;
    let (status, body) = fleet.caller(0).call("POST", COMPLETIONS, None, body).await;
    let json: serde_json::Value = serde_json::from_str(&body).expect("the body is JSON");
    assert_eq!((status, &json["reason"]), (503, &"no-upstream".into()));
    assert!(json["retry_after_ms"].as_u64() > Some(0), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_a_connection_beyond_the_limit_is_refused_with_a_response() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let address = fleet.entries[0].address;
    let open: Vec<TcpStream> = (0..MAX_CONNECTIONS)
        .map(|_| TcpStream::connect(address).expect("the entry accepts connections"))
        .collect();
    eventually("the next connection is refused", async || {
        let (status, body) = fleet.caller(0).call("GET", "/services/desk/reels", None, "").await;
        status == 503 && body.contains("too-many-connections")
    })
    .await;
    drop(open);
    eventually("connections are accepted again", async || {
        fleet.caller(0).call("GET", "/services/desk/reels", None, "").await.0 == 200
    })
    .await;
}
