//! Records what happens to each request of a replay, as seen by callers and
//! simulated upstreams, checks the invariants and computes the summary.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::clock::as_ms;
use crate::entry::ResponsePart;
use crate::manifest::Snapshot;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::replay::trace::Event;
use crate::replay::trace::Trace;

/// Longest time from arrival to refusal that still counts as refused at once.
const IMMEDIATE_REFUSAL: Duration = Duration::from_millis(10);
/// Largest ratio of late intervals to tokens at which a complete response still counts
/// as within its targets.
const MAX_LATE_SHARE: f64 = 0.05;
const PERCENT: f64 = 100.0;
const P50: f64 = 50.0;
const P95: f64 = 95.0;

/// What was observed of one request.
#[derive(Debug, Clone, Default)]
struct RequestRecord {
    arrived_at: Duration,
    is_call: bool,
    /// True if the entry that handled the request was lost.
    entry_lost: bool,
    caller_disconnected: bool,
    /// Time of the first token; for a call, the time of its response.
    first_token_at: Option<Duration>,
    last_token_at: Option<Duration>,
    tokens: u32,
    /// Number of intervals between two tokens that exceeded the target.
    late_intervals: u32,
    /// Number of final parts of the response that reached the caller; at most 1, because
    /// any part after it is recorded as a violation instead.
    final_parts: u32,
    /// True if the response is complete.
    finished: bool,
    refusal: Option<Refusal>,
    /// Time from arrival to refusal.
    refused_after: Option<Duration>,
    /// Number of prefills or calls that finished at an upstream.
    executions: u32,
    /// Prompt tokens computed for the request, over all attempts.
    prefilled_tokens: u64,
    /// Prompt tokens of the first prefill result that a decode engine imported.
    useful_tokens: u64,
}

/// Records the events of a replay and computes its [`Summary`].
#[derive(Debug)]
pub struct SummaryBuilder {
    records: Vec<RequestRecord>,
    /// Length of the complete response for each line of the trace; 0 for calls and faults.
    expected_tokens: Vec<u32>,
    /// Target for the time to the first token: the shortest of all models.
    first_token_target: Duration,
    /// Target for the time between two tokens: the shortest of all models.
    between_tokens_target: Duration,
    duration: Duration,
    refusals: BTreeMap<String, u64>,
    retries: BTreeMap<String, u64>,
    violations: Vec<String>,
    intervals_ms: Histogram<u64>,
}

/// Result of a replay, as printed by `bamboodoor replay`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// Number of generation requests in the trace whose complete response has at least one
    /// token.
    pub drafts: u64,
    /// Number of generation requests that were not refused with the outcome `not-run`.
    /// Requests whose caller disconnected or whose entry was lost do not count.
    pub admitted: u64,
    /// Number of admitted requests whose response is complete.
    pub whole: u64,
    /// Percentage of the admitted requests with a complete response within both latency
    /// targets: for the first token, and for all but 5 % of the times between tokens.
    pub within_targets_percent: f64,
    /// Like `within_targets_percent`, but only of requests that arrived 10 s or more
    /// after the last fault; of all admitted requests if there was no fault.
    pub settled_within_targets_percent: f64,
    /// Complete responses that met both latency targets, per second of the trace.
    pub goodput_per_s: f64,
    /// Percentage of the computed prompt tokens that led to no complete response. If the
    /// caller disconnected or the entry was lost, an imported result is not wasted.
    pub wasted_prefill_percent: f64,
    /// Median time from the arrival of an admitted request to its first token.
    pub first_token_p50_ms: u64,
    /// 95th percentile of the time from the arrival of an admitted request to its first
    /// token.
    pub first_token_p95_ms: u64,
    /// 95th percentile of the time between two tokens, over all responses.
    pub between_tokens_p95_ms: u64,
    /// Number of calls to plain services, without those whose entry was lost.
    pub calls: u64,
    /// Number of calls whose response reached the caller.
    pub calls_answered: u64,
    /// 95th percentile of the time from a call to its response.
    pub call_p95_ms: u64,
    /// Percentage of the refusals of generation requests that were sent within 10 ms
    /// of the arrival.
    pub refused_at_once_percent: f64,
    /// Longest time from the arrival of a generation request to its refusal.
    pub refusal_max_ms: u64,
    /// Number of refusals of generation requests and calls, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of retries of generation requests and calls, by reason.
    pub retries: BTreeMap<String, u64>,
    /// Number of streams and imported KV caches that engines still held at the end;
    /// more than 0 shows a leak, or a request in flight when the replay stopped.
    pub held_at_end: u64,
    /// Violated invariants, one message each; empty if all held.
    pub violations: Vec<String>,
}

impl SummaryBuilder {
    /// Creates a builder for the summary of a replay of `trace`, with no events recorded.
    pub fn new(trace: &Trace, snapshot: &Snapshot) -> Self {
        let target = |pick: fn(&crate::schema::manifest::Model) -> u32| {
            let targets = snapshot.manifest.models.iter().map(pick);
            Duration::from_millis(targets.min().unwrap_or_default().into())
        };
        let expected = |line: &crate::replay::trace::Line| match &line.event {
            Event::Generate(generate) => generate.output_tokens.min(generate.max_tokens),
            _ => 0,
        };
        Self {
            records: vec![RequestRecord::default(); trace.lines.len()],
            expected_tokens: trace.lines.iter().map(expected).collect(),
            first_token_target: target(|model| model.first_token_target_ms),
            between_tokens_target: target(|model| model.between_tokens_target_ms),
            duration: Duration::from_millis(trace.header.duration_ms),
            refusals: BTreeMap::new(),
            retries: BTreeMap::new(),
            violations: Vec::new(),
            intervals_ms: Histogram::new(3).expect("3 significant digits are a valid precision"),
        }
    }

    /// Records the arrival of a request, which is a call or a generation request.
    pub fn request_arrived(&mut self, request: usize, now: Duration, is_call: bool) {
        self.records[request].arrived_at = now;
        self.records[request].is_call = is_call;
    }

    /// Records that the entry that handled the request was lost.
    pub fn entry_lost(&mut self, request: usize) {
        self.records[request].entry_lost = true;
    }

    /// Records that the caller disconnected.
    pub fn caller_disconnected(&mut self, request: usize) {
        self.records[request].caller_disconnected = true;
    }

    /// Records a finished prefill that computed `tokens` prompt tokens.
    pub fn prefill_finished(&mut self, request: usize, tokens: u32) {
        self.records[request].prefilled_tokens += u64::from(tokens);
        self.records[request].executions += 1;
    }

    /// Records that a decode engine imported a prefill result for which `tokens`
    /// prompt tokens were computed. Only the first import counts as useful.
    pub fn import_finished(&mut self, request: usize, tokens: u32) {
        let record = &mut self.records[request];
        if record.useful_tokens == 0 {
            record.useful_tokens = u64::from(tokens);
        }
    }

    /// Records that a plain service ran a call, and a violation if a call that is not
    /// idempotent ran twice.
    pub fn call_executed(&mut self, request: usize, idempotent: bool) {
        self.records[request].executions += 1;
        if !idempotent && self.records[request].executions > 1 {
            self.violations.push(format!("request {request}: ran more than once"));
        }
    }

    /// Counts a retry under its reason.
    pub fn retried(&mut self, reason: String) {
        *self.retries.entry(reason).or_default() += 1;
    }

    /// Records a part of the response that reached the caller, and a violation if it
    /// came after the final part or tokens came out of order.
    pub fn part_sent(&mut self, request: usize, now: Duration, part: &ResponsePart) {
        let record = &mut self.records[request];
        if record.final_parts > 0 {
            self.violations.push(format!("request {request}: answered after its end"));
            return;
        }
        match part {
            ResponsePart::Token { index, .. } => {
                if *index != record.tokens {
                    self.violations.push(format!("request {request}: index {index} out of order"));
                }
                record.tokens += 1;
                record.first_token_at.get_or_insert(now);
                if let Some(last) = record.last_token_at.replace(now) {
                    let interval = now.saturating_sub(last);
                    self.intervals_ms.saturating_record(as_ms(interval));
                    record.late_intervals += u32::from(interval > self.between_tokens_target);
                }
            }
            ResponsePart::Finished { .. } | ResponsePart::Reply(_) => {
                record.final_parts += 1;
                record.finished = true;
                record.first_token_at.get_or_insert(now);
            }
            ResponsePart::Refused(refusal) => {
                record.final_parts += 1;
                record.refusal = Some(refusal.clone());
                record.refused_after = Some(now.saturating_sub(record.arrived_at));
                *self.refusals.entry(refusal.reason.to_string()).or_default() += 1;
            }
        }
    }

    /// Checks the invariants that can be checked only at the end of the replay.
    fn check(&mut self) {
        for (request, record) in self.records.iter().enumerate() {
            let refused_not_run =
                record.refusal.as_ref().is_some_and(|refusal| refusal.outcome == Outcome::NotRun);
            if refused_not_run && record.executions > 0 {
                self.violations.push(format!("request {request}: refused as not run, but it ran"));
            }
            let expected = self.expected_tokens[request];
            if record.finished && !record.is_call && record.tokens != expected {
                let tokens = record.tokens;
                self.violations.push(format!("request {request}: {tokens} tokens of {expected}"));
            }
        }
    }

    fn is_within_targets(&self, record: &RequestRecord) -> bool {
        let first = record.first_token_at.map(|at| at.saturating_sub(record.arrived_at));
        let in_time = first.is_some_and(|first| first <= self.first_token_target);
        let smooth = f64::from(record.late_intervals) <= f64::from(record.tokens) * MAX_LATE_SHARE;
        record.finished && in_time && smooth
    }

    /// Checks the remaining invariants and computes the summary.
    ///
    /// `fault_at` is the time of the last fault, `recovery_time` the time allowed for
    /// recovery after it, and `held` the number of streams and imported KV caches that
    /// engines still hold.
    pub fn into_summary(
        mut self,
        fault_at: Option<Duration>,
        recovery_time: Duration,
        held: usize,
    ) -> Summary {
        self.check();
        let is_counted =
            |record: &&RequestRecord| !record.entry_lost && !record.caller_disconnected;
        let generated: Vec<&RequestRecord> = self
            .records
            .iter()
            .zip(&self.expected_tokens)
            .filter(|(_, tokens)| **tokens > 0)
            .map(|(record, _)| record)
            .collect();
        let admitted: Vec<&RequestRecord> = generated
            .iter()
            .copied()
            .filter(is_counted)
            .filter(|record| {
                !record.refusal.as_ref().is_some_and(|refusal| refusal.outcome == Outcome::NotRun)
            })
            .collect();
        let good = admitted.iter().filter(|record| self.is_within_targets(record)).count();
        let recovered: Vec<&RequestRecord> = admitted
            .iter()
            .copied()
            .filter(|record| fault_at.is_none_or(|at| record.arrived_at >= at + recovery_time))
            .collect();
        let recovered_good =
            recovered.iter().filter(|record| self.is_within_targets(record)).count();
        let prefilled: u64 = generated.iter().map(|record| record.prefilled_tokens).sum();
        let useful: u64 = generated
            .iter()
            .filter(|record| record.finished || record.entry_lost || record.caller_disconnected)
            .map(|record| record.useful_tokens)
            .sum();
        let first = histogram(admitted.iter().filter_map(|record| time_to_first_token(record)));
        let refused = histogram(generated.iter().filter_map(|record| record.refused_after));
        let at_once = generated.iter().filter_map(|record| record.refused_after);
        let at_once = at_once.filter(|after| *after <= IMMEDIATE_REFUSAL).count();
        let calls: Vec<&RequestRecord> =
            self.records.iter().filter(|record| record.is_call && !record.entry_lost).collect();
        let call_times = histogram(
            calls
                .iter()
                .filter(|record| record.finished)
                .filter_map(|record| time_to_first_token(record)),
        );
        Summary {
            drafts: generated.len() as u64,
            admitted: admitted.len() as u64,
            whole: admitted.iter().filter(|record| record.finished).count() as u64,
            within_targets_percent: percent(good, admitted.len()),
            settled_within_targets_percent: percent(recovered_good, recovered.len()),
            goodput_per_s: good as f64 / self.duration.as_secs_f64(),
            wasted_prefill_percent: percent(
                (prefilled - useful.min(prefilled)) as usize,
                prefilled as usize,
            ),
            first_token_p50_ms: first.value_at_percentile(P50),
            first_token_p95_ms: first.value_at_percentile(P95),
            between_tokens_p95_ms: self.intervals_ms.value_at_percentile(P95),
            calls: calls.len() as u64,
            calls_answered: calls.iter().filter(|record| record.finished).count() as u64,
            call_p95_ms: call_times.value_at_percentile(P95),
            refused_at_once_percent: percent(at_once, refused.len() as usize),
            refusal_max_ms: refused.max(),
            refusals: self.refusals,
            retries: self.retries,
            held_at_end: held as u64,
            violations: self.violations,
        }
    }
}

fn time_to_first_token(record: &RequestRecord) -> Option<Duration> {
    record.first_token_at.map(|at| at.saturating_sub(record.arrived_at))
}

fn percent(part: usize, whole: usize) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 * PERCENT / whole as f64 }
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("3 significant digits are a valid precision");
    for time in times {
        histogram.saturating_record(as_ms(time));
    }
    histogram
}
