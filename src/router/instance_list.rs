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
//! The copy may also list an upstream whose removal it lacks. Such a record is held back
//! until the store has had the time to let it expire; a record that the instance writes
//! in the new era is applied at once.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::upstreams::ListedUpstream;
use crate::router::upstreams::Upstreams;

/// Time for which a removal is remembered; copies of the store are not as old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a record in a copy of the store is held back whose removal may be lost: a
/// record expires after three heartbeats, of mostly a second.
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
    /// End of the time in which records of removed upstreams are held back; `None` before
    /// the first new era.
    hold_back_until: Option<Duration>,
    /// Records that are held back, by id.
    held_back: HashMap<CompactString, InstanceRecord>,
}

/// Removal of one incarnation of an upstream.
#[derive(Debug, Clone, Copy)]
struct Removal {
    started_ms: u64,
    at: Duration,
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
            hold_back_until: None,
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
        self.hold_back_until = Some(now + HOLD_BACK_TIME);
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
        if self.holds_back(now, &record) {
            self.held_back.insert(record.id.clone(), record);
            return RecordEffect::HeldBack;
        }
        self.held_back.remove(&record.id);
        match record.state {
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
        if self.unavailable || self.hold_back_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        let held_back = std::mem::take(&mut self.held_back);
        for record in held_back.values() {
            if let InstanceState::Present(listed) = &record.state {
                upstreams.upsert(now, listed.clone());
            }
        }
        held_back.into_keys().collect()
    }

    /// True if a record is the first one in a new era of an incarnation that was removed
    /// before: the copy of the store may lack the removal.
    fn holds_back(&self, now: Duration, record: &InstanceRecord) -> bool {
        let InstanceState::Present(listed) = &record.state else { return false };
        let removal = self.removals.get(&record.id);
        self.hold_back_until.is_some_and(|until| now < until)
            && !self.held_back.contains_key(&record.id)
            && removal.is_some_and(|removal| removal.started_ms == listed.started_ms)
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
            self.remove(now, id, upstreams);
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
        self.remove(now, id, upstreams);
        true
    }

    /// Removes an upstream and remembers which incarnation it was.
    fn remove(&mut self, now: Duration, id: &CompactString, upstreams: &mut Upstreams) {
        if let Some(upstream) = upstreams.get_by_id(id) {
            let removal = Removal { started_ms: upstream.listed.started_ms, at: now };
            self.removals.insert(id.clone(), removal);
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
