//! Claims of idempotency keys: which claim owns a key after the records of the log.

use std::time::Duration;

use bamboodoor::entry::claims::ClaimIndex;
use bamboodoor::entry::claims::ClaimKey;
use bamboodoor::schema::record::Claim;
use bamboodoor::schema::record::ClaimBatch;
use bamboodoor::schema::record::Completion;

const NOW: Duration = Duration::from_secs(100);

fn key() -> ClaimKey {
    ClaimKey::new("summaries", "archive-desk", "slot-9")
}

/// A batch with one claim of the key by `entry`. `takes_over` is the offset of the claim
/// that this one takes over, plus one, or 0 for none.
fn claim(entry: u64, takes_over: u64) -> ClaimBatch {
    let claim = Claim {
        key_high: key().high,
        key_low: key().low,
        entry,
        request: 1,
        attempt: 1,
        takes_over,
        ..Claim::default()
    };
    ClaimBatch { claims: vec![claim], completions: Vec::new() }
}

/// A batch with one completion of the key by `entry`; `not_run` releases the key.
fn completion(entry: u64, status: u32, not_run: bool) -> ClaimBatch {
    let completion =
        Completion { key_high: key().high, key_low: key().low, entry, request: 1, status, not_run };
    ClaimBatch { claims: Vec::new(), completions: vec![completion] }
}

/// Incarnation of the entry that owns the key after these batches, and the status of its
/// call if that has completed. The batches are at the offsets 0, 1 and so on.
fn owner_after(batches: &[ClaimBatch]) -> Option<(u64, Option<u32>)> {
    let mut index = ClaimIndex::default();
    for (offset, batch) in batches.iter().enumerate() {
        index.apply(offset as u64, NOW, batch);
    }
    index.owner(key()).map(|owner| (owner.id.entry, owner.status))
}

macro_rules! owners {
    ($($name:ident: $batches:expr => $owner:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(owner_after(&$batches), $owner);
            }
        )+
    };
}

owners! {
    the_claim_at_the_lowest_offset_owns_the_key: [claim(1, 0), claim(2, 0)] => Some((1, None));
    a_claim_appended_twice_does_not_change_the_owner: [claim(1, 0), claim(1, 0)] => Some((1, None));
    the_first_of_a_claim_appended_twice_is_the_one_that_owns_the_key:
        [claim(1, 0), claim(1, 0), claim(2, 1)] => Some((2, None));
    the_second_of_a_claim_appended_twice_owns_nothing:
        [claim(1, 0), claim(1, 0), claim(2, 2)] => Some((1, None));
    a_takeover_that_names_the_owning_claim_gets_the_key:
        [claim(1, 0), claim(2, 1)] => Some((2, None));
    a_takeover_that_names_an_older_claim_is_ignored:
        [claim(1, 0), claim(2, 1), claim(3, 1)] => Some((2, None));
    a_completed_claim_cannot_be_taken_over:
        [claim(1, 0), completion(1, 200, false), claim(2, 1)] => Some((1, Some(200)));
    a_completion_as_not_run_releases_the_key:
        [claim(1, 0), completion(1, 0, true), claim(2, 0)] => Some((2, None));
    a_completion_by_a_former_owner_is_ignored:
        [claim(1, 0), claim(2, 1), completion(1, 0, true)] => Some((2, None));
}

#[test]
fn a_key_is_forgotten_after_the_window_and_not_before() {
    let mut index = ClaimIndex::default();
    index.apply(0, NOW, &claim(1, 0));
    index.forget_before(NOW);
    assert!(index.owner(key()).is_some());
    index.forget_before(NOW + Duration::from_millis(1));
    assert!(index.owner(key()).is_none());
}
