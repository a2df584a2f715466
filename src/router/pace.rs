//! Pace of each engine: how long it takes for a prompt token and between two events.
//!
//! Each estimate starts with the figure of the service and returns to it as its samples age.
//! Samples count by their logarithm and only within a band around the estimate, so that one
//! bad response changes little, while a lasting change shows after a few samples.

use std::time::Duration;

use crate::router::Router;
use crate::router::configuration::Engine;
use crate::router::request::RequestKey;
use crate::router::upstreams::UpstreamKey;

/// Time in which the weight of the samples halves while none is added.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Largest factor between a sample and the estimate that it changes; what is beyond counts as
/// this much.
const MAX_SAMPLE_FACTOR: f64 = 2.0;
/// Smaller relative differences from the service's figure are noise and count as none.
const NOISE_BAND: f64 = 0.2;
/// Weight of the service's figure in the pace of events, in events.
const EVENT_PRIOR_WEIGHT: f64 = 4.0;
/// Largest weight of the samples of the pace of events, in events.
const MAX_EVENT_WEIGHT: f64 = 16.0;
/// Weight of the service's figure in the pace of prefills, in prefills.
const PREFILL_PRIOR_WEIGHT: f64 = 0.5;
/// Largest weight of the samples of the pace of prefills, in prefills.
const MAX_PREFILL_WEIGHT: f64 = 3.0;
/// Weight of a prefill that took longer than estimated: it may have waited in the queue.
const SLOWER_PREFILL_WEIGHT: f64 = 0.5;

/// Pace of an engine at its two kinds of work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    /// Seconds between two events of a stream.
    event: Estimate,
    /// Seconds for a prompt token, without a queue.
    prefill: Estimate,
}

/// Average of the logarithms of samples, with their weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Estimate {
    mean_ln_s: f64,
    weight: f64,
    updated_at: Duration,
}

impl Pace {
    /// Records the interval between two events. `service_s` is the service's figure, in
    /// seconds.
    pub fn record_event(&mut self, now: Duration, interval: Duration, service_s: f64) {
        let estimate = self.event.expected_ln(now, service_s, EVENT_PRIOR_WEIGHT);
        let sample = clipped_ln(interval.as_secs_f64(), estimate);
        self.event.add(now, sample, 1.0, MAX_EVENT_WEIGHT);
    }

    /// Records a prefill that took `s_per_token` for each prompt token, the wait included.
    /// `service_s` is the service's figure, in seconds.
    pub fn record_prefill(&mut self, now: Duration, s_per_token: f64, service_s: f64) {
        let estimate = self.prefill.expected_ln(now, service_s, PREFILL_PRIOR_WEIGHT);
        let sample = clipped_ln(s_per_token, estimate);
        let weight = if sample > estimate { SLOWER_PREFILL_WEIGHT } else { 1.0 };
        self.prefill.add(now, sample, weight, MAX_PREFILL_WEIGHT);
    }

    /// Time between two events in proportion to the service's figure: 2 at an engine that
    /// takes twice as long, exactly 1 within the noise.
    pub fn event_factor(&self, now: Duration, service_s: f64) -> f64 {
        factor(self.event.expected_ln(now, service_s, EVENT_PRIOR_WEIGHT), service_s)
    }

    /// Time for a prompt token in proportion to the service's figure, likewise.
    pub fn prefill_factor(&self, now: Duration, service_s: f64) -> f64 {
        factor(self.prefill.expected_ln(now, service_s, PREFILL_PRIOR_WEIGHT), service_s)
    }
}

impl Estimate {
    /// Logarithm of the expected time in seconds.
    fn expected_ln(&self, now: Duration, prior_s: f64, prior_weight: f64) -> f64 {
        let weight = self.weight_at(now);
        (self.mean_ln_s * weight + prior_s.ln() * prior_weight) / (weight + prior_weight)
    }

    fn weight_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.weight * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn add(&mut self, now: Duration, sample_ln_s: f64, sample_weight: f64, max_weight: f64) {
        let previous = self.weight_at(now).min(max_weight - sample_weight);
        self.weight = previous + sample_weight;
        self.mean_ln_s += (sample_ln_s - self.mean_ln_s) * sample_weight / self.weight;
        self.updated_at = now;
    }
}

fn clipped_ln(sample_s: f64, estimate_ln_s: f64) -> f64 {
    let largest_step = MAX_SAMPLE_FACTOR.ln();
    let sample_ln_s = sample_s.max(f64::MIN_POSITIVE).ln();
    sample_ln_s.clamp(estimate_ln_s - largest_step, estimate_ln_s + largest_step)
}

fn factor(expected_ln_s: f64, service_s: f64) -> f64 {
    let ln_factor = expected_ln_s - service_s.ln();
    if ln_factor.abs() <= NOISE_BAND.ln_1p() { 1.0 } else { ln_factor.exp() }
}

impl Router {
    /// Records the time between two events of a request's stream for the engine that runs it.
    pub(super) fn record_event_pace(&mut self, now: Duration, key: RequestKey, interval: Duration) {
        let Some(request) = self.requests.get(key) else { return };
        let Some(engine) = request.current.as_ref().map(|engine| engine.key) else { return };
        let time = self.engine_time.entry(request.service.clone()).or_default();
        time.record_typical_event(interval);
        let service_s = time.typical_event_s();
        if let Some(engine) = self.upstreams.get_mut(engine) {
            engine.pace.record_event(now, interval, service_s);
        }
    }

    /// Records that an engine prefilled a prompt of `tokens` tokens in `elapsed`, the wait
    /// included. Short prompts say little about its pace.
    pub(super) fn record_prefill_pace(
        &mut self,
        now: Duration,
        key: UpstreamKey,
        tokens: u32,
        elapsed: Duration,
    ) {
        let Some(engine) = self.upstreams.get_mut(key) else { return };
        let time = self.engine_time.entry(engine.listed.service.clone()).or_default();
        if !time.record_typical_prefill(tokens, elapsed) {
            return;
        }
        let service_s = time.typical_prefill_s();
        let s_per_token = elapsed.as_secs_f64() / f64::from(tokens);
        engine.pace.record_prefill(now, s_per_token, service_s);
    }

    /// Time that the expected output of a request takes at an engine of the service's pace;
    /// zero without a prompt.
    pub(super) fn typical_output_time(&self, now: Duration, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let Some((prompt, engine)) = request.prompt.zip(request.engine()) else {
            return Duration::ZERO;
        };
        let tokens = prompt.output_hint.unwrap_or_else(|| prompt.expected_output_tokens());
        self.output_time(now, &request.service, &engine, tokens)
    }

    /// Time that this many output tokens take at an engine of the service's pace.
    pub(super) fn output_time(
        &self,
        now: Duration,
        service: &str,
        engine: &Engine,
        tokens: u32,
    ) -> Duration {
        let events = f64::from(tokens) / f64::from(engine.tokens_per_event.max(1));
        Duration::from_secs_f64(events * self.typical_event_s(now, service))
    }

    /// Time between two events at an engine of usual pace, in seconds: the mean over the
    /// engines, however often each is used.
    pub(super) fn typical_event_s(&self, now: Duration, service: &str) -> f64 {
        let time = self.engine_time.get(service).copied().unwrap_or_default();
        let estimates = self.upstreams.service_upstreams(service).map(|(_, each)| each.pace.event);
        mean_s(now, estimates, time.typical_event_s(), EVENT_PRIOR_WEIGHT)
    }

    /// Time for a prompt token at an engine of usual pace, in seconds, likewise.
    pub(super) fn typical_prefill_s(&self, now: Duration, service: &str) -> f64 {
        let time = self.engine_time.get(service).copied().unwrap_or_default();
        let estimates =
            self.upstreams.service_upstreams(service).map(|(_, each)| each.pace.prefill);
        mean_s(now, estimates, time.typical_prefill_s(), PREFILL_PRIOR_WEIGHT)
    }
}

/// Geometric mean of the estimates by their weights, with a prior.
fn mean_s(
    now: Duration,
    estimates: impl Iterator<Item = Estimate>,
    prior_s: f64,
    prior_weight: f64,
) -> f64 {
    let prior = (prior_s.ln() * prior_weight, prior_weight);
    let (sum, weight) = estimates.fold(prior, |(sum, weight), estimate| {
        let added = estimate.weight_at(now);
        (sum + estimate.mean_ln_s * added, weight + added)
    });
    (sum / weight).exp()
}
