//! Steps that the core asks for, and events that report their results.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::outcome::Refusal;
use crate::router::request::HeldResource;
use crate::router::stream_origins::OriginLookup;
use crate::router::upstreams::UpstreamKey;

/// Upstream that a step addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Key of the upstream within this entry.
    pub key: UpstreamKey,
    /// Id of the instance. It is sent with the request, so that another instance at the
    /// same address does not take the request.
    pub id: CompactString,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Version of its software.
    pub version: CompactString,
}

/// Prefill result (KV cache) at the engine that computed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the engine that holds the result.
    pub address: SocketAddr,
    /// Identifier of the result at that engine.
    pub handle: CompactString,
}

/// Next action to carry out for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Reserve a decode slot and memory at a decode engine.
    Reserve {
        /// Decode engine to ask.
        target: Target,
        /// Memory to reserve, in tokens.
        tokens: u32,
        /// Time after which an unused reservation expires.
        ttl: Duration,
        /// Longest wait for the engine's response.
        timeout: Duration,
    },
    /// Have a prefill engine compute the KV cache of the prompt.
    Prefill {
        /// Prefill engine to call.
        target: Target,
        /// Time left until the request's deadline, sent to the engine.
        remaining_time: Duration,
        /// Time limit for the response. Once it is exceeded,
        /// [`Router::abandon_prefill`](crate::router::Router::abandon_prefill)
        /// decides whether the wait continues.
        timeout: Duration,
    },
    /// Have a decode engine generate the output, and wait for the head of the
    /// response.
    Decode {
        /// Decode engine that generates the output.
        target: Target,
        /// Prefill result to start from. Without one the engine prefills the
        /// prompt itself.
        source: Option<KvSource>,
        /// Identifier of the reservation at the engine, if there is one.
        reservation: Option<CompactString>,
        /// Id of the last event that the caller has received, for a stream that
        /// continues.
        after_event: Option<u64>,
        /// Priority of the request; 0 is the highest.
        priority: u8,
        /// Time left until the request's deadline, sent to the engine.
        remaining_time: Duration,
    },
    /// Send the request to a plain service and wait for its response.
    Call {
        /// Upstream to call.
        target: Target,
        /// Time left until the request's deadline, sent to the upstream.
        remaining_time: Duration,
        /// Time limit for the response. Once it is exceeded,
        /// [`Router::repeat_call`](crate::router::Router::repeat_call) decides whether
        /// another upstream gets the call as well.
        timeout: Duration,
        /// True if the call must not use a connection that has been idle for
        /// long: the upstream may be closing it, and this call must not be
        /// retried once the upstream may have received it.
        fresh_connection: bool,
    },
    /// Wait for the response to a call that was sent before: the last one has ended.
    AwaitCall {
        /// Upstream that is expected to respond.
        target: Target,
        /// Time limit for the response, as that of [`Step::Call`].
        timeout: Duration,
    },
    /// Read from the store at which software version a stream began that the caller takes
    /// up.
    LookUpOrigin {
        /// Id of the request that brought the first event of the stream, if the caller has
        /// named it.
        request_id: Option<CompactString>,
        /// Longest wait for the store.
        timeout: Duration,
    },
    /// Wait for the turn in the reservation queue, or for the next round of
    /// reservation requests to the engines.
    Wait {
        /// When to continue, unless the request becomes runnable earlier.
        until: Duration,
    },
    /// Relay the response whose head was just received.
    Relay {
        /// Pause between two parts of the response after which
        /// [`Router::judge_silence`](crate::router::Router::judge_silence) decides whether the
        /// upstream counts as lost; `None` waits until the deadline of the request.
        idle_timeout: Option<Duration>,
    },
    /// Refuse the request with a final response.
    Refuse(Refusal),
    /// Abort the response that has already started.
    Abort,
}

/// Why an exchange with an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// Another instance has the address, and it did not run the request.
    OtherInstance,
    /// The upstream did not respond in time; the request may have run.
    Silent,
    /// The exchange was interrupted or the response is not valid; the request
    /// may have run.
    Broken,
    /// The upstream responded, but with an error or with no stream, to a request that continues a
    /// stream; the request has run.
    NoContinuation,
    /// The exchange was interrupted, and the upstream refuses connections now; the request may
    /// have run, and may have crashed it.
    Crashed,
}

impl Failure {
    /// True if the request certainly did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun | Self::OtherInstance)
    }
}

/// Result of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request has arrived; no step was carried out yet.
    Started,
    /// The origins of streams were read from the store, as far as that was possible.
    OriginsRead(OriginLookup),
    /// The engine has made a reservation.
    Reserved {
        /// Identifier of the reservation at the engine.
        reservation: CompactString,
    },
    /// The engine has too little free capacity for the reservation.
    ReservationRejected,
    /// The engine has prefilled the prompt.
    Prefilled {
        /// Identifier of the prefill result at the engine.
        handle: CompactString,
    },
    /// The entry is about to exit.
    EntryExits,
    /// The head of the response has been received.
    ResponseStarted {
        /// HTTP status of the response.
        status: u16,
    },
    /// The exchange of the step failed.
    Failed(Failure),
    /// The call exceeded its timeout and another upstream is to get it as well. Its exchange goes
    /// on.
    CallOverdue,
    /// The wait is over, or the request became runnable before its end.
    WaitEnded,
    /// The whole response was relayed to the caller.
    ResponseRelayed,
    /// The upstream's response ended too early.
    ResponseInterrupted {
        /// Id of the last event that was relayed to the caller, if any.
        last_event: Option<u64>,
    },
    /// The same, and the upstream refuses connections now.
    UpstreamCrashed {
        /// Id of the last event that was relayed to the caller, if any.
        last_event: Option<u64>,
    },
    /// The response paused for the idle timeout of [`Step::Relay`], and its upstream counts as
    /// lost, while its connection stayed open. It stays open until another engine responds to
    /// [`Step::Decode`].
    ResponsePaused {
        /// Id of the last event that was relayed to the caller, if any.
        last_event: Option<u64>,
    },
    /// Another part of the paused response was received during a step that looks for
    /// a replacement; the step was cancelled.
    ResponseResumed,
    /// The deadline of the request passed during the step.
    DeadlinePassed,
}

/// Resource to free at an upstream, for a request that no longer needs it.
#[derive(Debug, Clone)]
pub enum Cleanup {
    /// Release a reservation.
    ReleaseReservation(HeldResource),
    /// Discard a prefill result.
    DiscardPrefill(HeldResource),
}

impl Cleanup {
    /// Resource to free, with the upstream that holds it.
    pub fn held(&self) -> &HeldResource {
        match self {
            Self::ReleaseReservation(held) | Self::DiscardPrefill(held) => held,
        }
    }
}
