//! Estimates of the engine time that requests take, from what this entry
//! observed.

use std::time::Duration;

use crate::router::configuration::Engine;
use crate::router::request::Prompt;

/// Weight of a new sample in the moving average of the prefill time.
const PREFILL_TIME_SMOOTHING: f64 = 0.1;
/// Prefill time per token, including the wait for the engine, that is assumed
/// until the first prefill has ended.
const INITIAL_PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(20);

/// Moving average of the prefill time per token, including the wait for the
/// engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillTimeEstimate {
    s_per_token: f64,
}

impl Default for PrefillTimeEstimate {
    fn default() -> Self {
        Self { s_per_token: INITIAL_PREFILL_TIME_PER_TOKEN.as_secs_f64() }
    }
}

impl PrefillTimeEstimate {
    /// Records that the prefill of `tokens` tokens took `elapsed`, wait
    /// included.
    pub fn record(&mut self, tokens: u32, elapsed: Duration) {
        let sample = elapsed.as_secs_f64() / f64::from(tokens.max(1));
        self.s_per_token += PREFILL_TIME_SMOOTHING * (sample - self.s_per_token);
    }

    /// Expected time of a prefill of `tokens` tokens, wait included.
    pub fn expected(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.s_per_token * f64::from(tokens))
    }
}

/// Number of requests after which a sample's weight has fallen to about a
/// third.
const SAMPLE_WINDOW_REQUESTS: f64 = 400.0;
/// Weight of the assumed request, in requests.
const ASSUMED_REQUESTS: f64 = 4.0;
/// Number of events after which a sample's weight has fallen to about a third.
const SAMPLE_WINDOW_EVENTS: f64 = 200.0;
/// Weight of the assumed interval, in events.
const ASSUMED_EVENTS: f64 = 5.0;
/// Weight of the assumed prefill time, in prefills. The fastest of a few may
/// have waited in a queue.
const ASSUMED_PREFILLS: f64 = 4.0;
/// Prefills of shorter prompts say little about the speed of an engine and are
/// not sampled.
const MIN_PROMPT_TOKENS: u32 = 2_000;

/// Weight of a new sample in the moving average of the interval between events.
const TYPICAL_EVENT_SMOOTHING: f64 = 0.002;
/// Weight of a new sample in the moving average of the prefill time.
const TYPICAL_PREFILL_SMOOTHING: f64 = 0.05;
/// Shorter samples count as this long: their logarithm must be finite.
const MIN_SAMPLE_S: f64 = 1e-9;

/// Size of a request and speed of an engine, assumed until real requests were
/// observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssumedRequest {
    /// Number of tokens in the prompt.
    pub prompt_tokens: f64,
    /// Time that an engine needs to prefill one prompt token.
    pub prefill_time_per_token: Duration,
    /// Number of events in the output.
    pub events: f64,
    /// Time between two events.
    pub event_interval: Duration,
}

impl Default for AssumedRequest {
    fn default() -> Self {
        Self {
            prompt_tokens: 5_000.0,
            prefill_time_per_token: Duration::from_micros(18),
            events: 72.0,
            event_interval: Duration::from_millis(47),
        }
    }
}

/// Statistics of the engine time that the requests of a service take. Sums
/// decay with each request, so that the latest ones weigh most.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineTimeStats {
    assumed: AssumedRequest,
    /// Shortest prefill time per token observed, in seconds.
    min_prefill_s_per_token: Option<f64>,
    /// Number of prefills that were sampled.
    prefills: u32,
    /// Decaying number of requests that arrived.
    requests: f64,
    /// Decaying sum of the prompt tokens of requests that arrived.
    prompt_tokens: f64,
    /// Decaying sum over the requests that arrived: expected events, times the
    /// share of an engine's memory that the request takes up.
    memory_weighted_events: f64,
    /// Decaying number of events that were received after another one.
    events: f64,
    /// Decaying sum of the intervals before these events, in seconds.
    event_intervals_s: f64,
    /// Moving average of the logarithm of the interval between two events, in seconds.
    typical_event_ln_s: Option<f64>,
    /// Moving average of the logarithm of the prefill time per token, wait included, in
    /// seconds.
    typical_prefill_ln_s: Option<f64>,
}

impl Default for EngineTimeStats {
    fn default() -> Self {
        Self {
            assumed: AssumedRequest::default(),
            min_prefill_s_per_token: None,
            prefills: 0,
            requests: 0.0,
            prompt_tokens: 0.0,
            memory_weighted_events: 0.0,
            events: 0.0,
            event_intervals_s: 0.0,
            typical_event_ln_s: None,
            typical_prefill_ln_s: None,
        }
    }
}

impl EngineTimeStats {
    /// Records that a request arrived for these engines.
    pub fn record_arrival(&mut self, prompt: &Prompt, engine: &Engine) {
        let decay = 1.0 - 1.0 / SAMPLE_WINDOW_REQUESTS;
        let events =
            f64::from(prompt.expected_output_tokens()) / f64::from(engine.tokens_per_event.max(1));
        let share = f64::from(prompt.expected_tokens()) / f64::from(engine.kv_tokens.max(1));
        self.prompt_tokens = self.prompt_tokens * decay + f64::from(prompt.tokens);
        self.memory_weighted_events = self.memory_weighted_events * decay + share * events;
        self.requests = self.requests * decay + 1.0;
    }

    /// Records that the prefill of `tokens` tokens took `elapsed`. The fastest
    /// one shows what an engine needs without a queue.
    pub fn record_prefill(&mut self, tokens: u32, elapsed: Duration) {
        if tokens >= MIN_PROMPT_TOKENS {
            let sample = elapsed.as_secs_f64() / f64::from(tokens);
            let fastest =
                self.min_prefill_s_per_token.map_or(sample, |previous| previous.min(sample));
            self.min_prefill_s_per_token = Some(fastest);
            self.prefills = self.prefills.saturating_add(1);
        }
    }

    /// Prefill time of `tokens` tokens without a queue; `None` before the first
    /// sample.
    pub fn prefill_time(&self, tokens: u32) -> Option<Duration> {
        let s_per_token = self.min_prefill_s_per_token?;
        Some(Duration::from_secs_f64(s_per_token * f64::from(tokens)))
    }

    /// Records that an event of a stream was received this long after the one
    /// before it.
    pub fn record_event(&mut self, interval: Duration) {
        let decay = 1.0 - 1.0 / SAMPLE_WINDOW_EVENTS;
        self.events = self.events * decay + 1.0;
        self.event_intervals_s = self.event_intervals_s * decay + interval.as_secs_f64();
    }

    /// Records the interval between two events for [`EngineTimeStats::typical_event_s`].
    pub fn record_typical_event(&mut self, interval: Duration) {
        let sample = interval.as_secs_f64().max(MIN_SAMPLE_S).ln();
        self.typical_event_ln_s =
            Some(smoothed(self.typical_event_ln_s, sample, TYPICAL_EVENT_SMOOTHING));
    }

    /// Interval between two events at an engine of usual pace, in seconds.
    pub fn typical_event_s(&self) -> f64 {
        let assumed = self.assumed.event_interval.as_secs_f64();
        self.typical_event_ln_s.map_or(assumed, f64::exp)
    }

    /// Records a prefill for [`EngineTimeStats::typical_prefill_s`]. Returns false, and records
    /// none, if its prompt is too short.
    pub fn record_typical_prefill(&mut self, tokens: u32, elapsed: Duration) -> bool {
        if tokens < MIN_PROMPT_TOKENS {
            return false;
        }
        let sample = (elapsed.as_secs_f64() / f64::from(tokens)).max(MIN_SAMPLE_S).ln();
        self.typical_prefill_ln_s =
            Some(smoothed(self.typical_prefill_ln_s, sample, TYPICAL_PREFILL_SMOOTHING));
        true
    }

    /// Prefill time per token at an engine of usual pace, the usual wait included, in seconds.
    pub fn typical_prefill_s(&self) -> f64 {
        let assumed = self.assumed.prefill_time_per_token.as_secs_f64();
        self.typical_prefill_ln_s.map_or(assumed, f64::exp)
    }

    /// Share of engine time that prefills take, from 0 to 1. The fewer requests
    /// were observed, the more the assumed one weighs.
    pub fn prefill_share(&self, engine: &Engine) -> f64 {
        let assumed_output = self.assumed.events * f64::from(engine.tokens_per_event.max(1));
        let assumed_memory =
            (self.assumed.prompt_tokens + assumed_output) / f64::from(engine.kv_tokens.max(1));
        let assumed_prefill_s = self.assumed.prefill_time_per_token.as_secs_f64();
        let fastest_prefill_s = self.min_prefill_s_per_token.unwrap_or(assumed_prefill_s);
        let prefills = f64::from(self.prefills);
        let prefill_s_per_token = (prefills * fastest_prefill_s
            + ASSUMED_PREFILLS * assumed_prefill_s)
            / (prefills + ASSUMED_PREFILLS);
        let prompt_tokens = self.prompt_tokens + ASSUMED_REQUESTS * self.assumed.prompt_tokens;
        let memory_weighted_events =
            self.memory_weighted_events + ASSUMED_REQUESTS * assumed_memory * self.assumed.events;
        let assumed_intervals_s = ASSUMED_EVENTS * self.assumed.event_interval.as_secs_f64();
        let event_interval_s =
            (self.event_intervals_s + assumed_intervals_s) / (self.events + ASSUMED_EVENTS);
        let prefill_s = prompt_tokens * prefill_s_per_token;
        let decode_s = memory_weighted_events * event_interval_s;
        prefill_s / (prefill_s + decode_s)
    }
}

fn smoothed(average: Option<f64>, sample: f64, weight: f64) -> f64 {
    average.map_or(sample, |average| average + weight * (sample - average))
}

/// Weight of a new sample in the moving average of the wait.
const WAIT_SMOOTHING: f64 = 0.5;
/// Age from which an observed wait counts as zero.
const WAIT_SAMPLE_LIFETIME: Duration = Duration::from_millis(1_000);

/// Estimated wait before a prefill starts at one engine. Other entries send
/// prefills there, too, so the waits of this entry's own prefills are the most
/// recent information on the queue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWaitEstimate {
    wait_s: f64,
    sampled_at: Duration,
}

impl PrefillWaitEstimate {
    /// Records that a prefill waited for `wait`.
    pub fn record(&mut self, now: Duration, wait: Duration) {
        let previous = self.expected(now).as_secs_f64();
        self.wait_s = previous + WAIT_SMOOTHING * (wait.as_secs_f64() - previous);
        self.sampled_at = now;
    }

    /// Expected wait. It decreases linearly to zero with the age of the last
    /// sample.
    pub fn expected(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let fresh = (1.0 - age / WAIT_SAMPLE_LIFETIME.as_secs_f64()).max(0.0);
        Duration::from_secs_f64(self.wait_s * fresh)
    }
}
