//! Entries append a carry-forward record, which repeats the manifest in force, before
//! the log drops the record that published it.

use std::time::Duration;

use bamboodoor::entry::EntryAction;
use bamboodoor::entry::EntryConfig;
use bamboodoor::entry::EntryCore;
use bamboodoor::manifest::fold::publish_record;

const MANIFEST: &str = include_str!("../processes/manifest.jsonc");
/// Retention of the log, the `log_retention_ms` of the manifest.
const RETENTION: Duration = Duration::from_secs(7_200);
const START: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_secs(1);

/// Log without sockets: the time at which each record was appended, and its JSON.
struct Log {
    records: Vec<(Duration, String)>,
}

impl Log {
    fn with_published_manifest() -> Self {
        let record = publish_record("first", "test", 0, MANIFEST);
        let text =
            serde_json::to_string(&record).expect("a manifest record can be serialized as JSON");
        Self { records: vec![(START, text)] }
    }

    /// Passes an entry the records that it has not read yet.
    fn read_by(&self, entry: &mut EntryCore, now: Duration) {
        let from = entry.next_manifest_offset();
        for (offset, (appended_at, record)) in self.records.iter().enumerate().skip(from as usize) {
            entry.on_manifest_start(offset as u64);
            let age = now.saturating_sub(*appended_at);
            entry.on_manifest_record(now, offset as u64, age, record, &mut Vec::new());
        }
    }
}

fn entries(count: u64) -> Vec<EntryCore> {
    let entry = |incarnation| EntryCore::new(EntryConfig { incarnation, ..EntryConfig::default() });
    (1..=count).map(entry).collect()
}

/// Advances the time from `START` to `until`, step by step. A record that an entry appends
/// in one step is read by all of them in the next.
fn advance(entries: &mut [EntryCore], log: &mut Log, until: Duration) {
    let mut now = START;
    while now < until {
        now += STEP;
        for entry in entries.iter_mut() {
            log.read_by(entry, now);
        }
        for entry in entries.iter_mut() {
            let mut actions = Vec::new();
            entry.tick(now, &mut actions);
            for action in actions {
                if let EntryAction::AppendManifest(record) = action {
                    log.records.push((now, record));
                }
            }
        }
    }
}

#[test]
fn a_carry_forward_record_is_appended_between_half_and_all_of_the_retention() {
    let (mut entries, mut log) = (entries(1), Log::with_published_manifest());
    advance(&mut entries, &mut log, START + RETENTION);
    assert_eq!(log.records.len(), 2, "expected the publication and one carry-forward record");
    let age = log.records[1].0 - START;
    assert!(age >= RETENTION / 2 && age < RETENTION, "{age:?}");
}

/// An entry that reads the carry-forward record of another appends none itself. Two may
/// append in the same step, before either reads the record of the other.
#[test]
fn twenty_entries_append_at_most_two_carry_forward_records() {
    let (mut entries, mut log) = (entries(20), Log::with_published_manifest());
    advance(&mut entries, &mut log, START + RETENTION);
    assert!(log.records.len() <= 3, "{} records by 20 entries", log.records.len());
    assert!(
        entries.iter().all(|entry| entry.generation() == 1),
        "a carry-forward record starts no new generation"
    );
}

#[test]
fn after_trimming_a_new_entry_learns_the_manifest_from_the_carry_forward_record() {
    let (mut entries, mut log) = (entries(1), Log::with_published_manifest());
    advance(&mut entries, &mut log, START + RETENTION);
    let mut late_entry = EntryCore::new(EntryConfig::default());
    let (appended_at, carry) = &log.records[1];
    late_entry.on_manifest_start(1);
    let now = START + RETENTION;
    late_entry.on_manifest_record(now, 1, now - *appended_at, carry, &mut Vec::new());
    assert_eq!(late_entry.generation(), 1);
}
