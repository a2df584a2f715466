//! Check of the retry budget, which holds over all entries together.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::callers::CallerRequest;
use crate::checks::Arrival;
use crate::checks::ArrivalKind;
use crate::checks::Violation;
use crate::checks::may_use_service;
use crate::fleet::DESK_SERVICE;
use crate::fleet::ENGINE_SERVICE;
use crate::fleet::OTHER_DESK_SERVICE;
use crate::fleet::RETRY_RATIO;
use crate::fleet::RETRY_SLACK;
use crate::replica_node::ReplicaNode;

/// Window in which the retry budget is counted.
const RETRY_BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// The extra arrivals at each service keep to the retry budget in every window. Extra are all
/// arrivals of a request but the first, all of its prefill but the first, and rejected prefills.
pub(crate) fn check_retry_budget(
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
    all_requests: &[CallerRequest],
) -> Option<Violation> {
    for service in [ENGINE_SERVICE, DESK_SERVICE, OTHER_DESK_SERVICE] {
        let at_service = |arrival: &&Arrival| nodes[arrival.node].service == service;
        let mut arrival_counts: HashMap<(&str, bool), usize> = HashMap::new();
        let mut extras = Vec::new();
        let mut ordered: Vec<&Arrival> = arrivals.iter().filter(at_service).collect();
        ordered.sort_by_key(|arrival| arrival.request.received_at);
        for arrival in ordered {
            let is_prefill = arrival.request.headers.contains_key("bamboodoor-stage");
            let rejected_prefill = is_prefill && arrival.kind == ArrivalKind::Rejected;
            let count = arrival_counts.entry((&arrival.request.id, is_prefill)).or_default();
            if !rejected_prefill {
                *count += 1;
            }
            if rejected_prefill || *count > 1 {
                extras.push(arrival.request.received_at);
            }
        }
        let requests =
            all_requests.iter().filter(|request| may_use_service(request.route, service));
        let sent_times: Vec<Instant> = requests.map(|request| request.sent_at).collect();
        for end in &extras {
            let within = |at: &&Instant, shift: Duration| {
                **at + shift <= *end && *end < **at + shift + RETRY_BUDGET_WINDOW
            };
            let spent = extras.iter().filter(|at| within(at, Duration::ZERO)).count();
            // The budget is that of the window with the most requests: this one, or one that
            // starts half a window or a whole window earlier.
            let shifts = [Duration::ZERO, RETRY_BUDGET_WINDOW / 2, RETRY_BUDGET_WINDOW];
            let request_count =
                shifts.map(|shift| sent_times.iter().filter(|at| within(at, shift)).count());
            let request_count = request_count.into_iter().max().unwrap_or(0);
            let allowed = RETRY_RATIO * request_count as f64 + RETRY_SLACK as f64;
            if spent as f64 > allowed {
                let detail = format!("{service}: {spent} extra of {allowed}");
                return Some(Violation::new("retry budget", detail));
            }
        }
    }
    None
}
