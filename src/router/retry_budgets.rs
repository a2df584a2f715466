//! Retry budgets of all services at one entry, and what they decide for each request.
//!
//! Of the arrivals of a request at its service one is free, and so is the first prefill that an
//! engine accepts. All others are extra sends. A prefill that fails makes the decode after it an
//! extra send, so one send is held for a prefill until it has been accepted. A request may also
//! send its first prefill without, to an engine that has not failed one lately; if it fails and
//! there is no send left then, the request is refused.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::Router;
use crate::router::allowance::AssignedShare;
use crate::router::allowance::ShareHistory;
use crate::router::budget::BudgetBalance;
use crate::router::budget::BudgetLimits;
use crate::router::budget::WindowedRetryBudget;
use crate::router::request::Phase;
use crate::router::request::RequestKey;
use crate::router::upstreams::UpstreamKey;

/// Part of a budget in which first prefills are held. The rest is left to retries, as most
/// prefills succeed.
const FIRST_PREFILL_PART: f64 = 0.5;

/// Decision of a retry budget; logged under these names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum BudgetDecision {
    /// A send beyond the first is held for the request before it is made.
    Held,
    /// An extra send is made.
    Spent,
    /// A prefill failed, for which a send was held or is taken now.
    PrefillFailed,
    /// A send that was held is not made.
    GivenBack,
    /// Too few are left.
    Denied,
}

/// What a retry budget decided for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetNotice {
    /// Id of the request.
    pub request_id: CompactString,
    /// Service that the sends go to.
    pub service: CompactString,
    /// What was decided.
    pub decision: BudgetDecision,
    /// Budget after the decision.
    pub balance: BudgetBalance,
}

/// Sends of a request that count in the retry budget of its service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BudgetedSends {
    /// Sends that are held for a retry that has not been sent yet.
    held: usize,
    /// True if a send is held for the prefill that is sent next or is in flight.
    prefill_held: bool,
    /// True once an engine has accepted a prefill.
    prefill_accepted: bool,
    /// Decodes, calls and failed prefills that may have arrived.
    arrivals: u32,
    /// True if the budget had too few sends left when it was last asked.
    denied: bool,
}

impl BudgetedSends {
    /// True if a send is held for a retry that has not been sent yet.
    pub(super) fn is_retry_held(&self) -> bool {
        self.held > 0
    }
}

/// Retry budgets of all services.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    limits: BudgetLimits,
    /// Shares that this entry has had of the allowance in every budget.
    shares: ShareHistory,
    budgets: HashMap<CompactString, WindowedRetryBudget>,
    notices: Vec<BudgetNotice>,
}

impl RetryBudgets {
    /// Creates budgets without requests, sends or a share. `first_start` is true if all entries
    /// start for the first time.
    pub(super) fn new(limits: BudgetLimits, first_start: bool) -> Self {
        Self {
            limits,
            shares: ShareHistory::new(limits.share_settling, first_start),
            budgets: HashMap::new(),
            notices: Vec::new(),
        }
    }

    /// Records that a request for a service arrived.
    pub(super) fn record_request(&mut self, now: Duration, service: &CompactString) {
        self.budget(now, service).record_request(now);
    }

    /// Drops the share that the store assigned.
    pub(super) fn lapse_share(&mut self, now: Duration) {
        self.shares.lapse(now);
    }

    fn budget(&mut self, now: Duration, service: &CompactString) -> &mut WindowedRetryBudget {
        let (limits, share) = (self.limits, self.shares.usable(now));
        let budget = self.budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| WindowedRetryBudget::new(limits));
        budget.set_share(share);
        budget
    }
}

impl Router {
    /// Records this entry's share of the allowance in the retry budget of every service.
    pub fn assign_budget_share(&mut self, now: Duration, assigned: AssignedShare) {
        self.budgets.shares.assign(now, assigned);
    }

    /// Share of the allowance that this entry may use in the retry budget of every service.
    pub fn budget_share(&mut self, now: Duration) -> f64 {
        self.budgets.shares.usable(now)
    }

    /// Returns what retry budgets decided since the last call, the oldest first.
    pub fn take_budget_notices(&mut self) -> Vec<BudgetNotice> {
        std::mem::take(&mut self.budgets.notices)
    }

    /// Holds a send for a retry of the request, unless none of its sends has arrived: the next
    /// one is its first then. Returns false if the budget has none left.
    pub(super) fn hold_retry(&mut self, now: Duration, key: RequestKey) -> bool {
        if self.requests[key].sends.arrivals == 0 {
            return true;
        }
        let held = self.try_hold(now, key);
        if held {
            self.requests[key].sends.held += 1;
            self.note_budget(now, key, BudgetDecision::Held);
        }
        held
    }

    /// Gives back the sends that are held for retries of the request.
    pub(super) fn release_retries(&mut self, now: Duration, key: RequestKey) {
        let held = std::mem::take(&mut self.requests[key].sends.held);
        if held > 0 {
            self.release(now, key, held);
            self.note_budget(now, key, BudgetDecision::GivenBack);
        }
    }

    /// Counts a decode or call that is sent now, and takes what is held for it.
    pub(super) fn count_send(&mut self, now: Duration, key: RequestKey) {
        let sends = &mut self.requests[key].sends;
        sends.arrivals += 1;
        if sends.held > 0 {
            sends.held -= 1;
            self.spend_held(now, key, BudgetDecision::Spent);
        }
    }

    /// Records that no byte of the last decode or call was sent.
    pub(super) fn uncount_send(&mut self, key: RequestKey) {
        let sends = &mut self.requests[key].sends;
        sends.arrivals = sends.arrivals.saturating_sub(1);
    }

    /// Holds a send for a prefill of the request that is sent to an engine now, unless one is
    /// held for it. Returns false if it may not be sent.
    ///
    /// The first send of a request may also be a prefill for which none is held, at an engine
    /// whose prefills succeed: if it fails, [`Self::pay_for_failed_prefill`] finds out whether
    /// the request may go on.
    pub(super) fn hold_prefill(
        &mut self,
        now: Duration,
        key: RequestKey,
        engine: UpstreamKey,
    ) -> bool {
        let sends = self.requests[key].sends;
        if sends.prefill_held {
            return true;
        }
        let is_first = sends.arrivals == 0 && !sends.prefill_accepted;
        if is_first && self.prefills_succeed(now, engine) {
            let service = self.requests[key].service.clone();
            let budget = self.budgets.budget(now, &service);
            let held = budget.try_hold_within(now, 1, FIRST_PREFILL_PART);
            self.requests[key].sends.prefill_held = held;
            return true;
        }
        self.try_hold_prefill(now, key)
    }

    /// True if no prefill of this entry has failed at the engine within the window since one
    /// was accepted there.
    fn prefills_succeed(&self, now: Duration, engine: UpstreamKey) -> bool {
        let failed_at = self.upstreams.get(engine).and_then(|engine| engine.prefill_failed_at);
        failed_at.is_none_or(|at| at + self.settings.budget.window <= now)
    }

    fn try_hold_prefill(&mut self, now: Duration, key: RequestKey) -> bool {
        let held = self.try_hold(now, key);
        self.requests[key].sends.prefill_held = held;
        if held && self.requests[key].sends.prefill_accepted {
            // Another prefill is an extra send whatever becomes of it.
            self.requests[key].sends.prefill_held = false;
            self.spend_held(now, key, BudgetDecision::Spent);
        }
        held
    }

    /// Gives back the send that is held for a prefill, as it was accepted or is not sent.
    pub(super) fn release_prefill(&mut self, now: Duration, key: RequestKey) {
        if std::mem::take(&mut self.requests[key].sends.prefill_held) {
            self.release(now, key, 1);
        }
    }

    /// Records that an engine has accepted the prefill in flight.
    pub(super) fn record_accepted_prefill(&mut self, now: Duration, key: RequestKey) {
        self.release_prefill(now, key);
        self.requests[key].sends.prefill_accepted = true;
        self.record_prefill_result(key, None);
    }

    /// Takes the send that a failed prefill costs. Returns false if none was held for it and
    /// none is left: the request may send nothing more then.
    pub(super) fn pay_for_failed_prefill(&mut self, now: Duration, key: RequestKey) -> bool {
        self.record_prefill_result(key, Some(now));
        let sends = &mut self.requests[key].sends;
        if sends.prefill_accepted {
            // It was paid when it was sent.
            return true;
        }
        sends.arrivals += 1;
        let paid = std::mem::take(&mut sends.prefill_held) || self.try_hold(now, key);
        if paid {
            self.spend_held(now, key, BudgetDecision::PrefillFailed);
        }
        paid
    }

    fn record_prefill_result(&mut self, key: RequestKey, failed_at: Option<Duration>) {
        let engine = self.requests[key].upstream().map(|target| target.key);
        if let Some(engine) = engine.and_then(|engine| self.upstreams.get_mut(engine)) {
            engine.prefill_failed_at = failed_at;
        }
    }

    /// Takes the send that the prefill in flight costs if it is abandoned, and holds one for
    /// another prefill. Returns false if the budget has too few left.
    pub(super) fn replace_prefill(&mut self, now: Duration, key: RequestKey) -> bool {
        let sends = self.requests[key].sends;
        let unpaid = !sends.prefill_held && !sends.prefill_accepted;
        if unpaid && !self.try_hold(now, key) {
            return false;
        }
        if !self.try_hold(now, key) {
            if unpaid {
                self.release(now, key, 1);
            }
            return false;
        }
        if !sends.prefill_accepted {
            self.requests[key].sends.arrivals += 1;
            self.spend_held(now, key, BudgetDecision::PrefillFailed);
        }
        self.requests[key].sends.prefill_held = true;
        true
    }

    /// Takes the send that the prefill in flight costs if it is abandoned and no other one
    /// follows. Returns false if the budget has none left.
    pub(super) fn pay_for_abandoned_prefill(&mut self, now: Duration, key: RequestKey) -> bool {
        let sends = self.requests[key].sends;
        if sends.prefill_accepted && !sends.prefill_held {
            // It was paid when it was sent.
            return true;
        }
        if !sends.prefill_held && !self.try_hold(now, key) {
            return false;
        }
        let sends = &mut self.requests[key].sends;
        sends.prefill_held = false;
        sends.arrivals += 1;
        self.spend_held(now, key, BudgetDecision::PrefillFailed);
        true
    }

    /// Gives back what is held for a request that has ended. A prefill that is still in flight
    /// may be rejected, which makes it an extra send unless it is the first one.
    pub(super) fn settle_sends(&mut self, now: Duration, key: RequestKey) {
        self.release_retries(now, key);
        let request = &mut self.requests[key];
        let in_flight = request.phase == Phase::Prefilling && request.sends.arrivals > 0;
        if !in_flight {
            self.release_prefill(now, key);
        } else if std::mem::take(&mut request.sends.prefill_held) {
            self.spend_held(now, key, BudgetDecision::PrefillFailed);
        }
    }

    fn try_hold(&mut self, now: Duration, key: RequestKey) -> bool {
        let service = self.requests[key].service.clone();
        let held = self.budgets.budget(now, &service).try_hold(now, 1);
        let was_denied = std::mem::replace(&mut self.requests[key].sends.denied, !held);
        // A stream that stays silent asks again and again.
        if !held && !was_denied {
            self.note_budget(now, key, BudgetDecision::Denied);
        }
        held
    }

    fn spend_held(&mut self, now: Duration, key: RequestKey, decision: BudgetDecision) {
        let service = self.requests[key].service.clone();
        self.budgets.budget(now, &service).spend_held(now, 1);
        self.note_budget(now, key, decision);
    }

    fn release(&mut self, now: Duration, key: RequestKey, sends: usize) {
        let service = self.requests[key].service.clone();
        self.budgets.budget(now, &service).release(sends);
    }

    fn note_budget(&mut self, now: Duration, key: RequestKey, decision: BudgetDecision) {
        let request = &self.requests[key];
        let (request_id, service) = (request.id.clone(), request.service.clone());
        let balance = self.budgets.budget(now, &service).balance(now);
        self.budgets.notices.push(BudgetNotice { request_id, service, decision, balance });
    }
}
