//! Prefills of generations: where they are sent, and what follows their replies.

use std::time::Duration;

use crate::clock::as_ms_u32;
use crate::clock::from_ms;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::generate::MISSED_TARGET_EXTENSION;
use crate::entry::request::Attempt;
use crate::entry::request::GeneratePhase;
use crate::entry::request::PrefillResult;
use crate::entry::request::RequestKey;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::agents::AgentKey;
use crate::policy::placement::policy_of;
use crate::schema::wire;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Fixed part of a prefill's timeout, added to the multiple of its predicted
/// time.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Multiple of the predicted prefill time that the timeout allows.
const PREFILL_TIMEOUT_FACTOR: u32 = 4;

impl EntryCore {
    pub(super) fn start_prefill(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let zone = self.decode_zone(key);
        let Some(candidate) = self.prefill_candidate(now, key, &snapshot, zone.as_deref()) else {
            self.release_reservations(key, out);
            self.on_no_capacity(
                now,
                key,
                RefusalReason::NoUpstream,
                self.config.heartbeat_interval,
                out,
            );
            return;
        };
        let number = self.requests[key].next_attempt();
        let deadline = self.prefill_deadline(now, key, candidate.expected_time);
        let rank = self.rank_of(key);
        self.requests[key].mark_work_sent();
        let generate = self.generate_mut(key);
        generate.phase = GeneratePhase::Prefilling;
        generate.is_kept = false;
        generate.prefill_attempt = Some(Attempt { agent: candidate.agent, number });
        let prefill = wire::Prefill {
            id: None,
            model: generate.model.to_string(),
            prompt: generate.prompt.clone(),
            continued: generate.output_text.clone().into(),
            prompt_tokens: generate.tokens_to_prefill(),
            prefixes: generate.prefixes.clone(),
            rank,
            deadline_ms: as_ms_u32(deadline.saturating_sub(now)),
        };
        let id = Some(self.attempt_id(key, number));
        if let Some(view) = self.agents.get_mut(candidate.agent) {
            view.sent_prefill_tokens += u64::from(prefill.prompt_tokens);
        }
        let message = ToAgent::Prefill(wire::Prefill { id, ..prefill });
        out.push(EntryAction::Send { agent: candidate.agent, message });
        let detail = format!("predicted_ms {}", candidate.expected_time.as_millis());
        self.record_decision(key, Decision::Prefilling, Some(candidate.agent), detail, out);
        self.set_timer(
            key,
            now + candidate.expected_time * PREFILL_TIMEOUT_FACTOR + PREFILL_TIMEOUT_MARGIN,
        );
    }

    /// Time after which the prefill result is no longer of use.
    fn prefill_deadline(&self, now: Duration, key: RequestKey, predicted: Duration) -> Duration {
        let request = &self.requests[key];
        if !self.config.policy.has_admission_control() {
            return request.deadline;
        }
        let first_token_due = request.received_at + self.generate(key).first_token_target;
        if now + predicted <= first_token_due {
            first_token_due
        } else {
            now + predicted + MISSED_TARGET_EXTENSION
        }
    }

    pub(super) fn on_prefill_reply(
        &mut self,
        now: Duration,
        agent: AgentKey,
        reply: wire::PrefillReply,
        out: &mut Vec<EntryAction>,
    ) {
        self.update_load(now, agent, reply.load.as_ref());
        let id = reply.id.unwrap_or_default();
        self.take_up_silent_prefill(id, out);
        let Some(key) = self.find_by_prefill_attempt(id) else {
            let used = wire::PrefillUsed { id: Some(id) };
            out.push(EntryAction::Send { agent, message: ToAgent::PrefillUsed(used) });
            return;
        };
        if self.generate(key).phase != GeneratePhase::Prefilling {
            return;
        }
        self.cancel_silent_prefill(key, out);
        self.record_success(agent);
        let prefixes = std::mem::take(&mut self.generate_mut(key).prefixes);
        self.prefix_index.correct(&prefixes, agent, reply.cached_tokens);
        self.prefix_index.insert(now, &prefixes, agent);
        let generate = self.generate_mut(key);
        generate.prefixes = prefixes;
        generate.prefill_result = Some(PrefillResult {
            handle: reply.handle,
            kv_bytes: reply.kv_bytes,
            evicted_at: now + from_ms(reply.lives_ms),
        });
        self.record_decision(
            key,
            Decision::Prefilled,
            Some(agent),
            format!("cached {}", reply.cached_tokens),
            out,
        );
        self.prefill_ready(now, key, out);
    }

    /// Handles an agent's rejection of work: nothing ran there.
    pub(super) fn on_rejected(
        &mut self,
        now: Duration,
        agent: AgentKey,
        rejected: &wire::Rejected,
        out: &mut Vec<EntryAction>,
    ) {
        self.update_load(now, agent, rejected.load.as_ref());
        let id = rejected.id.unwrap_or_default();
        if self.drop_silent_attempt(id, out) {
            return;
        }
        if let Some(key) = self.find_by_prefill_attempt(id) {
            self.prefill_rejected(now, key, agent, rejected, out);
        } else if let Some(key) = self.find_by_slot_attempt(id) {
            self.slot_rejected(now, key, agent, id, out);
        } else {
            self.call_rejected(now, id, agent, rejected, out);
        }
    }

    fn prefill_rejected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        rejected: &wire::Rejected,
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let max_attempts = policy_of(&snapshot).max_attempts as usize;
        let generate = self.generate_mut(key);
        generate.prefill_attempt = None;
        generate.excluded_prefill.push(agent);
        let attempts = generate.excluded_prefill.len();
        self.requests[key].mark_work_not_run();
        let has_other_agent = self.prefill_candidate(now, key, &snapshot, None).is_some();
        if attempts < max_attempts && has_other_agent {
            self.record_decision(
                key,
                Decision::Retried(RetryReason::PrefillBusy),
                Some(agent),
                String::new(),
                out,
            );
            self.start_prefill(now, key, out);
            return;
        }
        self.release_reservations(key, out);
        self.on_no_capacity(
            now,
            key,
            RefusalReason::Overloaded,
            from_ms(rejected.retry_after_ms),
            out,
        );
    }
}
