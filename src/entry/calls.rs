//! Calls to plain services.
//!
//! A failed call is retried only if it is idempotent, or if its agent has reported
//! that it did not run and never will.

use std::time::Duration;

use crate::clock::as_ms_u32;
use crate::clock::from_ms;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::ResponsePart;
use crate::entry::attempt_id;
use crate::entry::claiming::LOG_UNAVAILABLE_RETRY;
use crate::entry::claims::ClaimKey;
use crate::entry::request::Attempt;
use crate::entry::request::Call;
use crate::entry::request::CallPhase;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::policy::agents::AgentKey;
use crate::policy::placement::PlacementSearch;
use crate::policy::retry::with_jitter;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Time that the reply to a call may take beyond the service's timeout, which
/// the agent enforces.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);

impl EntryCore {
    pub(super) fn call(&self, key: RequestKey) -> &Call {
        match &self.requests[key].work {
            Work::Call(call) => call,
            Work::Generate(_) => unreachable!("the request is a generation, not a call"),
        }
    }

    pub(super) fn call_mut(&mut self, key: RequestKey) -> &mut Call {
        match &mut self.requests[key].work {
            Work::Call(call) => call,
            Work::Generate(_) => unreachable!("the request is a generation, not a call"),
        }
    }

    /// The request whose call was sent as this attempt.
    fn find_by_call_attempt(&self, id: AttemptId) -> Option<RequestKey> {
        let key = self.find_request(id)?;
        let Work::Call(call) = &self.requests[key].work else { return None };
        call.sent_attempt.is_some_and(|attempt| attempt.number == id.attempt).then_some(key)
    }

    pub(super) fn start_call(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let snapshot = self.requests[key].snapshot();
        let incoming = &self.call(key).incoming;
        if snapshot.service(&incoming.service).is_none() {
            self.refuse(key, Refusal::not_run(RefusalReason::UnknownService, None), out);
            return;
        }
        let rule =
            snapshot.non_idempotent_call(&incoming.service, &incoming.method, &incoming.path);
        let caller_key = incoming.idempotency_key.clone();
        let service = incoming.service.clone();
        if rule.is_some_and(|rule| rule.key_required) && caller_key.is_none() {
            self.refuse(key, Refusal::not_run(RefusalReason::KeyRequired, None), out);
            return;
        }
        self.record_decision(key, Decision::Admitted, None, String::new(), out);
        match caller_key {
            Some(text) if rule.is_some() => {
                let account = self.requests[key].account.clone();
                self.call_mut(key).claim_key = Some(ClaimKey::new(&account, &service, &text));
                self.claim_or_refuse(now, key, out);
            }
            _ => self.send_call(now, key, out),
        }
    }

    /// Chooses an agent of the service's pool; `None` if no agent accepts work.
    pub(super) fn choose_agent(&mut self, now: Duration, key: RequestKey) -> Option<AgentKey> {
        let snapshot = self.requests[key].snapshot();
        let Work::Call(call) = &self.requests[key].work else { return None };
        let search = PlacementSearch {
            agents: &self.agents,
            snapshot: &snapshot,
            location: &self.config.location,
            now,
            excluded: &call.excluded,
        };
        let found = search.service_candidates(&call.pool, &mut self.rng);
        found.first().map(|candidate| candidate.agent)
    }

    /// Refuses a call because no agent of its pool accepts work.
    pub(super) fn refuse_no_upstream(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        let outcome = self.requests[key].outcome();
        let retry_after = Some(with_jitter(self.config.heartbeat_interval, &mut self.rng));
        let reason = RefusalReason::NoUpstream;
        self.refuse(key, Refusal { reason, outcome, retry_after, detail: String::new() }, out);
    }

    fn send_call(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) {
        let mut chosen = self.choose_agent(now, key);
        if chosen.is_none() && self.call(key).idempotent {
            // An agent that failed before is better than none; attempts are limited.
            self.call_mut(key).excluded.clear();
            chosen = self.choose_agent(now, key);
        }
        let Some(agent) = chosen else {
            self.refuse_no_upstream(key, out);
            return;
        };
        let number = self.requests[key].next_attempt();
        self.send_call_to(now, key, agent, number, out);
    }

    pub(super) fn send_call_to(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        number: u32,
        out: &mut Vec<EntryAction>,
    ) {
        let id = self.attempt_id(key, number);
        let incarnation = self.agents.get(agent).map_or(0, |view| view.incarnation);
        self.requests[key].mark_work_sent();
        let call = self.call_mut(key);
        call.phase = CallPhase::Sent;
        call.sent_attempt = Some(Attempt { agent, number });
        call.agent_incarnation = incarnation;
        let message = wire::Call {
            id: Some(id),
            incarnation,
            rank: call.rank,
            method: call.incoming.method.to_string(),
            path: call.incoming.path.clone(),
            headers: call.incoming.headers.clone(),
            body: call.incoming.body.clone(),
            timeout_ms: as_ms_u32(call.timeout),
        };
        let timeout = call.timeout;
        out.push(EntryAction::Send { agent, message: ToAgent::Call(message) });
        if let Some(view) = self.agents.get_mut(agent) {
            view.open_calls += 1;
        }
        self.record_decision(key, Decision::Calling, Some(agent), String::new(), out);
        self.set_timer(key, now + timeout + CALL_TIMEOUT_MARGIN);
    }

    fn decrement_open_calls(&mut self, agent: AgentKey) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.open_calls = view.open_calls.saturating_sub(1);
        }
    }

    pub(super) fn on_call_reply(
        &mut self,
        now: Duration,
        agent: AgentKey,
        reply: wire::CallReply,
        out: &mut Vec<EntryAction>,
    ) {
        let id = reply.id.unwrap_or_default();
        let Some(key) = self.find_by_call_attempt(id) else { return };
        self.decrement_open_calls(agent);
        if reply.not_run {
            self.call_not_run(now, key, agent, Duration::ZERO, out);
        } else if reply.error.is_empty() {
            self.call_succeeded(key, agent, id, reply, out);
        } else {
            self.record_failure(now, agent);
            self.call_failed(now, key, agent, RefusalReason::UpstreamFailed, out);
        }
    }

    fn call_succeeded(
        &mut self,
        key: RequestKey,
        agent: AgentKey,
        id: AttemptId,
        reply: wire::CallReply,
        out: &mut Vec<EntryAction>,
    ) {
        self.record_success(agent);
        self.credit_retry_budget(key);
        if let Some(claim_key) = self.call(key).claim_key {
            self.complete_claim(claim_key, id, reply.status, false);
        }
        self.record_decision(
            key,
            Decision::Finished,
            Some(agent),
            format!("status {}", reply.status),
            out,
        );
        out.push(EntryAction::Respond { request: key, part: ResponsePart::Reply(reply) });
        self.remove(key);
    }

    /// Handles the failure of a call that may have run. Only an idempotent call is
    /// retried.
    fn call_failed(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        reason: RefusalReason,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.call(key).idempotent {
            self.call_mut(key).sent_attempt = None;
            self.refuse_with_outcome(key, reason, out);
            return;
        }
        self.call_mut(key).excluded.push(agent);
        self.cancel_call(key, out);
        if self.may_retry(now, key, RetryReason::CallFailed, out) {
            self.send_call(now, key, out);
        }
    }

    fn cancel_call(&mut self, key: RequestKey, out: &mut Vec<EntryAction>) {
        if let Some(attempt) = self.call_mut(key).sent_attempt.take() {
            self.decrement_open_calls(attempt.agent);
            self.cancel(
                attempt.agent,
                attempt_id(self.config.incarnation, key, attempt.number),
                out,
            );
        }
    }

    /// Handles a call that did not run and never will, because its agent rejected or
    /// fenced it or could not send it to the service. A call with an idempotency key goes
    /// through [`Self::claim_again`]; any other is retried at another agent, or refused.
    fn call_not_run(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        retry_after: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.requests[key].mark_work_not_run();
        let call = self.call_mut(key);
        call.sent_attempt = None;
        call.excluded.push(agent);
        if let Some(claim_key) = call.claim_key {
            self.claim_again(now, key, claim_key, out);
            return;
        }
        if self.choose_agent(now, key).is_none() {
            let outcome = self.requests[key].outcome();
            let wait = retry_after.max(self.config.reply_timeout);
            let retry_after = Some(with_jitter(wait, &mut self.rng));
            let reason = RefusalReason::Overloaded;
            self.refuse(key, Refusal { reason, outcome, retry_after, detail: String::new() }, out);
            return;
        }
        if self.may_retry(now, key, RetryReason::CallNotRun, out) {
            self.send_call(now, key, out);
        }
    }

    pub(super) fn call_rejected(
        &mut self,
        now: Duration,
        id: AttemptId,
        agent: AgentKey,
        rejected: &wire::Rejected,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(key) = self.find_by_call_attempt(id) else { return };
        self.decrement_open_calls(agent);
        self.call_not_run(now, key, agent, from_ms(rejected.retry_after_ms), out);
    }

    /// Handles an agent's reply to an abandon request, either for a call of a request
    /// here, or for the owner of an idempotency key that a request here waits for.
    pub(super) fn on_abandon_reply(
        &mut self,
        now: Duration,
        reply: &wire::AbandonReply,
        out: &mut Vec<EntryAction>,
    ) {
        let id = reply.id.unwrap_or_default();
        if let Some(key) = self.find_by_call_attempt(id) {
            let Some(attempt) = self.call(key).sent_attempt else { return };
            let reconnected = match self.call(key).phase {
                CallPhase::Abandoning { reconnected } => reconnected,
                CallPhase::Overdue if reply.fenced => false,
                _ => return,
            };
            if !reply.fenced && !reconnected && self.keeps_call(now, key, out) {
                return;
            }
            self.decrement_open_calls(attempt.agent);
            if reply.fenced {
                self.call_not_run(now, key, attempt.agent, Duration::ZERO, out);
            } else {
                self.call_failed(now, key, attempt.agent, RefusalReason::UpstreamLost, out);
            }
            return;
        }
        let waiting = self.requests.iter().find(|(_, request)| match &request.work {
            Work::Call(call) => call.owner_attempt == Some(id),
            Work::Generate(_) => false,
        });
        let Some(key) = waiting.map(|(key, _)| key) else { return };
        let CallPhase::FencingOwner { offset } = self.call(key).phase else { return };
        self.call_mut(key).owner_attempt = None;
        if reply.fenced {
            self.claim(now, key, offset + 1, out);
        } else {
            self.refuse_in_progress(key, out);
        }
    }

    pub(super) fn call_agent_disconnected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        out: &mut Vec<EntryAction>,
    ) {
        let call = self.call(key);
        if call.sent_attempt.is_none_or(|attempt| attempt.agent != agent) {
            return;
        }
        if call.idempotent {
            self.call_failed(now, key, agent, RefusalReason::UpstreamLost, out);
            return;
        }
        self.call_mut(key).phase = CallPhase::Resuming;
        self.set_timer(key, now + self.config.resume_timeout);
    }

    /// Handles the reconnect of a call's agent. Unless the agent was restarted, it
    /// can tell whether the call started.
    pub(super) fn call_agent_reconnected(
        &mut self,
        now: Duration,
        key: RequestKey,
        agent: AgentKey,
        same_incarnation: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let call = self.call(key);
        let Some(attempt) = call.sent_attempt.filter(|attempt| attempt.agent == agent) else {
            return;
        };
        if call.phase != CallPhase::Resuming {
            return;
        }
        if !same_incarnation {
            self.call_failed(now, key, agent, RefusalReason::UpstreamLost, out);
            return;
        }
        self.abandon(now, key, attempt, true, out);
    }

    /// Asks the agent to fence the call unless it has started.
    fn abandon(
        &mut self,
        now: Duration,
        key: RequestKey,
        attempt: Attempt,
        reconnected: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let id = self.attempt_id(key, attempt.number);
        let call = self.call_mut(key);
        call.phase = CallPhase::Abandoning { reconnected };
        let abandon = wire::Abandon { id: Some(id), incarnation: call.agent_incarnation };
        out.push(EntryAction::Send { agent: attempt.agent, message: ToAgent::Abandon(abandon) });
        self.set_timer(key, now + self.config.reply_timeout);
    }

    /// Decides about a call that its agent has not abandoned and not replied to. Returns false if
    /// another attempt may follow it. Returns true if not: the entry then waits for its reply.
    fn keeps_call(&mut self, now: Duration, key: RequestKey, out: &mut Vec<EntryAction>) -> bool {
        let obstacle = self.retry_obstacle(now, key).map(|reason| reason.to_string());
        let may_run_again = self.call(key).idempotent;
        let obstacle = if may_run_again { obstacle } else { Some("not-idempotent".to_string()) };
        let deadline = self.requests[key].deadline;
        let Some(detail) = obstacle.filter(|_| now < deadline) else { return false };
        let agent = self.call(key).sent_attempt.map(|attempt| attempt.agent);
        self.call_mut(key).phase = CallPhase::Overdue;
        self.record_decision(key, Decision::AttemptKept, agent, detail, out);
        self.set_timer(key, deadline);
        true
    }

    pub(super) fn on_call_timer(
        &mut self,
        now: Duration,
        key: RequestKey,
        out: &mut Vec<EntryAction>,
    ) {
        let call = self.call(key);
        let sent = call.sent_attempt;
        match (call.phase, sent) {
            (CallPhase::Claiming, _) => {
                let retry_after = Some(with_jitter(LOG_UNAVAILABLE_RETRY, &mut self.rng));
                self.refuse(key, Refusal::not_run(RefusalReason::LogUnavailable, retry_after), out);
            }
            (CallPhase::FencingOwner { .. }, _) => self.refuse_in_progress(key, out),
            (CallPhase::Sent, Some(attempt)) => self.abandon(now, key, attempt, false, out),
            (CallPhase::Abandoning { reconnected: false }, Some(_))
                if self.keeps_call(now, key, out) => {}
            (_, Some(attempt)) => {
                self.record_failure(now, attempt.agent);
                self.call_failed(now, key, attempt.agent, RefusalReason::UpstreamLost, out);
            }
            (_, None) => self.refuse_with_outcome(key, RefusalReason::DeadlineExceeded, out),
        }
    }
}
