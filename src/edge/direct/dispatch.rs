//! Serves requests: hands each one to the router, which decides on its steps, and spawns
//! the task that executes them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::edge::direct::crash_log::CrashLog;
use crate::edge::direct::last_waits::LastWaits;
use crate::edge::direct::metrics::Metrics;
use crate::edge::direct::open_calls::OpenCalls;
use crate::edge::direct::origin_log::OriginLog;
use crate::edge::direct::quota_log::QuotaLog;
use crate::edge::direct::request_log::GivenUpBecause;
use crate::edge::direct::request_log::log_budget_notice;
use crate::edge::direct::request_log::log_cut_request;
use crate::edge::direct::request_log::log_given_up_run;
use crate::edge::direct::request_log::log_refusal;
use crate::edge::direct::request_log::log_unread_response;
use crate::edge::direct::request_task::CallerChannel;
use crate::edge::direct::request_task::RequestTask;
use crate::edge::direct::response::CallerResponse;
use crate::edge::direct::response_memory::ResponseMemory;
use crate::edge::direct::upstream_client::ForwardedRequest;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::version_records::VersionRecords;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::configuration::Configuration;
use crate::router::connection_limits::ConnectionLimits;
use crate::router::request::IncomingRequest;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::shutdown::Shutdown;

/// Shared state of all requests of an entry: router, client for upstreams, clock and
/// metrics.
pub struct Dispatcher<U> {
    /// Name of this instance in log lines.
    pub name: CompactString,
    /// Decides the steps of each request.
    pub router: RefCell<Router>,
    /// Client that calls upstreams in their protocol.
    pub upstream_client: U,
    /// Clock whose time is passed to the router.
    pub clock: Arc<dyn Clock>,
    /// Time limits on the connections of callers.
    pub connection_limits: Rc<RefCell<ConnectionLimits>>,
    /// Metrics of this entry.
    pub metrics: Metrics,
    /// Access of requests to the origins of streams in the store.
    pub(super) origin_log: OriginLog,
    /// Access to the record of software versions in the store.
    pub(super) version_records: VersionRecords,
    /// Access to the reports of crashed runs in the store.
    pub(super) crash_log: CrashLog,
    /// Access to the claims on quotas in the store.
    pub(super) quota_log: QuotaLog,
    /// Memory of the responses that are buffered.
    pub(super) response_memory: ResponseMemory,
    /// Cancelled when the graceful shutdown ends: requests whose response has not started get
    /// a final answer.
    pub exiting: CancellationToken,
    /// Cancelled after that: responses that wait for their upstream are cut.
    pub cutting: CancellationToken,
    /// Ids of the requests that the exit has cut.
    cut_requests: RefCell<HashSet<CompactString>>,
    /// Number of responses that were aborted since the graceful shutdown has started.
    pub(super) aborted_while_leaving: Cell<u32>,
    /// Signal that the store came back from an older copy.
    pub(super) era_risen: Notify,
    /// Wake-up signals of the requests that execute `Step::Wait`.
    pub(super) waiting: RefCell<HashMap<RequestKey, Rc<Notify>>>,
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// Creates a dispatcher without requests.
    pub fn new(
        name: CompactString,
        router: Router,
        upstream_client: U,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let router = RefCell::new(router);
        Self {
            name,
            router,
            upstream_client,
            clock,
            connection_limits: Rc::default(),
            metrics: Metrics::default(),
            origin_log: OriginLog::default(),
            version_records: VersionRecords::default(),
            crash_log: CrashLog::default(),
            quota_log: QuotaLog::default(),
            response_memory: ResponseMemory::default(),
            exiting: CancellationToken::new(),
            cutting: CancellationToken::new(),
            cut_requests: RefCell::default(),
            aborted_while_leaving: Cell::default(),
            era_risen: Notify::new(),
            waiting: RefCell::default(),
        }
    }

    /// Returns the time since the clock's epoch.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Applies a configuration, unless it is not newer than the one in force. Returns true if
    /// it was applied.
    pub(super) fn configure(&self, configuration: Configuration) -> bool {
        let limits = configuration.limits;
        let applied = self.router.borrow_mut().configure(configuration);
        if applied {
            self.quota_log.wake_for_first_read();
            self.connection_limits.borrow_mut().change(self.now(), limits);
        }
        applied
    }

    /// Serves a request and returns the response to its caller. The router decides on
    /// `incoming`; upstreams get `request`. Dropping the future or the response body means
    /// that the caller disconnected, and cancels the request.
    pub async fn serve(
        self: &Rc<Self>,
        incoming: IncomingRequest,
        mut request: ForwardedRequest,
    ) -> CallerResponse {
        self.record_notices();
        self.wait_for_quota(&incoming).await;
        let accepted = self.router.borrow_mut().accept_request(self.now(), incoming);
        self.log_quota_notices();
        let key = match accepted {
            Ok(key) => key,
            Err(refusal) => return self.refuse(&request.id, refusal),
        };
        if let Some(accepted) = self.router.borrow().request(key) {
            request.caller = accepted.caller.clone();
        }
        self.log_arrived_request(key);
        let (head, response) = oneshot::channel();
        let task = RequestTask {
            dispatcher: self.clone(),
            key,
            request: Rc::new(request),
            response: None,
            calls: OpenCalls::default(),
            caller: CallerChannel::AwaitingHead(Some(head)),
            paused: None,
            last_waits: LastWaits::default(),
        };
        tokio::task::spawn_local(task.run());
        response.await.unwrap_or_else(|_| CallerResponse::Refused(task_ended_refusal()))
    }

    /// Refuses a request before it has a task: counts and logs the refusal and returns the
    /// response.
    pub fn refuse(&self, id: &str, refusal: Refusal) -> CallerResponse {
        self.metrics.count_refusal(&refusal);
        match refusal.reason {
            // One line tells of all of them.
            RefusalReason::KeysUncertain => self.report_key_certainty(),
            _ => log_refusal(&self.name, id, &refusal, 0),
        }
        CallerResponse::Refused(refusal)
    }

    /// Passes to the router what responses have said about their upstreams, and logs what
    /// changed.
    pub(super) fn record_notices(&self) {
        for notice in self.upstream_client.take_notices() {
            if let Some(rate_limit) = notice.rate_limit {
                self.metrics.count_rate_limit_notice(rate_limit);
            }
            let mut router = self.router.borrow_mut();
            let changes = router.record_notice(self.now(), &notice);
            let upstream = router.target(notice.upstream).map(|target| target.id);
            let upstream = upstream.unwrap_or_default();
            if changes.leaving {
                self.metrics.count_leaving_upstream();
                spdlog::info!("upstream-leaving", kv: {
                    instance: = self.name,
                    upstream: = upstream
                });
            }
            if let Some(retry_after) = notice.retry_after {
                self.metrics.count_turned_away();
                spdlog::info!("upstream-retry-after", kv: {
                    instance: = self.name,
                    upstream: = upstream,
                    retry_after_ms = crate::clock::as_ms(retry_after)
                });
            }
            if let Some(change) = changes.rate_limit {
                spdlog::info!("upstream-limit", kv: {
                    instance: = self.name,
                    upstream: = upstream,
                    requests_per_s = change.after.unwrap_or(UNLIMITED),
                    previous_requests_per_s = change.before.unwrap_or(UNLIMITED)
                });
            }
        }
    }

    /// Logs and counts the slow starts of upstreams that have begun or ended.
    pub(super) fn log_slow_starts(&self) {
        let now = self.now();
        let changes = self.router.borrow_mut().instance_list().1.take_slow_start_changes(now);
        for change in changes {
            let phase = if change.ended_after.is_none() { "begun" } else { "ended" };
            if change.ended_after.is_none() {
                self.metrics.count_slow_start(change.cause);
            }
            spdlog::info!("slow-start", kv: {
                instance: = self.name,
                upstream: = change.id,
                cause: = change.cause,
                phase = phase,
                took_ms = change.ended_after.map_or(0, crate::clock::as_ms)
            });
        }
    }

    fn log_arrived_request(&self, key: RequestKey) {
        let router = self.router.borrow();
        let Some(request) = router.request(key) else { return };
        spdlog::info!("arrived", kv: {
            instance: = self.name,
            request_id: = request.id,
            fingerprint: = request.fingerprint,
            route: = request.route().name,
            account: = request.caller.account().map_or("", |account| account.name.as_str()),
            priority = request.priority(),
            patience_ms = crate::clock::as_ms(request.remaining_time(request.arrived_at)),
            prompt_tokens = request.prompt.map_or(0, |prompt| prompt.tokens),
            max_output_tokens = request.prompt.map_or(0, |prompt| prompt.max_output_tokens),
            resumes: = request.resumes.as_deref().unwrap_or_default(),
            output_hint = request.prompt.and_then(|prompt| prompt.output_hint).unwrap_or(0),
            generation = request.version(),
            leaving_ms = router.shutdown().map_or(0, |shutdown| {
                crate::clock::as_ms(request.arrived_at.saturating_sub(shutdown.started_at))
            })
        });
    }

    /// Counts and logs that the connection of a paused run is closed, though it is open.
    pub(super) fn record_given_up_run(&self, key: RequestKey, because: GivenUpBecause) {
        self.metrics.count_given_up_run();
        let router = self.router.borrow();
        if let Some(request) = router.request(key) {
            log_given_up_run(&self.name, self.now(), request, because);
        }
    }

    /// Number of responses that were aborted since the graceful shutdown has started.
    pub fn aborted_while_leaving(&self) -> u32 {
        self.aborted_while_leaving.get()
    }

    /// Number of requests that the exit has cut.
    pub fn cut_requests(&self) -> usize {
        self.cut_requests.borrow().len()
    }

    /// Logs and notes that the exit cuts a request.
    pub(super) fn record_cut_request(&self, key: RequestKey) {
        let router = self.router.borrow();
        if let (Some(shutdown), Some(request)) = (router.shutdown(), router.request(key)) {
            self.note_cut(shutdown, request);
        }
    }

    fn note_cut(&self, shutdown: &Shutdown, request: &Request) {
        self.cut_requests.borrow_mut().insert(request.id.clone());
        log_cut_request(&self.name, self.now(), request, shutdown.started_at);
    }

    /// Logs the requests that the exit of the process cuts: those that are open, and those of
    /// `unread` whose response is complete, but not read by its caller.
    pub fn log_cut_requests(&self, unread: Vec<CompactString>) {
        let router = self.router.borrow();
        let Some(shutdown) = router.shutdown() else { return };
        router.requests().for_each(|request| self.note_cut(shutdown, request));
        for id in unread {
            if self.cut_requests.borrow_mut().insert(id.clone()) {
                log_unread_response(&self.name, &id);
            }
        }
    }

    /// Logs and counts what the retry budgets have decided.
    pub(super) fn log_budget_notices(&self) {
        let notices = self.router.borrow_mut().take_budget_notices();
        for notice in notices {
            self.metrics.count_budgeted_sends(&notice);
            log_budget_notice(&self.name, &notice);
        }
    }

    /// Starts the cleanups that the router asks for and wakes the waiting requests that are
    /// runnable now.
    pub(super) fn start_cleanups_and_wake(self: &Rc<Self>) {
        let cleanups = self.router.borrow_mut().take_cleanups();
        for cleanup in cleanups {
            if !self.router.borrow_mut().permit_cleanup(self.now(), &cleanup) {
                spdlog::info!("clean-up-skipped", kv: {
                    instance: = self.name,
                    upstream: = cleanup.held().target.id,
                    detail = "the upstream is at its rate limit"
                });
                continue;
            }
            let dispatcher = self.clone();
            tokio::task::spawn_local(
                async move { dispatcher.upstream_client.clean_up(cleanup).await },
            );
        }
        self.check_runs();
        self.log_budget_notices();
        self.crash_log.wake(&self.router.borrow());
        self.log_suspect_changes();
        let runnable = self.router.borrow_mut().take_runnable();
        let waiting = self.waiting.borrow();
        for key in runnable {
            if let Some(wakeup) = waiting.get(&key) {
                wakeup.notify_one();
            }
        }
    }
}

/// Value in log lines for a rate limit that is not there.
const UNLIMITED: f64 = -1.0;

/// Refusal of a request whose task ended without a response.
fn task_ended_refusal() -> Refusal {
    Refusal::with_outcome(RefusalReason::UpstreamLost, crate::outcome::Outcome::Unknown)
}
