//! Time for which a response waits for its upstream once the exit has begun to cut.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which a response waits for its upstream then, over all waits: what the upstream has
/// sent is passed on.
const LAST_WAITS: Duration = Duration::from_millis(100);
/// Longest part of that time that a standstill of the process uses up.
const STEP: Duration = Duration::from_millis(20);

/// What is left of that time for one response.
pub(super) struct LastWaits {
    left: Duration,
}

impl Default for LastWaits {
    fn default() -> Self {
        Self { left: LAST_WAITS }
    }
}

impl LastWaits {
    /// Completes when the time is used up, which passes from the cancellation on while this is
    /// polled.
    pub(super) async fn used_up(&mut self, cutting: &CancellationToken) {
        cutting.cancelled().await;
        while !self.left.is_zero() {
            let _step = WaitStep { left: &mut self.left, since: Instant::now() };
            sleep(STEP).await;
        }
    }
}

/// Takes a wait off the time that is left when it is dropped.
struct WaitStep<'a> {
    left: &'a mut Duration,
    since: Instant,
}

impl Drop for WaitStep<'_> {
    fn drop(&mut self) {
        *self.left = self.left.saturating_sub(self.since.elapsed().min(STEP));
    }
}
