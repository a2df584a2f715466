//! What goes into the core of an entry at its start, and what comes out of it.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::entry::request::RequestKey;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::PolicyKind;
use crate::policy::placement::Place;
use crate::policy::view::AgentKey;
use crate::schema::record::ClaimBatch;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// What an entry is told at its start.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Name of the instance.
    pub name: CompactString,
    /// Differs between any two starts of any entry.
    pub incarnation: u64,
    /// Where it runs.
    pub place: Place,
    /// Time between heartbeats to each agent.
    pub heartbeat_interval: Duration,
    /// How long an agent may be silent before its connection counts as lost.
    pub lease_ttl: Duration,
    /// How long to wait for an agent's answer to a question.
    pub reply_timeout: Duration,
    /// How long a cut stream waits for its agent to come back.
    pub resume_timeout: Duration,
    /// How long a claim may take to come back from the log.
    pub claim_timeout: Duration,
    /// Cap on the body of a manifest.
    pub max_manifest_bytes: usize,
    /// Way of routing.
    pub policy: PolicyKind,
    /// Seed of every random choice.
    pub random_seed: u64,
}

impl Default for EntryConfig {
    fn default() -> Self {
        Self {
            name: CompactString::default(),
            incarnation: 1,
            place: Place::default(),
            heartbeat_interval: Duration::from_millis(500),
            lease_ttl: Duration::from_secs(3),
            reply_timeout: Duration::from_millis(250),
            resume_timeout: Duration::from_millis(400),
            claim_timeout: Duration::from_secs(2),
            max_manifest_bytes: 1 << 20,
            policy: PolicyKind::default(),
            random_seed: 1,
        }
    }
}

/// What comes out of the core.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Send a message to an agent.
    Send {
        /// The agent.
        agent: AgentKey,
        /// The message.
        message: ToAgent,
    },
    /// Give something to the caller.
    Respond {
        /// The request.
        request: RequestKey,
        /// A part of the answer, or its end.
        part: ResponsePart,
    },
    /// Connect to an agent, and again whenever the connection is lost.
    Connect {
        /// Name of the agent.
        name: CompactString,
        /// Its address, IP:PORT.
        address: CompactString,
    },
    /// Stop connecting to an agent.
    Disconnect {
        /// Name of the agent.
        name: CompactString,
    },
    /// Append a batch to the stream of claims.
    AppendClaims(ClaimBatch),
    /// Append a record to the stream of manifests.
    AppendManifest(String),
    /// Every request is done: the process may exit.
    Exit,
    /// Write a log line and count it.
    Record(EntryRecord),
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponsePart {
    /// One token; indices follow one another without a gap.
    Token {
        /// Index from 0.
        index: u32,
        /// Its text.
        text: Bytes,
    },
    /// The end of a generated answer.
    Finished {
        /// Why it ended.
        finish_reason: CompactString,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the answer.
        output_tokens: u32,
    },
    /// The whole answer of a plain service.
    Reply(wire::CallReply),
    /// The end of a request that is given up on.
    Refused(Refusal),
}

impl ResponsePart {
    /// True if nothing may follow.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Token { .. })
    }
}

/// A decision worth a log line and a counter.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryRecord {
    /// The caller's name for the request, empty if it is about none.
    pub request_id: CompactString,
    /// Number of the try.
    pub attempt: u32,
    /// Name of the try on the wire, as agents log it.
    pub id: Option<AttemptId>,
    /// Generation of the manifest that the request follows.
    pub generation: u64,
    /// What was decided.
    pub decision: Decision,
    /// Name of the agent, where one was chosen.
    pub agent: CompactString,
    /// What a person needs to know.
    pub detail: String,
}

/// Kinds of decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// The request was taken up.
    Admitted,
    /// A decode slot was asked for.
    Reserving,
    /// A decode slot is promised.
    Reserved,
    /// A prefill was sent.
    Prefilling,
    /// A prefill result is there.
    Prefilled,
    /// The KV cache has arrived.
    Transferred,
    /// The first token was given to the caller.
    FirstToken,
    /// The answer is whole.
    Finished,
    /// The caller went away.
    Cancelled,
    /// A claim was sent to the log.
    Claiming,
    /// The claim won.
    Claimed,
    /// A call was sent.
    Calling,
    /// A prefill result was lost.
    PrefillWasted,
    /// The request was refused.
    #[strum(to_string = "refused-{0}")]
    Refused(RefusalReason),
    /// The request is tried again.
    #[strum(to_string = "retry-{0}")]
    Retried(RetryReason),
    /// The manifest moved forward.
    ManifestAdopted,
    /// A published manifest was not accepted.
    ManifestIgnored,
    /// An agent connected.
    AgentConnected,
    /// The connection to an agent was lost.
    AgentLost,
    /// A chunk of another try or out of order was dropped.
    ChunkDropped,
}
