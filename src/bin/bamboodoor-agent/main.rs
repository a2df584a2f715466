//! `bamboodoor-agent --settings FILE`: the process beside an upstream.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bamboodoor::daemon::agent::RunningAgent;
use bamboodoor::daemon::planned_stop;
use bamboodoor::edge::telemetry::init_logs;
use bamboodoor::error::Result;
use bamboodoor::settings;

const EXIT_SETTINGS: u8 = 2;

/// Guards one upstream and carries out what entries ask for.
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
        println!("bamboodoor-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("bamboodoor-agent: expected --settings FILE");
        return ExitCode::from(EXIT_SETTINGS);
    };
    match run(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bamboodoor-agent: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

#[tokio::main]
async fn run(path: &std::path::Path) -> Result<()> {
    let settings = settings::read_agent(path)?;
    init_logs(&settings.log_level)?;
    let agent = RunningAgent::start(&settings).await?;
    spdlog::info!("listening", kv: {
        instance: = settings.name,
        address: = agent.address,
        operators_address: = agent.operators_address
    });
    planned_stop().await?;
    agent.leave();
    agent.stopped().await;
    Ok(())
}
