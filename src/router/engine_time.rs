//! Engine time that requests take, as this entry has sample it.

use std::time::Duration;

use crate::router::request::Prompt;

const PREFILL_TIME_SMOOTHING: f64 = 0.1;
/// Assumed until the first prefill has ended.
const INITIAL_PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(20);

/// Smoothed time of a prefill.
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
    /// A prompt of `tokens` elapsed that long, its wait included.
    pub fn observe(&mut self, tokens: u32, elapsed: Duration) {
        let sample = elapsed.as_secs_f64() / f64::from(tokens.max(1));
        self.s_per_token += PREFILL_TIME_SMOOTHING * (sample - self.s_per_token);
    }

    /// Expected time of a prompt of `tokens`.
    pub fn expected(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.s_per_token * f64::from(tokens))
    }
}

/// Requests that are remembered, about.
const SAMPLE_WINDOW_REQUESTS: f64 = 400.0;
/// Requests previous the share is known.
const MIN_SAMPLE_REQUESTS: f64 = 100.0;
/// Prompts below this say little about the speed of an engine.
const MIN_PROMPT_TOKENS: u32 = 2_000;

/// Engine time that the requests of a service take.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineTimeStats {
    min_prefill_s_per_token: Option<f64>,
    /// Of the requests that arrived.
    prompt_tokens: f64,
    /// Of the requests that arrived: share of an engine's memory, times output.
    memory_weighted_output_tokens: f64,
    requests: f64,
    /// Of the requests that ended.
    output_tokens: f64,
    output_s: f64,
}

impl EngineTimeStats {
    /// A request arrived.
    pub fn record_arrival(&mut self, prompt: &Prompt, kv_tokens: u32) {
        let decay = 1.0 - 1.0 / SAMPLE_WINDOW_REQUESTS;
        let output = f64::from(prompt.expected_output_tokens());
        let share = f64::from(prompt.expected_tokens()) / f64::from(kv_tokens.max(1));
        self.prompt_tokens = self.prompt_tokens * decay + f64::from(prompt.tokens);
        self.memory_weighted_output_tokens =
            self.memory_weighted_output_tokens * decay + share * output;
        self.requests = self.requests * decay + 1.0;
    }

    /// A prompt was prefilled. The fastest one tells what an engine needs
    /// without a queue.
    pub fn record_prefill(&mut self, tokens: u32, elapsed: Duration) {
        if tokens >= MIN_PROMPT_TOKENS {
            let sample = elapsed.as_secs_f64() / f64::from(tokens);
            let fastest = self.min_prefill_s_per_token.map_or(sample, |known| known.min(sample));
            self.min_prefill_s_per_token = Some(fastest);
        }
    }

    /// Time that a prompt needs without a queue, once it is known.
    pub fn prefill_time(&self, tokens: u32) -> Option<Duration> {
        let s_per_token = self.min_prefill_s_per_token?;
        Some(Duration::from_secs_f64(s_per_token * f64::from(tokens)))
    }

    /// The output of a request elapsed so long.
    pub fn record_decode(&mut self, prompt: &Prompt, elapsed: Duration) {
        let decay = 1.0 - 1.0 / SAMPLE_WINDOW_REQUESTS;
        self.output_tokens =
            self.output_tokens * decay + f64::from(prompt.expected_output_tokens());
        self.output_s = self.output_s * decay + elapsed.as_secs_f64();
    }

    /// Share of the engine time that prefills take, once it is known.
    pub fn prefill_share(&self) -> Option<f64> {
        let s_per_token =
            self.min_prefill_s_per_token.filter(|_| self.requests >= MIN_SAMPLE_REQUESTS)?;
        let prefill_s = self.prompt_tokens * s_per_token;
        let decode_s =
            self.memory_weighted_output_tokens * self.output_s / self.output_tokens.max(1.0);
        let total_s = prefill_s + decode_s;
        (decode_s > 0.0).then(|| prefill_s / total_s)
    }
}

const WAIT_SMOOTHING: f64 = 0.5;
/// A wait that was sample so long ago says nothing any more.
const WAIT_SAMPLE_LIFETIME: Duration = Duration::from_millis(1_000);

/// The wait previous a prefill at one engine. Other entries send there, too: what
/// this entry's own prefills met is the freshest sign of it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWaitEstimate {
    wait_s: f64,
    sampled_at: Duration,
}

impl PrefillWaitEstimate {
    /// A prefill waited so long.
    pub fn observe(&mut self, now: Duration, wait: Duration) {
        let previous = self.expected(now).as_secs_f64();
        self.wait_s = previous + WAIT_SMOOTHING * (wait.as_secs_f64() - previous);
        self.sampled_at = now;
    }

    /// The wait to expect; it fades with the age of what was sample.
    pub fn expected(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let fresh = (1.0 - age / WAIT_SAMPLE_LIFETIME.as_secs_f64()).max(0.0);
        Duration::from_secs_f64(self.wait_s * fresh)
    }
}
