//! Memory reserved for outputs of unknown length, as it is learned from streams that stall.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::output_margin::OutputMargin;
use bamboodoor::router::request::Prompt;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;

const PROMPT: Prompt =
    Prompt { tokens: 5_200, max_output_tokens: 20_000, output_hint: Some(5_000) };

/// Memory of an engine, in tokens.
const KV_TOKENS: u32 = 64_000;

/// Returns the share of the last half of `streams` streams whose output exceeds its
/// reservation. Outputs are `median` times the caller's estimate at the median and up to
/// three times more or less. With full engines each such stream stalls.
fn stalled_share(median: f64, streams: usize, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut margin = OutputMargin::default();
    let mut stalled_late = 0;
    for number in 0..streams {
        let ratio = median * 3.0_f64.powf(rng.random_range(-1.0..1.0));
        let reserved_output = margin.reserved_tokens(&PROMPT, KV_TOKENS) - PROMPT.tokens;
        if 5_000.0 * ratio > f64::from(reserved_output) {
            margin.record_stalled();
            stalled_late += usize::from(number >= streams / 2);
        } else {
            margin.record_steady();
        }
    }
    stalled_late as f64 / (streams - streams / 2) as f64
}

/// Checks that at most one stream in twenty stalls once an entry has seen 100.
macro_rules! few_streams_stall_after_learning {
    ($($name:ident: $median:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..10 {
                let share = stalled_share($median, 200, seed);
                assert!(share <= 0.05, "seed {seed}: {share}");
            }
        }
    )*};
}

few_streams_stall_after_learning! {
    few_streams_stall_if_estimates_hold_at_the_median: 1.0;
    few_streams_stall_if_estimates_are_too_low: 1.2;
    few_streams_stall_if_estimates_are_too_high: 0.5;
}

#[test]
fn without_stalls_the_reservation_shrinks_below_the_first_one() {
    let mut margin = OutputMargin::default();
    let first = margin.reserved_tokens(&PROMPT, KV_TOKENS);
    for _ in 0..200 {
        margin.record_steady();
    }
    let later = margin.reserved_tokens(&PROMPT, KV_TOKENS);
    assert!(later < first && later > PROMPT.tokens, "{first} tokens, then {later}");
}

#[test]
fn a_reservation_never_exceeds_the_largest_output() {
    let mut margin = OutputMargin::default();
    for _ in 0..100 {
        margin.record_stalled();
    }
    assert_eq!(
        margin.reserved_tokens(&PROMPT, KV_TOKENS),
        PROMPT.tokens + PROMPT.max_output_tokens
    );
}

#[test]
fn a_reservation_fits_into_the_memory_of_an_engine() {
    let prompt = Prompt { tokens: 60_000, ..PROMPT };
    assert_eq!(OutputMargin::default().reserved_tokens(&prompt, KV_TOKENS), KV_TOKENS);
}

/// Relays a stream with this interval between its events, and returns the memory that the
/// next request asks for, in tokens.
fn reserved_after_a_stream(interval: Duration) -> u32 {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    for _ in 0..5 {
        harness.router.record_event(harness.now, key);
        harness.now += interval;
    }
    harness.router.finish(harness.now, key);
    match harness.start_request("/stream/2").1 {
        Step::Reserve { tokens, .. } => tokens,
        other => panic!("unexpected step {other:?}"),
    }
}

#[test]
fn without_a_known_memory_a_reservation_has_no_such_limit() {
    let margin = OutputMargin::default();
    assert_eq!(margin.reserved_tokens(&PROMPT, 0), margin.reserved_tokens(&PROMPT, KV_TOKENS));
}

#[test]
fn only_the_first_long_pause_of_a_stream_is_reported() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    let mut stalls = Vec::new();
    for interval in [0, 60, 400, 60, 500] {
        harness.now += ms(interval);
        stalls.extend(harness.router.record_event(harness.now, key));
    }
    let pauses: Vec<Duration> = stalls.iter().map(|stall| stall.interval).collect();
    assert_eq!(pauses, [ms(400)]);
}

#[test]
fn a_stream_that_pauses_too_long_raises_the_next_reservation() {
    let steady = reserved_after_a_stream(ms(60));
    let stalled = reserved_after_a_stream(ms(400));
    assert!(
        stalled > steady,
        "{steady} tokens after a steady stream, {stalled} after a stalled one"
    );
}
