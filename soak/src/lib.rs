//! A randomized soak: the real entries as processes on loopback, faults from
//! outside them, and the promises checked from what callers and upstreams see.
//!
//! A seed fixes which faults come when. What a seed meets still depends on the
//! machine's timing, so every check holds for any timing.

pub mod callers;
pub mod checks;
pub mod fleet;
mod inject;
pub mod plan;
pub mod proxy;

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::callers::Callers;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::fleet::Fleet;
use crate::inject::Injector;
use crate::plan::RunSize;

/// How a run is made.
#[derive(Debug, Clone, Copy)]
pub struct RunSettings {
    /// Entries.
    pub entries: usize,
    /// Callers.
    pub callers: usize,
    /// How long faults are injected.
    pub fault_duration: Duration,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self { entries: 3, callers: 12, fault_duration: Duration::from_secs(12) }
    }
}

/// What a run showed.
#[derive(Debug)]
pub struct Report {
    /// Requests that callers sent.
    pub requests: usize,
    /// Of these, answered whole with a success.
    pub served: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Orders that engines got.
    pub orders: usize,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Work of callers that left has ended everywhere after that.
const QUIET: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Plays one seed. Logs of the entries go to `dir`.
pub async fn run(seed: u64, program: &Path, dir: &Path, settings: RunSettings) -> Report {
    let fleet = Fleet::start(program, dir, settings.entries).await;
    let publisher = fleet.clone();
    let heartbeat = tokio::spawn(async move {
        loop {
            tokio::time::sleep(HEARTBEAT).await;
            publisher.publish_replicas();
        }
    });
    let callers = Callers::new(fleet.clone());
    let mut violations = recover(&callers, "start", START_TIMEOUT).await;
    // Entries that do not listen yet break connections off.
    callers.requests.lock().expect("no holder panics").clear();
    let asking: Vec<_> = (0..settings.callers)
        .map(|number| tokio::spawn(callers.clone().run_caller(seed * 1_000 + number as u64)))
        .collect();
    let size = RunSize {
        entries: settings.entries,
        replicas: fleet::REPLICA_COUNT,
        fault_duration: settings.fault_duration,
    };
    let actions = plan::plan(seed, size);
    let faults = actions.len();
    let applied_actions = Injector::new(fleet.clone(), program).run(actions).await;
    violations.extend(recover(&callers, "recovery", checks::RECOVERY_TIMEOUT).await);
    for caller in asking {
        caller.abort();
    }
    tokio::time::sleep(QUIET).await;
    heartbeat.abort();
    let attempts = callers.requests.lock().expect("no holder panics").clone();
    let record = RunRecord {
        fleet: &fleet,
        attempts: &attempts,
        applied_actions: &applied_actions,
        issued: callers.issued_ids(),
    };
    violations.extend(checks::check_run(&record));
    Report {
        requests: attempts.len(),
        served: attempts.iter().filter(|attempt| checks::is_served(attempt)).count(),
        faults,
        orders: record.orders().len(),
        violations,
    }
}

/// Asks every entry for every kind of request until each was served once.
async fn recover(callers: &Callers, when: &str, limit: Duration) -> Vec<Violation> {
    let begin = Instant::now();
    let mut missing: Vec<(usize, &'static str)> = Vec::new();
    for entry in 0..callers.entries() {
        missing.extend(callers::ROUTES.iter().map(|route| (entry, *route)));
    }
    while !missing.is_empty() && begin.elapsed() < limit {
        let mut still = Vec::new();
        for (entry, route) in missing {
            if !callers.probe(entry, route).await {
                still.push((entry, route));
            }
        }
        missing = still;
        tokio::time::sleep(POLL).await;
    }
    let unserved =
        |(entry, route)| Violation::new("recover", format!("{when}: {route} at {entry}"));
    missing.into_iter().map(unserved).collect()
}
