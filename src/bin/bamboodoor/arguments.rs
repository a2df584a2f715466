//! Command-line arguments of `bamboodoor`. The doc comments of the items are also
//! the `--help` texts.

use std::path::PathBuf;

use argh::FromArgs;
use bamboodoor::policy::PolicyKind;

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
    Replay(Replay),
    Synthesize(Synthesize),
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

/// Replay a recorded trace through the decision core, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// file with the trace, JSON lines
    #[argh(positional)]
    pub trace: PathBuf,
    /// manifest to use instead of the one that the trace names
    #[argh(option)]
    pub manifest: Option<PathBuf>,
    /// reserve (default), round-robin, least-loaded or prefill-first
    #[argh(option, default = "PolicyKind::default()")]
    pub policy: PolicyKind,
    /// seed of every random choice; default 1
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Make a trace for one of the users' sizes and mixes, from a seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "synthesize")]
pub struct Synthesize {
    /// associacao or qayrawan
    #[argh(positional)]
    pub user: String,
    /// manifest of that user
    #[argh(option)]
    pub manifest: PathBuf,
    /// arrivals as a multiple of what the fleet can carry; default 1.0
    #[argh(option, default = "1.0")]
    pub load: f64,
    /// length of the trace; default 60000
    #[argh(option, default = "60_000")]
    pub duration_ms: u64,
    /// seed of every random choice; default 1
    #[argh(option, default = "1")]
    pub seed: u64,
}
