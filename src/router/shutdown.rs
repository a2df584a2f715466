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

/// Time for which a leaving entry still accepts connections: the load balancer polls
/// readiness once a second and removes an instance after the second negative response.
const BALANCER_REMOVAL_DELAY: Duration = Duration::from_millis(2_500);
/// Largest part of the grace period that is reserved for the exit of the process.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(600);
/// The same as a divisor of the grace period, for a short one.
const EXIT_MARGIN_DIVISOR: u32 = 8;
/// Longest time before the exit at which requests whose response has not started get a final
/// answer.
const MAX_FINAL_ANSWER_TIME: Duration = Duration::from_millis(200);
/// The same as a divisor of the grace period, for a short one.
const FINAL_ANSWER_DIVISOR: u32 = 24;
/// Divisor of the part at the end of the grace period in which a stream may be cut whose engine is
/// at work.
const CUT_PART_DIVISOR: u32 = 6;
/// Part of the grace period that is left when the process stops waiting for callers that read.
const MAX_LAST_MARGIN: Duration = Duration::from_millis(150);
/// The same as a divisor of the grace period, for a short one.
const LAST_MARGIN_DIVISOR: u32 = 24;
/// Time within which a process that runs notices a signal or a timer.
const NOTICE_TIME: Duration = Duration::from_millis(100);

/// When SIGTERM may have been sent: a process that stands still notices it late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SignalTime {
    /// Earliest time. The grace period may end so long after it.
    pub earliest: Duration,
    /// When the signal was noticed.
    pub latest: Duration,
}

/// The last time in which the process stood still.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standstill {
    since: Duration,
    until: Duration,
}

impl Standstill {
    /// Records that the process runs now and ran at `last`, with a timer that was due at `due`
    /// between them.
    pub fn note_run(&mut self, last: Duration, due: Duration, now: Duration) {
        if now > due + NOTICE_TIME {
            *self = Self { since: last, until: now };
        }
    }

    /// Returns when a signal may have been sent that was noticed now.
    pub fn signal_time(&self, now: Duration) -> SignalTime {
        let stood_still = now <= self.until + NOTICE_TIME;
        SignalTime { earliest: if stood_still { self.since } else { now }, latest: now }
    }
}

/// Times of a graceful shutdown by which requests are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When it started.
    pub started_at: Duration,
    /// When the listener closes, if SIGTERM was noticed at once.
    pub listener_closes_at: Duration,
    /// When requests whose response has not started get a final answer, shortly before the exit.
    pub ends_at: Duration,
}

/// Steps of a graceful shutdown. What must come before the process is killed counts from the
/// earliest time of SIGTERM; what must not come too early, from the latest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimes {
    /// Times by which requests are accepted.
    pub shutdown: Shutdown,
    /// When the listener closes: the load balancer is told when SIGTERM is noticed.
    pub listener_closes_at: Duration,
    /// Time after `ends_at` for which final answers are sent at least.
    pub final_answer_time: Duration,
    /// When the process exits if no response is open; it may be killed soon after.
    pub exits_at: Duration,
    /// When responses are cut that wait for their upstream.
    pub cut_at: Duration,
    /// When the process exits although callers have not read all of their responses.
    pub gives_up_at: Duration,
}

impl DrainTimes {
    /// Returns the steps of the shutdown after a signal. The process is killed `grace` after it.
    pub fn new(signal: SignalTime, grace: Duration) -> Self {
        let SignalTime { earliest, latest } = signal;
        let exit_margin = MAX_EXIT_MARGIN.min(grace / EXIT_MARGIN_DIVISOR);
        let final_answer_time = MAX_FINAL_ANSWER_TIME.min(grace / FINAL_ANSWER_DIVISOR);
        let exits_at = earliest + grace - exit_margin;
        let ends_at = exits_at - final_answer_time;
        let excused_at = latest + grace - grace / CUT_PART_DIVISOR;
        Self {
            shutdown: Shutdown {
                started_at: earliest,
                listener_closes_at: ends_at.min(earliest + BALANCER_REMOVAL_DELAY),
                ends_at,
            },
            listener_closes_at: ends_at.min(latest + BALANCER_REMOVAL_DELAY),
            final_answer_time,
            exits_at,
            cut_at: exits_at.max(excused_at),
            gives_up_at: latest + grace - MAX_LAST_MARGIN.min(grace / LAST_MARGIN_DIVISOR),
        }
    }
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
