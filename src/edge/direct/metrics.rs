//! Counters, gauges and histograms of an entry, encoded as OpenMetrics text.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::logs::dropped_lines;
use crate::outcome::Refusal;
use crate::router::Target;
use crate::router::connection_limits::CallerWait;
use crate::router::follow::Feed;
use crate::router::liveness::EngineAnswer;
use crate::router::retry_budgets::BudgetNotice;
use crate::router::slow_start::SlowStartCause;
use crate::router::upstream_notice::RateLimitNotice;

/// Upper bound of the first histogram bucket, in seconds; each next bound is twice as high.
const FIRST_BUCKET_S: f64 = 0.005;
const BUCKET_COUNT: u16 = 13;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreReadLabels {
    feed: String,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RateLimitLabels {
    limit: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EraLabels {
    era: &'static str,
}

/// What a response of the store says about its era, if it is not the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreEraResult {
    /// It has risen: the store came back from an older copy.
    Risen,
    /// It is lower than the known one.
    Fell,
    /// It cannot be parsed.
    Invalid,
}

/// What became of a batch of claims on quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum QuotaClaimResult {
    /// It was appended to the log.
    Appended,
    /// The call failed; the batch may be in the log.
    Failed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QuotaClaimLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabels {
    version: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    answer: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BudgetLabels {
    decision: &'static str,
}

/// Metrics of an entry, with their registry.
pub struct Metrics {
    registry: Registry,
    refused: Family<RefusalLabels, Counter>,
    retried: Family<ReasonLabels, Counter>,
    failed: Family<ReasonLabels, Counter>,
    aborted: Family<ReasonLabels, Counter>,
    given_up_runs: Counter,
    invalid_events: Family<ReasonLabels, Counter>,
    asked_engines: Family<AnswerLabels, Counter>,
    answered: Family<StatusLabels, Counter>,
    steps: Family<KindLabels, Counter>,
    store_reads: Family<StoreReadLabels, Counter>,
    store_eras: Family<EraLabels, Counter>,
    quota_claims: Family<QuotaClaimLabels, Counter>,
    rate_limit_notices: Family<RateLimitLabels, Counter>,
    continued_streams: Family<VersionLabels, Counter>,
    budgeted_sends: Family<BudgetLabels, Counter>,
    leaving_upstreams: Counter,
    slow_starts: Family<CauseLabels, Counter>,
    turned_away: Counter,
    connections_timed_out: Family<WaitLabels, Counter>,
    first_part: Family<KindLabels, Histogram>,
    step_duration: Family<KindLabels, Histogram>,
    open_requests: Gauge,
    upstreams: Gauge,
    generation: Gauge,
    dropped_lines: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("bamboodoor"),
            refused: Family::default(),
            retried: Family::default(),
            failed: Family::default(),
            aborted: Family::default(),
            given_up_runs: Counter::default(),
            invalid_events: Family::default(),
            asked_engines: Family::default(),
            answered: Family::default(),
            steps: Family::default(),
            store_reads: Family::default(),
            store_eras: Family::default(),
            quota_claims: Family::default(),
            rate_limit_notices: Family::default(),
            continued_streams: Family::default(),
            budgeted_sends: Family::default(),
            leaving_upstreams: Counter::default(),
            slow_starts: Family::default(),
            turned_away: Counter::default(),
            connections_timed_out: Family::default(),
            first_part: Family::new_with_constructor(histogram),
            step_duration: Family::new_with_constructor(histogram),
            open_requests: Gauge::default(),
            upstreams: Gauge::default(),
            generation: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("refused", "Requests given up on", self.refused.clone());
        registry.register("retried", "Steps tried again, by cause", self.retried.clone());
        registry.register("failed", "Steps that came to nothing", self.failed.clone());
        let help = "Responses aborted after their head was sent, by the last failure";
        registry.register("aborted", help, self.aborted.clone());
        let help = "Runs whose open connection was closed for a replacement";
        registry.register("given_up_runs", help, self.given_up_runs.clone());
        let help = "Parts of streams that are no event of their run, by reason";
        registry.register("invalid_events", help, self.invalid_events.clone());
        let help = "Engines with a silent stream that were asked for a sign of life";
        registry.register("asked_engines", help, self.asked_engines.clone());
        registry.register("answered", "Answers of upstreams passed on", self.answered.clone());
        registry.register("steps", "Exchanges with upstreams begun", self.steps.clone());
        registry.register("store_reads", "Reads of the platform's store", self.store_reads.clone());
        let help = "Changes of the era that the platform's store names";
        registry.register("store_eras", help, self.store_eras.clone());
        let help = "Batches of claims on the pools of quotas";
        registry.register("quota_claims", help, self.quota_claims.clone());
        let help = "Responses of upstreams, by what they say of a rate limit";
        registry.register("rate_limit_notices", help, self.rate_limit_notices.clone());
        let help = "Interrupted streams that continued, by the version of the new engine";
        registry.register("continued_streams", help, self.continued_streams.clone());
        let help = "Sends beyond the first of a request, by what the retry budget decided";
        registry.register("budgeted_sends", help, self.budgeted_sends.clone());
        let help = "Upstreams that said in a response that they are leaving";
        registry.register("leaving_upstreams", help, self.leaving_upstreams.clone());
        let help = "Slow starts of upstreams begun, by cause";
        registry.register("slow_starts", help, self.slow_starts.clone());
        let help = "Requests that upstreams turned away with a time to stay away";
        registry.register("turned_away", help, self.turned_away.clone());
        let help = "Connections of callers closed at a time limit, by what they waited for";
        registry.register("connections_timed_out", help, self.connections_timed_out.clone());
        let unit = Unit::Seconds;
        let help = "From arrival to the head of the answer";
        registry.register_with_unit("first_part", help, unit, self.first_part.clone());
        let unit = Unit::Seconds;
        registry.register_with_unit("step", "Time of a step", unit, self.step_duration.clone());
        registry.register("open_requests", "Requests in flight", self.open_requests.clone());
        registry.register("upstreams", "Upstreams in the list", self.upstreams.clone());
        registry.register("generation", "Version in force", self.generation.clone());
        registry.register("log_lines_dropped", "Lines lost", self.dropped_lines.clone());
    }

    /// Counts a refused request by reason and outcome.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let labels =
            RefusalLabels { reason: refusal.reason.into(), outcome: refusal.outcome.into() };
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts a batch of claims on quotas.
    pub fn count_quota_claim(&self, result: QuotaClaimResult) {
        self.quota_claims.get_or_create(&QuotaClaimLabels { result: result.into() }).inc();
    }

    /// Counts a failed step after which the request continues with another step.
    pub fn count_retry(&self, reason: impl ToString) {
        self.retried.get_or_create(&ReasonLabels { reason: reason.to_string() }).inc();
    }

    /// Counts a failed step by the reason of the failure.
    pub fn count_failure(&self, reason: impl ToString) {
        self.failed.get_or_create(&ReasonLabels { reason: reason.to_string() }).inc();
    }

    /// Counts a response that is aborted after its head was sent, by the reason of the last
    /// failure.
    pub fn count_aborted(&self, reason: impl ToString) {
        self.aborted.get_or_create(&ReasonLabels { reason: reason.to_string() }).inc();
    }

    /// Counts a call that asked an engine for a sign of life, by what came of it.
    pub fn count_asked_engine(&self, answer: EngineAnswer) {
        self.asked_engines.get_or_create(&AnswerLabels { answer: answer.into() }).inc();
    }

    /// Counts a run whose open connection is closed for a replacement.
    pub fn count_given_up_run(&self) {
        self.given_up_runs.inc();
    }

    /// Counts a part of a stream that is no event of its run.
    pub fn count_invalid_event(&self, invalid: InvalidEvent) {
        self.invalid_events.get_or_create(&ReasonLabels { reason: invalid.to_string() }).inc();
    }

    /// Records a response of an upstream whose head is relayed `elapsed` after the
    /// arrival of the request. `kind` is `generated` or `plain`.
    pub fn record_response(&self, status: u16, kind: &'static str, elapsed: Duration) {
        self.answered.get_or_create(&StatusLabels { status }).inc();
        self.first_part.get_or_create(&KindLabels { kind }).observe(elapsed.as_secs_f64());
    }

    /// Records a finished step of the given kind and its duration.
    pub fn record_step(&self, kind: &'static str, elapsed: Duration) {
        self.steps.get_or_create(&KindLabels { kind }).inc();
        self.step_duration.get_or_create(&KindLabels { kind }).observe(elapsed.as_secs_f64());
    }

    /// Counts a read of a feed from the store, by whether the store could be reached.
    pub fn count_store_read(&self, feed: Feed, reached: bool) {
        let result = if reached { "reached" } else { "failed" };
        self.store_reads.get_or_create(&StoreReadLabels { feed: feed.to_string(), result }).inc();
    }

    /// Counts a change of the era that responses of the store name.
    pub fn count_store_era(&self, result: StoreEraResult) {
        self.store_eras.get_or_create(&EraLabels { era: result.into() }).inc();
    }

    /// Counts a response of an upstream by what it says of the upstream's rate limit.
    pub fn count_rate_limit_notice(&self, notice: RateLimitNotice) {
        let limit = match notice {
            RateLimitNotice::Named(_) => "named",
            RateLimitNotice::Absent => "absent",
            RateLimitNotice::Invalid => "invalid",
        };
        self.rate_limit_notices.get_or_create(&RateLimitLabels { limit }).inc();
    }

    /// Counts an upstream that said in a response that it is leaving.
    pub fn count_leaving_upstream(&self) {
        self.leaving_upstreams.inc();
    }

    /// Counts the sends that a retry budget decided on.
    pub fn count_budgeted_sends(&self, notice: &BudgetNotice) {
        let labels = BudgetLabels { decision: notice.decision.into() };
        self.budgeted_sends.get_or_create(&labels).inc();
    }

    /// Counts an upstream that starts slowly.
    pub fn count_slow_start(&self, cause: SlowStartCause) {
        self.slow_starts.get_or_create(&CauseLabels { cause: cause.into() }).inc();
    }

    /// Counts a request that an upstream turned away with a time to stay away.
    pub fn count_turned_away(&self) {
        self.turned_away.inc();
    }

    /// Counts a caller's connection that was closed at a time limit.
    pub fn count_timed_out_connection(&self, wait: CallerWait) {
        self.connections_timed_out.get_or_create(&WaitLabels { reason: wait.into() }).inc();
    }

    /// Returns the number of callers' connections that were closed at this time limit.
    pub fn timed_out_connections(&self, wait: CallerWait) -> u64 {
        self.connections_timed_out.get_or_create(&WaitLabels { reason: wait.into() }).get()
    }

    /// Counts a stream that continues at an engine, by whether the engine has the software
    /// version at which the stream began.
    pub fn count_continuation(&self, begun_version: Option<&str>, target: &Target) {
        let version = match begun_version {
            None => "unknown",
            Some(begun) if begun == target.version => "same",
            Some(_) => "other",
        };
        self.continued_streams.get_or_create(&VersionLabels { version }).inc();
    }

    /// Encodes all metrics as OpenMetrics text, with these values for the gauges: requests
    /// in flight, listed upstreams, and version of the configuration in force.
    pub fn encode(&self, open_requests: usize, upstreams: usize, generation: u64) -> String {
        self.open_requests.set(open_requests as i64);
        self.upstreams.set(upstreams as i64);
        self.generation.set(generation as i64);
        self.dropped_lines.set(dropped_lines() as i64);
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("encoding into a string does not fail");
        text
    }
}
