//! Tells the other entries what accounts near their quotas send through this one, and reads
//! what the others tell, through a log of the platform's store. Without quotas in the
//! configuration nothing is read or written.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::clock::as_ms;
use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::metrics::QuotaReportResult;
use crate::edge::direct::store_follower::EntryLog;
use crate::edge::direct::store_follower::LogPage;
use crate::edge::direct::store_follower::Store;
use crate::edge::direct::store_follower::StoreError;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::follow::LogPosition;
use crate::router::quota_reports::AccountDemand;
use crate::router::quota_reports::EntryIncarnation;
use crate::router::quota_reports::QuotaReport;
use crate::schema::record;

/// Interval of the checks whether a report is due, or whether there are quotas.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which the store may delay its response until there is a report.
const LONG_POLL: Duration = Duration::from_secs(20);
/// Pause between two reads: while reports come in, one read returns those of many entries.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time limit of a call to the store, beyond the delay that it may make.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Tells the others what is due, until the process ends.
pub async fn report<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = dispatcher.now();
        let due = dispatcher.router.borrow_mut().take_due_quota_report(now);
        if let Some(report) = due {
            append(&*store, &dispatcher, &report).await;
        }
    }
}

/// Appends a report once: the next one replaces it soon.
async fn append<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    report: &QuotaReport,
) {
    let log = EntryLog::QuotaReports;
    let appended = store.append_record(log, encode(report), STORE_TIMEOUT).await;
    dispatcher.record_store_eras(store);
    let accounts = report.accounts.len();
    match appended {
        Ok(()) => {
            dispatcher.metrics.count_quota_report(QuotaReportResult::Appended);
            spdlog::debug!("quota-reported", kv: { accounts = accounts });
        }
        Err(error) => {
            dispatcher.metrics.count_quota_report(QuotaReportResult::Failed);
            spdlog::warn!("quota-not-reported", kv: { accounts = accounts, detail: = error });
        }
    }
}

/// Reads what entries tell while there are quotas, until the process ends.
pub async fn read<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    let mut position = LogPosition::default();
    // The first read shows whether the log holds reports from before this entry was started.
    let mut wait = Duration::ZERO;
    loop {
        let now = dispatcher.now();
        if !dispatcher.router.borrow_mut().enforces_quotas(now) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let pause = match read_page(&*store, &dispatcher, &mut position, wait).await {
            Ok(true) => {
                wait = LONG_POLL;
                READ_INTERVAL
            }
            Ok(false) => Duration::ZERO,
            Err(error) => {
                spdlog::warn!("quota-reports-not-read", kv: { detail: = error });
                wait = Duration::ZERO;
                RETRY_DELAY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Reads the next page of the log. Returns true if it reached the end.
async fn read_page<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    position: &mut LogPosition,
    wait: Duration,
) -> Result<bool, StoreError> {
    position.enter_era(dispatcher.router.borrow().store_era());
    let (log, from) = (EntryLog::QuotaReports, position.next_offset);
    let page = store.read_log(log, from, wait, wait + STORE_TIMEOUT).await;
    dispatcher.record_store_eras(store);
    if position.enter_era(dispatcher.router.borrow().store_era()) {
        return Ok(false);
    }
    match page {
        Err(StoreError::HistoryLost { first_offset }) => {
            position.next_offset = first_offset;
            Ok(false)
        }
        page => Ok(apply(dispatcher, position, page?)),
    }
}

/// Passes the reports of a page to the router. Returns true if the page reaches the end.
fn apply<U: UpstreamClient>(
    dispatcher: &Dispatcher<U>,
    position: &mut LogPosition,
    page: LogPage,
) -> bool {
    let now = dispatcher.now();
    let reports = page.records.into_iter().filter_map(decode).collect();
    position.next_offset = page.next_offset;
    let at_end = page.next_offset >= page.end_offset;
    let mut router = dispatcher.router.borrow_mut();
    router.quotas().record_reports(now, reports);
    if at_end {
        router.quotas().record_log_read(now);
    }
    at_end
}

fn encode(report: &QuotaReport) -> Bytes {
    let accounts = report.accounts.iter().map(|demand| record::AccountDemand {
        account: demand.account.to_string(),
        units_per_s: demand.units_per_s,
        is_short: demand.is_short,
    });
    let report = record::QuotaReport {
        entry: report.entry.0,
        equal_share: report.equal_share,
        accounts: accounts.collect(),
    };
    report.encode_to_vec().into()
}

/// Decodes a record; `None` if it is not valid.
fn decode(record: Bytes) -> Option<QuotaReport> {
    let report = match record::QuotaReport::decode(record) {
        Ok(report) => report,
        Err(error) => {
            spdlog::warn!("quota-report-unreadable", kv: { detail: = error });
            return None;
        }
    };
    let accounts = report.accounts.into_iter().map(|demand| AccountDemand {
        account: demand.account.into(),
        units_per_s: demand.units_per_s,
        is_short: demand.is_short,
    });
    Some(QuotaReport {
        entry: EntryIncarnation(report.entry),
        equal_share: report.equal_share,
        accounts: accounts.collect(),
    })
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// Logs refusals for quotas, with what they were decided on.
    pub(super) fn log_quota_notices(&self) {
        for notice in self.router.borrow_mut().quotas().take_notices() {
            spdlog::info!("quota-refused", kv: {
                instance: = self.name,
                account: = notice.account,
                units = notice.units,
                used_units = notice.used_units,
                allowed_units = notice.allowed_units,
                share = notice.share,
                told_by = notice.told_by,
                told_units_per_s = notice.told_units_per_s,
                told_age_ms = as_ms(notice.told_age),
                refusals = notice.refusals
            });
        }
    }
}
