//! `bamboodoor check MANIFEST`: validates a manifest file with the same check
//! that entries and agents apply before they adopt a manifest.

use std::path::Path;

use crate::error::Error;
use crate::error::Result;
use crate::manifest::Snapshot;

/// Reads and validates a manifest file and returns its text.
///
/// # Errors
/// Returns [`Error::Read`] if the file cannot be read, and [`Error::Invalid`] with
/// all findings if it is not a valid manifest.
pub fn check(path: &Path) -> Result<String> {
    let file = path.display().to_string();
    let body = std::fs::read_to_string(path)
        .map_err(|source| Error::Read { file: file.clone(), source })?;
    match Snapshot::parse(0, &body) {
        Ok(_) => Ok(body),
        Err(findings) => Err(Error::Invalid { file, findings }),
    }
}
