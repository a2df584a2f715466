//! Configuration of an entry's decision core, and the actions that it returns.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::entry::request::RequestKey;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::PolicyKind;
use crate::policy::agents::AgentKey;
use crate::policy::placement::Location;
use crate::schema::record::ClaimBatch;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Configuration of one entry, fixed at its start.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Name of the entry's instance.
    pub name: CompactString,
    /// Identifies this start of the entry. It must differ from that of every other start of
    /// any entry, since agents take entries with the same number for one. The daemon forms
    /// it from the start time and random bits, which makes equal numbers improbable but
    /// not impossible.
    pub incarnation: u64,
    /// Region and availability zone that the entry runs in.
    pub location: Location,
    /// Interval between heartbeats to each agent.
    pub heartbeat_interval: Duration,
    /// Idle timeout of the connection to an agent: without a message for this
    /// long it counts as lost.
    pub lease_ttl: Duration,
    /// Time limit for an agent's reply to a reservation or abandon request.
    pub reply_timeout: Duration,
    /// Time that an agent has to reconnect before the streams and calls cut by
    /// its lost connection count as failed.
    pub resume_timeout: Duration,
    /// Time limit from queuing a claim until it is read back from the log.
    pub claim_timeout: Duration,
    /// Largest accepted body of a manifest, in bytes.
    pub max_manifest_bytes: usize,
    /// Rule by which agents are chosen and requests admitted.
    pub policy: PolicyKind,
    /// Seed of every random choice; combined with `incarnation`.
    pub random_seed: u64,
}

impl Default for EntryConfig {
    fn default() -> Self {
        Self {
            name: CompactString::default(),
            incarnation: 1,
            location: Location::default(),
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

/// Something that the decision core asks the process around it to do.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Send a message to an agent.
    Send {
        /// Agent that receives the message.
        agent: AgentKey,
        /// Message to send.
        message: ToAgent,
    },
    /// Pass a part of the response to the caller.
    Respond {
        /// Request that the part belongs to.
        request: RequestKey,
        /// Next part of the response, in order.
        part: ResponsePart,
    },
    /// Connect to an agent, and reconnect whenever the connection is lost.
    Connect {
        /// Name of the agent.
        name: CompactString,
        /// Address of the agent, IP:PORT.
        address: CompactString,
    },
    /// Stop reconnecting to an agent that the instance list no longer assigns to this
    /// entry.
    Disconnect {
        /// Name of the agent.
        name: CompactString,
    },
    /// Append a batch to the claim stream of the log.
    AppendClaims(ClaimBatch),
    /// Append a record, in JSON, to the manifest stream of the log.
    AppendManifest(String),
    /// The entry is leaving and has no request and no unconfirmed cancel left: the
    /// process may exit.
    Exit,
    /// Write a decision as a log line and count it.
    Record(EntryRecord),
}

/// A part of the response to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponsePart {
    /// One generated token. Tokens come in order, each exactly once.
    Token {
        /// Position of the token in the generated text, from 0.
        index: u32,
        /// Text of the token.
        text: Bytes,
    },
    /// The end of a complete generation.
    Finished {
        /// Reason that the engine gave for the end, such as the token limit.
        finish_reason: CompactString,
        /// Estimated length of the prompt in tokens.
        prompt_tokens: u32,
        /// Number of tokens that were generated.
        output_tokens: u32,
    },
    /// The complete response of a plain service, as its agent sent it.
    Reply(wire::CallReply),
    /// The end of a request that the entry refused or could not complete.
    Refused(Refusal),
}

impl ResponsePart {
    /// True if this part ends the response.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Token { .. })
    }
}

/// A decision of the core, to be logged and counted.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryRecord {
    /// Request id as the caller knows it; empty if no request is concerned.
    pub request_id: CompactString,
    /// Number of the request's newest attempt, from 1; 0 before the first one or if no
    /// request is concerned.
    pub attempt: u32,
    /// Id of that attempt in messages to agents and in the agents' logs; `None` if
    /// no request is concerned.
    pub id: Option<AttemptId>,
    /// Generation of the manifest that the request follows, 0 if there is none;
    /// the one in force if no request is concerned.
    pub generation: u64,
    /// Kind of the decision.
    pub decision: Decision,
    /// Name of the agent concerned, empty if there is none.
    pub agent: CompactString,
    /// Further facts for the log, in words.
    pub detail: String,
}

/// Kind of a decision; its text is the name of the log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// The request passed the admission checks.
    Admitted,
    /// An agent was asked to reserve a decode slot.
    Reserving,
    /// An agent replied to a reservation request; the detail says whether it
    /// granted the slot and how long until it is free.
    Reserved,
    /// A prefill was sent to an agent.
    Prefilling,
    /// An agent reported that its prefill is complete.
    Prefilled,
    /// The decode engine has imported the KV cache.
    Transferred,
    /// The first token was passed to the caller.
    FirstToken,
    /// The response is complete.
    Finished,
    /// The caller disconnected, and the request's work was cancelled.
    Cancelled,
    /// A claim of the request's idempotency key was queued for the log.
    Claiming,
    /// The request's claim owns the idempotency key.
    Claimed,
    /// A call was sent to an agent.
    Calling,
    /// A prefill result was discarded before any engine imported it.
    PrefillWasted,
    /// The request was refused.
    #[strum(to_string = "refused-{0}")]
    Refused(RefusalReason),
    /// Another attempt of the request follows.
    #[strum(to_string = "retry-{0}")]
    Retried(RetryReason),
    /// An attempt that was silent is waited for, as no other one may follow or its replacement
    /// was given up; the detail says which.
    AttemptKept,
    /// A manifest of a newer generation came into force.
    ManifestAdopted,
    /// A manifest record or copy was not accepted.
    ManifestIgnored,
    /// An agent connected.
    AgentConnected,
    /// The connection to an agent was lost.
    AgentLost,
    /// A chunk was dropped, because its token was not the next one expected.
    ChunkDropped,
}
