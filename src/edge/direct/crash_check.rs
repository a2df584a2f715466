//! Checks whether an upstream whose connection was lost has crashed: its host then refuses new
//! ones. An upstream that does not answer may be unreachable, which a request cannot cause. One
//! that is known to be leaving has stopped, and may have broken its responses off.

use std::rc::Rc;
use std::time::Duration;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Event;
use crate::router::Target;
use crate::router::flow::Failure;
use crate::router::poisoned_requests::UncheckedRun;
use crate::router::request::Request;
use crate::router::request::RequestKey;

/// Time after the end of a run after which its upstream is checked. One that has crashed takes
/// longer to start again.
const LATE_CHECK_DELAY: Duration = Duration::from_millis(300);

impl<U: UpstreamClient> Dispatcher<U> {
    /// Returns the event of a failed exchange, after a check of the upstream if the exchange was
    /// interrupted.
    pub(super) async fn failed(&self, failure: Failure, target: &Target) -> Event {
        if failure == Failure::Broken && self.has_crashed(target).await {
            return Event::Failed(Failure::Crashed);
        }
        Event::Failed(failure)
    }

    /// True if the upstream of the current run of a request has crashed.
    pub(super) async fn has_upstream_crashed(&self, key: RequestKey) -> bool {
        let Some(target) = self.target_of(key, Request::upstream) else { return false };
        self.has_crashed(&target).await
    }

    /// Checks the engine of a paused run whose connection was lost, and records its crash.
    pub(super) async fn check_paused_engine(&self, key: RequestKey) {
        let Some(target) = self.target_of(key, Request::paused_engine) else { return };
        if self.has_crashed(&target).await {
            self.router.borrow_mut().record_crash_of_paused_run(self.now(), key);
        }
    }

    /// Starts checks of the upstreams of runs that were given up or interrupted: a process that
    /// crashes may close its connections before it stops listening, or crash somewhat later.
    pub(super) fn check_runs(self: &Rc<Self>) {
        for unchecked in self.router.borrow_mut().take_unchecked_runs() {
            let dispatcher = self.clone();
            tokio::task::spawn_local(async move { dispatcher.check_run(unchecked).await });
        }
    }

    async fn check_run(&self, unchecked: UncheckedRun) {
        tokio::time::sleep(LATE_CHECK_DELAY).await;
        if !self.has_crashed(&unchecked.target).await {
            return;
        }
        spdlog::info!("upstream-crashed-late", kv: {
            instance: = self.name,
            upstream: = unchecked.target.id
        });
        self.router.borrow_mut().record_late_crash(self.now(), unchecked);
        self.crash_log.wake(&self.router.borrow());
    }

    /// True if an upstream refuses connections and was not known to be leaving before.
    async fn has_crashed(&self, upstream: &Target) -> bool {
        let is_leaving = self.router.borrow().is_upstream_leaving(upstream);
        !is_leaving && self.upstream_client.refuses_connections(upstream).await
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
