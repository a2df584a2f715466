//! What became of a request: outcomes, refusals and the reasons of retries.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Whether the request took effect at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// It never ran and never will.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// Why a request was refused or ended without its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The request body is not JSON.
    MalformedJson,
    /// A field is missing or of the wrong type.
    InvalidField,
    /// The manifest names no such model.
    UnknownModel,
    /// The manifest names no such service.
    UnknownService,
    /// The manifest names no such client account.
    UnknownAccount,
    /// The prompt is longer than the model takes.
    PromptTooLong,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// The head is larger than the configuration allows.
    HeaderTooLarge,
    /// The body came too slowly.
    BodyTimeout,
    /// The entry has as many connections as the settings allow.
    TooManyConnections,
    /// A call that may not be repeated came without an idempotency key.
    KeyRequired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request with this key is still running, or its end is not known.
    KeyInProgress,
    /// A request with this key has already run.
    KeyCompleted,
    /// The log that remembers idempotency keys cannot be reached.
    LogUnavailable,
    /// The latency target cannot be met now.
    Overloaded,
    /// The client account is over its share while the pool is busy.
    FairShare,
    /// No upstream of the pool takes work.
    NoUpstream,
    /// The retry budget of the pool is used up.
    RetryBudget,
    /// The request ran out of tries.
    AttemptsExhausted,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The upstream was lost while it held the request.
    UpstreamLost,
    /// The upstream answered with an error of its own.
    UpstreamFailed,
    /// This entry is shutting down.
    ShuttingDown,
    /// This entry has no manifest yet.
    NotReady,
}

/// Why a request was tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryReason {
    /// A decode agent had no room.
    DecodeFull,
    /// A prefill agent would be too late.
    PrefillBusy,
    /// The agent is leaving.
    AgentLeaving,
    /// The connection to the agent was lost.
    AgentLost,
    /// The prefill failed at the upstream.
    PrefillFailed,
    /// The prefill result did not reach the decode engine in time.
    TransferFailed,
    /// The token stream broke off.
    StreamFailed,
    /// A call was fenced before it started.
    CallNotRun,
    /// An idempotent call failed.
    CallFailed,
    /// The agent did not answer in time.
    AgentSilent,
}

/// The final answer to a request that is given up on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request took effect.
    pub outcome: Outcome,
    /// When to come back, if that may help.
    pub retry_after: Option<Duration>,
    /// What a person needs to know beyond the reason.
    pub detail: String,
}

impl Refusal {
    /// A refusal of a request that never reached an upstream.
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after, detail: String::new() }
    }

    /// A refusal after work was done or may have been done.
    pub fn with_outcome(reason: RefusalReason, outcome: Outcome) -> Self {
        Self { reason, outcome, retry_after: None, detail: String::new() }
    }
}
