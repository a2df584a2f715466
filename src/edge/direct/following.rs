//! Follows the platform's store: configuration and instance list.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio_util::sync::CancellationToken;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::configuration::RouteTable;
use crate::router::follow::Cursor;
use crate::router::follow::Feed;
use crate::router::follow::FollowBounds;
use crate::router::follow::Read;
use crate::router::follow::ReadTiming;
use crate::router::instance_list::InstanceRecord;
use crate::router::lease::RenewalResponse;

/// One record of a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRecord {
    /// Key.
    pub key: CompactString,
    /// Place in the feed.
    pub offset: u64,
    /// What it says; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// A page of the newest record of each key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, by key.
    pub records: Vec<StoreRecord>,
    /// More pages follow.
    pub more: bool,
    /// Offset that the next record gets.
    pub end: u64,
}

/// The records from an offset on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The records, in order.
    pub records: Vec<StoreRecord>,
    /// Offset to read from next.
    pub end: u64,
}

/// Why a read of the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The records asked for are gone.
    #[error("the history is gone")]
    HistoryLost,
    /// The store turned the call away.
    #[error("status {0}")]
    Refused(u16),
    /// No answer, or one that cannot be read.
    #[error("{0}")]
    Unreachable(String),
}

/// The platform's store. Each call is made once; nothing is decided here.
#[allow(async_fn_in_trait, reason = "entries run on one thread")]
pub trait Store: 'static {
    /// Reads a page of the newest record of each key, after a key.
    async fn newest(
        &self,
        feed: Feed,
        after: Option<&str>,
        timeout: Duration,
    ) -> Result<NewestPage, StoreError>;

    /// Reads the records from an offset on; the store may hold the answer back
    /// for `wait` until there is one.
    async fn changes(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Changes, StoreError>;

    /// Joins the group of entries or stays in it. Says whether this member
    /// holds the group's lease.
    async fn renew(
        &self,
        member: &str,
        generation: u64,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<RenewalResponse, StoreError>;

    /// Reads a record of the list.
    fn list_record(&self, record: StoreRecord) -> InstanceRecord;

    /// Reads a configuration. `None`: the record is about something else.
    ///
    /// # Errors
    /// What is wrong with it.
    fn route_table(&self, record: &StoreRecord) -> Option<Result<RouteTable, String>>;
}

/// Follows one feed until the token is cancelled.
pub async fn follow<S: Store, U: UpstreamClient>(
    store: Rc<S>,
    feed: Feed,
    bounds: FollowBounds,
    dispatcher: Rc<Dispatcher<U>>,
    stop: CancellationToken,
) {
    let pace = ReadTiming::of(feed, &bounds);
    let mut follower = Follower { store, feed, dispatcher, cursor: Cursor::default(), up: true };
    while !stop.is_cancelled() {
        let pause = match follower.read(&pace).await {
            Ok(()) => follower.reached(&pace),
            Err(error) => follower.failed(&pace, &error),
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

struct Follower<S, U> {
    store: Rc<S>,
    feed: Feed,
    dispatcher: Rc<Dispatcher<U>>,
    cursor: Cursor,
    up: bool,
}

impl<S: Store, U: UpstreamClient> Follower<S, U> {
    async fn read(&mut self, pace: &ReadTiming) -> Result<(), StoreError> {
        match self.cursor.next().clone() {
            Read::Newest { after } => {
                let page =
                    self.store.newest(self.feed, after.as_deref(), pace.response_timeout).await?;
                self.note_reached();
                let keys = page.records.iter().map(|record| record.key.clone()).collect();
                self.take_in(page.records);
                if let Some((keys, end)) = self.cursor.record_page(keys, page.more, page.end) {
                    self.take_whole(&keys, end);
                }
            }
            Read::Changes { from } => {
                let timeout = pace.long_poll + pace.response_timeout;
                let changes = self.store.changes(self.feed, from, pace.long_poll, timeout).await?;
                self.note_reached();
                self.take_in(changes.records);
                self.cursor.record_changes(changes.end);
            }
        }
        Ok(())
    }

    fn note_reached(&mut self) {
        self.dispatcher.metrics.store_read(self.feed, true);
        let now = self.dispatcher.now();
        if self.feed == Feed::Upstreams {
            self.dispatcher.router.borrow_mut().instance_list().0.mark_available(now);
        }
        if !std::mem::replace(&mut self.up, true) {
            spdlog::info!("store-reached", kv: { feed: = self.feed });
        }
    }

    fn reached(&mut self, pace: &ReadTiming) -> Duration {
        if self.feed == Feed::Upstreams {
            let now = self.dispatcher.now();
            let mut router = self.dispatcher.router.borrow_mut();
            let (instance_list, fleet) = router.instance_list();
            for id in instance_list.expire(now, fleet) {
                spdlog::info!("upstream-lapsed", kv: { upstream: = id });
            }
        }
        match self.cursor.next() {
            Read::Newest { .. } => Duration::ZERO,
            Read::Changes { .. } => pace.interval,
        }
    }

    fn failed(&mut self, pace: &ReadTiming, error: &StoreError) -> Duration {
        if *error == StoreError::HistoryLost {
            spdlog::info!("history-lost", kv: { feed: = self.feed });
            self.cursor.restart();
            return Duration::ZERO;
        }
        self.dispatcher.metrics.store_read(self.feed, false);
        if self.feed == Feed::Upstreams {
            self.dispatcher.router.borrow_mut().instance_list().0.mark_unavailable();
        }
        if std::mem::replace(&mut self.up, false) {
            spdlog::warn!("store-lost", kv: { feed: = self.feed, detail: = error });
        }
        pace.retry_delay
    }

    fn take_in(&self, records: Vec<StoreRecord>) {
        match self.feed {
            Feed::Configuration => records.iter().for_each(|record| self.configure(record)),
            Feed::Upstreams => records.into_iter().for_each(|record| self.list(record)),
        }
    }

    fn configure(&self, record: &StoreRecord) {
        match self.store.route_table(record) {
            Some(Ok(table)) => {
                let version = table.version;
                let routes = table.routes.len();
                let taken = self.dispatcher.router.borrow_mut().configure(table);
                spdlog::info!("configuration", kv: {
                    generation = version,
                    routes = routes,
                    taken = taken,
                    offset = record.offset
                });
            }
            Some(Err(error)) => {
                let offset = record.offset;
                spdlog::warn!("configuration-unreadable", kv: { offset = offset, detail: = error });
            }
            None => {}
        }
    }

    fn list(&self, record: StoreRecord) {
        let now = self.dispatcher.now();
        let record = self.store.list_record(record);
        let (id, offset) = (record.id.clone(), record.offset);
        let what = match &record.state {
            crate::router::instance_list::InstanceState::Present(listed) if listed.leaving => {
                "leaving"
            }
            crate::router::instance_list::InstanceState::Present(_) => "present",
            crate::router::instance_list::InstanceState::Removed => "removed",
            crate::router::instance_list::InstanceState::Unreadable => "unreadable",
        };
        let mut router = self.dispatcher.router.borrow_mut();
        let (instance_list, fleet) = router.instance_list();
        if instance_list.apply(now, record, fleet) {
            spdlog::info!("upstream-listed", kv: {
                upstream: = id,
                state = what,
                offset = offset
            });
        }
    }

    fn take_whole(&self, keys: &[CompactString], end: u64) {
        if self.feed != Feed::Upstreams {
            return;
        }
        let now = self.dispatcher.now();
        let mut router = self.dispatcher.router.borrow_mut();
        let (instance_list, fleet) = router.instance_list();
        let gone = instance_list.apply_full_read(now, keys, end, fleet);
        let listed = fleet.len();
        spdlog::info!("list-read", kv: { upstreams = listed, gone = gone, offset = end });
    }
}
