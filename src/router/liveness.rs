//! Signs of life of engines whose streams are silent.
//!
//! A sound engine may keep a stream waiting for seconds, as when it preempts it for lack of
//! memory. Silence of a stream is therefore no failure: the engine is asked with a call of its
//! own, and counts as lost to the stream only once it has answered none for a while.
//!
//! Proof that a run is over comes from its own connection, or from another instance at the
//! address of its engine. Refused new connections show no more than that nothing listens: a
//! process that stops in order closes its listener and finishes the streams that it has.

use std::time::Duration;

use crate::router::Router;
use crate::router::flow::Target;
use crate::router::prefill_limits::caller_patience;
use crate::router::request::Request;
use crate::router::request::RequestKey;

/// Part of the time after which the caller of a silent stream leaves for which its engine may show
/// no sign of life. The rest is for its replacement.
const MAX_SILENCE_SHARE: f64 = 2.0 / 3.0;
/// Shortest such silence, however soon callers leave: a sound process may stand still for a second.
const MIN_LOST_SILENCE: Duration = Duration::from_millis(1_500);
/// Time within which an engine that runs answers, and after which it is asked again.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Calls without an answer after which an engine may count as lost: this process may have stood
/// still during one of them.
const MIN_UNANSWERED: u32 = 2;
/// Time for which a call without an answer tells that the engine is silent now.
const VERDICT_VALIDITY: Duration = Duration::from_millis(100);

/// What came of a call that asked an engine for a sign of life; logged under these names in kebab
/// case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineAnswer {
    /// The engine has answered, or its host has accepted or reset a connection.
    Alive,
    /// Nothing came.
    Silent,
    /// The host refuses new connections.
    Refused,
    /// Another instance has the address.
    Gone,
    /// The call could not be made.
    NotAsked,
}

/// Calls by which an engine was asked for a sign of life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Liveness {
    answered_at: Option<Duration>,
    asked_at: Option<Duration>,
    gone_at: Option<Duration>,
    /// When the last call without an answer was given up.
    unanswered_at: Option<Duration>,
    /// Calls without an answer since the last sign of life.
    unanswered: u32,
}

/// What a silent stream does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SilenceStep {
    /// Wait this long, as the engine has shown a sign of life or is being asked.
    Wait(Duration),
    /// Ask the engine, and report what came of it with [`Router::record_engine_answer`].
    Ask(Target),
    /// The engine counts as lost to the stream.
    EngineLost,
}

impl Router {
    /// Returns what a stream does that has received nothing for the idle timeout.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn judge_silence(&mut self, now: Duration, key: RequestKey) -> SilenceStep {
        let Some(engine) = self.requests[key].current.clone() else {
            return SilenceStep::EngineLost;
        };
        let last_sign_at = self.last_sign_at(key, &engine);
        let liveness = *self.liveness(key, &engine);
        let silence = now.saturating_sub(last_sign_at);
        let is_gone = liveness.gone_at.is_some_and(|at| at >= last_sign_at);
        let max_silence = self.requests[key].max_engine_silence();
        if is_gone || (silence >= max_silence && liveness.tells_silence(now, last_sign_at)) {
            self.requests[key].engine_lost_at = Some(now);
            return SilenceStep::EngineLost;
        }
        let asked_at = liveness.asked_at.unwrap_or_default();
        let next_ask_at = last_sign_at.max(asked_at) + ANSWER_TIMEOUT;
        if now < next_ask_at {
            return SilenceStep::Wait(next_ask_at - now);
        }
        if self.upstreams.get(engine.key).is_some_and(|listed| !listed.permits(now)) {
            return SilenceStep::Wait(ANSWER_TIMEOUT);
        }
        self.upstreams.take_permits(now, engine.key, 1);
        self.liveness(key, &engine).asked_at = Some(now);
        SilenceStep::Ask(engine)
    }

    /// Records what came of a call to an engine.
    pub fn record_engine_answer(
        &mut self,
        now: Duration,
        key: RequestKey,
        engine: &Target,
        answer: EngineAnswer,
    ) {
        if !self.requests.contains_key(key) {
            return;
        }
        let last_sign_at = self.last_sign_at(key, engine);
        let liveness = self.liveness(key, engine);
        match answer {
            EngineAnswer::Alive => liveness.answered_at = Some(now),
            EngineAnswer::Gone => liveness.gone_at = Some(now),
            EngineAnswer::Silent | EngineAnswer::Refused => {
                let is_first = liveness.unanswered_at.is_none_or(|at| at < last_sign_at);
                liveness.unanswered = if is_first { 1 } else { liveness.unanswered + 1 };
                liveness.unanswered_at = Some(now);
            }
            EngineAnswer::NotAsked => {}
        }
    }

    /// True if an upstream is known to be leaving: it or its record has said so, or the instance
    /// list lists it no more.
    pub fn is_upstream_leaving(&self, upstream: &Target) -> bool {
        match self.upstreams.get(upstream.key) {
            Some(listed) => listed.is_leaving(),
            None => {
                self.upstreams.has_said_leaving(&upstream.id)
                    || self.instance_list.has_vanished(&upstream.id)
            }
        }
    }

    /// True if the engine of the paused run has answered since it was taken for lost.
    pub(super) fn has_paused_engine_answered(&mut self, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let Some((engine, lost_at)) = request.paused_run.clone().zip(request.engine_lost_at) else {
            return false;
        };
        self.liveness(key, &engine).answered_at.is_some_and(|at| at > lost_at)
    }

    /// When the engine last sent an event of any stream or answered a call, or got the request.
    fn last_sign_at(&mut self, key: RequestKey, engine: &Target) -> Duration {
        let event_at = self.upstreams.get(engine.key).and_then(|it| it.event_times.last_at());
        let answered_at = self.liveness(key, engine).answered_at;
        let request = &self.requests[key];
        let own_at = request.last_event_at.unwrap_or(request.step_started_at);
        own_at.max(event_at.unwrap_or_default()).max(answered_at.unwrap_or_default())
    }

    /// Liveness of an engine, which its streams share while it is listed.
    fn liveness(&mut self, key: RequestKey, engine: &Target) -> &mut Liveness {
        match self.upstreams.get_mut(engine.key) {
            Some(listed) => &mut listed.liveness,
            None => &mut self.requests[key].engine_liveness,
        }
    }
}

impl Liveness {
    /// True if the engine has just left a call unanswered, and others before it.
    fn tells_silence(&self, now: Duration, last_sign_at: Duration) -> bool {
        let valid_from = last_sign_at.max(now.saturating_sub(VERDICT_VALIDITY));
        self.unanswered >= MIN_UNANSWERED && self.unanswered_at.is_some_and(|at| at >= valid_from)
    }
}

impl Request {
    /// Time since the last sign of life after which the engine of the stream counts as lost.
    fn max_engine_silence(&self) -> Duration {
        let patience = caller_patience(self).min(self.route().timeout);
        patience.mul_f64(MAX_SILENCE_SHARE).max(MIN_LOST_SILENCE)
    }

    /// Time since the last event of the stream, or since the request was sent.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_event_at.unwrap_or(self.step_started_at))
    }
}
