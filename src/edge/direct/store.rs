//! Calls to the platform's store, which a platform adapter implements, and what they return.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::router::configuration::Configuration;
use crate::router::follow::Feed;
use crate::router::instance_list::InstanceRecord;
use crate::router::lease::RenewalResponse;
use crate::router::store_era::StoreEraNotice;

/// One record of a feed of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRecord {
    /// Key of the record; a later record of the same key replaces it.
    pub key: CompactString,
    /// Offset of the record in the feed.
    pub offset: u64,
    /// Undecoded value; `None` if the record removes the key.
    pub value: Option<Bytes>,
}

/// One page of a read that returns the newest record of each key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records of the page, in the order of their keys.
    pub records: Vec<StoreRecord>,
    /// True if more pages follow.
    pub has_more: bool,
    /// End offset of the feed, which the next record written to it gets.
    pub end_offset: u64,
}

/// Records of a feed from an offset on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Records in the order of their offsets.
    pub records: Vec<StoreRecord>,
    /// Offset from which the next read continues.
    pub next_offset: u64,
    /// End offset of the feed, which the next record written to it gets.
    pub end_offset: u64,
}

/// Records of a log without keys, from an offset on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Records in the order of their offsets.
    pub records: Vec<Bytes>,
    /// Offset from which the next read continues.
    pub next_offset: u64,
    /// End offset of the log, which the next record written to it gets.
    pub end_offset: u64,
}

/// Log of the store that the entries themselves write, for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryLog {
    /// Software versions at which streams began.
    StreamOrigins,
    /// Runs under which upstreams crashed.
    CrashReports,
    /// Claims on the pools of quotas.
    QuotaClaims,
}

/// Topic with keys of the store that the entries themselves write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryTopic {
    /// What crashes upstreams; the topic of [`Feed::Suspects`].
    Suspects,
    /// Software versions that may have begun streams, by service.
    Versions,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store no longer retains records from the requested offset.
    #[error("the store no longer retains records from the requested offset")]
    HistoryLost {
        /// Offset of the first record that the store retains.
        first_offset: u64,
    },
    /// The store rejected the call with this HTTP status.
    #[error("the store responded with HTTP status {0}")]
    Rejected(u16),
    /// The call could not be sent, got no response in time, or the response could not be
    /// decoded; the text says which.
    #[error("the call to the store failed: {0}")]
    Failed(String),
}

/// Calls to the platform's store. An implementation makes each call once and decides
/// nothing: no retry, no fallback. The `timeout` of a call is the longest wait for its
/// response.
#[allow(async_fn_in_trait, reason = "entries run on one thread")]
pub trait Store: 'static {
    /// Reads the newest record of each key, one page at a time. The page starts after the
    /// key `after`, or at the first key.
    async fn newest_records(
        &self,
        feed: Feed,
        after: Option<&str>,
        timeout: Duration,
    ) -> Result<NewestPage, StoreError>;

    /// Reads the records from the offset `from` on. If there are none, the store may
    /// delay its response by up to `wait` until one is written.
    async fn changes_since(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Changes, StoreError>;

    /// Joins the group of entries, or renews the membership for `ttl`. `generation` is the
    /// newest one that the store reported, 0 in the first call. Returns whether this
    /// member holds the group's lease, and its share of the retry budgets.
    async fn renew_lease(
        &self,
        member: &str,
        generation: u64,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<RenewalResponse, StoreError>;

    /// Appends a record to a log that all entries share. The store retains it for some
    /// minutes.
    async fn append_record(
        &self,
        log: EntryLog,
        record: Bytes,
        timeout: Duration,
    ) -> Result<(), StoreError>;

    /// Reads a log that all entries share from the offset `from` on. If there are no records,
    /// the store may delay its response by up to `wait` until one is written.
    async fn read_log(
        &self,
        log: EntryLog,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<LogPage, StoreError>;

    /// Writes a record to a topic with keys that the entries write themselves; without a
    /// value, removes it.
    async fn put_record(
        &self,
        topic: EntryTopic,
        key: &str,
        value: Option<Bytes>,
        timeout: Duration,
    ) -> Result<(), StoreError>;

    /// Reads the newest record of each key of such a topic, the first page of them.
    async fn read_records(
        &self,
        topic: EntryTopic,
        timeout: Duration,
    ) -> Result<NewestPage, StoreError>;

    /// Returns what responses, also those of failed calls, have said about the era of the
    /// store since the last call of this function, in the order of arrival. A response that
    /// says the same as the one before it need not be included.
    fn take_era_notices(&self) -> Vec<StoreEraNotice>;

    /// Decodes a record of the instance list.
    fn decode_list_record(&self, record: StoreRecord) -> InstanceRecord;

    /// Decodes a configuration. Returns `None` if the record holds something else.
    ///
    /// # Errors
    /// The text says why the record cannot be decoded.
    fn decode_configuration(&self, record: &StoreRecord) -> Option<Result<Configuration, String>>;
}
