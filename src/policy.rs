//! Routing policies: admission, placement, fair share, retries, outlier ejection,
//! and the choice of the agents that an entry connects to.
//!
//! They are plain structs and functions without I/O; time and randomness are
//! passed in.

pub mod admission;
pub mod agents;
pub mod baseline;
pub mod ejection;
pub mod fair;
pub mod placement;
pub mod prefix;
pub mod quota;
pub mod retry;
pub mod slot_wait;
pub mod subset;

/// Routing policy of an entry. The baselines are kept for comparison.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// Reserves a decode slot before the prefill, places by cost, and refuses
    /// requests that would miss their target.
    #[default]
    Reserve,
    /// Baseline: takes the upstreams in turn and admits every request.
    RoundRobin,
    /// Baseline: takes the upstream with the lowest reported load and admits
    /// every request.
    LeastLoaded,
    /// Prefills first and then looks for a decode slot, places by cost, and
    /// refuses requests that would miss their target.
    PrefillFirst,
}

impl PolicyKind {
    /// True if a decode slot is reserved before the prefill starts.
    pub fn reserves_before_prefill(self) -> bool {
        self == Self::Reserve
    }

    /// True if requests are refused when their latency target cannot be met.
    pub fn has_admission_control(self) -> bool {
        matches!(self, Self::Reserve | Self::PrefillFirst)
    }
}
