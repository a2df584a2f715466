//! Wakeup timer of an actor: fires at the time at which the actor's core next has
//! something to do.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;

/// Handle that sets the next wakeup time. The timer task ends when it is dropped.
#[derive(Debug)]
pub struct WakeupTimer {
    next: watch::Sender<Duration>,
}

impl WakeupTimer {
    /// Replaces the next wakeup time with `at`, read on the clock passed to [`spawn`].
    /// A time in the past fires at once; setting the same time again has no effect.
    pub fn schedule(&self, at: Duration) {
        self.next.send_if_modified(|next| {
            let moved = *next != at;
            *next = at;
            moved
        });
    }
}

/// Starts a task that calls `wake` once at each scheduled time. The first time is due
/// immediately, unless another is scheduled before the task runs.
///
/// The task ends when the token is cancelled or `wake` returns false.
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
