//! Starts stand-ins, agents and entries on loopback, sends real requests
//! through real sockets and prints a short report.

#[path = "quickstart/fleet.rs"]
mod fleet;

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use fleet::ENTRIES;
use fleet::Fleet;
use standins::caller::Caller;

const DRAFTS: usize = 120;
const LOOKUPS: usize = 60;
const MAX_TOKENS: u32 = 48;
const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(1);
const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(52);
const ARRIVAL_GAP: Duration = Duration::from_millis(25);

#[tokio::main]
async fn main() -> ExitCode {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let fleet = Fleet::start(include_str!("associacao.jsonc")).await;
    let started = Instant::now();
    let drafts = send_drafts(&fleet).await;
    let elapsed = started.elapsed();
    let lookups = send_lookups(&fleet).await;
    let submissions = send_submission(&fleet).await;
    let held_blocks = fleet.settle().await;
    let code = report(&fleet, &drafts, elapsed, lookups, submissions, held_blocks);
    if std::env::args().any(|argument| argument == "--stay") {
        for number in 0..ENTRIES {
            println!("an entry listens on http://{}", fleet.entry_address(number));
        }
        println!("Ctrl-C ends it");
        std::future::pending::<()>().await;
    }
    code
}

/// What one caller saw.
struct Draft {
    whole: bool,
    first_token: Duration,
    gaps: Vec<Duration>,
}

fn prompt(number: usize) -> String {
    let lines = 4 + (number * 37) % 180;
    let ledger = "lote 14 ovelha Santa Inês 38 kg R$ 412,00 feira de Petrolina\n".repeat(lines);
    format!("Boletim regional {number}.\n{ledger}")
}

async fn send_drafts(fleet: &Fleet) -> Vec<Draft> {
    let mut tasks = Vec::new();
    for number in 0..DRAFTS {
        let client = Caller::new(fleet.entry_address(number));
        tasks.push(tokio::spawn(async move {
            let prompt = prompt(number);
            let answer = client.stream_completion("redator", &prompt, MAX_TOKENS, "boletim").await;
            let expected = standins::engine::completion(&prompt, MAX_TOKENS);
            Draft {
                whole: answer.text == expected && answer.done,
                first_token: answer.time_to_first_token,
                gaps: answer.token_intervals,
            }
        }));
        tokio::time::sleep(ARRIVAL_GAP).await;
    }
    let mut drafts = Vec::new();
    for task in tasks {
        drafts.push(task.await.expect("a draft does not panic"));
    }
    drafts
}

async fn send_lookups(fleet: &Fleet) -> usize {
    let mut answered = 0;
    for number in 0..LOOKUPS {
        let client = Caller::new(fleet.entry_address(number));
        let path = format!("/services/balcao/prices/santa-ines?week={number}");
        let (status, _) = client.call("GET", &path, None, "").await;
        answered += usize::from(status == 200);
    }
    answered
}

/// Sends one price submission twice with the same key, through two entries.
async fn send_submission(fleet: &Fleet) -> usize {
    for number in 0..2 {
        let client = Caller::new(fleet.entry_address(number));
        client.call("POST", "/services/balcao/prices", Some("feira-0412"), "R$ 412,00").await;
    }
    fleet.submissions_run()
}

fn percentile(values: &mut [Duration], share: f64) -> Duration {
    values.sort_unstable();
    let index = (values.len() as f64 * share) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or_default()
}

fn report(
    fleet: &Fleet,
    drafts: &[Draft],
    elapsed: Duration,
    lookups: usize,
    submissions: usize,
    held_blocks: u32,
) -> ExitCode {
    let whole = drafts.iter().filter(|draft| draft.whole).count();
    let mut first: Vec<Duration> = drafts.iter().map(|draft| draft.first_token).collect();
    let mut gaps: Vec<Duration> = drafts.iter().flat_map(|draft| draft.gaps.clone()).collect();
    let in_time = drafts.iter().filter(|draft| {
        let late_gaps = draft.gaps.iter().filter(|gap| **gap > BETWEEN_TOKENS_TARGET).count();
        draft.whole && draft.first_token <= FIRST_TOKEN_TARGET && late_gaps * 20 <= draft.gaps.len()
    });
    let goodput = in_time.count() as f64 / elapsed.as_secs_f64();
    let (prefills, streams) = fleet.prefills_and_streams();
    let wasted = 100.0 * (prefills.saturating_sub(streams)) as f64 / (prefills.max(1)) as f64;
    println!("answers whole          {whole} of {DRAFTS}");
    println!(
        "first token            p50 {:?}  p95 {:?}",
        percentile(&mut first, 0.5),
        percentile(&mut first, 0.95)
    );
    println!(
        "between tokens         p50 {:?}  p95 {:?}",
        percentile(&mut gaps, 0.5),
        percentile(&mut gaps, 0.95)
    );
    println!("goodput                {goodput:.1} answers/s within both targets");
    println!("wasted prefill         {wasted:.1} % of prefills");
    println!("lookups answered       {lookups} of {LOOKUPS}");
    println!("price submissions run  {submissions} (sent twice with one key)");
    println!("blocks held at the end {held_blocks}");
    let good = whole == DRAFTS && lookups == LOOKUPS && submissions == 1 && held_blocks == 0;
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
