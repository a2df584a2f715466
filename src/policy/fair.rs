//! Fair share of client accounts in the tokens of a busy pool.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

/// Time constant of the exponential decay of usage, in seconds.
const USAGE_DECAY_S: f64 = 10.0;
/// Accounts with less usage than this, in tokens, are not active: their weight
/// does not count, and they are removed when there are many accounts.
const MIN_ACTIVE_TOKENS: f64 = 1.0;
/// Pressure below which no account is over its share.
const MIN_PRESSURE: f64 = 0.5;
/// Multiple of its share that an account may use at `MIN_PRESSURE`. It shrinks
/// to 1 as the pressure rises to 1.
const MAX_SHARE_FACTOR: f64 = 4.0;
/// Number of accounts above which inactive ones are removed.
const SWEEP_ACCOUNTS_ABOVE: usize = 1_024;

/// Token usage of one account, decayed until `updated_at`.
#[derive(Debug, Clone)]
struct AccountUsage {
    weight: f64,
    tokens: f64,
    updated_at: Duration,
}

impl AccountUsage {
    fn decayed(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens * (-age_s / USAGE_DECAY_S).exp()
    }
}

/// Recently admitted tokens by client account.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    usage: HashMap<CompactString, AccountUsage>,
    total_tokens: f64,
    total_weight: f64,
    totals_updated_at: Option<Duration>,
}

/// Shortest time between two computations of the totals over all accounts.
const TOTALS_INTERVAL: Duration = Duration::from_millis(200);

impl FairShare {
    /// Records that a request of `tokens` tokens of `account` was admitted.
    pub fn record_admitted(&mut self, now: Duration, account: &str, weight: u32, tokens: u32) {
        let usage = self.usage.entry(account.into()).or_insert(AccountUsage {
            weight: f64::from(weight),
            tokens: 0.0,
            updated_at: now,
        });
        usage.tokens = usage.decayed(now) + f64::from(tokens);
        usage.updated_at = now;
        usage.weight = f64::from(weight);
        self.total_tokens += f64::from(tokens);
    }

    /// True if the account has recently used more than its share.
    ///
    /// `pressure` is the predicted time to the first token as a share of the
    /// usable latency target (see [`crate::policy::admission::pressure`]). Below
    /// one half no account is over its share. From one half to 1, the multiple
    /// of the share that is tolerated shrinks from 4 to 1. A lone account is
    /// never over its share.
    pub fn exceeds_share(&mut self, now: Duration, account: &str, pressure: f64) -> bool {
        if pressure < MIN_PRESSURE {
            return false;
        }
        self.update_totals(now);
        let Some(usage) = self.usage.get(account) else { return false };
        if self.usage.len() < 2 || self.total_weight <= 0.0 {
            return false;
        }
        let share = self.total_tokens * usage.weight / self.total_weight;
        let spare = (1.0 - pressure).max(0.0) / (1.0 - MIN_PRESSURE);
        let share_factor = 1.0 + spare * (MAX_SHARE_FACTOR - 1.0);
        usage.decayed(now) > share * share_factor
    }

    /// Number of accounts with recorded usage.
    pub fn account_count(&self) -> usize {
        self.usage.len()
    }

    fn update_totals(&mut self, now: Duration) {
        if self.totals_updated_at.is_some_and(|at| now < at + TOTALS_INTERVAL) {
            return;
        }
        self.totals_updated_at = Some(now);
        if self.usage.len() > SWEEP_ACCOUNTS_ABOVE {
            self.usage.retain(|_, usage| usage.decayed(now) >= MIN_ACTIVE_TOKENS);
        }
        self.total_tokens = self.usage.values().map(|usage| usage.decayed(now)).sum();
        let active = self.usage.values().filter(|usage| usage.decayed(now) >= MIN_ACTIVE_TOKENS);
        self.total_weight = active.map(|usage| usage.weight).sum();
    }
}
