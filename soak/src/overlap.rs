//! Check that two replicas do not work on a stream at the same time for long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::action::Action;
use crate::callers::CallerRequest;
use crate::checks::Arrival;
use crate::checks::ArrivalKind;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::fleet::ENGINE_SERVICE;
use crate::inject::AppliedAction;
use crate::lost::has_fault;
use crate::replica_node::ReplicaNode;

/// Time for which the replica before may still work on a stream that goes on at another one. The
/// users of the entry set this bound.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// A stream that goes on at another replica is not worked on by the replica before for longer than
/// the bound. Excused are entries that do not reach the store or were stopped, killed or paused, and
/// replicas whose connections have a fault; an entry with little processor time is not.
pub(crate) fn check_overlap(
    record: &RunRecord,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
    by_id: &HashMap<&str, &CallerRequest>,
) -> Vec<Violation> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        let is_run = arrival.kind == ArrivalKind::Executed;
        if is_run && nodes[arrival.node].service == ENGINE_SERVICE {
            runs.entry(&arrival.request.id).or_default().push(arrival);
        }
    }
    let mut violations = Vec::new();
    for (id, mut runs) in runs {
        let Some(request) = by_id.get(id) else { continue };
        runs.sort_by_key(|run| run.request.received_at);
        let first_at = runs[0].request.received_at;
        // The stream does not go on at a replica that failed to take it up.
        runs.retain(|run| {
            let (replica, at) = (&nodes[run.node].replica, run.request.received_at);
            let is_garbled = at > first_at && replica.garbling.has_garbled_run(id, at);
            !is_garbled && !replica.replacement_faults.has_failed(id, at)
        });
        for pair in runs.windows(2) {
            let (before, next) = (pair[0], pair[1]);
            let replica = &nodes[before.node];
            let end = replica.replica.stream_end(id, before.request.received_at);
            let latest = next.request.received_at + MAX_OVERLAP;
            let is_late = end.is_none_or(|end| end > latest);
            let is_excused =
                has_fault(record, request, replica) || !record.is_unaffected(request, excuses);
            if is_late && !is_excused {
                let over = end.map(|end| end.saturating_duration_since(latest));
                let detail = format!("{over:?} too long at {}: {request:?}", replica.replica.id);
                violations.push(Violation::new("one run at a time", detail));
            }
        }
    }
    violations
}

fn excuses(applied: &AppliedAction) -> bool {
    let stops_entry = matches!(
        applied.action,
        Action::Stop(_) | Action::Kill(_) | Action::KillAll | Action::Pause(..)
    );
    stops_entry || applied.affects_store()
}
