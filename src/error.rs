//! The one error type of the crate.

use std::net::AddrParseError;

use compact_str::CompactString;

/// A place in a file where something else was expected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {field}: {message}")]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, such as `pools[2].blocks`.
    pub field: CompactString,
    /// What was found and what was expected.
    pub message: String,
}

/// Everything that can stop a command or a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A settings or manifest file that does not hold what it must.
    #[error("{}", list_findings(file, findings))]
    Invalid {
        /// Name of the file.
        file: String,
        /// Everything found wrong in it.
        findings: Vec<Finding>,
    },
    /// A file that cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// Name of the file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// An address that is not IP:PORT.
    #[error("{field}: expected IP:PORT: {source}")]
    Address {
        /// Field that holds the address.
        field: &'static str,
        /// Why.
        source: AddrParseError,
    },
    /// The operating system refused something.
    #[error("{action}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The platform's log could not be reached or answered wrongly.
    #[error("log: {0}")]
    Log(String),
    /// Another manifest was accepted first.
    #[error("superseded: generation {in_force} is in force, this manifest was based on {based_on}")]
    Superseded {
        /// Generation in force.
        in_force: u64,
        /// Generation that the refused manifest was written against.
        based_on: u64,
    },
    /// A trace that cannot be replayed.
    #[error("trace line {line}: {message}")]
    Trace {
        /// Line, from 1.
        line: usize,
        /// What was expected.
        message: String,
    },
    /// Logging could not be set up.
    #[error("logging: {0}")]
    Logging(String),
}

fn list_findings(file: &str, findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(|finding| format!("{file}:{finding}")).collect();
    lines.join("\n")
}

/// Result with the error of this crate.
pub type Result<T> = std::result::Result<T, Error>;
