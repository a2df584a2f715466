//! Recorded traces, each replayed against the outcome stated beside it.

use std::path::Path;

use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::replay_file;
use bamboodoor::replay::trace::Trace;
use serde::Deserialize;

const DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/core/traces");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Outcome {
    within_targets_percent_at_least: f64,
    wasted_prefill_percent_at_most: f64,
    calls_answered_percent_at_least: f64,
    not_whole_at_most: u64,
    held_at_end: u64,
    violations: usize,
}

fn replays_to_its_outcome(name: &str) {
    let trace = format!("{DIRECTORY}/{name}.jsonl");
    let stated =
        std::fs::read_to_string(format!("{DIRECTORY}/{name}.outcome.json")).expect("is there");
    let stated: Outcome = serde_json::from_str(&stated).expect("is an outcome");
    let came =
        replay_file(Path::new(&trace), None, &ReplayConfig::default()).expect("can be replayed");
    assert_eq!((came.violations.len(), came.held_at_end), (stated.violations, stated.held_at_end));
    assert!(came.within_targets_percent >= stated.within_targets_percent_at_least, "{came:?}");
    assert!(came.wasted_prefill_percent <= stated.wasted_prefill_percent_at_most, "{came:?}");
    assert!(came.admitted - came.whole <= stated.not_whole_at_most, "{came:?}");
    let answered = came.calls_answered as f64 * 100.0 / came.calls as f64;
    assert!(answered >= stated.calls_answered_percent_at_least, "{came:?}");
}

macro_rules! traces {
    ($($name:ident: $file:expr;)+) => {
        $(
            #[test]
            fn $name() {
                replays_to_its_outcome($file);
            }
        )+
    };
}

traces! {
    the_associacao_with_a_slow_tenth: "associacao-1.3";
    qayrawan_with_transfers_that_stall: "qayrawan-1.3";
}

#[test]
fn a_trace_comes_back_as_it_was_written() {
    let text = std::fs::read(format!("{DIRECTORY}/qayrawan-1.3.jsonl")).expect("is there");
    let trace = Trace::read(text.as_slice()).expect("is a trace");
    let mut written = Vec::new();
    trace.write(&mut written).expect("a vector takes everything");
    assert_eq!(Trace::read(written.as_slice()).expect("is a trace"), trace);
}

#[test]
fn a_wrong_line_is_named() {
    let text =
        std::fs::read_to_string(format!("{DIRECTORY}/qayrawan-1.3.jsonl")).expect("is there");
    let broken = text.replacen("\"kind\":\"call\"", "\"kind\":\"cal\"", 1);
    let error = Trace::read(broken.as_bytes()).expect_err("is wrong").to_string();
    assert!(error.starts_with("trace line "), "{error}");
}
