//! Randomized soak test: runs the real entries as processes on loopback, injects faults from
//! outside, and checks the guarantees against what callers and replicas saw.
//!
//! A seed fixes which faults are injected when. Their effects still depend on the timing of the
//! machine, so the checks must allow for any timing.

pub mod accounts;
pub mod action;
pub mod callers;
pub mod checks;
mod deadly;
pub mod features;
pub mod fleet;
mod inject;
mod lost;
mod notices;
mod overlap;
pub mod plan;
pub mod proxy;
mod rate_limits;
pub mod replica_node;
mod retry_budget;
pub mod stop_plan;
mod versions;
mod whole;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::callers::Callers;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::features::Features;
use crate::fleet::Fleet;
use crate::fleet::FleetShape;
use crate::inject::Injector;
use crate::plan::RunSize;

/// Settings of a run, apart from its seed.
#[derive(Debug, Clone, Copy)]
pub struct RunSettings {
    /// Number of entries, each its own process.
    pub entries: usize,
    /// Number of callers, each of which sends one request at a time.
    pub callers: usize,
    /// Number of replicas of each service.
    pub shape: FleetShape,
    /// Time during which faults and planned changes start.
    pub fault_duration: Duration,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            entries: 3,
            callers: 12,
            shape: FleetShape::default(),
            fault_duration: Duration::from_secs(12),
        }
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of requests with a known outcome, including the probes after the last fault.
    pub requests: usize,
    /// Number of requests that got a complete response with status 200.
    pub served: usize,
    /// Number of faults and planned changes that were injected.
    pub faults: usize,
    /// Number of role orders that engines received.
    pub orders: usize,
    /// Number of responses that replicas sent a second time.
    pub late_copies: u64,
    /// Number of streams into which replicas wrote garbage.
    pub garbled_streams: usize,
    /// Violations of guarantees; empty if the run passed.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Number of violations by guarantee, in the order of the names.
    pub fn violation_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.guarantee).or_default() += 1;
        }
        counts
    }
}

/// Time within which every entry must serve every route after the start.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which no replica may still work for callers that have disconnected.
const CLEANUP_TIME: Duration = Duration::from_secs(3);
/// Pause between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the instance records of the replicas are published again.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Starts entries from `program`, puts them under the load of callers, injects the faults that
/// `seed` plans, and checks the guarantees. The settings files and logs of the entries go to `dir`,
/// which must exist.
pub async fn run(seed: u64, program: &Path, dir: &Path, settings: RunSettings) -> Report {
    let features = Features::of_seed(seed);
    let fleet = Fleet::start(program, dir, settings.entries, settings.shape, features).await;
    let publisher = fleet.clone();
    let heartbeat = tokio::spawn(async move {
        loop {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            publisher.publish_replicas();
        }
    });
    let callers = Callers::new(fleet.clone());
    let mut violations = wait_until_served(&callers, "start", START_TIMEOUT).await;
    // Forgets the probes: some broke off because the entry was not listening yet.
    callers.requests.lock().expect("the mutex is not poisoned").clear();
    let caller_tasks: Vec<_> = (0..settings.callers)
        .map(|number| tokio::spawn(callers.clone().run_caller(seed * 1_000 + number as u64)))
        .collect();
    let size = RunSize {
        entries: settings.entries,
        replicas: settings.shape.replica_count(),
        engines: settings.shape.engines,
        fault_duration: settings.fault_duration,
    };
    let actions = plan::plan(seed, size);
    let faults = actions.len();
    let applied_actions = Injector::new(fleet.clone(), callers.clone(), program).run(actions).await;
    violations.extend(wait_until_served(&callers, "recovery", checks::RECOVERY_TIMEOUT).await);
    for caller in caller_tasks {
        caller.abort();
    }
    tokio::time::sleep(CLEANUP_TIME).await;
    heartbeat.abort();
    let requests = callers.requests.lock().expect("the mutex is not poisoned").clone();
    let deadly_requests =
        callers.deadly_requests.lock().expect("the mutex is not poisoned").clone();
    let record = RunRecord {
        fleet: &fleet,
        requests: &requests,
        applied_actions: &applied_actions,
        deadly_requests: &deadly_requests,
        issued_id_count: callers.issued_id_count(),
    };
    violations.extend(checks::check_run(&record));
    Report {
        requests: requests.len(),
        served: requests.iter().filter(|request| checks::is_served(request)).count(),
        faults,
        orders: record.orders().len(),
        late_copies: fleet.late_copies(),
        garbled_streams: fleet.garbled_streams(),
        violations,
    }
}

/// Probes every route at every entry, until each probe has succeeded once or `limit` has passed. The
/// entries are probed at the same time, the routes of each one after the other. Returns a violation
/// for each route at an entry whose probes all failed; its detail starts with `when`.
async fn wait_until_served(callers: &Arc<Callers>, when: &str, limit: Duration) -> Vec<Violation> {
    let mut probes = JoinSet::new();
    for entry in 0..callers.entry_count() {
        let callers = callers.clone();
        probes.spawn(async move { (entry, unserved_routes(&callers, entry, limit).await) });
    }
    let mut violations = Vec::new();
    while let Some(probed) = probes.join_next().await {
        let (entry, unserved) = probed.expect("a probe does not panic");
        let violation = |route| Violation::new("recover", format!("{when}: {route} at {entry}"));
        violations.extend(unserved.into_iter().map(violation));
    }
    violations
}

/// Probes the routes of an entry until each has been served once, and returns those that were not
/// within `limit`.
async fn unserved_routes(callers: &Callers, entry: usize, limit: Duration) -> Vec<&'static str> {
    let started_at = Instant::now();
    let mut unserved = callers::ROUTES.to_vec();
    while !unserved.is_empty() && started_at.elapsed() < limit {
        let mut still_unserved = Vec::new();
        for route in unserved {
            if !callers.probe(entry, route).await {
                still_unserved.push(route);
            }
        }
        unserved = still_unserved;
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    unserved
}
