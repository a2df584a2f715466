//! A request in flight, as the core knows it.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::new_key_type;

use crate::outcome::Outcome;
use crate::router::configuration::Route;
use crate::router::configuration::RouteTable;
use crate::router::fleet::UpstreamKey;
use crate::router::flow::Cleanup;
use crate::router::flow::Target;

new_key_type! {
    /// Names a request within one entry.
    pub struct RequestKey;
}

/// What the core needs to know of a new request.
#[derive(Debug, Clone, Default)]
pub struct IncomingRequest {
    /// Id that the caller gave it.
    pub id: CompactString,
    /// Host that the caller named.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// How long the caller will wait, if it said so.
    pub caller_timeout: Option<Duration>,
    /// Set for a model request.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of a stream that it continues.
    pub resume_after: Option<u64>,
}

/// The size of a model request, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the output.
    pub max_output_tokens: u32,
    /// The caller's estimate of the output.
    pub output_hint: Option<u32>,
}

/// Output expected when the caller gives no estimate, against the most.
const DEFAULT_OUTPUT_SHARE: f64 = 0.4;
/// Room above the estimate, which is often short.
const HINT_ALLOWANCE: f64 = 1.25;

impl Prompt {
    /// Output tokens to make room for.
    pub fn expected_output_tokens(&self) -> u32 {
        let most = f64::from(self.max_output_tokens);
        let expected = match self.output_hint {
            Some(hint) => f64::from(hint) * HINT_ALLOWANCE,
            None => most * DEFAULT_OUTPUT_SHARE,
        };
        expected.min(most) as u32
    }

    /// Tokens of engine memory to make room for.
    pub fn expected_tokens(&self) -> u32 {
        self.tokens + self.expected_output_tokens()
    }
}

/// What is held for a request at an upstream.
#[derive(Debug, Clone)]
pub struct HeldResource {
    /// The upstream.
    pub target: Target,
    /// Name of the reservation or the prefill result there.
    pub name: CompactString,
}

/// Where a model request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Phase {
    #[default]
    Reserving,
    Prefilling,
    Decoding,
    Relaying,
}

/// A request in flight.
#[derive(Debug)]
pub struct Request {
    /// Id that the caller gave it.
    pub id: CompactString,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When the caller or the route gives up on it.
    pub deadline: Duration,
    /// Until when it waits for room, once it does.
    pub(super) reservation_deadline: Duration,
    /// Service that it goes to.
    pub service: CompactString,
    /// Set for a model request.
    pub prompt: Option<Prompt>,
    pub(super) table: Arc<RouteTable>,
    pub(super) route: usize,
    pub(super) phase: Phase,
    /// Runs that started or may have started.
    pub(super) runs: u32,
    /// A run ended without an answer, and it is not known how.
    pub(super) may_have_run: bool,
    /// Sends that count against the retry budget.
    pub(super) sends: u32,
    pub(super) prefills: u32,
    /// When the last prefill or decode was sent.
    pub(super) step_started_at: Duration,
    /// Upstreams that did not serve it.
    pub(super) excluded: Vec<UpstreamKey>,
    pub(super) current: Option<Target>,
    /// Tokens counted_at as open at the current decode upstream.
    pub(super) counted_at: Option<Target>,
    /// Engine at which its prompt counts as waited for.
    pub(super) prefilling_at: Option<UpstreamKey>,
    pub(super) reservation: Option<HeldResource>,
    pub(super) prefill_result: Option<HeldResource>,
    /// The head of an answer went to the caller.
    pub(super) response_started: bool,
    pub(super) last_event: Option<u64>,
}

impl Request {
    pub(super) fn new(
        now: Duration,
        incoming: IncomingRequest,
        table: Arc<RouteTable>,
        route: usize,
        service: CompactString,
    ) -> Self {
        let timeout = table.routes[route].timeout;
        let caller_timeout = incoming.caller_timeout.unwrap_or(timeout).min(timeout);
        let prompt = incoming
            .prompt
            .filter(|_| table.service(&service).is_some_and(|service| service.engine.is_some()));
        Self {
            id: incoming.id,
            arrived_at: now,
            deadline: now + caller_timeout,
            reservation_deadline: now,
            service,
            prompt,
            table,
            route,
            phase: Phase::default(),
            runs: 0,
            may_have_run: false,
            sends: 0,
            prefills: 0,
            step_started_at: now,
            excluded: Vec::new(),
            current: None,
            counted_at: None,
            prefilling_at: None,
            reservation: None,
            prefill_result: None,
            response_started: false,
            last_event: incoming.resume_after,
        }
    }

    /// The route that it came by.
    pub fn route(&self) -> &Route {
        &self.table.routes[self.route]
    }

    /// Version of the configuration that it came under.
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// Id of the upstream of the last step.
    pub fn upstream_id(&self) -> CompactString {
        self.current.as_ref().map(|target| target.id.clone()).unwrap_or_default()
    }

    /// Whether it elapsed effect so far.
    pub fn outcome(&self) -> Outcome {
        match (self.may_have_run, self.runs) {
            (true, _) => Outcome::Unknown,
            (false, 0) => Outcome::NotRun,
            (false, _) => Outcome::Ran,
        }
    }

    /// True if work was done for it at an engine.
    pub(super) fn has_engine_work(&self) -> bool {
        self.response_started || self.prefills > 0
    }

    /// Time left until the deadline.
    pub fn remaining_time(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    pub(super) fn take_cleanups(&mut self) -> Vec<Cleanup> {
        let reservation = self.reservation.take().map(Cleanup::ReleaseReservation);
        let prefill_result = self.prefill_result.take().map(Cleanup::DiscardPrefill);
        reservation.into_iter().chain(prefill_result).collect()
    }
}
