//! Asks engines whose streams are silent for a sign of life.

use std::future::pending;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::request_log::log_asked_engine;
use crate::edge::direct::request_task::RequestTask;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Target;
use crate::router::liveness::SilenceStep;
use crate::router::request::RequestKey;

/// Time within which an engine that runs answers a call that takes none of its capacity.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

impl<U: UpstreamClient> RequestTask<U> {
    /// Completes once the stream has been silent for `idle_timeout` and its engine counts as
    /// lost; never without an idle timeout.
    pub(super) async fn engine_lost(&self, idle_timeout: Option<Duration>) {
        let Some(mut wait) = idle_timeout else { return pending().await };
        loop {
            sleep(wait).await;
            let now = self.dispatcher.now();
            let step = self.dispatcher.router.borrow_mut().judge_silence(now, self.key);
            wait = match step {
                SilenceStep::Wait(wait) => wait,
                SilenceStep::Ask(engine) => {
                    self.dispatcher.ask_engine(self.key, &engine).await;
                    Duration::ZERO
                }
                SilenceStep::EngineLost => return,
            };
        }
    }
}

impl<U: UpstreamClient> Dispatcher<U> {
    async fn ask_engine(&self, key: RequestKey, engine: &Target) {
        let answer = timeout(ANSWER_TIMEOUT, self.upstream_client.answers(engine)).await;
        let answered = answer.unwrap_or(false);
        self.metrics.count_asked_engine(answered);
        let now = self.now();
        let mut router = self.router.borrow_mut();
        if answered {
            router.record_engine_answer(now, key, engine);
        }
        if let Some(request) = router.request(key) {
            log_asked_engine(&self.name, now, request, answered);
        }
    }
}
