//! Replays of short synthetic traces with fixed seeds. The bounds are the stated targets,
//! not figures that were measured.

use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::PolicyKind;
use bamboodoor::replay::ReplayConfig;
use bamboodoor::replay::replay;
use bamboodoor::replay::summary::Summary;
use bamboodoor::replay::synthesis;
use bamboodoor::replay::synthesis::Synthesis;
use bamboodoor::replay::synthesis::Workload;
use bamboodoor::replay::trace::Event;
use bamboodoor::replay::trace::Fault;

const DURATION_MS: u64 = 30_000;
const FAULT_AT_MS: u64 = 8_000;
const MIN_WITHIN_TARGETS_PERCENT: f64 = 95.0;
const MIN_GOODPUT_RATIO: f64 = 0.95;
const MAX_WASTE_WITHOUT_FAULT_PERCENT: f64 = 1.0;
const MAX_WASTE_WITH_FAULT_PERCENT: f64 = 3.0;
const MAX_CALL_P95_MS: u64 = 100;

/// Workload and manifest of an example deployment.
fn example(name: &str) -> (Workload, Snapshot) {
    let body = match name {
        "associacao" => include_str!("../../examples/associacao.jsonc"),
        _ => include_str!("../../examples/qayrawan.jsonc"),
    };
    let workload = synthesis::workload_of(name).expect("the example has a workload");
    (workload, Snapshot::parse(1, body).expect("the example manifest is valid"))
}

/// Replays a synthetic trace of an example, with a fault, if any, injected at
/// `FAULT_AT_MS`; a load of 1 is the capacity.
fn run(name: &str, load: f64, fault: Option<Fault>, policy: PolicyKind) -> Summary {
    let (workload, snapshot) = example(name);
    let faults = fault.map(|fault| (FAULT_AT_MS, fault)).into_iter().collect();
    let synthesis = Synthesis { load, faults, duration_ms: DURATION_MS, ..Synthesis::default() };
    let trace = synthesis::synthesize(&workload, &snapshot, &synthesis);
    let config = ReplayConfig { policy, ..ReplayConfig::default() };
    replay(&trace, &snapshot, &config).expect("the trace fits the manifest")
}

/// Refusal and retry decisions at twice the capacity with a zone lost, named as in the
/// decision records.
pub fn decisions_beyond_capacity() -> Vec<String> {
    let zone_lost = || Some(Fault::ZoneLost { zone: "caruaru".into() });
    let policies = [PolicyKind::Reserve, PolicyKind::RoundRobin];
    let runs = policies.map(|policy| run("associacao", 2.0, zone_lost(), policy));
    let names = runs.iter().flat_map(|summary| {
        let refusals = summary.refusals.keys().map(|reason| format!("refused-{reason}"));
        refusals.chain(summary.retries.keys().map(|reason| format!("retry-{reason}")))
    });
    names.collect()
}

fn assert_invariants_hold(summary: &Summary) {
    assert_eq!(summary.violations, Vec::<String>::new());
    assert_eq!(
        summary.held_at_end, 0,
        "engines still hold streams or imported KV caches at the end"
    );
}

fn assert_targets_are_met(summary: &Summary, max_waste_percent: f64) {
    assert_invariants_hold(summary);
    assert!(summary.within_targets_percent >= MIN_WITHIN_TARGETS_PERCENT, "{summary:?}");
    assert!(summary.wasted_prefill_percent <= max_waste_percent, "{summary:?}");
    assert_eq!(summary.calls, summary.calls_answered, "{summary:?}");
    assert!(summary.call_p95_ms <= MAX_CALL_P95_MS, "{summary:?}");
}

macro_rules! targets {
    ($($name:ident: $example:expr, $load:expr, $fault:expr, $waste:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_targets_are_met(&run($example, $load, $fault, PolicyKind::Reserve), $waste);
            }
        )+
    };
}

targets! {
    associacao_meets_the_targets_at_0_7_of_capacity:
        "associacao", 0.7, None, MAX_WASTE_WITHOUT_FAULT_PERCENT;
    associacao_meets_the_targets_at_1_3_of_capacity:
        "associacao", 1.3, None, MAX_WASTE_WITHOUT_FAULT_PERCENT;
    associacao_meets_the_targets_at_2_0_of_capacity:
        "associacao", 2.0, None, MAX_WASTE_WITHOUT_FAULT_PERCENT;
    qayrawan_meets_the_targets_at_0_7_of_capacity:
        "qayrawan", 0.7, None, MAX_WASTE_WITHOUT_FAULT_PERCENT;
    qayrawan_meets_the_targets_at_1_3_of_capacity:
        "qayrawan", 1.3, None, MAX_WASTE_WITHOUT_FAULT_PERCENT;
    qayrawan_meets_the_targets_at_2_0_of_capacity:
        "qayrawan", 2.0, None, MAX_WASTE_WITHOUT_FAULT_PERCENT;
    associacao_meets_the_targets_while_a_tenth_of_the_engines_is_slow: "associacao", 1.3,
        Some(Fault::SlowEngines { share: 0.1, factor: 2.0 }), MAX_WASTE_WITH_FAULT_PERCENT;
    qayrawan_meets_the_targets_while_some_transfers_are_stalled: "qayrawan", 1.3,
        Some(Fault::StalledTransfers { share: 0.05 }), MAX_WASTE_WITH_FAULT_PERCENT;
    associacao_meets_the_targets_while_load_reports_are_late: "associacao", 1.3,
        Some(Fault::LateReports { lag_ms: 5_000 }), MAX_WASTE_WITH_FAULT_PERCENT;
}

#[test]
fn goodput_does_not_collapse_at_twice_the_capacity() {
    for name in ["associacao", "qayrawan"] {
        let at_capacity = run(name, 1.0, None, PolicyKind::Reserve);
        let at_twice_the_capacity = run(name, 2.0, None, PolicyKind::Reserve);
        assert!(
            at_twice_the_capacity.goodput_per_s >= MIN_GOODPUT_RATIO * at_capacity.goodput_per_s,
            "{name}"
        );
    }
}

#[test]
fn beyond_capacity_goodput_is_above_that_of_every_baseline() {
    for name in ["associacao", "qayrawan"] {
        let reserve = run(name, 2.0, None, PolicyKind::Reserve);
        for baseline in [PolicyKind::RoundRobin, PolicyKind::LeastLoaded, PolicyKind::PrefillFirst]
        {
            let other = run(name, 2.0, None, baseline);
            assert_invariants_hold(&other);
            assert!(reserve.goodput_per_s > other.goodput_per_s, "{name}: {baseline}");
        }
    }
}

/// Requests whose entry was lost with the zone do not count as admitted.
#[test]
fn a_lost_zone_loses_no_response_and_recovers_within_ten_seconds() {
    let summary = run(
        "associacao",
        1.0,
        Some(Fault::ZoneLost { zone: "caruaru".into() }),
        PolicyKind::Reserve,
    );
    assert_invariants_hold(&summary);
    assert_eq!(summary.whole, summary.admitted, "{summary:?}");
    assert!(summary.settled_within_targets_percent >= MIN_WITHIN_TARGETS_PERCENT, "{summary:?}");
}

/// Checks that the share of wasted prefill meets its target when a zone is lost at a load
/// beyond the capacity, with every seed of the published measurement. The target is missed
/// so far; `KNOWN-RED.txt` lists this test.
#[test]
fn waste_with_a_zone_lost_beyond_capacity() {
    let (workload, snapshot) = example("associacao");
    let mut waste = Vec::new();
    for (load, seed) in [(1.3, 1), (1.3, 2), (1.3, 3), (2.0, 1), (2.0, 2), (2.0, 3)] {
        let faults = vec![(15_000, Fault::ZoneLost { zone: "caruaru".into() })];
        let synthesis = Synthesis { load, seed, faults, ..Synthesis::default() };
        let trace = synthesis::synthesize(&workload, &snapshot, &synthesis);
        let config = ReplayConfig { seed, ..ReplayConfig::default() };
        let summary = replay(&trace, &snapshot, &config).expect("the trace fits the manifest");
        assert_invariants_hold(&summary);
        waste.push((load, seed, summary.wasted_prefill_percent));
    }
    let above = waste.iter().filter(|(_, _, percent)| *percent > MAX_WASTE_WITH_FAULT_PERCENT);
    assert_eq!(above.count(), 0, "load, seed and wasted prefill in percent: {waste:?}");
}

/// An engine that was lost in the middle of a prefill has computed no result, so nothing of it
/// counts as wasted.
#[test]
fn an_engine_that_is_lost_during_a_prefill_finishes_none() {
    let (workload, snapshot) = example("associacao");
    let zones = workload.zones.map(|zone| (FAULT_AT_MS, Fault::ZoneLost { zone: zone.into() }));
    let synthesis = Synthesis { faults: zones.into(), ..Synthesis::default() };
    let mut trace = synthesis::synthesize(&workload, &snapshot, &synthesis);
    // Every prompt takes at least 65 ms to prefill.
    let arrivals = FAULT_AT_MS - 50..FAULT_AT_MS;
    trace
        .lines
        .retain(|line| matches!(line.event, Event::Fault(_)) || arrivals.contains(&line.at_ms));
    for line in &mut trace.lines {
        if let Event::Generate(generate) = &mut line.event {
            generate.prompt_tokens = generate.prompt_tokens.max(1_300);
        }
    }
    assert!(trace.lines.iter().any(|line| matches!(line.event, Event::Generate(_))));
    let summary =
        replay(&trace, &snapshot, &ReplayConfig::default()).expect("the trace fits the manifest");
    assert_eq!(summary.wasted_prefill_percent, 0.0, "{summary:?}");
}

#[test]
fn callers_that_disconnect_leave_nothing_reserved() {
    let (workload, snapshot) = example("associacao");
    let synthesis = Synthesis { load: 1.3, duration_ms: DURATION_MS, ..Synthesis::default() };
    let mut trace = synthesis::synthesize(&workload, &snapshot, &synthesis);
    for (index, line) in trace.lines.iter_mut().enumerate() {
        if let Event::Generate(generate) = &mut line.event {
            // Some callers disconnect at once, some during prefill, some during the stream.
            generate.gone_after_ms = Some((index as u64 * 37) % 3_000);
        }
    }
    let summary =
        replay(&trace, &snapshot, &ReplayConfig::default()).expect("the trace fits the manifest");
    assert_invariants_hold(&summary);
}

#[test]
fn the_same_seed_gives_the_same_summary() {
    let run = || format!("{:?}", run("qayrawan", 1.3, None, PolicyKind::Reserve));
    assert_eq!(run(), run());
}
