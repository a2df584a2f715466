//! The routes, services and limits in force.

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::RngExt;

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Largest body.
    pub max_body_bytes: usize,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Where requests of a host and path go.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Host that callers name.
    pub host: CompactString,
    /// Beginning of the path; it starts and ends with a slash.
    pub path_prefix: CompactString,
    /// True if a request may run more than once.
    pub idempotent: bool,
    /// True if a broken stream may be continued by another run.
    pub resumable: bool,
    /// Longest time until the whole answer is there.
    pub timeout: Duration,
    /// Time within which the answer, or its first event, is worth most.
    pub latency_target: Duration,
    /// Longest pause between two events of an answer in time.
    pub max_event_interval: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services and their shares.
    pub destinations: Vec<Destination>,
    /// Upstreams that one request may run on.
    pub max_runs: u32,
}

/// A service and its share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Name of the service.
    pub service: CompactString,
    /// Share, against the sum of the route.
    pub weight: u32,
}

/// Upstreams of one kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Set if the upstreams are model engines.
    pub engine: Option<Engine>,
}

/// What the engines of a service can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Tokens that the memory of one engine holds.
    pub kv_tokens: u32,
    /// Longest reservation; zero if the configuration does not say.
    pub max_reservation: Duration,
}

impl RouteTable {
    /// The route for a host and a path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let matching = self.routes.iter().enumerate().filter(|(_, route)| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.path_prefix.as_str())
        });
        matching.max_by_key(|(_, route)| route.path_prefix.len()).map(|(index, _)| index)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// True if a request may be sent again after it may have run.
    pub fn allows_rerun(&self) -> bool {
        self.idempotent || self.resumable
    }

    /// Draws a service by weight.
    pub fn pick_destination(&self, rng: &mut impl Rng) -> CompactString {
        let total: u32 = self.destinations.iter().map(|destination| destination.weight).sum();
        let mut drawn = if total == 0 { 0 } else { rng.random_range(0..total) };
        for destination in &self.destinations {
            if drawn < destination.weight {
                return destination.service.clone();
            }
            drawn -= destination.weight;
        }
        self.destinations.first().map(|first| first.service.clone()).unwrap_or_default()
    }
}
