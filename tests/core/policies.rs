//! Policies: connection subsets, fair share, retry budget, outlier ejection, prefix index,
//! and the schedule of transfers over the links between zones.

use std::time::Duration;

use bamboodoor::agent::transfers::TransferSchedule;
use bamboodoor::manifest::Snapshot;
use bamboodoor::policy::agents::AgentKey;
use bamboodoor::policy::ejection::EjectionLimits;
use bamboodoor::policy::ejection::Health;
use bamboodoor::policy::fair::FairShare;
use bamboodoor::policy::prefix::PREFIX_TOKENS;
use bamboodoor::policy::prefix::PrefixIndex;
use bamboodoor::policy::prefix::prefix_hashes;
use bamboodoor::policy::retry::RetryBudget;
use bamboodoor::policy::subset::Member;
use bamboodoor::policy::subset::subset;
use bamboodoor::schema::wire::AttemptId;
use slotmap::KeyData;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(10);

fn member(name: String, zone: usize) -> Member {
    Member {
        region: format!("r{}", zone / 3).into(),
        zone: format!("z{zone}").into(),
        name: name.into(),
    }
}

/// Members `prefix-000` and so on, spread over 9 zones in 3 regions.
fn members(prefix: &str, count: usize) -> Vec<Member> {
    (0..count).map(|number| member(format!("{prefix}-{number:03}"), number % 9)).collect()
}

/// Number of entries that each agent is connected to when every entry chooses its own
/// subset of the agents. If `entries_per_agent` is 0, the entries choose all agents.
fn connected_entry_counts(entries: usize, agents: usize, entries_per_agent: usize) -> Vec<usize> {
    let (entries, agents) = (members("entry", entries), members("agent", agents));
    let mut counts = vec![0; agents.len()];
    for entry in &entries {
        for agent in subset(&entry.name, &entries, &agents, entries_per_agent) {
            counts[agent] += 1;
        }
    }
    counts
}

#[test_case(410, 75, 22; "at_the_target_size")]
#[test_case(30, 12, 4; "in_a_small_fleet")]
#[test_case(9, 600, 2; "with_many_agents")]
fn agents_get_the_configured_entry_count(entries: usize, agents: usize, entries_per_agent: usize) {
    let counts = connected_entry_counts(entries, agents, entries_per_agent);
    assert!(counts.iter().all(|count| *count == entries_per_agent), "{counts:?}");
}

#[test]
fn entries_connect_to_all_agents_unless_entries_per_agent_limits_them() {
    assert_eq!(connected_entry_counts(3, 18, 0), vec![3; 18]);
    assert_eq!(connected_entry_counts(3, 18, 20), vec![3; 18]);
}

#[test]
fn an_agent_is_connected_to_entries_of_its_zone_first() {
    // Each of the 9 zones has 10 entries, as many as each agent is connected to.
    let (entries, agents) = (members("entry", 90), members("agent", 9));
    let in_same_zone = entries.iter().filter(|entry| entry.zone == agents[0].zone);
    for entry in in_same_zone {
        assert!(subset(&entry.name, &entries, &agents, 10).contains(&0));
    }
}

#[test]
fn an_account_exceeds_its_share_only_under_pressure() {
    let mut fair = FairShare::default();
    for _ in 0..50 {
        fair.record_admitted(NOW, "greedy", 1, 1_000);
        fair.record_admitted(NOW, "modest", 1, 100);
    }
    let later = NOW + Duration::from_millis(300);
    assert!(!fair.exceeds_share(later, "greedy", 0.2));
    assert!(fair.exceeds_share(later, "greedy", 1.0));
    assert!(!fair.exceeds_share(later, "modest", 1.0));
}

#[test]
fn retries_are_limited_to_a_share_of_successes() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    for _ in 0..100 {
        budget.record_success(10);
    }
    let allowed = std::iter::from_fn(|| budget.try_spend().then_some(())).take(100).count();
    assert!((9..=10).contains(&allowed), "{allowed} for 100 successes at 10 %");
}

fn limits() -> EjectionLimits {
    EjectionLimits {
        consecutive_failures: 3,
        base_ejection: Duration::from_secs(1),
        max_ejected_percent: 50,
    }
}

#[test]
fn repeated_ejections_last_longer_until_a_success() {
    let mut health = Health::default();
    (0..3).for_each(|_| health.record_failure(NOW, &limits(), true));
    assert!(health.is_ejected(NOW));
    let first_ejection_end = NOW + Duration::from_secs(1);
    assert!(!health.is_ejected(first_ejection_end));
    health.record_failure(first_ejection_end, &limits(), true);
    assert!(health.is_ejected(first_ejection_end + Duration::from_millis(1_900)), "twice as long");
    let second_ejection_end = first_ejection_end + Duration::from_secs(2);
    health.record_success();
    health.record_failure(second_ejection_end, &limits(), true);
    assert!(!health.is_ejected(second_ejection_end), "a success clears the failures");
}

#[test]
fn no_more_upstreams_are_ejected_than_the_limit() {
    assert!(limits().may_eject(0, 2));
    assert!(!limits().may_eject(1, 2));
    assert!(!limits().may_eject(0, 1));
}

fn agent(number: u64) -> AgentKey {
    AgentKey::from(KeyData::from_ffi((1 << 32) | number))
}

#[test]
fn prefix_index_entries_expire_and_can_be_corrected() {
    let prompt = vec![b'x'; 4 * 4 * PREFIX_TOKENS as usize];
    let hashes = prefix_hashes(&prompt, 4);
    let mut index = PrefixIndex::default();
    index.insert(NOW, &hashes, agent(1));
    assert_eq!(index.lookup(NOW, &hashes).tokens(agent(1)), 4 * PREFIX_TOKENS);
    index.correct(&hashes, agent(1), PREFIX_TOKENS);
    assert_eq!(index.lookup(NOW, &hashes).tokens(agent(1)), PREFIX_TOKENS);
    let after_expiry = NOW + Duration::from_secs(120);
    assert_eq!(index.lookup(after_expiry, &hashes).tokens(agent(1)), 0);
}

#[test]
fn transfers_start_in_deadline_order_and_wait_for_the_link() {
    let snapshot = Snapshot::parse(1, include_str!("../../examples/associacao.jsonc"))
        .expect("the manifest is valid");
    let pool = snapshot.pool("redator-decode").expect("the manifest has the pool");
    let mut transfers = TransferSchedule::default();
    transfers.configure(&snapshot, pool, "petrolina");
    let id = |request| AttemptId { entry: 1, request, attempt: 1 };
    let bytes = 4_000_000_000;
    transfers.push(id(1), "juazeiro", bytes, NOW + Duration::from_secs(3));
    transfers.push(id(2), "juazeiro", bytes, NOW + Duration::from_secs(1));
    let started: Vec<AttemptId> = transfers.start(NOW).iter().map(|start| start.id).collect();
    assert_eq!(
        started,
        vec![id(2)],
        "only the one with the earliest deadline starts, since it exhausts the link's credit"
    );
    let next_start = transfers.next_wakeup().expect("one transfer waits");
    assert!(transfers.start(next_start - Duration::from_millis(1)).is_empty());
    assert_eq!(transfers.start(next_start).len(), 1);
}
