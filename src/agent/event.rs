//! What goes into the core of an agent, and what comes out of it.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::agent::orders;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;
use crate::schema::wire::to_entry::Kind as ToEntry;

/// What an agent is told at its start.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Name of the instance.
    pub name: CompactString,
    /// Pool the upstream belongs to.
    pub pool: CompactString,
    /// Region it runs in.
    pub region: CompactString,
    /// Availability zone it runs in.
    pub zone: CompactString,
    /// Address of the upstream, as other engines reach it.
    pub upstream: CompactString,
    /// Grows with each start of an agent in this slot.
    pub incarnation: u64,
    /// Time between heartbeats to each entry.
    pub heartbeat: Duration,
    /// How long an entry may be silent before its requests are cancelled.
    pub lease_ttl: Duration,
    /// How long a fenced or finished call is remembered.
    pub tombstone_ttl: Duration,
    /// Cap on the body of a manifest copy.
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
            heartbeat: Duration::from_millis(500),
            lease_ttl: Duration::from_secs(3),
            tombstone_ttl: Duration::from_secs(600),
            max_manifest_bytes: 1 << 20,
        }
    }
}

/// A stream that the engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningStream {
    /// The try.
    pub id: AttemptId,
    /// Blocks it holds.
    pub blocks: u32,
}

/// What the upstream did.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamEvent {
    /// A prefill ended and its result waits in the engine's memory.
    PrefillDone {
        /// The try.
        id: AttemptId,
        /// Name of the result at the engine.
        handle: String,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: u32,
        /// Size of the result.
        kv_bytes: u64,
    },
    /// A prefill failed.
    PrefillFailed {
        /// The try.
        id: AttemptId,
        /// The engine's words.
        reason: String,
    },
    /// A KV cache has arrived in the decode engine.
    Imported {
        /// The try.
        id: AttemptId,
    },
    /// An import failed. `evicted` is set when the source no longer has the KV.
    ImportFailed {
        /// The try.
        id: AttemptId,
        /// The KV cache was evicted.
        evicted: bool,
    },
    /// One token of a stream.
    Chunk {
        /// The try.
        id: AttemptId,
        /// Index of the token in the answer, from 0.
        index: u32,
        /// Its text.
        text: Bytes,
        /// True for the last token.
        last: bool,
        /// Why the stream ended, on the last token.
        finish_reason: String,
    },
    /// The connection that carried a stream broke; the stream may still run.
    StreamDisconnected {
        /// The try.
        id: AttemptId,
    },
    /// The engine does not have the stream, or gave it up.
    StreamFailed {
        /// The try.
        id: AttemptId,
        /// The engine's words.
        reason: String,
    },
    /// The engine has freed everything it held for the try.
    Stopped {
        /// The try.
        id: AttemptId,
    },
    /// A plain service answered.
    CallDone {
        /// The try.
        id: AttemptId,
        /// The answer.
        reply: wire::CallReply,
    },
    /// What the engine runs, asked for at the start.
    Running {
        /// Every stream of the engine.
        streams: Vec<RunningStream>,
    },
    /// State of the engine, after an order or a poll.
    State(orders::EngineState),
}

/// What goes into the core.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// An entry connected and said hello.
    EntryConnected(wire::EntryHello),
    /// The connection to an entry was lost.
    EntryLost {
        /// Incarnation of the entry.
        entry: u64,
    },
    /// A message of an entry.
    FromEntry {
        /// Incarnation of the entry.
        entry: u64,
        /// The message.
        message: ToAgent,
    },
    /// Something happened at the upstream.
    Upstream(UpstreamEvent),
    /// A planned stop was asked for.
    Leave,
    /// Time has passed.
    Tick,
}

/// What comes out of the core.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a message to an entry.
    Send {
        /// Incarnation of the entry.
        entry: u64,
        /// The message.
        message: ToEntry,
    },
    /// Close the connection to an entry whose lease lapsed.
    CloseEntry {
        /// Incarnation of the entry.
        entry: u64,
    },
    /// Start a prefill at the engine.
    Prefill(wire::Prefill),
    /// Fetch a KV cache into the decode engine.
    Import {
        /// The order, with handle and source.
        decode: wire::Decode,
        /// Give up and try again after this time.
        timeout: Duration,
    },
    /// Start to decode, or go on at an index after a cut.
    Decode {
        /// The try.
        id: AttemptId,
        /// First index wanted.
        from_index: u32,
        /// Last index is below this.
        max_tokens: u32,
        /// Priority; lower runs first.
        rank: u32,
    },
    /// Stop a stream and free its memory, prefill results included.
    Stop {
        /// The try.
        id: AttemptId,
    },
    /// Send a call to the plain service.
    Call(wire::Call),
    /// Ask the engine what it runs.
    ListStreams,
    /// Give an order to the engine.
    Order(orders::Order),
    /// Read the state of the engine.
    ReadState,
    /// Everything is done: the process may exit.
    Exit,
    /// Write a log line and count it.
    Record(AgentRecord),
}

/// A decision worth a log line and a counter.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentRecord {
    /// Name of the counter.
    pub what: RecordKind,
    /// The try it is about, if any.
    pub id: Option<AttemptId>,
    /// What a person needs to know.
    pub detail: String,
}

/// Kinds of records of an agent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordKind {
    /// An entry was silent past its lease; its requests are cancelled.
    LeaseLapsed,
    /// A stream that no entry claimed was cancelled.
    OrphanCancelled,
    /// A call was fenced before it started.
    CallFenced,
    /// A call was dropped because it came twice.
    DuplicateDropped,
    /// A transfer stalled and was tried again.
    TransferRetried,
    /// A transfer was given up.
    TransferFailed,
    /// A reservation was not used in time.
    ReservationLapsed,
    /// The manifest moved forward.
    ManifestAdopted,
    /// A manifest copy was refused.
    ManifestRefused,
    /// An order was given to the engine.
    OrderGiven,
    /// A successor has given orders; this agent stops.
    OrderFenced,
    /// A planned stop began.
    DrainStarted,
    /// A planned stop takes longer than the manifest's bound.
    DrainOverdue,
}
