//! Signs of life of engines whose streams are silent.
//!
//! A sound engine may keep a stream waiting for seconds, as when it preempts it for lack of
//! memory. Silence of a stream is therefore no failure: the engine is asked with a call of its
//! own, and counts as lost to the stream only once it has answered none for a while.

use std::time::Duration;

use crate::router::Router;
use crate::router::flow::Target;
use crate::router::request::Request;
use crate::router::request::RequestKey;

/// Time without a sign of life after which an engine counts as lost. A process may stand still
/// for a second or two; callers leave a silent stream after about three.
const MAX_SILENCE: Duration = Duration::from_millis(2_500);
/// Time without a sign of life after which an engine is asked, and after which it is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(600);
/// Calls without an answer after which an engine may count as lost: this process may have stood
/// still during one of them.
const MIN_UNANSWERED: u32 = 2;

/// Calls by which an engine was asked for a sign of life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Liveness {
    answered_at: Option<Duration>,
    asked_at: Option<Duration>,
    /// Calls since the last sign of life, the one in flight included.
    unanswered: u32,
}

/// What a silent stream does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SilenceStep {
    /// Wait this long, as the engine has shown a sign of life or is being asked.
    Wait(Duration),
    /// Ask the engine, and report an answer with [`Router::record_engine_answer`].
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
        let silence = now.saturating_sub(last_sign_at);
        if silence < ASK_INTERVAL {
            return SilenceStep::Wait(ASK_INTERVAL - silence);
        }
        let liveness = self.liveness(key, &engine);
        let asked_at = liveness.asked_at.filter(|at| *at >= last_sign_at);
        if asked_at.is_none() {
            liveness.unanswered = 0;
        }
        let next_ask_at = asked_at.map_or(now, |at| at + ASK_INTERVAL);
        if now < next_ask_at {
            return SilenceStep::Wait(next_ask_at - now);
        }
        if silence >= MAX_SILENCE && liveness.unanswered >= MIN_UNANSWERED {
            return SilenceStep::EngineLost;
        }
        self.ask(now, key, engine)
    }

    /// Records that an engine has answered a call, which shows that it is alive.
    pub fn record_engine_answer(&mut self, now: Duration, key: RequestKey, engine: &Target) {
        if self.requests.contains_key(key) {
            self.liveness(key, engine).answered_at = Some(now);
        }
    }

    fn ask(&mut self, now: Duration, key: RequestKey, engine: Target) -> SilenceStep {
        if self.upstreams.get(engine.key).is_some_and(|listed| !listed.permits(now)) {
            // An engine at its rate limit has answered lately.
            self.record_engine_answer(now, key, &engine);
            return SilenceStep::Wait(ASK_INTERVAL);
        }
        self.upstreams.take_permits(now, engine.key, 1);
        let liveness = self.liveness(key, &engine);
        liveness.asked_at = Some(now);
        liveness.unanswered += 1;
        SilenceStep::Ask(engine)
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

impl Request {
    /// Time since the last event of the stream, or since the request was sent.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_event_at.unwrap_or(self.step_started_at))
    }
}
