//! How engines are split between prefill and decode.

use bamboodoor::router::fleet::Fleet;
use bamboodoor::router::fleet::ListedUpstream;
use bamboodoor::router::fleet::PoolRole;
use bamboodoor::router::roles::Demand;
use bamboodoor::router::roles::RoleBalancer;
use bamboodoor::router::roles::RoleChange;
use bamboodoor::router::roles::RoleSettings;

use crate::scene::ENGINES;
use crate::scene::ms;
use crate::scene::upstream;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// A fleet with so many engines of each role, dealt to three zones.
fn fleet(prefill: usize, decode: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..prefill + decode {
        let role = if number < prefill { PoolRole::Prefill } else { PoolRole::Decode };
        let id = format!("engine-{number:03}");
        let zone = ZONES[number % ZONES.len()].into();
        fleet.upsert(ListedUpstream { zone, ..upstream(&id, ENGINES, role) });
    }
    fleet
}

/// Orders everything that is due within `seconds`, each carried out after six.
fn run(
    fleet: &mut Fleet,
    roles: &mut RoleBalancer,
    seconds: u64,
    demand: Demand,
) -> Vec<RoleChange> {
    let mut orders = Vec::new();
    let mut done = Vec::new();
    for now in (0..seconds * 1_000).step_by(250).map(ms) {
        done.retain(|(at, order): &(std::time::Duration, RoleChange)| {
            if *at > now {
                return true;
            }
            let listed = fleet.get(order.key).expect("is listed").listed.clone();
            fleet.upsert(ListedUpstream { role: order.role, ..listed });
            false
        });
        if let Some(order) = roles.next_change(now, &ENGINES.into(), fleet, demand) {
            roles.record_ordered(now, &order);
            done.push((now + ms(6_000), order.clone()));
            orders.push(order);
        }
    }
    orders
}

fn prefills(fleet: &Fleet) -> usize {
    fleet
        .service_upstreams(ENGINES)
        .filter(|(_, engine)| engine.listed.role == PoolRole::Prefill)
        .count()
}

fn idle(kv_tokens: u32) -> Demand {
    Demand { prefill_share: None, kv_tokens, has_recent_requests: false }
}

fn share(prefill_share: f64) -> Demand {
    Demand { prefill_share: Some(prefill_share), kv_tokens: 50_000, has_recent_requests: true }
}

macro_rules! splits {
    ($($name:ident: $prefill:literal, $decode:literal, $demand:expr => $after:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = fleet($prefill, $decode);
            let mut roles = RoleBalancer::new(RoleSettings::default());
            run(&mut fleet, &mut roles, 120, $demand);
            let after = prefills(&fleet);
            assert!($after.contains(&after), "{after} prefill engines");
        }
    )*};
}

splits! {
    too_many_prefill_engines: 7, 11, idle(50_000) => 5..=6;
    a_small_pool: 5, 7, idle(58_000) => 4..=4;
    a_large_pool_of_small_memories: 17, 31, idle(38_000) => 10..=12;
    a_pool_that_fits: 5, 13, idle(50_000) => 5..=5;
    long_prompts: 6, 12, share(0.5) => 9..=13;
    long_answers: 6, 12, share(0.05) => 1..=4;
    never_the_last_prefill_engine: 2, 10, share(0.0) => 1..=3;
}

#[test]
fn a_move_of_a_busy_pool_waits_for_the_one_before() {
    let mut fleet = fleet(12, 6);
    let mut roles = RoleBalancer::new(RoleSettings::default());
    let mut moving = 0;
    for now in (0..10_000).step_by(250).map(ms) {
        if let Some(order) = roles.next_change(now, &ENGINES.into(), &fleet, share(0.1)) {
            roles.record_ordered(now, &order);
            moving += 1;
        }
    }
    assert_eq!(moving, 1);
    run(&mut fleet, &mut roles, 1, share(0.1));
}

#[test]
fn a_demand_that_swings_moves_nothing_back_and_forth() {
    let mut fleet = fleet(6, 12);
    let mut roles = RoleBalancer::new(RoleSettings::default());
    let orders: usize = (0..20)
        .map(|turn| {
            let swing = if turn % 2 == 0 { 0.16 } else { 0.24 };
            run(&mut fleet, &mut roles, 3, share(swing)).len()
        })
        .sum();
    assert!(orders <= 1, "{orders}");
}

#[test]
fn a_list_that_changes_is_left_to_settle() {
    let mut roles = RoleBalancer::new(RoleSettings::default());
    for now in 0..20 {
        let fleet = fleet(7 + now, 11);
        let order = roles.next_change(ms(now as u64 * 500), &ENGINES.into(), &fleet, idle(50_000));
        assert_eq!(order, None);
    }
}
