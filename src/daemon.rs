//! Builds and runs the two daemons from their settings.

pub mod agent;
pub mod entry;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use argh::FromArgs;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::Error;
use crate::error::Result;

const EXIT_SETTINGS: u8 = 2;

/// Runs one daemon of bamboodoor until a planned stop.
///
/// Exit codes: 0 stopped as planned, 2 the arguments or settings are not valid
/// or an address cannot be opened.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// file with the settings, JSON with comments
    #[argh(option)]
    settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

/// Reads the command line of a daemon, runs it, and returns its exit code.
pub fn run_program(program: &str, run: impl Fn(&Path) -> Result<()>) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("{program}: expected --settings FILE");
        return ExitCode::from(EXIT_SETTINGS);
    };
    match run(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

/// A number that differs between starts and grows with each.
pub fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// The handlers cannot be installed.
pub async fn wait_for_stop_signal() -> Result<()> {
    let install = |source| Error::Io { action: "install a signal handler", source };
    let mut terminate = signal(SignalKind::terminate()).map_err(install)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(install)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn listen(address: SocketAddr, action: &'static str) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|source| Error::Io { action, source })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr> {
    let action = "read the address of a listener";
    listener.local_addr().map_err(|source| Error::Io { action, source })
}
