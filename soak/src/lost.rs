//! Check that no entry ends a response while the upstream that works on it is sound.

use std::sync::Arc;
use std::time::Duration;

use crate::action::Action;
use crate::callers::CallerRequest;
use crate::callers::RequestOutcome;
use crate::checks::Arrival;
use crate::checks::ArrivalKind;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::fleet::STOP_GRACE;
use crate::inject::AppliedAction;
use crate::replica_node::ReplicaNode;

/// Time after a fault of a replica or its connections, or after its end, during which requests may
/// still break off.
const FAULT_AFTEREFFECT_TIME: Duration = Duration::from_millis(500);
/// Time before the deadline of a request from which it may break off.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_millis(200);

/// A request that an entry has passed on to a sound replica ends in a complete response, or in a
/// refusal before the first byte. A replica is sound unless it or its connections have a fault of
/// their own; one that pauses, names a limit or turns requests away is sound, and so is one that
/// leaves, until it is gone. One that writes garbage is sound for the streams without it.
///
/// Excused are requests at their deadline, and those of an entry that was, since 4 s before,
/// killed, paused, cut off from callers, or still busy with its shutdown in the last sixth of the
/// grace time. Faults of the store excuse nothing. A prefill or rejection shows that a replica was reached, but not which one
/// was next: it counts if the whole service was sound.
///
/// The users allow three such requests for each entry, and beside a new configuration three times
/// as many as otherwise. This is stricter: each one breaks the guarantee, at any time and on any
/// connection.
pub(crate) fn check_lost(
    record: &RunRecord,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
) -> Vec<Violation> {
    let timeout = record.fleet.features.caller_timeout();
    let broke_off = record.requests.iter().filter(|request| {
        matches!(request.outcome, RequestOutcome::Incomplete { .. })
            && request.ended_at + DEADLINE_MARGIN < request.sent_at + timeout
            && record.is_unaffected(request, excuses_entry)
    });
    let lost = broke_off.filter_map(|request| {
        let sound = arrivals
            .iter()
            .filter(|arrival| arrival.request.id == request.id)
            .find(|arrival| is_sound(record, request, arrival, nodes))?;
        let after = request.ended_at.saturating_duration_since(request.sent_at);
        let replica = &nodes[sound.node].replica.id;
        let detail = format!("{after:?} after its start, at {replica}: {request:?}");
        Some(Violation::new("sound upstream", detail))
    });
    lost.collect()
}

/// True for a fault of an entry, of all, or of the connections from callers.
fn excuses_entry(applied: &AppliedAction) -> bool {
    let duration = applied.ended_at.saturating_duration_since(applied.started_at);
    match applied.action {
        Action::Kill(_) | Action::KillAll | Action::Pause(..) | Action::CallerLink(..) => true,
        Action::Stop(_) => duration >= STOP_GRACE * 5 / 6,
        _ => false,
    }
}

/// True if the replicas that may have worked on a request after this arrival were sound until it
/// ended.
fn is_sound(
    record: &RunRecord,
    request: &CallerRequest,
    arrival: &Arrival,
    nodes: &[Arc<ReplicaNode>],
) -> bool {
    let reached = &nodes[arrival.node];
    let mut relevant = nodes.iter().filter(|node| match arrival.kind {
        ArrivalKind::Executed => Arc::ptr_eq(node, reached),
        ArrivalKind::Prefilled | ArrivalKind::Rejected => node.service == reached.service,
    });
    relevant.all(|node| {
        let garbled = node.replica.garbling.has_garbled(&request.id);
        !garbled && !has_fault(record, request, node) && !is_gone(request, node)
    })
}

/// True if a replica or its connections had a fault of their own, from shortly before the request was
/// sent until it ended.
pub(crate) fn has_fault(record: &RunRecord, request: &CallerRequest, node: &ReplicaNode) -> bool {
    record.applied_actions.iter().any(|applied| {
        let is_fault = matches!(
            applied.action,
            Action::ReplicaLink(..) | Action::ReplicaFault(..) | Action::EndWithConnection(..)
        );
        is_fault
            && applied.replica_id.as_ref() == Some(&node.replica.id)
            && applied.started_at <= request.ended_at
            && applied.ended_at + FAULT_AFTEREFFECT_TIME >= request.sent_at
    })
}

/// True if a replica was gone before the request ended, and not long before it was sent.
fn is_gone(request: &CallerRequest, node: &ReplicaNode) -> bool {
    let gone_since = *node.gone_since.lock().expect("the mutex is not poisoned");
    gone_since
        .is_some_and(|at| at <= request.ended_at && at + FAULT_AFTEREFFECT_TIME >= request.sent_at)
}
