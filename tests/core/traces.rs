//! Replays of stored traces, each checked against the bounds in the file beside it. The
//! number in the name of a trace is its load as a multiple of the capacity.

use std::path::Path;

use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::replay_file;
use bamboodoor::replay::trace::Trace;
use serde::Deserialize;

const DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/core/traces");

/// Bounds that the summary of a replay must meet, as read from a `.outcome.json` file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplayBounds {
    within_targets_percent_at_least: f64,
    wasted_prefill_percent_at_most: f64,
    calls_answered_percent_at_least: f64,
    /// Largest number of admitted requests without a complete response.
    not_whole_at_most: u64,
    /// Exact number of streams and imported KV caches that engines hold at the end.
    held_at_end: u64,
    /// Exact number of violated invariants.
    violations: usize,
}

fn assert_replay_meets_its_bounds(name: &str) {
    let trace_path = format!("{DIRECTORY}/{name}.jsonl");
    let bounds = std::fs::read_to_string(format!("{DIRECTORY}/{name}.outcome.json"))
        .expect("the file of bounds can be read");
    let bounds: ReplayBounds =
        serde_json::from_str(&bounds).expect("the file of bounds can be parsed");
    let summary = replay_file(Path::new(&trace_path), None, &ReplayConfig::default())
        .expect("the trace can be replayed");
    assert_eq!(
        (summary.violations.len(), summary.held_at_end),
        (bounds.violations, bounds.held_at_end)
    );
    assert!(
        summary.within_targets_percent >= bounds.within_targets_percent_at_least,
        "{summary:?}"
    );
    assert!(summary.wasted_prefill_percent <= bounds.wasted_prefill_percent_at_most, "{summary:?}");
    assert!(summary.admitted - summary.whole <= bounds.not_whole_at_most, "{summary:?}");
    let answered = summary.calls_answered as f64 * 100.0 / summary.calls as f64;
    assert!(answered >= bounds.calls_answered_percent_at_least, "{summary:?}");
}

macro_rules! traces {
    ($($name:ident: $file:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_replay_meets_its_bounds($file);
            }
        )+
    };
}

traces! {
    associacao_with_a_tenth_of_the_engines_slow_meets_its_bounds: "associacao-1.3";
    qayrawan_with_stalled_transfers_meets_its_bounds: "qayrawan-1.3";
}

#[test]
fn a_trace_is_unchanged_by_writing_and_reading() {
    let bytes =
        std::fs::read(format!("{DIRECTORY}/qayrawan-1.3.jsonl")).expect("the trace can be read");
    let trace = Trace::read(bytes.as_slice()).expect("the stored trace can be parsed");
    let mut written = Vec::new();
    trace.write(&mut written).expect("a vector accepts every write");
    assert_eq!(Trace::read(written.as_slice()).expect("the written trace can be parsed"), trace);
}

#[test]
fn the_error_of_an_invalid_trace_names_the_line() {
    let text = std::fs::read_to_string(format!("{DIRECTORY}/qayrawan-1.3.jsonl"))
        .expect("the trace can be read");
    let kind = "\"kind\":\"call\"";
    let line = 1 + text.lines().position(|line| line.contains(kind)).expect("the trace has a call");
    let broken = text.replacen(kind, "\"kind\":\"cal\"", 1);
    let error = Trace::read(broken.as_bytes()).expect_err("the trace is invalid").to_string();
    assert!(error.starts_with(&format!("trace line {line}: ")), "line {line}: {error}");
}
