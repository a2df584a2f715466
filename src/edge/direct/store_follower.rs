//! Keeps the router up to date with the platform's store: reads the feeds of the
//! configuration and of the instance list, and applies their records.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio_util::sync::CancellationToken;

use crate::edge::direct::crash_records::decode_record;
use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::origin_log::Reader;
use crate::edge::direct::store::Changes;
use crate::edge::direct::store::NewestPage;
use crate::edge::direct::store::Store;
use crate::edge::direct::store::StoreError;
use crate::edge::direct::store::StoreRecord;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::follow::Cursor;
use crate::router::follow::Feed;
use crate::router::follow::FollowBounds;
use crate::router::follow::FullRead;
use crate::router::follow::Read;
use crate::router::follow::ReadTiming;
use crate::router::instance_list::InstanceState;
use crate::router::instance_list::RecordEffect;
use crate::router::key_certainty::ConfigurationRead;
use crate::router::poison::RecordAge;

/// Follows one feed and applies its records to the router until `stop` is cancelled.
pub async fn follow<S: Store, U: UpstreamClient>(
    store: Rc<S>,
    feed: Feed,
    bounds: FollowBounds,
    dispatcher: Rc<Dispatcher<U>>,
    stop: CancellationToken,
) {
    let timing = ReadTiming::of(feed, &bounds);
    let mut follower = Follower {
        store,
        feed,
        dispatcher,
        cursor: Cursor::default(),
        last: SentRead::default(),
        reachable: true,
        readers: Vec::new(),
    };
    while !stop.is_cancelled() {
        let pause = match follower.read(&timing).await {
            Ok(()) => follower.handle_success(&timing),
            Err(error) => follower.handle_failure(&timing, &error),
        };
        follower.dispatcher.report_key_certainty();
        tokio::select! {
            () = stop.cancelled() => {}
            () = follower.list_requested() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Response to a read of a feed.
enum ReadResponse {
    Page(NewestPage),
    Changes(Changes),
}

/// State of the task that follows one feed.
struct Follower<S, U> {
    store: Rc<S>,
    feed: Feed,
    dispatcher: Rc<Dispatcher<U>>,
    cursor: Cursor,
    last: SentRead,
    reachable: bool,
    /// Requests that wait for the instance list.
    readers: Vec<Reader>,
}

/// Read that was sent last.
#[derive(Debug, Clone, Copy, Default)]
struct SentRead {
    /// When it was sent; of a full read, when that of the first page was.
    requested_at: Duration,
    /// How long the store may delay its response.
    wait: Duration,
}

impl<S: Store, U: UpstreamClient> Follower<S, U> {
    /// Performs the next read of the feed and applies its records. If the store is in a new
    /// era, the next read is a full one instead.
    async fn read(&mut self, timing: &ReadTiming) -> Result<(), StoreError> {
        self.prepare_read(timing);
        if self.feed == Feed::Upstreams {
            self.readers.extend(self.dispatcher.origin_log.take_list_readers());
        }
        let response = tokio::select! {
            response = self.send_read(timing) => response,
            // The rest of a long poll would only delay the full read.
            () = self.dispatcher.era_risen.notified() => {
                Err(StoreError::Failed("another response named a new era".to_string()))
            }
        };
        self.dispatcher.record_store_eras(&*self.store);
        let era = self.dispatcher.router.borrow().store_era();
        if self.cursor.enter_era(era) {
            return Ok(());
        }
        let response = response?;
        self.record_reachable();
        self.apply_response(response);
        Ok(())
    }

    /// Sets when the next read is sent, and how long the store may delay its response.
    fn prepare_read(&mut self, timing: &ReadTiming) {
        let now = self.dispatcher.now();
        match self.cursor.next() {
            Read::Newest { after: Some(_) } => {}
            Read::Newest { after: None } => {
                self.last = SentRead { requested_at: now, wait: Duration::ZERO };
            }
            Read::Changes { .. } => {
                self.last = SentRead { requested_at: now, wait: self.long_poll(now, timing) };
            }
        }
    }

    /// How long the store may delay the response to a read of changes.
    fn long_poll(&self, now: Duration, timing: &ReadTiming) -> Duration {
        if !self.reachable {
            // After a failure the first response shows that the store is back.
            return Duration::ZERO;
        }
        match self.feed {
            Feed::Configuration => {
                self.dispatcher.router.borrow().configuration_poll(now, timing.long_poll)
            }
            Feed::Upstreams | Feed::Suspects => timing.long_poll,
        }
    }

    async fn send_read(&self, timing: &ReadTiming) -> Result<ReadResponse, StoreError> {
        match self.cursor.next() {
            Read::Newest { after } => {
                let timeout = timing.response_timeout;
                let page = self.store.newest_records(self.feed, after.as_deref(), timeout);
                page.await.map(ReadResponse::Page)
            }
            Read::Changes { from } => {
                let wait = self.last.wait;
                let timeout = wait + timing.response_timeout;
                let changes = self.store.changes_since(self.feed, *from, wait, timeout);
                changes.await.map(ReadResponse::Changes)
            }
        }
    }

    fn apply_response(&mut self, response: ReadResponse) {
        match response {
            ReadResponse::Page(page) => {
                let keys = page.records.iter().map(|record| record.key.clone()).collect();
                self.apply_records(page.records, RecordAge::Any);
                match self.cursor.record_page(keys, page.has_more, page.end_offset) {
                    FullRead::Unfinished => {}
                    FullRead::Complete { keys, end_offset } => {
                        self.apply_full_list(&keys, end_offset);
                        self.record_complete_read(Duration::ZERO);
                    }
                    FullRead::Stuck => {
                        spdlog::warn!("full-read-stuck", kv: { feed: = self.feed });
                    }
                }
            }
            ReadResponse::Changes(changes) => {
                let was_fruitless = changes.records.is_empty();
                self.apply_records(changes.records, RecordAge::New);
                self.cursor.record_changes(changes.next_offset);
                if changes.next_offset >= changes.end_offset {
                    let fruitless_wait =
                        if was_fruitless { self.last.wait } else { Duration::ZERO };
                    self.record_complete_read(fruitless_wait);
                }
            }
        }
    }

    /// Records that the last read left nothing newer unread.
    fn record_complete_read(&self, fruitless_wait: Duration) {
        if self.feed != Feed::Configuration {
            return;
        }
        let requested_at = self.last.requested_at;
        let received_at = self.dispatcher.now();
        let read = ConfigurationRead { requested_at, received_at, fruitless_wait };
        self.dispatcher.router.borrow_mut().key_certainty().record_read(&read);
    }

    /// Completes when a request needs the instance list up to now; never for another feed.
    async fn list_requested(&self) {
        match self.feed {
            Feed::Upstreams => self.dispatcher.origin_log.list_requested.notified().await,
            _ => std::future::pending().await,
        }
    }

    fn record_reachable(&mut self) {
        self.dispatcher.metrics.count_store_read(self.feed, true);
        let now = self.dispatcher.now();
        if self.feed == Feed::Upstreams {
            self.dispatcher.router.borrow_mut().instance_list().0.mark_available(now);
        }
        if !std::mem::replace(&mut self.reachable, true) {
            spdlog::info!("store-reached", kv: { feed: = self.feed });
        }
    }

    /// Removes the upstreams that were retained after an outage of the instance list and
    /// whose grace period is over. Returns the pause until the next read.
    fn handle_success(&mut self, timing: &ReadTiming) -> Duration {
        if self.feed == Feed::Upstreams {
            let now = self.dispatcher.now();
            let mut router = self.dispatcher.router.borrow_mut();
            let (instance_list, upstreams) = router.instance_list();
            for id in instance_list.remove_retained(now, upstreams) {
                spdlog::info!("upstream-lapsed", kv: { upstream: = id });
            }
            let (instance_list, upstreams) = router.instance_list();
            for id in instance_list.apply_held_back(now, upstreams) {
                spdlog::info!("upstream-listed-late", kv: { upstream: = id });
            }
            router.record_versions(now);
            self.dispatcher.origin_log.wake_appender(&router);
        }
        match self.cursor.next() {
            Read::Newest { .. } => Duration::ZERO,
            Read::Changes { .. } => {
                for reader in self.readers.drain(..) {
                    // A reader whose caller has disconnected is gone.
                    let _ = reader.send(());
                }
                timing.interval
            }
        }
    }

    /// Records that a read failed or, if the history of the feed is lost, starts over with a
    /// full read. Returns the pause until the next read.
    fn handle_failure(&mut self, timing: &ReadTiming, error: &StoreError) -> Duration {
        if matches!(error, StoreError::HistoryLost { .. }) {
            spdlog::info!("history-lost", kv: { feed: = self.feed });
            self.cursor.restart();
            if self.feed == Feed::Upstreams {
                self.dispatcher.router.borrow_mut().record_list_gap();
            }
            return Duration::ZERO;
        }
        self.readers.clear();
        self.dispatcher.metrics.count_store_read(self.feed, false);
        if self.feed == Feed::Upstreams {
            self.dispatcher.router.borrow_mut().instance_list().0.mark_unavailable();
        }
        if std::mem::replace(&mut self.reachable, false) {
            spdlog::warn!("store-lost", kv: { feed: = self.feed, detail: = error });
        }
        timing.retry_delay
    }

    fn apply_records(&self, records: Vec<StoreRecord>, age: RecordAge) {
        match self.feed {
            Feed::Configuration => {
                records.iter().for_each(|record| self.apply_configuration(record))
            }
            Feed::Upstreams => records.into_iter().for_each(|record| self.apply_upstream(record)),
            Feed::Suspects => {
                records.into_iter().for_each(|record| self.apply_suspect(record, age));
                self.dispatcher.log_suspect_changes();
                self.dispatcher.crash_log.wake(&self.dispatcher.router.borrow());
            }
        }
    }

    /// Applies a record of the configuration; the router ignores one that is not newer.
    fn apply_configuration(&self, record: &StoreRecord) {
        match self.store.decode_configuration(record) {
            Some(Ok(configuration)) => {
                self.dispatcher.router.borrow_mut().key_certainty().record_readable(true);
                let version = configuration.version;
                let routes = configuration.routes.len();
                let accepted = self.dispatcher.configure(configuration);
                spdlog::info!("configuration", kv: {
                    generation = version,
                    routes = routes,
                    taken = accepted,
                    offset = record.offset
                });
            }
            Some(Err(error)) => {
                self.dispatcher.router.borrow_mut().key_certainty().record_readable(false);
                let offset = record.offset;
                spdlog::warn!("configuration-unreadable", kv: { offset = offset, detail: = error });
            }
            None => {}
        }
    }

    /// Applies a record of the instance list.
    fn apply_upstream(&self, record: StoreRecord) {
        let now = self.dispatcher.now();
        let record = self.store.decode_list_record(record);
        let (id, offset) = (record.id.clone(), record.offset);
        let (state, version) = match &record.state {
            InstanceState::Present(listed) if listed.leaving => ("leaving", listed.version.clone()),
            InstanceState::Present(listed) => ("present", listed.version.clone()),
            InstanceState::Removed => ("removed", CompactString::default()),
            InstanceState::Unreadable => ("unreadable", CompactString::default()),
        };
        let mut router = self.dispatcher.router.borrow_mut();
        let (instance_list, upstreams) = router.instance_list();
        match instance_list.apply(now, record, upstreams) {
            RecordEffect::Unchanged => {}
            RecordEffect::Changed => spdlog::info!("upstream-listed", kv: {
                upstream: = id,
                state = state,
                version: = version,
                offset = offset
            }),
            effect @ (RecordEffect::HeldBack | RecordEffect::Outdated) => {
                spdlog::info!("upstream-record-late", kv: {
                    upstream: = id,
                    effect: = effect,
                    offset = offset
                });
            }
        }
    }

    /// Applies a record about what crashes upstreams.
    fn apply_suspect(&self, record: StoreRecord, age: RecordAge) {
        let (key, offset) = (record.key, record.offset);
        let (Ok(suspect), Some(record)) = (key.parse(), decode_record(record.value)) else {
            spdlog::warn!("suspect-unreadable", kv: { key: = key, offset = offset });
            return;
        };
        let now = self.dispatcher.now();
        self.dispatcher.router.borrow_mut().record_suspect(now, suspect, record, age);
    }

    /// Applies a complete read of the instance list, which found these keys: upstreams that
    /// are no longer listed are removed.
    fn apply_full_list(&self, keys: &[CompactString], end_offset: u64) {
        if self.feed != Feed::Upstreams {
            return;
        }
        let now = self.dispatcher.now();
        let mut router = self.dispatcher.router.borrow_mut();
        let (instance_list, upstreams) = router.instance_list();
        let removed = instance_list.apply_full_read(now, keys, end_offset, upstreams);
        let listed = upstreams.len();
        spdlog::info!("list-read", kv: { upstreams = listed, gone = removed, offset = end_offset });
    }
}
