//! Instance list: applies its records to the fleet.
//!
//! A record that vanished means that its upstream is gone, with one exception:
//! records also lapse while the list cannot be written. Upstreams whose records
//! vanished while the list was unavailable stay usable for a short grace period
//! after it is available again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::fleet::Fleet;
use crate::router::fleet::ListedUpstream;

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
    /// The record was removed, or has lapsed.
    Removed,
    /// The record cannot be parsed and describes no upstream.
    Unreadable,
}

/// State of the instance list, as far as its records were read.
#[derive(Debug)]
pub struct InstanceList {
    grace: Duration,
    /// Newest offset seen of each instance's record.
    offsets: HashMap<CompactString, u64>,
    /// Instances whose records lapsed, with the time until which they stay
    /// usable.
    lapsed_until: HashMap<CompactString, Duration>,
    /// End of the grace period, during which vanished records only lapse.
    grace_until: Option<Duration>,
    unavailable: bool,
}

impl InstanceList {
    /// Creates a list without records. `grace` counts from the time that the
    /// list is available again after an outage.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            offsets: HashMap::new(),
            lapsed_until: HashMap::new(),
            grace_until: None,
            unavailable: false,
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
        let returned = std::mem::replace(&mut self.unavailable, false);
        if returned {
            self.grace_until = Some(now + self.grace);
        }
        returned
    }

    /// Applies a record, unless a newer one of the same instance was applied.
    /// Returns true if the fleet changed.
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

    /// Applies a complete read of the list, whose end was at offset `end` when
    /// the read began. Instances with an older record that are not in `present`
    /// have vanished. Returns the number of upstreams removed.
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

    /// Records that an upstream failed to respond. If its record has lapsed,
    /// the upstream is removed. Returns true if so.
    pub fn record_failure(&mut self, id: &str, fleet: &mut Fleet) -> bool {
        let was_lapsed = self.lapsed_until.remove(id).is_some();
        if was_lapsed {
            fleet.remove(id);
        }
        was_lapsed
    }

    /// Removes the upstreams whose records lapsed and did not come back by the
    /// end of the grace period. Returns their ids.
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

    /// Handles a vanished record: it lapses during a grace period, otherwise
    /// the upstream is removed. Returns true if the fleet changed.
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
