//! Check of the software versions of a stream: its events come from replicas of one version, in one
//! response or over the requests of a caller that takes it up.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::callers::CallerRequest;
use crate::checks::Arrival;
use crate::checks::ArrivalKind;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::replica_node::ReplicaNode;

/// Number of streams with several versions that a run may have.
const ALLOWED_STREAMS: usize = 2;

/// At most [`ALLOWED_STREAMS`] streams have events of several versions.
pub(crate) fn check_versions(
    record: &RunRecord,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
) -> Option<Violation> {
    let mixed: Vec<&str> = record
        .requests
        .iter()
        .filter(|request| request.route == "resumable" && request.resumed.is_none())
        .filter(|first| {
            let taken_up = record.requests.iter().filter(|request| {
                request.resumed.as_ref().is_some_and(|resumed| resumed.first_id == first.id)
            });
            let parts = std::iter::once(*first).chain(taken_up);
            let versions: BTreeSet<String> =
                parts.flat_map(|part| versions_of(part, arrivals, nodes)).collect();
            versions.len() > 1
        })
        .map(|request| request.id.as_str())
        .collect();
    (mixed.len() > ALLOWED_STREAMS).then(|| Violation::new("one version", format!("{mixed:?}")))
}

/// Versions of the replicas whose events reached the caller of a request.
fn versions_of(
    request: &CallerRequest,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
) -> Vec<String> {
    let mut runs: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.kind == ArrivalKind::Executed && arrival.request.id == request.id)
        .collect();
    runs.sort_by_key(|run| run.request.received_at);
    let after_event = request.resumed.as_ref().map_or(0, |resumed| resumed.after_event);
    let received = after_event + request.received_events();
    let starts: Vec<u64> = runs.iter().map(|run| last_event_id(run)).collect();
    let ends = starts.iter().skip(1).copied().chain([received]);
    let delivered = runs.iter().zip(&starts).zip(ends).filter(|((_, start), end)| end > *start);
    delivered.map(|((run, _), _)| nodes[run.node].replica.version()).collect()
}

/// Event after which a run continues the stream; 0 if it begins it.
fn last_event_id(run: &Arrival) -> u64 {
    let header = run.request.headers.get("last-event-id");
    header.and_then(|id| id.parse().ok()).unwrap_or(0)
}
