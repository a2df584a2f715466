//! `bamboodoor-agent --settings FILE`: the daemon that runs beside each upstream and
//! drives it for the entries.

use std::path::Path;
use std::process::ExitCode;

use bamboodoor::daemon::agent::RunningAgent;
use bamboodoor::daemon::run_program;
use bamboodoor::daemon::wait_for_stop_signal;
use bamboodoor::edge::logs::init_logs;
use bamboodoor::error::Result;
use bamboodoor::settings;

fn main() -> ExitCode {
    run_program("bamboodoor-agent", run)
}

#[tokio::main]
async fn run(path: &Path) -> Result<()> {
    let settings = settings::read_agent(path)?;
    init_logs(&settings.log_level)?;
    let agent = RunningAgent::start(&settings).await?;
    spdlog::info!("listening", kv: {
        instance: = settings.name,
        address: = agent.address,
        operators_address: = agent.operators_address
    });
    wait_for_stop_signal().await?;
    agent.leave();
    agent.wait_until_stopped().await;
    Ok(())
}
