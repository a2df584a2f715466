//! The core of an entry, and the requests that run through it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::edge::direct::decisions::log_refusal;
use crate::edge::direct::drive::Caller;
use crate::edge::direct::drive::Drive;
use crate::edge::direct::metrics::Metrics;
use crate::edge::direct::response::CallerResponse;
use crate::edge::direct::upstream_client::ForwardedRequest;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::request::IncomingRequest;
use crate::router::request::RequestKey;

/// The core, and what it needs to reach upstreams.
pub struct Dispatcher<U> {
    /// Name of this instance, for logs.
    pub name: CompactString,
    /// The decision core.
    pub router: RefCell<Router>,
    /// The upstreams' protocol.
    pub upstreams: U,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// What is counted.
    pub metrics: Metrics,
    pub(super) sleepers: RefCell<HashMap<RequestKey, Rc<Notify>>>,
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// A dispatcher without requests.
    pub fn new(name: CompactString, router: Router, upstreams: U, clock: Arc<dyn Clock>) -> Self {
        let router = RefCell::new(router);
        let (metrics, sleepers) = (Metrics::default(), RefCell::default());
        Self { name, router, upstreams, clock, metrics, sleepers }
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Serves a request. Dropping the future, or the body of the answer, means
    /// that the caller is gone.
    pub async fn serve(
        self: &Rc<Self>,
        inquiry: IncomingRequest,
        request: ForwardedRequest,
    ) -> CallerResponse {
        let arrived = self.router.borrow_mut().accept_request(self.now(), inquiry);
        let key = match arrived {
            Ok(key) => key,
            Err(refusal) => return self.refuse(&request.id, refusal),
        };
        self.log_arrival(key);
        let (head, reply) = oneshot::channel();
        let drive = Drive {
            dispatcher: self.clone(),
            key,
            request,
            answer: None,
            caller: Caller::Waiting(Some(head)),
        };
        tokio::task::spawn_local(drive.run());
        reply.await.unwrap_or_else(|_| CallerResponse::Refused(lost()))
    }

    /// Refuses a request that was not taken up.
    pub fn refuse(&self, id: &str, refusal: Refusal) -> CallerResponse {
        self.metrics.count_refusal(&refusal);
        log_refusal(&self.name, id, &refusal, 0);
        CallerResponse::Refused(refusal)
    }

    fn log_arrival(&self, key: RequestKey) {
        let router = self.router.borrow();
        let Some(request) = router.request(key) else { return };
        spdlog::info!("arrived", kv: {
            instance: = self.name,
            request_id: = request.id,
            route: = request.route().name,
            patience_ms = crate::clock::as_ms(request.remaining_time(request.arrived_at)),
            prompt_tokens = request.prompt.map_or(0, |prompt| prompt.tokens),
            max_output_tokens = request.prompt.map_or(0, |prompt| prompt.max_output_tokens),
            output_hint = request.prompt.and_then(|prompt| prompt.output_hint).unwrap_or(0),
            generation = request.version()
        });
    }

    /// Carries out what the core wants done beside the steps of one request.
    pub(super) fn settle(self: &Rc<Self>) {
        let cleanups = self.router.borrow_mut().take_cleanups();
        for cleanup in cleanups {
            let dispatcher = self.clone();
            tokio::task::spawn_local(async move { dispatcher.upstreams.clean_up(cleanup).await });
        }
        let woken = self.router.borrow_mut().take_runnable();
        let sleepers = self.sleepers.borrow();
        for key in woken {
            if let Some(sleeper) = sleepers.get(&key) {
                sleeper.notify_one();
            }
        }
    }
}

/// The task of the request ended without an answer.
fn lost() -> Refusal {
    Refusal::with_outcome(RefusalReason::UpstreamLost, crate::outcome::Outcome::Unknown)
}
