//! Parsing of settings, manifests, request bodies and frames: every error is reported at
//! once, and no input causes a panic.

use bamboodoor::edge::completion_api;
use bamboodoor::edge::completion_api::ApiFormat;
use bamboodoor::edge::frames;
use bamboodoor::edge::upstream::format_attempt_id;
use bamboodoor::edge::upstream::parse_attempt_id;
use bamboodoor::manifest::Snapshot;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::schema::wire;
use bamboodoor::settings;
use proptest::prelude::*;
use prost::Message;

fn example_manifest() -> Snapshot {
    Snapshot::parse(1, include_str!("../../examples/associacao.jsonc"))
        .expect("the example manifest is valid")
}

#[test]
fn example_manifests_are_valid() {
    example_manifest();
    Snapshot::parse(1, include_str!("../../examples/qayrawan.jsonc"))
        .expect("the example manifest is valid");
}

#[test]
fn every_error_of_a_manifest_is_reported_with_line_and_field() {
    let body = "{\n  \"name\": \"m\",\n  \"pols\": [],\n  \"pools\": [{ \"name\": \"a\", \"role\": 7.5 }],\n  \"drain_bound_ms\": \"soon\"\n}";
    let findings = Snapshot::parse(1, body).expect_err("the manifest has errors");
    let locations: Vec<(usize, &str)> =
        findings.iter().map(|finding| (finding.line, finding.field.as_str())).collect();
    assert!(locations.contains(&(3, "pols")), "{locations:?}");
    assert!(locations.contains(&(4, "pools[0].role")), "{locations:?}");
    assert!(locations.contains(&(5, "drain_bound_ms")), "{locations:?}");
}

#[test]
fn an_idempotency_window_above_the_log_retention_is_invalid() {
    let body = include_str!("../../examples/associacao.jsonc")
        .replace("\"idempotency_window_ms\": 86400000", "\"idempotency_window_ms\": 999999999");
    let findings = Snapshot::parse(1, &body).expect_err("the manifest has an error");
    assert_eq!(findings[0].field, "idempotency_window_ms");
}

#[test]
fn every_invalid_or_missing_field_of_the_settings_is_reported() {
    let findings =
        settings::parse_entry("{ \"listen\": \"here\", \"lease_ttl_ms\": 10, \"name\": \"e\" }")
            .expect_err("the settings have errors");
    let fields: Vec<&str> = findings.iter().map(|finding| finding.field.as_str()).collect();
    for field in ["listen", "lease_ttl_ms", "region", "zone", "log", "instance_list"] {
        assert!(fields.contains(&field), "{field} is not among {fields:?}");
    }
}

macro_rules! refused_bodies {
    ($($name:ident: $format:expr, $body:expr => $reason:expr, $field:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let refusal =
                    completion_api::parse_request($format, $body.as_bytes(), &example_manifest())
                        .expect_err("the body is refused");
                assert_eq!(refusal.reason, $reason);
                assert!(refusal.detail.contains($field), "{}", refusal.detail);
            }
        )+
    };
}

refused_bodies! {
    a_body_that_is_not_json_is_refused:
        ApiFormat::Completion, "{" => RefusalReason::MalformedJson, "";
    a_prompt_of_the_wrong_type_is_refused:
        ApiFormat::Completion, r#"{"model":"redator","prompt":7}"#
        => RefusalReason::InvalidField, "prompt";
    a_chat_message_without_content_is_refused:
        ApiFormat::Chat, r#"{"model":"redator","messages":[{"role":"user"}]}"#
        => RefusalReason::InvalidField, "messages[0]";
    max_tokens_of_zero_is_refused:
        ApiFormat::Completion, r#"{"model":"redator","prompt":"p","max_tokens":0}"#
        => RefusalReason::InvalidField, "max_tokens";
    an_unknown_model_is_refused: ApiFormat::Completion, r#"{"model":"nobody","prompt":"p"}"#
        => RefusalReason::UnknownModel, "model";
    a_prompt_above_the_limit_is_refused: ApiFormat::Completion,
        format!(r#"{{"model":"redator","prompt":"{}"}}"#, "x".repeat(60_000))
        => RefusalReason::PromptTooLong, "prompt";
}

#[test]
fn a_stream_id_in_another_form_is_no_attempt_id() {
    let others =
        ["550e8400-e29b-41d4-a716-446655440000", "1-2-3-", "+1-2-3", "01-2-3", "A-b-c", "1-2", ""];
    let taken: Vec<&str> =
        others.into_iter().filter(|text| parse_attempt_id(text).is_some()).collect();
    assert_eq!(taken, Vec::<&str>::new());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = Snapshot::parse(1, &text);
        let _ = settings::parse_entry(&text);
        let _ = settings::parse_agent(&text);
        let _ = completion_api::parse_request(
            ApiFormat::Completion, text.as_bytes(), &example_manifest());
        let _ = completion_api::parse_request(
            ApiFormat::Chat, text.as_bytes(), &example_manifest());
        let _ = parse_attempt_id(&text);
    }

    #[test]
    fn a_manifest_with_a_piece_removed_does_not_panic(start in 0_usize..4_000, length in 0_usize..200) {
        let manifest = include_str!("../../examples/associacao.jsonc");
        let cut: String =
            manifest.chars().take(start).chain(manifest.chars().skip(start + length)).collect();
        let _ = Snapshot::parse(1, &cut);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = frames::decode::<wire::ToAgent>(&bytes);
        let _ = frames::decode::<wire::ToEntry>(&bytes);
    }

    #[test]
    fn a_message_and_its_id_survive_encoding(entry: u64, request: u64, attempt: u32, index: u32) {
        let id = wire::AttemptId { entry, request, attempt };
        let chunk = wire::Chunk { id: Some(id), index, ..wire::Chunk::default() };
        let message = wire::ToEntry { kind: Some(wire::to_entry::Kind::Chunk(chunk)) };
        let decoded = frames::decode::<wire::ToEntry>(&message.encode_to_vec())
            .expect("an encoded message can be decoded");
        prop_assert_eq!(decoded, message);
        prop_assert_eq!(parse_attempt_id(&format_attempt_id(&id)), Some(id));
    }
}
