//! Checks of a run: the guarantees of the entries, against what callers and replicas saw.
//!
//! The printed names of the guarantees are those that operators know, and stay.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use standins::platform::orders::Order;
use standins::platform::replica::ReceivedRequest;
use standins::platform::replica::event;

use crate::accounts::check_account;
use crate::action::Action;
use crate::callers::CallerRequest;
use crate::callers::RequestOutcome;
use crate::deadly::check_deadly;
use crate::fleet::APPLY_BOUND;
use crate::fleet::DESK_SERVICE;
use crate::fleet::DRAIN_BOUND;
use crate::fleet::ENGINE_SERVICE;
use crate::fleet::Fleet;
use crate::fleet::MAX_RUNS;
use crate::fleet::OTHER_DESK_SERVICE;
use crate::inject::AppliedAction;
use crate::lost::check_lost;
use crate::notices::check_leaving;
use crate::notices::check_turn_aways;
use crate::overlap::check_overlap;
use crate::rate_limits::check_rate_limits;
use crate::replica_node::ReplicaNode;
use crate::retry_budget::check_retry_budget;
use crate::versions::check_versions;
use crate::whole::check_whole;

/// Time after the last action within which every entry must serve every route again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the end of an action during which it may still affect requests that are sent.
const AFTEREFFECT_TIME: Duration = Duration::from_secs(4);
/// Allowance beyond the drain and apply bounds, for a loaded machine.
const TIMING_SLACK: Duration = Duration::from_millis(1_000);
/// Time within which an entry closes a connection whose request it refuses without reading it. The
/// users of the entry set this bound.
pub(crate) const UNREAD_REFUSAL_BOUND: Duration = Duration::from_millis(200);
/// Calls of an entry to an engine that belong to no request.
const CALL_LINES: [&str; 3] = ["POST /api/hold-take", "GET /api/report", "POST /api/order"];

/// Guarantee that a run broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the guarantee, as printed.
    pub guarantee: &'static str,
    /// Observation that shows the violation, such as a request, an order or an action.
    pub detail: String,
}

impl Violation {
    /// Creates a violation of `guarantee` with the observation that shows it.
    pub fn new(guarantee: &'static str, detail: String) -> Self {
        Self { guarantee, detail }
    }
}

/// Observations of a run, which the checks read.
pub struct RunRecord<'a> {
    /// Fleet of the run; its replicas list the requests that they received.
    pub fleet: &'a Fleet,
    /// Requests with their outcomes, as the callers saw them.
    pub requests: &'a [CallerRequest],
    /// Faults and planned changes, with the time at which each started and ended.
    pub applied_actions: &'a [AppliedAction],
    /// Requests that crash replicas, with their outcomes.
    pub deadly_requests: &'a [CallerRequest],
    /// Number of request ids that the callers issued.
    pub issued_id_count: u64,
}

/// Arrival of a request at a replica, once for each attempt of an entry.
pub(crate) struct Arrival {
    /// Index of the replica in the fleet.
    pub(crate) node: usize,
    pub(crate) request: ReceivedRequest,
    pub(crate) kind: ArrivalKind,
}

/// What a replica did with a request that arrived.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ArrivalKind {
    Executed,
    Prefilled,
    Rejected,
}

/// True if the caller got a complete response with status 200.
pub fn is_served(request: &CallerRequest) -> bool {
    matches!(request.outcome, RequestOutcome::Complete { status: 200, .. })
}

/// Checks all guarantees but the recovery, and returns the violations.
pub fn check_run(record: &RunRecord) -> Vec<Violation> {
    let nodes = record.fleet.nodes.lock().expect("the mutex is not poisoned").clone();
    let published = record.fleet.published.lock().expect("the mutex is not poisoned").clone();
    let arrivals = collect_arrivals(&nodes);
    let by_id: HashMap<&str, &CallerRequest> =
        record.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let mut violations = Vec::new();
    for request in record.requests {
        violations.extend(check_own_response(request));
        let own_arrivals: Vec<&Arrival> =
            arrivals.iter().filter(|arrival| arrival.request.id == request.id).collect();
        violations.extend(record.check_completeness(request, !own_arrivals.is_empty()));
        let executions =
            own_arrivals.iter().filter(|arrival| arrival.kind == ArrivalKind::Executed).count();
        violations.extend(check_execution_count(request, executions));
    }
    for arrival in &arrivals {
        match by_id.get(arrival.request.id.as_str()) {
            Some(request) => {
                violations.extend(record.check_arrival(request, arrival, &nodes[arrival.node]));
                violations.extend(check_account(request, arrival, &published));
            }
            // Sent as a probe before the load started, or by a caller that was stopped at the
            // end of the run: its outcome is not in the record.
            None if record.was_issued(&arrival.request.id) => {}
            None => violations.push(Violation::new("unasked", arrival.request.line.clone())),
        }
    }
    violations.extend(check_retry_budget(&arrivals, &nodes, record.requests));
    violations.extend(check_rate_limits(record, &arrivals, &nodes, &by_id));
    if record.fleet.features.outlasts_stops {
        violations.extend(check_whole(record, &arrivals, &nodes));
    } else {
        violations.extend(check_lost(record, &arrivals, &nodes));
    }
    violations.extend(check_overlap(record, &arrivals, &nodes, &by_id));
    violations.extend(check_leaving(record, &arrivals, &nodes, &by_id));
    violations.extend(check_turn_aways(record, &arrivals, &nodes, &by_id));
    violations.extend(check_versions(record, &arrivals, &nodes));
    violations.extend(check_deadly(record, &nodes));
    violations.extend(check_order_fencing(&record.orders()));
    violations.extend(record.check_stops());
    violations.extend(check_no_open_streams(&nodes));
    violations
}

fn collect_arrivals(nodes: &[std::sync::Arc<ReplicaNode>]) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let kinds = [
            (&node.replica.executed_requests, ArrivalKind::Executed),
            (&node.replica.prefill_requests, ArrivalKind::Prefilled),
            (&node.replica.rejected_requests, ArrivalKind::Rejected),
        ];
        for (list, kind) in kinds {
            let list = list.lock().expect("the mutex is not poisoned");
            let requests = list.iter().filter(|request| !is_call(request)).cloned();
            arrivals.extend(requests.map(|request| Arrival { node: number, request, kind }));
        }
    }
    arrivals
}

/// True for a call of an entry that belongs to no request, such as a rejected reservation.
fn is_call(received: &ReceivedRequest) -> bool {
    received.id.is_empty() && CALL_LINES.contains(&received.line.as_str())
}

fn expected_body(request: &CallerRequest) -> Bytes {
    if request.route == "stream" || request.route == "resumable" {
        let first_event = request.resumed.as_ref().map_or(0, |resumed| resumed.after_event) + 1;
        return (first_event..=request.shape.events).map(event).collect::<String>().into();
    }
    format!("{{\"echo\":\"{}\"}}", request.line()).into()
}

/// The response is that of the upstream to this request, or the start of it if it broke off, or it
/// comes from the entry and has no signature.
fn check_own_response(request: &CallerRequest) -> Option<Violation> {
    let expected = expected_body(request);
    let is_valid = match &request.outcome {
        RequestOutcome::Disconnected => true,
        RequestOutcome::Incomplete { body } => expected.starts_with(body),
        RequestOutcome::Complete { status: 200, signature, body } => {
            *body == expected && signature.as_deref() == Some(&format!("sig.{}", request.id))
        }
        RequestOutcome::Complete { status: 500, signature: Some(signature), .. } => {
            *signature == format!("sig.{}", request.id)
        }
        RequestOutcome::Complete { signature, .. } => signature.is_none(),
    };
    (!is_valid).then(|| Violation::new("own answer", format!("{request:?}")))
}

/// Replicas execute a request at most as often as its kind allows, and one that is not repeatable
/// never if the entry refuses it with status 408, 421, 429 or 503.
fn check_execution_count(request: &CallerRequest, executions: usize) -> Option<Violation> {
    let repeatable = matches!(request.route, "lookup" | "resumable");
    if repeatable {
        return (executions > MAX_RUNS)
            .then(|| Violation::new("attempts", format!("{executions}: {request:?}")));
    }
    if executions > 1 {
        return Some(Violation::new("at most once", format!("{executions}: {request:?}")));
    }
    let refused =
        matches!(request.outcome, RequestOutcome::Complete { status: 408 | 421 | 429 | 503, .. });
    (refused && executions > 0).then(|| Violation::new("refusals are true", format!("{request:?}")))
}

pub(crate) fn may_use_service(route: &str, service: &str) -> bool {
    match route {
        "stream" | "resumable" => service == ENGINE_SERVICE,
        "moved" => service != ENGINE_SERVICE,
        _ => service == DESK_SERVICE,
    }
}

/// No engine receives an order with a lower fencing token after a higher one, even one that it
/// rejects, and no token has two lease holders.
fn check_order_fencing(orders: &[(usize, Order)]) -> Option<Violation> {
    let mut holders: HashMap<u64, &str> = HashMap::new();
    let mut highest_tokens: HashMap<usize, u64> = HashMap::new();
    for (node, order) in orders {
        let holder = holders.entry(order.fence).or_insert(&order.holder);
        let highest_token = highest_tokens.entry(*node).or_default();
        if *holder != order.holder || order.fence < *highest_token {
            return Some(Violation::new("one holder", format!("{order:?} at {node}")));
        }
        *highest_token = order.fence;
    }
    None
}

/// No stream is still open at a replica after all callers have disconnected.
fn check_no_open_streams(nodes: &[std::sync::Arc<ReplicaNode>]) -> Option<Violation> {
    let open: u64 = nodes
        .iter()
        .map(|node| node.replica.open_streams.load(std::sync::atomic::Ordering::SeqCst))
        .sum();
    (open > 0).then(|| Violation::new("nothing runs on", format!("{open} streams")))
}

impl RunRecord<'_> {
    /// True if a caller issued this request id.
    fn was_issued(&self, id: &str) -> bool {
        let number = id.strip_prefix('r').and_then(|number| number.parse::<u64>().ok());
        number.is_some_and(|number| number < self.issued_id_count)
    }

    /// Orders that replicas received, including rejected ones, each with the index of the replica.
    pub fn orders(&self) -> Vec<(usize, Order)> {
        let nodes = self.fleet.nodes.lock().expect("the mutex is not poisoned");
        let orders_of_node = |(number, node): (usize, &std::sync::Arc<ReplicaNode>)| {
            node.replica.orders.all().into_iter().map(move |order| (number, order))
        };
        nodes.iter().enumerate().flat_map(orders_of_node).collect()
    }

    /// True if no action that `matters` affected the entry of a request, from shortly before the
    /// request was sent until it ended.
    pub(crate) fn is_unaffected(
        &self,
        request: &CallerRequest,
        matters: impl Fn(&AppliedAction) -> bool,
    ) -> bool {
        !self.applied_actions.iter().any(|applied| {
            let affects_entry = applied.entry().is_none_or(|entry| entry == request.entry);
            let is_over = applied.ended_at + AFTEREFFECT_TIME < request.sent_at;
            affects_entry && matters(applied) && !is_over && applied.started_at <= request.ended_at
        })
    }

    /// Time since `from` from which an entry neither restarted nor paused, up to `at`; `None` if it
    /// does at `at`.
    pub(crate) fn undisturbed_since(
        &self,
        entry: usize,
        from: Instant,
        at: Instant,
    ) -> Option<Instant> {
        let mut since = from;
        for applied in self.applied_actions {
            let affects_entry = applied.entry().is_none_or(|affected| affected == entry);
            let excuses = matches!(
                applied.action,
                Action::Stop(_) | Action::Kill(_) | Action::KillAll | Action::Pause(..)
            );
            if !excuses || !affects_entry || applied.started_at > at {
                continue;
            }
            if applied.ended_at >= at {
                return None;
            }
            since = since.max(applied.ended_at);
        }
        Some(since)
    }

    /// Planned changes and faults of the store break no response off. The exception is a connection
    /// that the entry closes at once, before a replica got the request.
    fn check_completeness(
        &self,
        request: &CallerRequest,
        reached_replica: bool,
    ) -> Option<Violation> {
        if self.fleet.features.outlasts_stops {
            // A stop may cut what outlasts it: `check_whole` judges these runs.
            return None;
        }
        let may_break_off = |applied: &AppliedAction| {
            !applied.is_planned() && !applied.affects_store() && !applied.leaves_all_sound()
        };
        let refused_at_once = request.ended_at < request.sent_at + UNREAD_REFUSAL_BOUND;
        let incomplete = matches!(request.outcome, RequestOutcome::Incomplete { .. })
            && (reached_replica || !refused_at_once);
        (incomplete && self.is_unaffected(request, may_break_off))
            .then(|| Violation::new("calm answers are whole", format!("{request:?}")))
    }

    /// The request arrived unchanged, at a service of its route and at a replica that may get it.
    fn check_arrival(
        &self,
        request: &CallerRequest,
        arrival: &Arrival,
        node: &ReplicaNode,
    ) -> Option<Violation> {
        let received = &arrival.request;
        if received.line != request.line() || received.body != request.id {
            return Some(Violation::new("unchanged", format!("{received:?}")));
        }
        if !may_use_service(request.route, node.service) {
            return Some(Violation::new(
                "right service",
                format!("{received:?} at {}", node.service),
            ));
        }
        let entry_unaffected = self
            .is_unaffected(request, |applied| !applied.is_planned() && !applied.affects_replica());
        let is_late = node
            .leaving_since()
            .is_some_and(|since| received.received_at > since + DRAIN_BOUND + TIMING_SLACK);
        if entry_unaffected && is_late && arrival.kind != ArrivalKind::Rejected {
            return Some(Violation::new("drained", format!("{received:?} at {}", node.replica.id)));
        }
        let is_stale = request.route == "moved" && !self.moved_may_use(request, node.service);
        (entry_unaffected && is_stale)
            .then(|| Violation::new("configuration", format!("{request:?}")))
    }

    /// True if a configuration that may be in force for a request routes `moved` to the service.
    fn moved_may_use(&self, request: &CallerRequest, service: &str) -> bool {
        let changes: Vec<Instant> = self
            .applied_actions
            .iter()
            .filter(|applied| applied.action == Action::PublishConfiguration)
            .map(|applied| applied.started_at)
            .collect();
        let oldest =
            changes.iter().filter(|at| **at + APPLY_BOUND + TIMING_SLACK < request.sent_at).count();
        let newest = changes.iter().filter(|at| **at <= request.ended_at).count();
        // The versions are odd and even in turn, starting with 1.
        let service_after =
            |count: usize| if count.is_multiple_of(2) { DESK_SERVICE } else { OTHER_DESK_SERVICE };
        (oldest..=newest).any(|count| service_after(count) == service)
    }

    /// A planned stop ends by itself within the grace time, with exit code 0.
    fn check_stops(&self) -> Vec<Violation> {
        let stops = self.applied_actions.iter().filter(|applied| applied.exit_code.is_some());
        let failed =
            stops.filter(|stop| stop.exit_code != Some(Some(0)) && !self.is_interrupted(stop));
        let violation = |stop: &AppliedAction| Violation::new("clean stop", format!("{stop:?}"));
        failed.map(violation).collect()
    }

    /// True if another action killed, paused or stopped the entry while it stopped.
    fn is_interrupted(&self, stop: &AppliedAction) -> bool {
        self.applied_actions.iter().any(|other| {
            let is_same = other.started_at == stop.started_at && other.action == stop.action;
            let interrupts = matches!(
                other.action,
                Action::Kill(_) | Action::KillAll | Action::Pause(..) | Action::Stop(_)
            );
            let affects_entry = other.entry().is_none_or(|entry| Some(entry) == stop.entry());
            !is_same
                && interrupts
                && affects_entry
                && other.started_at <= stop.ended_at
                && stop.started_at <= other.ended_at
        })
    }
}
