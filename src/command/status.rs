//! `bamboodoor status ADDRESS...`: reads the state of entries and agents from their
//! operators' addresses.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde::Serialize;
use serde_json::Value;

use crate::edge::http::HttpClient;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// State of one process, or why it could not be read.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessStatus {
    /// Address for operators that was queried.
    pub address: SocketAddr,
    /// JSON body of `/status`; `None` if the request failed.
    pub status: Option<Value>,
    /// Error of the request; `None` if it succeeded.
    pub error: Option<String>,
}

/// Queries all addresses concurrently and returns the results in the order of `addresses`.
pub async fn status(addresses: &[SocketAddr]) -> Vec<ProcessStatus> {
    let http = HttpClient::default();
    let queries = addresses.iter().map(|&address| query(&http, address));
    futures_util::future::join_all(queries).await
}

async fn query(http: &HttpClient, address: SocketAddr) -> ProcessStatus {
    match http.send_json::<Value>(Method::GET, address, "/status", &(), REQUEST_TIMEOUT).await {
        Ok(status) => ProcessStatus { address, status: Some(status), error: None },
        Err(error) => ProcessStatus { address, status: None, error: Some(error.to_string()) },
    }
}

/// Returns true if every process responded and all have the same manifest generation in
/// force; also true for an empty list.
pub fn generations_agree(statuses: &[ProcessStatus]) -> bool {
    let generations: Vec<Option<u64>> = statuses
        .iter()
        .map(|process| process.status.as_ref().and_then(|status| status["generation"].as_u64()))
        .collect();
    generations.iter().all(|generation| generation.is_some() && *generation == generations[0])
}
