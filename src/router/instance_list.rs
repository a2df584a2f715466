//! Instance list: its records add, update and remove the upstreams of the
//! router.
//!
//! An upstream whose record vanished is removed, with one exception: records
//! also expire while the list cannot be written. An upstream whose record is
//! found to have vanished within a short grace period after an outage of the
//! list is retained: it stays usable until the grace period ends or it fails to
//! respond. The same holds in a new era of the store, whose copy may be older than
//! the record.
//!
//! A record of an upstream that was removed, or of an earlier incarnation, may be a heartbeat that
//! the store carried out late, or one of a copy of the store that lacks the removal. Such a record
//! is held back until the instance writes another one, or until the store has had the time to let
//! it expire.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::upstreams::ListedUpstream;
use crate::router::upstreams::Upstreams;

/// Time for which a removal is remembered; copies of the store and late records are not as old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a record is held back: one that is not written again expires after three
/// heartbeats, of mostly a second.
const HOLD_BACK_TIME: Duration = Duration::from_secs(6);

/// Record of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Id of the instance that the record is about.
    pub id: CompactString,
    /// Position of the record in the history of the list.
    pub offset: u64,
    /// State of the instance according to the record.
    pub state: InstanceState,
}

/// State of an instance according to its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance runs.
    Present(ListedUpstream),
    /// The record has vanished: it was deleted, or has expired.
    Removed,
    /// The record cannot be parsed and describes no upstream.
    Unreadable,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordEffect {
    /// Nothing.
    Unchanged,
    /// An upstream was added, changed or removed.
    Changed,
    /// Nothing yet; see [`InstanceList::apply_held_back`].
    HeldBack,
    /// Nothing: the record says that the upstream is ready, but a record before it said that
    /// this incarnation is leaving. It is a heartbeat that was written late.
    Outdated,
}

impl RecordEffect {
    fn of_change(changed: bool) -> Self {
        if changed { Self::Changed } else { Self::Unchanged }
    }
}

/// State of the instance list, as far as its records were read.
#[derive(Debug)]
pub struct InstanceList {
    grace: Duration,
    /// Offset of the newest record of each instance that was applied.
    offsets: HashMap<CompactString, u64>,
    /// Ids of the retained upstreams, with the time until which each stays
    /// usable.
    retained_until: HashMap<CompactString, Duration>,
    /// End of the grace period after the last outage of the list; `None` before
    /// the first outage.
    grace_until: Option<Duration>,
    unavailable: bool,
    /// Upstreams that were removed, by id.
    removals: HashMap<CompactString, Removal>,
    /// End of the time in which records of upstreams that lapsed are held back as well; `None`
    /// before the first new era.
    new_era_until: Option<Duration>,
    /// Records that are held back, by id.
    held_back: HashMap<CompactString, HeldBackRecord>,
}

/// Record that is not applied yet.
#[derive(Debug)]
struct HeldBackRecord {
    listed: ListedUpstream,
    /// When it is applied if it still stands.
    until: Duration,
}

/// Removal of one incarnation of an upstream.
#[derive(Debug, Clone, Copy)]
struct Removal {
    started_ms: u64,
    at: Duration,
    /// True if the upstream was retained before: its record had expired in an outage, and is
    /// written again if it lives.
    has_lapsed: bool,
}

impl InstanceList {
    /// Creates a list without records. `grace` is the length of the grace
    /// period, which starts when the list is available again after an outage.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            offsets: HashMap::new(),
            retained_until: HashMap::new(),
            grace_until: None,
            unavailable: false,
            removals: HashMap::new(),
            new_era_until: None,
            held_back: HashMap::new(),
        }
    }

    /// Records that a read failed. Returns true if the list was available
    /// before.
    pub fn mark_unavailable(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }

    /// Records that a read succeeded. Returns true if the list was unavailable
    /// before, which starts the grace period.
    pub fn mark_available(&mut self, now: Duration) -> bool {
        let was_unavailable = std::mem::replace(&mut self.unavailable, false);
        if was_unavailable {
            self.grace_until = Some(now + self.grace);
        }
        was_unavailable
    }

    /// Starts over with the offsets, since the store came back from an older copy. Starts
    /// the grace period, in which instances write their records again.
    pub fn start_over(&mut self, now: Duration) {
        self.offsets.clear();
        self.grace_until = Some(now + self.grace);
        self.new_era_until = Some(now + HOLD_BACK_TIME);
        self.held_back.clear();
        self.removals.retain(|_, removal| now < removal.at + REMOVAL_RETENTION);
    }

    /// Applies a record, unless it or a newer one of the same instance was
    /// applied before.
    pub fn apply(
        &mut self,
        now: Duration,
        record: InstanceRecord,
        upstreams: &mut Upstreams,
    ) -> RecordEffect {
        let applied_offset = self.offsets.get(&record.id).copied();
        if applied_offset.is_some_and(|offset| record.offset <= offset) {
            return RecordEffect::Unchanged;
        }
        self.offsets.insert(record.id.clone(), record.offset);
        let held_back = self.held_back.remove(&record.id);
        match record.state {
            InstanceState::Present(listed)
                if held_back.is_none() && self.may_be_late(now, &listed, upstreams) =>
            {
                let until = now + HOLD_BACK_TIME;
                self.held_back.insert(record.id, HeldBackRecord { listed, until });
                RecordEffect::HeldBack
            }
            InstanceState::Present(listed) => {
                self.retained_until.remove(&record.id);
                self.removals.remove(&record.id);
                upsert(upstreams, now, listed)
            }
            InstanceState::Removed => {
                RecordEffect::of_change(self.remove_or_retain(now, &record.id, upstreams))
            }
            InstanceState::Unreadable => {
                let was_listed = upstreams.get_by_id(&record.id).is_some();
                upstreams.remove(&record.id);
                RecordEffect::of_change(was_listed)
            }
        }
    }

    /// Applies a complete read of the list, whose end offset was `end_offset`
    /// when the read began. Records before it whose instances are not in
    /// `present` have vanished. Returns the number of upstreams removed.
    pub fn apply_full_read(
        &mut self,
        now: Duration,
        present: &[CompactString],
        end_offset: u64,
        upstreams: &mut Upstreams,
    ) -> usize {
        let present: HashSet<&CompactString> = present.iter().collect();
        self.held_back.retain(|id, _| present.contains(id));
        let is_older =
            |id: &CompactString| self.offsets.get(id).is_none_or(|offset| *offset < end_offset);
        let missing: Vec<CompactString> =
            upstreams.ids().filter(|id| !present.contains(id) && is_older(id)).cloned().collect();
        missing.iter().filter(|id| self.remove_or_retain(now, id, upstreams)).count()
    }

    /// Records that an upstream failed to respond. If it was only retained, it
    /// is removed. Returns true if so.
    pub fn record_failure(&mut self, id: &str, upstreams: &mut Upstreams) -> bool {
        let was_retained = self.retained_until.remove(id).is_some();
        if was_retained {
            upstreams.remove(id);
        }
        was_retained
    }

    /// Applies the records that were held back, once the store has had the time to let them
    /// expire. Returns the ids of their upstreams.
    pub fn apply_held_back(
        &mut self,
        now: Duration,
        upstreams: &mut Upstreams,
    ) -> Vec<CompactString> {
        if self.unavailable {
            return Vec::new();
        }
        let standing = self.held_back.extract_if(|_, record| record.until <= now);
        let standing: Vec<(CompactString, HeldBackRecord)> = standing.collect();
        for (_, record) in &standing {
            upstreams.upsert(now, record.listed.clone());
        }
        standing.into_iter().map(|(id, _)| id).collect()
    }

    /// True if the record of an instance has vanished while the list could be written, and it has
    /// written no other one since.
    pub fn has_vanished(&self, id: &str) -> bool {
        self.removals.get(id).is_some_and(|removal| !removal.has_lapsed)
    }

    /// True if a record may be older than what is known: the upstream is listed in a later
    /// incarnation, or this or a later one was removed.
    fn may_be_late(&self, now: Duration, listed: &ListedUpstream, upstreams: &Upstreams) -> bool {
        let current = upstreams.get_by_id(&listed.id);
        if current.is_some_and(|current| listed.started_ms < current.listed.started_ms) {
            return true;
        }
        let is_new_era = self.new_era_until.is_some_and(|until| now < until);
        let removal = self.removals.get(&listed.id);
        removal.is_some_and(|removal| {
            listed.started_ms <= removal.started_ms
                && now < removal.at + REMOVAL_RETENTION
                && (is_new_era || !removal.has_lapsed)
        })
    }

    /// Removes the retained upstreams whose records were not written again by
    /// the end of the grace period. Removes none while the list is unavailable.
    /// Returns the ids of the removed upstreams.
    pub fn remove_retained(
        &mut self,
        now: Duration,
        upstreams: &mut Upstreams,
    ) -> Vec<CompactString> {
        if self.unavailable || self.retained_until.is_empty() {
            return Vec::new();
        }
        let due = self.retained_until.iter().filter(|(_, until)| **until <= now);
        let due: Vec<CompactString> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.retained_until.remove(id);
            self.remove(now, id, true, upstreams);
        }
        due
    }

    /// Handles a vanished record: its upstream is retained during a grace
    /// period, otherwise removed. Returns true if it was removed.
    fn remove_or_retain(
        &mut self,
        now: Duration,
        id: &CompactString,
        upstreams: &mut Upstreams,
    ) -> bool {
        if upstreams.get_by_id(id).is_none() || self.retained_until.contains_key(id) {
            return false;
        }
        if let Some(until) = self.grace_until.filter(|until| now < *until) {
            self.retained_until.insert(id.clone(), until);
            return false;
        }
        self.remove(now, id, false, upstreams);
        true
    }

    /// Removes an upstream and remembers which incarnation it was.
    fn remove(
        &mut self,
        now: Duration,
        id: &CompactString,
        has_lapsed: bool,
        upstreams: &mut Upstreams,
    ) {
        if let Some(upstream) = upstreams.get_by_id(id) {
            let started_ms = upstream.listed.started_ms;
            self.removals.insert(id.clone(), Removal { started_ms, at: now, has_lapsed });
        }
        upstreams.remove(id);
    }
}

/// Adds or updates an upstream. Returns what that changed.
fn upsert(upstreams: &mut Upstreams, now: Duration, listed: ListedUpstream) -> RecordEffect {
    let before = upstreams.get_by_id(&listed.id).map(|upstream| upstream.listed.clone());
    let says_ready = !listed.leaving;
    let key = upstreams.upsert(now, listed);
    let after = upstreams.get(key).map(|upstream| &upstream.listed);
    if says_ready && after.is_some_and(|listed| listed.leaving) {
        return RecordEffect::Outdated;
    }
    RecordEffect::of_change(before.as_ref() != after)
}
