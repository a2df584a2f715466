//! The manifest of an entry: read from the log, exchanged with agents, and
//! appended to the log again before the log drops it.

use std::time::Duration;

use rand::RngExt;

use crate::clock::from_ms;
use crate::entry::Decision;
use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::entry::EntryRecord;
use crate::manifest::Snapshot;
use crate::manifest::fold::Verdict;
use crate::manifest::fold::carry_forward_record;
use crate::policy::agents::AgentKey;
use crate::schema::wire;
use crate::schema::wire::to_agent::Kind as ToAgent;

/// Shortest time between two carry-forward records of this entry.
const MIN_CARRY_INTERVAL: Duration = Duration::from_secs(5);
/// Entries spread their carry-forward records over the log's retention divided
/// by this, so that they do not all append at once.
const CARRY_SPREAD_DIVISOR: u32 = 8;

/// Schedule of the carry-forward records, which repeat the manifest in force.
#[derive(Debug, Default)]
pub(super) struct CarryForward {
    /// When the newest record that carried the manifest then in force was appended; if
    /// none was read, when an agent first sent a manifest.
    manifest_appended_at: Option<Duration>,
    /// Part of the spread by which this entry delays its record: random, from 0 to 1.
    spread: f64,
    /// When this entry last asked to append a carry-forward record.
    last_requested_at: Option<Duration>,
}

impl EntryCore {
    /// Sets the offset of the first record of a read from the manifest stream, to detect
    /// a gap before it. Must be called before [`Self::on_manifest_record`] for each read.
    pub fn on_manifest_start(&mut self, first_offset: u64) {
        self.manifest_fold.start_at(first_offset);
    }

    /// Offset of the manifest record to read next, 0 before the first one.
    pub fn next_manifest_offset(&self) -> u64 {
        self.manifest_fold.next_offset().unwrap_or(0)
    }

    /// Handles a record read from the manifest stream, `age` after it was appended.
    pub fn on_manifest_record(
        &mut self,
        now: Duration,
        offset: u64,
        age: Duration,
        record: &str,
        out: &mut Vec<EntryAction>,
    ) {
        let generation_before = self.generation();
        let verdict = self.manifest_fold.apply(offset, record);
        let is_in_log = match &verdict {
            Verdict::Accepted { .. } => true,
            Verdict::Ignored(reason) => {
                let detail = format!("offset {offset}: {reason}");
                self.record_manifest_decision(Decision::ManifestIgnored, detail, out);
                self.carries_manifest_in_force(record)
            }
        };
        if is_in_log {
            self.carry_forward.manifest_appended_at = Some(now.saturating_sub(age));
            self.carry_forward.spread = self.rng.random_range(0.0..1.0);
        }
        self.announce_if_adopted(now, generation_before, out);
    }

    /// True for a carry-forward record of the manifest in force.
    fn carries_manifest_in_force(&self, record: &str) -> bool {
        use crate::schema::record::manifest_record::Kind;
        let parsed = serde_json::from_str::<crate::schema::record::ManifestRecord>(record);
        matches!(parsed.map(|record| record.kind), Ok(Some(Kind::Carry(carry)))
            if carry.generation == self.generation())
    }

    /// Sends heartbeats to the agents at once if a newer manifest has come into force.
    fn announce_if_adopted(
        &mut self,
        now: Duration,
        generation_before: u64,
        out: &mut Vec<EntryAction>,
    ) {
        if self.generation() <= generation_before {
            return;
        }
        self.record_manifest_decision(
            Decision::ManifestAdopted,
            self.generation().to_string(),
            out,
        );
        // The heartbeat carries the generation; agents that are behind ask for the
        // body.
        self.heartbeat_due = now;
        self.send_heartbeats(now, out);
    }

    pub(super) fn on_manifest_copy(
        &mut self,
        now: Duration,
        copy: &wire::ManifestCopy,
        out: &mut Vec<EntryAction>,
    ) {
        let generation_before = self.generation();
        if copy.generation <= generation_before || copy.body.len() > self.config.max_manifest_bytes
        {
            return;
        }
        match Snapshot::parse(copy.generation, &copy.body) {
            Ok(snapshot) => {
                self.manifest_fold.adopt(snapshot);
                self.carry_forward.manifest_appended_at.get_or_insert(now);
            }
            Err(findings) => {
                let detail = findings.first().map(ToString::to_string).unwrap_or_default();
                self.record_manifest_decision(Decision::ManifestIgnored, detail, out);
            }
        }
        self.announce_if_adopted(now, generation_before, out);
    }

    pub(super) fn on_manifest_pull(
        &self,
        agent: AgentKey,
        pull: &wire::ManifestPull,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(snapshot) = self.manifest_fold.in_force() else { return };
        if snapshot.generation > pull.have_generation {
            let copy = wire::ManifestCopy {
                generation: snapshot.generation,
                body: snapshot.body.to_string(),
            };
            out.push(EntryAction::Send { agent, message: ToAgent::Manifest(copy) });
        }
    }

    /// Asks an agent for its manifest if that is newer than the one in force here.
    pub(super) fn pull_if_behind(
        &self,
        agent: AgentKey,
        agent_generation: u64,
        out: &mut Vec<EntryAction>,
    ) {
        let own_generation = self.generation();
        if agent_generation > own_generation {
            let pull = wire::ManifestPull { have_generation: own_generation };
            out.push(EntryAction::Send { agent, message: ToAgent::ManifestPull(pull) });
        }
    }

    /// Asks to append a carry-forward record once the newest record of the manifest is
    /// older than half the log's retention plus this entry's part of the spread.
    pub(super) fn carry_manifest_forward(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(snapshot) = self.manifest_fold.in_force_shared() else { return };
        let Some(appended_at) = self.carry_forward.manifest_appended_at else { return };
        let retention = from_ms(snapshot.manifest.log_retention_ms);
        let spread = (retention / CARRY_SPREAD_DIVISOR).mul_f64(self.carry_forward.spread);
        let due = appended_at + retention / 2 + spread;
        let requested_lately =
            self.carry_forward.last_requested_at.is_some_and(|at| now < at + MIN_CARRY_INTERVAL);
        if now < due || requested_lately || !self.manifest_fold.is_anchored() {
            return;
        }
        self.carry_forward.last_requested_at = Some(now);
        let record = carry_forward_record(&snapshot, self.next_manifest_offset());
        let text =
            serde_json::to_string(&record).expect("a manifest record can be serialized as JSON");
        out.push(EntryAction::AppendManifest(text));
    }

    fn record_manifest_decision(
        &self,
        decision: Decision,
        detail: String,
        out: &mut Vec<EntryAction>,
    ) {
        out.push(EntryAction::Record(EntryRecord {
            request_id: compact_str::CompactString::default(),
            attempt: 0,
            id: None,
            generation: self.generation(),
            decision,
            agent: compact_str::CompactString::default(),
            detail,
        }));
    }
}
