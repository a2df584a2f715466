//! Reservation of a decode slot for a generation.
//!
//! If no agent reports a free slot, several are asked at once. The first slot to
//! become free is used and the other reservations are cancelled. Under policies
//! that reserve first, the prefill starts only once the slot is free.

use std::time::Duration;

use compact_str::CompactString;

use crate::clock::as_ms_u32;
use crate::clock::from_ms;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::generate::MISSED_TARGET_EXTENSION;
use crate::entry::request::Attempt;
use crate::entry::request::GeneratePhase;
use crate::entry::request::Request;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::PolicyKind;
use crate::policy::admission;
use crate::policy::agents::AgentKey;
use crate::policy::placement::Candidate;
use crate::policy::placement::policy_of;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Number of agents asked at once for a slot when none reports a free one.
pub(super) const RESERVE_FAN_OUT: usize = 2;
/// Shortest time until a waiting request is checked again.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(2);

impl EntryCore {
    /// The request for which this attempt asked for, or holds, a decode slot.
    pub(super) fn find_by_slot_attempt(&self, id: AttemptId) -> Option<RequestKey> {
        let key = self.find_request(id)?;
        let Work::Generate(generate) = &self.requests[key].work else { return None };
        let mut slots =
            generate.pending_reservations.iter().copied().chain(generate.decode_attempt);
        slots.any(|attempt| attempt.number == id.attempt).then_some(key)
    }

    /// Chooses decode agents and asks them for a slot.
    pub(super) fn reserve_slot(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let blocks = self.blocks_needed(key, &snapshot);
        let mut candidates = self.decode_candidates(now, key, &snapshot, blocks, RESERVE_FAN_OUT);
        if candidates.is_empty() && !self.generate(key).excluded_decode.is_empty() {
            // An agent that failed before is better than none; attempts are limited.
            self.generate_mut(key).excluded_decode.clear();
            candidates = self.decode_candidates(now, key, &snapshot, blocks, RESERVE_FAN_OUT);
        }
        self.request_slots(now, key, &candidates, out);
    }

    /// Asks the best candidate for a slot. Under [`PolicyKind::Reserve`], all
    /// candidates are asked if even the best one is predicted to have none free.
    pub(super) fn request_slots(
        &mut self,
        now: Duration,
        key: RequestKey,
        candidates: &[Candidate],
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let blocks = self.blocks_needed(key, &snapshot);
        let Some(first) = candidates.first().copied() else {
            self.on_no_capacity(
                now,
                key,
                RefusalReason::NoUpstream,
                self.config.heartbeat_interval,
                out,
            );
            return;
        };
        let generate = self.generate_mut(key);
        generate.phase = GeneratePhase::Reserving;
        generate.is_kept = false;
        generate.slot_free_at = Duration::MAX;
        generate.alternate_agent = candidates.get(1).map(|candidate| candidate.agent);
        if first.expected_time.is_zero() || self.config.policy != PolicyKind::Reserve {
            self.request_slot(now, key, first.agent, blocks, out);
        } else {
            for candidate in candidates {
                self.request_slot(now, key, candidate.agent, blocks, out);
            }
        }
        self.set_timer(key, now + self.config.reply_timeout);
    }

    fn request_slot(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        blocks: u32,
        out: &mut Vec<EntryAction>,
    ) {
        let number = self.requests[key].next_attempt();
        let expected_tokens = self.expected_output_tokens(key);
        let max_wait = self.max_slot_wait(now, key);
        let rank = self.rank_of(key);
        self.generate_mut(key).pending_reservations.push(Attempt { agent, number });
        if let Some(view) = self.agents.get_mut(agent) {
            view.sent_blocks += blocks;
            view.sent_streams += 1;
        }
        let reserve = wire::Reserve {
            id: Some(self.attempt_id(key, number)),
            blocks,
            expected_tokens,
            max_wait_ms: as_ms_u32(max_wait),
            rank,
        };
        out.push(EntryAction::Send { agent, message: ToAgent::Reserve(reserve) });
        self.record_decision(key, Decision::Reserving, Some(agent), String::new(), out);
    }

    /// Longest wait for a slot that is still of use to the request.
    fn max_slot_wait(&self, now: Duration, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let generate = self.generate(key);
        let until_deadline = request.deadline.saturating_sub(now);
        if !self.config.policy.has_admission_control() {
            return until_deadline;
        }
        if let Some(result) = &generate.prefill_result {
            return result.evicted_at.saturating_sub(now);
        }
        let until_target = (request.received_at + generate.first_token_target).saturating_sub(now);
        if request.failures > 0 {
            MISSED_TARGET_EXTENSION.max(until_target).min(until_deadline)
        } else {
            until_target
        }
    }

    pub(super) fn on_reserve_reply(
        &mut self,
        now: Duration,
        agent: AgentKey,
        reply: &wire::ReserveReply,
        out: &mut Vec<EntryAction>,
    ) {
        self.update_load(now, agent, reply.load.as_ref());
        let id = reply.id.unwrap_or_default();
        let Some(key) = self.find_by_slot_attempt(id) else {
            // No request needs the slot any more, so it is given back at once.
            if reply.granted {
                self.cancel(agent, id, out);
            }
            return;
        };
        let detail = format!("granted {} wait_ms {}", reply.granted, reply.wait_ms);
        self.record_decision(key, Decision::Reserved, Some(agent), detail, out);
        let wait = from_ms(reply.wait_ms);
        if !reply.granted {
            self.slot_not_granted(now, key, agent, id, wait, out);
        } else if wait.is_zero() || !self.config.policy.reserves_before_prefill() {
            self.generate_mut(key).slot_free_at = now + wait;
            self.accept_slot(now, key, id, out);
        } else {
            let generate = self.generate_mut(key);
            generate.slot_free_at = generate.slot_free_at.min(now + wait);
            if generate.phase == GeneratePhase::Reserving {
                generate.phase = GeneratePhase::Waiting;
                self.check_slot_wait(now, key, out);
            }
        }
    }

    /// Handles the message that a slot, for which the request is queued at an agent, is
    /// free.
    pub(super) fn on_slot_ready(
        &mut self,
        now: Duration,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(key) = self.find_by_slot_attempt(id) else { return };
        if self.generate(key).decode_attempt.is_none() {
            self.generate_mut(key).slot_free_at = now;
            self.accept_slot(now, key, id, out);
        }
    }

    /// Uses the slot of this attempt, cancels the other reservations and starts
    /// the next step.
    fn accept_slot(
        &mut self,
        now: Duration,
        key: RequestKey,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        let pending_reservations = std::mem::take(&mut self.generate_mut(key).pending_reservations);
        for attempt in pending_reservations {
            if attempt.number == id.attempt {
                self.generate_mut(key).decode_attempt = Some(attempt);
            } else {
                let other = self.attempt_id(key, attempt.number);
                self.cancel(attempt.agent, other, out);
            }
        }
        if self.generate(key).phase == GeneratePhase::Waiting {
            self.record_slot_wait_end(now, key);
        }
        let generate = self.generate(key);
        match generate.phase {
            GeneratePhase::Reserving | GeneratePhase::Waiting
                if generate.prefill_result.is_none() =>
            {
                self.start_prefill(now, key, out);
            }
            GeneratePhase::Reserving => self.send_decode(now, key, out),
            _ => {}
        }
    }

    /// Continues after a completed prefill: decodes in the reserved slot, or
    /// reserves one first.
    pub(super) fn prefill_ready(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        if self.generate(key).decode_attempt.is_some() {
            self.send_decode(now, key, out);
        } else {
            self.reserve_slot(now, key, out);
        }
    }

    /// Updates the model's slot wait estimator when a waiting request takes a slot.
    fn record_slot_wait_end(&mut self, now: Duration, key: RequestKey) {
        let model = self.generate(key).model.clone();
        let others = self.waiting_for_slot(&model) - 1;
        self.slot_wait_estimators.entry(model).or_default().record_slot_taken(now, others);
    }

    /// Number of this entry's requests for the model that are queued for a slot at
    /// agents.
    pub(super) fn waiting_for_slot(&self, model: &str) -> usize {
        let waits_for_slot = |request: &&Request| match &request.work {
            Work::Generate(generate) => {
                generate.phase == GeneratePhase::Waiting && generate.model == model
            }
            Work::Call(_) => false,
        };
        self.requests.values().filter(waits_for_slot).count()
    }

    /// Handles an agent's reply that it grants no slot: asks the alternate agent
    /// if no other reservation is pending.
    fn slot_not_granted(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        id: AttemptId,
        wait: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let generate = self.generate_mut(key);
        generate.pending_reservations.retain(|attempt| attempt.number != id.attempt);
        generate.excluded_decode.push(agent);
        let has_other_reservation =
            !generate.pending_reservations.is_empty() || generate.decode_attempt.is_some();
        if has_other_reservation || generate.phase == GeneratePhase::Prefilling {
            return;
        }
        let other = generate
            .alternate_agent
            .take()
            .filter(|other| !generate.excluded_decode.contains(other));
        let Some(other) = other else {
            self.on_no_capacity(now, key, RefusalReason::Overloaded, wait, out);
            return;
        };
        self.record_decision(
            key,
            Decision::Retried(RetryReason::DecodeFull),
            Some(agent),
            String::new(),
            out,
        );
        let blocks = self.blocks_needed(key, &snapshot);
        self.generate_mut(key).phase = GeneratePhase::Reserving;
        self.request_slot(now, key, other, blocks, out);
        self.set_timer(key, now + self.config.reply_timeout);
    }

    /// Handles the rejection or loss of a reservation: the agent is leaving, does not
    /// know yet which streams its engine runs, or no longer holds the reservation.
    pub(super) fn slot_rejected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        let generate = self.generate_mut(key);
        generate.excluded_decode.push(agent);
        if generate.decode_attempt.is_some_and(|attempt| attempt.number == id.attempt) {
            generate.decode_attempt = None;
            self.retry(now, key, RetryReason::AgentLeaving, out);
            return;
        }
        self.drop_pending_reservations(now, key, |attempt| attempt.number == id.attempt, out);
    }

    /// Drops the pending reservations that are lost, and reserves again if none is
    /// left.
    pub(super) fn drop_pending_reservations(
        &mut self,
        now: Duration,
        key: RequestKey,
        is_lost: impl Fn(&Attempt) -> bool,
        out: &mut Vec<EntryAction>,
    ) {
        let generate = self.generate_mut(key);
        let before = generate.pending_reservations.len();
        generate.pending_reservations.retain(|attempt| !is_lost(attempt));
        let dropped = generate.pending_reservations.len() < before;
        if !dropped
            || !generate.pending_reservations.is_empty()
            || generate.decode_attempt.is_some()
        {
            return;
        }
        let phase = generate.phase;
        match phase {
            GeneratePhase::Reserving | GeneratePhase::Waiting
                if self.may_retry(now, key, RetryReason::AgentLeaving, out) =>
            {
                self.reserve_slot(now, key, out);
            }
            _ => {}
        }
    }

    /// Latest time at which a prefill that takes `prefill_time` can start and still
    /// meet the part of the first-token target up to which requests are admitted.
    fn latest_start(&self, key: RequestKey, prefill_time: Duration) -> Duration {
        let request = &self.requests[key];
        let percent = policy_of(&request.snapshot()).admit_at_target_percent;
        let target = admission::usable_target(self.generate(key).first_token_target, percent);
        (request.received_at + target).saturating_sub(prefill_time)
    }

    /// Refuses a request that waits for a slot if it can no longer meet its
    /// target, or sets a timer for the time when it no longer can. A request that
    /// may have run is not refused but checked again later.
    pub(super) fn check_slot_wait(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.is_new(key) {
            self.set_timer(key, now + MISSED_TARGET_EXTENSION);
            return;
        }
        let snapshot = self.requests[key].snapshot();
        let zone = self.decode_zone(key);
        let candidate = self.prefill_candidate(now, key, &snapshot, zone.as_deref());
        let prefill_time = candidate.map_or(Duration::ZERO, |candidate| candidate.expected_time);
        let refuse_at = self.latest_start(key, prefill_time);
        if now < refuse_at {
            self.set_timer(key, refuse_at.max(now + MIN_TIMER_DELAY));
            return;
        }
        let wait =
            self.generate(key).slot_free_at.saturating_sub(now).max(self.config.reply_timeout);
        self.release_reservations(key, out);
        self.on_no_capacity(now, key, RefusalReason::Overloaded, wait, out);
    }

    /// Availability zone of the decode agent in use, or of the first one asked.
    pub(super) fn decode_zone(&self, key: RequestKey) -> Option<CompactString> {
        let generate = self.generate(key);
        let attempt = generate.decode_attempt.or(generate.pending_reservations.first().copied())?;
        self.agents.get(attempt.agent).map(|view| view.zone.clone())
    }

    /// Cancels every reservation of the request.
    pub(super) fn release_reservations(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate_mut(key);
        let pending_reservations = std::mem::take(&mut generate.pending_reservations);
        let reservations = pending_reservations
            .into_iter()
            .chain(generate.decode_attempt.take())
            .collect::<Vec<_>>();
        for attempt in reservations {
            let id = self.attempt_id(key, attempt.number);
            self.cancel(attempt.agent, id, out);
        }
    }
}
