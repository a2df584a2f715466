//! Balance of the engines between the prefill and the decode role.

use bamboodoor::router::configuration::Engine;
use bamboodoor::router::roles::Demand;
use bamboodoor::router::roles::RoleBalancer;
use bamboodoor::router::roles::RoleChange;
use bamboodoor::router::roles::RoleSettings;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;
use bamboodoor::router::upstreams::Upstreams;

use crate::harness::ENGINES;
use crate::harness::ms;
use crate::harness::upstream;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Returns upstreams with this number of engines of each role, spread over three
/// zones.
fn engines(prefill: usize, decode: usize) -> Upstreams {
    let mut engines = Upstreams::default();
    for number in 0..prefill + decode {
        let role = if number < prefill { PoolRole::Prefill } else { PoolRole::Decode };
        let id = format!("engine-{number:03}");
        let zone = ZONES[number % ZONES.len()].into();
        engines.upsert(ms(0), ListedUpstream { zone, ..upstream(&id, ENGINES, role) });
    }
    engines
}

/// Gives the orders that are due from time 0 to `seconds`, and returns them. A change
/// is complete 6 s after its order, if that is within the same time.
fn give_due_orders(
    engines: &mut Upstreams,
    roles: &mut RoleBalancer,
    seconds: u64,
    demand: Demand,
) -> Vec<RoleChange> {
    let mut orders = Vec::new();
    let mut pending = Vec::new();
    for now in (0..seconds * 1_000).step_by(250).map(ms) {
        pending.retain(|(complete_at, order): &(std::time::Duration, RoleChange)| {
            if *complete_at > now {
                return true;
            }
            let listed = engines.get(order.key).expect("the engine is listed").listed.clone();
            engines.upsert(ms(0), ListedUpstream { role: order.role, ..listed });
            false
        });
        if let Some(order) = roles.next_change(now, &ENGINES.into(), engines, demand) {
            roles.record_ordered(now, &order);
            pending.push((now + ms(6_000), order.clone()));
            orders.push(order);
        }
    }
    orders
}

fn count_prefill_engines(engines: &Upstreams) -> usize {
    engines
        .service_upstreams(ENGINES)
        .filter(|(_, engine)| engine.listed.role == PoolRole::Prefill)
        .count()
}

fn engine(kv_tokens: u32) -> Engine {
    Engine { kv_tokens, tokens_per_event: 7, ..Engine::default() }
}

/// Demand of a pool that has had no requests yet, so that the size of a request is
/// assumed.
fn idle(kv_tokens: u32) -> Demand {
    Demand {
        prefill_share: None,
        engine: engine(kv_tokens),
        has_recent_requests: false,
        prefill_is_short: false,
        is_contended: false,
    }
}

/// Demand of a pool in use, with the observed share of engine time that prefills
/// take.
fn in_use(prefill_share: f64) -> Demand {
    Demand {
        prefill_share: Some(prefill_share),
        engine: engine(50_000),
        has_recent_requests: true,
        prefill_is_short: false,
        is_contended: false,
    }
}

/// Checks the number of prefill engines that a pool with `$prefill` and `$decode`
/// engines has after 120 s of this demand.
macro_rules! prefill_engines_after_changes {
    ($($name:ident: $prefill:literal, $decode:literal, $demand:expr => $after:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut engines = engines($prefill, $decode);
            let mut roles = RoleBalancer::new(RoleSettings::default());
            give_due_orders(&mut engines, &mut roles, 120, $demand);
            let after = count_prefill_engines(&engines);
            assert!($after.contains(&after), "{after} prefill engines after the changes");
        }
    )*};
}

prefill_engines_after_changes! {
    surplus_prefill_engines_change_to_decode: 7, 11, idle(50_000) => 5..=6;
    a_small_pool_without_requests_reaches_the_assumed_split: 5, 7, idle(58_000) => 4..=4;
    a_large_pool_with_small_memories_reaches_the_assumed_split: 17, 31, idle(38_000) => 10..=12;
    a_pool_with_the_wanted_split_is_left_unchanged: 5, 13, idle(50_000) => 5..=5;
    long_prompts_get_more_prefill_engines: 6, 12, in_use(0.5) => 9..=13;
    long_outputs_get_fewer_prefill_engines: 6, 12, in_use(0.05) => 1..=4;
    the_last_prefill_engine_keeps_its_role: 3, 9, in_use(0.0) => 1..=2;
}

/// Returns the number of orders that a pool gives within 10 s if no change completes.
fn count_orders_without_completion(prefill: usize, decode: usize) -> usize {
    let engines = engines(prefill, decode);
    let mut roles = RoleBalancer::new(RoleSettings::default());
    let mut orders = 0;
    for now in (0..10_000).step_by(250).map(ms) {
        if let Some(order) = roles.next_change(now, &ENGINES.into(), &engines, in_use(0.1)) {
            roles.record_ordered(now, &order);
            orders += 1;
        }
    }
    orders
}

#[test]
fn a_small_pool_in_use_changes_one_engine_at_a_time() {
    assert_eq!(count_orders_without_completion(12, 6), 1);
}

#[test]
fn a_large_pool_in_use_changes_a_tenth_of_its_engines_at_a_time() {
    assert_eq!(count_orders_without_completion(15, 25), 4);
}

/// The wanted split of 18 engines swings between 4.0 and 5.8 prefill engines.
#[test]
fn a_swinging_demand_does_not_change_roles_back_and_forth() {
    let mut engines = engines(9, 9);
    let mut roles = RoleBalancer::new(RoleSettings::default());
    let mut orders = Vec::new();
    for now in (0..240_000).step_by(250) {
        let prefill_share = if now / 3_000 % 2 == 0 { 0.16 } else { 0.24 };
        let demand = in_use(prefill_share);
        let Some(order) = roles.next_change(ms(now), &ENGINES.into(), &engines, demand) else {
            continue;
        };
        roles.record_ordered(ms(now), &order);
        let listed = engines.get(order.key).expect("the engine is listed").listed.clone();
        engines.upsert(ms(0), ListedUpstream { role: order.role, ..listed });
        orders.push(order.role);
    }
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|role| *role == PoolRole::Decode), "{orders:?}");
}

#[test]
fn no_order_is_given_while_the_number_of_listed_engines_changes() {
    let mut roles = RoleBalancer::new(RoleSettings::default());
    for turn in 0..20 {
        let engines = engines(7 + turn, 11);
        let order =
            roles.next_change(ms(turn as u64 * 500), &ENGINES.into(), &engines, idle(50_000));
        assert_eq!(order, None);
    }
}

/// Returns the orders of a pool with 8 prefill engines of 46, in use, that was ordered to decode
/// before its demand was known. Its demand calls for about 10.
fn orders_after_assumed_ones(prefill_is_short: bool) -> usize {
    let mut engines = engines(12, 34);
    let mut roles = RoleBalancer::new(RoleSettings::default());
    give_due_orders(&mut engines, &mut roles, 20, idle(27_000));
    let demand = Demand { prefill_is_short, ..in_use(0.16) };
    give_due_orders(&mut engines, &mut roles, 20, demand).len()
}

#[test]
fn a_long_prefill_wait_makes_a_small_lack_of_prefill_engines_count() {
    assert_eq!(orders_after_assumed_ones(false), 0);
    assert!(orders_after_assumed_ones(true) > 0);
}

#[test]
fn orders_on_assumed_demand_do_not_delay_the_opposite_change() {
    let mut engines = engines(17, 29);
    let mut roles = RoleBalancer::new(RoleSettings::default());
    let contended = |demand| Demand { is_contended: true, ..demand };
    let first = give_due_orders(&mut engines, &mut roles, 20, contended(idle(27_000)));
    assert!(first.iter().any(|order| order.role == PoolRole::Decode), "{first:?}");
    let then = give_due_orders(&mut engines, &mut roles, 10, contended(in_use(0.5)));
    assert!(then.iter().any(|order| order.role == PoolRole::Prefill), "{then:?}");
}

#[test]
fn without_accounts_orders_on_assumed_demand_delay_the_opposite_change() {
    let mut engines = engines(17, 29);
    let mut roles = RoleBalancer::new(RoleSettings::default());
    give_due_orders(&mut engines, &mut roles, 20, idle(27_000));
    let then = give_due_orders(&mut engines, &mut roles, 10, in_use(0.5));
    assert_eq!(then.len(), 0);
}
