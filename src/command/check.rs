//! `bamboodoor check MANIFEST`: the check that every process will run.

use std::path::Path;

use crate::error::Error;
use crate::error::Result;
use crate::manifest::Snapshot;

/// Reads and checks a manifest file and returns its body.
///
/// # Errors
/// The file cannot be read, or everything found wrong in it.
pub fn check(path: &Path) -> Result<String> {
    let file = path.display().to_string();
    let body = std::fs::read_to_string(path)
        .map_err(|source| Error::Read { file: file.clone(), source })?;
    match Snapshot::parse(0, &body) {
        Ok(_) => Ok(body),
        Err(findings) => Err(Error::Invalid { file, findings }),
    }
}
