//! Wakes an actor when its core wants to be called again.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;

/// Tells the ticker when to wake the actor next.
#[derive(Debug)]
pub struct WakeupTimer {
    next: watch::Sender<Duration>,
}

impl WakeupTimer {
    /// Moves the next wakeup to `at`, by the clock of the core.
    pub fn schedule(&self, at: Duration) {
        self.next.send_if_modified(|next| {
            let moved = *next != at;
            *next = at;
            moved
        });
    }
}

/// Starts a task that calls `wake` whenever the alarm is due.
///
/// The task ends with the token, or when `wake` returns false.
pub fn spawn(
    clock: Arc<dyn Clock>,
    stop: CancellationToken,
    wake: impl Fn() -> bool + Send + 'static,
) -> WakeupTimer {
    let (sender, mut receiver) = watch::channel(Duration::ZERO);
    tokio::spawn(async move {
        loop {
            let due = *receiver.borrow_and_update();
            let wait = due.saturating_sub(clock.now());
            tokio::select! {
                () = stop.cancelled() => return,
                changed = receiver.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(wait) => {
                    if !wake() || receiver.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    });
    WakeupTimer { next: sender }
}
