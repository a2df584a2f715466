//! The platform's log service and instance list, as plain HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use hyper::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::edge::http::HttpClient;
use crate::edge::http::HttpError;
use crate::entry::membership::Instance;
use crate::entry::membership::InstanceKind;
use crate::policy::subset::Member;

/// Stream of published manifests.
pub const MANIFEST_STREAM: &str = "manifest";
/// Stream of claims of idempotency keys.
pub const CLAIM_STREAM: &str = "claims";
const LONG_POLL_MARGIN: Duration = Duration::from_secs(2);

/// A record as the log holds it.
#[derive(Debug, Clone, Deserialize)]
pub struct LogRecord {
    /// Place in the stream, from 0.
    pub offset: u64,
    /// Time since it was appended.
    pub age_ms: u64,
    /// What was appended.
    pub record: String,
}

/// What a read returned.
#[derive(Debug, Clone, Deserialize)]
pub struct LogRead {
    /// Offset of the oldest record that the log still holds.
    pub first_offset: u64,
    /// Offset that the next append gets.
    pub next_offset: u64,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}

#[derive(Serialize)]
struct AppendRequest<'a> {
    record: &'a str,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    http: HttpClient,
    address: SocketAddr,
}

impl LogClient {
    /// A client of the log at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// After `Interrupted` or `Timeout` the record may still have been appended.
    pub async fn append(
        &self,
        stream: &str,
        record: &str,
        timeout: Duration,
    ) -> Result<u64, HttpError> {
        let path = format!("/streams/{stream}/records");
        let body = AppendRequest { record };
        let response: AppendResponse =
            self.http.send_json(Method::POST, self.address, &path, &body, timeout).await?;
        Ok(response.offset)
    }

    /// Reads from an offset on; waits up to `wait` if there is nothing yet.
    ///
    /// # Errors
    /// Any of [`HttpError`].
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> Result<LogRead, HttpError> {
        let path = format!("/streams/{stream}/records?from={from}&wait_ms={}", wait.as_millis());
        self.http.send_json(Method::GET, self.address, &path, &(), wait + LONG_POLL_MARGIN).await
    }
}

#[derive(Deserialize)]
struct InstanceListResponse {
    instances: Vec<ListedInstance>,
}

#[derive(Deserialize)]
struct ListedInstance {
    kind: ListedKind,
    name: CompactString,
    region: CompactString,
    zone: CompactString,
    #[serde(default)]
    pool: CompactString,
    #[serde(default)]
    address: CompactString,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedKind {
    Entry,
    Agent,
}

/// Reads the instance list.
///
/// # Errors
/// Any of [`HttpError`].
pub async fn read_instance_list(
    http: &HttpClient,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Vec<Instance>, HttpError> {
    let response: InstanceListResponse =
        http.send_json(Method::GET, address, "/instances", &(), timeout).await?;
    Ok(response.instances.into_iter().map(to_instance).collect())
}

fn to_instance(listed: ListedInstance) -> Instance {
    Instance {
        kind: match listed.kind {
            ListedKind::Entry => InstanceKind::Entry,
            ListedKind::Agent => InstanceKind::Agent,
        },
        member: Member { region: listed.region, zone: listed.zone, name: listed.name },
        pool: listed.pool,
        address: listed.address,
        leaving: listed.leaving,
    }
}
