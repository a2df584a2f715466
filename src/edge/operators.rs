//! `/healthz`, `/readyz` and `/status`, on an address of their own.

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

/// What the process says of itself.
#[derive(Debug, Clone, Default)]
pub struct StatusReport {
    /// True if it may be given work.
    pub ready: bool,
    /// Its state as JSON.
    pub json: String,
}

impl StatusReport {
    /// The report of a process with that state.
    pub fn new(ready: bool, status: &impl Serialize) -> Self {
        let json = serde_json::to_string(status).expect("a status is plain data");
        Self { ready, json }
    }
}

/// Serves reports made by `report` until the token is cancelled.
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
