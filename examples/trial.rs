//! Trial of the policy under faults.

use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::PolicyKind;
use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::replay;
use bamboodoor::replay::synthesis;
use bamboodoor::replay::synthesis::Synthesis;
use bamboodoor::replay::trace::Fault;
use strum::IntoEnumIterator;

fn main() {
    let only = std::env::args().nth(1);
    for (mix, body) in [
        (synthesis::associacao(), include_str!("associacao.jsonc")),
        (synthesis::qayrawan(), include_str!("qayrawan.jsonc")),
    ] {
        let snapshot = Snapshot::parse(1, body).expect("valid");
        println!("{} capacity {:.1}/s", mix.name, synthesis::capacity_per_s(&mix, &snapshot));
        let faults = [
            ("none", None),
            ("zone", Some(Fault::ZoneLost { zone: mix.zones[2].into() })),
            ("slow", Some(Fault::SlowEngines { share: 0.1, factor: 2.0 })),
            ("stall", Some(Fault::StalledTransfers { share: 0.05 })),
            ("lag", Some(Fault::LateReports { lag_ms: 5_000 })),
        ];
        for (name, fault) in faults {
            for load in [0.7, 1.0, 1.3, 2.0] {
                let faults = fault.clone().map(|fault| (15_000, fault)).into_iter().collect();
                let trace = synthesis::synthesize(
                    &mix,
                    &snapshot,
                    &Synthesis { load, faults, ..Synthesis::default() },
                );
                for policy in PolicyKind::iter() {
                    if only.as_ref().is_some_and(|only| policy.to_string() != *only) {
                        continue;
                    }
                    let s = replay(
                        &trace,
                        &snapshot,
                        &ReplayConfig { policy, ..ReplayConfig::default() },
                    )
                    .expect("valid");
                    println!(
                        "{name:5} {load} {policy:8} n {:4} adm {:4} whole {:4} within {:5.1}/{:5.1}% good {:6.2}/s waste {:5.2}% ttft {:4}/{:4} tbt {:3} calls {}/{} p95 {} held {} viol {} rej p95 {} max {} {:?} {:?}",
                        s.drafts,
                        s.admitted,
                        s.whole,
                        s.within_targets_percent,
                        s.settled_within_targets_percent,
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
                        s.refusal_p95_ms,
                        s.refusal_max_ms,
                        s.refusals,
                        s.retries
                    );
                    for v in s.violations.iter().take(3) {
                        println!("   {v}");
                    }
                }
            }
        }
    }
}
