//! What the entry expects of the stream of a request, and what it records if an engine sends
//! something else.

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::direct::request_log::log_invalid_event;
use crate::edge::direct::run_events::RunEvents;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Target;
use crate::router::request::Request;
use crate::router::request::RequestKey;

impl<U: UpstreamClient> Dispatcher<U> {
    /// Returns the events that the next run of a request is to have; `None` if its route has no
    /// streams.
    pub(super) fn run_events(&self, key: RequestKey) -> Option<RunEvents> {
        let router = self.router.borrow();
        let request = router.request(key).filter(|request| request.route().streams)?;
        let after = request.last_event();
        Some(RunEvents::new(after, request.tokens_per_event(), U::EVENT_EXTENSION_FIELDS))
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
