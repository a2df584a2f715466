//! `bamboodoor status`: asks processes for their state.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde::Serialize;
use serde_json::Value;

use crate::edge::http::HttpClient;

const TIMEOUT: Duration = Duration::from_secs(2);

/// What one process said.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessStatus {
    /// Its operators' address.
    pub address: SocketAddr,
    /// Its state, if it answered.
    pub status: Option<Value>,
    /// Why it did not.
    pub error: Option<String>,
}

/// Asks every address at once.
pub async fn status(addresses: &[SocketAddr]) -> Vec<ProcessStatus> {
    let http = HttpClient::default();
    let asked = addresses.iter().map(|&address| ask(&http, address));
    futures_util::future::join_all(asked).await
}

async fn ask(http: &HttpClient, address: SocketAddr) -> ProcessStatus {
    match http.send_json::<Value>(Method::GET, address, "/status", &(), TIMEOUT).await {
        Ok(status) => ProcessStatus { address, status: Some(status), error: None },
        Err(error) => ProcessStatus { address, status: None, error: Some(error.to_string()) },
    }
}

/// True if every process answered with the same generation.
pub fn agrees(statuses: &[ProcessStatus]) -> bool {
    let generations: Vec<Option<u64>> = statuses
        .iter()
        .map(|process| process.status.as_ref().and_then(|status| status["generation"].as_u64()))
        .collect();
    generations.iter().all(|generation| generation.is_some() && *generation == generations[0])
}
