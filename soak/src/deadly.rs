//! Check of the requests that crash the replicas that run them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::action::Action;
use crate::callers::CallerRequest;
use crate::callers::RequestOutcome;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::replica_node::ReplicaNode;

/// Crashed replicas after which the entries must know the request.
const KNOWN_AFTER_CRASHES: usize = 3;
/// Time after that crash from which on the retries of the request are counted.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Allowance for a loaded machine.
const TIMING_SLACK: Duration = Duration::from_secs(1);
/// Retries of the request that are allowed from then on.
const MAX_LATE_RUNS: usize = 3;

/// A request that has crashed three replicas runs at most three times more, sent by entries that are
/// not disturbed, and is refused truthfully.
pub(crate) fn check_deadly(
    record: &RunRecord<'_>,
    nodes: &[std::sync::Arc<ReplicaNode>],
) -> Vec<Violation> {
    let by_id: HashMap<&str, &CallerRequest> =
        record.deadly_requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let mut runs: Vec<(Instant, String)> = Vec::new();
    for node in nodes {
        let deadly = node.replica.deadly_requests.lock().expect("the mutex is not poisoned");
        runs.extend(deadly.iter().map(|run| (run.received_at, run.id.clone())));
    }
    runs.sort();
    let mut violations = Vec::new();
    for (_, id) in &runs {
        let request = by_id.get(id.as_str());
        let refused = request.filter(|request| {
            matches!(request.outcome, RequestOutcome::Complete { status: 421 | 429 | 503, .. })
        });
        violations.extend(
            refused.map(|request| Violation::new("refusals are true", format!("{request:?}"))),
        );
    }
    let Some((third_at, _)) = runs.get(KNOWN_AFTER_CRASHES - 1) else { return violations };
    let counted_from = *third_at + STABLE_TIME + TIMING_SLACK;
    let late = runs.iter().filter(|(at, _)| *at > counted_from);
    let undisturbed = |id: &str| {
        let disturbs = |action: &Action| !matches!(action, Action::DeadlyRequests(..));
        by_id.get(id).is_some_and(|request| {
            record.is_unaffected(request, |applied| {
                disturbs(&applied.action) && (applied.entry().is_some() || applied.affects_store())
                    || applied.action == Action::KillAll
            })
        })
    };
    let late: Vec<&String> = late.map(|(_, id)| id).filter(|id| undisturbed(id.as_str())).collect();
    if late.len() > MAX_LATE_RUNS {
        violations.push(Violation::new("deadly requests", format!("{late:?}")));
    }
    violations
}
