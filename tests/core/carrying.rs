//! The manifest in force is written to the log again before it is forgotten.

use std::time::Duration;

use bamboodoor::entry::EntryAction;
use bamboodoor::entry::EntryConfig;
use bamboodoor::entry::EntryCore;
use bamboodoor::manifest::fold::publish_record;

const MANIFEST: &str = include_str!("../processes/manifest.jsonc");
const RETENTION: Duration = Duration::from_secs(7_200);
const START: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_secs(1);

struct Log {
    records: Vec<(Duration, String)>,
}

impl Log {
    fn published() -> Self {
        let record = publish_record("first", "test", 0, MANIFEST);
        let text = serde_json::to_string(&record).expect("is plain data");
        Self { records: vec![(START, text)] }
    }

    fn read_by(&self, entry: &mut EntryCore, now: Duration) {
        let from = entry.next_manifest_offset();
        for (offset, (at, record)) in self.records.iter().enumerate().skip(from as usize) {
            entry.on_manifest_start(offset as u64);
            let age = now.saturating_sub(*at);
            entry.on_manifest_record(now, offset as u64, age, record, &mut Vec::new());
        }
    }
}

fn entries(count: u64) -> Vec<EntryCore> {
    let entry = |incarnation| EntryCore::new(EntryConfig { incarnation, ..EntryConfig::default() });
    (1..=count).map(entry).collect()
}

/// Lets time pass; what the entries append is read by all of them a step later.
fn pass(entries: &mut [EntryCore], log: &mut Log, until: Duration) {
    let mut now = START;
    while now < until {
        now += STEP;
        for entry in entries.iter_mut() {
            log.read_by(entry, now);
        }
        for entry in entries.iter_mut() {
            let mut out = Vec::new();
            entry.tick(now, &mut out);
            for action in out {
                if let EntryAction::AppendManifest(record) = action {
                    log.records.push((now, record));
                }
            }
        }
    }
}

#[test]
fn a_copy_is_written_between_half_and_the_whole_of_the_retention() {
    let (mut entries, mut log) = (entries(1), Log::published());
    pass(&mut entries, &mut log, START + RETENTION);
    assert_eq!(log.records.len(), 2, "one copy in one retention");
    let age = log.records[1].0 - START;
    assert!(age >= RETENTION / 2 && age < RETENTION, "{age:?}");
}

#[test]
fn a_copy_of_one_entry_ends_the_wait_of_the_others() {
    let (mut entries, mut log) = (entries(20), Log::published());
    pass(&mut entries, &mut log, START + RETENTION);
    assert!(log.records.len() <= 3, "{} records by 20 entries", log.records.len());
    assert!(entries.iter().all(|entry| entry.generation() == 1), "a copy is no new acceptance");
}

#[test]
fn after_trimming_a_new_entry_learns_the_manifest_from_the_copy() {
    let (mut entries, mut log) = (entries(1), Log::published());
    pass(&mut entries, &mut log, START + RETENTION);
    let mut late = EntryCore::new(EntryConfig::default());
    let (at, copy) = &log.records[1];
    late.on_manifest_start(1);
    let now = START + RETENTION;
    late.on_manifest_record(now, 1, now - *at, copy, &mut Vec::new());
    assert_eq!(late.generation(), 1);
}
