//! Whether a request can meet its target, and when to come back if not.

use std::time::Duration;

use crate::clock::from_ms;

const PERCENT: u32 = 100;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What is predicted for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Prediction {
    /// Until a decode slot is free.
    pub decode_wait: Duration,
    /// Until the prefill result has reached the decode engine.
    pub prefill: Duration,
    /// The first decode step.
    pub step: Duration,
}

impl Prediction {
    /// Predicted time to the first token.
    pub fn first_token(&self) -> Duration {
        self.decode_wait + self.prefill + self.step
    }
}

/// Whether the request is taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It can meet its target.
    Admit,
    /// It cannot; come back after this time.
    Refuse {
        /// Predicted time until the excess has drained.
        retry_after: Duration,
    },
}

/// The part of the target that the prediction may use up.
pub fn usable_target(target: Duration, percent: u32) -> Duration {
    target * percent / PERCENT
}

/// Compares a prediction with the usable_target part of the target.
pub fn admit(prediction: &Prediction, target: Duration, percent: u32) -> Admission {
    let excess = prediction.first_token().saturating_sub(usable_target(target, percent));
    if excess.is_zero() {
        return Admission::Admit;
    }
    Admission::Refuse { retry_after: excess.max(MIN_RETRY_AFTER) }
}

/// How much of the target the prediction uses, 1.0 being all of it.
pub fn pressure(prediction: &Prediction, target: Duration, percent: u32) -> f64 {
    let usable_target = usable_target(target, percent).max(from_ms(1_u32));
    prediction.first_token().as_secs_f64() / usable_target.as_secs_f64()
}
