//! First steps of a generation: admission and the choice of its attempts.
//!
//! Under policies that reserve first, the prefill is sent only once the request
//! holds a decode slot.

use std::time::Duration;

use crate::clock::from_ms;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::request::Generate;
use crate::entry::request::GeneratePhase;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::entry::slots::RESERVE_FAN_OUT;
use crate::manifest::Snapshot;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::policy::PolicyKind;
use crate::policy::admission;
use crate::policy::admission::Admission;
use crate::policy::admission::Prediction;
use crate::policy::placement::Candidate;
use crate::policy::placement::policy_of;
use crate::policy::retry::with_jitter;
use crate::schema::manifest::Model;
use crate::schema::wire::AttemptId;

const US_PER_MS: u32 = 1_000;
/// Assumed share of the requested maximum that a generation produces, used until
/// the model has completed one.
pub(super) const DEFAULT_OUTPUT_SHARE: f64 = 0.6;
/// Number of prompt tokens that one output token counts for in the usage of a
/// client account.
const DECODE_TOKEN_WEIGHT: u32 = 4;
/// Extra time that each step may take once the request misses its first-token
/// target.
pub(super) const MISSED_TARGET_EXTENSION: Duration = Duration::from_secs(2);
/// Delay, before jitter, after which a started generation looks for capacity
/// again.
const NO_CAPACITY_RETRY: Duration = Duration::from_millis(100);

impl EntryCore {
    pub(super) fn generate(&self, key: RequestKey) -> &Generate {
        match &self.requests[key].work {
            Work::Generate(generate) => generate,
            Work::Call(_) => unreachable!("the request is a call, not a generation"),
        }
    }

    pub(super) fn generate_mut(&mut self, key: RequestKey) -> &mut Generate {
        match &mut self.requests[key].work {
            Work::Generate(generate) => generate,
            Work::Call(_) => unreachable!("the request is a call, not a generation"),
        }
    }

    /// The request that decodes in the slot of this attempt.
    pub(super) fn find_by_decode_attempt(&self, id: AttemptId) -> Option<RequestKey> {
        let key = self.find_request(id)?;
        let Work::Generate(generate) = &self.requests[key].work else { return None };
        generate.decode_attempt.is_some_and(|attempt| attempt.number == id.attempt).then_some(key)
    }

    /// The request whose prefill was sent as this attempt.
    pub(super) fn find_by_prefill_attempt(&self, id: AttemptId) -> Option<RequestKey> {
        let key = self.find_request(id)?;
        let Work::Generate(generate) = &self.requests[key].work else { return None };
        generate.prefill_attempt.is_some_and(|attempt| attempt.number == id.attempt).then_some(key)
    }

    pub(super) fn start_generate(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let Some(model) = snapshot.model(&self.generate(key).model) else {
            self.refuse(key, Refusal::not_run(RefusalReason::UnknownModel, None), out);
            return;
        };
        if self.generate(key).prompt_tokens > model.max_prompt_tokens {
            self.refuse(key, Refusal::not_run(RefusalReason::PromptTooLong, None), out);
            return;
        }
        let account = self.requests[key].account.clone();
        let weight = snapshot.account_weight(&account);
        if weight.is_none() && !snapshot.manifest.client_accounts.is_empty() {
            let detail = format!("x-client-account: no client account {account:?}");
            let refusal = Refusal::not_run(RefusalReason::UnknownAccount, None);
            self.refuse(key, Refusal { detail, ..refusal }, out);
            return;
        }
        let generate = self.generate_mut(key);
        generate.max_tokens = generate.max_tokens.clamp(1, model.max_output_tokens);
        let prompt_tokens = generate.prompt_tokens;
        let cost = prompt_tokens + DECODE_TOKEN_WEIGHT * self.expected_output_tokens(key);
        let mut candidates = Vec::new();
        if self.config.policy.has_admission_control() {
            let blocks = self.blocks_needed(key, &snapshot);
            candidates = self.decode_candidates(now, key, &snapshot, blocks, RESERVE_FAN_OUT);
            if !self.admit(now, key, model, &snapshot, candidates.first(), out) {
                return;
            }
        }
        self.fair_share.record_admitted(now, &account, weight.unwrap_or(1), cost);
        self.record_decision(key, Decision::Admitted, None, String::new(), out);
        if self.config.policy.reserves_before_prefill() {
            self.request_slots(now, key, &candidates, out);
        } else {
            self.start_attempt(now, key, out);
        }
    }

    /// Refuses a request if no agents accept work, if it is predicted to miss its
    /// first-token target, or if its account exceeds its fair share. Returns true if
    /// the request is admitted.
    fn admit(
        &mut self,
        now: Duration,
        key: RequestKey,
        model: &Model,
        snapshot: &Snapshot,
        decode: Option<&Candidate>,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let percent = policy_of(snapshot).admit_at_target_percent;
        let target = self.generate(key).first_token_target;
        let prediction = decode.and_then(|decode| self.predict(now, key, model, snapshot, decode));
        let Some(prediction) = prediction else {
            let retry_after = Some(with_jitter(self.config.heartbeat_interval, &mut self.rng));
            self.refuse(key, Refusal::not_run(RefusalReason::NoUpstream, retry_after), out);
            return false;
        };
        if let Admission::Refuse { retry_after } = admission::admit(&prediction, target, percent) {
            let retry_after = Some(with_jitter(retry_after, &mut self.rng));
            self.refuse(key, Refusal::not_run(RefusalReason::Overloaded, retry_after), out);
            return false;
        }
        let pressure = admission::pressure(&prediction, target, percent);
        let account = self.requests[key].account.clone();
        if self.fair_share.exceeds_share(now, &account, pressure) {
            let retry_after = Some(with_jitter(target, &mut self.rng));
            self.refuse(key, Refusal::not_run(RefusalReason::FairShare, retry_after), out);
            return false;
        }
        true
    }

    /// Predicts the durations of the phases until the first token; `None` if no
    /// prefill agent accepts work.
    fn predict(
        &mut self,
        now: Duration,
        key: RequestKey,
        model: &Model,
        snapshot: &Snapshot,
        decode: &Candidate,
    ) -> Option<Prediction> {
        let view = self.agents.get(decode.agent)?;
        let zone = view.zone.clone();
        let pool = snapshot.pool(&model.decode_pool);
        let step_us = view.load.step_us.max(pool.map_or(0, |pool| pool.step_us(1)));
        let prefill = self.prefill_candidate(now, key, snapshot, Some(&zone))?;
        let decode_wait = match self.config.policy {
            PolicyKind::Reserve => self.queue_wait(&model.name),
            _ => decode.expected_time,
        };
        Some(Prediction {
            decode_wait,
            prefill: prefill.expected_time,
            first_step: from_ms(step_us / US_PER_MS),
        })
    }

    /// Predicted wait behind this entry's requests that wait for a slot.
    fn queue_wait(&self, model: &str) -> Duration {
        let waiting = self.waiting_for_slot(model);
        self.slot_wait_estimators
            .get(model)
            .map_or(Duration::ZERO, |estimator| estimator.expected_wait(waiting))
    }

    /// KV cache blocks that the prompt and the requested maximum of tokens need.
    pub(super) fn blocks_needed(&self, key: RequestKey, snapshot: &Snapshot) -> u32 {
        let generate = self.generate(key);
        let pool =
            snapshot.model(&generate.model).and_then(|model| snapshot.pool(&model.decode_pool));
        pool.map_or(0, |pool| pool.blocks_for(generate.prompt_tokens + generate.max_tokens))
    }

    /// Expected number of tokens still to be generated, at least 1.
    pub(super) fn expected_output_tokens(&self, key: RequestKey) -> u32 {
        let generate = self.generate(key);
        let share = self.model_stats.get(&generate.model).and_then(|stats| stats.output_share);
        let tokens = f64::from(generate.max_tokens) * share.unwrap_or(DEFAULT_OUTPUT_SHARE);
        (tokens as u32).saturating_sub(generate.next_index).max(1)
    }

    /// Starts an attempt by reserving a slot or with the prefill, as the policy says.
    pub(super) fn start_attempt(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let generate = self.generate_mut(key);
        generate.prefill_result = None;
        generate.alternate_agent = None;
        if self.config.policy.reserves_before_prefill() {
            self.reserve_slot(now, key, out);
        } else {
            self.start_prefill(now, key, out);
        }
    }

    /// Scheduling rank of the request, lower first. A generation that has passed
    /// on a token gets 0, the most urgent.
    pub(super) fn rank_of(&self, key: RequestKey) -> u32 {
        let generate = self.generate(key);
        if generate.next_index > 0 { 0 } else { generate.rank }
    }

    /// True while no upstream has worked for the request, so that it can be
    /// refused as not run.
    pub(super) fn is_new(&self, key: RequestKey) -> bool {
        !self.requests[key].may_have_run && self.generate(key).next_index == 0
    }

    /// Handles a lack of capacity. A new request is refused, and so is any request
    /// without a token under a policy that prefills first. Other requests look for
    /// capacity again until their deadline.
    pub(super) fn on_no_capacity(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RefusalReason,
        wait: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        // A policy that prefills first has no reservation to wait for, so it refuses.
        let refuses =
            !self.config.policy.reserves_before_prefill() && self.generate(key).next_index == 0;
        if refuses && self.return_to_silent_attempt(now, key, out) {
            return;
        }
        if self.is_new(key) || refuses {
            let retry_after = Some(with_jitter(wait, &mut self.rng));
            let outcome = self.requests[key].outcome();
            self.refuse(key, Refusal { reason, outcome, retry_after, detail: String::new() }, out);
            return;
        }
        let generate = self.generate_mut(key);
        generate.decode_attempt = None;
        generate.phase = GeneratePhase::Reserving;
        generate.excluded_decode.clear();
        generate.excluded_prefill.clear();
        let retry_after = with_jitter(NO_CAPACITY_RETRY, &mut self.rng);
        self.set_timer(key, now + retry_after);
    }
}
