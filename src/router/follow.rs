//! How the records of the platform's store are followed.
//!
//! A feed is read whole once, then from the offset that the reading began at.
//! When the history up to that offset is gone, it is read whole again.

use std::time::Duration;

use compact_str::CompactString;

/// What an entry follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Feed {
    /// The configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

/// How a feed is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTiming {
    /// How long the store may hold a read back until there is a record.
    pub long_poll: Duration,
    /// Pause between two reads.
    pub interval: Duration,
    /// Pause after a read that failed.
    pub retry_delay: Duration,
    /// How long the answer may take beyond `wait`.
    pub response_timeout: Duration,
}

/// Bounds that the reading of the feeds keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowBounds {
    /// A new configuration is in force within this time.
    pub apply: Duration,
    /// An upstream that leaves gets no new work after this time.
    pub drain: Duration,
}

impl Default for FollowBounds {
    fn default() -> Self {
        Self { apply: Duration::from_secs(2), drain: Duration::from_secs(2) }
    }
}

/// Share of the drain bound between two reads of the list: one read may be
/// lost, and the next is still in time.
const LIST_INTERVAL_SHARE: f64 = 0.42;
/// Share of the apply bound that a read of the configuration is held back: a
/// connection that fell silent is noticed after it.
const CONFIGURATION_POLL_SHARE: f64 = 0.9;

impl ReadTiming {
    /// The pace of a feed.
    pub fn of(feed: Feed, bounds: &FollowBounds) -> Self {
        match feed {
            Feed::Configuration => Self {
                long_poll: bounds.apply.mul_f64(CONFIGURATION_POLL_SHARE),
                ..Self::default()
            },
            Feed::Upstreams => {
                Self { interval: bounds.drain.mul_f64(LIST_INTERVAL_SHARE), ..Self::default() }
            }
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

/// What to read next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// A page of the newest record of each key, after a key.
    Newest {
        /// The last key of the page before.
        after: Option<CompactString>,
    },
    /// The records from an offset on.
    Changes {
        /// The offset.
        from: u64,
    },
}

/// Where the reading of one feed stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cursor {
    next: Read,
    /// Keys of the pages read so far, and the end when the first was read.
    keys: Vec<CompactString>,
    end: u64,
}

impl Default for Cursor {
    fn default() -> Self {
        Self { next: Read::Newest { after: None }, keys: Vec::new(), end: 0 }
    }
}

impl Cursor {
    /// What to read next.
    pub fn next(&self) -> &Read {
        &self.next
    }

    /// A page of the newest records came. Once all pages are there, returns
    /// their keys and the offset up to which they are complete.
    pub fn record_page(
        &mut self,
        keys: Vec<CompactString>,
        more: bool,
        end: u64,
    ) -> Option<(Vec<CompactString>, u64)> {
        if self.keys.is_empty() {
            self.end = end;
        }
        self.keys.extend(keys);
        match self.keys.last().filter(|_| more) {
            Some(last) => {
                self.next = Read::Newest { after: Some(last.clone()) };
                None
            }
            None => {
                self.next = Read::Changes { from: self.end };
                Some((std::mem::take(&mut self.keys), self.end))
            }
        }
    }

    /// Records up to `end` came.
    pub fn record_changes(&mut self, end: u64) {
        self.next = Read::Changes { from: end };
    }

    /// The records to read are gone: the feed is read whole again.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}
