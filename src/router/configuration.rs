//! Configuration of the router: routes, services and limits for callers.

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::RngExt;

use crate::router::accounts::Accounts;
use crate::router::accounts::ApiKey;
use crate::router::accounts::Caller;

/// One version of the configuration: the routes, the services that they name,
/// and the limits on callers.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Version number, which grows with each change.
    pub version: u64,
    /// Routes, in no particular order: the longest matching prefix wins.
    pub routes: Vec<Route>,
    /// Services that routes may name as destinations.
    pub services: Vec<Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Client accounts; without any, callers need no key.
    pub accounts: Accounts,
}

/// Limits on what callers may send, and on idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the head of a request must arrive once it has begun.
    pub header_timeout: Duration,
    /// Time after which an open connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Rule for the requests of a host and path: where they go, and their limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: CompactString,
    /// Host that the request must address; case does not matter.
    pub host: CompactString,
    /// Prefix that the request's path must have. It starts and ends with a
    /// slash.
    pub path_prefix: CompactString,
    /// True if a request may run more than once without harm.
    pub idempotent: bool,
    /// True if its successful responses are streams of events, whose ids count up.
    pub streams: bool,
    /// True if a stream that was interrupted may be resumed by another run.
    pub resumable: bool,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Time after the arrival of a request within which its response, or the
    /// first event of a stream, should arrive.
    pub latency_target: Duration,
    /// Target for the longest interval between two events of a stream; zero if
    /// the configuration sets none.
    pub max_event_interval: Duration,
    /// Priority, sent to the upstream; 0 is the highest.
    pub priority: u8,
    /// True if callers need no key for the route, whatever accounts there are.
    pub public: bool,
    /// Services that requests are distributed over, by weight.
    pub destinations: Vec<Destination>,
    /// Largest number of runs of one request. A run is a decode or call that
    /// was executed or may have been; what was only sent is an attempt.
    pub max_runs: u32,
}

/// Service that a route sends requests to, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Name of the service.
    pub service: CompactString,
    /// Weight of the service: its share of the requests is this over the sum of
    /// all weights of the route.
    pub weight: u32,
}

/// Group of upstreams that can serve the same requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Name of the service, to which routes and upstreams refer.
    pub name: CompactString,
    /// Properties of the model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Number of tokens that the KV memory of one engine holds; 0 if unknown.
    pub kv_tokens: u32,
    /// Longest time that a reservation may last; zero if the configuration sets
    /// none.
    pub max_reservation: Duration,
    /// Number of output tokens in one event of a stream.
    pub tokens_per_event: u32,
}

impl Default for Engine {
    fn default() -> Self {
        Self { kv_tokens: 0, max_reservation: Duration::ZERO, tokens_per_event: 1 }
    }
}

impl Configuration {
    /// Returns the index of the route for a host and path: of those that match,
    /// the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let matching = self.routes.iter().enumerate().filter(|(_, route)| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.path_prefix.as_str())
        });
        matching.max_by_key(|(_, route)| route.path_prefix.len()).map(|(index, _)| index)
    }

    /// Returns who sent a request that came with this key; `None` if the route needs the key
    /// of an account and this is none.
    pub fn identify_caller(&self, route: usize, key: Option<&ApiKey>) -> Option<Caller> {
        if self.accounts.is_empty() {
            return Some(Caller::Unchecked);
        }
        match key.and_then(|key| self.accounts.by_key(key)) {
            Some(account) => Some(Caller::Account(account.clone())),
            None => self.routes[route].public.then_some(Caller::Anonymous),
        }
    }

    /// Returns the service with this name, if there is one.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// True if a request that may have run may be retried: it is idempotent, or
    /// its interrupted stream may be resumed by another run.
    pub fn allows_rerun(&self) -> bool {
        self.idempotent || self.resumable
    }

    /// Draws a destination at random by weight and returns the name of its
    /// service. Without weights it is the first destination, without
    /// destinations an empty name.
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
