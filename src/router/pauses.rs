//! Streams whose engine is silent while its connection stays open.
//!
//! A sound engine may pause and go on, and so may many streams at once. The paused run is
//! therefore kept while another engine is sought, until that engine is ready to decode. The
//! stream goes on with whichever is ready first; without a replacement it waits for the
//! paused run, until its deadline.

use std::time::Duration;

use crate::router::Router;
use crate::router::flow::Step;
use crate::router::generate::SENDS_PER_RUN;
use crate::router::request::Phase;
use crate::router::request::Request;
use crate::router::request::RequestKey;

/// Idle timeout of a stream that another engine may resume, as a multiple of
/// the route's longest interval between two events.
const RESUME_IDLE_INTERVALS: u32 = 2;
/// How long a request that engines have already worked on may wait for a new
/// reservation. Callers abort an idle stream after a little more than
/// this.
const STARTED_REQUEST_MAX_WAIT: Duration = Duration::from_millis(3_000);

impl Request {
    /// Pause after which a replacement of the run is sought; `None` if the stream may
    /// not have another run.
    fn idle_timeout(&self) -> Option<Duration> {
        let replaceable = self.route().resumable && self.allows_another_run();
        replaceable.then(|| RESUME_IDLE_INTERVALS * self.max_event_interval())
    }

    /// How long a request that engines have already worked on waits for a
    /// reservation. Beside a paused run the wait is short, as it keeps others
    /// waiting and can be repeated.
    pub(super) fn max_replacement_wait(&self) -> Duration {
        let idle_timeout = self.idle_timeout().filter(|_| self.paused_run.is_some());
        idle_timeout.unwrap_or(STARTED_REQUEST_MAX_WAIT)
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
        request.excluded.push(engine.key);
        let replaceable = request.idle_timeout().is_some();
        let service = request.service.clone();
        self.upstreams.record_failure(now, engine.key);
        if !replaceable || !self.budget(&service).allows(now, SENDS_PER_RUN) {
            return self.relay_stream(key);
        }
        let request = &mut self.requests[key];
        request.paused_run = Some(engine);
        request.replacement_unpaid = true;
        self.queue_for_reservation(now, key)
    }

    /// Ends the search for a replacement and returns to the paused run. Aborts the
    /// response if there is none.
    pub(super) fn return_to_paused_run(&mut self, key: RequestKey) -> Step {
        self.leave_reservation_queue(key);
        self.uncount_prefill(key);
        let request = &mut self.requests[key];
        let Some(engine) = request.paused_run.take() else { return Step::Abort };
        if let Some(reservation) = &request.reservation {
            self.upstreams.give_back_permit(reservation.target.key);
        }
        request.replacement_unpaid = false;
        request.excluded.clear();
        request.phase = Phase::Relaying;
        request.current = Some(engine.clone());
        let held = request.take_cleanups();
        self.cleanups.extend(held);
        self.count_open(key, &engine);
        self.relay_stream(key)
    }

    /// Takes the sends of a run that replaces a paused one out of the retry budget.
    /// Returns false, and takes none, if the budget forbids it.
    pub(super) fn pay_for_replacement(&mut self, now: Duration, key: RequestKey) -> bool {
        let request = &mut self.requests[key];
        if !std::mem::take(&mut request.replacement_unpaid) {
            return true;
        }
        let service = request.service.clone();
        self.budget(&service).try_spend(now, SENDS_PER_RUN)
    }

    /// Records that the connection of a paused run was lost while a replacement is
    /// sought. The search goes on.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn record_lost_paused_run(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        request.may_have_run = true;
        request.paused_run = None;
    }
}
