//! Graceful shutdown: which requests a leaving entry still accepts.
//!
//! Until the listener closes, the load balancer still sends requests; those that are expected
//! to end in time are accepted. Afterwards requests come on open connections only, whose callers
//! have not been told of the shutdown, and those are accepted that end in time for certain.

use std::time::Duration;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::configuration::Configuration;
use crate::router::configuration::Route;
use crate::router::request::IncomingRequest;

/// `Retry-After` of a request that is refused because of the shutdown: another entry can serve
/// it at once.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Times of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When it started.
    pub started_at: Duration,
    /// When the listener closes.
    pub listener_closes_at: Duration,
    /// When the process exits at the latest.
    pub ends_at: Duration,
}

impl Router {
    /// True once the graceful shutdown has started.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Graceful shutdown in progress; `None` before it.
    pub fn shutdown(&self) -> Option<&Shutdown> {
        self.shutdown.as_ref()
    }

    /// Starts the graceful shutdown: the entry is no longer ready, but finishes
    /// the requests in flight.
    pub fn start_leaving(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
    }

    /// Checks that a new request can end before the entry exits.
    ///
    /// # Errors
    /// The refusal of a request that cannot, or that is expected not to.
    pub(super) fn admit_before_exit(
        &self,
        now: Duration,
        incoming: &IncomingRequest,
        configuration: &Configuration,
        (route, service): (&Route, &str),
    ) -> Result<(), Refusal> {
        let Some(shutdown) = self.shutdown else { return Ok(()) };
        let timeout = incoming.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
        let ends_for_certain = now + timeout <= shutdown.ends_at;
        let accepts = now < shutdown.listener_closes_at;
        let expected_end = now + self.expected_time(now, incoming, configuration, (route, service));
        if ends_for_certain || (accepts && expected_end <= shutdown.ends_at) {
            return Ok(());
        }
        Err(Refusal::not_run(RefusalReason::ShuttingDown, Some(SHUTDOWN_RETRY_AFTER)))
    }

    /// Time that a request is expected to take: for a model request the latency target of its
    /// first event and the expected output after it, for a call its latency target.
    fn expected_time(
        &self,
        now: Duration,
        incoming: &IncomingRequest,
        configuration: &Configuration,
        (route, service): (&Route, &str),
    ) -> Duration {
        let engine = configuration.service(service).and_then(|service| service.engine);
        let output = incoming.prompt.zip(engine).map_or(Duration::ZERO, |(prompt, engine)| {
            self.output_time(now, service, &engine, prompt.expected_output_tokens())
        });
        route.latency_target + output
    }
}
