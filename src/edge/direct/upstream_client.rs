//! What an adapter offers to reach upstreams in their own protocol.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::body::Incoming;

use crate::edge::direct::connections::Connection;
use crate::router::Cleanup;
use crate::router::Target;
use crate::router::fleet::PoolRole;
use crate::router::flow::Failure;
use crate::router::flow::KvSource;

/// A caller's request as it is passed on.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// Id that the caller gave it.
    pub id: CompactString,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those of one hop and those that are ours to set.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// An order to generate output.
#[derive(Debug, Clone)]
pub struct GenerateOrder {
    /// The engine.
    pub target: Target,
    /// The prefill result to start from.
    pub source: Option<KvSource>,
    /// The reservation to use.
    pub reservation: Option<CompactString>,
    /// The last event that the caller has.
    pub after_event: Option<u64>,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Time the engine may take.
    pub deadline: Duration,
}

/// The head of an upstream's valid answer to the request.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those of one hop.
    pub headers: HeaderMap,
    /// Body, still to be read.
    pub body: Incoming,
    /// True if the body is a stream of events.
    pub events: bool,
    /// The connection, to be given back once the body was read.
    pub connection: Connection,
    /// How long the upstream keeps the connection, if it said so.
    pub keep: Option<Duration>,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineState {
    /// What it does.
    pub role: PoolRole,
    /// It is carrying an order out.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub orders: u64,
}

/// An order to change the role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// What the engine is to do.
    pub role: PoolRole,
    /// Name of the instance that gives the order.
    pub holder: CompactString,
    /// Fencing token of the lease.
    pub token: u64,
    /// Orders that the engine must have accepted before, so that an order that
    /// is carried out late does nothing.
    pub orders: u64,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAnswer {
    /// It is being carried out, or already holds.
    Taken,
    /// Another order came first.
    Conflict,
    /// The token is older than one that the engine has seen.
    Fenced,
    /// It was not taken for another reason.
    Refused,
}

/// The upstreams' protocol. Each call is made once; nothing is decided here.
#[allow(async_fn_in_trait, reason = "entries run on one thread")]
pub trait UpstreamClient: 'static {
    /// Reserves a slot and memory. `Ok(None)`: the engine has no room.
    async fn reserve(
        &self,
        target: &Target,
        tokens: u32,
        ttl: Duration,
    ) -> Result<Option<CompactString>, Failure>;

    /// Has the prompt prefilled. Returns the name of the result.
    async fn prefill(
        &self,
        request: &ForwardedRequest,
        target: &Target,
        deadline: Duration,
    ) -> Result<CompactString, Failure>;

    /// Has the output generated, up to the head of the answer.
    async fn generate(
        &self,
        request: &ForwardedRequest,
        order: &GenerateOrder,
    ) -> Result<UpstreamAnswer, Failure>;

    /// Sends the request to a plain service, up to the head of the answer.
    async fn call(
        &self,
        request: &ForwardedRequest,
        target: &Target,
        deadline: Duration,
        fresh_connection: bool,
    ) -> Result<UpstreamAnswer, Failure>;

    /// Asks an engine what it does.
    async fn engine_state(&self, target: &Target) -> Result<EngineState, Failure>;

    /// Orders an engine to change its role.
    async fn order(&self, target: &Target, order: &RoleOrder) -> Result<OrderAnswer, Failure>;

    /// Frees what is still held for a request that is over.
    async fn clean_up(&self, cleanup: Cleanup);

    /// Keeps a connection whose answer was read whole.
    fn release_connection(&self, connection: Connection, keep: Option<Duration>);
}
