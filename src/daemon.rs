//! Startup, command line and shutdown signals of the two daemons, entry and agent.

pub mod agent;
pub mod entry;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::Error;
use crate::error::Result;

const EXIT_STARTUP_FAILED: u8 = 2;

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

/// Parses the command line of the daemon `program`, passes its settings file to
/// `run`, and returns the process exit code. Errors are printed to standard error.
pub fn run_program(program: &str, run: impl Fn(&Path) -> Result<()>) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("{program}: missing the option --settings FILE; see {program} --help");
        return ExitCode::from(EXIT_STARTUP_FAILED);
    };
    match run(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::from(EXIT_STARTUP_FAILED)
        }
    }
}

/// Returns the incarnation of a process that starts now: microseconds
/// since the Unix epoch, so a later start has a higher number unless the system
/// clock was set back. Returns 0 if the clock is before 1970.
pub fn new_incarnation() -> u64 {
    let since_epoch = crate::clock::unix_time();
    since_epoch.as_micros() as u64
}

/// Waits for SIGTERM or SIGINT, which ask for a graceful shutdown.
///
/// # Errors
/// Returns [`Error::Io`] if a signal handler cannot be installed.
pub async fn wait_for_stop_signal() -> Result<()> {
    let install = |source| Error::Io { action: "install a handler for SIGTERM or SIGINT", source };
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
    let action = "read the local address of a listening socket";
    listener.local_addr().map_err(|source| Error::Io { action, source })
}
