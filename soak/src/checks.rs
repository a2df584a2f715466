//! The promises, checked against what callers and upstreams saw.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use standins::platform::orders::Order;
use standins::platform::replica::EVENTS_PER_STREAM;
use standins::platform::replica::ReceivedRequest;
use standins::platform::replica::event;

use crate::callers::CallerRequest;
use crate::callers::RequestOutcome;
use crate::fleet::APPLY_BOUND;
use crate::fleet::DESK_SERVICE;
use crate::fleet::DRAIN_BOUND;
use crate::fleet::ENGINE_SERVICE;
use crate::fleet::Fleet;
use crate::fleet::MAX_ATTEMPTS;
use crate::fleet::OTHER_DESK_SERVICE;
use crate::fleet::RETRY_RATIO;
use crate::fleet::RETRY_SLACK;
use crate::fleet::ReplicaNode;
use crate::inject::AppliedAction;
use crate::plan::Action;

/// All is served again after that.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// A disturbance may show in what begins so long after its end.
const SETTLE: Duration = Duration::from_secs(4);
/// Allowance for a loaded machine, beside each bound.
const SLACK: Duration = Duration::from_millis(1_000);
/// The users' bound between a request and the close that turns it away unread.
const TURNED_AWAY: Duration = Duration::from_millis(200);
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// A guarantee that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub guarantee: &'static str,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// A violation.
    pub fn new(guarantee: &'static str, detail: String) -> Self {
        Self { guarantee, detail }
    }
}

/// What a run left behind.
pub struct RunRecord<'a> {
    /// The replicas, with what they saw.
    pub fleet: &'a Fleet,
    /// The requests as their callers saw them.
    pub attempts: &'a [CallerRequest],
    /// What was disturbed when.
    pub applied_actions: &'a [AppliedAction],
    /// How many ids callers gave out.
    pub issued: u64,
}

/// One arrival of a request at a replica.
struct Arrival {
    node: usize,
    seen: ReceivedRequest,
    kind: ArrivalKind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ArrivalKind {
    Ran,
    Prefilled,
    Refused,
}

/// True if the caller got a whole success.
pub fn is_served(attempt: &CallerRequest) -> bool {
    matches!(attempt.outcome, RequestOutcome::Complete { status: 200, .. })
}

/// Every guarantee that was broken.
pub fn check_run(record: &RunRecord) -> Vec<Violation> {
    let nodes = record.fleet.nodes.lock().expect("no holder panics").clone();
    let arrivals = arrivals(&nodes);
    let by_id: HashMap<&str, &CallerRequest> =
        record.attempts.iter().map(|attempt| (attempt.id.as_str(), attempt)).collect();
    let mut violations = Vec::new();
    for attempt in record.attempts {
        violations.extend(answer_is_its_own(attempt));
        let own: Vec<&Arrival> =
            arrivals.iter().filter(|arrival| arrival.seen.id == attempt.id).collect();
        violations.extend(record.calm_answer_is_whole(attempt, !own.is_empty()));
        let runs = own.iter().filter(|arrival| arrival.kind == ArrivalKind::Ran).count();
        violations.extend(runs_as_often_as_allowed(attempt, runs));
    }
    for arrival in &arrivals {
        match by_id.get(arrival.seen.id.as_str()) {
            Some(attempt) => {
                violations.extend(record.arrival_is_due(attempt, arrival, &nodes[arrival.node]));
            }
            // Asked before the load began, or by a caller that the end of the
            // run stopped.
            None if record.was_issued(&arrival.seen.id) => {}
            None => violations.push(Violation::new("unasked", arrival.seen.request_line.clone())),
        }
    }
    violations.extend(within_budget(&arrivals, &nodes, record.attempts));
    violations.extend(orders_are_fenced(&record.orders()));
    violations.extend(record.stops_are_clean());
    violations.extend(nothing_runs_on(&nodes));
    violations
}

fn arrivals(nodes: &[std::sync::Arc<ReplicaNode>]) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let kinds = [
            (&node.replica.executed, ArrivalKind::Ran),
            (&node.replica.prefill_requests, ArrivalKind::Prefilled),
            (&node.replica.rejected, ArrivalKind::Refused),
        ];
        for (list, kind) in kinds {
            let list = list.lock().expect("no holder panics");
            let seen = list.iter().cloned();
            arrivals.extend(seen.map(|seen| Arrival { node: number, seen, kind }));
        }
    }
    arrivals
}

fn whole_body(attempt: &CallerRequest) -> Bytes {
    if attempt.route == "stream" || attempt.route == "resumable" {
        return (1..=EVENTS_PER_STREAM).map(event).collect::<String>().into();
    }
    format!("{{\"echo\":\"{}\"}}", attempt.line()).into()
}

/// The answer is the upstream's, whole and for this request.
fn answer_is_its_own(attempt: &CallerRequest) -> Option<Violation> {
    let expected = whole_body(attempt);
    let sound = match &attempt.outcome {
        RequestOutcome::Disconnected => true,
        RequestOutcome::Incomplete { body } => expected.starts_with(body),
        RequestOutcome::Complete { status: 200, signature, body } => {
            *body == expected && signature.as_deref() == Some(&format!("sig.{}", attempt.id))
        }
        RequestOutcome::Complete { status: 500, signature: Some(signature), .. } => {
            *signature == format!("sig.{}", attempt.id)
        }
        RequestOutcome::Complete { signature, .. } => signature.is_none(),
    };
    (!sound).then(|| Violation::new("own answer", format!("{attempt:?}")))
}

fn runs_as_often_as_allowed(attempt: &CallerRequest, runs: usize) -> Option<Violation> {
    let repeatable = matches!(attempt.route, "lookup" | "resumable");
    if repeatable {
        return (runs > MAX_ATTEMPTS)
            .then(|| Violation::new("attempts", format!("{runs}: {attempt:?}")));
    }
    if runs > 1 {
        return Some(Violation::new("at most once", format!("{runs}: {attempt:?}")));
    }
    let refused =
        matches!(attempt.outcome, RequestOutcome::Complete { status: 408 | 421 | 429 | 503, .. });
    (refused && runs > 0).then(|| Violation::new("refusals are true", format!("{attempt:?}")))
}

/// Extra arrivals of each service keep to the budget in every window.
fn within_budget(
    arrivals: &[Arrival],
    nodes: &[std::sync::Arc<ReplicaNode>],
    attempts: &[CallerRequest],
) -> Option<Violation> {
    for service in [ENGINE_SERVICE, DESK_SERVICE, OTHER_DESK_SERVICE] {
        let here = |arrival: &&Arrival| nodes[arrival.node].service == service;
        let mut seen: HashMap<(&str, bool), usize> = HashMap::new();
        let mut extras = Vec::new();
        let mut ordered: Vec<&Arrival> = arrivals.iter().filter(here).collect();
        ordered.sort_by_key(|arrival| arrival.seen.received_at);
        for arrival in ordered {
            let is_prefill = arrival.seen.headers.contains_key("bamboodoor-stage");
            let refused_prefill = is_prefill && arrival.kind == ArrivalKind::Refused;
            let times = seen.entry((&arrival.seen.id, is_prefill)).or_default();
            if !refused_prefill {
                *times += 1;
            }
            if refused_prefill || *times > 1 {
                extras.push(arrival.seen.received_at);
            }
        }
        let requests = attempts.iter().filter(|attempt| may_go_to(attempt.route, service));
        let requests: Vec<Instant> = requests.map(|attempt| attempt.sent_at).collect();
        for end in &extras {
            let within = |at: &&Instant, back: Duration| {
                **at + back <= *end && *end < **at + back + BUDGET_WINDOW
            };
            let spent = extras.iter().filter(|at| within(at, Duration::ZERO)).count();
            let backs = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW];
            let most = backs.map(|back| requests.iter().filter(|at| within(at, back)).count());
            let most = most.into_iter().max().unwrap_or(0);
            let allowed = RETRY_RATIO * most as f64 + RETRY_SLACK as f64;
            if spent as f64 > allowed {
                let detail = format!("{service}: {spent} extra of {allowed}");
                return Some(Violation::new("retry budget", detail));
            }
        }
    }
    None
}

fn may_go_to(route: &str, service: &str) -> bool {
    match route {
        "stream" | "resumable" => service == ENGINE_SERVICE,
        "moved" => service != ENGINE_SERVICE,
        _ => service == DESK_SERVICE,
    }
}

/// No engine obeys a lower token after a higher one, and no token has two
/// holders.
fn orders_are_fenced(orders: &[(usize, Order)]) -> Option<Violation> {
    let mut holders: HashMap<u64, &str> = HashMap::new();
    let mut highest: HashMap<usize, u64> = HashMap::new();
    for (node, order) in orders {
        let holder = holders.entry(order.fence).or_insert(&order.holder);
        let known = highest.entry(*node).or_default();
        if *holder != order.holder || order.fence < *known {
            return Some(Violation::new("one holder", format!("{order:?} at {node}")));
        }
        *known = order.fence;
    }
    None
}

fn nothing_runs_on(nodes: &[std::sync::Arc<ReplicaNode>]) -> Option<Violation> {
    let open: u64 = nodes
        .iter()
        .map(|n| n.replica.open_streams.load(std::sync::atomic::Ordering::SeqCst))
        .sum();
    (open > 0).then(|| Violation::new("nothing runs on", format!("{open} streams")))
}

impl RunRecord<'_> {
    fn was_issued(&self, id: &str) -> bool {
        let number = id.strip_prefix('r').and_then(|number| number.parse::<u64>().ok());
        number.is_some_and(|number| number < self.issued)
    }

    /// Orders that came in, with the replica that got them.
    pub fn orders(&self) -> Vec<(usize, Order)> {
        let nodes = self.fleet.nodes.lock().expect("no holder panics");
        let of_node = |(number, node): (usize, &std::sync::Arc<ReplicaNode>)| {
            node.replica.orders.all().into_iter().map(move |order| (number, order))
        };
        nodes.iter().enumerate().flat_map(of_node).collect()
    }

    /// True if nothing that `matters` disturbed the entry of an attempt shortly
    /// before it or during it.
    fn is_calm(&self, attempt: &CallerRequest, matters: impl Fn(&AppliedAction) -> bool) -> bool {
        !self.applied_actions.iter().any(|applied| {
            let concerned = applied.entry().is_none_or(|entry| entry == attempt.entry);
            let over = applied.ended_at + SETTLE < attempt.sent_at;
            concerned && matters(applied) && !over && applied.started_at <= attempt.ended_at
        })
    }

    /// Planned work and trouble of the store cut nobody off, but for a connection
    /// that was turned away at once.
    fn calm_answer_is_whole(&self, attempt: &CallerRequest, was_sent: bool) -> Option<Violation> {
        let unplanned = |d: &AppliedAction| !d.is_planned() && !d.affects_store();
        let at_once = attempt.ended_at < attempt.sent_at + TURNED_AWAY;
        let broken =
            matches!(attempt.outcome, RequestOutcome::Incomplete { .. }) && (was_sent || !at_once);
        (broken && self.is_calm(attempt, unplanned))
            .then(|| Violation::new("calm answers are whole", format!("{attempt:?}")))
    }

    /// The request came unchanged, to a service and a replica that it may go to.
    fn arrival_is_due(
        &self,
        attempt: &CallerRequest,
        arrival: &Arrival,
        node: &ReplicaNode,
    ) -> Option<Violation> {
        let seen = &arrival.seen;
        if seen.request_line != attempt.line() || seen.body != attempt.id {
            return Some(Violation::new("unchanged", format!("{seen:?}")));
        }
        if !may_go_to(attempt.route, node.service) {
            return Some(Violation::new("right service", format!("{seen:?} at {}", node.service)));
        }
        let in_touch = self.is_calm(attempt, |d| !d.is_planned() && !d.affects_replica());
        let late =
            node.leaving_since().is_some_and(|left| seen.received_at > left + DRAIN_BOUND + SLACK);
        if in_touch && late && arrival.kind != ArrivalKind::Refused {
            return Some(Violation::new("drained", format!("{seen:?} at {}", node.replica.id)));
        }
        let stale = attempt.route == "moved" && !self.may_be_in_force(attempt, node.service);
        (in_touch && stale).then(|| Violation::new("configuration", format!("{attempt:?}")))
    }

    /// True if a configuration that may be in force for the attempt sends the
    /// moved route to the service.
    fn may_be_in_force(&self, attempt: &CallerRequest, service: &str) -> bool {
        let changes: Vec<Instant> = self
            .applied_actions
            .iter()
            .filter(|applied| applied.action == Action::PublishConfiguration)
            .map(|applied| applied.started_at)
            .collect();
        let old = changes.iter().filter(|at| **at + APPLY_BOUND + SLACK < attempt.sent_at).count();
        let new = changes.iter().filter(|at| **at <= attempt.ended_at).count();
        // The versions are odd and even in turn.
        let odd_first =
            |count: usize| if count.is_multiple_of(2) { DESK_SERVICE } else { OTHER_DESK_SERVICE };
        (old..=new).any(|count| odd_first(count) == service)
    }

    /// A planned stop ends by itself, and in order.
    fn stops_are_clean(&self) -> Vec<Violation> {
        let stops = self.applied_actions.iter().filter(|applied| applied.exit_code.is_some());
        let unclean =
            stops.filter(|stop| stop.exit_code != Some(Some(0)) && !self.is_hindered(stop));
        let violation = |stop: &AppliedAction| Violation::new("clean stop", format!("{stop:?}"));
        unclean.map(violation).collect()
    }

    /// True if something else befell the entry while it stopped.
    fn is_hindered(&self, stop: &AppliedAction) -> bool {
        self.applied_actions.iter().any(|other| {
            let same = other.started_at == stop.started_at && other.action == stop.action;
            let befalls = matches!(
                other.action,
                Action::Kill(_) | Action::KillAll | Action::Pause(..) | Action::Stop(_)
            );
            let concerned = other.entry().is_none_or(|entry| Some(entry) == stop.entry());
            !same
                && befalls
                && concerned
                && other.started_at <= stop.ended_at
                && stop.started_at <= other.ended_at
        })
    }
}
