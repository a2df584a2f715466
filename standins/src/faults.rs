//! Switches, delays and pauses by which a test injects faults into a stand-in while it runs.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

/// Switch of a fault, initially off.
#[derive(Debug, Default)]
pub struct Switch(AtomicBool);

impl Switch {
    /// Turns the switch on or off.
    pub fn set(&self, on: bool) {
        self.0.store(on, Ordering::SeqCst);
    }

    /// True if the switch is on.
    pub fn is_on(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Turns the switch off and returns whether it was on, for a fault that happens once.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::SeqCst)
    }
}

/// Adjustable delay in whole milliseconds, initially zero.
#[derive(Debug, Default)]
pub struct Delay(AtomicU64);

impl Delay {
    /// Sets the delay, rounded down to milliseconds, for all later waits.
    pub fn set(&self, delay: Duration) {
        self.0.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Waits for the delay that is set when the wait starts.
    pub async fn wait(&self) {
        let ms = self.0.load(Ordering::SeqCst);
        if ms > 0 {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }
}

/// Pause of a stand-in, initially none. It may be started again while it lasts.
#[derive(Debug, Default)]
pub struct Pause {
    until: Mutex<Option<Instant>>,
    ended: Notify,
}

impl Pause {
    /// Pauses from `now` on for `duration`, but never shortens a pause.
    pub fn start(&self, now: Instant, duration: Duration) {
        let mut until = self.until.lock().expect("the mutex is not poisoned");
        *until = (*until).max(Some(now + duration));
    }

    /// Ends the pause.
    pub fn end(&self) {
        *self.until.lock().expect("the mutex is not poisoned") = None;
        self.ended.notify_waiters();
    }

    /// Waits until no pause is left, also not one that starts during the wait.
    pub async fn wait(&self) {
        loop {
            let ended = self.ended.notified();
            let until = *self.until.lock().expect("the mutex is not poisoned");
            let Some(until) = until.filter(|until| Instant::now() < *until) else { return };
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = ended => {}
            }
        }
    }
}
