//! The error type shared by the commands and daemons of this crate.

use std::net::AddrParseError;

use compact_str::CompactString;

/// A problem in a settings or manifest file, with its position. Displayed as
/// `line:column: field: message`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {field}: {message}")]
pub struct Finding {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, such as `pools[2].blocks`.
    pub field: CompactString,
    /// What is wrong, and what was expected instead.
    pub message: String,
}

/// An error that stops a command, or keeps a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A settings or manifest file does not parse or fails its checks.
    #[error("{}", list_findings(file, findings))]
    Invalid {
        /// Path of the file.
        file: String,
        /// All problems found in the file, at least one.
        findings: Vec<Finding>,
    },
    /// A file cannot be opened or read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A settings field or command-line option is not an address of the form `IP:PORT`.
    #[error("{field}: expected an address IP:PORT: {source}")]
    Address {
        /// Name of the settings field or command-line option.
        field: &'static str,
        /// Error of the address parser.
        source: AddrParseError,
    },
    /// An operation of the operating system, such as listening on a port, failed.
    #[error("cannot {action}: {source}")]
    Io {
        /// What failed, as a verb phrase that completes "cannot ...".
        action: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The platform's log cannot be reached, or what it returns cannot be used.
    #[error("platform log: {0}")]
    Log(String),
    /// Another manifest was accepted before the published one.
    #[error(
        "manifest superseded: generation {in_force} is in force, but this manifest is based on generation {based_on}"
    )]
    Superseded {
        /// Generation of the manifest in force.
        in_force: u64,
        /// Generation that the ignored manifest is based on.
        based_on: u64,
    },
    /// A line of a trace file cannot be parsed or does not fit the manifest.
    #[error("trace line {line}: {message}")]
    Trace {
        /// Line number, from 1.
        line: usize,
        /// What is wrong with the line.
        message: String,
    },
    /// There is no workload of this name to synthesize a trace for.
    #[error("unknown user {name}: expected associacao or qayrawan")]
    UnknownWorkload {
        /// Name that was given.
        name: String,
    },
    /// The output of log lines or of metrics cannot be set up.
    #[error("cannot set up logging or metrics: {0}")]
    Logging(String),
}

fn list_findings(file: &str, findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(|finding| format!("{file}:{finding}")).collect();
    lines.join("\n")
}

/// Result whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
