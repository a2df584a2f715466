//! Checks whether an upstream whose connection was lost has crashed: it then accepts no new one.

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Event;
use crate::router::Target;
use crate::router::flow::Failure;
use crate::router::request::Request;
use crate::router::request::RequestKey;

impl<U: UpstreamClient> Dispatcher<U> {
    /// Returns the event of a failed exchange, after a check of the upstream if the exchange was
    /// interrupted.
    pub(super) async fn failed(&self, failure: Failure, target: &Target) -> Event {
        if failure == Failure::Broken && !self.upstream_client.accepts_connections(target).await {
            return Event::Failed(Failure::Crashed);
        }
        Event::Failed(failure)
    }

    /// True if the upstream of the current run of a request has crashed.
    pub(super) async fn has_upstream_crashed(&self, key: RequestKey) -> bool {
        let Some(target) = self.target_of(key, Request::upstream) else { return false };
        !self.upstream_client.accepts_connections(&target).await
    }

    /// Checks the engine of a paused run whose connection was lost, and records its crash.
    pub(super) async fn check_paused_engine(&self, key: RequestKey) {
        let Some(target) = self.target_of(key, Request::paused_engine) else { return };
        if !self.upstream_client.accepts_connections(&target).await {
            self.router.borrow_mut().record_crash_of_paused_run(self.now(), key);
        }
    }

    fn target_of(
        &self,
        key: RequestKey,
        target: impl FnOnce(&Request) -> Option<&Target>,
    ) -> Option<Target> {
        let router = self.router.borrow();
        router.request(key).and_then(target).cloned()
    }
}
