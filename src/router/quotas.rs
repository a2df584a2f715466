//! Quotas of client accounts, which hold over all entries together, without a coordinator.
//!
//! Each entry admits in any window at most its equal part of what all entries may admit: that
//! holds whatever it knows of the others. A part that grows, as other entries leave, counts
//! after a window only.
//!
//! If an account sends more than its quota, each entry also paces what it admits, so that the
//! account does not use up a window at its start. To know that, an entry that runs short tells
//! the others through a log of the store how much the account sends through it, and all answer
//! with what it sends through them. The pace of an entry is its part of the rate by what was
//! told. All of them compute it from the same reports, an entry from its own one as well, as it
//! reads it back: so one that does not reach the store has its equal part again.
//!
//! An entry that was started lately does not know what its predecessor has admitted. If the log
//! says that an account runs short, it admits nothing of it for a window.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::policy::quota::DecayingRate;
use crate::policy::quota::Pace;
use crate::policy::quota::ShareHistory;
use crate::policy::quota::WindowedUse;
use crate::router::accounts::Accounts;
use crate::router::accounts::Quota;
use crate::router::budget::FALLBACK_SHARE;
use crate::router::quota_reports::AccountDemand;
use crate::router::quota_reports::EntryIncarnation;
use crate::router::quota_reports::HeardReports;
use crate::router::quota_reports::QuotaReport;
use crate::router::quota_reports::ToldDemand;

/// What all entries together may admit beyond the quotas, as they cannot know at once what
/// the others have admitted.
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
        self.window_units(quota) * (1.0 + self.tolerance) + self.allowance
    }

    /// Units of the quota in a window.
    fn window_units(&self, quota: &Quota) -> f64 {
        quota.rate_per_s * self.window.as_secs_f64() + quota.burst
    }
}

/// Time over which the demand of an account at this entry is averaged.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Shortest time between two reports of an entry.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest part of a new entry before it has been assigned one for a window: members that
/// join a group one after the other get too much at first.
const MAX_NEW_SHARE: f64 = 1.0 / 32.0;
/// Told demand, as a share of the rate, from which entries pace what they admit.
const PACED_FROM: f64 = 1.0;
/// Told demand, as a share of the rate, below which the quota is not used up.
const CALM_BELOW: f64 = 0.7;
/// Sum of the equal parts of the entries that tell, from which their demand tells the whole.
const MIN_TOLD_SHARES: f64 = 0.6;
/// Share of the pace that does not depend on what was told, for requests that arrive next at an
/// entry that had few.
const KEPT_PART: f64 = 0.2;
/// Units admitted in a window, as a share of what may be, from which an entry runs short.
const SHORT_FROM: f64 = 0.75;
/// Longest `Retry-After`; parts may have moved by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Shortest time between two notices about an account.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Refusal for a quota, with what it was decided on; at most one a second and account.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaNotice {
    /// Name of the account.
    pub account: CompactString,
    /// Units of the request.
    pub units: f64,
    /// Units that this entry has admitted in the last window.
    pub used_units: f64,
    /// Units that it may admit in a window.
    pub allowed_units: f64,
    /// Equal part of the quota that this entry has, from 0 to 1.
    pub share: f64,
    /// Number of entries whose demand is known.
    pub told_by: usize,
    /// Units a second that they have told.
    pub told_units_per_s: f64,
    /// Age of the oldest of their records since it was read.
    pub told_age: Duration,
    /// Refusals since the last notice about the account, this one included.
    pub refusals: u64,
}

/// State of one account at this entry.
#[derive(Debug, Clone)]
struct AccountState {
    quota: Quota,
    admitted: WindowedUse,
    shares: ShareHistory,
    pace: Pace,
    demand: DecayingRate,
    /// True until the entry, which was started lately, knows whether others run short.
    is_new: bool,
    is_short: bool,
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
    /// True once the store has assigned a part.
    has_share: bool,
    /// Version of the configuration whose accounts were applied; `None` before the first.
    version: Option<u64>,
    /// When the first configuration with quotas was applied.
    started_at: Option<Duration>,
    /// True once the log was read up to its end.
    has_read_log: bool,
    accounts: HashMap<CompactString, AccountState>,
    heard: HeardReports,
    reported_at: Option<Duration>,
    notices: Vec<QuotaNotice>,
}

impl Quotas {
    /// Creates quotas without accounts. Without settings, all requests are admitted.
    pub fn new(settings: Option<QuotaSettings>, entry: EntryIncarnation) -> Self {
        Self {
            settings,
            entry,
            equal_share: FALLBACK_SHARE,
            has_share: false,
            version: None,
            started_at: None,
            has_read_log: false,
            accounts: HashMap::new(),
            heard: HeardReports::default(),
            reported_at: None,
            notices: Vec::new(),
        }
    }

    /// Applies the accounts of a version of the configuration, unless it was applied already.
    /// An account that is missing keeps its state for a window, in case it comes back.
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
        self.update_accounts(now, settings.window, &limited);
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
        window: Duration,
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
        let expired = |at: Duration| at + window <= now;
        self.accounts.retain(|_, state| !state.removed_at.is_some_and(expired));
    }

    fn new_account(&self, now: Duration, settings: &QuotaSettings, quota: Quota) -> AccountState {
        let is_new = self.is_new_entry(now, settings);
        let share = if is_new { 0.0 } else { self.equal_share };
        AccountState {
            quota,
            admitted: WindowedUse::new(settings.window),
            shares: ShareHistory::new(settings.window, share),
            pace: Pace::new(now, quota.burst * self.equal_share),
            demand: DecayingRate::new(DEMAND_TIME_CONSTANT),
            is_new,
            is_short: false,
            removed_at: None,
            refusals: 0,
            noticed_at: None,
        }
    }

    /// True if the window in which requests count has begun before this entry enforced quotas.
    fn is_new_entry(&self, now: Duration, settings: &QuotaSettings) -> bool {
        self.started_at.is_none_or(|started_at| now < started_at + settings.window)
    }

    /// True if there are quotas to enforce, so that the log of reports is to be read.
    pub fn are_enforced(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Sets this entry's equal part of all quotas, from 0 to 1; `None` before the store has
    /// assigned one.
    pub fn set_equal_share(&mut self, now: Duration, share: Option<f64>) {
        self.equal_share = share.unwrap_or(FALLBACK_SHARE);
        self.has_share |= share.is_some();
        for state in self.accounts.values_mut() {
            state.shares.record(now, self.equal_share);
        }
        self.start_new_accounts(now);
    }

    /// Gives an entry that was started lately its part, once it knows that a quota is not used
    /// up: otherwise its predecessor may have used the part.
    fn start_new_accounts(&mut self, now: Duration) {
        let Some(settings) = self.settings else { return };
        if !self.has_read_log || !self.has_share {
            return;
        }
        for (name, state) in &mut self.accounts {
            let is_new = std::mem::take(&mut state.is_new);
            let told = self.heard.told_demand(now, name, self.entry);
            if is_new && is_calm(&told, &state.quota) {
                let share = self.equal_share.min(MAX_NEW_SHARE);
                state.shares = ShareHistory::new(settings.window, share);
            }
        }
    }

    /// Records reports that were read from the log, the oldest first.
    pub fn record_reports(&mut self, now: Duration, reports: Vec<QuotaReport>) {
        self.heard.record(now, reports);
    }

    /// Records that the log was read up to its end.
    pub fn record_log_read(&mut self, now: Duration) {
        self.has_read_log = true;
        self.start_new_accounts(now);
    }

    fn told_demand(&self, now: Duration, name: &str) -> ToldDemand {
        self.heard.told_demand(now, name, self.entry)
    }

    /// Decides whether a request of an account is within its quota, and takes its units then.
    ///
    /// # Errors
    /// The time after which there is probably room.
    pub fn admit(&mut self, now: Duration, account: &str, units: f64) -> Result<(), Duration> {
        let Some(settings) = self.settings else { return Ok(()) };
        let told = self.told_demand(now, account);
        let Some(state) = self.accounts.get_mut(account) else { return Ok(()) };
        state.demand.record(now, units);
        let wait =
            state.wait_for_room(now, &settings, units).max(state.wait_for_pace(now, &told, units));
        state.update_short(now, &settings);
        if wait.is_zero() {
            state.admitted.record(now, units);
            state.pace.take(units);
            return Ok(());
        }
        state.is_short = true;
        self.record_refusal(now, account, units);
        Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    fn record_refusal(&mut self, now: Duration, name: &str, units: f64) {
        let Some(settings) = self.settings else { return };
        let told = self.told_demand(now, name);
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
            allowed_units: state.allowed_units(now, &settings),
            share: state.shares.current(),
            told_by: told.entries,
            told_units_per_s: told.units_per_s,
            told_age: told.oldest,
            refusals: std::mem::take(&mut state.refusals),
        });
    }

    /// Returns the units of a request that was admitted at `admitted_at` and did not run.
    pub fn give_back(&mut self, account: &str, admitted_at: Duration, units: f64) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.admitted.give_back(admitted_at, units);
            state.pace.give_back(units);
        }
    }

    /// Returns the notices about refusals, and clears the list of them.
    pub fn take_notices(&mut self) -> Vec<QuotaNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns what to tell the other entries now, if anything: this entry or another one runs
    /// short of a quota.
    pub fn take_due_report(&mut self, now: Duration) -> Option<QuotaReport> {
        if self.reported_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return None;
        }
        let settings = self.settings?;
        let mut accounts = Vec::new();
        for (name, state) in &mut self.accounts {
            state.update_short(now, &settings);
            let told = self.heard.told_demand(now, name, self.entry);
            if state.is_short || told.any_short {
                accounts.push(AccountDemand {
                    account: name.clone(),
                    units_per_s: state.demand.per_s(now),
                    is_short: state.is_short,
                });
            }
        }
        if accounts.is_empty() {
            return None;
        }
        accounts.sort_by(|one, other| one.account.cmp(&other.account));
        self.reported_at = Some(now);
        Some(QuotaReport { entry: self.entry, equal_share: self.equal_share, accounts })
    }
}

impl AccountState {
    /// Units that this entry may admit in a window.
    fn allowed_units(&mut self, now: Duration, settings: &QuotaSettings) -> f64 {
        settings.allowed_units(&self.quota) * self.shares.smallest(now)
    }

    /// Time until there is room in the window for a request; zero if there is. A request that
    /// is larger than the part of the entry needs an empty window.
    fn wait_for_room(&mut self, now: Duration, settings: &QuotaSettings, units: f64) -> Duration {
        let allowed = self.allowed_units(now, settings);
        if allowed <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        self.admitted.time_until(now, (allowed - units).max(0.0))
    }

    /// Time until the pace allows a request; zero if it does, or if the account sends no more
    /// than its quota through all entries.
    fn wait_for_pace(&mut self, now: Duration, told: &ToldDemand, units: f64) -> Duration {
        let share = pace_share(self.shares.current(), told);
        let (rate_per_s, capacity) = (self.quota.rate_per_s * share, self.quota.burst * share);
        let credit = self.pace.refill(now, rate_per_s, capacity);
        let is_paced = told.units_per_s >= self.quota.rate_per_s * PACED_FROM;
        let missing = units.min(capacity) - credit;
        if !is_paced || missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / rate_per_s).unwrap_or(MAX_RETRY_AFTER)
    }

    fn update_short(&mut self, now: Duration, settings: &QuotaSettings) {
        let used = self.admitted.units(now);
        self.is_short = used >= SHORT_FROM * self.allowed_units(now, settings);
    }
}

/// True if a quota is certainly not used up.
fn is_calm(told: &ToldDemand, quota: &Quota) -> bool {
    let tells_whole = told.equal_shares >= MIN_TOLD_SHARES;
    let is_low = told.units_per_s < CALM_BELOW * quota.rate_per_s;
    !told.any_short || (tells_whole && is_low)
}

/// Part of the rate at which an entry admits while the account is paced, from 0 to 1. Over all
/// entries that tell, the parts add up to the sum of their equal ones.
fn pace_share(equal_share: f64, told: &ToldDemand) -> f64 {
    let Some(own) = told.own_units_per_s.filter(|_| told.units_per_s > 0.0) else {
        return equal_share;
    };
    let by_demand = told.equal_shares.min(1.0) * own / told.units_per_s;
    KEPT_PART * equal_share + (1.0 - KEPT_PART) * by_demand
}
