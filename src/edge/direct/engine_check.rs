//! Asks engines whose streams are silent for a sign of life.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::request_log::log_asked_engine;
use crate::edge::direct::request_task::RequestTask;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Target;
use crate::router::liveness::ANSWER_TIMEOUT;
use crate::router::liveness::EngineAnswer;
use crate::router::liveness::SilenceStep;
use crate::router::request::RequestKey;

/// Time for which the answer to a call is waited for. One that comes late shows that the engine
/// runs again.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

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
                    self.dispatcher.ask_engine(self.key, engine).await;
                    Duration::ZERO
                }
                SilenceStep::EngineLost => return,
            };
        }
    }
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// Asks an engine, and waits for the answer. The call goes on if the wait is cancelled or
    /// over: its answer tells all streams of the engine.
    async fn ask_engine(self: &Rc<Self>, key: RequestKey, engine: Target) {
        let (dispatcher, asked) = (self.clone(), engine.clone());
        let call = tokio::task::spawn_local(async move {
            let answer = dispatcher.upstream_client.ask(&asked);
            if let Ok(answer) = timeout(LATE_ANSWER_TIMEOUT, answer).await {
                dispatcher.record_engine_answer(key, &asked, answer);
            }
        });
        if timeout(ANSWER_TIMEOUT, call).await.is_err() {
            self.record_engine_answer(key, &engine, EngineAnswer::Silent);
        }
    }

    fn record_engine_answer(&self, key: RequestKey, engine: &Target, answer: EngineAnswer) {
        self.metrics.count_asked_engine(answer);
        let now = self.now();
        let mut router = self.router.borrow_mut();
        router.record_engine_answer(now, key, engine, answer);
        if let Some(request) = router.request(key) {
            let is_leaving = router.is_upstream_leaving(engine);
            log_asked_engine(&self.name, now, request, engine, is_leaving, answer);
        }
    }
}
