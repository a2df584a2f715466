//! Check of the rate limits that replicas name, which hold over all entries together.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::callers::CallerRequest;
use crate::checks::Arrival;
use crate::checks::RunRecord;
use crate::checks::Violation;
use crate::checks::is_served;
use crate::replica_node::NamedRateLimit;
use crate::replica_node::ReplicaNode;

/// Time after the first naming of a limit from which it is checked.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after the end of an entry's first request at the replica from which its requests count.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Window in which the requests count.
const WINDOW: Duration = Duration::from_secs(4);
/// Part of the limit, and requests beyond it, that a window may hold.
const ALLOWED_PART: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// Largest number of arrivals of a request of which each got a response: a prefill and a decode.
const MAX_ANSWERED_ARRIVALS: usize = 2;

/// Request that reached a replica.
struct Sent {
    entry: usize,
    at: Instant,
    /// When its caller got the complete response, if the replica's response surely reached the
    /// entry.
    answered_at: Option<Instant>,
}

/// No replica gets more requests in a window than its limit allows, of entries that it has told.
pub(crate) fn check_rate_limits(
    record: &RunRecord,
    arrivals: &[Arrival],
    nodes: &[Arc<ReplicaNode>],
    by_id: &HashMap<&str, &CallerRequest>,
) -> Vec<Violation> {
    let mut arrival_counts: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals {
        *arrival_counts.entry(&arrival.request.id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let at_node = arrivals.iter().filter(|arrival| arrival.node == number);
        let sent: Vec<Sent> = at_node
            .filter_map(|arrival| {
                let request = by_id.get(arrival.request.id.as_str())?;
                let arrivals = arrival_counts[arrival.request.id.as_str()];
                let answered = is_served(request) && arrivals <= MAX_ANSWERED_ARRIVALS;
                Some(Sent {
                    entry: request.entry,
                    at: arrival.request.received_at,
                    answered_at: answered.then_some(request.ended_at),
                })
            })
            .collect();
        for limit in node.rate_limits.lock().expect("the mutex is not poisoned").iter() {
            let counted = counted_times(record, limit, &sent);
            violations.extend(check_windows(limit, &counted, &node.replica.id));
        }
    }
    violations
}

/// Times of the requests that count, in order.
fn counted_times(record: &RunRecord, limit: &NamedRateLimit, sent: &[Sent]) -> Vec<Instant> {
    let settled_at = limit.from + SETTLE_TIME;
    let settled = sent.iter().filter(|sent| sent.at >= settled_at && sent.at <= limit.until);
    let mut counted: Vec<Instant> = settled
        .filter(|counted| {
            let since = record.undisturbed_since(counted.entry, limit.from, counted.at);
            let Some(since) = since else { return false };
            let told = |other: &Sent| {
                other.entry == counted.entry
                    && other.at >= since
                    && other.answered_at.is_some_and(|at| at + TOLD_AFTER <= counted.at)
            };
            sent.iter().any(told)
        })
        .map(|sent| sent.at)
        .collect();
    counted.sort();
    counted
}

fn check_windows(limit: &NamedRateLimit, counted: &[Instant], replica: &str) -> Option<Violation> {
    let allowed = ALLOWED_PART * limit.requests_per_s * WINDOW.as_secs_f64() + ALLOWED_EXTRA;
    let largest = counted.iter().enumerate().map(|(index, start)| {
        counted[index..].iter().take_while(|at| **at < *start + WINDOW).count()
    });
    let largest = largest.max().unwrap_or(0);
    (largest as f64 > allowed).then(|| {
        let detail = format!("{replica}: {largest} requests in 4 s, {allowed} allowed");
        Violation::new("rate limits", detail)
    })
}
