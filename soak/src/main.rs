//! Runs the soak test with one or more seeds and prints the result of each.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::RunSettings;
use soak::fleet::FleetShape;

/// Randomized faults against the real entries.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// path of the entry program
    #[argh(option, default = "PathBuf::from(\"target/release/bamboodoor-platform\")")]
    program: PathBuf,
    /// directory for the logs, with one directory for each seed
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds, counting up from the first
    #[argh(option, default = "1")]
    seeds: u64,
    /// number of entries
    #[argh(option, default = "3")]
    entries: usize,
    /// number of callers
    #[argh(option, default = "12")]
    callers: usize,
    /// number of engines
    #[argh(option, default = "FleetShape::default().engines")]
    engines: usize,
    /// number of replicas of the plain service for lookups and bookings
    #[argh(option, default = "FleetShape::default().desks")]
    desks: usize,
    /// time during which faults are injected, in seconds
    #[argh(option, default = "12")]
    length_s: u64,
}

/// Most violations that are printed for one seed.
const MAX_PRINTED_VIOLATIONS: usize = 10;
/// Most characters of a violation that are printed: a response may have garbage without an end.
const MAX_PRINTED_CHARS: usize = 4_000;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = RunSettings {
        entries: arguments.entries,
        callers: arguments.callers,
        shape: FleetShape { engines: arguments.engines, desks: arguments.desks },
        fault_duration: Duration::from_secs(arguments.length_s),
    };
    let mut failed_seeds = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let dir = arguments.logs.join(format!("seed-{seed}"));
        if let Err(error) = std::fs::create_dir_all(&dir) {
            eprintln!("cannot create the log directory {}: {error}", dir.display());
            return ExitCode::from(2);
        }
        let report = soak::run(seed, &arguments.program, &dir, settings).await;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} orders, {} late copies, {} garbled, {} breaches",
            report.requests,
            report.served,
            report.faults,
            report.orders,
            report.late_copies,
            report.garbled_streams,
            report.violations.len()
        );
        for (guarantee, count) in report.violation_counts() {
            println!("  {count} x {guarantee}");
        }
        for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            let detail: String = violation.detail.chars().take(MAX_PRINTED_CHARS).collect();
            println!("  {}: {detail}", violation.guarantee);
        }
        failed_seeds += u64::from(!report.violations.is_empty());
    }
    println!("{failed_seeds} of {} seeds broke a promise", arguments.seeds);
    ExitCode::from(u8::from(failed_seeds > 0))
}
