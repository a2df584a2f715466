//! Log lines about the steps, failures and end of a request.

use std::time::Duration;

use hyper::header::CONTENT_TYPE;

use crate::clock::as_ms;
use crate::edge::direct::body_framing::BodyFraming;
use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Event;
use crate::router::Step;
use crate::router::Target;
use crate::router::liveness::EngineAnswer;
use crate::router::request::Request;
use crate::router::retry_budgets::BudgetNotice;

/// Returns the name of a step in logs and metrics.
pub(super) fn step_kind(step: &Step) -> &'static str {
    match step {
        Step::Reserve { .. } => "reserve",
        Step::Prefill { .. } => "prefill",
        Step::Decode { .. } => "decode",
        Step::Call { .. } => "call",
        Step::AwaitCall { .. } => "await-call",
        Step::LookUpOrigin { .. } => "look-up-origin",
        Step::Wait { .. } => "wait",
        Step::Relay { .. } => "relay",
        Step::Refuse(_) => "refuse",
        Step::Abort => "abort",
    }
}

/// Returns the reason of a failure in metrics, or `None` if the event is no failure.
pub(super) fn failure_reason(event: &Event) -> Option<String> {
    match event {
        Event::Failed(failure) => Some(failure.to_string()),
        Event::CallOverdue => Some("overdue".to_string()),
        Event::ResponseInterrupted { .. } => Some("broke-off".to_string()),
        Event::UpstreamCrashed { .. } => Some("upstream-crashed".to_string()),
        Event::ResponsePaused { .. } => Some("paused".to_string()),
        Event::DeadlinePassed => Some("deadline-passed".to_string()),
        Event::EntryExits => Some("entry-exits".to_string()),
        _ => None,
    }
}

/// Logs a refusal; `version` is that of the request's configuration, 0 if the request
/// was refused on arrival.
pub(super) fn log_refusal(instance: &str, id: &str, refusal: &Refusal, version: u64) {
    let event =
        if refusal.reason == RefusalReason::UnknownApiKey { "key-refused" } else { "refused" };
    spdlog::info!("{event}", kv: {
        instance: = instance,
        request_id: = id,
        reason: = refusal.reason,
        outcome: = refusal.outcome,
        retry_after_ms = refusal.retry_after.map_or(0, as_ms),
        generation = version
    });
}

/// Logs a step that calls an upstream.
pub(super) fn log_step(instance: &str, id: &str, step: &Step) {
    let (upstream, detail) = match step {
        Step::Reserve { target, tokens, .. } => (&target.id, format!("tokens {tokens}")),
        Step::Prefill { target, timeout, .. } => (&target.id, format!("timeout {timeout:?}")),
        Step::Decode { target, source, after_event, .. } => {
            let source = source.as_ref().map(|source| source.address);
            (&target.id, format!("source {source:?} after {after_event:?}"))
        }
        Step::Call { target, timeout, .. } | Step::AwaitCall { target, timeout } => {
            (&target.id, format!("timeout {timeout:?}"))
        }
        Step::LookUpOrigin { .. }
        | Step::Wait { .. }
        | Step::Relay { .. }
        | Step::Refuse(_)
        | Step::Abort => return,
    };
    let kind = step_kind(step);
    spdlog::info!("{kind}", kv: {
        instance: = instance,
        request_id: = id,
        upstream: = upstream,
        detail: = detail
    });
}

/// Logs that a stream continues at an engine after it was interrupted, in the same response or
/// in one to another request of its caller. `begun_version` is empty if it is not known.
pub(super) fn log_continuation(instance: &str, request: &Request, target: &Target) {
    spdlog::info!("stream-continued", kv: {
        instance: = instance,
        request_id: = request.id,
        upstream: = target.id,
        version: = target.version,
        begun_version: = request.begun_version.as_deref().unwrap_or_default(),
        resumes: = request.resumes.as_deref().unwrap_or_default(),
        after_event = request.last_event().unwrap_or(0)
    });
}

/// Logs an event that is a failure. Of a stream that stays silent only the first pause is
/// logged, as the search for a replacement repeats.
pub(super) fn log_failure_event(instance: &str, now: Duration, request: &Request, event: &Event) {
    let (what, detail) = match event {
        Event::Failed(failure) => ("failed", failure.to_string()),
        Event::CallOverdue => ("call-overdue", String::new()),
        Event::ResponseInterrupted { last_event } => ("broke-off", format!("after {last_event:?}")),
        Event::UpstreamCrashed { last_event } => {
            ("upstream-crashed", format!("after {last_event:?}"))
        }
        Event::ResponsePaused { .. } if request.is_silent() => return,
        Event::ResponsePaused { last_event } => ("paused", format!("after {last_event:?}")),
        Event::DeadlinePassed => ("deadline-passed", String::new()),
        Event::EntryExits => ("entry-exits", String::new()),
        _ => return,
    };
    let age_ms = as_ms(now.saturating_sub(request.arrived_at));
    spdlog::info!("{what}", kv: {
        instance: = instance,
        request_id: = request.id,
        fingerprint: = request.fingerprint,
        route: = request.route().name,
        upstream: = request.upstream_id(),
        generation = request.version(),
        age_ms = age_ms,
        run_events = request.run_events,
        shared_parts: = format_parts(request),
        detail: = detail
    });
}

/// Returns the ids of the parts of a prompt that others may share, separated by commas.
fn format_parts(request: &Request) -> String {
    let ids: Vec<&str> = request.shared_parts().map(|part| part.0.as_str()).collect();
    ids.join(",")
}

/// Logs what a retry budget decided for a request, with the state of the budget after it.
pub(super) fn log_budget_notice(instance: &str, notice: &BudgetNotice) {
    spdlog::info!("retry-budget", kv: {
        instance: = instance,
        request_id: = notice.request_id,
        service: = notice.service,
        decision: = notice.decision,
        spent = notice.balance.spent,
        held = notice.balance.held,
        limit = notice.balance.limit,
        requests = notice.balance.requests,
        share = notice.balance.share
    });
}

/// Logs that the entry goes on waiting for the upstream of a response that paused.
pub(super) fn log_kept_run(instance: &str, now: Duration, request: &Request) {
    spdlog::info!("run-kept", kv: {
        instance: = instance,
        request_id: = request.id,
        upstream: = request.upstream_id(),
        age_ms = as_ms(now.saturating_sub(request.arrived_at)),
        remaining_ms = as_ms(request.remaining_time(now))
    });
}

/// How an upstream ended a response that was relayed part by part.
pub(super) struct StreamEnd {
    /// What ends the body.
    pub(super) framing: BodyFraming,
    /// Id of the last event that was relayed, if any.
    pub(super) last_event: Option<u64>,
    /// Number of events of the run.
    pub(super) events: usize,
    /// Number of events that were not relayed, as the caller has had them.
    pub(super) repeated_events: usize,
    /// Number of bytes after the end of the last event.
    pub(super) remainder_bytes: usize,
}

/// Logs how the upstream ended a response that was relayed part by part.
pub(super) fn log_stream_end(instance: &str, request: &Request, end: &StreamEnd) {
    spdlog::info!("stream-ended", kv: {
        instance: = instance,
        request_id: = request.id,
        upstream: = request.upstream_id(),
        framing: = end.framing,
        last_event = end.last_event.unwrap_or(0),
        events = end.events,
        repeated_events = end.repeated_events,
        remainder_bytes = end.remainder_bytes
    });
}

/// Logs a success that is no stream of events though the route of its request has streams.
pub(super) fn log_no_stream(instance: &str, request: &Request, response: &UpstreamResponse) {
    let media_type = response.headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
    spdlog::warn!("no-stream", kv: {
        instance: = instance,
        request_id: = request.id,
        route: = request.route().name,
        upstream: = response.connection.peer(),
        status = response.status,
        media_type: = media_type.unwrap_or_default()
    });
}

/// Logs that an engine of a request sent something that is no event of its run.
pub(super) fn log_invalid_event(
    instance: &str,
    request: &Request,
    engine: &str,
    invalid: InvalidEvent,
) {
    spdlog::warn!("invalid-event", kv: {
        instance: = instance,
        request_id: = request.id,
        route: = request.route().name,
        upstream: = engine,
        run_events = request.run_events,
        detail: = invalid
    });
}

/// Logs that a response is aborted after its head was sent. `cause` is the event that led to
/// it, as in the metrics of failures; `leaving_since` is the start of the graceful shutdown.
pub(super) fn log_aborted(
    instance: &str,
    now: Duration,
    request: &Request,
    cause: &str,
    leaving_since: Option<Duration>,
) {
    spdlog::warn!("aborted", kv: {
        instance: = instance,
        request_id: = request.id,
        route: = request.route().name,
        upstream: = request.upstream_id(),
        generation = request.version(),
        age_ms = as_ms(now.saturating_sub(request.arrived_at)),
        remaining_ms = as_ms(request.remaining_time(now)),
        runs = request.runs(),
        leaving_ms = leaving_since.map_or(0, |since| as_ms(now.saturating_sub(since))),
        detail: = cause
    });
}

/// Logs that the engine of a silent stream was asked for a sign of life.
pub(super) fn log_asked_engine(
    instance: &str,
    now: Duration,
    request: &Request,
    engine: &Target,
    is_leaving: bool,
    answer: EngineAnswer,
) {
    spdlog::info!("engine-asked", kv: {
        instance: = instance,
        request_id: = request.id,
        upstream: = engine.id,
        silent_ms = as_ms(request.silence(now)),
        leaving = is_leaving,
        answer: = answer
    });
}

/// Why the entry closes the connection of a paused run; logged under these names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum GivenUpBecause {
    /// The response of its replacement has begun.
    Replaced,
    /// Its replacement has had the request for as long as both may work on it.
    OverlapEnded,
}

/// Logs that the entry closes the connection of a run that paused, though it is open.
pub(super) fn log_given_up_run(
    instance: &str,
    now: Duration,
    request: &Request,
    because: GivenUpBecause,
) {
    let Some(engine) = request.paused_engine() else { return };
    spdlog::info!("run-given-up", kv: {
        instance: = instance,
        request_id: = request.id,
        upstream: = engine.id,
        replacement: = request.upstream_id(),
        silent_ms = as_ms(request.silence(now)),
        detail: = because
    });
}

/// Logs that the exit of the process cuts a request. `arrived_ms` is the time from the start of
/// the graceful shutdown to its arrival, negative before it.
pub(super) fn log_cut_request(
    instance: &str,
    now: Duration,
    request: &Request,
    leaving_since: Duration,
) {
    let arrived_ms = as_ms(request.arrived_at) as i64 - as_ms(leaving_since) as i64;
    spdlog::warn!("cut-at-exit", kv: {
        instance: = instance,
        request_id: = request.id,
        route: = request.route().name,
        upstream: = request.upstream_id(),
        arrived_ms = arrived_ms,
        age_ms = as_ms(now.saturating_sub(request.arrived_at)),
        phase: = request.phase(),
        response_started = request.response_started,
        silent = request.is_silent(),
        run_events = request.run_events
    });
}

/// Logs that the exit of the process cuts a response whose request has ended, but whose caller has
/// not read all of it.
pub(super) fn log_unread_response(instance: &str, id: &str) {
    spdlog::warn!("cut-at-exit", kv: {
        instance: = instance,
        request_id: = id,
        phase = "unread",
        response_started = true
    });
}

/// How a request that was neither refused nor aborted ended; logged under these names in
/// kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum RequestEnding {
    /// The complete response was handed over to the caller's connection.
    Answered,
    /// The caller disconnected before the response was complete.
    CallerGone,
}

/// Logs the end of a request; `status` is the upstream's, 0 if there was no response.
pub(super) fn log_request_ending(
    instance: &str,
    now: Duration,
    request: &Request,
    ending: RequestEnding,
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
