//! Retry budgets of all services at one entry, and what they decided for each request.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::Router;
use crate::router::budget::BudgetBalance;
use crate::router::budget::BudgetLimits;
use crate::router::budget::FALLBACK_SHARE;
use crate::router::budget::WindowedRetryBudget;
use crate::router::request::RequestKey;

/// Decision of a retry budget; logged under these names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum BudgetDecision {
    /// Extra sends were taken out of the budget before they are made.
    Paid,
    /// A send that has been made turned out to be an extra one.
    ChargedAfter,
    /// Sends that were paid are not made.
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
    /// Number of sends.
    pub sends: usize,
    /// Budget after the decision.
    pub balance: BudgetBalance,
}

/// Retry budgets of all services.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    limits: BudgetLimits,
    /// This entry's share of the allowance in every budget.
    share: f64,
    budgets: HashMap<CompactString, WindowedRetryBudget>,
    notices: Vec<BudgetNotice>,
}

impl RetryBudgets {
    /// Creates budgets without requests or sends.
    pub(super) fn new(limits: BudgetLimits) -> Self {
        Self { limits, share: FALLBACK_SHARE, budgets: HashMap::new(), notices: Vec::new() }
    }

    /// Records that a request for a service arrived.
    pub(super) fn record_request(&mut self, now: Duration, service: &CompactString) {
        self.budget(service).record_request(now);
    }

    fn budget(&mut self, service: &CompactString) -> &mut WindowedRetryBudget {
        let (limits, share) = (self.limits, self.share);
        let budget = self.budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| WindowedRetryBudget::new(limits));
        budget.set_share(share);
        budget
    }
}

impl Router {
    /// Sets this entry's share, from 0 to 1, of the allowance in the retry
    /// budget of every service.
    pub fn set_budget_share(&mut self, share: f64) {
        self.budgets.share = share;
    }

    /// This entry's share of the allowance in the retry budget of every service.
    pub fn budget_share(&self) -> f64 {
        self.budgets.share
    }

    /// Returns what retry budgets decided since the last call, the oldest first.
    pub fn take_budget_notices(&mut self) -> Vec<BudgetNotice> {
        std::mem::take(&mut self.budgets.notices)
    }

    /// Takes extra sends of a request out of the retry budget. Returns false, and takes none,
    /// if fewer are left.
    pub(super) fn try_spend(&mut self, now: Duration, key: RequestKey, sends: usize) -> bool {
        let service = self.requests[key].service.clone();
        let spent = self.budgets.budget(&service).try_spend(now, sends);
        let decision = if spent { BudgetDecision::Paid } else { BudgetDecision::Denied };
        self.note_budget(now, key, decision, sends);
        spent
    }

    /// True if the retry budget has this number of extra sends left; takes none.
    pub(super) fn allows_sends(&mut self, now: Duration, key: RequestKey, sends: usize) -> bool {
        let service = self.requests[key].service.clone();
        self.budgets.budget(&service).allows(now, sends)
    }

    /// Records a send that only turned out to be an extra one after it was made.
    pub(super) fn charge(&mut self, now: Duration, key: RequestKey) {
        let service = self.requests[key].service.clone();
        self.budgets.budget(&service).charge(now);
        self.note_budget(now, key, BudgetDecision::ChargedAfter, 1);
    }

    /// Returns extra sends of a request that were taken but not made.
    pub(super) fn refund(&mut self, now: Duration, key: RequestKey, sends: usize) {
        if sends == 0 {
            return;
        }
        let service = self.requests[key].service.clone();
        self.budgets.budget(&service).refund(sends);
        self.note_budget(now, key, BudgetDecision::GivenBack, sends);
    }

    fn note_budget(
        &mut self,
        now: Duration,
        key: RequestKey,
        decision: BudgetDecision,
        sends: usize,
    ) {
        let request = &mut self.requests[key];
        let is_denied = decision == BudgetDecision::Denied;
        if std::mem::replace(&mut request.budget_denied, is_denied) && is_denied {
            // A stream that stays silent asks again and again.
            return;
        }
        let (request_id, service) = (request.id.clone(), request.service.clone());
        let balance = self.budgets.budget(&service).balance(now);
        let notice = BudgetNotice { request_id, service, decision, sends, balance };
        self.budgets.notices.push(notice);
    }
}
