//! How requests end: whether they took effect, why they are refused, and why they
//! are retried. The names of these values appear in responses, logs and metrics.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Whether the request took effect at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request has not run and never will; it is safe to repeat.
    NotRun,
    /// The request ran.
    Ran,
    /// Whether the request ran is unknown.
    Unknown,
}

/// Why a request was refused, or ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The request body is not JSON.
    MalformedJson,
    /// A field of the request body is missing or invalid.
    InvalidField,
    /// The manifest has no model of the requested name.
    UnknownModel,
    /// The manifest has no service of the requested name.
    UnknownService,
    /// The manifest has no client account of the given name.
    UnknownAccount,
    /// The route needs the API key of a client account, and the request has none.
    UnknownApiKey,
    /// The route needs the API key of a client account, and the entry cannot tell whether keys
    /// were withdrawn since it last read a configuration.
    KeysUncertain,
    /// The prompt is longer than the model's `max_prompt_tokens`, or does not fit
    /// into the memory of an engine.
    PromptTooLong,
    /// A part of the prompt has crashed engines.
    PoisonousPrompt,
    /// The request has crashed upstreams.
    PoisonousRequest,
    /// The request body is larger than the settings allow.
    BodyTooLarge,
    /// The request header is larger than the configuration allows.
    HeaderTooLarge,
    /// The request body did not arrive within the time allowed.
    BodyTimeout,
    /// The entry already has as many connections as the settings allow.
    TooManyConnections,
    /// A call that must run at most once came without an idempotency key, which the
    /// manifest requires.
    KeyRequired,
    /// The idempotency key was used before, for a different request.
    KeyReused,
    /// A request with this idempotency key is in flight, or its outcome is unknown.
    KeyInProgress,
    /// A request with this idempotency key has already run.
    KeyCompleted,
    /// The platform's log, which stores idempotency keys, cannot be reached.
    LogUnavailable,
    /// The latency target of the request cannot be met at the current load, or
    /// upstreams rejected the request.
    Overloaded,
    /// All upstreams that could serve the request are at the rate limits that they name.
    RateLimited,
    /// The client account exceeds its quota.
    QuotaExceeded,
    /// The client account exceeds its fair share of a busy pool.
    FairShare,
    /// No upstream of the pool accepts requests, or none could be reached.
    NoUpstream,
    /// No engine of the software version at which the stream began accepts work, or that
    /// version is not known.
    VersionUnavailable,
    /// A retry was needed, but the retry budget of the pool is exhausted.
    RetryBudget,
    /// All allowed attempts of the request failed.
    AttemptsExhausted,
    /// The request did not complete before its deadline, or its upstream did not respond
    /// in time.
    DeadlineExceeded,
    /// The upstream failed or was lost while the request was in flight there, and the
    /// request cannot be run again.
    UpstreamLost,
    /// A call was sent to the upstream, but no complete response came back. An error
    /// status of the upstream is a response like any other.
    UpstreamFailed,
    /// The upstream responded with a status by which callers take a request for not run, but
    /// did not say that it has not run it.
    UnprovenRejection,
    /// The entry is shutting down.
    ShuttingDown,
    /// The entry has no manifest yet.
    NotReady,
}

/// Why another attempt of a request was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryReason {
    /// A decode agent had no capacity for the request.
    DecodeFull,
    /// A prefill agent could not finish before the deadline of the prefill.
    PrefillBusy,
    /// The agent is shutting down.
    AgentLeaving,
    /// The connection to the agent was lost.
    AgentLost,
    /// The prefill failed at the upstream.
    PrefillFailed,
    /// The prefill result did not reach the decode engine in time.
    TransferFailed,
    /// The token stream ended early or was idle for too long.
    StreamFailed,
    /// A call certainly did not run: its agent rejected or fenced it, or could not send it.
    CallNotRun,
    /// A call failed that is safe to repeat.
    CallFailed,
    /// The agent did not reply in time.
    AgentSilent,
}

/// Final result of a request that ends without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason, as reported to the caller, in logs and in metrics.
    pub reason: RefusalReason,
    /// Whether the request took effect at an upstream.
    pub outcome: Outcome,
    /// Time after which the caller may retry; `None` if a retry is of no use or the
    /// time is unknown.
    pub retry_after: Option<Duration>,
    /// Explanation for the caller beyond the reason; may be empty.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that has not run, with an empty detail.
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after, detail: String::new() }
    }

    /// Creates a refusal with the given outcome, without a retry time or detail.
    pub fn with_outcome(reason: RefusalReason, outcome: Outcome) -> Self {
        Self { reason, outcome, retry_after: None, detail: String::new() }
    }
}
