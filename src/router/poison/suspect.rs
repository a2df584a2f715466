//! What may make a run crash its upstream.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::fingerprint::Fingerprint;
use crate::router::request::PromptPartId;

/// Something that may make a run crash its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Suspect {
    /// A part of the prompt, whatever else the request holds.
    Part(PromptPartId),
    /// The request as a whole.
    Request(Fingerprint),
}

const PART_PREFIX: &str = "part.";
const REQUEST_PREFIX: &str = "request.";

impl Display for Suspect {
    /// Writes the key of the suspect in the store.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Part(part) => write!(formatter, "{PART_PREFIX}{}", part.0),
            Self::Request(request) => write!(formatter, "{REQUEST_PREFIX}{request}"),
        }
    }
}

/// The text is not the key of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not the key of a suspect")]
pub struct InvalidSuspect;

impl FromStr for Suspect {
    type Err = InvalidSuspect;

    /// Parses the key of a suspect in the store.
    fn from_str(key: &str) -> Result<Self, InvalidSuspect> {
        if let Some(request) = key.strip_prefix(REQUEST_PREFIX) {
            return request.parse().map(Self::Request).map_err(|_| InvalidSuspect);
        }
        let part = key.strip_prefix(PART_PREFIX).ok_or(InvalidSuspect)?;
        Ok(Self::Part(PromptPartId(part.into())))
    }
}

/// One incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Id of the instance.
    pub id: CompactString,
    /// Its start time in milliseconds since the Unix epoch; 0 if not known.
    pub started_ms: u64,
}

/// Run under which its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Id of the request.
    pub request_id: CompactString,
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Upstream that crashed.
    pub upstream: Incarnation,
    /// What may have made it crash.
    pub suspects: Vec<Suspect>,
    /// True if the run was to find out whether a suspect still crashes upstreams.
    pub is_trial: bool,
}

/// Crashed run with the time since the crash, as far as clocks of different instances agree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgedRun {
    /// The run.
    pub run: CrashedRun,
    /// Time since the crash.
    pub age: Duration,
}

/// What the store holds about a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectRecord {
    /// Runs with the suspect that crashed.
    Crashed(Vec<AgedRun>),
    /// Nothing: it is harmless, or its crashes are long ago.
    Harmless,
}
