//! Replays a recorded trace through the very cores that the daemons run, in
//! virtual time, against small fakes of engines, links and services.

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

/// How a trace is replayed.
#[derive(Debug, Clone)]
pub struct ReplayConfig {
    /// Way of routing.
    pub policy: PolicyKind,
    /// Seed of every random choice.
    pub seed: u64,
    /// Entries that share the arrivals.
    pub entries: usize,
    /// Entries that each agent is connected to; 0 connects everything.
    pub entries_per_agent: usize,
}

impl Default for ReplayConfig {
    fn default() -> Self {
        Self { policy: PolicyKind::default(), seed: 1, entries: 3, entries_per_agent: 0 }
    }
}

/// Replays a whole trace and returns what came of its requests.
///
/// # Errors
/// The trace names models, services or zones that the manifest does not have.
pub fn replay(trace: &Trace, snapshot: &Snapshot, config: &ReplayConfig) -> Result<Summary> {
    trace.check(snapshot)?;
    let mut simulation = Simulation::new(trace, snapshot, config);
    simulation.run();
    Ok(simulation.into_summary())
}

/// Replays a trace file with the manifest that it names, or another.
///
/// # Errors
/// A file cannot be read or is not valid.
pub fn replay_file(path: &Path, manifest: Option<&Path>, config: &ReplayConfig) -> Result<Summary> {
    let opened = File::open(path).map_err(|source| read_error(path, source))?;
    let trace = Trace::read(BufReader::new(opened))?;
    let beside = path.parent().unwrap_or(Path::new(".")).join(&trace.header.manifest);
    let manifest = manifest.unwrap_or(&beside);
    let body = std::fs::read_to_string(manifest).map_err(|source| read_error(manifest, source))?;
    let file = manifest.display().to_string();
    let snapshot =
        Snapshot::parse(1, &body).map_err(|findings| Error::Invalid { file, findings })?;
    replay(&trace, &snapshot, config)
}

fn read_error(path: &Path, source: std::io::Error) -> Error {
    Error::Read { file: path.display().to_string(), source }
}
