//! A request whose task ends without a response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bamboodoor::clock::MonotonicClock;
use bamboodoor::edge::direct::connections::Connection;
use bamboodoor::edge::direct::dispatch::Dispatcher;
use bamboodoor::edge::direct::response::CallerResponse;
use bamboodoor::edge::direct::upstream_client::EngineState;
use bamboodoor::edge::direct::upstream_client::ForwardedRequest;
use bamboodoor::edge::direct::upstream_client::GenerateParameters;
use bamboodoor::edge::direct::upstream_client::OrderResponse;
use bamboodoor::edge::direct::upstream_client::RoleOrder;
use bamboodoor::edge::direct::upstream_client::SentAddresses;
use bamboodoor::edge::direct::upstream_client::UpstreamClient;
use bamboodoor::edge::direct::upstream_client::UpstreamResponse;
use bamboodoor::outcome::Outcome;
use bamboodoor::router::Cleanup;
use bamboodoor::router::Target;
use bamboodoor::router::accounts::Caller;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::liveness::EngineAnswer;
use bamboodoor::router::upstream_notice::UpstreamNotice;
use bytes::Bytes;
use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::Method;
use tokio::task::LocalSet;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::incoming;

/// Client whose calls panic.
struct PanickingClient;

impl UpstreamClient for PanickingClient {
    const EVENT_EXTENSION_FIELDS: &'static [&'static str] = &[];

    async fn reserve(
        &self,
        _target: &Target,
        _tokens: u32,
        _ttl: Duration,
    ) -> Result<Option<CompactString>, Failure> {
        panic!("a reservation fails an invariant");
    }

    async fn prefill(
        &self,
        _request: &ForwardedRequest,
        _target: &Target,
        _remaining_time: Duration,
    ) -> Result<CompactString, Failure> {
        panic!("a prefill fails an invariant");
    }

    async fn generate(
        &self,
        _request: &ForwardedRequest,
        _parameters: &GenerateParameters,
    ) -> Result<UpstreamResponse, Failure> {
        panic!("a decode fails an invariant");
    }

    async fn call(
        &self,
        _request: &ForwardedRequest,
        _target: &Target,
        _remaining_time: Duration,
        _fresh_connection: bool,
    ) -> Result<UpstreamResponse, Failure> {
        panic!("a call fails an invariant");
    }

    async fn engine_state(&self, _target: &Target) -> Result<EngineState, Failure> {
        Err(Failure::Broken)
    }

    async fn send_role_order(
        &self,
        _target: &Target,
        _order: &RoleOrder,
    ) -> Result<OrderResponse, Failure> {
        Err(Failure::Broken)
    }

    async fn ask(&self, _: &Target) -> EngineAnswer {
        EngineAnswer::NotAsked
    }

    async fn refuses_connections(&self, _: &Target) -> bool {
        false
    }

    async fn clean_up(&self, _cleanup: Cleanup) {}

    fn take_notices(&self) -> Vec<UpstreamNotice> {
        Vec::new()
    }

    fn release_connection(&self, _connection: Connection, _keep_alive: Option<Duration>) {}
}

#[tokio::test]
async fn a_caller_whose_request_panics_gets_a_response_that_promises_nothing() {
    let router = Harness::new(default_upstreams()).router;
    let clock = Arc::new(MonotonicClock::default());
    let dispatcher = Rc::new(Dispatcher::new("entry".into(), router, PanickingClient, clock));
    for path in ["/booking/1", "/stream/1"] {
        let request = ForwardedRequest {
            caller: Caller::default(),
            id: "request".into(),
            method: Method::POST,
            uri: path.parse().expect("the path is valid"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            sent_to: SentAddresses::default(),
        };
        let served = dispatcher.serve(incoming(path), request);
        let response = LocalSet::new().run_until(served).await;
        let CallerResponse::Refused(refusal) = response else { panic!("{response:?}") };
        assert_eq!(refusal.outcome, Outcome::Unknown, "{path}");
    }
}
