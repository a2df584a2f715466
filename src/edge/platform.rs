//! HTTP clients of the platform's log service and instance list.

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

/// Name of the log stream of published manifests.
pub const MANIFEST_STREAM: &str = "manifest";
/// Name of the log stream of claims and completions of idempotency keys.
pub const CLAIM_STREAM: &str = "claims";
/// Time added to the long-poll wait of a read, for the response itself.
const LONG_POLL_MARGIN: Duration = Duration::from_secs(2);

/// Record as the log returns it.
#[derive(Debug, Clone, Deserialize)]
pub struct LogRecord {
    /// Position of the record in its stream, counted from 0.
    pub offset: u64,
    /// Age of the record when the log sent it, in milliseconds since the append.
    pub age_ms: u64,
    /// Text of the record, as it was appended.
    pub record: String,
}

/// Response of the log to a read.
#[derive(Debug, Clone, Deserialize)]
pub struct LogRead {
    /// Offset of the oldest record that the log still holds.
    pub first_offset: u64,
    /// Offset that the next appended record will get.
    pub next_offset: u64,
    /// Records from the requested offset on, in the order of their offsets; empty if
    /// there is nothing new.
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

/// Client of the platform's log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    http: HttpClient,
    address: SocketAddr,
}

impl LogClient {
    /// Creates a client of the log at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    /// Returns any variant of [`HttpError`]. After [`HttpError::Interrupted`] or
    /// [`HttpError::Timeout`] the record may still have been appended.
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

    /// Reads the records of a stream from offset `from` on. If there are none yet, the
    /// log holds the response back for up to `wait`.
    ///
    /// # Errors
    /// Returns any variant of [`HttpError`].
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

/// Reads the list of entries and agents from the platform at `address`.
///
/// # Errors
/// Returns any variant of [`HttpError`].
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
