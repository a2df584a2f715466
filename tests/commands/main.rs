//! The operators' command, as a process.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use standins::log::Log;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/associacao.jsonc");

fn bamboodoor(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bamboodoor")).args(arguments).output().expect("was built")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

async fn publish(arguments: Vec<String>) -> Output {
    let run = move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        bamboodoor(&arguments)
    };
    tokio::task::spawn_blocking(run).await.expect("does not panic")
}

fn publication(log: &str, based_on: &str) -> Vec<String> {
    ["publish", EXAMPLE, "--log", log, "--based-on", based_on, "--json"].map(String::from).to_vec()
}

#[test]
fn help_and_version_read_well() {
    assert!(text(&bamboodoor(&["--help"]).stdout).contains("Publishes manifests"));
    assert!(text(&bamboodoor(&["--version"]).stdout).starts_with("bamboodoor "));
}

#[test]
fn a_valid_manifest_is_said_to_be_valid() {
    let output = bamboodoor(&["check", EXAMPLE]);
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains("valid"));
}

#[test]
fn a_wrong_manifest_is_refused_with_every_place() {
    let mut file = tempfile::NamedTempFile::new().expect("can be made");
    write!(file, "{{\n  \"nam\": \"x\",\n  \"pools\": 7\n}}").expect("is writable");
    let path = file.path().display().to_string();
    let output = bamboodoor(&["check", &path]);
    assert_eq!(output.status.code(), Some(2));
    let said = text(&output.stderr);
    assert!(said.contains(&format!("{path}:2:3: nam")), "{said}");
    assert!(said.contains(&format!("{path}:3:3: pools")), "{said}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_publication_is_accepted_and_a_second_on_the_same_base_superseded() {
    let (_log, address) = Log::start().await;
    let first = publish(publication(&address.to_string(), "0")).await;
    assert_eq!(text(&first.stdout).trim(), r#"{"accepted":true,"generation":1}"#);
    let second = publish(publication(&address.to_string(), "0")).await;
    assert_eq!(second.status.code(), Some(1));
    assert!(text(&second.stderr).contains("superseded"), "{}", text(&second.stderr));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_found_in_the_log_and_not_appended_again() {
    let (log, address) = Log::start().await;
    log.lose_next_response.set(true);
    let output = publish(publication(&address.to_string(), "0")).await;
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(log.records("manifest").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_is_down_leaves_the_outcome_unknown() {
    let (log, address) = Log::start().await;
    log.down.set(true);
    let output = publish(publication(&address.to_string(), "0")).await;
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn explain_rebuilds_a_timeline_from_lines_of_entry_and_agent() {
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
        .expect("was built");
    child.stdin.take().expect("is piped").write_all(lines.as_bytes()).expect("is read");
    let said = text(&child.wait_with_output().expect("ends").stdout);
    let whats: Vec<&str> = said
        .lines()
        .filter_map(|line| line.split(' ').nth(line.split(' ').position(|word| word == "try")? + 2))
        .collect();
    assert_eq!(whats, ["reserving", "transfer-retried", "refused-overloaded"], "{said}");
}

#[test]
fn explain_tells_why_an_entry_without_agents_refused() {
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
        .expect("was built");
    child.stdin.take().expect("is piped").write_all(lines.as_bytes()).expect("is read");
    let said = text(&child.wait_with_output().expect("ends").stdout);
    let told: Vec<&str> = said.lines().collect();
    assert!(told[0].ends_with("arrived (route summaries, generation 7)"), "{said}");
    assert!(told[1].ends_with("reserve at engine-4 (tokens 5500)"), "{said}");
    let refused = "refused (reason overloaded, outcome not-run, retry after 2500 ms)";
    assert!(told[2].ends_with(refused), "{said}");
}

#[test]
fn a_synthesized_trace_can_be_replayed() {
    let made =
        bamboodoor(&["synthesize", "associacao", "--manifest", EXAMPLE, "--duration-ms", "3000"]);
    let mut file = tempfile::NamedTempFile::new().expect("can be made");
    file.write_all(&made.stdout).expect("is writable");
    let path = file.path().display().to_string();
    let output = bamboodoor(&["replay", &path, "--manifest", EXAMPLE, "--json"]);
    let summary: serde_json::Value = serde_json::from_slice(&output.stdout).expect("is JSON");
    assert_eq!(
        (summary["violations"].as_array().map(Vec::len), output.status.code()),
        (Some(0), Some(0))
    );
}
