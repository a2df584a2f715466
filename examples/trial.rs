//! Replays a grid of loads and policies and prints a line for each.

use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::PolicyKind;
use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::replay;
use bamboodoor::replay::synthesis;
use bamboodoor::replay::synthesis::Synthesis;
use strum::IntoEnumIterator;

fn main() {
    let only = std::env::args().nth(1);
    for (mix, body) in [
        (synthesis::associacao(), include_str!("associacao.jsonc")),
        (synthesis::qayrawan(), include_str!("qayrawan.jsonc")),
    ] {
        let snapshot = Snapshot::parse(1, body).expect("valid");
        println!("{} capacity {:.1}/s", mix.name, synthesis::capacity_per_s(&mix, &snapshot));
        for load in [0.7, 1.0, 1.3, 2.0] {
            let trace =
                synthesis::synthesize(&mix, &snapshot, &Synthesis { load, ..Synthesis::default() });
            for policy in PolicyKind::iter() {
                if only.as_ref().is_some_and(|only| policy.to_string() != *only) {
                    continue;
                }
                let t = std::time::Instant::now();
                let s =
                    replay(&trace, &snapshot, &ReplayConfig { policy, ..ReplayConfig::default() })
                        .expect("valid");
                println!(
                    "{load} {policy:14} drafts {:5} adm {:5} whole {:5} within {:5.1}% good {:6.2}/s waste {:5.2}% ttft {:5}/{:5} tbt {:3} calls {}/{} p95 {} held {} viol {} {:?} {:?} {:.1?}",
                    s.drafts,
                    s.admitted,
                    s.whole,
                    s.within_targets_percent,
                    s.goodput_per_s,
                    s.wasted_prefill_percent,
                    s.first_token_p50_ms,
                    s.first_token_p95_ms,
                    s.between_tokens_p95_ms,
                    s.calls_answered,
                    s.calls,
                    s.call_p95_ms,
                    s.held_at_end,
                    s.violations.len(),
                    s.refusals,
                    s.retries,
                    t.elapsed()
                );
                for v in s.violations.iter().take(3) {
                    println!("   {v}");
                }
            }
        }
    }
}
