//! Injects the faults of a trace into the simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::policy::agents::AgentKey;
use crate::replay::simulation::LEASE_TTL;
use crate::replay::simulation::ROUNDING_OFFSET;
use crate::replay::simulation::ScheduledEvent;
use crate::replay::simulation::Simulation;
use crate::replay::trace::Fault;

impl Simulation<'_> {
    pub(super) fn inject_fault(&mut self, fault: &Fault) {
        self.fault_at = Some(self.now);
        match fault {
            Fault::ZoneLost { zone } => self.lose_zone(zone),
            Fault::SlowEngines { share, factor } => {
                // Spreads the slow engines evenly over each pool.
                let mut due_by_pool: BTreeMap<CompactString, f64> = BTreeMap::new();
                for node in &mut self.agents {
                    let pool = node.upstream.rsplit_once('-').map_or("", |(pool, _)| pool);
                    let slow_engines_due =
                        due_by_pool.entry(pool.into()).or_insert(ROUNDING_OFFSET);
                    *slow_engines_due += share;
                    if *slow_engines_due >= 1.0 {
                        *slow_engines_due -= 1.0;
                        node.engine.slowdown = *factor;
                    }
                }
            }
            Fault::StalledTransfers { share } => self.stalled_share = *share,
            Fault::LateReports { lag_ms } => self.report_lag = Duration::from_millis(*lag_ms),
        }
    }

    fn lose_zone(&mut self, zone: &CompactString) {
        for node in self.agents.iter_mut().filter(|node| node.zone == *zone) {
            node.up = false;
        }
        for entry in &mut self.entries {
            if entry.zone == *zone {
                entry.up = false;
                for &request in entry.requests.values() {
                    self.summary.entry_lost(request);
                }
            }
        }
        // A lost zone closes no connections: entries in other zones notice the loss only
        // when the leases expire.
        let at = self.now + LEASE_TTL;
        self.schedule(at, ScheduledEvent::ZoneTimedOut { zone: zone.clone() });
    }

    /// Closes the connections of all running entries to the agents of a lost zone.
    pub(super) fn disconnect_zone(&mut self, zone: &CompactString) {
        for entry in 0..self.entries.len() {
            if !self.entries[entry].up {
                continue;
            }
            let lost: Vec<AgentKey> = self.entries[entry]
                .agents
                .iter()
                .filter(|(_, agent)| self.agents[**agent].zone == *zone)
                .map(|(key, _)| *key)
                .collect();
            for key in lost {
                let mut out = Vec::new();
                self.entries[entry].core.agent_disconnected(self.now, key, &mut out);
                self.execute_entry_actions(entry, out);
            }
        }
    }
}
