//! Starts a fleet of stand-ins, agents and entries on loopback, sends requests through
//! real sockets and prints a short report.
//!
//! With `--stay` the fleet keeps running until it is interrupted.

#[path = "quickstart/fleet.rs"]
mod fleet;

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use fleet::ENTRIES;
use fleet::Fleet;
use standins::caller::Caller;

/// Number of generation requests.
const COMPLETIONS: usize = 120;
/// Number of calls to the plain service.
const LOOKUPS: usize = 60;
const MAX_TOKENS: u32 = 48;
const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(1);
const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(52);
/// Time between the starts of two generation requests.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(25);

#[tokio::main]
async fn main() -> ExitCode {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let fleet = Fleet::start(include_str!("associacao.jsonc")).await;
    let started = Instant::now();
    let completions = send_completions(&fleet).await;
    let elapsed = started.elapsed();
    let succeeded_lookups = send_lookups(&fleet).await;
    let submission_runs = send_submission(&fleet).await;
    let held_blocks = fleet.wait_until_blocks_freed().await;
    let code =
        report(&fleet, &completions, elapsed, succeeded_lookups, submission_runs, held_blocks);
    if std::env::args().any(|argument| argument == "--stay") {
        for number in 0..ENTRIES {
            println!("an entry listens on http://{}", fleet.entry_address(number));
        }
        println!("Ctrl-C ends it");
        std::future::pending::<()>().await;
    }
    code
}

/// Response to one generation request, as its caller received it.
struct Completion {
    /// True if the response has the expected text and its final event.
    complete: bool,
    time_to_first_token: Duration,
    token_intervals: Vec<Duration>,
}

/// Returns a prompt whose length varies with the number of the request.
fn prompt(number: usize) -> String {
    let lines = 4 + (number * 37) % 180;
    let ledger = "lote 14 ovelha Santa Inês 38 kg R$ 412,00 feira de Petrolina\n".repeat(lines);
    format!("Boletim regional {number}.\n{ledger}")
}

async fn send_completions(fleet: &Fleet) -> Vec<Completion> {
    let mut tasks = Vec::new();
    for number in 0..COMPLETIONS {
        let client = Caller::new(fleet.entry_address(number));
        tasks.push(tokio::spawn(async move {
            let prompt = prompt(number);
            let streamed =
                client.stream_completion("redator", &prompt, MAX_TOKENS, "boletim").await;
            let expected = standins::engine::completion(&prompt, MAX_TOKENS);
            Completion {
                complete: streamed.text == expected && streamed.done,
                time_to_first_token: streamed.time_to_first_token,
                token_intervals: streamed.token_intervals,
            }
        }));
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    let mut completions = Vec::new();
    for task in tasks {
        completions.push(task.await.expect("a request task does not panic"));
    }
    completions
}

/// Sends the lookups and returns how many succeeded.
async fn send_lookups(fleet: &Fleet) -> usize {
    let mut succeeded = 0;
    for number in 0..LOOKUPS {
        let client = Caller::new(fleet.entry_address(number));
        let path = format!("/services/balcao/prices/santa-ines?week={number}");
        let (status, _) = client.call("GET", &path, None, "").await;
        succeeded += usize::from(status == 200);
    }
    succeeded
}

/// Sends one price submission twice with the same idempotency key, through two
/// entries, and returns how many times it ran.
async fn send_submission(fleet: &Fleet) -> usize {
    for number in 0..2 {
        let client = Caller::new(fleet.entry_address(number));
        client.call("POST", "/services/balcao/prices", Some("feira-0412"), "R$ 412,00").await;
    }
    fleet.submissions_run()
}

/// Returns the value below which the given share of the values lies.
fn percentile(values: &mut [Duration], share: f64) -> Duration {
    values.sort_unstable();
    let index = (values.len() as f64 * share) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or_default()
}

/// Prints the report. The exit code is a failure if a response is not complete, a
/// lookup failed, the submission did not run exactly once or engines still hold blocks.
fn report(
    fleet: &Fleet,
    completions: &[Completion],
    elapsed: Duration,
    succeeded_lookups: usize,
    submission_runs: usize,
    held_blocks: u32,
) -> ExitCode {
    let complete = completions.iter().filter(|completion| completion.complete).count();
    let mut first_token_times: Vec<Duration> =
        completions.iter().map(|completion| completion.time_to_first_token).collect();
    let mut token_intervals: Vec<Duration> =
        completions.iter().flat_map(|completion| completion.token_intervals.clone()).collect();
    let in_time = completions.iter().filter(|completion| {
        let late_intervals = completion
            .token_intervals
            .iter()
            .filter(|interval| **interval > BETWEEN_TOKENS_TARGET)
            .count();
        completion.complete
            && completion.time_to_first_token <= FIRST_TOKEN_TARGET
            && late_intervals * 20 <= completion.token_intervals.len()
    });
    let goodput = in_time.count() as f64 / elapsed.as_secs_f64();
    let (prefills, streams) = fleet.prefills_and_streams();
    let wasted = 100.0 * (prefills.saturating_sub(streams)) as f64 / (prefills.max(1)) as f64;
    println!("answers whole          {complete} of {COMPLETIONS}");
    println!(
        "first token            p50 {:?}  p95 {:?}",
        percentile(&mut first_token_times, 0.5),
        percentile(&mut first_token_times, 0.95)
    );
    println!(
        "between tokens         p50 {:?}  p95 {:?}",
        percentile(&mut token_intervals, 0.5),
        percentile(&mut token_intervals, 0.95)
    );
    println!("goodput                {goodput:.1} answers/s within both targets");
    println!("wasted prefill         {wasted:.1} % of prefills");
    println!("lookups answered       {succeeded_lookups} of {LOOKUPS}");
    println!("price submissions run  {submission_runs} (sent twice with one key)");
    println!("blocks held at the end {held_blocks}");
    let good = complete == COMPLETIONS
        && succeeded_lookups == LOOKUPS
        && submission_runs == 1
        && held_blocks == 0;
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
