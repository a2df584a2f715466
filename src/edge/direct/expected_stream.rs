//! The stream that a request is to get, and what is recorded if an engine sends something else.

use std::ops::Range;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::direct::request_log::log_invalid_event;
use crate::edge::direct::request_log::log_no_stream;
use crate::edge::direct::run_events::RunEvents;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::router::Target;
use crate::router::flow::Failure;
use crate::router::request::Request;
use crate::router::request::RequestKey;

/// Statuses of successful responses.
const SUCCESSES: Range<u16> = 200..300;

impl<U: UpstreamClient> Dispatcher<U> {
    /// Returns the events that the next run of a request is to have; `None` if its route has no
    /// streams.
    pub(super) fn run_events(&self, key: RequestKey) -> Option<RunEvents> {
        let router = self.router.borrow();
        let request = router.request(key).filter(|request| request.route().streams)?;
        let after = request.last_event();
        Some(RunEvents::new(after, U::EVENT_EXTENSION_FIELDS))
    }

    /// Checks that a success is a stream of events if the route of the request has streams.
    ///
    /// # Errors
    /// `Broken` if it is none, which is logged.
    pub(super) fn check_is_stream(
        &self,
        key: RequestKey,
        response: &UpstreamResponse,
    ) -> Result<(), Failure> {
        let router = self.router.borrow();
        let request = router.request(key).filter(|request| request.route().streams);
        let Some(request) = request else { return Ok(()) };
        if response.is_event_stream || !SUCCESSES.contains(&response.status) {
            return Ok(());
        }
        log_no_stream(&self.name, request, response);
        Err(Failure::Broken)
    }

    /// Counts and logs that an engine of a request, its `engine`, sent something that is no event
    /// of its run.
    pub(super) fn record_invalid_event(
        &self,
        key: RequestKey,
        engine: impl FnOnce(&Request) -> Option<&Target>,
        invalid: InvalidEvent,
    ) {
        self.metrics.count_invalid_event(invalid);
        let router = self.router.borrow();
        let Some(request) = router.request(key) else { return };
        let engine = engine(request).map(|engine| engine.id.as_str()).unwrap_or_default();
        log_invalid_event(&self.name, request, engine, invalid);
    }
}
