//! Check that responses are whole around planned stops, as the users judge it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::action::Action;
use crate::callers::CallerRequest;
use crate::callers::RequestOutcome;
use crate::checks::Arrival;
use crate::checks::ArrivalKind;
use crate::checks::RunRecord;
use crate::checks::UNREAD_REFUSAL_BOUND;
use crate::checks::Violation;
use crate::fleet::STOP_GRACE;
use crate::lost::DEADLINE_MARGIN;
use crate::lost::has_fault;
use crate::replica_node::ReplicaNode;

/// Latest time after SIGTERM at which a request is sent that the exit may cut. The users of the
/// entry set this bound, and the next one.
const LATEST_CUT_ARRIVAL: Duration = Duration::from_secs(3);
/// Time after SIGTERM from which the exit may cut a response: the last sixth of the grace time.
const EARLIEST_CUT: Duration = STOP_GRACE.saturating_mul(5).checked_div(6).expect("6 is not 0");
/// Time between the end of a response and the end that its engine sees of the same connection.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Run of a request at a replica.
struct Run<'a> {
    node: &'a ReplicaNode,
    received_at: Instant,
    /// When its stream ended; `None` if it was open, or had none.
    ended_at: Option<Instant>,
    /// True if the replica itself broke it off, or rejected what it should have run.
    failed: bool,
}

impl Run<'_> {
    /// True if the replica was sound for as long as the run lasted.
    fn is_sound(&self, record: &RunRecord, request: &CallerRequest) -> bool {
        let gone_since = *self.node.gone_since.lock().expect("the mutex is not poisoned");
        let end = self.ended_at.unwrap_or(request.ended_at);
        let has_fault = self.failed || has_fault(record, request, self.node);
        !has_fault && gone_since.is_none_or(|at| end < at)
    }

    /// True if the replica was still at work when the response ended.
    fn is_open_at_end(&self, request: &CallerRequest) -> bool {
        let seen_within = CLOSE_TIME + request.manner.read_pause;
        !self.failed && self.ended_at.is_none_or(|end| end + seen_within >= request.ended_at)
    }

    fn describe(&self, request: &CallerRequest) -> String {
        let from = self.received_at.saturating_duration_since(request.sent_at).as_secs_f64();
        let end = self.ended_at.map(|end| end.saturating_duration_since(request.sent_at));
        let until = end.map_or(String::new(), |end| format!(" to {:.2}", end.as_secs_f64()));
        let failed = if self.failed { " failed" } else { "" };
        let open = if self.is_open_at_end(request) { " still open" } else { "" };
        format!("{} from {from:.2}{until}{failed}{open}", self.node.replica.id)
    }
}

/// A response ends incomplete only at the deadline of its request, if its caller left, if each replica
/// that ran it failed, or if the exit of the entry cut it in the last sixth of the grace time: then the
/// request was sent up to 3 s after SIGTERM, and a replica is still at work on it. A replacement
/// that fails excuses nothing if the run before it was given up at a sound replica. A caller that
/// pauses in its reading may see the end late by its pause; a connection that is closed before the body
/// was sent loses nothing.
///
/// The violation is of `whole around stops` if the request was open between a SIGTERM of its entry
/// and the end of the start after it, and of `sound upstream` otherwise.
pub(crate) fn check_whole(
    record: &RunRecord,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
) -> Vec<Violation> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        by_id.entry(&arrival.request.id).or_default().push(arrival);
    }
    let timeout = record.fleet.features.caller_timeout();
    let broke_off = record.requests.iter().filter(|request| {
        matches!(request.outcome, RequestOutcome::Incomplete { .. })
            && request.ended_at + DEADLINE_MARGIN < request.sent_at + timeout
    });
    let mut violations = Vec::new();
    for request in broke_off {
        let arrived = by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let body_sent_at = request.body_sent_at();
        let refused_at_once = request.ended_at < body_sent_at + UNREAD_REFUSAL_BOUND;
        if arrived.is_empty() && refused_at_once {
            // The entry closed the connection without reading the whole request.
            continue;
        }
        let runs = runs(arrived, nodes);
        let all_failed = !runs.is_empty() && !runs.iter().any(|run| run.is_sound(record, request));
        if !all_failed && !is_cut_in_time(record, request, &runs) {
            let is_beside_stop = stops_of(record, request)
                .any(|(from, until)| request.sent_at <= until && from <= request.ended_at);
            let guarantee = if is_beside_stop { "whole around stops" } else { "sound upstream" };
            violations.push(Violation::new(guarantee, describe(record, request, &runs)));
        }
    }
    violations
}

/// Runs of a request, in the order of time.
fn runs<'a>(arrivals: &[&Arrival], nodes: &'a [Arc<ReplicaNode>]) -> Vec<Run<'a>> {
    let executed = arrivals.iter().filter(|arrival| arrival.kind == ArrivalKind::Executed);
    let mut runs: Vec<Run> = executed
        .map(|arrival| {
            let node = &*nodes[arrival.node];
            let (id, received_at) = (&arrival.request.id, arrival.request.received_at);
            let ended_at = node.replica.stream_end(id, received_at);
            let failed = node.replica.replacement_faults.has_failed(id, received_at);
            Run { node, received_at, ended_at, failed }
        })
        .collect();
    runs.sort_by_key(|run| run.received_at);
    runs
}

/// True if a stop of the entry may have cut the response.
fn is_cut_in_time(record: &RunRecord, request: &CallerRequest, runs: &[Run]) -> bool {
    let is_cut = stops_of(record, request).any(|(from, _)| {
        request.sent_at <= from + LATEST_CUT_ARRIVAL
            && (from + EARLIEST_CUT..=from + STOP_GRACE + request.manner.read_pause)
                .contains(&request.ended_at)
    });
    is_cut && runs.iter().any(|run| run.is_open_at_end(request))
}

/// Times of SIGTERM, and of the end of the start after it, of the stops of the entry of a request.
fn stops_of(
    record: &RunRecord,
    request: &CallerRequest,
) -> impl Iterator<Item = (Instant, Instant)> {
    let stops = record
        .applied_actions
        .iter()
        .filter(|applied| matches!(applied.action, Action::Stop(entry) if entry == request.entry));
    stops.map(|applied| (applied.started_at, applied.ended_at))
}

/// The request, its times beside the nearest SIGTERM of its entry, and its runs, in seconds.
fn describe(record: &RunRecord, request: &CallerRequest, runs: &[Run]) -> String {
    let apart = |at: Instant, from: Instant| {
        at.saturating_duration_since(from).as_secs_f64()
            - from.saturating_duration_since(at).as_secs_f64()
    };
    let nearest = stops_of(record, request)
        .map(|(from, _)| (apart(request.sent_at, from), apart(request.ended_at, from)))
        .min_by(|one, other| one.1.abs().total_cmp(&other.1.abs()));
    let beside = nearest.map_or("no SIGTERM".to_string(), |(sent, ended)| {
        format!("sent {sent:.2}, ended {ended:.2} from SIGTERM")
    });
    let runs: Vec<String> = runs.iter().map(|run| run.describe(request)).collect();
    format!(
        "{} {} at entry {}: {beside}; {} of {:?} after {} events; runs: {}",
        request.route,
        request.id,
        request.entry,
        if request.resumed.is_some() { "taken up" } else { "sent" },
        request.shape,
        request.received_events(),
        runs.join(", ")
    )
}
