//! HTTP server for operators: `/healthz`, `/readyz` and `/status` on a separate
//! address.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Readiness and state of this process, as the endpoints show them.
#[derive(Debug, Clone, Default)]
pub struct StatusReport {
    /// Result of `/readyz`: true if the process accepts new work.
    pub ready: bool,
    /// Body of `/status`: the state as JSON, empty if it could not be read.
    pub json: String,
}

impl StatusReport {
    /// Creates a report with `status` written as JSON.
    pub fn new(ready: bool, status: &impl Serialize) -> Self {
        let json = serde_json::to_string(status).expect("a status can be serialized as JSON");
        Self { ready, json }
    }
}

/// Serves the endpoints until the token is cancelled. Calls `report` for every
/// request.
pub async fn serve<F, R>(listener: TcpListener, stop: CancellationToken, report: F)
where
    F: Fn() -> R + Send + Sync + 'static,
    R: Future<Output = StatusReport> + Send + 'static,
{
    let report = Arc::new(report);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let report = report.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let report = report.clone();
                async move { Ok::<_, Infallible>(respond(&request, report().await)) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

fn respond(request: &Request<Incoming>, report: StatusReport) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        "/healthz" => (StatusCode::OK, "ok\n".to_string()),
        "/readyz" if report.ready => (StatusCode::OK, "ready\n".to_string()),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_string()),
        "/status" => (StatusCode::OK, report.json),
        _ => (StatusCode::NOT_FOUND, "not found\n".to_string()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
