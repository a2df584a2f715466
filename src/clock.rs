//! Clocks behind a trait, so that tests control the time, and conversions between
//! durations and milliseconds.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A monotonic clock that counts from an arbitrary fixed start.
pub trait Clock: Send + Sync + 'static {
    /// Time since the start of the clock. Never decreases.
    fn now(&self) -> Duration;
}

/// The system's monotonic clock, counted from the creation of this value.
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

/// The system's boot-time clock, counted from the creation of this value. It also counts
/// the time while the machine is suspended, so a lease that ends in that time has expired
/// when the machine resumes.
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

/// Converts a duration to whole milliseconds, rounded down, for fields whose names
/// end in `_ms`.
pub fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Converts a duration to whole milliseconds, rounded down and capped at `u32::MAX`.
pub fn as_ms_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Converts milliseconds to a duration.
pub fn from_ms(ms: impl Into<u64>) -> Duration {
    Duration::from_millis(ms.into())
}

/// Returns the time of day as the time since the Unix epoch; zero before it. It may jump.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
