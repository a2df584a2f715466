//! Tests of the operators' command `bamboodoor`, run as a process.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use bamboodoor::manifest::Snapshot;
use standins::log::Log;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/associacao.jsonc");

/// Runs the command with these arguments until it exits.
fn bamboodoor(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bamboodoor"))
        .args(arguments)
        .output()
        .expect("the command can be run")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs the command on a blocking thread, so that the stand-in log in this process can
/// respond to it.
async fn publish(arguments: Vec<String>) -> Output {
    let run = move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        bamboodoor(&arguments)
    };
    tokio::task::spawn_blocking(run).await.expect("the blocking task does not panic")
}

/// Returns the arguments that publish the example manifest to the log at this address,
/// written against this generation.
fn publish_arguments(log: &str, based_on: &str) -> Vec<String> {
    ["publish", EXAMPLE, "--log", log, "--based-on", based_on, "--json"].map(String::from).to_vec()
}

#[test]
fn help_and_version_are_printed() {
    assert!(text(&bamboodoor(&["--help"]).stdout).contains("Publishes manifests"));
    assert!(text(&bamboodoor(&["--version"]).stdout).starts_with("bamboodoor "));
}

#[test]
fn check_reports_a_valid_manifest_as_valid() {
    let output = bamboodoor(&["check", EXAMPLE]);
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains("valid"));
}

#[test]
fn check_reports_the_position_of_every_error_of_an_invalid_manifest() {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file can be created");
    write!(file, "{{\n  \"nam\": \"x\",\n  \"pools\": 7\n}}")
        .expect("the temporary file can be written");
    let path = file.path().display().to_string();
    let output = bamboodoor(&["check", &path]);
    assert_eq!(output.status.code(), Some(2));
    let errors = text(&output.stderr);
    assert!(errors.contains(&format!("{path}:2:3: nam")), "{errors}");
    assert!(errors.contains(&format!("{path}:3:3: pools")), "{errors}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_publication_based_on_the_same_generation_is_superseded() {
    let (_log, address) = Log::start().await;
    let first = publish(publish_arguments(&address.to_string(), "0")).await;
    assert_eq!(text(&first.stdout).trim(), r#"{"accepted":true,"generation":1}"#);
    let second = publish(publish_arguments(&address.to_string(), "0")).await;
    assert_eq!(second.status.code(), Some(1));
    assert!(text(&second.stderr).contains("superseded"), "{}", text(&second.stderr));
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_does_not_append_again_when_the_response_of_the_log_is_lost() {
    let (log, address) = Log::start().await;
    log.lose_next_response.set(true);
    let output = publish(publish_arguments(&address.to_string(), "0")).await;
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(log.records("manifest").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_reports_an_unknown_outcome_when_the_log_is_down() {
    let (log, address) = Log::start().await;
    log.down.set(true);
    let output = publish(publish_arguments(&address.to_string(), "0")).await;
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn explain_builds_a_timeline_from_lines_of_entry_and_agent() {
    let lines = concat!(
        r#"{"level":"info","timestamp":3,"payload":"refused-overloaded","kv":{"instance":"entry-0","request_id":"r1","attempt":1,"attempt_id":"1-2-1","detail":"outcome not-run"}}"#,
        "\n",
        r#"{"level":"info","timestamp":1,"payload":"reserving","kv":{"instance":"entry-0","request_id":"r1","attempt":1,"attempt_id":"1-2-1","agent":"decode-0"}}"#,
        "\nnot a log line\n",
        r#"{"level":"info","timestamp":2,"payload":"transfer-retried","kv":{"instance":"decode-0","attempt_id":"1-2-1"}}"#,
        "\n",
        r#"{"level":"info","timestamp":2,"payload":"reserving","kv":{"instance":"entry-0","request_id":"r2","attempt_id":"1-3-1"}}"#,
        "\n",
    );
    let mut child = Command::new(env!("CARGO_BIN_EXE_bamboodoor"))
        .args(["explain", "r1"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command can be started");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(lines.as_bytes())
        .expect("the command reads the lines");
    let timeline = text(&child.wait_with_output().expect("the command exits").stdout);
    // In a line of the timeline, the event follows "try" and the number of the attempt.
    let events: Vec<&str> = timeline
        .lines()
        .filter_map(|line| line.split(' ').nth(line.split(' ').position(|word| word == "try")? + 2))
        .collect();
    assert_eq!(events, ["reserving", "transfer-retried", "refused-overloaded"], "{timeline}");
}

#[test]
fn explain_shows_why_an_entry_without_agents_refused() {
    let lines = concat!(
        r#"{"level":"info","timestamp":1,"payload":"arrived","kv":{"instance":"entry-0","request_id":"r1","route":"summaries","generation":7}}"#,
        "\n",
        r#"{"level":"info","timestamp":2,"payload":"reserve","kv":{"instance":"entry-0","request_id":"r1","upstream":"engine-4","detail":"tokens 5500"}}"#,
        "\n",
        r#"{"level":"info","timestamp":3,"payload":"refused","kv":{"instance":"entry-0","request_id":"r1","reason":"overloaded","outcome":"not-run","retry_after_ms":2500,"generation":7}}"#,
        "\n",
    );
    let mut child = Command::new(env!("CARGO_BIN_EXE_bamboodoor"))
        .args(["explain", "r1"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command can be started");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(lines.as_bytes())
        .expect("the command reads the lines");
    let timeline = text(&child.wait_with_output().expect("the command exits").stdout);
    let timeline_lines: Vec<&str> = timeline.lines().collect();
    assert!(timeline_lines[0].ends_with("arrived (route summaries, generation 7)"), "{timeline}");
    assert!(timeline_lines[1].ends_with("reserve at engine-4 (tokens 5500)"), "{timeline}");
    let refused = "refused (reason overloaded, outcome not-run, retry after 2500 ms)";
    assert!(timeline_lines[2].ends_with(refused), "{timeline}");
}

#[test]
fn a_synthesized_trace_can_be_replayed() {
    let trace =
        bamboodoor(&["synthesize", "associacao", "--manifest", EXAMPLE, "--duration-ms", "3000"]);
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file can be created");
    file.write_all(&trace.stdout).expect("the temporary file can be written");
    let path = file.path().display().to_string();
    let output = bamboodoor(&["replay", &path, "--manifest", EXAMPLE, "--json"]);
    let summary: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the summary is JSON");
    assert_eq!(
        (summary["violations"].as_array().map(Vec::len), output.status.code()),
        (Some(0), Some(0))
    );
}

#[test]
fn an_unknown_user_of_synthesize_is_an_invalid_argument() {
    let output = bamboodoor(&["synthesize", "nobody", "--manifest", EXAMPLE]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("nobody"));
}

/// Returns the text between `start` and the next `end` after it.
fn between<'a>(text: &'a str, start: &str, end: &str) -> &'a str {
    let (_, rest) = text.split_once(start).expect("the start is in the text");
    rest.split_once(end).expect("the end is in the text").0
}

#[test]
fn the_completion_of_the_readme_fits_the_manifest_of_its_fleet() {
    let readme = include_str!("../../README.md");
    let command = between(readme, "curl http://ADDRESS/v1/completions", "\n");
    let account = between(command, "-H 'x-client-account: ", "'");
    let body: serde_json::Value =
        serde_json::from_str(between(command, "-d '", "'")).expect("the body is JSON");
    let snapshot = Snapshot::parse(1, include_str!("../../examples/associacao.jsonc"))
        .expect("the manifest is valid");
    assert!(snapshot.account_weight(account).is_some(), "no client account {account}");
    let model = body["model"].as_str().expect("the body names a model");
    assert!(snapshot.model(model).is_some(), "no model {model}");
}
