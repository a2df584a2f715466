//! Checks of what replicas say in the heads of their responses: that they leave, or for how long
//! they turn requests away.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::action::Action;
use crate::callers::CallerRequest;
use crate::callers::RequestOutcome;
use crate::checks::Arrival;
use crate::checks::ArrivalKind;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::checks::is_served;
use crate::fleet::DRAIN_BOUND;
use crate::replica_node::ReplicaNode;
use crate::replica_node::TurnAway;

/// Time after a response with `Retry-After` from which requests count.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Requests that may reach a replica from an entry that it has turned away.
const ALLOWED_REQUESTS: usize = 2;
/// Time at the end of a time of turning away during which a response may not have the header any
/// more.
const SWITCH_TIME: Duration = Duration::from_millis(50);

/// Arrival at a replica, with the request of the caller.
struct Reached<'a> {
    request: &'a CallerRequest,
    arrival: &'a Arrival,
}

/// A replica that says that it leaves gets no request that a caller sent later than the drain bound
/// after its entry had passed on a response that says so, unless the entry has restarted or paused
/// since. A response counts from its end at the caller, and only if no other replica ran the
/// request.
pub(crate) fn check_leaving(
    record: &RunRecord,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
    by_id: &HashMap<&str, &CallerRequest>,
) -> Vec<Violation> {
    let run_counts = count_runs(arrivals);
    let mut violations = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let announced_at = *node.announced_leaving_at.lock().expect("the mutex is not poisoned");
        let Some(announced_at) = announced_at else { continue };
        let reached = reached_at(number, arrivals, by_id);
        let told: Vec<&CallerRequest> = reached
            .iter()
            .filter(|told| {
                told.arrival.kind == ArrivalKind::Executed
                    && told.arrival.request.received_at >= announced_at
                    && is_served(told.request)
                    && run_counts[told.request.id.as_str()] == 1
            })
            .map(|told| told.request)
            .collect();
        let late = reached.iter().find(|late| {
            let (entry, at) = (late.request.entry, late.arrival.request.received_at);
            record.undisturbed_since(entry, announced_at, at).is_some_and(|since| {
                told.iter().any(|told| {
                    told.entry == entry
                        && told.ended_at >= since
                        && told.ended_at + DRAIN_BOUND < late.request.sent_at
                })
            })
        });
        violations.extend(late.map(|late| {
            let detail = format!("{} got {:?}", node.replica.id, late.request);
            Violation::new("said to leave", detail)
        }));
    }
    violations
}

fn count_runs(arrivals: &[Arrival]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for run in arrivals.iter().filter(|arrival| arrival.kind == ArrivalKind::Executed) {
        *counts.entry(run.request.id.as_str()).or_default() += 1;
    }
    counts
}

fn reached_at<'a>(
    node: usize,
    arrivals: &'a [Arrival],
    by_id: &HashMap<&str, &'a CallerRequest>,
) -> Vec<Reached<'a>> {
    let at_node = arrivals.iter().filter(|arrival| arrival.node == node);
    let reached = at_node.filter_map(|arrival| {
        let request = *by_id.get(arrival.request.id.as_str())?;
        Some(Reached { request, arrival })
    });
    reached.collect()
}

/// A replica that has turned a request away gets at most [`ALLOWED_REQUESTS`] of its entry from
/// [`TOLD_AFTER`] on until the end of `Retry-After`.
///
/// The replica may pause between the request and its response: the end of `Retry-After` counts from
/// the request, the start from the last moment at which the response may have been sent. Runs,
/// prefills and what the replica rejects count; reservations do not, as they do not name their
/// request, so that their entry is unknown.
///
/// A restart or pause of the entry excuses it, as does a fault of the connections to the replica,
/// which may delay the response or a request. Faults of the store, or of the connection to it,
/// excuse nothing.
pub(crate) fn check_turn_aways(
    record: &RunRecord,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
    by_id: &HashMap<&str, &CallerRequest>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let reached = reached_at(number, arrivals, by_id);
        for turn_away in node.turn_aways.lock().expect("the mutex is not poisoned").iter() {
            let largest = reached
                .iter()
                .filter(|told| is_turned_away(told, turn_away))
                .filter_map(|told| count_after(record, node, told, turn_away, &reached))
                .max();
            let largest = largest.unwrap_or(0);
            if largest > ALLOWED_REQUESTS {
                let id = &node.replica.id;
                let wait = turn_away.retry_after;
                let detail = format!("{id}: {largest} requests of an entry within {wait:?}");
                violations.push(Violation::new("turned away", detail));
            }
        }
    }
    violations
}

/// True if the replica turned the request away, and its entry got the response.
fn is_turned_away(told: &Reached, turn_away: &TurnAway) -> bool {
    let at = told.arrival.request.received_at;
    told.arrival.kind == ArrivalKind::Rejected
        && told.request.outcome != RequestOutcome::Disconnected
        && at >= turn_away.from
        && at + SWITCH_TIME < turn_away.until
}

/// Number of requests of the same entry from [`TOLD_AFTER`] on until the end of `Retry-After`;
/// `None` if the entry or the connections to the replica were disturbed meanwhile.
fn count_after(
    record: &RunRecord,
    node: &ReplicaNode,
    told: &Reached,
    turn_away: &TurnAway,
    reached: &[Reached],
) -> Option<usize> {
    let entry = told.request.entry;
    let received_at = told.arrival.request.received_at;
    let until = received_at + turn_away.retry_after;
    let link_was_faulty = record.applied_actions.iter().any(|applied| {
        matches!(applied.action, Action::ReplicaLink(..))
            && applied.replica_id.as_ref() == Some(&node.replica.id)
            && applied.started_at <= until
            && applied.ended_at >= received_at
    });
    if link_was_faulty || record.undisturbed_since(entry, received_at, until) != Some(received_at) {
        return None;
    }
    let counted = (node.latest_rejection_at(received_at) + TOLD_AFTER)..until;
    let of_entry = reached.iter().filter(|other| other.request.entry == entry);
    Some(of_entry.filter(|other| counted.contains(&other.arrival.request.received_at)).count())
}
