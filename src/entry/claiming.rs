//! Claims the idempotency key of a call in the log before the call is sent.
//!
//! This holds for calls that are not idempotent and carry a key. Of all requests
//! with the same key only the owner of the key is sent.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::claims::ClaimKey;
use crate::entry::claims::KeyOwner;
use crate::entry::request::CallPhase;
use crate::entry::request::IncomingCall;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::retry::with_jitter;
use crate::schema::record::Claim;
use crate::schema::record::ClaimBatch;
use crate::schema::record::Completion;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Retry delay advised to callers while the log cannot be reached.
pub(super) const LOG_UNAVAILABLE_RETRY: Duration = Duration::from_secs(2);
/// Retry delay advised to callers while another request with the key may run.
const KEY_IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

impl EntryCore {
    /// Claims the key of a call, or refuses the call if the log cannot be reached
    /// or another request owns the key.
    pub(super) fn claim_or_refuse(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(claim_key) = self.call(key).claim_key else { return };
        if !self.log_reachable {
            let retry_after = Some(with_jitter(LOG_UNAVAILABLE_RETRY, &mut self.rng));
            self.refuse(key, Refusal::not_run(RefusalReason::LogUnavailable, retry_after), out);
            return;
        }
        match self.claims.owner(claim_key).cloned() {
            None => self.claim(now, key, 0, out),
            Some(owner) => self.handle_existing_owner(now, key, &owner, out),
        }
    }

    /// Handles a call whose key another request owns. The call is refused if it differs
    /// from the owner's call, if that has completed or is in flight at this entry, or if
    /// the owner's agent was restarted or is not connected. Otherwise the agent is asked
    /// to fence the owner's attempt unless it has started.
    fn handle_existing_owner(
        &mut self,
        now: Duration,
        key: RequestKey,
        owner: &KeyOwner,
        out: &mut Vec<EntryAction>,
    ) {
        if owner.digest != digest(&self.call(key).incoming) {
            self.refuse(key, Refusal::not_run(RefusalReason::KeyReused, None), out);
            return;
        }
        if let Some(status) = owner.status {
            let mut refusal = Refusal::with_outcome(RefusalReason::KeyCompleted, Outcome::Ran);
            refusal.detail = format!("the first request with this key ended with status {status}");
            self.refuse(key, refusal, out);
            return;
        }
        let agent = self.agents.key_by_name(&owner.agent).filter(|&agent| {
            let view = self.agents.get(agent);
            view.is_some_and(|view| view.connected && view.incarnation == owner.agent_incarnation)
        });
        let in_flight_here =
            owner.id.entry == self.config.incarnation && self.find_request(owner.id).is_some();
        let Some(agent) = agent.filter(|_| !in_flight_here) else {
            self.refuse_in_progress(key, out);
            return;
        };
        let call = self.call_mut(key);
        call.phase = CallPhase::FencingOwner { offset: owner.offset };
        call.owner_attempt = Some(owner.id);
        let abandon = wire::Abandon { id: Some(owner.id), incarnation: owner.agent_incarnation };
        out.push(EntryAction::Send { agent, message: ToAgent::Abandon(abandon) });
        self.set_timer(key, now + self.config.reply_timeout);
    }

    /// Refuses a call because another request with its key may still run.
    pub(super) fn refuse_in_progress(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        let mut refusal = Refusal::with_outcome(RefusalReason::KeyInProgress, Outcome::Unknown);
        refusal.retry_after = Some(with_jitter(KEY_IN_PROGRESS_RETRY, &mut self.rng));
        self.refuse(key, refusal, out);
    }

    /// Queues a claim that names the only agent that the call may be sent to.
    /// `takes_over` is the offset of the claim to replace plus one, or 0 for none.
    pub(super) fn claim(
        &mut self,
        now: Duration,
        key: RequestKey,
        takes_over: u64,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(agent) = self.choose_agent(now, key) else {
            self.refuse_no_upstream(key, out);
            return;
        };
        let attempt = self.requests[key].next_attempt();
        let view =
            self.agents.get(agent).expect("an agent that was just chosen is in the agent table");
        let (name, incarnation) = (view.name.to_string(), view.incarnation);
        let id = self.attempt_id(key, attempt);
        let call = self.call_mut(key);
        let Some(claim_key) = call.claim_key else { return };
        call.phase = CallPhase::Claiming;
        call.agent_incarnation = incarnation;
        let claim = Claim {
            key_high: claim_key.high,
            key_low: claim_key.low,
            entry: id.entry,
            request: id.request,
            attempt,
            agent: name,
            agent_incarnation: incarnation,
            digest: digest(&call.incoming),
            takes_over,
        };
        self.unsent_claims.claims.push(claim);
        self.record_decision(key, Decision::Claiming, Some(agent), String::new(), out);
        self.set_timer(key, now + self.config.claim_timeout);
    }

    /// Handles a record read from the claim stream, `age` after it was appended.
    pub fn on_claim_record(
        &mut self,
        now: Duration,
        offset: u64,
        age: Duration,
        batch: &ClaimBatch,
        out: &mut Vec<EntryAction>,
    ) {
        self.log_reachable = true;
        self.claims.apply(offset, now.saturating_sub(age), batch);
        let window = self.manifest_fold.in_force().map(|snapshot| snapshot.idempotency_window());
        if let Some(window) = window {
            self.claims.forget_before(now.saturating_sub(window));
        }
        for claim in &batch.claims {
            if claim.entry == self.config.incarnation {
                self.on_own_claim(now, offset, claim, out);
            }
        }
        self.flush(now, out);
    }

    /// Handles a claim of this entry that was read back from the log.
    fn on_own_claim(
        &mut self,
        now: Duration,
        offset: u64,
        claim: &Claim,
        out: &mut Vec<EntryAction>,
    ) {
        let id = AttemptId { entry: claim.entry, request: claim.request, attempt: claim.attempt };
        let claim_key = ClaimKey { high: claim.key_high, low: claim.key_low };
        let Some(owner) = self.claims.owner(claim_key).cloned() else { return };
        let won = owner.id == id && owner.offset == offset;
        let waiting = self.find_request(id).filter(|&key| self.waits_for_claim(key, id.attempt));
        match waiting {
            Some(key) if won => self.claim_won(now, key, &owner, out),
            Some(key) => self.handle_existing_owner(now, key, &owner, out),
            // The request ended before its claim was read back: it was refused as not
            // run, or its caller disconnected. Nothing was sent, so the key is released.
            None if won && self.find_request(id).is_none() => {
                self.complete_claim(claim_key, id, 0, true)
            }
            None => {}
        }
    }

    fn waits_for_claim(&self, key: RequestKey, attempt: u32) -> bool {
        match &self.requests[key].work {
            Work::Call(call) => {
                call.phase == CallPhase::Claiming && self.requests[key].attempt == attempt
            }
            Work::Generate(_) => false,
        }
    }

    fn claim_won(
        &mut self,
        now: Duration,
        key: RequestKey,
        owner: &KeyOwner,
        out: &mut Vec<EntryAction>,
    ) {
        self.record_decision(key, Decision::Claimed, None, format!("offset {}", owner.offset), out);
        let agent = self.agents.key_by_name(&owner.agent).filter(|&agent| {
            let view = self.agents.get(agent);
            let same_incarnation =
                view.is_some_and(|view| view.incarnation == owner.agent_incarnation);
            same_incarnation && view.is_some_and(|view| view.accepts_work(now))
        });
        match agent {
            Some(agent) => self.send_call_to(now, key, agent, owner.id.attempt, out),
            // Nothing was sent, so this request may take over its own claim.
            None => self.claim(now, key, owner.offset + 1, out),
        }
    }

    /// Queues a record that the call of the attempt `id` completed with `status`. If
    /// `not_run` is true, the record releases the key instead.
    pub(super) fn complete_claim(
        &mut self,
        claim_key: ClaimKey,
        id: AttemptId,
        status: u32,
        not_run: bool,
    ) {
        self.unsent_claims.completions.push(Completion {
            key_high: claim_key.high,
            key_low: claim_key.low,
            entry: id.entry,
            request: id.request,
            status,
            not_run,
        });
    }

    /// Records whether the log can be reached. While it cannot, calls that must
    /// claim a key are refused.
    pub fn set_log_reachable(&mut self, reachable: bool) {
        self.log_reachable = reachable;
    }

    /// Handles a batch of claims whose append failed. The log may hold the batch all
    /// the same, if only the log's response was lost, so no request is refused here:
    /// claims that are still waited for are appended again until the request's timer
    /// fires, and completions until the append succeeds.
    pub fn claims_not_appended(
        &mut self,
        now: Duration,
        batch: ClaimBatch,
        out: &mut Vec<EntryAction>,
    ) {
        self.log_reachable = false;
        let still_waiting = batch.claims.into_iter().filter(|claim| {
            let id =
                AttemptId { entry: claim.entry, request: claim.request, attempt: claim.attempt };
            self.find_request(id).is_some_and(|key| self.waits_for_claim(key, id.attempt))
        });
        // Appending a claim twice is harmless, since both records name the same attempt.
        let retried =
            ClaimBatch { claims: still_waiting.collect(), completions: batch.completions };
        if !retried.claims.is_empty() || !retried.completions.is_empty() {
            out.push(EntryAction::AppendClaims(retried));
        }
        self.flush(now, out);
    }

    /// Claims the key again after the call did not run at its agent, so that another
    /// agent can run it. Releases the key and refuses the call if no other agent accepts
    /// work; a call that may not be retried is refused and its key is not released.
    pub(super) fn claim_again(
        &mut self,
        now: Duration,
        key: RequestKey,
        claim_key: ClaimKey,
        out: &mut Vec<EntryAction>,
    ) {
        let own = self.attempt_id(key, self.requests[key].attempt);
        let owner = self.claims.owner(claim_key).cloned();
        // Whoever fenced this attempt may have taken over its claim, and may run.
        let is_own =
            |owner: &KeyOwner| (owner.id.entry, owner.id.request) == (own.entry, own.request);
        if let Some(other) = owner.as_ref().filter(|owner| !is_own(owner)) {
            self.handle_existing_owner(now, key, other, out);
            return;
        }
        let offset = owner.map(|owner| owner.offset);
        let has_other_agent = self.choose_agent(now, key).is_some();
        if let Some(offset) = offset.filter(|_| has_other_agent)
            && self.may_retry(now, key, RetryReason::CallNotRun, out)
        {
            self.claim(now, key, offset + 1, out);
            return;
        }
        if self.requests.contains_key(key) {
            self.complete_claim(claim_key, own, 0, true);
            self.refuse_no_upstream(key, out);
        }
    }
}

/// Digest of method, path and body of a call.
fn digest(incoming: &IncomingCall) -> u64 {
    let mut text = format!("{}\0{}\0", incoming.method, incoming.path).into_bytes();
    text.extend_from_slice(&incoming.body);
    xxh3_64(&text)
}
