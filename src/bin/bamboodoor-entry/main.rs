//! `bamboodoor-entry --settings FILE`: the process that callers talk to.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bamboodoor::daemon::entry::RunningEntry;
use bamboodoor::daemon::planned_stop;
use bamboodoor::edge::telemetry::init_logs;
use bamboodoor::error::Result;
use bamboodoor::settings;

const EXIT_SETTINGS: u8 = 2;

/// Takes requests of callers and routes them to agents.
#[derive(FromArgs)]
struct Arguments {
    /// file with the settings, JSON with comments
    #[argh(option)]
    settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("bamboodoor-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("bamboodoor-entry: expected --settings FILE");
        return ExitCode::from(EXIT_SETTINGS);
    };
    match run(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bamboodoor-entry: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

#[tokio::main]
async fn run(path: &std::path::Path) -> Result<()> {
    let settings = settings::read_entry(path)?;
    init_logs(&settings.log_level)?;
    let entry = RunningEntry::start(&settings).await?;
    spdlog::info!("listening", kv: {
        instance: = settings.name,
        address: = entry.address,
        operators_address: = entry.operators_address
    });
    planned_stop().await?;
    entry.leave();
    entry.stopped().await;
    Ok(())
}
