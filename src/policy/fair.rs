//! Fair share among client accounts while a pool is busy.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

const DECAY_S: f64 = 10.0;
const FORGET_BELOW: f64 = 1.0;
const PRESSURE_STARTS: f64 = 0.5;
const FREE_SLACK: f64 = 4.0;
const SWEEP_ABOVE: usize = 1_024;

#[derive(Debug, Clone)]
struct Usage {
    weight: f64,
    tokens: f64,
    at: Duration,
}

impl Usage {
    fn decayed(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.at).as_secs_f64();
        self.tokens * (-age_s / DECAY_S).exp()
    }
}

/// Tokens admitted of late, by client account.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    usage: HashMap<CompactString, Usage>,
    total: f64,
    total_weight: f64,
    summed_at: Option<Duration>,
}

const SUM_EVERY: Duration = Duration::from_millis(200);

impl FairShare {
    /// Records that `tokens` tokens of `account` were admitted.
    pub fn record_admitted(&mut self, now: Duration, account: &str, weight: u32, tokens: u32) {
        let usage = self.usage.entry(account.into()).or_insert(Usage {
            weight: f64::from(weight),
            tokens: 0.0,
            at: now,
        });
        usage.tokens = usage.decayed(now) + f64::from(tokens);
        usage.at = now;
        usage.weight = f64::from(weight);
        self.total += f64::from(tokens);
    }

    /// True if the account has used more than its share of late.
    ///
    /// `pressure` is the predicted wait as a share of the target: below a half
    /// nobody is over its share, and the slack shrinks up to the whole.
    pub fn exceeds_share(&mut self, now: Duration, account: &str, pressure: f64) -> bool {
        if pressure < PRESSURE_STARTS {
            return false;
        }
        self.sum_up(now);
        let Some(usage) = self.usage.get(account) else { return false };
        if self.usage.len() < 2 || self.total_weight <= 0.0 {
            return false;
        }
        let share = self.total * usage.weight / self.total_weight;
        let eased = (1.0 - pressure).max(0.0) / (1.0 - PRESSURE_STARTS);
        let slack = 1.0 + eased * (FREE_SLACK - 1.0);
        usage.decayed(now) > share * slack
    }

    /// Accounts that are remembered.
    pub fn account_count(&self) -> usize {
        self.usage.len()
    }

    fn sum_up(&mut self, now: Duration) {
        if self.summed_at.is_some_and(|at| now < at + SUM_EVERY) {
            return;
        }
        self.summed_at = Some(now);
        if self.usage.len() > SWEEP_ABOVE {
            self.usage.retain(|_, usage| usage.decayed(now) >= FORGET_BELOW);
        }
        self.total = self.usage.values().map(|usage| usage.decayed(now)).sum();
        let active = self.usage.values().filter(|usage| usage.decayed(now) >= FORGET_BELOW);
        self.total_weight = active.map(|usage| usage.weight).sum();
    }
}
