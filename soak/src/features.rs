//! What a run has beside the faults that all seeds have.

use std::time::Duration;

use standins::platform::replica::Replica;

use crate::stop_plan::failed_replacements_one_in;

/// What a run has only with some seeds.
#[derive(Debug, Clone, Copy)]
pub struct Features {
    /// True if the replicas have two software versions, and callers take up broken streams.
    pub several_versions: bool,
    /// True if the configurations have client accounts.
    pub accounts: bool,
    /// True if rejections do not name the request.
    pub anonymous_rejections: bool,
    /// Seed of a run whose streams outlast a stop, and in which engines fail requests that were
    /// moved to them; `None` for other runs.
    pub stop_seed: Option<u64>,
}

/// Timeout of the routes and deadline of the callers (`timeoutMs` and `bamboodoor-deadline-ms`).
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);
/// The same in runs whose streams outlast a stop.
const LONG_CALLER_TIMEOUT: Duration = Duration::from_secs(14);

impl Features {
    /// Time for which a caller waits, according to its requests, and timeout of the routes.
    pub fn caller_timeout(&self) -> Duration {
        if self.stop_seed.is_some() { LONG_CALLER_TIMEOUT } else { CALLER_TIMEOUT }
    }

    /// Sets on a replica what the run has beside the rest; replicas count up from 0.
    pub(crate) fn apply_to(&self, replica: &Replica, number: usize) {
        if self.several_versions {
            replica.set_version(VERSIONS[number % VERSIONS.len()]);
        }
        replica.anonymous_rejections.set(self.anonymous_rejections);
        let one_in = self.stop_seed.map_or(0, |seed| failed_replacements_one_in(seed, number));
        // Each replica starts with another fault.
        replica.replacement_faults.set_one_in(one_in, number as u64);
    }
}

/// Software versions of the replicas, if there are several.
const VERSIONS: [&str; 2] = ["v1", "v2"];
