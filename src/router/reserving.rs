//! Waiting for room at a decode engine.

use std::time::Duration;

use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::fleet::PoolRole;
use crate::router::flow::Step;
use crate::router::request::Phase;
use crate::router::request::RequestKey;

/// How long a reservation lasts: the prefill and the transfer fit in.
const RESERVATION_TTL: Duration = Duration::from_millis(1_500);
/// An engine answers a reservation within a few milliseconds.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(120);
/// Share of the first-token target that a request may wait for room.
const ROOM_WAIT_SHARE: f64 = 0.5;
/// How long a request that was begun may wait for room to go on: callers give a
/// silent stream up after a little more.
const BEGUN_WAIT: Duration = Duration::from_millis(3_000);
/// Pause between two rounds of asking the engines for room.
const ROOM_POLL: Duration = Duration::from_millis(30);
/// An engine that had no room is not asked again so soon.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Engines asked for room in one round.
const MAX_ASKED: usize = 12;
/// When a refused caller may expect room.
pub(super) const ROOM_RETRY: Duration = Duration::from_millis(4_000);

impl Router {
    pub(super) fn queue_for_room(&mut self, now: Duration, key: RequestKey) -> Step {
        let service = self.requests[key].service.clone();
        self.requests[key].phase = Phase::Reserving;
        let begun = self.requests[key].is_begun();
        let room = self.reservation_queues.entry(service).or_default();
        let wait = self.requests[key].route().latency_target.mul_f64(ROOM_WAIT_SHARE);
        let longest = if begun { BEGUN_WAIT } else { wait };
        self.requests[key].room_deadline = now + longest;
        if !begun && room.expected_wait() > wait {
            // It would be refused after the wait; its caller learns it now.
            return self.refuse_for_room(now, key);
        }
        if begun {
            room.push_front(key);
        } else {
            room.push_back(key);
        }
        self.find_room(now, key)
    }

    pub(super) fn find_room(&mut self, now: Duration, key: RequestKey) -> Step {
        let service = self.requests[key].service.clone();
        let until = self.room_deadline(key);
        if now >= until {
            return self.refuse_for_room(now, key);
        }
        if !self.reservation_queues.get(&service).is_some_and(|room| room.is_head(key)) {
            return Step::Wait { until };
        }
        if self.fleet.available(&service, PoolRole::Decode, now).next().is_none() {
            return Step::Wait { until: until.min(now + ROOM_POLL) };
        }
        self.ask_for_room(now, key)
    }

    pub(super) fn ask_for_room(&mut self, now: Duration, key: RequestKey) -> Step {
        let asked = self.requests[key].tried.len();
        let next = self.decode_engine(now, key);
        let Some(target) = next.filter(|_| asked < MAX_ASKED).and_then(|next| self.target(next))
        else {
            self.requests[key].tried.clear();
            let until = self.room_deadline(key).min(now + ROOM_POLL);
            return Step::Wait { until };
        };
        let request = &mut self.requests[key];
        request.current = Some(target.clone());
        let tokens = request.prompt.map_or(0, |prompt| prompt.expected_tokens());
        let service = request.table.service(&request.service);
        let longest =
            service.and_then(|service| service.engine).map(|engine| engine.max_reservation);
        let ttl = longest.filter(|longest| !longest.is_zero()).unwrap_or(RESERVATION_TTL);
        let ttl = ttl.min(RESERVATION_TTL);
        Step::Reserve { target, tokens, ttl, timeout: RESERVE_TIMEOUT }
    }

    /// Until when a request waits for room.
    fn room_deadline(&self, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        request.room_deadline.min(request.deadline)
    }

    fn refuse_for_room(&mut self, now: Duration, key: RequestKey) -> Step {
        self.leave_room(key);
        if self.requests[key].answering {
            return Step::Abort;
        }
        let service = self.requests[key].service.clone();
        let none = self.fleet.available(&service, PoolRole::Decode, now).next().is_none();
        let reason = if none { RefusalReason::NoUpstream } else { RefusalReason::Overloaded };
        Step::Refuse(self.refusal(now, key, reason, ROOM_RETRY))
    }

    pub(super) fn no_room_here(&mut self, now: Duration, key: RequestKey) -> Step {
        if let Some(target) = self.requests[key].current.clone() {
            self.requests[key].tried.push(target.key);
        }
        let tokens = self.requests[key].prompt.map_or(0, |prompt| prompt.expected_tokens());
        self.rest(now, key, tokens, FULL_PAUSE);
        self.find_room(now, key)
    }

    /// The current engine has no room for so many tokens for a while.
    pub(super) fn rest(&mut self, now: Duration, key: RequestKey, tokens: u32, pause: Duration) {
        let Some(target) = self.requests[key].current.as_ref() else { return };
        if let Some(engine) = self.fleet.get_mut(target.key) {
            engine.capacity_backoff.record_rejection(now, tokens, pause);
        }
    }

    /// The request no longer waits; the next one may ask.
    pub(super) fn leave_room(&mut self, key: RequestKey) {
        let service = &self.requests[key].service;
        let next = self.reservation_queues.get_mut(service).and_then(|room| room.remove(key));
        self.runnable.extend(next);
    }
}
