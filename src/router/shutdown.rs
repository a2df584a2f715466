//! Graceful shutdown: which requests a leaving entry still accepts, and how it ends the last ones.
//!
//! Until the listener closes, the load balancer still sends requests; those that are expected
//! to end in time are accepted. Afterwards requests come on open connections only, whose callers
//! have not been told of the shutdown. Of model requests, whose streams the exit would cut, those
//! are accepted then that end in time for certain. A call that takes longer than expected still
//! gets a final answer.

use std::time::Duration;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::configuration::Configuration;
use crate::router::configuration::Route;
use crate::router::flow::Step;
use crate::router::request::IncomingRequest;
use crate::router::request::Phase;
use crate::router::request::RequestKey;

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
    /// When requests whose response has not started get a final answer, shortly before the exit.
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
        let output_time = self.expected_output_time(now, incoming, configuration, service);
        let may_be_cut = output_time.is_some();
        let accepts = !may_be_cut || now < shutdown.listener_closes_at;
        let expected_end = now + route.latency_target + output_time.unwrap_or_default();
        if ends_for_certain || (accepts && expected_end <= shutdown.ends_at) {
            return Ok(());
        }
        Err(Refusal::not_run(RefusalReason::ShuttingDown, Some(SHUTDOWN_RETRY_AFTER)))
    }

    /// Time that the output of a model request is expected to take after its first event; `None`
    /// for a call.
    fn expected_output_time(
        &self,
        now: Duration,
        incoming: &IncomingRequest,
        configuration: &Configuration,
        service: &str,
    ) -> Option<Duration> {
        let engine = configuration.service(service)?.engine?;
        let tokens = incoming.prompt?.expected_output_tokens();
        Some(self.output_time(now, service, &engine, tokens))
    }

    /// Refuses a request whose response has not started, as the entry exits.
    pub(super) fn entry_exits(&mut self, now: Duration, key: RequestKey) -> Step {
        let request = &mut self.requests[key];
        if request.response_started {
            return Step::Abort;
        }
        let is_at_upstream = match request.prompt {
            Some(_) => request.phase == Phase::Decoding,
            None => request.runs > 0,
        };
        request.may_have_run |= is_at_upstream;
        Step::Refuse(self.refusal(now, key, RefusalReason::ShuttingDown, SHUTDOWN_RETRY_AFTER))
    }
}
