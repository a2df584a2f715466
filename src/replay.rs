//! Replays traces in virtual time and summarizes the outcome.
//!
//! A replay runs the same decision cores as the daemons, against simulated engines,
//! links and plain services.

pub mod engine;
pub mod links;
pub mod simulation;
pub mod summary;
pub mod synthesis;
pub mod trace;

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use crate::error::Error;
use crate::error::Result;
use crate::manifest::Snapshot;
use crate::policy::PolicyKind;
use crate::replay::simulation::Simulation;
use crate::replay::summary::Summary;
use crate::replay::trace::Trace;

/// Settings of a replay that are not part of the trace or the manifest.
#[derive(Debug, Clone)]
pub struct ReplayConfig {
    /// Routing policy of all entries.
    pub policy: PolicyKind,
    /// Seed of all random choices in the replay.
    pub seed: u64,
    /// Number of entries, to which requests are assigned round robin.
    pub entries: usize,
    /// Number of entries that each agent is connected to; 0 connects all.
    pub entries_per_agent: usize,
}

impl Default for ReplayConfig {
    fn default() -> Self {
        Self { policy: PolicyKind::default(), seed: 1, entries: 3, entries_per_agent: 0 }
    }
}

/// Replays a whole trace and returns the summary of its requests.
///
/// # Errors
/// Returns [`Error::Trace`] if the trace names models or services that the manifest
/// does not have or zones that its header does not list, or if the header lists none.
pub fn replay(trace: &Trace, snapshot: &Snapshot, config: &ReplayConfig) -> Result<Summary> {
    trace.check(snapshot)?;
    let mut simulation = Simulation::new(trace, snapshot, config);
    simulation.run();
    Ok(simulation.into_summary())
}

/// Replays the trace file at `path` with the manifest file `manifest`. If `manifest` is
/// `None`, replays it with the manifest that the header of the trace names.
///
/// # Errors
/// Returns [`Error::Read`] if a file cannot be read, [`Error::Trace`] if the trace is
/// not valid or does not fit the manifest, and [`Error::Invalid`] if the manifest is
/// not valid.
pub fn replay_file(path: &Path, manifest: Option<&Path>, config: &ReplayConfig) -> Result<Summary> {
    let trace_file = File::open(path).map_err(|source| read_error(path, source))?;
    let trace = Trace::read(BufReader::new(trace_file))?;
    let named = path.parent().unwrap_or(Path::new(".")).join(&trace.header.manifest);
    let manifest = manifest.unwrap_or(&named);
    let body = std::fs::read_to_string(manifest).map_err(|source| read_error(manifest, source))?;
    let file = manifest.display().to_string();
    let snapshot =
        Snapshot::parse(1, &body).map_err(|findings| Error::Invalid { file, findings })?;
    replay(&trace, &snapshot, config)
}

fn read_error(path: &Path, source: std::io::Error) -> Error {
    Error::Read { file: path.display().to_string(), source }
}
