//! Interface of a platform adapter for calls to upstreams: the trait
//! [`UpstreamClient`] and the types of its calls. The adapter encodes the calls in the
//! wire protocol of its platform.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::body::Incoming;

use crate::edge::direct::body_framing::BodyFraming;
use crate::edge::direct::connections::Connection;
use crate::edge::direct::connections::ConnectionUse;
use crate::router::Cleanup;
use crate::router::Target;
use crate::router::accounts::Caller;
use crate::router::flow::Failure;
use crate::router::flow::KvSource;
use crate::router::liveness::EngineAnswer;
use crate::router::upstream_notice::UpstreamNotice;
use crate::router::upstreams::PoolRole;

/// A caller's HTTP request in the form in which it is forwarded to upstreams.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// Request id that the caller chose.
    pub id: CompactString,
    /// HTTP method.
    pub method: Method,
    /// Path and query, in origin form.
    pub uri: Uri,
    /// Headers of the caller, without hop-by-hop headers and without those that only
    /// an entry may set.
    pub headers: HeaderMap,
    /// The complete request body.
    pub body: Bytes,
    /// Who sent the request. Upstreams get the name of the account, never the key.
    pub caller: Caller,
    /// Where the request was sent so far.
    pub sent_to: SentAddresses,
}

/// Addresses to which a request was sent, prefills included.
#[derive(Debug, Clone, Default)]
pub struct SentAddresses(RefCell<Vec<SocketAddr>>);

impl SentAddresses {
    /// Records a send. Returns which connections may carry it: a connection must not carry a request
    /// twice, as a late copy of the first response would have the id of the second one. With
    /// `fresh_connection`, none that has been idle for long.
    pub fn record(&self, address: SocketAddr, fresh_connection: bool) -> ConnectionUse {
        let mut addresses = self.0.borrow_mut();
        if addresses.contains(&address) {
            return ConnectionUse::New;
        }
        addresses.push(address);
        if fresh_connection { ConnectionUse::Fresh } else { ConnectionUse::Any }
    }
}

/// Parameters of one call to a decode engine that generates output.
#[derive(Debug, Clone)]
pub struct GenerateParameters {
    /// The decode engine to call.
    pub target: Target,
    /// Prefill result that the engine is to fetch and start from, if there is one.
    pub source: Option<KvSource>,
    /// Identifier of the reservation to use at the engine, if one was made.
    pub reservation: Option<CompactString>,
    /// Id of the last event that the caller has received; the engine resumes after it.
    pub after_event: Option<u64>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Time left until the deadline of the request, within which the engine must finish.
    pub remaining_time: Duration,
}

/// Valid response of an upstream whose head has been received and whose body is unread.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body that has not been read yet.
    pub body: Incoming,
    /// What ends the body.
    pub framing: BodyFraming,
    /// True if the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// Connection to release once the complete body has been read.
    pub connection: Connection,
    /// Time for which the connection may be kept idle, if the upstream announced one; zero
    /// if it must not be reused.
    pub keep_alive: Option<Duration>,
}

/// State that an engine reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineState {
    /// Role in which the engine works now.
    pub role: PoolRole,
    /// True while the engine carries out an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
}

/// Order to an engine to change its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// Role that the engine is to take.
    pub role: PoolRole,
    /// Name of the lease holder that sends the order.
    pub holder: CompactString,
    /// Fencing token of the lease, by which the engine rejects orders of a former holder.
    pub fencing_token: u64,
    /// Number of orders that the engine must have accepted before this one, so that an
    /// order that arrives late has no effect.
    pub expected_orders: u64,
}

/// Response of an engine to a role order; logged under these names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderResponse {
    /// The engine carries out the order or already has the role.
    Taken,
    /// The engine has accepted another order in the meantime.
    Conflict,
    /// The fencing token is older than one that the engine has seen.
    Fenced,
    /// The engine rejected the order for another reason.
    Refused,
}

/// Calls to upstreams in the protocol of the platform. An implementation makes each
/// call once and decides nothing: no retry, no choice of upstream. The [`Failure`] of a call
/// says whether the upstream may have run it.
#[allow(async_fn_in_trait, reason = "entries run on one thread")]
pub trait UpstreamClient: 'static {
    /// Fields that the events of a stream may have beside those of server-sent events.
    const EVENT_EXTENSION_FIELDS: &'static [&'static str];

    /// Reserves a decode slot and memory for `tokens` tokens, for `ttl`, and returns the
    /// identifier of the reservation, or `None` if the engine has too little free capacity.
    async fn reserve(
        &self,
        target: &Target,
        tokens: u32,
        ttl: Duration,
    ) -> Result<Option<CompactString>, Failure>;

    /// Has an engine prefill the prompt of the request and returns the handle of the
    /// result. `remaining_time` is the time left until the deadline of the request.
    async fn prefill(
        &self,
        request: &ForwardedRequest,
        target: &Target,
        remaining_time: Duration,
    ) -> Result<CompactString, Failure>;

    /// Has a decode engine generate output and returns once the head of the response has
    /// arrived.
    async fn generate(
        &self,
        request: &ForwardedRequest,
        parameters: &GenerateParameters,
    ) -> Result<UpstreamResponse, Failure>;

    /// Forwards the request to an upstream of a plain service and returns once the head of
    /// the response has arrived. With `fresh_connection`, no connection is reused that
    /// has been idle for long.
    async fn call(
        &self,
        request: &ForwardedRequest,
        target: &Target,
        remaining_time: Duration,
        fresh_connection: bool,
    ) -> Result<UpstreamResponse, Failure>;

    /// True if the upstream refuses connections: its process has crashed. One that does not
    /// answer may also be unreachable.
    async fn refuses_connections(&self, target: &Target) -> bool;

    /// Asks an engine for a sign of life, with a call that takes none of its capacity. Waits for
    /// an answer.
    async fn ask(&self, target: &Target) -> EngineAnswer;

    /// Reads the state of an engine: its role, and how many orders it has accepted.
    async fn engine_state(&self, target: &Target) -> Result<EngineState, Failure>;

    /// Sends an order to change the role and returns the response of the engine.
    async fn send_role_order(
        &self,
        target: &Target,
        order: &RoleOrder,
    ) -> Result<OrderResponse, Failure>;

    /// Frees a reservation or a prefill result that a request no longer needs. A failure is
    /// only logged, since the upstream frees both after a while.
    async fn clean_up(&self, cleanup: Cleanup);

    /// Returns what the heads of responses have said about their upstreams since the last
    /// call, in the order of arrival.
    fn take_notices(&self) -> Vec<UpstreamNotice>;

    /// Keeps a connection for reuse after its response was read completely. `keep_alive` is
    /// [`UpstreamResponse::keep_alive`] of that response.
    fn release_connection(&self, connection: Connection, keep_alive: Option<Duration>);
}
