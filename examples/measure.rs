//! Replays every combination of load, fault, policy and seed for both reference
//! workloads, prints the table of docs/MEASUREMENTS.md and plots the goodput of each
//! policy.
//!
//! Run with `cargo run --release --example measure -- [OUT_DIR]`

#[path = "measure/plot.rs"]
mod plot;

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::PolicyKind;
use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::replay;
use bamboodoor::replay::summary::Summary;
use bamboodoor::replay::synthesis;
use bamboodoor::replay::synthesis::Synthesis;
use bamboodoor::replay::synthesis::Workload;
use bamboodoor::replay::trace::Fault;
use strum::IntoEnumIterator;

const LOADS: [f64; 4] = [0.7, 1.0, 1.3, 2.0];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time of the fault in a trace.
const FAULT_AT_MS: u64 = 15_000;

/// Row of the table: a combination of user, fault, load and policy, with the summary
/// of the replay for each seed.
pub struct Case {
    user: &'static str,
    fault: &'static str,
    load: f64,
    policy: PolicyKind,
    summaries: Vec<Summary>,
}

/// User of a reference workload, with the manifest of its fleet.
struct User {
    workload: Workload,
    snapshot: Snapshot,
}

fn users() -> Vec<User> {
    let user = |workload: Workload, body: &str| {
        let snapshot = Snapshot::parse(1, body).expect("the example manifest is valid");
        User { workload, snapshot }
    };
    vec![
        user(synthesis::associacao(), include_str!("associacao.jsonc")),
        user(synthesis::qayrawan(), include_str!("qayrawan.jsonc")),
    ]
}

/// Returns the faults to inject, each with its name in the table.
fn faults(workload: &Workload) -> Vec<(&'static str, Option<Fault>)> {
    vec![
        ("none", None),
        ("zone lost", Some(Fault::ZoneLost { zone: workload.zones[2].into() })),
        ("tenth slow", Some(Fault::SlowEngines { share: 0.1, factor: 2.0 })),
        ("transfers stall", Some(Fault::StalledTransfers { share: 0.05 })),
        ("reports 5 s late", Some(Fault::LateReports { lag_ms: 5_000 })),
    ]
}

fn main() {
    let out_dir =
        std::env::args().nth(1).map_or_else(|| PathBuf::from("target/measure"), PathBuf::from);
    std::fs::create_dir_all(&out_dir).expect("the output directory can be created");
    let mut cases = Vec::new();
    for user in users() {
        cases.extend(measure(&user));
    }
    print_table(&cases);
    plot::goodput(&cases, &out_dir);
}

/// Replays the whole grid for one user, on all processors; the cases come in the order
/// of the grid.
fn measure(user: &User) -> Vec<Case> {
    let mut grid = Vec::new();
    for (name, fault) in faults(&user.workload) {
        for load in LOADS {
            for policy in PolicyKind::iter() {
                grid.push((name, fault.clone(), load, policy));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                while let Some((name, fault, load, policy)) =
                    grid.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let summaries = replay_case(user, fault.as_ref(), *load, *policy);
                    let case = Case {
                        user: user.workload.name,
                        fault: name,
                        load: *load,
                        policy: *policy,
                        summaries,
                    };
                    finished.lock().expect("the mutex is not poisoned").push(case);
                }
            });
        }
    });
    let mut cases = finished.into_inner().expect("the mutex is not poisoned");
    let grid_index = |case: &Case| {
        grid.iter()
            .position(|cell| (cell.0, cell.2, cell.3) == (case.fault, case.load, case.policy))
    };
    cases.sort_by_key(grid_index);
    cases
}

/// Replays one case with each seed.
fn replay_case(user: &User, fault: Option<&Fault>, load: f64, policy: PolicyKind) -> Vec<Summary> {
    let replay_seed = |seed| {
        let faults = fault.map(|fault| (FAULT_AT_MS, fault.clone())).into_iter().collect();
        let synthesis = Synthesis { seed, load, faults, ..Synthesis::default() };
        let trace = synthesis::synthesize(&user.workload, &user.snapshot, &synthesis);
        let config = ReplayConfig { policy, seed, ..ReplayConfig::default() };
        replay(&trace, &user.snapshot, &config).expect("the trace fits the manifest")
    };
    SEEDS.into_iter().map(replay_seed).collect()
}

impl Case {
    /// Returns the mean of a figure over all seeds.
    pub fn mean(&self, value: impl Fn(&Summary) -> f64) -> f64 {
        self.summaries.iter().map(value).sum::<f64>() / self.summaries.len() as f64
    }
}

fn print_table(cases: &[Case]) {
    println!(
        "| user | fault | load | policy | goodput/s | within targets % | settled % | wasted prefill % | first token p95 ms | between p95 ms | refused at once % | calls p95 ms | not whole | violations |"
    );
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for case in cases {
        let Case { user, fault, load, policy, .. } = case;
        println!(
            "| {user} | {fault} | {load} | {policy} | {:.1} | {:.1} | {:.1} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
            case.mean(|summary| summary.goodput_per_s),
            case.mean(|summary| summary.within_targets_percent),
            case.mean(|summary| summary.settled_within_targets_percent),
            case.mean(|summary| summary.wasted_prefill_percent),
            case.mean(|summary| summary.first_token_p95_ms as f64),
            case.mean(|summary| summary.between_tokens_p95_ms as f64),
            case.mean(|summary| summary.refused_at_once_percent),
            case.mean(|summary| summary.call_p95_ms as f64),
            case.mean(|summary| (summary.admitted - summary.whole) as f64),
            case.mean(|summary| summary.violations.len() as f64),
        );
    }
}
