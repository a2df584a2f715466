//! Timers of a generation: what the entry does if an attempt is silent.
//!
//! Silence proves nothing: the agent may be slow and about to go on. If another attempt may
//! follow, the silent one is set aside until the newer one brings a token (see
//! [`crate::entry::silent_attempt`]); otherwise the entry waits for it until the request's deadline.

use std::time::Duration;

use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::decoding::STREAM_IDLE_TIMEOUT;
use crate::entry::request::GeneratePhase;
use crate::entry::request::RequestKey;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::agents::AgentKey;

/// Interval at which the entry checks whether an attempt that it keeps may be retried.
pub(super) const KEPT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl EntryCore {
    pub(super) fn on_generate_timer(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        if now >= self.requests[key].deadline {
            self.refuse_with_outcome(key, RefusalReason::DeadlineExceeded, out);
            return;
        }
        let generate = self.generate(key);
        let prefill = generate.prefill_attempt;
        match generate.phase {
            GeneratePhase::Reserving => self.on_reserve_timer(now, key, out),
            GeneratePhase::Waiting => self.check_slot_wait(now, key, out),
            GeneratePhase::Prefilling => {
                let Some(attempt) = prefill else { return };
                if !self.keeps_attempt(now, key, Some(attempt.agent), out) {
                    self.set_prefill_aside(key);
                    self.prefill_failed(now, key, attempt.agent, RetryReason::AgentSilent, out);
                }
            }
            GeneratePhase::Transferring => {
                if !self.keeps_attempt(now, key, None, out) {
                    self.set_stream_aside(key);
                    self.retry(now, key, RetryReason::TransferFailed, out);
                }
            }
            GeneratePhase::Decoding => self.check_stream_idle(now, key, out),
            GeneratePhase::Resuming => self.check_lost_agent(now, key, out),
        }
    }

    /// Decides about an attempt that is silent. Returns false if another one may follow it. Returns
    /// true if not: the entry then waits for it, and checks again later. `failed` is the agent
    /// whose health the silence counts against.
    fn keeps_attempt(
        &mut self,
        now: Duration,
        key: RequestKey,
        failed: Option<AgentKey>,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let may_run_again = self.generate(key).idempotent || !self.requests[key].may_have_run;
        let obstacle = self.retry_obstacle(now, key).map(|reason| reason.to_string());
        let obstacle = if may_run_again { obstacle } else { Some("not-idempotent".to_string()) };
        let Some(detail) = obstacle else { return false };
        if !self.generate(key).is_kept {
            self.generate_mut(key).is_kept = true;
            failed.into_iter().for_each(|agent| self.record_failure(now, agent));
            self.record_decision(key, Decision::AttemptKept, failed, detail, out);
        }
        self.set_timer(key, now + KEPT_CHECK_INTERVAL);
        true
    }

    /// Handles the timer while reserving: an agent did not reply in time, or the
    /// delay before another attempt is over.
    fn on_reserve_timer(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate(key);
        let unresponsive: Vec<AgentKey> = generate
            .pending_reservations
            .iter()
            .chain(&generate.decode_attempt)
            .map(|attempt| attempt.agent)
            .collect();
        if unresponsive.is_empty() {
            self.start_attempt(now, key, out);
            return;
        }
        // A new request is refused at once, as not run.
        if !self.is_new(key) && self.keeps_attempt(now, key, None, out) {
            return;
        }
        for agent in unresponsive {
            self.record_failure(now, agent);
            self.generate_mut(key).excluded_decode.push(agent);
        }
        self.retry(now, key, RetryReason::AgentSilent, out);
    }

    /// Retries the generation elsewhere if its stream was idle for too long.
    fn check_stream_idle(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate(key);
        let times_out_at = generate.last_token_at + STREAM_IDLE_TIMEOUT;
        if now < times_out_at {
            self.set_timer(key, times_out_at);
            return;
        }
        let agent = generate.decode_attempt.map(|attempt| attempt.agent);
        if self.keeps_attempt(now, key, agent, out) {
            return;
        }
        if let Some(agent) = agent {
            self.record_failure(now, agent);
            self.generate_mut(key).excluded_decode.push(agent);
        }
        self.set_stream_aside(key);
        self.retry(now, key, RetryReason::StreamFailed, out);
    }

    /// Retries the generation elsewhere if its agent has not reconnected in time. If no retry may
    /// follow, waits until the entry's lease at the agent has expired, as the agent then cancels
    /// the stream.
    fn check_lost_agent(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate(key);
        let agent = generate.decode_attempt.map(|attempt| attempt.agent);
        let expires_at = generate.disconnected_at + self.config.lease_ttl;
        if now < expires_at && self.keeps_attempt(now, key, None, out) {
            self.set_timer(key, expires_at.min(now + KEPT_CHECK_INTERVAL));
            return;
        }
        self.generate_mut(key).excluded_decode.extend(agent);
        if now < expires_at {
            self.set_stream_aside(key);
        }
        self.retry(now, key, RetryReason::AgentLost, out);
    }
}
