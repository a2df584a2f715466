//! Log of stream origins in the platform's store: appends those of this entry's streams,
//! and reads it for requests whose callers take up a stream.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::store::EntryLog;
use crate::edge::direct::store::Store;
use crate::edge::direct::store::StoreError;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::edge::direct::version_records::read_if_needed;
use crate::router::Router;
use crate::router::follow::LogPosition;
use crate::router::stream_origins::OriginLookup;
use crate::router::stream_origins::StreamOrigin;
use crate::schema::record;

/// Time for which origins are collected before they are appended in one record. Callers
/// that lose their entry come back later than that.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Pause after an append that failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Largest number of appends of one batch.
const MAX_APPENDS: u32 = 4;
/// Time limit of each call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Signals between requests and the tasks that call the store.
#[derive(Debug, Default)]
pub struct OriginLog {
    unsent: Notify,
    requested: Notify,
    /// Requests that wait until the log has been read.
    readers: RefCell<Vec<Reader>>,
    /// Wakes the task that follows the instance list.
    pub(super) list_requested: Notify,
    /// Requests that wait until the instance list has been read.
    list_readers: RefCell<Vec<Reader>>,
}

/// Tells a request that a read has succeeded; dropped if the read failed.
pub(super) type Reader = oneshot::Sender<()>;

impl OriginLog {
    /// Wakes the task that appends, if the router has origins for it.
    pub(super) fn wake_appender(&self, router: &Router) {
        if router.has_unsent_origins() {
            self.unsent.notify_one();
        }
    }

    /// Waits until the log and the instance list have been read up to their present ends, at
    /// most for `limit`. The router then knows what they say. Returns which reads succeeded.
    pub(super) async fn read(&self, limit: Duration) -> OriginLookup {
        let (log_done, log_read) = oneshot::channel();
        self.readers.borrow_mut().push(log_done);
        self.requested.notify_one();
        let (list_done, list_read) = oneshot::channel();
        self.list_readers.borrow_mut().push(list_done);
        self.list_requested.notify_one();
        let (log, list) = tokio::join!(timeout(limit, log_read), timeout(limit, list_read));
        OriginLookup { log_read: matches!(log, Ok(Ok(()))), list_read: matches!(list, Ok(Ok(()))) }
    }

    /// Returns the requests that wait for a read of the instance list: one that starts now
    /// serves them.
    pub(super) fn take_list_readers(&self) -> Vec<Reader> {
        std::mem::take(&mut self.list_readers.borrow_mut())
    }
}

/// Appends the origins of this entry's streams until the process ends.
pub async fn append<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    loop {
        dispatcher.origin_log.unsent.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let origins = dispatcher.router.borrow_mut().take_unsent_origins();
        if !origins.is_empty() {
            append_batch(&*store, &dispatcher, &origins).await;
        }
    }
}

/// Appends a batch. A lost response may mean that it was appended; twice does no harm.
async fn append_batch<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    origins: &[StreamOrigin],
) {
    let record = encode(origins);
    for _ in 0..MAX_APPENDS {
        let appended =
            store.append_record(EntryLog::StreamOrigins, record.clone(), STORE_TIMEOUT).await;
        dispatcher.record_store_eras(store);
        match appended {
            Ok(()) => {
                spdlog::info!("origins-appended", kv: { streams = origins.len() });
                return;
            }
            Err(error) => {
                spdlog::warn!("origins-not-appended", kv: {
                    streams = origins.len(),
                    detail: = error
                });
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads the log whenever requests ask for it, until the process ends.
pub async fn read<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    let mut position = LogPosition::default();
    loop {
        dispatcher.origin_log.requested.notified().await;
        let readers = std::mem::take(&mut *dispatcher.origin_log.readers.borrow_mut());
        read_if_needed(&*store, &dispatcher).await;
        if let Err(error) = read_to_end(&*store, &dispatcher, &mut position).await {
            spdlog::warn!("origins-not-read", kv: { detail: = error });
            continue;
        }
        for reader in readers {
            // A reader whose caller has disconnected is gone.
            let _ = reader.send(());
        }
    }
}

async fn read_to_end<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    position: &mut LogPosition,
) -> Result<(), StoreError> {
    let mut restarted = false;
    loop {
        position.enter_era(dispatcher.router.borrow().store_era());
        let (log, from) = (EntryLog::StreamOrigins, position.next_offset);
        let page = store.read_log(log, from, Duration::ZERO, STORE_TIMEOUT).await;
        dispatcher.record_store_eras(store);
        if position.enter_era(dispatcher.router.borrow().store_era()) {
            continue;
        }
        let page = match page {
            Err(StoreError::HistoryLost { first_offset }) if !restarted => {
                position.next_offset = first_offset;
                restarted = true;
                continue;
            }
            page => page?,
        };
        let origins = page.records.into_iter().flat_map(decode).collect();
        dispatcher.router.borrow_mut().record_origins(dispatcher.now(), origins);
        position.next_offset = page.next_offset;
        if page.next_offset >= page.end_offset {
            return Ok(());
        }
    }
}

fn encode(origins: &[StreamOrigin]) -> Bytes {
    let origins = origins.iter().map(|origin| record::StreamOrigin {
        request_id: origin.request_id.to_string(),
        version: origin.version.to_string(),
    });
    record::StreamOriginBatch { origins: origins.collect() }.encode_to_vec().into()
}

/// Decodes a record; one that is not valid holds no origins.
fn decode(record: Bytes) -> Vec<StreamOrigin> {
    let batch = record::StreamOriginBatch::decode(record).unwrap_or_else(|error| {
        spdlog::warn!("origins-unreadable", kv: { detail: = error });
        record::StreamOriginBatch::default()
    });
    let origins = batch.origins.into_iter().map(|origin| StreamOrigin {
        request_id: origin.request_id.into(),
        version: origin.version.into(),
    });
    origins.collect()
}
