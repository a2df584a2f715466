//! The clock, passed in as an interface so that tests own the time.

use std::time::Duration;
use std::time::Instant;

/// Source of the time since some fixed start.
pub trait Clock: Send + Sync + 'static {
    /// Time since the start of the clock. Never goes back.
    fn now(&self) -> Duration;
}

/// The monotonic clock of the machine.
#[derive(Debug, Clone)]
pub struct MonotonicClock {
    start: Instant,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// The clock of the machine that goes on while it is suspended, so that a lease
/// is known to have run out when the machine wakes.
#[derive(Debug, Clone)]
pub struct BootClock {
    start: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        Self { start: since_boot() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Whole milliseconds of a duration, for fields that carry `_ms`.
pub fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Whole milliseconds of a duration, capped to what a 32-bit field holds.
pub fn as_ms_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// A duration of `ms` milliseconds.
pub fn from_ms(ms: impl Into<u64>) -> Duration {
    Duration::from_millis(ms.into())
}
