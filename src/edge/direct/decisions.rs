//! Log lines of what is decided about a request.

use std::time::Duration;

use crate::clock::as_ms;
use crate::outcome::Refusal;
use crate::router::Event;
use crate::router::Step;
use crate::router::request::Request;

/// Name of a step, for logs and metrics.
pub(super) fn kind_of(step: &Step) -> &'static str {
    match step {
        Step::Reserve { .. } => "reserve",
        Step::Prefill { .. } => "prefill",
        Step::Decode { .. } => "decode",
        Step::Call { .. } => "call",
        Step::Wait { .. } => "wait",
        Step::Relay { .. } => "relay",
        Step::Refuse(_) => "refuse",
        Step::Abort => "abort",
    }
}

/// Name of what an event says went wrong.
pub(super) fn failure_of(event: &Event) -> Option<String> {
    match event {
        Event::Failed(failure) => Some(failure.to_string()),
        Event::ResponseInterrupted { .. } => Some("broke-off".to_string()),
        Event::DeadlinePassed => Some("deadline-passed".to_string()),
        _ => None,
    }
}

pub(super) fn log_refusal(instance: &str, id: &str, refusal: &Refusal, version: u64) {
    spdlog::info!("refused", kv: {
        instance: = instance,
        request_id: = id,
        reason: = refusal.reason,
        outcome: = refusal.outcome,
        retry_after_ms = refusal.retry_after.map_or(0, as_ms),
        generation = version
    });
}

pub(super) fn log_step(instance: &str, id: &str, step: &Step) {
    let (upstream, detail) = match step {
        Step::Reserve { target, tokens, .. } => (&target.id, format!("tokens {tokens}")),
        Step::Prefill { target, timeout, .. } => (&target.id, format!("timeout {timeout:?}")),
        Step::Decode { target, source, after_event, .. } => {
            let source = source.as_ref().map(|source| source.address);
            (&target.id, format!("source {source:?} after {after_event:?}"))
        }
        Step::Call { target, timeout, .. } => (&target.id, format!("timeout {timeout:?}")),
        Step::Wait { .. } | Step::Relay { .. } | Step::Refuse(_) | Step::Abort => return,
    };
    let kind = kind_of(step);
    spdlog::info!("{kind}", kv: {
        instance: = instance,
        request_id: = id,
        upstream: = upstream,
        detail: = detail
    });
}

pub(super) fn log_event(instance: &str, now: Duration, request: &Request, event: &Event) {
    let (what, detail) = match event {
        Event::Failed(failure) => ("failed", failure.to_string()),
        Event::ResponseInterrupted { last_event } => ("broke-off", format!("after {last_event:?}")),
        Event::DeadlinePassed => ("deadline-passed", String::new()),
        _ => return,
    };
    let age_ms = as_ms(now.saturating_sub(request.arrived_at));
    spdlog::info!("{what}", kv: {
        instance: = instance,
        request_id: = request.id,
        route: = request.route().name,
        upstream: = request.upstream_id(),
        generation = request.version(),
        age_ms = age_ms,
        detail: = detail
    });
}

/// How a request that got an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Ending {
    /// The caller has all of the answer.
    Answered,
    /// The caller went away before.
    CallerGone,
}

pub(super) fn log_ending(
    instance: &str,
    now: Duration,
    request: &Request,
    ending: Ending,
    status: u16,
) {
    let age_ms = as_ms(now.saturating_sub(request.arrived_at));
    spdlog::info!("{ending}", kv: {
        instance: = instance,
        request_id: = request.id,
        route: = request.route().name,
        upstream: = request.upstream_id(),
        generation = request.version(),
        age_ms = age_ms,
        status = status
    });
}
