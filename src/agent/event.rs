//! Events that the agent's decision core handles, and actions that it returns.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::agent::orders;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;
use crate::schema::wire::to_entry::Kind as ToEntry;

/// Fixed parameters of an agent, set when the process starts.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Name of the agent instance, as shown in logs and on status pages.
    pub name: CompactString,
    /// Name of the manifest pool that the upstream belongs to.
    pub pool: CompactString,
    /// Region that the agent and its upstream run in.
    pub region: CompactString,
    /// Availability zone that the agent and its upstream run in.
    pub zone: CompactString,
    /// Address of the upstream under which other engines fetch KV caches from it.
    pub upstream: CompactString,
    /// Identifies this start of the agent; must be larger than the incarnation of every
    /// earlier agent of the same upstream.
    pub incarnation: u64,
    /// Interval between heartbeats to each entry.
    pub heartbeat_interval: Duration,
    /// Lease of an entry: after this time without a message from it, its requests
    /// are cancelled.
    pub lease_ttl: Duration,
    /// How long a fenced or finished call is remembered, to recognize duplicates.
    pub tombstone_ttl: Duration,
    /// Largest accepted body of a manifest copy, in bytes.
    pub max_manifest_bytes: usize,
}

impl Default for AgentConfig {
    fn default() -> Self {
        Self {
            name: CompactString::default(),
            pool: CompactString::default(),
            region: CompactString::default(),
            zone: CompactString::default(),
            upstream: CompactString::default(),
            incarnation: 1,
            heartbeat_interval: Duration::from_millis(500),
            lease_ttl: Duration::from_secs(3),
            tombstone_ttl: Duration::from_secs(600),
            max_manifest_bytes: 1 << 20,
        }
    }
}

/// A stream that the engine reports as running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningStream {
    /// Attempt that started the stream.
    pub id: AttemptId,
    /// KV cache blocks in use by the stream.
    pub blocks: u32,
}

/// Something that happened at the upstream: a result, a failure or its state.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamEvent {
    /// A prefill completed; its KV cache stays in the engine's memory until it is
    /// fetched, freed or evicted.
    PrefillDone {
        /// Attempt that the event is about.
        id: AttemptId,
        /// Handle under which the engine keeps the KV cache.
        handle: String,
        /// Number of prompt tokens that the engine found in its prefix cache.
        cached_tokens: u32,
        /// Size of the KV cache in bytes.
        kv_bytes: u64,
    },
    /// The engine failed to run a prefill.
    PrefillFailed {
        /// Attempt that the event is about.
        id: AttemptId,
        /// Error text of the engine.
        reason: String,
    },
    /// The decode engine has imported a KV cache completely.
    Imported {
        /// Attempt that the event is about.
        id: AttemptId,
    },
    /// The import of a KV cache failed or timed out.
    ImportFailed {
        /// Attempt that the event is about.
        id: AttemptId,
        /// True if the source engine no longer has the KV cache, so that a retry
        /// is of no use.
        evicted: bool,
    },
    /// The engine produced one token of a stream.
    Chunk {
        /// Attempt that the event is about.
        id: AttemptId,
        /// Index of the token in the whole response, from 0.
        index: u32,
        /// Text of the token.
        text: Bytes,
        /// True for the last token of the response.
        last: bool,
        /// Why the stream ended; empty on all tokens but the last.
        finish_reason: String,
    },
    /// The connection that carried a stream broke; the engine may still run it.
    StreamDisconnected {
        /// Attempt that the event is about.
        id: AttemptId,
    },
    /// The engine sent something that is not the next token of a stream, which was not
    /// read on; the engine may still run it.
    StreamInvalid {
        /// Attempt that the event is about.
        id: AttemptId,
        /// What was received in place of the token.
        reason: String,
    },
    /// The engine does not know the stream or aborted it.
    StreamFailed {
        /// Attempt that the event is about.
        id: AttemptId,
        /// Error text of the engine.
        reason: String,
    },
    /// The engine has freed all memory of an attempt, as [`AgentAction::Cancel`] asked.
    Cancelled {
        /// Attempt that the event is about.
        id: AttemptId,
    },
    /// A call to a plain service ended, with a response or an error.
    CallDone {
        /// Attempt that the event is about.
        id: AttemptId,
        /// Response or error, ready to be sent to the entry.
        reply: wire::CallReply,
    },
    /// The engine listed its running streams, as [`AgentAction::ListStreams`] asked.
    RunningStreams {
        /// Streams that run at the engine and whose id is an attempt id.
        streams: Vec<RunningStream>,
    },
    /// The engine reported its loaded model and fencing token, after an order or
    /// a poll.
    State(orders::EngineState),
}

/// An input of the core: something that happened outside of it.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// An entry connected and sent its hello message.
    EntryConnected(wire::EntryHello),
    /// The connection to an entry closed; its lease goes on until it expires.
    EntryDisconnected {
        /// Incarnation of the entry, which identifies the connection.
        entry: u64,
    },
    /// A message arrived from an entry.
    FromEntry {
        /// Incarnation of the entry, which identifies the connection.
        entry: u64,
        /// Message that arrived.
        message: ToAgent,
    },
    /// The upstream reported a result, a failure or its state.
    Upstream(UpstreamEvent),
    /// A graceful shutdown was requested: the core drains, then returns
    /// [`AgentAction::Exit`].
    Leave,
    /// A wakeup without another event, so that the core runs due timers.
    Tick,
}

/// An output of the core: something that the caller must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a message to an entry.
    Send {
        /// Incarnation of the entry, which identifies the connection.
        entry: u64,
        /// Message to send.
        message: ToEntry,
    },
    /// Close the connection to an entry whose lease expired.
    CloseEntry {
        /// Incarnation of the entry, which identifies the connection.
        entry: u64,
    },
    /// Run a prefill at the engine.
    Prefill(wire::Prefill),
    /// Fetch a KV cache from a prefill engine into the decode engine.
    Import {
        /// Decode request, which names the handle and the source engine.
        decode: wire::Decode,
        /// Time after which the import is aborted and reported as failed.
        timeout: Duration,
    },
    /// Start decoding, or reattach to a running stream at an index after the
    /// connection broke.
    Decode {
        /// Attempt to act on.
        id: AttemptId,
        /// Index of the first token to deliver.
        from_index: u32,
        /// Exclusive upper bound of the token index; 0 for an adopted orphan.
        max_tokens: u32,
        /// Priority rank; lower runs first.
        rank: u32,
    },
    /// Cancel an attempt at the engine and free its memory, including a prefill result.
    /// The engine's confirmation arrives as [`UpstreamEvent::Cancelled`].
    Cancel {
        /// Attempt to act on.
        id: AttemptId,
    },
    /// Send a call to the plain service, at most once.
    Call(wire::Call),
    /// Ask the engine for its running streams; the result is
    /// [`UpstreamEvent::RunningStreams`].
    ListStreams,
    /// Order the engine to load a model.
    Order(orders::Order),
    /// Read the state of the engine; the result is [`UpstreamEvent::State`].
    ReadState,
    /// The drain is complete: the process may exit.
    Exit,
    /// Write a decision as a log line and count it.
    Record(AgentRecord),
}

/// A decision of the agent that is logged and counted.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentRecord {
    /// Kind of the decision, whose text also tags the counter.
    pub decision: Decision,
    /// Attempt that the decision is about, if it is about one.
    pub id: Option<AttemptId>,
    /// Further details for the log line, as free text; may be empty.
    pub detail: String,
}

/// Kind of a decision that an agent logs and counts; its text is the name of the log
/// event.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// No message from an entry arrived within its lease; its requests are cancelled.
    LeaseLapsed,
    /// An orphaned stream that its entry did not resume in time was cancelled.
    OrphanCancelled,
    /// A call was fenced before it started: it never runs.
    CallFenced,
    /// A duplicate call, prefill or decode request was dropped.
    DuplicateDropped,
    /// A KV cache transfer failed and is retried.
    TransferRetried,
    /// A KV cache transfer failed for good.
    TransferFailed,
    /// The engine sent something that is not the next token of a stream.
    StreamInvalid,
    /// A stream broke off again and again without a token, and was reported as failed.
    StreamGivenUp,
    /// A granted reservation expired because no decode request came for it.
    ReservationLapsed,
    /// A manifest of a newer generation was put in force.
    ManifestAdopted,
    /// A manifest copy was refused because it is too large or invalid.
    ManifestRefused,
    /// The engine was ordered to load a model.
    OrderGiven,
    /// A newer agent has given orders to the engine; this one gives no more.
    OrderFenced,
    /// The agent was asked to shut down and began to drain.
    DrainStarted,
    /// The drain takes longer than the manifest's `drain_bound_ms`.
    DrainOverdue,
}
