//! Writes the results of the commands to standard output, as text or JSON.

use std::path::Path;

use bamboodoor::command::explain::Step;
use bamboodoor::command::status::ProcessStatus;
use bamboodoor::replay::summary::Summary;
use serde::Serialize;

fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).expect("the output can be serialized as JSON"));
}

pub fn print_check(manifest: &Path, json: bool) {
    if json {
        print_json(&serde_json::json!({ "valid": true }));
    } else {
        println!("{}: valid", manifest.display());
    }
}

pub fn print_publication(generation: u64, json: bool) {
    if json {
        print_json(&serde_json::json!({ "accepted": true, "generation": generation }));
    } else {
        println!("accepted as generation {generation}");
    }
}

pub fn print_statuses(statuses: &[ProcessStatus], json: bool) {
    if json {
        print_json(&statuses);
        return;
    }
    for process in statuses {
        match (&process.status, &process.error) {
            (Some(status), _) => println!("{} {status}", process.address),
            (None, error) => {
                println!("{} no answer: {}", process.address, error.as_deref().unwrap_or_default());
            }
        }
    }
}

pub fn print_steps(steps: &[Step], json: bool) {
    if json {
        print_json(&steps);
        return;
    }
    for step in steps {
        println!("{step}");
    }
}

pub fn print_summary(summary: &Summary, json: bool) {
    if json {
        print_json(&summary);
        return;
    }
    println!(
        "drafts            {} (admitted {}, whole {})",
        summary.drafts, summary.admitted, summary.whole
    );
    println!("within targets    {:.1} % of admitted", summary.within_targets_percent);
    println!("goodput           {:.2} answers/s", summary.goodput_per_s);
    println!("wasted prefill    {:.2} % of prefill tokens", summary.wasted_prefill_percent);
    println!(
        "first token       p50 {} ms  p95 {} ms",
        summary.first_token_p50_ms, summary.first_token_p95_ms
    );
    println!("between tokens    p95 {} ms", summary.between_tokens_p95_ms);
    println!(
        "calls             {} of {} answered, p95 {} ms",
        summary.calls_answered, summary.calls, summary.call_p95_ms
    );
    println!("refusals          {:?}", summary.refusals);
    println!("retries           {:?}", summary.retries);
    println!("held at the end   {}", summary.held_at_end);
    for violation in &summary.violations {
        println!("VIOLATION         {violation}");
    }
}
