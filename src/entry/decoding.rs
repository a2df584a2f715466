//! A generated answer from the transfer of its KV cache to its last token,
//! and what happens when a step fails.

use std::time::Duration;

use crate::clock::as_ms_u32;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::ResponsePart;
use crate::entry::generate::DEFAULT_OUTPUT_SHARE;
use crate::entry::request::Phase;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::placement::policy_of;
use crate::policy::view::AgentKey;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Time after the end of a result's life at which a transfer counts as lost,
/// should its agent not have said so.
const TRANSFER_GRACE: Duration = Duration::from_secs(1);
/// A stream without a token for so long counts as lost.
const STALL: Duration = Duration::from_secs(5);
const SMOOTHING: f64 = 0.05;
const REASON_TRANSFER: &str = "transfer-failed";

impl EntryCore {
    pub(super) fn send_decode(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let rank = self.rank_of(key);
        let generate = self.generate(key);
        let (Some(decode), Some(prefill), Some(result)) =
            (generate.decode, generate.prefill, generate.result.clone())
        else {
            return;
        };
        let source = self.view.get(prefill.agent);
        let message = ToAgent::Decode(wire::Decode {
            id: Some(self.attempt_id(key, decode.attempt)),
            handle: result.handle,
            source: source.map(|view| view.upstream.to_string()).unwrap_or_default(),
            source_zone: source.map(|view| view.zone.to_string()).unwrap_or_default(),
            kv_bytes: result.kv_bytes,
            first_index: generate.next_index,
            max_tokens: generate.max_tokens,
            rank,
            lives_ms: as_ms_u32(result.lives_until.saturating_sub(now)),
        });
        let slot_at = generate.slot_at.max(now);
        out.push(EntryAction::Send { agent: decode.agent, message });
        self.generate_mut(key).phase = Phase::Transferring;
        self.set_timer(key, result.lives_until.max(slot_at) + TRANSFER_GRACE);
    }

    pub(super) fn on_imported(&mut self, now: Duration, id: AttemptId, out: &mut Vec<EntryAction>) {
        let Some(key) = self.decode_of(id) else { return };
        let generate = self.generate_mut(key);
        if generate.phase != Phase::Transferring {
            return;
        }
        generate.phase = Phase::Decoding;
        generate.last_token_at = now;
        generate.result = None;
        if let Some(prefill) = generate.prefill.take() {
            let used = wire::PrefillUsed { id: Some(self.attempt_id(key, prefill.attempt)) };
            out.push(EntryAction::Send {
                agent: prefill.agent,
                message: ToAgent::PrefillUsed(used),
            });
        }
        self.record(key, Decision::Transferred, None, String::new(), out);
        self.set_timer(key, now + STALL);
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Duration,
        agent: AgentKey,
        chunk: wire::Chunk,
        out: &mut Vec<EntryAction>,
    ) {
        let id = chunk.id.unwrap_or_default();
        let Some(key) = self.decode_of(id) else {
            if self.key_of(id).is_none() && !self.cancels.contains_key(&id) && !chunk.last {
                self.cancel(agent, id, out);
            }
            return;
        };
        let expected = self.generate(key).next_index;
        if chunk.index != expected {
            let detail = format!("index {} expected {expected}", chunk.index);
            self.record(key, Decision::ChunkDropped, Some(agent), detail, out);
            return;
        }
        let generate = self.generate_mut(key);
        generate.phase = Phase::Decoding;
        generate.next_index += 1;
        generate.last_token_at = now;
        generate.text.extend_from_slice(&chunk.text);
        let part = ResponsePart::Token { index: chunk.index, text: chunk.text };
        out.push(EntryAction::Respond { request: key, part });
        if chunk.index == 0 {
            let waited = now.saturating_sub(self.requests[key].arrived);
            let detail = format!("after_ms {}", waited.as_millis());
            self.record(key, Decision::FirstToken, Some(agent), detail, out);
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
        self.praise(agent);
        self.earn(key);
        let generate = self.generate_mut(key);
        generate.decode = None;
        let (model, prompt_tokens) = (generate.model.clone(), generate.prompt_tokens);
        let output_tokens = generate.next_index;
        let share = f64::from(output_tokens) / f64::from(generate.max_tokens.max(1));
        let stats = self.stats.entry(model).or_default();
        let known = stats.output_share.unwrap_or(DEFAULT_OUTPUT_SHARE);
        stats.output_share = Some(known + SMOOTHING * (share - known));
        self.record(key, Decision::Finished, Some(agent), format!("tokens {output_tokens}"), out);
        let finish_reason = finish_reason.into();
        let part = ResponsePart::Finished { finish_reason, prompt_tokens, output_tokens };
        out.push(EntryAction::Respond { request: key, part });
        self.cancel_tries(key, out);
        self.remove(key);
    }

    pub(super) fn earn(&mut self, key: RequestKey) {
        let percent = policy_of(&self.requests[key].snapshot()).retry_budget_percent;
        let pool = self.pool_of(key);
        self.budgets.entry(pool).or_default().earn(percent);
    }

    fn pool_of(&self, key: RequestKey) -> compact_str::CompactString {
        match &self.requests[key].work {
            Work::Generate(generate) => generate.model.clone(),
            Work::Call(call) => call.pool.clone(),
        }
    }

    /// True if the request may be tried once more; else it was refused.
    pub(super) fn may_retry(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RetryReason,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let max_attempts = policy_of(&self.requests[key].snapshot()).max_attempts;
        let pool = self.pool_of(key);
        let request = &mut self.requests[key];
        request.retries += 1;
        if now >= request.deadline {
            self.give_up(key, RefusalReason::DeadlineExceeded, out);
            return false;
        }
        if request.retries >= max_attempts {
            self.give_up(key, RefusalReason::AttemptsExhausted, out);
            return false;
        }
        if !self.budgets.entry(pool).or_default().spend() {
            self.give_up(key, RefusalReason::RetryBudget, out);
            return false;
        }
        self.record(key, Decision::Retried(reason), None, String::new(), out);
        true
    }

    /// Gives up the newest try and starts another from prompt and text so far.
    pub(super) fn retry(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RetryReason,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.generate(key).idempotent && self.requests[key].may_have_run {
            self.give_up(key, RefusalReason::UpstreamLost, out);
            return;
        }
        if self.generate(key).result.is_some() {
            let detail = format!("tokens {}", self.generate(key).tokens_to_prefill());
            self.record(key, Decision::PrefillWasted, None, detail, out);
        }
        self.cancel_tries(key, out);
        if self.may_retry(now, key, reason, out) {
            self.begin(now, key, out);
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
        self.cancels.remove(&id);
        if let Some(key) = self.decode_of(id) {
            let generate = self.generate_mut(key);
            generate.decode = None;
            generate.tried_decode.push(agent);
            let reason = if failed.reason == REASON_TRANSFER {
                // A lost transfer is the link's fault as often as the engine's.
                RetryReason::TransferFailed
            } else {
                self.blame(now, agent);
                RetryReason::StreamFailed
            };
            self.retry(now, key, reason, out);
        } else if let Some(key) = self.slot_of(id) {
            self.slot_rejected(now, key, agent, id, out);
        } else if let Some(key) = self.prefill_of(id) {
            self.prefill_lost(now, key, agent, RetryReason::PrefillFailed, out);
        }
    }

    /// The prefill did not come; the decode slot is kept for the next one.
    pub(super) fn prefill_lost(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        reason: RetryReason,
        out: &mut Vec<EntryAction>,
    ) {
        self.blame(now, agent);
        if !self.generate(key).idempotent {
            self.give_up(key, RefusalReason::UpstreamLost, out);
            return;
        }
        let generate = self.generate_mut(key);
        generate.result = None;
        generate.tried_prefill.push(agent);
        let lost = generate.prefill.take();
        if let Some(prefill) = lost {
            let id = self.attempt_id(key, prefill.attempt);
            self.cancel(prefill.agent, id, out);
        }
        if self.may_retry(now, key, reason, out) {
            self.start_prefill(now, key, out);
        }
    }

    pub(super) fn generate_lost_agent(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        out: &mut Vec<EntryAction>,
    ) {
        let generate = self.generate(key);
        let is_decode = generate.decode.is_some_and(|one| one.agent == agent);
        let is_prefill = generate.prefill.is_some_and(|one| one.agent == agent);
        let streams = matches!(generate.phase, Phase::Transferring | Phase::Decoding);
        if is_decode && streams {
            self.generate_mut(key).phase = Phase::Resuming;
            self.set_timer(key, now + self.config.resume_timeout);
        } else if is_decode {
            self.generate_mut(key).tried_decode.push(agent);
            self.retry(now, key, RetryReason::AgentLost, out);
        } else if is_prefill && generate.phase == Phase::Prefilling {
            self.prefill_lost(now, key, agent, RetryReason::AgentLost, out);
        } else {
            self.drop_tied(now, key, |one| one.agent == agent, out);
        }
    }

    /// After a connection came back: tells the agent which tries are wanted.
    pub(super) fn resume_tries(
        &mut self,
        now: Duration,
        agent: AgentKey,
        same_incarnation: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let mut points = Vec::new();
        for key in self.requests.keys().collect::<Vec<_>>() {
            match &self.requests[key].work {
                Work::Call(_) => self.call_agent_back(now, key, agent, same_incarnation, out),
                Work::Generate(generate) => {
                    let wanted = generate.decode.filter(|one| one.agent == agent);
                    let Some(one) = wanted.filter(|_| generate.phase == Phase::Resuming) else {
                        continue;
                    };
                    let id = Some(self.attempt_id(key, one.attempt));
                    let (next_index, max_tokens) = (generate.next_index, generate.max_tokens);
                    let rank = self.rank_of(key);
                    points.push(wire::ResumePoint { id, next_index, max_tokens, rank });
                    self.generate_mut(key).phase = Phase::Decoding;
                    self.generate_mut(key).last_token_at = now;
                    self.set_timer(key, now + STALL);
                }
            }
        }
        let message = ToAgent::Resume(wire::Resume { points });
        out.push(EntryAction::Send { agent, message });
    }

    pub(super) fn generate_timer(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        if now >= self.requests[key].deadline {
            self.give_up(key, RefusalReason::DeadlineExceeded, out);
            return;
        }
        let generate = self.generate(key);
        let (decode, prefill) = (generate.decode, generate.prefill);
        match generate.phase {
            Phase::Reserving => self.reserve_timer(now, key, out),
            Phase::Waiting => self.waiting_timer(now, key, out),
            Phase::Prefilling => {
                if let Some(one) = prefill {
                    self.prefill_lost(now, key, one.agent, RetryReason::AgentSilent, out);
                }
            }
            Phase::Transferring => self.retry(now, key, RetryReason::TransferFailed, out),
            Phase::Decoding => self.check_stall(now, key, out),
            Phase::Resuming => {
                if let Some(one) = decode {
                    self.generate_mut(key).tried_decode.push(one.agent);
                }
                self.retry(now, key, RetryReason::AgentLost, out);
            }
        }
    }

    /// No agent answered in time, or a pause before another try is over.
    fn reserve_timer(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate(key);
        let silent: Vec<AgentKey> =
            generate.tied.iter().chain(&generate.decode).map(|one| one.agent).collect();
        if silent.is_empty() {
            self.begin(now, key, out);
            return;
        }
        for agent in silent {
            self.blame(now, agent);
            self.generate_mut(key).tried_decode.push(agent);
        }
        self.retry(now, key, RetryReason::AgentSilent, out);
    }

    fn check_stall(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate(key);
        let stalled_at = generate.last_token_at + STALL;
        if now < stalled_at {
            self.set_timer(key, stalled_at);
            return;
        }
        if let Some(one) = generate.decode {
            self.blame(now, one.agent);
            self.generate_mut(key).tried_decode.push(one.agent);
        }
        self.retry(now, key, RetryReason::StreamFailed, out);
    }
}
