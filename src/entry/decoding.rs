//! Last steps of a generation: transfer of the KV cache and decoding.
//!
//! Also handles the failure of any step of a generation, and the retry budget,
//! which calls share.

use std::time::Duration;

use crate::clock::as_ms_u32;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::ResponsePart;
use crate::entry::generate::DEFAULT_OUTPUT_SHARE;
use crate::entry::request::GeneratePhase;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::agents::AgentKey;
use crate::policy::placement::policy_of;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// A transfer of which the decode agent has reported neither success nor failure
/// is retried this long after the eviction of the prefill result, or after the
/// time at which the slot is expected to be free if that is later.
const TRANSFER_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Idle timeout of a token stream, after which it is retried at another agent.
pub(super) const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Weight of a new sample in the moving average of a model's output share.
const OUTPUT_SHARE_SMOOTHING: f64 = 0.05;
/// Reason in `StreamFailed` that agents give for a failed transfer.
const REASON_TRANSFER_FAILED: &str = "transfer-failed";

impl EntryCore {
    /// Tells the decode agent to import the KV cache and to start decoding.
    pub(super) fn send_decode(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let rank = self.rank_of(key);
        let generate = self.generate(key);
        let (Some(decode), Some(prefill), Some(result)) =
            (generate.decode_attempt, generate.prefill_attempt, generate.prefill_result.clone())
        else {
            return;
        };
        let source = self.agents.get(prefill.agent);
        let message = ToAgent::Decode(wire::Decode {
            id: Some(self.attempt_id(key, decode.number)),
            handle: result.handle,
            source: source.map(|view| view.upstream.to_string()).unwrap_or_default(),
            source_zone: source.map(|view| view.zone.to_string()).unwrap_or_default(),
            kv_bytes: result.kv_bytes,
            first_index: generate.next_index,
            max_tokens: generate.max_tokens,
            rank,
            lives_ms: as_ms_u32(result.evicted_at.saturating_sub(now)),
        });
        let slot_free_at = generate.slot_free_at.max(now);
        out.push(EntryAction::Send { agent: decode.agent, message });
        let generate = self.generate_mut(key);
        generate.phase = GeneratePhase::Transferring;
        generate.is_kept = false;
        self.set_timer(key, result.evicted_at.max(slot_free_at) + TRANSFER_TIMEOUT_MARGIN);
    }

    pub(super) fn on_imported(&mut self, now: Duration, id: AttemptId, out: &mut Vec<EntryAction>) {
        self.take_up_silent_attempt(now, id, out);
        let Some(key) = self.find_by_decode_attempt(id) else { return };
        let generate = self.generate_mut(key);
        if generate.phase != GeneratePhase::Transferring {
            return;
        }
        generate.phase = GeneratePhase::Decoding;
        generate.last_token_at = now;
        generate.is_kept = false;
        generate.prefill_result = None;
        if let Some(prefill) = generate.prefill_attempt.take() {
            let used = wire::PrefillUsed { id: Some(self.attempt_id(key, prefill.number)) };
            out.push(EntryAction::Send {
                agent: prefill.agent,
                message: ToAgent::PrefillUsed(used),
            });
        }
        self.record_decision(key, Decision::Transferred, None, String::new(), out);
        self.set_timer(key, now + STREAM_IDLE_TIMEOUT);
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Duration,
        agent: AgentKey,
        chunk: wire::Chunk,
        out: &mut Vec<EntryAction>,
    ) {
        let id = chunk.id.unwrap_or_default();
        self.take_up_silent_attempt(now, id, out);
        let Some(key) = self.find_by_decode_attempt(id) else {
            if self.find_request(id).is_none()
                && !self.pending_cancels.contains_key(&id)
                && !chunk.last
            {
                self.cancel(agent, id, out);
            }
            return;
        };
        let generate = self.generate(key);
        if generate.decode_attempt.is_none_or(|attempt| attempt.agent != agent) {
            let detail = "sent by another agent".to_string();
            self.record_decision(key, Decision::ChunkDropped, Some(agent), detail, out);
            return;
        }
        let expected = generate.next_index;
        if chunk.index != expected {
            let detail = format!("index {} expected {expected}", chunk.index);
            self.record_decision(key, Decision::ChunkDropped, Some(agent), detail, out);
            return;
        }
        self.cancel_silent_attempt(key, out);
        let generate = self.generate_mut(key);
        generate.phase = GeneratePhase::Decoding;
        generate.next_index += 1;
        generate.last_token_at = now;
        generate.is_kept = false;
        generate.output_text.extend_from_slice(&chunk.text);
        let part = ResponsePart::Token { index: chunk.index, text: chunk.text };
        out.push(EntryAction::Respond { request: key, part });
        if chunk.index == 0 {
            let elapsed = now.saturating_sub(self.requests[key].received_at);
            let detail = format!("after_ms {}", elapsed.as_millis());
            self.record_decision(key, Decision::FirstToken, Some(agent), detail, out);
        }
        if chunk.last {
            self.finish(key, agent, &chunk.finish_reason, out);
        }
    }

    fn finish(
        &mut self,
        key: RequestKey,
        agent: AgentKey,
        finish_reason: &str,
        out: &mut Vec<EntryAction>,
    ) {
        self.record_success(agent);
        self.credit_retry_budget(key);
        let generate = self.generate_mut(key);
        generate.decode_attempt = None;
        let (model, prompt_tokens) = (generate.model.clone(), generate.prompt_tokens);
        let output_tokens = generate.next_index;
        let share = f64::from(output_tokens) / f64::from(generate.max_tokens.max(1));
        let stats = self.model_stats.entry(model).or_default();
        let average = stats.output_share.unwrap_or(DEFAULT_OUTPUT_SHARE);
        stats.output_share = Some(average + OUTPUT_SHARE_SMOOTHING * (share - average));
        self.record_decision(
            key,
            Decision::Finished,
            Some(agent),
            format!("tokens {output_tokens}"),
            out,
        );
        let finish_reason = finish_reason.into();
        let part = ResponsePart::Finished { finish_reason, prompt_tokens, output_tokens };
        out.push(EntryAction::Respond { request: key, part });
        self.cancel_attempts(key, out);
        self.remove(key);
    }

    /// Credits a successful request to the retry budget that it draws on.
    pub(super) fn credit_retry_budget(&mut self, key: RequestKey) {
        let percent = policy_of(&self.requests[key].snapshot()).retry_budget_percent;
        let budget_name = self.retry_budget_name(key);
        self.retry_budgets.entry(budget_name).or_default().record_success(percent);
    }

    /// Name under which the request's retry budget is kept: its model, or the pool
    /// of its service.
    fn retry_budget_name(&self, key: RequestKey) -> compact_str::CompactString {
        match &self.requests[key].work {
            Work::Generate(generate) => generate.model.clone(),
            Work::Call(call) => call.pool.clone(),
        }
    }

    /// Why no other attempt may follow if the newest one fails at `now`; `None` if one may.
    pub(super) fn retry_obstacle(&self, now: Duration, key: RequestKey) -> Option<RefusalReason> {
        let request = &self.requests[key];
        let max_attempts = policy_of(&request.snapshot()).max_attempts;
        let budget = self.retry_budgets.get(&self.retry_budget_name(key));
        if now >= request.deadline {
            Some(RefusalReason::DeadlineExceeded)
        } else if request.failures + 1 >= max_attempts {
            Some(RefusalReason::AttemptsExhausted)
        } else if budget.is_some_and(|budget| !budget.allows_retry()) {
            Some(RefusalReason::RetryBudget)
        } else {
            None
        }
    }

    /// Counts a failed attempt. True if another one may follow; otherwise the request
    /// waits for an earlier attempt that is silent, or was refused and removed.
    pub(super) fn may_retry(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RetryReason,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let obstacle = self.retry_obstacle(now, key);
        self.requests[key].failures += 1;
        if let Some(obstacle) = obstacle {
            if !self.return_to_silent_attempt(now, key, out) {
                self.refuse_with_outcome(key, obstacle, out);
            }
            return false;
        }
        let budget_name = self.retry_budget_name(key);
        self.retry_budgets.entry(budget_name).or_default().try_spend();
        self.record_decision(key, Decision::Retried(reason), None, String::new(), out);
        true
    }

    /// Cancels the newest attempts of a generation and starts another, which continues after the
    /// text generated so far. Refuses instead if that may run the request twice
    /// although it is not idempotent.
    pub(super) fn retry(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RetryReason,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.generate(key).idempotent && self.requests[key].may_have_run {
            self.refuse_with_outcome(key, RefusalReason::UpstreamLost, out);
            return;
        }
        if self.generate(key).prefill_result.is_some() {
            let detail = format!("tokens {}", self.generate(key).tokens_to_prefill());
            self.record_decision(key, Decision::PrefillWasted, None, detail, out);
        }
        self.cancel_newest_attempts(key, out);
        if self.may_retry(now, key, reason, out) {
            self.start_attempt(now, key, out);
        }
    }

    pub(super) fn on_stream_failed(
        &mut self,
        now: Duration,
        agent: AgentKey,
        failed: &wire::StreamFailed,
        out: &mut Vec<EntryAction>,
    ) {
        let id = failed.id.unwrap_or_default();
        self.pending_cancels.remove(&id);
        if self.drop_silent_attempt(id, out) {
            return;
        }
        if let Some(key) = self.find_by_decode_attempt(id) {
            let generate = self.generate_mut(key);
            generate.decode_attempt = None;
            generate.excluded_decode.push(agent);
            let reason = if failed.reason == REASON_TRANSFER_FAILED {
                // A failed transfer is due to the link as often as to the engine, so
                // it does not count against the agent.
                RetryReason::TransferFailed
            } else {
                self.record_failure(now, agent);
                RetryReason::StreamFailed
            };
            self.retry(now, key, reason, out);
        } else if let Some(key) = self.find_by_slot_attempt(id) {
            self.slot_rejected(now, key, agent, id, out);
        } else if let Some(key) = self.find_by_prefill_attempt(id) {
            self.prefill_failed(now, key, agent, RetryReason::PrefillFailed, out);
        }
    }

    /// Handles a failed prefill. Keeps the decode slot for another prefill, which is
    /// started if a retry is allowed.
    pub(super) fn prefill_failed(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        reason: RetryReason,
        out: &mut Vec<EntryAction>,
    ) {
        self.record_failure(now, agent);
        if !self.generate(key).idempotent {
            self.refuse_with_outcome(key, RefusalReason::UpstreamLost, out);
            return;
        }
        let generate = self.generate_mut(key);
        generate.prefill_result = None;
        generate.excluded_prefill.push(agent);
        let failed = generate.prefill_attempt.take();
        if let Some(prefill) = failed {
            let id = self.attempt_id(key, prefill.number);
            self.cancel(prefill.agent, id, out);
        }
        if self.may_retry(now, key, reason, out) {
            self.start_prefill(now, key, out);
        }
    }

    /// Handles the loss of the connection to an agent that the generation may use.
    pub(super) fn generate_agent_disconnected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        out: &mut Vec<EntryAction>,
    ) {
        self.silent_agent_disconnected(now, key, agent, out);
        let generate = self.generate(key);
        let is_decode = generate.decode_attempt.is_some_and(|attempt| attempt.agent == agent);
        let is_prefill = generate.prefill_attempt.is_some_and(|attempt| attempt.agent == agent);
        let is_streaming =
            matches!(generate.phase, GeneratePhase::Transferring | GeneratePhase::Decoding);
        if is_decode && is_streaming {
            let generate = self.generate_mut(key);
            generate.phase = GeneratePhase::Resuming;
            generate.is_kept = false;
            generate.disconnected_at = now;
            self.set_timer(key, now + self.config.resume_timeout);
        } else if is_decode {
            self.generate_mut(key).excluded_decode.push(agent);
            self.retry(now, key, RetryReason::AgentLost, out);
        } else if is_prefill && generate.phase == GeneratePhase::Prefilling {
            self.prefill_failed(now, key, agent, RetryReason::AgentLost, out);
        } else {
            self.drop_pending_reservations(now, key, |attempt| attempt.agent == agent, out);
        }
    }

    /// Tells an agent that has connected which streams to resume, and from which
    /// token, and handles the calls that waited for it to reconnect.
    pub(super) fn resume_attempts(
        &mut self,
        now: Duration,
        agent: AgentKey,
        same_incarnation: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let mut points = Vec::new();
        for key in self.requests.keys().collect::<Vec<_>>() {
            match &self.requests[key].work {
                Work::Call(_) => {
                    self.call_agent_reconnected(now, key, agent, same_incarnation, out)
                }
                Work::Generate(_) => {
                    points.extend(self.resume_silent_attempt(key, agent));
                    let generate = self.generate(key);
                    let on_this_agent =
                        generate.decode_attempt.filter(|attempt| attempt.agent == agent);
                    let Some(attempt) =
                        on_this_agent.filter(|_| generate.phase == GeneratePhase::Resuming)
                    else {
                        continue;
                    };
                    let id = Some(self.attempt_id(key, attempt.number));
                    let (next_index, max_tokens) = (generate.next_index, generate.max_tokens);
                    let rank = self.rank_of(key);
                    points.push(wire::ResumePoint { id, next_index, max_tokens, rank });
                    self.generate_mut(key).phase = GeneratePhase::Decoding;
                    self.generate_mut(key).last_token_at = now;
                    self.generate_mut(key).is_kept = false;
                    self.set_timer(key, now + STREAM_IDLE_TIMEOUT);
                }
            }
        }
        let message = ToAgent::Resume(wire::Resume { points });
        out.push(EntryAction::Send { agent, message });
    }
}
