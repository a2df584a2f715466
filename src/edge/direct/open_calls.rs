//! Exchanges of one call with its upstreams. They go on side by side, until the router has passed
//! on the answer of one of them.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::timeout;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::ready_response::ReadyResponse;
use crate::edge::direct::request_task::RequestTask;
use crate::edge::direct::run_events::RunEvents;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::upstream_client::UpstreamResponse;
use crate::router::Event;
use crate::router::Target;
use crate::router::flow::Failure;

/// Upstream and result of an exchange.
type EndedCall = (Target, Result<ReadyResponse, Failure>);

/// Exchanges of one call that have not ended. Dropping them closes their connections, so that
/// their upstreams stop working on the call.
#[derive(Default)]
pub(super) struct OpenCalls(FuturesUnordered<LocalBoxFuture<'static, EndedCall>>);

impl OpenCalls {
    /// Drops all exchanges.
    pub(super) fn close(&mut self) {
        self.0.clear();
    }
}

impl<U: UpstreamClient> RequestTask<U> {
    /// Starts an exchange beside those that are open.
    pub(super) fn start_call(
        &mut self,
        target: Target,
        remaining_time: Duration,
        fresh_connection: bool,
    ) {
        let (dispatcher, request) = (self.dispatcher.clone(), self.request.clone());
        let (key, events) = (self.key, dispatcher.run_events(self.key));
        self.calls.0.push(Box::pin(async move {
            let client = &dispatcher.upstream_client;
            let response = client.call(&request, &target, remaining_time, fresh_connection).await;
            let result = match response {
                Ok(response) => match dispatcher.check_is_stream(key, &response) {
                    Ok(()) => dispatcher.read_response(response, events).await,
                    Err(failure) => Err(failure),
                },
                Err(failure) => Err(failure),
            };
            (target, result)
        }));
    }

    /// Waits until an exchange ends. After `limit`, the router decides whether another upstream
    /// gets the call as well; otherwise the wait continues.
    pub(super) async fn await_call(&mut self, limit: Duration) -> Event {
        let ended = match timeout(limit, self.calls.0.next()).await {
            Ok(ended) => ended,
            Err(_) if self.repeats_call() => return Event::CallOverdue,
            Err(_) => self.calls.0.next().await,
        };
        // The router awaits calls only while there are any.
        let Some((target, result)) = ended else { return Event::Failed(Failure::Silent) };
        self.dispatcher.router.borrow_mut().return_to_call(self.key, target.key);
        match result {
            Ok(ready) => self.store_response(ready),
            Err(failure) => self.dispatcher.failed(failure, &target).await,
        }
    }

    fn repeats_call(&self) -> bool {
        let now = self.dispatcher.now();
        self.dispatcher.router.borrow_mut().repeat_call(now, self.key)
    }
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// Reads a response completely if it is short and no stream. `events` are those of
    /// [`Self::run_events`].
    ///
    /// # Errors
    /// Those of [`ReadyResponse::read`].
    pub(super) async fn read_response(
        &self,
        response: UpstreamResponse,
        events: Option<RunEvents>,
    ) -> Result<ReadyResponse, Failure> {
        let release = |connection, keep_alive| {
            self.upstream_client.release_connection(connection, keep_alive);
        };
        ReadyResponse::read(response, events, &self.response_memory, release).await
    }
}
