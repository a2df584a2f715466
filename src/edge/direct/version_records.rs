//! The store's record of the software versions that may have begun streams: every entry reads
//! it once, and the holder of the lease keeps it up to date.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::sync::Notify;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::store::EntryTopic;
use crate::edge::direct::store::NewestPage;
use crate::edge::direct::store::Store;
use crate::edge::direct::store::StoreError;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Router;
use crate::router::version_history::ServiceVersions;
use crate::schema::record;

/// Time limit of each call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Signal to the task that calls the store.
#[derive(Debug, Default)]
pub struct VersionRecords {
    due: Notify,
    /// Until when this entry may write records, as the holder of the lease.
    writes_until: Cell<Duration>,
}

impl VersionRecords {
    /// Wakes the task that calls the store, if it has something to do. This entry may write
    /// until `writes_until`.
    pub(super) fn wake(&self, router: &Router, now: Duration, writes_until: Duration) {
        self.writes_until.set(writes_until);
        let writes = now < writes_until && !router.versions_to_record(now).is_empty();
        if writes || router.needs_recorded_versions() {
            self.due.notify_one();
        }
    }
}

/// Reads the records and keeps them up to date until the process ends.
pub async fn maintain<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    loop {
        dispatcher.version_records.due.notified().await;
        read_if_needed(&*store, &dispatcher).await;
        let now = dispatcher.now();
        let updates = dispatcher.router.borrow().versions_to_record(now);
        for update in updates {
            if dispatcher.now() < dispatcher.version_records.writes_until.get() {
                write(&*store, &dispatcher, update).await;
            }
        }
    }
}

/// Reads the records, unless they are known or not needed. After a failure they stay unknown.
pub(super) async fn read_if_needed<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
) {
    if !dispatcher.router.borrow().needs_recorded_versions() {
        return;
    }
    let page = store.read_records(EntryTopic::Versions, STORE_TIMEOUT).await;
    let era = dispatcher.router.borrow().store_era();
    dispatcher.record_store_eras(store);
    if era.is_some() && dispatcher.router.borrow().store_era() != era {
        return;
    }
    match page.and_then(decode_records) {
        Ok(records) => {
            let mut router = dispatcher.router.borrow_mut();
            router.set_recorded_versions(dispatcher.now(), records);
            dispatcher.origin_log.wake_appender(&router);
        }
        Err(error) => spdlog::warn!("versions-not-read", kv: { detail: = error }),
    }
}

/// Writes a record. After a failure the records are read anew, as it may have been written.
async fn write<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    update: ServiceVersions,
) {
    let value = Some(encode(&update));
    let written = store.put_record(EntryTopic::Versions, &update.service, value, STORE_TIMEOUT);
    let written = written.await;
    dispatcher.record_store_eras(store);
    let (service, versions) = (update.service.clone(), update.versions.len());
    match written {
        Ok(()) => {
            dispatcher.router.borrow_mut().set_recorded_service(update);
            spdlog::info!("versions-recorded", kv: { service: = service, versions = versions });
        }
        Err(error) => {
            dispatcher.router.borrow_mut().forget_recorded_versions();
            spdlog::warn!("versions-not-recorded", kv: { service: = service, detail: = error });
        }
    }
}

fn encode(update: &ServiceVersions) -> Bytes {
    let versions = update.versions.iter().map(ToString::to_string).collect();
    record::ServiceVersions { versions }.encode_to_vec().into()
}

/// Decodes the records of all services.
///
/// # Errors
/// One of them is not valid, or there are more than one page holds: not all is known.
fn decode_records(page: NewestPage) -> Result<Vec<ServiceVersions>, StoreError> {
    if page.has_more {
        return Err(StoreError::Failed("there are more services than in a page".to_string()));
    }
    let present = page.records.into_iter().filter_map(|record| Some((record.key, record.value?)));
    let decoded = present.map(|(service, value)| {
        let record = record::ServiceVersions::decode(value);
        let record = record.map_err(|error| StoreError::Failed(error.to_string()))?;
        let versions = record.versions.into_iter().map(Into::into).collect();
        Ok(ServiceVersions { service, versions })
    });
    decoded.collect()
}
