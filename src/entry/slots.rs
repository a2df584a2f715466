//! Decode slots: asked for at a few agents at once, and the first that is free
//! is taken. The prefill starts once the slot is in hand.

use std::time::Duration;

use compact_str::CompactString;

use crate::clock::as_ms_u32;
use crate::clock::from_ms;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::generate::LATE_GRACE;
use crate::entry::request::Phase;
use crate::entry::request::Request;
use crate::entry::request::RequestKey;
use crate::entry::request::Try;
use crate::entry::request::Work;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::PolicyKind;
use crate::policy::admission;
use crate::policy::placement::Candidate;
use crate::policy::placement::policy_of;
use crate::policy::view::AgentKey;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Agents that are asked at once when none has a free slot.
pub(super) const TIES: usize = 2;
const MIN_TIMER: Duration = Duration::from_millis(2);

impl EntryCore {
    /// The request of a try, if the try is a slot that was asked for or taken.
    pub(super) fn slot_of(&self, id: AttemptId) -> Option<RequestKey> {
        let key = self.key_of(id)?;
        let Work::Generate(generate) = &self.requests[key].work else { return None };
        let mut slots = generate.tied.iter().copied().chain(generate.decode);
        slots.any(|one| one.attempt == id.attempt).then_some(key)
    }

    pub(super) fn find_slot(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let snapshot = self.requests[key].snapshot();
        let blocks = self.blocks_needed(key, &snapshot);
        let mut candidates = self.decode_candidates(now, key, &snapshot, blocks, TIES);
        if candidates.is_empty() && !self.generate(key).tried_decode.is_empty() {
            // One that failed before is better than none; the tries are counted.
            self.generate_mut(key).tried_decode.clear();
            candidates = self.decode_candidates(now, key, &snapshot, blocks, TIES);
        }
        self.ask_slots(now, key, &candidates, out);
    }

    /// Asks one agent if it has a free slot by its report, else a few at once.
    pub(super) fn ask_slots(
        &mut self,
        now: Duration,
        key: RequestKey,
        candidates: &[Candidate],
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let blocks = self.blocks_needed(key, &snapshot);
        let Some(first) = candidates.first().copied() else {
            self.no_room(now, key, RefusalReason::NoUpstream, self.config.heartbeat_interval, out);
            return;
        };
        let generate = self.generate_mut(key);
        generate.phase = Phase::Reserving;
        generate.slot_at = Duration::MAX;
        generate.alternate = candidates.get(1).map(|candidate| candidate.agent);
        if first.time.is_zero() || self.config.policy != PolicyKind::Reserve {
            self.ask_slot(now, key, first.agent, blocks, out);
        } else {
            for candidate in candidates {
                self.ask_slot(now, key, candidate.agent, blocks, out);
            }
        }
        self.set_timer(key, now + self.config.reply_timeout);
    }

    fn ask_slot(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        blocks: u32,
        out: &mut Vec<EntryAction>,
    ) {
        let attempt = self.requests[key].next_attempt();
        let expected_tokens = self.expected_output(key);
        let max_wait = self.slot_wait_allowed(now, key);
        let rank = self.rank_of(key);
        self.generate_mut(key).tied.push(Try { agent, attempt });
        if let Some(view) = self.view.get_mut(agent) {
            view.sent_blocks += blocks;
            view.sent_streams += 1;
        }
        let reserve = wire::Reserve {
            id: Some(self.attempt_id(key, attempt)),
            blocks,
            expected_tokens,
            max_wait_ms: as_ms_u32(max_wait),
            rank,
        };
        out.push(EntryAction::Send { agent, message: ToAgent::Reserve(reserve) });
        self.record(key, Decision::Reserving, Some(agent), String::new(), out);
    }

    fn slot_wait_allowed(&self, now: Duration, key: RequestKey) -> Duration {
        let request = &self.requests[key];
        let generate = self.generate(key);
        let until_deadline = request.deadline.saturating_sub(now);
        if !self.config.policy.admits() {
            return until_deadline;
        }
        if let Some(result) = &generate.result {
            return result.lives_until.saturating_sub(now);
        }
        let left = (request.arrived + generate.target).saturating_sub(now);
        if request.retries > 0 { LATE_GRACE.max(left).min(until_deadline) } else { left }
    }

    pub(super) fn on_reserve_reply(
        &mut self,
        now: Duration,
        agent: AgentKey,
        reply: &wire::ReserveReply,
        out: &mut Vec<EntryAction>,
    ) {
        self.report(now, agent, reply.load.as_ref());
        let id = reply.id.unwrap_or_default();
        let Some(key) = self.slot_of(id) else {
            // A slot that nobody waits for any more goes back at once.
            if reply.granted {
                self.cancel(agent, id, out);
            }
            return;
        };
        let detail = format!("granted {} wait_ms {}", reply.granted, reply.wait_ms);
        self.record(key, Decision::Reserved, Some(agent), detail, out);
        let wait = from_ms(reply.wait_ms);
        if !reply.granted {
            self.slot_refused(now, key, agent, id, wait, out);
        } else if wait.is_zero() || !self.config.policy.reserves_first() {
            self.generate_mut(key).slot_at = now + wait;
            self.take_slot(now, key, id, out);
        } else {
            let generate = self.generate_mut(key);
            generate.slot_at = generate.slot_at.min(now + wait);
            if generate.phase == Phase::Reserving {
                generate.phase = Phase::Waiting;
                self.waiting_timer(now, key, out);
            }
        }
    }

    /// A slot that was promised is free now.
    pub(super) fn on_slot_ready(
        &mut self,
        now: Duration,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(key) = self.slot_of(id) else { return };
        if self.generate(key).decode.is_none() {
            self.generate_mut(key).slot_at = now;
            self.take_slot(now, key, id, out);
        }
    }

    /// Takes the slot and gives the others back.
    fn take_slot(
        &mut self,
        now: Duration,
        key: RequestKey,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        let tied = std::mem::take(&mut self.generate_mut(key).tied);
        for one in tied {
            if one.attempt == id.attempt {
                self.generate_mut(key).decode = Some(one);
            } else {
                let other = self.attempt_id(key, one.attempt);
                self.cancel(one.agent, other, out);
            }
        }
        if self.generate(key).phase == Phase::Waiting {
            self.note_wait_ended(now, key);
        }
        let generate = self.generate(key);
        match generate.phase {
            Phase::Reserving | Phase::Waiting if generate.result.is_none() => {
                self.start_prefill(now, key, out);
            }
            Phase::Reserving => self.send_decode(now, key, out),
            _ => {}
        }
    }

    /// The prefill result is there: it goes to the slot, or one is looked for.
    pub(super) fn prefill_ready(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        if self.generate(key).decode.is_some() {
            self.send_decode(now, key, out);
        } else {
            self.find_slot(now, key, out);
        }
    }

    fn note_wait_ended(&mut self, now: Duration, key: RequestKey) {
        let model = self.generate(key).model.clone();
        let others = self.waiting_for_slot(&model) - 1;
        self.queues.entry(model).or_default().taken(now, others);
    }

    /// Requests of a model that wait here for a slot.
    pub(super) fn waiting_for_slot(&self, model: &str) -> usize {
        let waits = |request: &&Request| match &request.work {
            Work::Generate(generate) => generate.phase == Phase::Waiting && generate.model == model,
            Work::Call(_) => false,
        };
        self.requests.values().filter(waits).count()
    }

    fn slot_refused(
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
        generate.tied.retain(|one| one.attempt != id.attempt);
        generate.tried_decode.push(agent);
        let waits = !generate.tied.is_empty() || generate.decode.is_some();
        if waits || generate.phase == Phase::Prefilling {
            return;
        }
        let other =
            generate.alternate.take().filter(|other| !generate.tried_decode.contains(other));
        let Some(other) = other else {
            self.no_room(now, key, RefusalReason::Overloaded, wait, out);
            return;
        };
        self.record(
            key,
            Decision::Retried(RetryReason::DecodeFull),
            Some(agent),
            String::new(),
            out,
        );
        let blocks = self.blocks_needed(key, &snapshot);
        self.generate_mut(key).phase = Phase::Reserving;
        self.ask_slot(now, key, other, blocks, out);
        self.set_timer(key, now + self.config.reply_timeout);
    }

    /// The agent leaves, or does not know the slot any more.
    pub(super) fn slot_rejected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        id: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        let generate = self.generate_mut(key);
        generate.tried_decode.push(agent);
        if generate.decode.is_some_and(|one| one.attempt == id.attempt) {
            generate.decode = None;
            self.retry(now, key, RetryReason::AgentLeaving, out);
            return;
        }
        self.drop_tied(now, key, |one| one.attempt == id.attempt, out);
    }

    /// Drops slots that will not come; looks for others if none is left.
    pub(super) fn drop_tied(
        &mut self,
        now: Duration,
        key: RequestKey,
        is_gone: impl Fn(&Try) -> bool,
        out: &mut Vec<EntryAction>,
    ) {
        let generate = self.generate_mut(key);
        let before = generate.tied.len();
        generate.tied.retain(|one| !is_gone(one));
        let dropped = generate.tied.len() < before;
        if !dropped || !generate.tied.is_empty() || generate.decode.is_some() {
            return;
        }
        let phase = generate.phase;
        match phase {
            Phase::Reserving | Phase::Waiting
                if self.may_retry(now, key, RetryReason::AgentLeaving, out) =>
            {
                self.find_slot(now, key, out);
            }
            _ => {}
        }
    }

    /// After this time a prefill can no longer meet the request's target.
    fn latest_start(&self, key: RequestKey, takes: Duration) -> Duration {
        let request = &self.requests[key];
        let percent = policy_of(&request.snapshot()).admit_at_target_percent;
        let target = admission::usable(self.generate(key).target, percent);
        (request.arrived + target).saturating_sub(takes)
    }

    /// Refuses a request that waits for a slot once it can no longer meet its
    /// target, or sets the time for that.
    pub(super) fn waiting_timer(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.is_new(key) {
            self.set_timer(key, now + LATE_GRACE);
            return;
        }
        let snapshot = self.requests[key].snapshot();
        let zone = self.decode_zone(key);
        let candidate = self.prefill_candidate(now, key, &snapshot, zone.as_deref());
        let takes = candidate.map_or(Duration::ZERO, |candidate| candidate.time);
        let give_up_at = self.latest_start(key, takes);
        if now < give_up_at {
            self.set_timer(key, give_up_at.max(now + MIN_TIMER));
            return;
        }
        let wait = self.generate(key).slot_at.saturating_sub(now).max(self.config.reply_timeout);
        self.release_slots(key, out);
        self.no_room(now, key, RefusalReason::Overloaded, wait, out);
    }

    pub(super) fn decode_zone(&self, key: RequestKey) -> Option<CompactString> {
        let generate = self.generate(key);
        let likely = generate.decode.or(generate.tied.first().copied())?;
        self.view.get(likely.agent).map(|view| view.zone.clone())
    }

    pub(super) fn release_slots(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        let generate = self.generate_mut(key);
        let tied = std::mem::take(&mut generate.tied);
        let held = tied.into_iter().chain(generate.decode.take()).collect::<Vec<_>>();
        for one in held {
            let id = self.attempt_id(key, one.attempt);
            self.cancel(one.agent, id, out);
        }
    }
}
