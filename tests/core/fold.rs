//! Acceptance of manifests: a pure fold, equal wherever it starts.

use bamboodoor::manifest::Snapshot;
use bamboodoor::manifest::fold::IgnoreReason;
use bamboodoor::manifest::fold::ManifestFold;
use bamboodoor::manifest::fold::Verdict;
use bamboodoor::manifest::fold::carry_record;
use bamboodoor::manifest::fold::publish_record;
use proptest::prelude::*;

const MAX_BYTES: usize = 1 << 16;

fn body(number: usize) -> String {
    format!(
        r#"{{ "name": "m{number}", "pools": [{{ "name": "desk", "role": "SERVICE", "replicas": 1, "max_calls": 1 }}],
             "idempotency_window_ms": 1000, "drain_bound_ms": 1000, "log_retention_ms": 2000 }}"#
    )
}

fn publish(number: usize, based_on: u64) -> String {
    let record = publish_record(&number.to_string(), "test", based_on, &body(number));
    serde_json::to_string(&record).expect("is plain data")
}

fn folded(first_offset: u64, records: &[String]) -> ManifestFold {
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(first_offset);
    for (position, record) in records.iter().enumerate() {
        fold.apply(first_offset + position as u64, record);
    }
    fold
}

#[test]
fn the_first_of_two_that_race_wins() {
    let fold = folded(0, &[publish(0, 0), publish(1, 1), publish(2, 1)]);
    assert_eq!(fold.generation(), 2);
}

#[test]
fn a_record_that_landed_twice_is_accepted_once() {
    let mut fold = folded(0, &[publish(0, 0), publish(1, 1)]);
    assert_eq!(fold.apply(2, &publish(1, 1)), Verdict::Ignored(IgnoreReason::Superseded));
    assert_eq!(fold.generation(), 2);
}

#[test]
fn a_corrupted_body_is_refused_with_the_reason() {
    let mut fold = folded(0, &[publish(0, 0)]);
    let corrupted = publish(1, 1).replace("m1", "mX");
    assert_eq!(fold.apply(1, &corrupted), Verdict::Ignored(IgnoreReason::DigestMismatch));
}

#[test]
fn a_body_that_is_too_large_is_refused_with_the_reason() {
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
fn a_carried_manifest_anchors_only_if_its_writer_had_read_everything() {
    let held = Snapshot::parse(2, &body(1)).expect("is valid");
    let carried = |read_up_to| {
        serde_json::to_string(&carry_record(&held, read_up_to)).expect("is plain data")
    };
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(5);
    assert_eq!(fold.apply(5, &carried(4)), Verdict::Ignored(IgnoreReason::NoAnchor));
    assert_eq!(fold.apply(6, &carried(6)), Verdict::Accepted { generation: 2 });
    assert_eq!(fold.apply(7, &publish(3, 2)), Verdict::Accepted { generation: 8 });
}

#[test]
fn a_copy_of_a_peer_never_moves_back() {
    let mut fold = folded(0, &[publish(0, 0), publish(1, 1)]);
    let old = Snapshot::parse(1, &body(0)).expect("is valid");
    assert!(!fold.adopt(old));
    assert_eq!(fold.generation(), 2);
}

#[test]
fn a_copy_bridges_what_was_read_without_an_anchor() {
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(5);
    fold.apply(5, &publish(3, 4));
    assert!(fold.adopt(Snapshot::parse(4, &body(2)).expect("is valid")));
    assert_eq!(fold.next_offset(), Some(4), "it reads again from the copy on");
    fold.start_at(5);
    // Offset 4 was trimmed: a manifest may have been accepted there.
    assert_eq!(fold.apply(5, &publish(3, 4)), Verdict::Ignored(IgnoreReason::NoAnchor));
}

/// What an operator or a carrier appends, given what is in force.
#[derive(Debug, Clone)]
enum Append {
    OnTop,
    OnOlder(u64),
    Corrupted,
    Carry,
    LateCarry,
}

fn appends() -> impl Strategy<Value = Vec<Append>> {
    let append = prop_oneof![
        4 => Just(Append::OnTop),
        2 => (0_u64..20).prop_map(Append::OnOlder),
        1 => Just(Append::Corrupted),
        2 => Just(Append::Carry),
        1 => Just(Append::LateCarry),
    ];
    prop::collection::vec(append, 1..40)
}

fn written(appends: &[Append]) -> Vec<String> {
    let mut records = Vec::new();
    let mut fold = ManifestFold::new(MAX_BYTES);
    fold.start_at(0);
    let mut before = None;
    for (number, append) in appends.iter().enumerate() {
        let offset = records.len() as u64;
        let in_force = fold.in_force_shared();
        let record = match (append, &in_force, &before) {
            (Append::OnOlder(based_on), _, _) => publish(number, *based_on),
            (Append::Corrupted, _, _) => {
                publish(number, fold.generation()).replace("drain", "drown")
            }
            (Append::Carry, Some(held), _) => {
                serde_json::to_string(&carry_record(held, offset)).expect("is plain data")
            }
            // A carrier that had not read the last record.
            (Append::LateCarry, _, Some(held)) => {
                let held: &std::sync::Arc<Snapshot> = held;
                serde_json::to_string(&carry_record(held, offset - 1)).expect("is plain data")
            }
            _ => publish(number, fold.generation()),
        };
        before = in_force;
        fold.apply(offset, &record);
        records.push(record);
    }
    records
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn the_generation_never_falls(appends in appends()) {
        let mut fold = ManifestFold::new(MAX_BYTES);
        fold.start_at(0);
        let mut last = 0;
        for (offset, record) in written(&appends).iter().enumerate() {
            fold.apply(offset as u64, record);
            prop_assert!(fold.generation() >= last);
            last = fold.generation();
        }
    }

    #[test]
    fn a_reader_that_starts_after_trimming_agrees_or_does_not_know(
        appends in appends(), start in 0_usize..40,
    ) {
        let records = written(&appends);
        let start = start.min(records.len());
        let whole = folded(0, &records);
        let late = folded(start as u64, &records[start..]);
        if late.generation() > 0 {
            prop_assert_eq!(late.generation(), whole.generation());
        }
    }

    #[test]
    fn reading_in_pieces_or_twice_changes_nothing(appends in appends(), cut in 0_usize..40) {
        let records = written(&appends);
        let cut = cut.min(records.len());
        let mut fold = folded(0, &records[..cut]);
        // After a lost answer the same records are read again.
        fold.start_at(0);
        for (offset, record) in records.iter().enumerate() {
            fold.apply(offset as u64, record);
        }
        prop_assert_eq!(fold.generation(), folded(0, &records).generation());
    }
}
