//! Reads the settings files of the daemons, fills in defaults and checks the result.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::clock::from_ms;
use crate::document;
use crate::error::Error;
use crate::error::Finding;
use crate::error::Result;
use crate::schema::settings::AgentSettings;
use crate::schema::settings::EntrySettings;

const DEFAULT_HEARTBEAT_MS: u64 = 500;
const DEFAULT_LEASE_TTL_MS: u64 = 3_000;
const DEFAULT_LIST_POLL_MS: u64 = 1_000;
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
const DEFAULT_MAX_HEADER_BYTES: u64 = 32 << 10;
const DEFAULT_BODY_READ_MS: u64 = 10_000;
const DEFAULT_IDLE_MS: u64 = 60_000;
const DEFAULT_MAX_CONNECTIONS: u32 = 4_096;
const DEFAULT_MAX_MANIFEST_BYTES: u64 = 1 << 20;
const DEFAULT_CLAIM_BATCH_MS: u64 = 20;
const DEFAULT_TOMBSTONE_MS: u64 = 600_000;
/// Smallest request header limit of an entry; hyper panics if it is given a smaller one.
const MIN_HEADER_BYTES: u64 = 8 << 10;
/// A lease must last at least this many heartbeat intervals.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// Reads and checks the settings file of an entry.
///
/// # Errors
/// Returns [`Error::Read`] if the file cannot be read, and [`Error::Invalid`] with all
/// problems found if its settings are not valid.
pub fn read_entry(path: &Path) -> Result<EntrySettings> {
    read(path, parse_entry)
}

/// Reads and checks the settings file of an agent.
///
/// # Errors
/// Returns [`Error::Read`] if the file cannot be read, and [`Error::Invalid`] with all
/// problems found if its settings are not valid.
pub fn read_agent(path: &Path) -> Result<AgentSettings> {
    read(path, parse_agent)
}

fn read<T>(path: &Path, parse: impl Fn(&str) -> std::result::Result<T, Vec<Finding>>) -> Result<T> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Read { file: file.clone(), source })?;
    parse(&text).map_err(|findings| Error::Invalid { file, findings })
}

/// Parses and checks the text of an entry's settings.
///
/// # Errors
/// Returns all problems found, each with line, column and field.
pub fn parse_entry(text: &str) -> std::result::Result<EntrySettings, Vec<Finding>> {
    let mut settings: EntrySettings = parse(text)?;
    fill_entry_defaults(&mut settings);
    let mut checker = Checker { text, findings: Vec::new() };
    checker.name("name", &settings.name);
    checker.name("region", &settings.region);
    checker.name("zone", &settings.zone);
    checker.address("listen", &settings.listen);
    checker.address("operators_listen", &settings.operators_listen);
    checker.address("log", &settings.log);
    checker.address("instance_list", &settings.instance_list);
    checker.optional_address("statsd", &settings.statsd);
    checker.lease(settings.heartbeat_ms, settings.lease_ttl_ms);
    let is_large_enough = settings.max_header_bytes >= MIN_HEADER_BYTES;
    checker.require(is_large_enough, "max_header_bytes", "at least 8192");
    checker.finish(settings)
}

/// Parses and checks the text of an agent's settings.
///
/// # Errors
/// Returns all problems found, each with line, column and field.
pub fn parse_agent(text: &str) -> std::result::Result<AgentSettings, Vec<Finding>> {
    let mut settings: AgentSettings = parse(text)?;
    fill_agent_defaults(&mut settings);
    let mut checker = Checker { text, findings: Vec::new() };
    checker.name("name", &settings.name);
    checker.name("region", &settings.region);
    checker.name("zone", &settings.zone);
    checker.name("pool", &settings.pool);
    checker.address("listen", &settings.listen);
    checker.address("operators_listen", &settings.operators_listen);
    checker.address("upstream", &settings.upstream);
    checker.optional_address("statsd", &settings.statsd);
    checker.lease(settings.heartbeat_ms, settings.lease_ttl_ms);
    let outlasts_lease = settings.tombstone_ms >= settings.lease_ttl_ms;
    checker.require(outlasts_lease, "tombstone_ms", "at least lease_ttl_ms");
    checker.finish(settings)
}

fn parse<T: DeserializeOwned>(text: &str) -> std::result::Result<T, Vec<Finding>> {
    document::parse(text)
}

fn default_to(field: &mut u64, default: u64) {
    if *field == 0 {
        *field = default;
    }
}

fn fill_entry_defaults(settings: &mut EntrySettings) {
    default_to(&mut settings.heartbeat_ms, DEFAULT_HEARTBEAT_MS);
    default_to(&mut settings.lease_ttl_ms, DEFAULT_LEASE_TTL_MS);
    default_to(&mut settings.list_poll_ms, DEFAULT_LIST_POLL_MS);
    default_to(&mut settings.max_body_bytes, DEFAULT_MAX_BODY_BYTES);
    default_to(&mut settings.max_header_bytes, DEFAULT_MAX_HEADER_BYTES);
    default_to(&mut settings.body_read_ms, DEFAULT_BODY_READ_MS);
    default_to(&mut settings.idle_ms, DEFAULT_IDLE_MS);
    default_to(&mut settings.max_manifest_bytes, DEFAULT_MAX_MANIFEST_BYTES);
    default_to(&mut settings.claim_batch_ms, DEFAULT_CLAIM_BATCH_MS);
    if settings.max_connections == 0 {
        settings.max_connections = DEFAULT_MAX_CONNECTIONS;
    }
    if settings.operators_listen.is_empty() {
        settings.operators_listen = "127.0.0.1:0".to_string();
    }
}

fn fill_agent_defaults(settings: &mut AgentSettings) {
    default_to(&mut settings.heartbeat_ms, DEFAULT_HEARTBEAT_MS);
    default_to(&mut settings.lease_ttl_ms, DEFAULT_LEASE_TTL_MS);
    default_to(&mut settings.tombstone_ms, DEFAULT_TOMBSTONE_MS);
    default_to(&mut settings.max_manifest_bytes, DEFAULT_MAX_MANIFEST_BYTES);
    if settings.operators_listen.is_empty() {
        settings.operators_listen = "127.0.0.1:0".to_string();
    }
}

struct Checker<'a> {
    text: &'a str,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn require(&mut self, is_valid: bool, field: &str, expected: &str) {
        if !is_valid {
            self.findings.push(document::locate(self.text, field, format!("expected {expected}")));
        }
    }

    fn name(&mut self, field: &str, value: &str) {
        self.require(!value.is_empty(), field, "a non-empty name");
    }

    fn address(&mut self, field: &str, value: &str) {
        self.require(value.parse::<SocketAddr>().is_ok(), field, "an address IP:PORT");
    }

    fn optional_address(&mut self, field: &str, value: &str) {
        if !value.is_empty() {
            self.address(field, value);
        }
    }

    fn lease(&mut self, heartbeat_ms: u64, lease_ttl_ms: u64) {
        let is_long_enough = lease_ttl_ms >= HEARTBEATS_PER_LEASE * heartbeat_ms;
        self.require(is_long_enough, "lease_ttl_ms", "at least three times heartbeat_ms");
    }

    fn finish<T>(self, settings: T) -> std::result::Result<T, Vec<Finding>> {
        if self.findings.is_empty() { Ok(settings) } else { Err(self.findings) }
    }
}

/// Parses the address `value` of the settings field or command-line option `field`.
///
/// # Errors
/// Returns [`Error::Address`] if `value` is not of the form `IP:PORT`.
pub fn address(field: &'static str, value: &str) -> Result<SocketAddr> {
    value.parse().map_err(|source| Error::Address { field, source })
}

/// Converts milliseconds to a duration, for the settings fields whose names end in `_ms`.
pub fn duration_from_ms(ms: u64) -> Duration {
    from_ms(ms)
}
