//! Acceptance of published manifests, a pure fold over the records of the log. A reader
//! that starts after a trimmed part agrees with the others, or knows no manifest.

use bamboodoor::manifest::Snapshot;
use bamboodoor::manifest::fold::IgnoreReason;
use bamboodoor::manifest::fold::ManifestFold;
use bamboodoor::manifest::fold::Verdict;
use bamboodoor::manifest::fold::carry_forward_record;
use bamboodoor::manifest::fold::publish_record;
use proptest::prelude::*;

const MAX_BYTES: usize = 1 << 16;

fn body(number: usize) -> String {
    format!(
        r#"{{ "name": "m{number}", "pools": [{{ "name": "desk", "role": "SERVICE", "replicas": 1, "max_calls": 1 }}],
             "idempotency_window_ms": 1000, "drain_bound_ms": 1000, "log_retention_ms": 2000 }}"#
    )
}

/// Record that publishes manifest `number` against generation `based_on`, as JSON.
fn publish(number: usize, based_on: u64) -> String {
    let record = publish_record(&number.to_string(), "test", based_on, &body(number));
    serde_json::to_string(&record).expect("a manifest record can be serialized as JSON")
}

/// Fold of these records, which start at `first_offset` because the log was trimmed there.
fn fold_from(first_offset: u64, records: &[String]) -> ManifestFold {
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(first_offset);
    for (index, record) in records.iter().enumerate() {
        fold.apply(first_offset + index as u64, record);
    }
    fold
}

#[test]
fn only_the_first_of_two_concurrent_publishes_is_accepted() {
    let fold = fold_from(0, &[publish(0, 0), publish(1, 1), publish(2, 1)]);
    assert_eq!(fold.generation(), 2);
}

#[test]
fn a_record_appended_twice_is_accepted_once() {
    let mut fold = fold_from(0, &[publish(0, 0), publish(1, 1)]);
    assert_eq!(fold.apply(2, &publish(1, 1)), Verdict::Ignored(IgnoreReason::Superseded));
    assert_eq!(fold.generation(), 2);
}

#[test]
fn a_corrupted_body_is_ignored_with_the_reason() {
    let mut fold = fold_from(0, &[publish(0, 0)]);
    let corrupted = publish(1, 1).replace("m1", "mX");
    assert_eq!(fold.apply(1, &corrupted), Verdict::Ignored(IgnoreReason::DigestMismatch));
}

#[test]
fn a_body_that_is_too_large_is_ignored_with_the_reason() {
    let mut fold = ManifestFold::new(10);
    fold.start_at(0);
    assert_eq!(fold.apply(0, &publish(0, 0)), Verdict::Ignored(IgnoreReason::TooLarge));
}

#[test]
fn after_trimming_nothing_is_accepted_without_an_anchor() {
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(5);
    assert_eq!(fold.apply(5, &publish(3, 2)), Verdict::Ignored(IgnoreReason::NoAnchor));
    assert_eq!(fold.generation(), 0);
}

#[test]
fn a_carry_forward_record_anchors_only_if_its_writer_had_read_all_earlier_records() {
    let in_force = Snapshot::parse(2, &body(1)).expect("the manifest is valid");
    let carry = |read_up_to| {
        serde_json::to_string(&carry_forward_record(&in_force, read_up_to))
            .expect("a manifest record can be serialized as JSON")
    };
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(5);
    assert_eq!(fold.apply(5, &carry(4)), Verdict::Ignored(IgnoreReason::NoAnchor));
    assert_eq!(fold.apply(6, &carry(6)), Verdict::Accepted { generation: 2 });
    assert_eq!(fold.apply(7, &publish(3, 2)), Verdict::Accepted { generation: 8 });
}

#[test]
fn an_older_copy_from_a_peer_is_not_adopted() {
    let mut fold = fold_from(0, &[publish(0, 0), publish(1, 1)]);
    let older = Snapshot::parse(1, &body(0)).expect("the manifest is valid");
    assert!(!fold.adopt(older));
    assert_eq!(fold.generation(), 2);
}

#[test]
fn after_adopting_a_copy_reading_restarts_and_detects_a_gap() {
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(5);
    fold.apply(5, &publish(3, 4));
    assert!(fold.adopt(Snapshot::parse(4, &body(2)).expect("the manifest is valid")));
    assert_eq!(fold.next_offset(), Some(4), "reading restarts after the record of the copy");
    fold.start_at(5);
    // Offset 4 was trimmed: a manifest may have been accepted there.
    assert_eq!(fold.apply(5, &publish(3, 4)), Verdict::Ignored(IgnoreReason::NoAnchor));
}

/// Kind of the record that an operator, or an entry that carries the manifest forward,
/// appends next.
#[derive(Debug, Clone)]
enum LogAppend {
    /// Publishes against the manifest in force.
    PublishOnCurrent,
    /// Publishes against this generation, whichever is in force.
    PublishOnGeneration(u64),
    /// Publishes a body that does not match its digest.
    PublishCorrupted,
    /// Carries the manifest in force forward.
    Carry,
    /// Carries forward the manifest that was in force before the last record, as an entry
    /// does that has not read that record.
    CarryWithoutLastRecord,
}

fn log_appends() -> impl Strategy<Value = Vec<LogAppend>> {
    let log_append = prop_oneof![
        4 => Just(LogAppend::PublishOnCurrent),
        2 => (0_u64..20).prop_map(LogAppend::PublishOnGeneration),
        1 => Just(LogAppend::PublishCorrupted),
        2 => Just(LogAppend::Carry),
        1 => Just(LogAppend::CarryWithoutLastRecord),
    ];
    prop::collection::vec(log_append, 1..40)
}

/// The log that these appends produce, as JSON records from offset 0. While there is no
/// manifest to carry forward, a manifest is published instead.
fn log_records(log_appends: &[LogAppend]) -> Vec<String> {
    let mut records = Vec::new();
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(0);
    let mut previous = None;
    for (number, log_append) in log_appends.iter().enumerate() {
        let offset = records.len() as u64;
        let in_force = fold.in_force_shared();
        let record = match (log_append, &in_force, &previous) {
            (LogAppend::PublishOnGeneration(based_on), _, _) => publish(number, *based_on),
            (LogAppend::PublishCorrupted, _, _) => {
                publish(number, fold.generation()).replace("drain", "drown")
            }
            (LogAppend::Carry, Some(in_force), _) => {
                serde_json::to_string(&carry_forward_record(in_force, offset))
                    .expect("a manifest record can be serialized as JSON")
            }
            (LogAppend::CarryWithoutLastRecord, _, Some(previous)) => {
                let previous: &std::sync::Arc<Snapshot> = previous;
                serde_json::to_string(&carry_forward_record(previous, offset - 1))
                    .expect("a manifest record can be serialized as JSON")
            }
            _ => publish(number, fold.generation()),
        };
        previous = in_force;
        fold.apply(offset, &record);
        records.push(record);
    }
    records
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn the_generation_never_decreases(log_appends in log_appends()) {
        let mut fold = ManifestFold::new(MAX_BYTES);
        fold.start_at(0);
        let mut last = 0;
        for (offset, record) in log_records(&log_appends).iter().enumerate() {
            fold.apply(offset as u64, record);
            prop_assert!(fold.generation() >= last);
            last = fold.generation();
        }
    }

    #[test]
    fn a_reader_that_starts_after_trimming_agrees_or_knows_no_manifest(
        log_appends in log_appends(), start in 0_usize..40,
    ) {
        let records = log_records(&log_appends);
        let start = start.min(records.len());
        let whole = fold_from(0, &records);
        let late = fold_from(start as u64, &records[start..]);
        if late.generation() > 0 {
            prop_assert_eq!(late.generation(), whole.generation());
        }
    }

    #[test]
    fn reading_records_again_does_not_change_the_generation(
        log_appends in log_appends(), cut in 0_usize..40,
    ) {
        let records = log_records(&log_appends);
        let cut = cut.min(records.len());
        let mut fold = fold_from(0, &records[..cut]);
        // After a lost response of the log, records that were applied are read again.
        fold.start_at(0);
        for (offset, record) in records.iter().enumerate() {
            fold.apply(offset as u64, record);
        }
        prop_assert_eq!(fold.generation(), fold_from(0, &records).generation());
    }
}
