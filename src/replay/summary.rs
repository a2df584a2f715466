//! What came of each request, as the callers and the fakes saw it, and the
//! invariants that hold on every replay.

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

const AT_ONCE: Duration = Duration::from_millis(10);
const LATE_SHARE: f64 = 0.05;
const PERCENT: f64 = 100.0;
const P50: f64 = 50.0;
const P95: f64 = 95.0;

#[derive(Debug, Clone, Default)]
struct Seen {
    arrived: Duration,
    is_call: bool,
    lost: bool,
    gone: bool,
    first_token: Option<Duration>,
    last_token: Option<Duration>,
    tokens: u32,
    late_gaps: u32,
    finals: u32,
    finished: bool,
    refusal: Option<Refusal>,
    refused_after: Option<Duration>,
    runs: u32,
    prefilled_tokens: u64,
    useful_tokens: u64,
}

/// Collects what callers and fakes see.
#[derive(Debug)]
pub struct SummaryBuilder {
    seen: Vec<Seen>,
    expected_tokens: Vec<u32>,
    first_token_target: Duration,
    between_target: Duration,
    duration: Duration,
    refusals: BTreeMap<String, u64>,
    retries: BTreeMap<String, u64>,
    violations: Vec<String>,
    gaps_ms: Histogram<u64>,
}

/// What came of a trace.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// Requests for generated answers.
    pub drafts: u64,
    /// Of them, taken up.
    pub admitted: u64,
    /// Of them, answered whole.
    pub whole: u64,
    /// Of the admitted, in percent: within both targets.
    pub within_targets_percent: f64,
    /// The same, of those that arrived 10 s or more after the last fault.
    pub settled_within_targets_percent: f64,
    /// Whole answers within both targets, a second.
    pub goodput_per_s: f64,
    /// Prefill tokens that no answer came of, in percent of all.
    pub wasted_prefill_percent: f64,
    /// Time to the first token, in the middle and for 95 in 100.
    pub first_token_p50_ms: u64,
    /// See above.
    pub first_token_p95_ms: u64,
    /// Time between tokens for 95 in 100.
    pub between_tokens_p95_ms: u64,
    /// Calls to plain services.
    pub calls: u64,
    /// Of them, answered.
    pub calls_answered: u64,
    /// Time to the answer of a call for 95 in 100.
    pub call_p95_ms: u64,
    /// Refusals given within 10 ms of the arrival, in percent of all.
    pub refused_at_once_percent: f64,
    /// Longest time to a refusal.
    pub refusal_max_ms: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Retries by reason.
    pub retries: BTreeMap<String, u64>,
    /// Streams still held at the end.
    pub held_at_end: u64,
    /// Invariants that did not hold.
    pub violations: Vec<String>,
}

impl SummaryBuilder {
    /// A summary of a trace.
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
            seen: vec![Seen::default(); trace.lines.len()],
            expected_tokens: trace.lines.iter().map(expected).collect(),
            first_token_target: target(|model| model.first_token_target_ms),
            between_target: target(|model| model.between_tokens_target_ms),
            duration: Duration::from_millis(trace.header.duration_ms),
            refusals: BTreeMap::new(),
            retries: BTreeMap::new(),
            violations: Vec::new(),
            gaps_ms: Histogram::new(3).expect("is a valid precision"),
        }
    }

    /// A request arrived.
    pub fn arrived(&mut self, request: usize, now: Duration, is_call: bool) {
        self.seen[request].arrived = now;
        self.seen[request].is_call = is_call;
    }

    /// The entry that held the request is gone.
    pub fn lost(&mut self, request: usize) {
        self.seen[request].lost = true;
    }

    /// The caller went away.
    pub fn caller_gone(&mut self, request: usize) {
        self.seen[request].gone = true;
    }

    /// An engine computed prefill tokens.
    pub fn prefilled(&mut self, request: usize, tokens: u32) {
        self.seen[request].prefilled_tokens += u64::from(tokens);
        self.seen[request].runs += 1;
    }

    /// A prefill result reached a decode engine.
    pub fn imported(&mut self, request: usize, tokens: u32) {
        let seen = &mut self.seen[request];
        if seen.useful_tokens == 0 {
            seen.useful_tokens = u64::from(tokens);
        }
    }

    /// A plain service ran a call.
    pub fn ran(&mut self, request: usize, idempotent: bool) {
        self.seen[request].runs += 1;
        if !idempotent && self.seen[request].runs > 1 {
            self.violations.push(format!("request {request}: ran more than once"));
        }
    }

    /// A try was counted again.
    pub fn retried(&mut self, reason: String) {
        *self.retries.entry(reason).or_default() += 1;
    }

    /// Something reached the caller.
    pub fn answered(&mut self, request: usize, now: Duration, answer: &ResponsePart) {
        let seen = &mut self.seen[request];
        if seen.finals > 0 {
            self.violations.push(format!("request {request}: answered after its end"));
            return;
        }
        match answer {
            ResponsePart::Token { index, .. } => {
                if *index != seen.tokens {
                    self.violations.push(format!("request {request}: index {index} out of order"));
                }
                seen.tokens += 1;
                seen.first_token.get_or_insert(now);
                if let Some(last) = seen.last_token.replace(now) {
                    let gap = now.saturating_sub(last);
                    self.gaps_ms.saturating_record(as_ms(gap));
                    seen.late_gaps += u32::from(gap > self.between_target);
                }
            }
            ResponsePart::Finished { .. } | ResponsePart::Reply(_) => {
                seen.finals += 1;
                seen.finished = true;
                seen.first_token.get_or_insert(now);
            }
            ResponsePart::Refused(refusal) => {
                seen.finals += 1;
                seen.refusal = Some(refusal.clone());
                seen.refused_after = Some(now.saturating_sub(seen.arrived));
                *self.refusals.entry(refusal.reason.to_string()).or_default() += 1;
            }
        }
    }

    fn check(&mut self) {
        for (request, seen) in self.seen.iter().enumerate() {
            let refused_not_run =
                seen.refusal.as_ref().is_some_and(|refusal| refusal.outcome == Outcome::NotRun);
            if refused_not_run && seen.runs > 0 {
                self.violations.push(format!("request {request}: refused as not run, but it ran"));
            }
            let expected = self.expected_tokens[request];
            if seen.finished && !seen.is_call && seen.tokens != expected {
                let tokens = seen.tokens;
                self.violations.push(format!("request {request}: {tokens} tokens of {expected}"));
            }
        }
    }

    fn is_within_targets(&self, seen: &Seen) -> bool {
        let first = seen.first_token.map(|at| at.saturating_sub(seen.arrived));
        let in_time = first.is_some_and(|first| first <= self.first_token_target);
        let smooth = f64::from(seen.late_gaps) <= f64::from(seen.tokens) * LATE_SHARE;
        seen.finished && in_time && smooth
    }

    /// Adds everything up. `fault_at` is the time of the last fault.
    pub fn into_summary(
        mut self,
        fault_at: Option<Duration>,
        settle: Duration,
        held: usize,
    ) -> Summary {
        self.check();
        let counted = |seen: &&Seen| !seen.lost && !seen.gone;
        let drafts: Vec<&Seen> = self
            .seen
            .iter()
            .zip(&self.expected_tokens)
            .filter(|(_, tokens)| **tokens > 0)
            .map(|(seen, _)| seen)
            .collect();
        let admitted: Vec<&Seen> = drafts
            .iter()
            .copied()
            .filter(counted)
            .filter(|seen| {
                !seen.refusal.as_ref().is_some_and(|refusal| refusal.outcome == Outcome::NotRun)
            })
            .collect();
        let good = admitted.iter().filter(|seen| self.is_within_targets(seen)).count();
        let settled: Vec<&Seen> = admitted
            .iter()
            .copied()
            .filter(|seen| fault_at.is_none_or(|at| seen.arrived >= at + settle))
            .collect();
        let settled_good = settled.iter().filter(|seen| self.is_within_targets(seen)).count();
        let prefilled: u64 = drafts.iter().map(|seen| seen.prefilled_tokens).sum();
        let useful: u64 = drafts
            .iter()
            .filter(|seen| seen.finished || seen.lost || seen.gone)
            .map(|seen| seen.useful_tokens)
            .sum();
        let first = histogram(admitted.iter().filter_map(|seen| first_token(seen)));
        let refused = histogram(drafts.iter().filter_map(|seen| seen.refused_after));
        let at_once = drafts.iter().filter_map(|seen| seen.refused_after);
        let at_once = at_once.filter(|after| *after <= AT_ONCE).count();
        let calls: Vec<&Seen> =
            self.seen.iter().filter(|seen| seen.is_call && !seen.lost).collect();
        let call_times = histogram(
            calls.iter().filter(|seen| seen.finished).filter_map(|seen| first_token(seen)),
        );
        Summary {
            drafts: drafts.len() as u64,
            admitted: admitted.len() as u64,
            whole: admitted.iter().filter(|seen| seen.finished).count() as u64,
            within_targets_percent: percent(good, admitted.len()),
            settled_within_targets_percent: percent(settled_good, settled.len()),
            goodput_per_s: good as f64 / self.duration.as_secs_f64(),
            wasted_prefill_percent: percent(
                (prefilled - useful.min(prefilled)) as usize,
                prefilled as usize,
            ),
            first_token_p50_ms: first.value_at_percentile(P50),
            first_token_p95_ms: first.value_at_percentile(P95),
            between_tokens_p95_ms: self.gaps_ms.value_at_percentile(P95),
            calls: calls.len() as u64,
            calls_answered: calls.iter().filter(|seen| seen.finished).count() as u64,
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

fn first_token(seen: &Seen) -> Option<Duration> {
    seen.first_token.map(|at| at.saturating_sub(seen.arrived))
}

fn percent(part: usize, whole: usize) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 * PERCENT / whole as f64 }
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("is a valid precision");
    for time in times {
        histogram.saturating_record(as_ms(time));
    }
    histogram
}
