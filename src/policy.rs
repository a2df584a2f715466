//! The decisions: admission, placement, fair share, retries and ejection.
//!
//! Plain structs and functions. Time and randomness are passed in.

pub mod admission;
pub mod baseline;
pub mod ejection;
pub mod fair;
pub mod placement;
pub mod prefix;
pub mod queue;
pub mod retry;
pub mod subset;
pub mod view;

/// Which way of routing is used. The baselines are kept for comparison.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// Decode reserved before prefill, placement by cost, admission.
    #[default]
    Reserve,
    /// Each upstream in turn, no admission.
    RoundRobin,
    /// The lowest reported load, no admission.
    LeastLoaded,
    /// Prefill first, then look for decode, placement by cost, admission.
    PrefillFirst,
}

impl PolicyKind {
    /// True if a decode slot is reserved before the prefill starts.
    pub fn reserves_before_prefill(self) -> bool {
        self == Self::Reserve
    }

    /// True if requests are refused when the target cannot be met.
    pub fn has_admission_control(self) -> bool {
        matches!(self, Self::Reserve | Self::PrefillFirst)
    }
}
