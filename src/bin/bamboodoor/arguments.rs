//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Publishes manifests and tells what the fleet did.
///
/// Exit codes: 0 done, 1 the answer is no (superseded, not found, processes
/// disagree), 2 the arguments or a file are not valid, 3 the platform could
/// not be reached and the outcome may be unknown.
#[derive(FromArgs)]
pub struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(Check),
    Publish(Publish),
    Status(Status),
    Explain(Explain),
}

/// Check a manifest as every process will.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file with the manifest, JSON with comments
    #[argh(positional)]
    pub manifest: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Publish a manifest and wait until it is accepted or superseded.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// file with the manifest, JSON with comments
    #[argh(positional)]
    pub manifest: PathBuf,
    /// address of the log, IP:PORT
    #[argh(option)]
    pub log: String,
    /// generation the manifest was written against; default: the one in force
    #[argh(option)]
    pub based_on: Option<u64>,
    /// who publishes, for the record
    #[argh(option, default = "String::from(\"pipeline\")")]
    pub publisher: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Ask processes for their state; succeeds if all hold the same generation.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// operators' addresses of entries and agents, IP:PORT
    #[argh(positional)]
    pub addresses: Vec<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Rebuild the timeline of one request from JSON log lines.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// name of the request, as echoed in x-request-id
    #[argh(positional)]
    pub request_id: String,
    /// files with log lines; default: standard input
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
