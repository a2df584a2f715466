//! How an entry follows the feeds of the platform's store.
//!
//! A feed is a sequence of records, each with a key and an offset. It is first
//! read in full, as pages of the newest record of each key, and then from the
//! offset at which that read began. If the history from that offset is gone, or the
//! store is in a new era, the feed is read in full again.

use std::time::Duration;

use compact_str::CompactString;

use crate::router::store_era::StoreEra;
use crate::router::store_era::is_other_era;

/// Feed of the store that an entry follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Feed {
    /// Configuration: routes, services and limits.
    Configuration,
    /// Instance list of the upstreams.
    Upstreams,
    /// What crashed more than one upstream; the entries write it themselves.
    Suspects,
}

/// Timing of the reads of one feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTiming {
    /// How long the store may delay the response to a read until there is a
    /// record (long poll).
    pub long_poll: Duration,
    /// Pause between two reads.
    pub interval: Duration,
    /// Pause after a failed read.
    pub retry_delay: Duration,
    /// Longest wait for a response, beyond `long_poll`.
    pub response_timeout: Duration,
}

/// Time limits that the reads of the feeds must keep to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowBounds {
    /// Time within which a new configuration must be in force.
    pub apply: Duration,
    /// Time after which a leaving upstream must get no new work.
    pub drain: Duration,
}

impl Default for FollowBounds {
    fn default() -> Self {
        Self { apply: Duration::from_secs(2), drain: Duration::from_secs(2) }
    }
}

/// Pause between two reads of the instance list, as a share of the drain bound:
/// if one read is lost, the next one is still in time.
const LIST_INTERVAL_SHARE: f64 = 0.42;
/// Long poll of the configuration, as a share of the apply bound. A connection
/// that became unresponsive is only noticed after the long poll, so a longer one
/// would notice it too late.
const CONFIGURATION_POLL_SHARE: f64 = 0.9;

/// Long poll of the suspects. Keep-alive probes close a connection that became unresponsive.
const SUSPECTS_POLL: Duration = Duration::from_secs(28);
/// Pause between two reads of the suspects, so that many records take few reads.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed read of the suspects. The other feeds already find out when the store
/// is back.
const SUSPECTS_RETRY_DELAY: Duration = Duration::from_secs(2);

impl ReadTiming {
    /// Returns the timing for the reads of a feed, derived from the bounds.
    pub fn of(feed: Feed, bounds: &FollowBounds) -> Self {
        match feed {
            Feed::Configuration => Self {
                long_poll: bounds.apply.mul_f64(CONFIGURATION_POLL_SHARE),
                ..Self::default()
            },
            Feed::Upstreams => {
                Self { interval: bounds.drain.mul_f64(LIST_INTERVAL_SHARE), ..Self::default() }
            }
            Feed::Suspects => Self {
                long_poll: SUSPECTS_POLL,
                interval: SUSPECTS_INTERVAL,
                retry_delay: SUSPECTS_RETRY_DELAY,
                ..Self::default()
            },
        }
    }
}

impl Default for ReadTiming {
    fn default() -> Self {
        Self {
            long_poll: Duration::ZERO,
            interval: Duration::ZERO,
            retry_delay: Duration::from_millis(300),
            response_timeout: Duration::from_millis(700),
        }
    }
}

/// Read to send to the store next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// Reads a page of records: the newest one of each key.
    Newest {
        /// Last key of the previous page; `None` for the first page.
        after: Option<CompactString>,
    },
    /// Reads the records from an offset on.
    Changes {
        /// Offset of the first record to read.
        from: u64,
    },
}

/// What a page has brought a full read to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FullRead {
    /// More pages follow.
    Unfinished,
    /// All pages were read.
    Complete {
        /// Keys of all pages.
        keys: Vec<CompactString>,
        /// Offset up to which the keys are complete.
        end_offset: u64,
    },
    /// More pages should follow, but the store returned no key behind the last one again. What
    /// they hold is learned from later records only.
    Stuck,
}

/// Position up to which a feed was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cursor {
    /// Read to send next.
    next: Read,
    /// Keys of the pages that the current full read has returned so far.
    keys: Vec<CompactString>,
    /// End offset of the feed when the first page was read. Pages are no
    /// snapshot, so changes are read from here on.
    first_page_end: u64,
    /// Era of the store in which the position was read; `None` if not known.
    era: Option<StoreEra>,
}

impl Default for Cursor {
    fn default() -> Self {
        Self { next: Read::Newest { after: None }, keys: Vec::new(), first_page_end: 0, era: None }
    }
}

impl Cursor {
    /// Returns the read to send next.
    pub fn next(&self) -> &Read {
        &self.next
    }

    /// Records a page of the newest records; `more` says that another page
    /// follows, and `end_offset` is that of the next record written to the
    /// feed.
    ///
    /// A page that ends with the key that it should come after brings no progress: the key is
    /// another in the store, since it is no valid text, or the page is empty.
    pub fn record_page(
        &mut self,
        keys: Vec<CompactString>,
        more: bool,
        end_offset: u64,
    ) -> FullRead {
        if self.keys.is_empty() {
            self.first_page_end = end_offset;
        }
        let previous = self.keys.last().cloned();
        self.keys.extend(keys);
        let last = self.keys.last().cloned();
        let is_stuck = more && last == previous;
        if more && !is_stuck {
            self.next = Read::Newest { after: last };
            return FullRead::Unfinished;
        }
        self.next = Read::Changes { from: self.first_page_end };
        let keys = std::mem::take(&mut self.keys);
        match is_stuck {
            true => FullRead::Stuck,
            false => FullRead::Complete { keys, end_offset: self.first_page_end },
        }
    }

    /// Records that all changes before the offset `next_offset` were read.
    pub fn record_changes(&mut self, next_offset: u64) {
        self.next = Read::Changes { from: next_offset };
    }

    /// Starts over with a full read, because the history to read is gone.
    pub fn restart(&mut self) {
        *self = Self { era: self.era, ..Self::default() };
    }

    /// Starts over with a full read if the store is in another era than the position was
    /// read in. Returns true if so: a response to the last read does not count.
    pub fn enter_era(&mut self, era: Option<StoreEra>) -> bool {
        let changed = is_other_era(&mut self.era, era);
        if changed {
            self.restart();
        }
        changed
    }
}

/// Position up to which a log without keys was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// Offset of the next record to read.
    pub next_offset: u64,
    /// Era of the store in which the position was read; `None` if not known.
    era: Option<StoreEra>,
}

impl LogPosition {
    /// Starts over at the beginning of the log if the store is in another era than the
    /// position was read in. Returns true if so: a response to the last read does not
    /// count.
    pub fn enter_era(&mut self, era: Option<StoreEra>) -> bool {
        let changed = is_other_era(&mut self.era, era);
        if changed {
            self.next_offset = 0;
        }
        changed
    }
}
