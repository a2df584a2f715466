//! Attempt of a generation that is silent and set aside while another one is tried.
//!
//! Its agent may be sound and about to go on. It is cancelled once the newer attempt brings a
//! token. If it says something first, it goes on and the newer one is cancelled; if no other
//! attempt may follow the newer one, the entry waits for it again.

use std::time::Duration;

use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::request::Attempt;
use crate::entry::request::GeneratePhase;
use crate::entry::request::RequestKey;
use crate::entry::request::SilentAttempt;
use crate::entry::request::Work;
use crate::entry::silence::KEPT_CHECK_INTERVAL;
use crate::policy::agents::AgentKey;
use crate::schema::wire;
use crate::schema::wire::AttemptId;

impl EntryCore {
    /// Sets the transfer or stream of a generation aside. An earlier attempt that is set aside
    /// stays in its place.
    pub(super) fn set_stream_aside(&mut self, key: RequestKey) {
        let generate = self.generate_mut(key);
        if generate.silent_attempt.is_some() {
            return;
        }
        generate.silent_attempt = Some(SilentAttempt {
            phase: generate.phase,
            decode: generate.decode_attempt.take(),
            prefill: generate.prefill_attempt.take(),
            prefill_result: generate.prefill_result.take(),
            disconnected_at: generate.disconnected_at,
        });
    }

    /// Sets the prefill of a generation aside, but not its slot.
    pub(super) fn set_prefill_aside(&mut self, key: RequestKey) {
        let generate = self.generate_mut(key);
        if generate.silent_attempt.is_some() {
            return;
        }
        generate.silent_attempt = Some(SilentAttempt {
            phase: GeneratePhase::Prefilling,
            decode: None,
            prefill: generate.prefill_attempt.take(),
            prefill_result: None,
            disconnected_at: Duration::ZERO,
        });
    }

    /// The request that has set this attempt aside, with that attempt.
    fn find_by_silent_attempt(&self, id: AttemptId) -> Option<(RequestKey, &SilentAttempt)> {
        let key = self.find_request(id)?;
        let Work::Generate(generate) = &self.requests[key].work else { return None };
        let silent = generate.silent_attempt.as_ref()?;
        let newest = silent.decode.or(silent.prefill)?;
        (newest.number == id.attempt).then_some((key, silent))
    }

    /// Lets a transfer or stream go on that was set aside, as its agent has sent something, and
    /// cancels what was to replace it.
    pub(super) fn take_up_silent_attempt(
        &mut self,
        now: Duration,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        let found = self.find_by_silent_attempt(id);
        let Some((key, _)) = found.filter(|(_, silent)| silent.decode.is_some()) else { return };
        self.return_to_silent_attempt(now, key, out);
    }

    /// Lets a prefill go on that was set aside, as its result has arrived, and cancels the one that
    /// was to replace it. Without one under way the result is of no use.
    pub(super) fn take_up_silent_prefill(&mut self, id: AttemptId, out: &mut Vec<EntryAction>) {
        let found = self.find_by_silent_attempt(id);
        let Some((key, silent)) = found.filter(|(_, silent)| silent.decode.is_none()) else {
            return;
        };
        let prefill = silent.prefill;
        self.generate_mut(key).silent_attempt = None;
        if self.generate(key).phase != GeneratePhase::Prefilling {
            return;
        }
        let newer = std::mem::replace(&mut self.generate_mut(key).prefill_attempt, prefill);
        self.cancel_all(key, newer.into_iter().collect(), out);
    }

    /// Cancels the newest attempts and waits again for the one that was set aside. Returns false if
    /// there is none.
    pub(super) fn return_to_silent_attempt(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Work::Generate(generate) = &mut self.requests[key].work else { return false };
        let Some(silent) = generate.silent_attempt.take() else { return false };
        let newer_prefill = generate.prefill_attempt.take();
        if silent.decode.is_some() {
            self.cancel_newest_attempts(key, out);
        }
        self.cancel_all(key, newer_prefill.into_iter().collect(), out);
        let generate = self.generate_mut(key);
        generate.phase = silent.phase;
        generate.decode_attempt = silent.decode.or(generate.decode_attempt);
        generate.prefill_attempt = silent.prefill;
        generate.prefill_result = silent.prefill_result;
        generate.disconnected_at = silent.disconnected_at;
        generate.is_kept = true;
        let agent = silent.decode.or(silent.prefill).map(|attempt| attempt.agent);
        let detail = "replacement given up".to_string();
        self.record_decision(key, Decision::AttemptKept, agent, detail, out);
        self.set_timer(key, now + KEPT_CHECK_INTERVAL);
        true
    }

    /// Forgets an attempt that was set aside and that its agent reports as failed or not run.
    /// Returns true if this attempt was.
    pub(super) fn drop_silent_attempt(
        &mut self,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some((key, _)) = self.find_by_silent_attempt(id) else { return false };
        let silent = self.generate_mut(key).silent_attempt.take();
        let prefill = silent.filter(|silent| silent.decode.is_some());
        self.cancel_all(key, prefill.and_then(|it| it.prefill).into_iter().collect(), out);
        true
    }

    /// Cancels the attempt that was set aside, as a newer one has replaced it.
    pub(super) fn cancel_silent_attempt(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        let Some(silent) = self.generate_mut(key).silent_attempt.take() else { return };
        if silent.prefill_result.is_some() {
            let detail = format!("tokens {}", self.generate(key).tokens_to_prefill());
            self.record_decision(key, Decision::PrefillWasted, None, detail, out);
        }
        self.cancel_all(key, silent.decode.into_iter().chain(silent.prefill).collect(), out);
    }

    /// The same, if it is a prefill.
    pub(super) fn cancel_silent_prefill(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        let silent = self.generate(key).silent_attempt.as_ref();
        if silent.is_some_and(|silent| silent.decode.is_none()) {
            self.cancel_silent_attempt(key, out);
        }
    }

    /// Cancels all attempts but the one that was set aside.
    pub(super) fn cancel_newest_attempts(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate_mut(key);
        let attempts = generate.newest_attempts().collect();
        generate.pending_reservations.clear();
        generate.decode_attempt = None;
        generate.prefill_attempt = None;
        self.cancel_all(key, attempts, out);
    }

    fn cancel_all(&mut self, key: RequestKey, attempts: Vec<Attempt>, out: &mut Vec<EntryAction>) {
        for attempt in attempts {
            let id = self.attempt_id(key, attempt.number);
            self.cancel(attempt.agent, id, out);
        }
    }

    /// Handles the loss of the connection to the agent of an attempt that was set aside. A stream
    /// may be resumed there; the result of a prefill cannot arrive any more.
    pub(super) fn silent_agent_disconnected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(silent) = &mut self.generate_mut(key).silent_attempt else { return };
        let Some(decode) = silent.decode else {
            if silent.prefill.is_some_and(|prefill| prefill.agent == agent) {
                self.cancel_silent_attempt(key, out);
            }
            return;
        };
        if decode.agent == agent && silent.phase != GeneratePhase::Resuming {
            silent.phase = GeneratePhase::Resuming;
            silent.disconnected_at = now;
        }
    }

    /// Point from which an agent that has reconnected is to resume a stream that was set aside.
    pub(super) fn resume_silent_attempt(
        &mut self,
        key: RequestKey,
        agent: AgentKey,
    ) -> Option<wire::ResumePoint> {
        let rank = self.rank_of(key);
        let generate = self.generate_mut(key);
        let (next_index, max_tokens) = (generate.next_index, generate.max_tokens);
        let silent = generate.silent_attempt.as_mut()?;
        let decode = silent.decode.filter(|decode| decode.agent == agent)?;
        silent.phase = GeneratePhase::Decoding;
        let id = Some(self.attempt_id(key, decode.number));
        Some(wire::ResumePoint { id, next_index, max_tokens, rank })
    }
}
