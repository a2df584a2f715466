//! Streams whose engine counts as lost while its connection stays open; see
//! [`liveness`](crate::router::liveness).
//!
//! It may still go on, and so may many streams at once. The paused run is therefore kept while
//! another engine is sought, until that engine responds. The stream goes on with whichever is
//! ready first; without a replacement it waits for the paused run, until its deadline.
//!
//! The search is one round of reservation requests outside the queue, so that streams that
//! wait for silent engines do not keep new requests waiting.

use std::time::Duration;

use crate::router::Router;
use crate::router::flow::Step;
use crate::router::prefilling::MAX_PREFILLS;
use crate::router::request::Phase;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::reserving::STARTED_REQUEST_MAX_WAIT;

/// Silence after which the engine of a stream is asked for a sign of life, if another one may
/// resume the stream, as a multiple of the route's longest interval between two events.
const RESUME_IDLE_INTERVALS: u32 = 2;
/// Pause between two searches for a replacement of the same paused run.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which a paused run is kept after its replacement was sent, in case
/// that the replacement is rejected.
pub const MAX_RUN_OVERLAP: Duration = Duration::from_millis(200);

impl Request {
    /// Pause after which the engine is asked for a sign of life; `None` if the stream may
    /// not have another run.
    fn idle_timeout(&self) -> Option<Duration> {
        let replaceable =
            self.route().resumable && self.allows_another_run() && self.prefills < MAX_PREFILLS;
        let idle_timeout = self.longest_pause();
        let idle_timeout = if self.replacement_sought { SEARCH_INTERVAL } else { idle_timeout };
        replaceable.then_some(idle_timeout)
    }

    /// Pause that does not count as silence of the engine yet.
    fn longest_pause(&self) -> Duration {
        RESUME_IDLE_INTERVALS * self.max_event_interval()
    }
}

impl Router {
    /// Returns the step that relays a stream.
    pub(super) fn relay_stream(&self, key: RequestKey) -> Step {
        Step::Relay { idle_timeout: self.requests[key].idle_timeout() }
    }

    /// Looks for an engine that replaces a paused run, if the limits on runs and the
    /// retry budget permit one.
    pub(super) fn stream_paused(
        &mut self,
        now: Duration,
        key: RequestKey,
        last_event: Option<u64>,
    ) -> Step {
        let request = &mut self.requests[key];
        request.last_event = last_event.or(request.last_event);
        let Some(engine) = request.current.clone() else { return Step::Abort };
        let first_search = !std::mem::replace(&mut request.replacement_sought, true);
        let replaceable = request.idle_timeout().is_some();
        if first_search {
            self.upstreams.record_failure(now, engine.key);
        }
        if !replaceable || !self.hold_retry(now, key) {
            return self.relay_stream(key);
        }
        let request = &mut self.requests[key];
        request.excluded.push(engine.key);
        request.paused_run = Some(engine);
        request.phase = Phase::Reserving;
        request.reservation_deadline = now + request.longest_pause();
        self.seek_replacement(now, key)
    }

    /// Asks the next engine to replace the paused run, or returns to that run once the
    /// time for the search is over.
    pub(super) fn seek_replacement(&mut self, now: Duration, key: RequestKey) -> Step {
        if now >= self.reservation_deadline(key) {
            return self.return_to_paused_run(now, key);
        }
        self.reserve_at_next_engine(now, key)
    }

    /// The paused run goes on: its engine is sound.
    pub(super) fn stream_resumed(&mut self, now: Duration, key: RequestKey) -> Step {
        if let Some(engine) = self.requests[key].paused_run.clone() {
            self.upstreams.record_success(now, engine.key);
        }
        self.requests[key].replacement_sought = false;
        self.return_to_paused_run(now, key)
    }

    /// Ends the search for a replacement and returns to the paused run. Aborts the
    /// response if there is none.
    pub(super) fn return_to_paused_run(&mut self, now: Duration, key: RequestKey) -> Step {
        self.leave_reservation_queue(key);
        self.uncount_prefill(key);
        let request = &mut self.requests[key];
        let reserved_at = request.reservation.as_ref().map(|held| held.target.key);
        request.excluded.clear();
        let held = request.take_cleanups();
        let paused_run = request.paused_run.take();
        self.release_retries(now, key);
        self.release_prefill(now, key);
        if let Some(engine) = reserved_at {
            self.upstreams.give_back_permit(engine);
        }
        self.cleanups.extend(held);
        let Some(engine) = paused_run else { return Step::Abort };
        let request = &mut self.requests[key];
        request.phase = Phase::Relaying;
        request.current = Some(engine.clone());
        self.count_open(key, &engine);
        self.relay_stream(key)
    }

    /// Records that a paused run has ended, because its connection was lost or because
    /// its replacement was sent [`MAX_RUN_OVERLAP`] ago. A search goes on, as for a stream
    /// that was interrupted.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn end_paused_run(&mut self, now: Duration, key: RequestKey) {
        let request = &mut self.requests[key];
        request.may_have_run = true;
        request.last_event_at = None;
        request.paused_run = None;
        request.reservation_deadline = now + STARTED_REQUEST_MAX_WAIT;
        if request.phase == Phase::Reserving {
            let service = request.service.clone();
            self.reservation_queues.entry(service).or_default().push_front(key);
        }
    }
}
