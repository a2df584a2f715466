//! Demand for prefill and decode engines, as one entry learns it from its requests.

use bamboodoor::router::configuration::Engine;
use bamboodoor::router::engine_time::EngineTimeStats;
use bamboodoor::router::request::Prompt;

use crate::harness::ms;

/// Kind of request that all requests of a test are of.
struct Workload {
    prompt: Prompt,
    engine: Engine,
    /// Time between two events of a stream.
    event_interval_ms: u64,
}

/// Some 70 events of 7 tokens each, far shorter than the prompts.
fn short_outputs() -> Workload {
    Workload {
        prompt: Prompt { tokens: 5_200, max_output_tokens: 1_190, output_hint: Some(500) },
        engine: Engine { kv_tokens: 50_000, tokens_per_event: 7, ..Engine::default() },
        event_interval_ms: 47,
    }
}

/// Outputs as long as the prompts, generated fast, on engines with little more memory.
fn long_outputs() -> Workload {
    Workload {
        prompt: Prompt { tokens: 5_200, max_output_tokens: 9_880, output_hint: Some(5_300) },
        engine: Engine { kv_tokens: 64_000, tokens_per_event: 76, ..Engine::default() },
        event_interval_ms: 65,
    }
}

/// Outputs of a few tokens after long prompts.
fn long_prompts() -> Workload {
    Workload {
        prompt: Prompt { tokens: 20_000, max_output_tokens: 140, output_hint: Some(70) },
        engine: Engine { kv_tokens: 50_000, tokens_per_event: 7, ..Engine::default() },
        event_interval_ms: 47,
    }
}

/// Returns the prefill share after this number of requests, of which each has had ten events.
fn prefill_share(workload: &Workload, requests: usize) -> f64 {
    let mut time = EngineTimeStats::default();
    for _ in 0..requests {
        time.record_arrival(&workload.prompt, &workload.engine);
        time.record_prefill(workload.prompt.tokens, ms(u64::from(workload.prompt.tokens) / 55));
        for _ in 0..10 {
            time.record_event(ms(workload.event_interval_ms));
        }
    }
    time.prefill_share(&workload.engine)
}

/// Share of engine time that prefills take, worked out from the sizes alone.
fn exact_prefill_share(workload: &Workload) -> f64 {
    let Workload { prompt, engine, event_interval_ms } = workload;
    let prefill_ms = f64::from(prompt.tokens / 55);
    let output = f64::from(prompt.expected_output_tokens());
    let events = output / f64::from(engine.tokens_per_event);
    let memory = f64::from(prompt.expected_tokens()) / f64::from(engine.kv_tokens);
    let decode_ms = memory * events * *event_interval_ms as f64;
    prefill_ms / (prefill_ms + decode_ms)
}

/// Checks that the share is within a fifth of the exact one after 20 requests, which an
/// entry of a large deployment receives in a few seconds.
macro_rules! share_is_learned_from_twenty_requests {
    ($($name:ident: $workload:expr;)*) => {$(
        #[test]
        fn $name() {
            let (learned, exact) = (prefill_share(&$workload, 20), exact_prefill_share(&$workload));
            assert!((learned / exact - 1.0).abs() < 0.2, "{learned:.3}, exact {exact:.3}");
        }
    )*};
}

share_is_learned_from_twenty_requests! {
    the_share_of_short_outputs_is_learned: short_outputs();
    the_share_of_long_outputs_is_learned: long_outputs();
    the_share_of_long_prompts_is_learned: long_prompts();
}

#[test]
fn before_the_first_request_the_assumed_output_follows_the_size_of_events() {
    let assumed = |workload: Workload| EngineTimeStats::default().prefill_share(&workload.engine);
    assert!(assumed(long_outputs()) < assumed(short_outputs()));
}

/// A new lease holder may know two prefills only, both from a time when prefills queued.
#[test]
fn two_prefills_that_queued_do_not_triple_the_share() {
    let workload = long_outputs();
    let mut time = EngineTimeStats::default();
    for _ in 0..2 {
        time.record_arrival(&workload.prompt, &workload.engine);
        time.record_prefill(workload.prompt.tokens, ms(900));
    }
    let assumed = EngineTimeStats::default().prefill_share(&workload.engine);
    let share = time.prefill_share(&workload.engine);
    assert!(share < 3.0 * assumed, "{share:.3}, assumed {assumed:.3}");
}
