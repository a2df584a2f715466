//! Reservations of the decode slots and KV cache blocks of one engine.

use std::time::Duration;

use bamboodoor::agent::reservations::ReservationTable;
use bamboodoor::agent::reservations::ReserveOutcome;
use bamboodoor::schema::manifest::Pool;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::Load;
use bamboodoor::schema::wire::Reserve;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn pool() -> Pool {
    Pool {
        blocks: 100,
        block_tokens: 16,
        max_streams: 4,
        step_base_us: 20_000,
        step_per_stream_us: 1_000,
        ..Pool::default()
    }
}

fn reservations() -> ReservationTable {
    let mut reservations = ReservationTable::default();
    reservations.configure(&pool(), 52);
    reservations
}

fn reserve(request: u64, blocks: u32, rank: u32) -> Reserve {
    Reserve {
        id: Some(AttemptId { entry: 1, request, attempt: 1 }),
        blocks,
        expected_tokens: 100,
        max_wait_ms: 10_000,
        rank,
    }
}

fn id(request: u64) -> AttemptId {
    AttemptId { entry: 1, request, attempt: 1 }
}

#[test]
fn a_free_slot_is_granted_at_once() {
    assert_eq!(
        reservations().reserve(NOW, 1, &reserve(1, 10, 0)),
        ReserveOutcome::Accepted(Duration::ZERO)
    );
}

#[test]
fn a_duplicate_reserve_request_reserves_nothing_more() {
    let mut reservations = reservations();
    reservations.reserve(NOW, 1, &reserve(1, 10, 0));
    reservations.reserve(NOW, 1, &reserve(1, 10, 0));
    assert_eq!((reservations.len(), reservations.held_blocks()), (1, 10));
}

#[test]
fn a_reservation_above_its_maximum_wait_is_rejected_and_holds_nothing() {
    let mut reservations = reservations();
    reservations.reserve(NOW, 1, &reserve(1, 100, 0));
    let short_wait = Reserve { max_wait_ms: 1, ..reserve(2, 10, 0) };
    assert!(
        matches!(reservations.reserve(NOW, 1, &short_wait), ReserveOutcome::Rejected(wait) if !wait.is_zero())
    );
    assert_eq!(reservations.len(), 1);
}

#[test]
fn a_lower_rank_is_granted_before_an_earlier_reservation() {
    let mut reservations = reservations();
    reservations.reserve(NOW, 1, &reserve(1, 100, 0));
    reservations.reserve(NOW, 1, &reserve(2, 60, 10));
    reservations.reserve(NOW, 1, &reserve(3, 60, 0));
    reservations.release(id(1));
    assert_eq!(reservations.grant_waiting(NOW), vec![id(3)]);
}

#[test]
fn the_stream_limit_of_a_slow_engine_falls_but_not_to_zero() {
    let mut reservations = reservations();
    let before = reservations.stream_limit();
    for _ in 0..200 {
        reservations.observe_step(Duration::from_millis(46));
    }
    assert!(reservations.stream_limit() < before, "{} < {before}", reservations.stream_limit());
    assert!(reservations.stream_limit() >= 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn blocks_and_streams_never_exceed_the_engine_capacity(
        operations in prop::collection::vec((0_u64..30, 1_u32..80, any::<bool>()), 1..200),
    ) {
        let mut reservations = reservations();
        for (request, blocks, is_release) in operations {
            if is_release {
                reservations.release(id(request));
            } else {
                reservations.reserve(NOW, 1, &reserve(request, blocks, 0));
            }
            reservations.grant_waiting(NOW);
            let mut load = Load::default();
            reservations.fill_load_report(NOW, &mut load);
            prop_assert!(reservations.held_blocks() <= pool().blocks);
            prop_assert!(load.streams <= pool().max_streams);
        }
    }
}
