//! What entries tell each other about accounts that are near their quotas.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

/// Time for which a report of an entry counts after it was read.
const REPORT_VALIDITY: Duration = Duration::from_millis(3_500);

/// Identifies one incarnation of an entry in the reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryIncarnation(pub u64);

/// What one entry tells the others.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaReport {
    /// Entry that tells it.
    pub entry: EntryIncarnation,
    /// Its equal part of all quotas, from 0 to 1.
    pub equal_share: f64,
    /// Accounts of whose quotas an entry runs short.
    pub accounts: Vec<AccountDemand>,
}

/// What an account sends through one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountDemand {
    /// Name of the account.
    pub account: CompactString,
    /// Units a second that arrive, the refused ones included.
    pub units_per_s: f64,
    /// True if the entry runs short, so that all others are to tell their demand.
    pub is_short: bool,
}

/// Report of an entry, as it was read.
#[derive(Debug, Clone)]
struct HeardReport {
    heard_at: Duration,
    equal_share: f64,
    accounts: HashMap<CompactString, AccountDemand>,
}

/// Demand of one account that the valid reports tell.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ToldDemand {
    /// Number of entries that tell it.
    pub entries: usize,
    /// Sum of the equal parts of these entries.
    pub equal_shares: f64,
    /// Sum of their demands, in units a second.
    pub units_per_s: f64,
    /// Age of the oldest of the reports since it was read.
    pub oldest: Duration,
    /// True if an entry runs short.
    pub any_short: bool,
    /// Demand that this entry itself has told, as it was read back; `None` without.
    pub own_units_per_s: Option<f64>,
}

/// Latest report of each entry.
#[derive(Debug, Default)]
pub(super) struct HeardReports {
    reports: HashMap<EntryIncarnation, HeardReport>,
}

impl HeardReports {
    /// Records reports that were read now, the oldest first.
    pub(super) fn record(&mut self, now: Duration, reports: Vec<QuotaReport>) {
        for report in reports {
            let accounts = report.accounts.into_iter();
            let heard = HeardReport {
                heard_at: now,
                equal_share: report.equal_share,
                accounts: accounts.map(|demand| (demand.account.clone(), demand)).collect(),
            };
            self.reports.insert(report.entry, heard);
        }
        self.reports.retain(|_, report| report.is_valid(now));
    }

    /// Demand of an account that the valid reports tell; `own` is this entry.
    pub(super) fn told_demand(
        &self,
        now: Duration,
        account: &str,
        own: EntryIncarnation,
    ) -> ToldDemand {
        let mut told = ToldDemand::default();
        let valid = self.reports.iter().filter(|(_, report)| report.is_valid(now));
        for (entry, report) in valid {
            let Some(demand) = report.accounts.get(account) else { continue };
            told.entries += 1;
            told.equal_shares += report.equal_share;
            told.units_per_s += demand.units_per_s;
            told.oldest = told.oldest.max(now.saturating_sub(report.heard_at));
            told.any_short |= demand.is_short;
            if *entry == own {
                told.own_units_per_s = Some(demand.units_per_s);
            }
        }
        told
    }
}

impl HeardReport {
    fn is_valid(&self, now: Duration) -> bool {
        now < self.heard_at + REPORT_VALIDITY
    }
}
