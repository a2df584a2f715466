//! Claims units of the pools of quotas in a log of the platform's store, and reads there which
//! claims were granted. While no account runs short, nothing is written or read, but for one
//! read after the start of an entry.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::sync::Notify;

use crate::clock::as_ms;
use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::metrics::QuotaClaimResult;
use crate::edge::direct::store::EntryLog;
use crate::edge::direct::store::Store;
use crate::edge::direct::store::StoreError;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::follow::LogPosition;
use crate::router::quota_claims::ClaimBatch;
use crate::router::quota_claims::ClaimId;
use crate::router::quota_claims::EntryIncarnation;
use crate::router::quota_claims::QuotaClaim;
use crate::router::request::IncomingRequest;
use crate::schema::record;

/// Time for which claims are collected before they are appended in one record.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time limit of a call to the store. A claim that is read back later than the router waits for
/// it is lost.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a claim that is logged as such.
const NOT_READ: i64 = -1;
/// Longest time for which a request waits for its claim.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(500);

/// Signal from requests to the task that calls the store.
#[derive(Debug, Default)]
pub struct QuotaLog {
    unsent: Notify,
    /// Wakes the requests that wait for claims.
    answered: Notify,
}

impl QuotaLog {
    /// Wakes the task to read the log, if that is due.
    pub(super) fn wake_for_first_read(&self) {
        self.unsent.notify_one();
    }
}

/// Claims what the router asks for, until the process ends.
pub async fn claim<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    let mut position = LogPosition::default();
    loop {
        dispatcher.quota_log.unsent.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let now = dispatcher.now();
        let is_first = dispatcher.router.borrow_mut().needs_first_read_of_claims(now);
        let claims = dispatcher.router.borrow_mut().quotas().take_claims();
        if let Some(batch) = &claims {
            append(&*store, &dispatcher, batch).await;
        }
        if (claims.is_some() || is_first)
            && let Err(error) = read_to_end(&*store, &dispatcher, &mut position).await
        {
            spdlog::warn!("quota-claims-not-read", kv: { detail: = error });
            dispatcher.quota_log.answered.notify_waiters();
            tokio::time::sleep(RETRY_DELAY).await;
            dispatcher.quota_log.unsent.notify_one();
        }
    }
}

/// Appends claims once. A lost response may mean that they were appended: reading them back
/// tells.
async fn append<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    batch: &ClaimBatch,
) {
    let log = EntryLog::QuotaClaims;
    let appended = store.append_record(log, encode(batch), STORE_TIMEOUT).await;
    dispatcher.record_store_eras(store);
    let accounts = batch.claims.len();
    match appended {
        Ok(()) => {
            dispatcher.metrics.count_quota_claim(QuotaClaimResult::Appended);
            spdlog::info!("quota-claimed", kv: {
                instance: = dispatcher.name,
                accounts = accounts
            });
        }
        Err(error) => {
            dispatcher.metrics.count_quota_claim(QuotaClaimResult::Failed);
            spdlog::warn!("quota-not-claimed", kv: { accounts = accounts, detail: = error });
        }
    }
}

/// Reads the log up to its present end.
async fn read_to_end<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    position: &mut LogPosition,
) -> Result<(), StoreError> {
    loop {
        position.enter_era(dispatcher.router.borrow().store_era());
        let (log, from) = (EntryLog::QuotaClaims, position.next_offset);
        let page = store.read_log(log, from, Duration::ZERO, STORE_TIMEOUT).await;
        dispatcher.record_store_eras(store);
        if position.enter_era(dispatcher.router.borrow().store_era()) {
            continue;
        }
        if let Err(StoreError::HistoryLost { first_offset }) = page {
            position.next_offset = first_offset;
            continue;
        }
        let page = page?;
        let now = dispatcher.now();
        let batches = page.records.into_iter().filter_map(decode).collect();
        position.next_offset = page.next_offset;
        let mut router = dispatcher.router.borrow_mut();
        router.quotas().record_claims(now, batches);
        if page.next_offset >= page.end_offset {
            router.quotas().record_log_read(now);
            dispatcher.quota_log.answered.notify_waiters();
            return Ok(());
        }
    }
}

fn encode(batch: &ClaimBatch) -> Bytes {
    let claims = batch
        .claims
        .iter()
        .map(|claim| record::QuotaClaim { account: claim.account.to_string(), units: claim.units });
    let batch = record::QuotaClaimBatch {
        entry: batch.id.entry.0,
        number: batch.id.number,
        claims: claims.collect(),
    };
    batch.encode_to_vec().into()
}

/// Decodes a record; `None` if it is not valid.
fn decode(record: Bytes) -> Option<ClaimBatch> {
    let batch = match record::QuotaClaimBatch::decode(record) {
        Ok(batch) => batch,
        Err(error) => {
            spdlog::warn!("quota-claims-unreadable", kv: { detail: = error });
            return None;
        }
    };
    let claims = batch.claims.into_iter();
    // A negative number or none would let others claim more than there is.
    let claims = claims.filter(|claim| claim.units >= 0.0);
    let claims =
        claims.map(|claim| QuotaClaim { account: claim.account.into(), units: claim.units });
    let entry = EntryIncarnation(batch.entry);
    let id = ClaimId { entry, number: batch.number };
    Some(ClaimBatch { id, claims: claims.collect() })
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// Waits while a request has no room in the quota of its account but for a claim that is
    /// not answered yet.
    pub(super) async fn wait_for_quota(&self, incoming: &IncomingRequest) {
        let until = self.now() + MAX_CLAIM_WAIT;
        while self.now() < until && self.router.borrow_mut().awaits_quota(self.now(), incoming) {
            self.quota_log.unsent.notify_one();
            let remaining = until.saturating_sub(self.now());
            // The router decides with what it knows then.
            let _ = tokio::time::timeout(remaining, self.quota_log.answered.notified()).await;
        }
    }

    /// Logs refusals for quotas, with what they were decided on.
    pub(super) fn log_quota_notices(&self) {
        for notice in self.router.borrow_mut().quotas().take_notices() {
            spdlog::info!("quota-refused", kv: {
                instance: = self.name,
                account: = notice.account,
                units = notice.units,
                used_units = notice.used_units,
                part_units = notice.part_units,
                granted_units = notice.granted_units,
                claimed_units = notice.claimed_units,
                claims_age_ms = notice.claims_age.map_or(NOT_READ, |age| as_ms(age) as i64),
                refusals = notice.refusals
            });
        }
    }
}
