//! The fold of the instance list's records.
//!
//! A record that remove_or_lapse means that the upstream is gone, with one exception:
//! entries lapse while the list cannot be written, too. What remove_or_lapse while the
//! list was unavailable stays usable for a short grace after its return.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::fleet::Fleet;
use crate::router::fleet::ListedUpstream;

/// One record of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Id of the instance.
    pub id: CompactString,
    /// Place of the record in the list's history.
    pub offset: u64,
    /// What it says.
    pub state: InstanceState,
}

/// What a record says of its instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceState {
    /// It runs.
    Present(ListedUpstream),
    /// It was removed.
    Removed,
    /// The record cannot be read and names no upstream.
    Unreadable,
}

/// What the records said so far.
#[derive(Debug)]
pub struct InstanceList {
    grace: Duration,
    offsets: HashMap<CompactString, u64>,
    lapsed_until: HashMap<CompactString, Duration>,
    /// Until when remove_or_lapse entries are kept: the list was unavailable a moment ago.
    grace_until: Option<Duration>,
    unavailable: bool,
}

impl InstanceList {
    /// No record yet. `grace` counts from the return of the list.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            offsets: HashMap::new(),
            lapsed_until: HashMap::new(),
            grace_until: None,
            unavailable: false,
        }
    }

    /// A read failed: the list is unavailable. True if that is changed.
    pub fn mark_unavailable(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }

    /// A read succeeded. True if the list had been unavailable.
    pub fn mark_available(&mut self, now: Duration) -> bool {
        let returned = std::mem::replace(&mut self.unavailable, false);
        if returned {
            self.grace_until = Some(now + self.grace);
        }
        returned
    }

    /// Takes in one record, unless a newer one of the same instance is known.
    /// True if the fleet changed.
    pub fn apply(&mut self, now: Duration, record: InstanceRecord, fleet: &mut Fleet) -> bool {
        let known = self.offsets.get(&record.id).copied();
        if known.is_some_and(|offset| record.offset <= offset) {
            return false;
        }
        self.offsets.insert(record.id.clone(), record.offset);
        match record.state {
            InstanceState::Present(listed) => {
                self.lapsed_until.remove(&record.id);
                let changed =
                    fleet.get_by_id(&record.id).is_none_or(|known| known.listed != listed);
                fleet.upsert(listed);
                changed
            }
            InstanceState::Removed => self.remove_or_lapse(now, &record.id, fleet),
            InstanceState::Unreadable => {
                let known = fleet.get_by_id(&record.id).is_some();
                fleet.remove(&record.id);
                known
            }
        }
    }

    /// Takes in that the list was read as a whole, up to `end` when it began:
    /// what was known before and is not `present` has remove_or_lapse.
    pub fn apply_full_read(
        &mut self,
        now: Duration,
        present: &[CompactString],
        end: u64,
        fleet: &mut Fleet,
    ) -> usize {
        let present: HashSet<&CompactString> = present.iter().collect();
        let missing: Vec<CompactString> = self
            .offsets
            .iter()
            .filter(|(id, offset)| **offset < end && !present.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        missing.iter().filter(|id| self.remove_or_lapse(now, id, fleet)).count()
    }

    /// An upstream failed to answer. If its entry had lapsed_until, it is gone. True
    /// if so.
    pub fn record_failure(&mut self, id: &str, fleet: &mut Fleet) -> bool {
        let lapsed_until = self.lapsed_until.remove(id).is_some();
        if lapsed_until {
            fleet.remove(id);
        }
        lapsed_until
    }

    /// Removes what lapsed_until and has not come back. Returns the ids.
    pub fn expire(&mut self, now: Duration, fleet: &mut Fleet) -> Vec<CompactString> {
        if self.unavailable || self.lapsed_until.is_empty() {
            return Vec::new();
        }
        let due = self.lapsed_until.iter().filter(|(_, until)| **until <= now);
        let due: Vec<CompactString> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.lapsed_until.remove(id);
            fleet.remove(id);
        }
        due
    }

    /// True if the fleet changed.
    fn remove_or_lapse(&mut self, now: Duration, id: &CompactString, fleet: &mut Fleet) -> bool {
        if fleet.get_by_id(id).is_none() || self.lapsed_until.contains_key(id) {
            return false;
        }
        if let Some(until) = self.grace_until.filter(|until| now < *until) {
            self.lapsed_until.insert(id.clone(), until);
            return false;
        }
        fleet.remove(id);
        true
    }
}
