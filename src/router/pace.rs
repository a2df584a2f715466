//! How fast the engines of a service prefill, as this entry has seen it.

use std::time::Duration;

const SMOOTHING: f64 = 0.1;
/// Assumed until the first prefill has ended.
const FIRST_GUESS_PER_TOKEN: Duration = Duration::from_micros(30);

/// Smoothed time of a prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillPace {
    per_token_s: f64,
}

impl Default for PrefillPace {
    fn default() -> Self {
        Self { per_token_s: FIRST_GUESS_PER_TOKEN.as_secs_f64() }
    }
}

impl PrefillPace {
    /// A prompt of `tokens` took that long, its wait included.
    pub fn observe(&mut self, tokens: u32, took: Duration) {
        let seen = took.as_secs_f64() / f64::from(tokens.max(1));
        self.per_token_s += SMOOTHING * (seen - self.per_token_s);
    }

    /// Expected time of a prompt of `tokens`.
    pub fn expected(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.per_token_s * f64::from(tokens))
    }
}
