//! `bamboodoor-entry --settings FILE`: the daemon that serves callers' requests.

use std::path::Path;
use std::process::ExitCode;

use bamboodoor::daemon::entry::RunningEntry;
use bamboodoor::daemon::run_program;
use bamboodoor::daemon::wait_for_stop_signal;
use bamboodoor::edge::logs::init_logs;
use bamboodoor::error::Result;
use bamboodoor::settings;

fn main() -> ExitCode {
    run_program("bamboodoor-entry", run)
}

#[tokio::main]
async fn run(path: &Path) -> Result<()> {
    let settings = settings::read_entry(path)?;
    init_logs(&settings.log_level)?;
    let entry = RunningEntry::start(&settings).await?;
    spdlog::info!("listening", kv: {
        instance: = settings.name,
        address: = entry.address,
        operators_address: = entry.operators_address
    });
    wait_for_stop_signal().await?;
    entry.leave();
    entry.wait_until_stopped().await;
    Ok(())
}
