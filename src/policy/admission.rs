//! Admission control: whether a request can meet its latency target, and when
//! to retry if not.

use std::time::Duration;

use crate::clock::from_ms;

const PERCENT: u32 = 100;
/// Shortest `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Predicted durations of the phases of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Prediction {
    /// Time until a decode slot is free.
    pub decode_wait: Duration,
    /// Time until the prefill result has reached the decode engine.
    pub prefill: Duration,
    /// Duration of the first decode step.
    pub first_step: Duration,
}

impl Prediction {
    /// Predicted time to the first token: the sum of all phases.
    pub fn first_token(&self) -> Duration {
        self.decode_wait + self.prefill + self.first_step
    }
}

/// Decision on whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request can meet its target.
    Admit,
    /// The request cannot meet its target and is refused.
    Refuse {
        /// Predicted time until enough work has been done to admit the request.
        retry_after: Duration,
    },
}

/// Part of the latency target that a prediction may use up, given in percent.
pub fn usable_target(target: Duration, percent: u32) -> Duration {
    target * percent / PERCENT
}

/// Admits a request if its prediction is within `percent` of the latency
/// target.
pub fn admit(prediction: &Prediction, target: Duration, percent: u32) -> Admission {
    let excess = prediction.first_token().saturating_sub(usable_target(target, percent));
    if excess.is_zero() {
        return Admission::Admit;
    }
    Admission::Refuse { retry_after: excess.max(MIN_RETRY_AFTER) }
}

/// Predicted time to the first token as a share of the usable target; 1.0 is
/// all of it, and it may be exceeded.
pub fn pressure(prediction: &Prediction, target: Duration, percent: u32) -> f64 {
    let usable_target = usable_target(target, percent).max(from_ms(1_u32));
    prediction.first_token().as_secs_f64() / usable_target.as_secs_f64()
}
