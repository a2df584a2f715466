//! Stand-in of a plain service that records every call it ran.

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

/// A call that ran.
#[derive(Debug, Clone, Serialize)]
pub struct RecordedCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Name of the request.
    pub request_id: String,
    /// Body.
    pub body: String,
}

/// The service, shared between the server and the test.
#[derive(Debug, Default)]
pub struct Service {
    ran: Mutex<Vec<RecordedCall>>,
    /// Time between a call taking effect and its answer.
    pub response_delay: Delay,
    /// The next call takes effect, but its answer is lost.
    pub lose_next_response: Switch,
}

impl Service {
    /// Starts a service on a free port.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let service = Arc::new(Self::default());
        let served = service.clone();
        let address = server::serve(move |request| served.clone().handle(request)).await;
        (service, address)
    }

    /// Every call that ran, in order.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.ran.lock().expect("no holder panics").clone()
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let request_id = head.headers.get("x-request-id").and_then(|value| value.to_str().ok());
        let path = head.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
        let ran = RecordedCall {
            method: head.method.to_string(),
            path,
            request_id: request_id.unwrap_or_default().to_string(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        self.ran.lock().expect("no holder panics").push(ran.clone());
        self.response_delay.wait().await;
        if self.lose_next_response.take() {
            return Err(server::lost());
        }
        Ok(server::json(StatusCode::OK, &ran))
    }
}
