//! State of a request in flight.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::new_key_type;

use crate::outcome::Outcome;
use crate::router::accounts::ApiKey;
use crate::router::accounts::Caller;
use crate::router::configuration::Configuration;
use crate::router::configuration::Engine;
use crate::router::configuration::Route;
use crate::router::fingerprint::Fingerprint;
use crate::router::flow::Cleanup;
use crate::router::flow::Target;
use crate::router::liveness::Liveness;
use crate::router::parallel_calls::KeptError;
use crate::router::parallel_calls::ParallelCall;
use crate::router::poison::CrashedRun;
use crate::router::poison::Suspect;
use crate::router::retry_budgets::BudgetedSends;
use crate::router::upstreams::UpstreamKey;

new_key_type! {
    /// Identifies a request within one entry.
    pub struct RequestKey;
}

/// New request as it enters the decision core.
#[derive(Debug, Clone, Default)]
pub struct IncomingRequest {
    /// Request id that the caller assigned.
    pub id: CompactString,
    /// Host that the caller addressed.
    pub host: CompactString,
    /// Path of the request, without the query.
    pub path: CompactString,
    /// Fingerprint of its content and its caller.
    pub fingerprint: Fingerprint,
    /// Key by which the caller identifies its account, if it sent one.
    pub api_key: Option<ApiKey>,
    /// How long the caller waits, if it sent a limit. The timeout of the route
    /// applies if it is shorter.
    pub caller_timeout: Option<Duration>,
    /// Size of the prompt; set for a model request.
    pub prompt: Option<Prompt>,
    /// Parts of the prompt that other prompts may share, in their order.
    pub shared_parts: Vec<PromptPartId>,
    /// Id of the last event that the caller has received, if it continues a
    /// stream.
    pub resume_after: Option<u64>,
    /// Id of the request that brought the first event of the stream that the
    /// caller continues, if it names one.
    pub resumes: Option<CompactString>,
}

/// Id of a part of a prompt. Prompts that share a part name it by the same id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPartId(pub CompactString);

/// Size of a model request, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Largest number of output tokens.
    pub max_output_tokens: u32,
    /// The caller's estimate of the number of output tokens, if it gave one.
    pub output_hint: Option<u32>,
}

/// Expected output as a share of `max_output_tokens`, if the caller gives no
/// estimate.
const DEFAULT_OUTPUT_SHARE: f64 = 0.4;
/// Largest number of attempts of one request, that is, of decodes sent.
const MAX_ATTEMPTS: u32 = 5;
/// Longest interval between two events, if the route sets none.
const DEFAULT_MAX_EVENT_INTERVAL: Duration = Duration::from_millis(300);
/// Factor on the caller's estimate, which is often too low.
const HINT_ALLOWANCE: f64 = 1.25;

impl Prompt {
    /// Output tokens to reserve memory for.
    pub fn expected_output_tokens(&self) -> u32 {
        let max = f64::from(self.max_output_tokens);
        let expected = match self.output_hint {
            Some(hint) => f64::from(hint) * HINT_ALLOWANCE,
            None => max * DEFAULT_OUTPUT_SHARE,
        };
        expected.min(max) as u32
    }

    /// Prompt and output tokens to reserve engine memory for.
    pub fn expected_tokens(&self) -> u32 {
        self.tokens + self.expected_output_tokens()
    }
}

/// Resource that an upstream holds for a request.
#[derive(Debug, Clone)]
pub struct HeldResource {
    /// Upstream that holds the resource.
    pub target: Target,
    /// Identifier of the reservation or of the prefill result at the upstream.
    pub id: CompactString,
}

/// Stage that a model request has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// It waits for a reservation at a decode engine.
    #[default]
    Reserving,
    /// Its prompt is prefilled.
    Prefilling,
    /// It was sent to a decode engine, which has not responded yet.
    Decoding,
    /// Its response is passed on.
    Relaying,
}

/// Request in flight.
#[derive(Debug)]
pub struct Request {
    /// Request id that the caller assigned.
    pub id: CompactString,
    /// Fingerprint of its content and its caller.
    pub fingerprint: Fingerprint,
    /// Who sent the request.
    pub caller: Caller,
    /// When the request arrived.
    pub arrived_at: Duration,
    /// Time at which the request ends at the latest: its arrival plus the
    /// caller's timeout or that of the route, whichever is shorter.
    pub deadline: Duration,
    /// Time at which the wait for a reservation ends. Set when the request
    /// joins the queue.
    pub(super) reservation_deadline: Duration,
    /// True if the caller has probably retried after a refusal, so that the
    /// response cannot start within the latency target, and engines have not
    /// worked on the request yet.
    pub(super) is_late: bool,
    /// Name of the service that the request goes to.
    pub service: CompactString,
    /// Size of the prompt; set for a model request that goes to engines.
    pub prompt: Option<Prompt>,
    /// What could make it crash the upstreams that run it: the parts of the prompt that other
    /// prompts may share, in their order, and the request as a whole.
    pub(super) suspects: Vec<Suspect>,
    /// Its runs under which their upstreams crashed.
    pub(super) crashed_runs: Vec<CrashedRun>,
    /// Upstream of a run that has not ended in a known way.
    pub(super) open_run: Option<Target>,
    /// Prompt and output tokens to reserve engine memory for; 0 without a prompt.
    pub(super) reserved_tokens: u32,
    /// Units taken out of the quota of its account; 0 if it has none.
    pub(super) quota_units: f64,
    /// Configuration in force when the request arrived.
    pub(super) configuration: Arc<Configuration>,
    /// Index of the route in `configuration`.
    pub(super) route: usize,
    pub(super) phase: Phase,
    /// Number of runs: attempts that were executed or may have been.
    pub(super) runs: u32,
    /// True if a run ended without a complete response and may have taken
    /// effect.
    pub(super) may_have_run: bool,
    /// Number of attempts: decodes or calls sent, including those that were
    /// certainly not executed.
    pub(super) attempts: u32,
    /// Number of prefills sent.
    pub(super) prefills: u32,
    /// Number of this entry's prefills that were in flight when the last one was sent.
    pub(super) prefills_ahead: u32,
    /// When the last prefill or decode was sent.
    pub(super) step_started_at: Duration,
    /// Upstreams not to select again, because they failed or rejected the
    /// request. Cleared once a reservation is made, and after a round of
    /// reservation requests that no engine granted.
    pub(super) excluded: Vec<UpstreamKey>,
    /// Upstream of the last step. Before another prefill it is set back to the
    /// decode engine of the reservation.
    pub(super) current: Option<Target>,
    /// Exchanges of a call beside that at `current`, which go on.
    pub(super) parallel_calls: Vec<ParallelCall>,
    /// True once the call at `current` has exceeded its timeout.
    pub(super) is_overdue: bool,
    /// Error that is passed on if no upstream has a better answer to the call.
    pub(super) kept_error: Option<KeptError>,
    /// Upstream whose permit a waiting call has taken in advance.
    pub(super) booked_upstream: Option<UpstreamKey>,
    /// Upstream whose `open_requests` and `open_tokens` include this request.
    pub(super) counted_upstream: Option<Target>,
    /// Prefill engine whose `prefilling_tokens` include this prompt.
    pub(super) prefilling_engine: Option<UpstreamKey>,
    pub(super) reservation: Option<HeldResource>,
    /// Time from which the last reservation may have lapsed unused.
    pub(super) reservation_ends_at: Duration,
    pub(super) prefill_result: Option<HeldResource>,
    /// Decode engines that did not run the request with this prefill result.
    pub(super) result_rejected_by: Vec<UpstreamKey>,
    /// True once the response to a model request has started. Not set for plain
    /// calls.
    pub response_started: bool,
    /// Id of the last event that the caller has received, if any.
    pub(super) last_event: Option<u64>,
    /// Id of the request that brought the first event, if the caller continues a
    /// stream.
    pub resumes: Option<CompactString>,
    /// Software version of the engine that brought the first event of the stream, if
    /// known.
    pub begun_version: Option<CompactString>,
    /// When the last event of the stream was received from its engine.
    pub(super) last_event_at: Option<Duration>,
    /// Number of events that the present run has sent.
    pub run_events: u32,
    /// True once the stream has paused for longer than its route allows.
    pub(super) stalled: bool,
    /// Engine of a run that is silent but still open, while another engine is sought.
    pub(super) paused_run: Option<Target>,
    /// True if the request finds out whether it, or a part of its prompt, still crashes
    /// upstreams.
    pub(super) is_trial: bool,
    /// Sends that count in the retry budget of the service.
    pub(super) sends: BudgetedSends,
    /// True once a replacement of a paused run has been sought, until the stream goes on.
    pub(super) replacement_sought: bool,
    /// When the engine of the present run was taken for lost.
    pub(super) engine_lost_at: Option<Duration>,
    /// Signs of life of its engine, if that is no longer listed.
    pub(super) engine_liveness: Liveness,
}

impl Request {
    pub(super) fn new(
        now: Duration,
        incoming: IncomingRequest,
        configuration: Arc<Configuration>,
        route: usize,
        service: CompactString,
        caller: Caller,
    ) -> Self {
        let timeout = configuration.routes[route].timeout;
        let caller_timeout = incoming.caller_timeout.unwrap_or(timeout).min(timeout);
        let prompt = incoming.prompt.filter(|_| {
            configuration.service(&service).is_some_and(|service| service.engine.is_some())
        });
        let parts = incoming.shared_parts.into_iter().map(Suspect::Part);
        let suspects = parts.chain([Suspect::Request(incoming.fingerprint)]).collect();
        Self {
            id: incoming.id,
            fingerprint: incoming.fingerprint,
            caller,
            arrived_at: now,
            deadline: now + caller_timeout,
            reservation_deadline: now,
            is_late: false,
            service,
            prompt,
            suspects,
            crashed_runs: Vec::new(),
            open_run: None,
            reserved_tokens: 0,
            quota_units: 0.0,
            configuration,
            route,
            phase: Phase::default(),
            runs: 0,
            may_have_run: false,
            attempts: 0,
            prefills: 0,
            prefills_ahead: 0,
            step_started_at: now,
            excluded: Vec::new(),
            current: None,
            parallel_calls: Vec::new(),
            is_overdue: false,
            kept_error: None,
            booked_upstream: None,
            counted_upstream: None,
            prefilling_engine: None,
            reservation: None,
            reservation_ends_at: now,
            prefill_result: None,
            result_rejected_by: Vec::new(),
            response_started: false,
            last_event: incoming.resume_after,
            resumes: incoming.resumes,
            begun_version: None,
            last_event_at: None,
            run_events: 0,
            stalled: false,
            paused_run: None,
            is_trial: false,
            sends: BudgetedSends::default(),
            replacement_sought: false,
            engine_lost_at: None,
            engine_liveness: Liveness::default(),
        }
    }

    /// Route that matched the request.
    pub fn route(&self) -> &Route {
        &self.configuration.routes[self.route]
    }

    /// Priority of the request, 0 is the highest: that of its account or, without one, of
    /// its route.
    pub fn priority(&self) -> u8 {
        let account = self.caller.account().and_then(|account| account.priority);
        account.unwrap_or(self.route().priority)
    }

    /// Version of the configuration in force when the request arrived.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Stage that a model request has reached.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Upstream of the last step.
    pub fn upstream(&self) -> Option<&Target> {
        self.current.as_ref()
    }

    /// Engine of a run that is silent but still open, while another engine is sought.
    pub fn paused_engine(&self) -> Option<&Target> {
        self.paused_run.as_ref()
    }

    /// Number of runs: attempts that were executed or may have been.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Id of the upstream of the last step; empty before the first one.
    pub fn upstream_id(&self) -> CompactString {
        self.current.as_ref().map(|target| target.id.clone()).unwrap_or_default()
    }

    /// Id of the last event that the caller has received, if any.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Parts of the prompt that other prompts may share, in their order.
    pub fn shared_parts(&self) -> impl Iterator<Item = &PromptPartId> {
        self.suspects.iter().filter_map(|suspect| match suspect {
            Suspect::Part(part) => Some(part),
            Suspect::Request(_) => None,
        })
    }

    /// Whether the request has taken effect so far.
    pub fn outcome(&self) -> Outcome {
        match (self.may_have_run, self.runs) {
            (true, _) => Outcome::Unknown,
            (false, 0) => Outcome::NotRun,
            (false, _) => Outcome::Ran,
        }
    }

    /// True once a replacement of a paused run has been sought, until the stream goes on.
    pub fn is_silent(&self) -> bool {
        self.replacement_sought
    }

    /// True if an engine has already done work for the request.
    pub(super) fn has_engine_work(&self) -> bool {
        self.response_started || self.prefills > 0
    }

    /// Properties of the engines that the request goes to, if it goes to any.
    pub(super) fn engine(&self) -> Option<Engine> {
        self.configuration.service(&self.service).and_then(|service| service.engine)
    }

    /// Software version that an engine must have for the stream to continue there;
    /// `None` if any will do.
    pub(super) fn required_version(&self) -> Option<&str> {
        self.begun_version.as_deref()
    }

    /// True if the limits on runs and attempts permit another run.
    pub(super) fn allows_another_run(&self) -> bool {
        self.runs < self.route().max_runs && self.attempts < MAX_ATTEMPTS
    }

    /// Longest interval between two events of the stream.
    pub(super) fn max_event_interval(&self) -> Duration {
        let interval = self.route().max_event_interval;
        if interval.is_zero() { DEFAULT_MAX_EVENT_INTERVAL } else { interval }
    }

    /// Time left until the deadline, zero after it.
    pub fn remaining_time(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    pub(super) fn take_cleanups(&mut self) -> Vec<Cleanup> {
        let reservation = self.reservation.take().map(Cleanup::ReleaseReservation);
        let prefill_result = self.prefill_result.take().map(Cleanup::DiscardPrefill);
        reservation.into_iter().chain(prefill_result).collect()
    }
}
