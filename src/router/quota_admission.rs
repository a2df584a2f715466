//! Decides whether requests are within the quotas of their accounts.

use std::time::Duration;

use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::policy::retry::with_jitter;
use crate::router::Router;
use crate::router::accounts::Caller;
use crate::router::quotas::Quotas;
use crate::router::request::IncomingRequest;
use crate::router::request::Prompt;
use crate::router::request::RequestKey;

impl Router {
    /// Quotas of client accounts, to pass on the claims of other entries.
    pub fn quotas(&mut self) -> &mut Quotas {
        &mut self.quotas
    }

    /// True if the log of claims on quotas is to be read although this entry makes none.
    pub fn needs_first_read_of_claims(&mut self, now: Duration) -> bool {
        self.configure_quotas(now);
        self.quotas.needs_first_read()
    }

    /// True if a request has to wait until a claim on the quota of its account is answered.
    pub fn awaits_quota(&mut self, now: Duration, incoming: &IncomingRequest) -> bool {
        self.configure_quotas(now);
        let Some(configuration) = self.configuration.clone() else { return false };
        let account = incoming.api_key.as_ref().and_then(|key| configuration.accounts.by_key(key));
        let Some((account, quota)) = account.and_then(|it| Some((it, it.quota?))) else {
            return false;
        };
        let is_routed = configuration.route(&incoming.host, &incoming.path).is_some();
        let units = quota.units(incoming.prompt.as_ref());
        is_routed && self.quotas.awaits_claim(now, &account.name, units)
    }

    fn configure_quotas(&mut self, now: Duration) {
        if let Some(configuration) = &self.configuration {
            self.quotas.configure(now, configuration.version, &configuration.accounts);
        }
    }

    /// Takes the units of a request out of the quota of its account. Returns the units, 0 if
    /// the account has no quota.
    ///
    /// # Errors
    /// The refusal of a request that is beyond the quota.
    pub(super) fn admit_to_quota(
        &mut self,
        now: Duration,
        caller: &Caller,
        prompt: Option<&Prompt>,
    ) -> Result<f64, Refusal> {
        self.configure_quotas(now);
        let Some(account) = caller.account() else { return Ok(0.0) };
        let Some(quota) = account.quota else { return Ok(0.0) };
        let units = quota.units(prompt);
        self.quotas.admit(now, &account.name, units).map_err(|wait| {
            let retry_after = with_jitter(wait, &mut self.rng);
            Refusal::not_run(RefusalReason::QuotaExceeded, Some(retry_after))
        })?;
        Ok(units)
    }

    /// Returns the units of a request that ends without having run.
    pub(super) fn return_quota(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let Some(account) = request.caller.account() else { return };
        if request.outcome() == Outcome::NotRun {
            self.quotas.give_back(&account.name, request.arrived_at, request.quota_units);
        }
    }
}
