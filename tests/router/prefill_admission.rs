//! Room to prefill as part of the decision to admit: replays of a pool that gets more prompts
//! than it can read, and the limits on starting a prefill anew.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::prefill_pool::PrefillPool;
use bamboodoor::router::prefill_pool::admitted_share;

use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::prefill_pool_replay::Counts;
use crate::prefill_pool_replay::ReplaySettings;
use crate::prefill_pool_replay::replay;

/// Largest share of the tokens read that may be in vain: the project's own bound.
const MAX_SHARE_IN_VAIN: f64 = 0.03;

fn share_in_vain(counts: Counts) -> f64 {
    counts.tokens_in_vain as f64 / counts.tokens as f64
}

macro_rules! overload_wastes_few_tokens {
    ($($name:ident: $load:expr, $entries:expr, $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            let counts = replay(ReplaySettings {
                load: $load,
                entries: $entries,
                seed: $seed,
                ..ReplaySettings::default()
            });
            assert!(share_in_vain(counts) < MAX_SHARE_IN_VAIN, "{counts:?}");
        }
    )*};
}

overload_wastes_few_tokens! {
    load_1_5_at_25_entries_wastes_few_tokens: 1.5, 25, 1;
    load_1_5_at_25_entries_with_another_seed_wastes_few_tokens: 1.5, 25, 2;
    load_1_5_at_5_entries_wastes_few_tokens: 1.5, 5, 3;
    load_2_at_25_entries_wastes_few_tokens: 2.0, 25, 4;
    load_3_at_60_entries_wastes_few_tokens: 3.0, 60, 5;
}

#[test]
fn print_counts() {
    for (load, entries) in
        [(0.5, 25), (0.9, 25), (1.2, 25), (1.5, 5), (1.5, 25), (1.5, 60), (2.0, 25), (3.0, 60)]
    {
        let counts = replay(ReplaySettings { load, entries, ..ReplaySettings::default() });
        println!(
            "{load} {entries} vain {:.3} on time {:.2} late {:.2} busy {:.2} {counts:?}",
            share_in_vain(counts),
            f64::from(counts.on_time) / f64::from(counts.requests),
            f64::from(counts.late) / f64::from(counts.requests),
            counts.tokens as f64 / (8.0 * 33_000.0 * 20.0)
        );
    }
}
