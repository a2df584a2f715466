//! What a run has beside the faults that all seeds have.

use std::time::Duration;

use standins::platform::replica::Replica;

use crate::plan;
use crate::stop_plan::CROSSING_SEEDS;
use crate::stop_plan::STOP_SEEDS;
use crate::stop_plan::failed_replacements_one_in;

/// What a run has only with some seeds.
#[derive(Debug, Clone, Copy)]
pub struct Features {
    /// Seed of the run.
    pub seed: u64,
    /// True if the replicas have two software versions, and callers take up broken streams.
    pub several_versions: bool,
    /// True if the configurations have client accounts.
    pub accounts: bool,
    /// True if rejections do not name the request.
    pub anonymous_rejections: bool,
    /// True if streams outlast a stop, and engines fail requests that were moved to them.
    pub outlasts_stops: bool,
    /// True if requests also cross the close of connections and listeners.
    pub crosses_closes: bool,
}

/// Timeout of the routes and deadline of the callers (`timeoutMs` and `bamboodoor-deadline-ms`).
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);
/// The same in runs whose streams outlast a stop.
const LONG_CALLER_TIMEOUT: Duration = Duration::from_secs(14);

impl Features {
    /// What the run of a seed has.
    pub fn of_seed(seed: u64) -> Self {
        let outlasts_stops = STOP_SEEDS.contains(&seed);
        Self {
            seed,
            several_versions: seed >= plan::FIRST_EXTENDED_SEED,
            accounts: seed >= plan::FIRST_ACCOUNT_SEED && !outlasts_stops,
            anonymous_rejections: plan::has_anonymous_rejections(seed),
            outlasts_stops,
            crosses_closes: CROSSING_SEEDS.contains(&seed),
        }
    }

    /// Id of the replica with a number; no other run has it, so that a request of another run that
    /// reaches it by mistake is turned away.
    pub fn replica_id(&self, number: usize) -> String {
        format!("replica-{}-{number}", self.seed)
    }

    /// Time for which a caller waits, according to its requests, and timeout of the routes.
    pub fn caller_timeout(&self) -> Duration {
        if self.outlasts_stops { LONG_CALLER_TIMEOUT } else { CALLER_TIMEOUT }
    }

    /// Sets on a replica what the run has beside the rest; replicas count up from 0.
    pub(crate) fn apply_to(&self, replica: &Replica, number: usize) {
        if self.several_versions {
            replica.set_version(VERSIONS[number % VERSIONS.len()]);
        }
        replica.anonymous_rejections.set(self.anonymous_rejections);
        let one_in =
            if self.outlasts_stops { failed_replacements_one_in(self.seed, number) } else { 0 };
        // Each replica starts with another fault.
        replica.replacement_faults.set_one_in(one_in, number as u64);
    }
}

/// Software versions of the replicas, if there are several.
const VERSIONS: [&str; 2] = ["v1", "v2"];
