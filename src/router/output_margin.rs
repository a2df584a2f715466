//! Margin of the memory that is reserved for the output of model requests.
//!
//! Callers' estimates of the output length are often too low, and engines whose
//! memory runs out preempt streams. How often that happens depends on the lengths
//! and on the load of a deployment, so the margin is learned from the streams that
//! stall: it grows with each one and shrinks with each stream that does not, so
//! that their share approaches a small target.

use std::time::Duration;

use crate::router::request::Prompt;

/// Share of the streams that may stall.
const TARGET_STALLED_SHARE: f64 = 0.02;
/// Relative growth of the margin after a stalled stream.
const STALL_GROWTH: f64 = 0.15;
/// Factor until streams have ended.
const INITIAL_FACTOR: f64 = 1.2;
const MIN_FACTOR: f64 = 0.8;
/// With this factor nearly every request reserves its largest output.
const MAX_FACTOR: f64 = 8.0;

/// Pause of a stream that was longer than its route allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamStall {
    /// Time between the two events.
    pub interval: Duration,
    /// Factor of the service's margin after the stall.
    pub margin_factor: f64,
}

/// Factor on the expected output of the requests of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutputMargin {
    factor: f64,
}

impl Default for OutputMargin {
    fn default() -> Self {
        Self { factor: INITIAL_FACTOR }
    }
}

impl OutputMargin {
    /// Factor on the expected output.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Records that a stream paused for longer than its route allows.
    pub fn record_stalled(&mut self) {
        self.factor = (self.factor * (1.0 + STALL_GROWTH)).min(MAX_FACTOR);
    }

    /// Records that a stream ended without such a pause.
    pub fn record_steady(&mut self) {
        let shrink = STALL_GROWTH * TARGET_STALLED_SHARE / (1.0 - TARGET_STALLED_SHARE);
        self.factor = (self.factor * (1.0 - shrink)).max(MIN_FACTOR);
    }

    /// Prompt and output tokens to reserve for at an engine whose memory holds
    /// `kv_tokens` tokens: at most all of it, if it is known (not 0), and at most
    /// the largest output.
    pub fn reserved_tokens(&self, prompt: &Prompt, kv_tokens: u32) -> u32 {
        let output = f64::from(prompt.expected_output_tokens()) * self.factor;
        let output = output.min(f64::from(prompt.max_output_tokens)) as u32;
        let tokens = prompt.tokens.saturating_add(output);
        if kv_tokens == 0 { tokens } else { tokens.min(kv_tokens) }
    }
}
