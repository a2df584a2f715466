//! Switches for faults, set by tests while a stand-in runs.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A switch that is off at first.
#[derive(Debug, Default)]
pub struct Switch(AtomicBool);

impl Switch {
    /// Turns the switch on or off.
    pub fn set(&self, on: bool) {
        self.0.store(on, Ordering::SeqCst);
    }

    /// True if it is on.
    pub fn is_on(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Turns it off, and tells if it was on: a fault that happens once.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::SeqCst)
    }
}

/// A delay, zero at first.
#[derive(Debug, Default)]
pub struct Delay(AtomicU64);

impl Delay {
    /// Sets the delay.
    pub fn set(&self, delay: Duration) {
        self.0.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Waits for as long as the delay is set to.
    pub async fn wait(&self) {
        let ms = self.0.load(Ordering::SeqCst);
        if ms > 0 {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }
}
