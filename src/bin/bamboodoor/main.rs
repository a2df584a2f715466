//! `bamboodoor`: command-line tool for operators.

mod arguments;
mod output;

use std::io::BufRead;
use std::io::BufReader;
use std::process::ExitCode;

use arguments::Arguments;
use arguments::Command;
use bamboodoor::command::check;
use bamboodoor::command::explain;
use bamboodoor::command::publish;
use bamboodoor::command::publish::Publication;
use bamboodoor::command::status;
use bamboodoor::edge::http::HttpClient;
use bamboodoor::edge::platform::LogClient;
use bamboodoor::error::Error;
use bamboodoor::error::Result;
use bamboodoor::manifest::Snapshot;
use bamboodoor::replay;
use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::synthesis;
use bamboodoor::replay::synthesis::Synthesis;

/// The command ran, but its result is negative: the manifest was superseded, no log line of
/// the request was found, processes disagree, or the replay found violations.
const EXIT_NEGATIVE_RESULT: u8 = 1;
/// The arguments or an input file are not valid, or a local operation failed.
const EXIT_INVALID: u8 = 2;
/// The platform could not be used; the outcome of the command may be unknown.
const EXIT_UNREACHABLE: u8 = 3;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("bamboodoor {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("bamboodoor: missing a command; see bamboodoor --help");
        return ExitCode::from(EXIT_INVALID);
    };
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_NEGATIVE_RESULT),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(exit_code(&error))
        }
    }
}

fn exit_code(error: &Error) -> u8 {
    match error {
        Error::Superseded { .. } => EXIT_NEGATIVE_RESULT,
        Error::Log(_) => EXIT_UNREACHABLE,
        _ => EXIT_INVALID,
    }
}

/// Runs the command; returns false if its result is negative.
fn run(command: Command) -> Result<bool> {
    match command {
        Command::Check(arguments) => {
            check::check(&arguments.manifest)?;
            output::print_check(&arguments.manifest, arguments.json);
            Ok(true)
        }
        Command::Publish(arguments) => run_publish(&arguments),
        Command::Status(arguments) => run_status(&arguments),
        Command::Explain(arguments) => run_explain(&arguments),
        Command::Replay(arguments) => run_replay(&arguments),
        Command::Synthesize(arguments) => run_synthesize(&arguments),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run_publish(arguments: &arguments::Publish) -> Result<bool> {
    let body = check::check(&arguments.manifest)?;
    let address = bamboodoor::settings::address("--log", &arguments.log)?;
    let log = LogClient::new(HttpClient::default(), address);
    let publish_id = format!("{:032x}", rand::random::<u128>());
    let publication = Publication {
        body: &body,
        publisher: &arguments.publisher,
        based_on: arguments.based_on,
        publish_id: &publish_id,
    };
    let generation = publish::publish(&log, &publication).await?;
    output::print_publication(generation, arguments.json);
    Ok(true)
}

#[tokio::main(flavor = "current_thread")]
async fn run_status(arguments: &arguments::Status) -> Result<bool> {
    let parsed =
        arguments.addresses.iter().map(|text| bamboodoor::settings::address("ADDRESS", text));
    let addresses = parsed.collect::<Result<Vec<_>>>()?;
    let statuses = status::status(&addresses).await;
    output::print_statuses(&statuses, arguments.json);
    Ok(status::generations_agree(&statuses))
}

fn run_explain(arguments: &arguments::Explain) -> Result<bool> {
    let mut readers: Vec<Box<dyn BufRead>> = Vec::new();
    for path in &arguments.files {
        let file = path.display().to_string();
        let opened = std::fs::File::open(path).map_err(|source| Error::Read { file, source })?;
        readers.push(Box::new(BufReader::new(opened)));
    }
    if readers.is_empty() {
        readers.push(Box::new(BufReader::new(std::io::stdin())));
    }
    let steps = explain::explain(&arguments.request_id, readers);
    output::print_steps(&steps, arguments.json);
    Ok(!steps.is_empty())
}

fn run_replay(arguments: &arguments::Replay) -> Result<bool> {
    let config =
        ReplayConfig { policy: arguments.policy, seed: arguments.seed, ..ReplayConfig::default() };
    let summary = replay::replay_file(&arguments.trace, arguments.manifest.as_deref(), &config)?;
    output::print_summary(&summary, arguments.json);
    Ok(summary.violations.is_empty())
}

fn run_synthesize(arguments: &arguments::Synthesize) -> Result<bool> {
    let Some(workload) = synthesis::workload_of(&arguments.user) else {
        return Err(Error::UnknownWorkload { name: arguments.user.clone() });
    };
    let body = check::check(&arguments.manifest)?;
    let file = arguments.manifest.display().to_string();
    let snapshot =
        Snapshot::parse(0, &body).map_err(|findings| Error::Invalid { file, findings })?;
    let synthesis = Synthesis {
        seed: arguments.seed,
        duration_ms: arguments.duration_ms,
        load: arguments.load,
        ..Synthesis::default()
    };
    let trace = synthesis::synthesize(&workload, &snapshot, &synthesis);
    let write = |source| Error::Io { action: "write the trace to standard output", source };
    trace.write(std::io::stdout().lock()).map_err(write)?;
    Ok(true)
}
