//! Stand-in for a plain service, which records every call that it executes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;

use crate::faults::Delay;
use crate::faults::Switch;
use crate::server;
use crate::server::Body;

/// Call that the service executed, also sent as the JSON body of the response.
#[derive(Debug, Clone, Serialize)]
pub struct RecordedCall {
    /// HTTP method, in upper case.
    pub method: String,
    /// Request path with its query.
    pub path: String,
    /// Value of the `x-request-id` header, empty without one.
    pub request_id: String,
    /// Whole body, empty if it could not be read.
    pub body: String,
}

/// Stand-in service, shared between its server and the test.
#[derive(Debug, Default)]
pub struct Service {
    calls: Mutex<Vec<RecordedCall>>,
    /// Delay between the execution of a call and its response.
    pub response_delay: Delay,
    /// Executes the next call, but breaks its connection without a response.
    pub lose_next_response: Switch,
}

impl Service {
    /// Starts a service on a free loopback port, and returns it with its address.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let service = Arc::new(Self::default());
        let served = service.clone();
        let address = server::serve(move |request| served.clone().handle(request)).await;
        (service, address)
    }

    /// All calls that were executed, in the order of execution.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.calls.lock().expect("the mutex is not poisoned").clone()
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let request_id = head.headers.get("x-request-id").and_then(|value| value.to_str().ok());
        let path = head.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
        let call = RecordedCall {
            method: head.method.to_string(),
            path,
            request_id: request_id.unwrap_or_default().to_string(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        self.calls.lock().expect("the mutex is not poisoned").push(call.clone());
        self.response_delay.wait().await;
        if self.lose_next_response.take() {
            return Err(server::broken_connection());
        }
        Ok(server::json(StatusCode::OK, &call))
    }
}
