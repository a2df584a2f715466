//! Quotas of client accounts, which hold over all entries together, without a coordinator.
//!
//! Of what all entries may admit of an account in a window, each one has an equal part, by which
//! it decides alone: that holds whatever it knows of the others. A part that grows, as other
//! entries leave, counts only once one that is cut off from the store has given up its part. The rest is a pool, for requests that arrive
//! unevenly: an entry that runs short of its part claims units of the pool in a log of the store
//! ([`crate::router::quota_claims`]). While no entry runs short, nothing is written or read.
//!
//! An entry that was started lately does not know what its predecessor has admitted. If the log
//! has claims on the pool of an account, it has no part of its own for a window.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::policy::quota::ShareHistory;
use crate::policy::quota::WindowedUse;
use crate::router::accounts::Accounts;
use crate::router::accounts::Quota;
use crate::router::quota_claims::ClaimBatch;
use crate::router::quota_claims::ClaimId;
use crate::router::quota_claims::EntryIncarnation;
use crate::router::quota_claims::Grants;
use crate::router::quota_claims::PoolClaims;
use crate::router::quota_claims::QuotaClaim;
use crate::router::quota_claims::USE_TIME;
use crate::router::rate_limit::FALLBACK_SHARE;

/// What all entries together may admit beyond the quotas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window in which requests count.
    pub window: Duration,
    /// Part of the quota of a window that may be admitted beyond it.
    pub tolerance: f64,
    /// Units that may be admitted in a window beyond that.
    pub allowance: f64,
}

impl QuotaSettings {
    /// Units that all entries together may admit in any window.
    pub fn allowed_units(&self, quota: &Quota) -> f64 {
        let window_units = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        window_units * (1.0 + self.tolerance) + self.allowance
    }

    /// Time after which a part that has grown counts.
    fn share_memory(&self) -> Duration {
        UNRENEWED_LIMIT + self.window
    }

    /// Time for which a claim occupies the pool: its units may be admitted for a while, and
    /// count for a window after that.
    fn claim_lifetime(&self) -> Duration {
        USE_TIME + self.window
    }
}

/// Part of what may be admitted that is in the pool.
const POOL_PART: f64 = 0.25;
/// Time after which a claim that was not read back is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between a claim that failed and the next one.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Largest part of an entry that has just joined: members that join a group one after the
/// other get too much at first.
const MAX_NEW_SHARE: f64 = 1.0 / 4.0;
/// Time for which an entry keeps its part without a renewal. The store assigns the part to
/// others earlier, so a part that has grown counts only after this time.
const UNRENEWED_LIMIT: Duration = Duration::from_secs(60);
/// Share of its part that an entry keeps after that.
const LAPSED_PART: f64 = 0.5;
/// Units of a claim at least, as a share of the entry's equal part of the pool: many small
/// requests need few claims.
const MIN_CLAIM_PART: f64 = 0.5;
/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest `Retry-After`: other entries may have room earlier.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Shortest time between two notices about an account.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Refusal for a quota, with what it was decided on; at most one a second and account.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaNotice {
    /// Name of the account.
    pub account: CompactString,
    /// Units of the request.
    pub units: f64,
    /// Units that this entry has admitted of its part in the last window.
    pub used_units: f64,
    /// Units of its part.
    pub part_units: f64,
    /// Units granted from the pool and not used.
    pub granted_units: f64,
    /// Units of the claims on the pool that this entry knows of.
    pub claimed_units: f64,
    /// Time since the log of claims was read; `None` if it was not.
    pub claims_age: Option<Duration>,
    /// Refusals since the last notice about the account, this one included.
    pub refusals: u64,
}

/// Claim of this entry whose result is not known yet.
#[derive(Debug, Clone, Copy)]
struct PendingClaim {
    units: f64,
    made_at: Duration,
    /// Set once it was handed out to be appended.
    id: Option<ClaimId>,
}

/// State of one account at this entry.
#[derive(Debug, Clone)]
struct AccountState {
    quota: Quota,
    /// What was admitted of the entry's own part.
    admitted: WindowedUse,
    shares: ShareHistory,
    /// Time until which the entry has no part of its own.
    closed_until: Duration,
    grants: Grants,
    claims: PoolClaims,
    pending: Option<PendingClaim>,
    next_claim_at: Duration,
    /// True until the entry, which was started lately, knows whether the pool is in use.
    is_new: bool,
    /// When the account was found not to be in the configuration any more.
    removed_at: Option<Duration>,
    /// Refusals that no notice has told yet.
    refusals: u64,
    noticed_at: Option<Duration>,
}

/// Quotas of all accounts, as this entry knows them.
#[derive(Debug)]
pub struct Quotas {
    /// `None` if quotas are not enforced.
    settings: Option<QuotaSettings>,
    entry: EntryIncarnation,
    equal_share: f64,
    /// When the store last assigned a part; `None` before.
    renewed_at: Option<Duration>,
    /// Version of the configuration whose accounts were applied; `None` before the first.
    version: Option<u64>,
    /// When the first configuration with quotas was applied.
    started_at: Option<Duration>,
    /// When the log was last read up to its end; `None` before.
    log_read_at: Option<Duration>,
    accounts: HashMap<CompactString, AccountState>,
    claim_batches: u64,
    notices: Vec<QuotaNotice>,
}

impl Quotas {
    /// Creates quotas without accounts. Without settings, all requests are admitted.
    pub fn new(settings: Option<QuotaSettings>, entry: EntryIncarnation) -> Self {
        Self {
            settings,
            entry,
            equal_share: FALLBACK_SHARE,
            renewed_at: None,
            version: None,
            started_at: None,
            log_read_at: None,
            accounts: HashMap::new(),
            claim_batches: 0,
            notices: Vec::new(),
        }
    }

    /// Applies the accounts of a version of the configuration, unless it was applied already.
    /// An account that is missing keeps its state for a while, in case it comes back.
    pub fn configure(&mut self, now: Duration, version: u64, accounts: &Accounts) {
        let Some(settings) = self.settings else { return };
        if self.version.replace(version) == Some(version) {
            return;
        }
        let limited = accounts.iter().filter_map(|account| Some((&account.name, account.quota?)));
        let limited: HashMap<&CompactString, Quota> = limited.collect();
        if !limited.is_empty() {
            self.started_at.get_or_insert(now);
        }
        self.update_accounts(now, settings.claim_lifetime(), &limited);
        for (name, quota) in limited {
            if !self.accounts.contains_key(name) {
                let state = self.new_account(now, &settings, quota);
                self.accounts.insert(name.clone(), state);
            }
        }
        self.start_new_accounts(now);
    }

    /// Changes the quotas of known accounts, and forgets those that are missing for long.
    fn update_accounts(
        &mut self,
        now: Duration,
        kept_for: Duration,
        limited: &HashMap<&CompactString, Quota>,
    ) {
        for (name, state) in &mut self.accounts {
            let Some(quota) = limited.get(name) else {
                state.removed_at.get_or_insert(now);
                continue;
            };
            state.quota = *quota;
            state.removed_at = None;
        }
        let expired = |at: Duration| at + kept_for <= now;
        self.accounts.retain(|_, state| !state.removed_at.is_some_and(expired));
    }

    fn new_account(&self, now: Duration, settings: &QuotaSettings, quota: Quota) -> AccountState {
        let is_new = self.started_at.is_none_or(|started_at| now < started_at + settings.window);
        let share = if is_new { 0.0 } else { self.equal_share };
        AccountState {
            quota,
            admitted: WindowedUse::new(settings.window),
            shares: ShareHistory::new(settings.share_memory(), share),
            closed_until: Duration::ZERO,
            grants: Grants::default(),
            claims: PoolClaims::default(),
            pending: None,
            next_claim_at: Duration::ZERO,
            is_new,
            removed_at: None,
            refusals: 0,
            noticed_at: None,
        }
    }

    /// True if the entry has enforced quotas for less than a window.
    fn is_new_entry(&self, now: Duration, settings: &QuotaSettings) -> bool {
        self.started_at.is_none_or(|started_at| now < started_at + settings.window)
    }

    /// True if there are quotas to enforce and the log of claims was not read yet.
    pub fn needs_first_read(&self) -> bool {
        !self.accounts.is_empty() && self.log_read_at.is_none()
    }

    /// Records this entry's equal part of all quotas, from 0 to 1, after a renewal; `None` if it
    /// was not renewed in time.
    pub fn set_equal_share(&mut self, now: Duration, share: Option<f64>) {
        if let Some(share) = share {
            self.renewed_at = Some(now);
            self.equal_share = share;
        }
        let is_lapsed = self.renewed_at.is_some_and(|at| at + UNRENEWED_LIMIT <= now);
        let lapsed_part = if is_lapsed { LAPSED_PART } else { 1.0 };
        let Some(settings) = self.settings else { return };
        // A member that joins has no part until the others have given up some of theirs.
        let is_joining = self.is_new_entry(now, &settings);
        for state in self.accounts.values_mut() {
            if is_joining && !state.is_new {
                let share = self.equal_share.min(MAX_NEW_SHARE);
                state.shares = ShareHistory::new(settings.share_memory(), share);
            }
            state.shares.record(now, self.equal_share * lapsed_part);
        }
        self.start_new_accounts(now);
    }

    /// Gives an entry that was started lately its part: at once if it knows that nothing was
    /// claimed of the pool, else after a window, since its predecessor may have used the part.
    fn start_new_accounts(&mut self, now: Duration) {
        let Some(settings) = self.settings else { return };
        if self.log_read_at.is_none() || self.renewed_at.is_none() {
            return;
        }
        for state in self.accounts.values_mut() {
            if !std::mem::take(&mut state.is_new) {
                continue;
            }
            let share = self.equal_share.min(MAX_NEW_SHARE);
            state.shares = ShareHistory::new(settings.share_memory(), share);
            state.shares.record(now, self.equal_share);
            if !state.claims.is_empty() {
                state.closed_until = now + settings.window;
            }
        }
    }

    /// True if a request of an account has to wait for units of the pool, which this entry
    /// claims then: there is no room for it until the claim is answered.
    pub fn awaits_claim(&mut self, now: Duration, account: &str, units: f64) -> bool {
        let Some(settings) = self.settings else { return false };
        let Some(state) = self.accounts.get_mut(account) else { return false };
        let missing = units - state.room(now, &settings) - state.grants.units(now);
        missing > 0.0 && state.claim(now, &settings, missing)
    }

    /// Decides whether a request of an account is within its quota, and takes its units then.
    ///
    /// # Errors
    /// The time after which there is probably room.
    pub fn admit(&mut self, now: Duration, account: &str, units: f64) -> Result<(), Duration> {
        let Some(settings) = self.settings else { return Ok(()) };
        let Some(state) = self.accounts.get_mut(account) else { return Ok(()) };
        let room = state.room(now, &settings);
        if units <= room + state.grants.units(now) {
            let of_part = units.min(room);
            state.admitted.record(now, of_part);
            state.grants.take(units - of_part);
            return Ok(());
        }
        let left = (state.part_units(now, &settings) - units).max(0.0);
        let wait = state.admitted.time_until(now, left);
        self.record_refusal(now, account, units);
        Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    fn record_refusal(&mut self, now: Duration, name: &str, units: f64) {
        let Some(settings) = self.settings else { return };
        let Some(state) = self.accounts.get_mut(name) else { return };
        state.refusals += 1;
        if state.noticed_at.is_some_and(|at| now < at + NOTICE_INTERVAL) {
            return;
        }
        state.noticed_at = Some(now);
        self.notices.push(QuotaNotice {
            account: name.into(),
            units,
            used_units: state.admitted.units(now),
            part_units: state.part_units(now, &settings),
            granted_units: state.grants.units(now),
            claimed_units: state.claims.units(),
            claims_age: self.log_read_at.map(|at| now.saturating_sub(at)),
            refusals: std::mem::take(&mut state.refusals),
        });
    }

    /// Returns the units of a request that was admitted at `admitted_at` and did not run.
    pub fn give_back(&mut self, account: &str, admitted_at: Duration, units: f64) {
        if let Some(state) = self.accounts.get_mut(account) {
            let of_part = state.admitted.give_back(admitted_at, units);
            state.grants.give_back(units - of_part);
        }
    }

    /// Returns the notices about refusals, and clears the list of them.
    pub fn take_notices(&mut self) -> Vec<QuotaNotice> {
        std::mem::take(&mut self.notices)
    }

    /// True if there are claims to append to the log.
    pub fn has_unsent_claims(&self) -> bool {
        self.accounts.values().any(AccountState::has_unsent_claim)
    }

    /// Returns the claims to append to the log now, if there are any. The log is to be read up
    /// to them after that.
    pub fn take_claims(&mut self) -> Option<ClaimBatch> {
        self.has_unsent_claims().then_some(())?;
        self.claim_batches += 1;
        let id = ClaimId { entry: self.entry, number: self.claim_batches };
        let mut claims = Vec::new();
        for (name, state) in &mut self.accounts {
            let Some(pending) = state.pending.as_mut().filter(|it| it.id.is_none()) else {
                continue;
            };
            pending.id = Some(id);
            claims.push(QuotaClaim { account: name.clone(), units: pending.units });
        }
        Some(ClaimBatch { id, claims })
    }

    /// Records claims that were read from the log, in its order.
    pub fn record_claims(&mut self, now: Duration, batches: Vec<ClaimBatch>) {
        let Some(settings) = self.settings else { return };
        for batch in batches {
            for claim in batch.claims {
                if let Some(state) = self.accounts.get_mut(&claim.account) {
                    state.record_claim(now, &settings, batch.id, claim.units);
                }
            }
        }
    }

    /// Records that the log was read up to its end.
    pub fn record_log_read(&mut self, now: Duration) {
        self.log_read_at = Some(now);
        self.start_new_accounts(now);
    }

    /// Makes no claims until all that were made so far have expired: the store came back from
    /// an older copy and may have lost some.
    pub(super) fn pause_claims(&mut self, now: Duration) {
        let Some(settings) = self.settings else { return };
        for state in self.accounts.values_mut() {
            state.pending = None;
            state.next_claim_at = now + settings.claim_lifetime();
        }
    }
}

impl AccountState {
    /// Units of which this entry decides alone in a window.
    fn part_units(&mut self, now: Duration, settings: &QuotaSettings) -> f64 {
        if now < self.closed_until {
            return 0.0;
        }
        let allowed = settings.allowed_units(&self.quota);
        allowed * (1.0 - POOL_PART) * self.shares.smallest(now)
    }

    fn has_unsent_claim(&self) -> bool {
        self.pending.is_some_and(|pending| pending.id.is_none())
    }

    /// Units of the entry's part that are left.
    fn room(&mut self, now: Duration, settings: &QuotaSettings) -> f64 {
        (self.part_units(now, settings) - self.admitted.units(now)).max(0.0)
    }

    /// Claims units of the pool, unless it is known to have no room. Returns true if a claim is
    /// pending.
    fn claim(&mut self, now: Duration, settings: &QuotaSettings, units: f64) -> bool {
        let lost = self.pending.filter(|pending| pending.made_at + CLAIM_TIMEOUT <= now);
        if lost.is_some() {
            self.pending = None;
            self.next_claim_at = now + CLAIM_RETRY_DELAY;
        }
        if self.pending.is_some_and(|pending| pending.id.is_some()) {
            return true;
        }
        if now < self.next_claim_at {
            return self.pending.is_some();
        }
        let lifetime = settings.claim_lifetime();
        let pool = settings.allowed_units(&self.quota) * POOL_PART;
        self.claims.expire(now, lifetime);
        let units = units.max(pool * self.shares.current() * MIN_CLAIM_PART);
        let unsent = self.pending.map_or(0.0, |pending| pending.units);
        if self.claims.units() + unsent + units > pool {
            self.wait_for_pool(now, lifetime, pool - units);
            return self.pending.is_some();
        }
        let made_at = self.pending.map_or(now, |pending| pending.made_at);
        self.pending = Some(PendingClaim { units: unsent + units, made_at, id: None });
        true
    }

    /// Makes no claim until the others have at most `units`.
    fn wait_for_pool(&mut self, now: Duration, lifetime: Duration, units: f64) {
        let free_at = self.claims.falls_to(units, lifetime).unwrap_or(now);
        self.next_claim_at = free_at.max(now + CLAIM_RETRY_DELAY);
    }

    fn record_claim(&mut self, now: Duration, settings: &QuotaSettings, id: ClaimId, units: f64) {
        let lifetime = settings.claim_lifetime();
        self.claims.expire(now, lifetime);
        self.claims.record(now, id, units);
        let Some(pending) = self.pending.filter(|pending| pending.id == Some(id)) else { return };
        self.pending = None;
        let pool = settings.allowed_units(&self.quota) * POOL_PART;
        if self.claims.units() <= pool {
            self.grants.add(units, pending.made_at + USE_TIME);
        } else {
            self.wait_for_pool(now, lifetime, pool - units);
        }
    }
}
