//! Quotas of accounts, which hold over all entries together. The bound is the users': what is
//! admitted in any window of 8 s is at most 1.1 times the quota of the window, plus 190,000.

use std::time::Duration;

use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Router;
use bamboodoor::router::RouterSettings;
use bamboodoor::router::Step;
use bamboodoor::router::accounts::Account;
use bamboodoor::router::accounts::AccountEntry;
use bamboodoor::router::accounts::Accounts;
use bamboodoor::router::accounts::ApiKey;
use bamboodoor::router::accounts::Quota;
use bamboodoor::router::accounts::QuotaUnit;
use bamboodoor::router::configuration::Configuration;
use bamboodoor::router::quota_claims::ClaimBatch;
use bamboodoor::router::quota_claims::ClaimId;
use bamboodoor::router::quota_claims::EntryIncarnation;
use bamboodoor::router::quota_claims::QuotaClaim;
use bamboodoor::router::quotas::QuotaSettings;
use bamboodoor::router::quotas::Quotas;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::store_era::StoreEra;

use crate::harness::default_configuration;
use crate::harness::incoming;
use crate::quota_fleet::ACCOUNT;
use crate::quota_fleet::QuotaFleet;
use crate::quota_fleet::QuotaFleetSettings;
use crate::quota_fleet::accounts;
use crate::quota_fleet::uneven;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
/// Load of an account that sends several times what it usually does.
const HOT: f64 = 4.0;
/// Load that is usual for an account.
const USUAL: f64 = 0.55;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Plays a scenario with several seeds and checks the bound.
fn check(name: &str, settings: QuotaFleetSettings, play: impl Fn(&mut QuotaFleet)) {
    for seed in SEEDS {
        let mut fleet = QuotaFleet::settled(QuotaFleetSettings { seed, ..settings.clone() });
        play(&mut fleet);
        let largest = fleet.largest_window();
        println!(
            "{name} seed {seed}: largest {largest:.3}, used {:.3}, lost {:.4}, refused {}, calls {}",
            fleet.used_part(),
            fleet.lost_part(),
            fleet.refused,
            fleet.store_calls
        );
        assert!(largest <= 1.0, "{name}, seed {seed}: {largest} of what is allowed");
    }
}

macro_rules! quota_kept {
    ($($name:ident: $settings:expr, $play:expr;)*) => {$(
        #[test]
        fn $name() {
            check(stringify!($name), $settings, $play);
        }
    )*};
}

fn default() -> QuotaFleetSettings {
    QuotaFleetSettings::default()
}

fn with_entries(entries: usize) -> QuotaFleetSettings {
    QuotaFleetSettings { weights: uneven(entries), ..default() }
}

fn burst(fleet: &mut QuotaFleet) {
    fleet.run(s(10), USUAL);
    fleet.run(s(12), HOT);
    fleet.run(s(10), USUAL);
}

fn all(fleet: &mut QuotaFleet, change: impl Fn(&mut QuotaFleet, usize)) {
    (0..fleet.len()).for_each(|entry| change(fleet, entry));
}

quota_kept! {
    a_burst_at_one_entry: default(), |fleet| {
        fleet.send_all_to(3);
        burst(fleet);
    };
    a_burst_that_moves_from_one_entry_to_the_next: default(), |fleet| {
        for entry in 0..12 {
            fleet.send_all_to(entry);
            fleet.run(s(2), HOT);
        }
    };
    a_burst_at_5_uneven_entries: with_entries(5), burst;
    a_burst_at_26_uneven_entries: default(), burst;
    a_burst_at_68_uneven_entries: with_entries(68), burst;
    a_burst_of_large_requests: QuotaFleetSettings {
        rate_per_s: 92_874.0,
        units: (200.0, 13_000.0),
        ..default()
    }, burst;
    a_burst_at_68_entries_with_equal_phases: QuotaFleetSettings {
        weights: vec![1.0; 68],
        same_phases: true,
        ..default()
    }, burst;
    a_quota_that_halves_twice: default(), |fleet| {
        fleet.run(s(10), HOT);
        fleet.set_rate(75_000.0);
        fleet.run(s(10), HOT);
        fleet.set_rate(37_500.0);
        fleet.run(s(10), HOT);
    };
    a_quota_that_rises: default(), |fleet| {
        fleet.run(s(10), HOT);
        fleet.set_rate(300_000.0);
        fleet.run(s(15), HOT);
    };
    an_account_that_is_missing_in_one_of_two_configurations_in_a_second: default(), |fleet| {
        fleet.run(s(10), HOT);
        for _ in 0..5 {
            fleet.remove_account();
            fleet.run(Duration::from_millis(500), 0.0);
            fleet.restore_account();
            fleet.run(s(1), HOT);
        }
    };
    killed_entries: default(), |fleet| {
        fleet.run(s(10), HOT);
        for entry in 0..6 {
            fleet.kill(entry * 4);
            fleet.run(s(1), HOT);
            fleet.restart(entry * 4);
            fleet.run(s(1), HOT);
        }
    };
    all_entries_killed_at_once: default(), |fleet| {
        fleet.run(s(10), USUAL);
        fleet.run(s(3), HOT);
        all(fleet, QuotaFleet::kill);
        fleet.run(s(1), HOT);
        all(fleet, QuotaFleet::restart);
        fleet.run(s(12), HOT);
    };
    entries_cut_off_and_back: default(), |fleet| {
        fleet.run(s(5), HOT);
        (20..24).for_each(|entry| fleet.set_reaches_store(entry, false));
        fleet.run(s(12), HOT);
        (20..24).for_each(|entry| fleet.set_reaches_store(entry, true));
        fleet.run(s(10), HOT);
    };
    many_entries_cut_off_for_long: default(), |fleet| {
        (16..26).for_each(|entry| fleet.set_reaches_store(entry, false));
        fleet.run(s(80), HOT);
        (16..26).for_each(|entry| fleet.set_reaches_store(entry, true));
        fleet.run(s(10), HOT);
    };
    all_entries_cut_off: default(), |fleet| {
        all(fleet, |fleet, entry| fleet.set_reaches_store(entry, false));
        burst(fleet);
    };
    frozen_entries: default(), |fleet| {
        fleet.run(s(5), HOT);
        (18..26).for_each(|entry| fleet.set_frozen(entry, true));
        fleet.run(s(6), HOT);
        (18..26).for_each(|entry| fleet.set_frozen(entry, false));
        fleet.run(s(10), HOT);
    };
    added_entries: default(), |fleet| {
        fleet.run(s(10), HOT);
        (0..13).for_each(|_| fleet.add(4.0));
        fleet.run(s(12), HOT);
    };
}

#[test]
fn a_store_that_is_away_from_the_start() {
    for seed in SEEDS {
        let mut fleet = QuotaFleet::new(QuotaFleetSettings { seed, ..default() });
        all(&mut fleet, |fleet, entry| fleet.set_reaches_store(entry, false));
        fleet.run(s(5), USUAL);
        fleet.run(s(20), HOT);
        let largest = fleet.largest_window();
        println!("away seed {seed}: {largest:.3}, lost {:.3}", fleet.lost_part());
        assert!(largest <= 1.0, "seed {seed}: {largest}");
    }
}

/// Plays an account that stays within its quota, and checks that nothing is refused.
fn check_nothing_refused(settings: QuotaFleetSettings, load: f64) {
    for seed in SEEDS {
        let mut fleet = QuotaFleet::settled(QuotaFleetSettings { seed, ..settings.clone() });
        fleet.run(s(60), load);
        println!(
            "inside, seed {seed}, load {load}: lost {:.4}, refused {}, calls {}",
            fleet.lost_part(),
            fleet.refused,
            fleet.store_calls
        );
        assert_eq!(fleet.refused, 0, "seed {seed}: {} refused", fleet.refused);
    }
}

macro_rules! nothing_refused {
    ($($name:ident: $settings:expr, $load:expr;)*) => {$(
        #[test]
        fn $name() {
            check_nothing_refused($settings, $load);
        }
    )*};
}

nothing_refused! {
    an_account_at_a_quarter_of_its_quota: default(), 0.25;
    an_account_at_half_of_its_quota: default(), 0.5;
    an_account_at_its_usual_load: default(), USUAL;
    an_account_at_its_usual_load_at_5_entries: with_entries(5), USUAL;
    an_account_at_its_usual_load_at_68_entries: with_entries(68), USUAL;
    an_account_at_its_whole_rate: default(), 0.95;
}

/// Entry with one account, whose quota lets a window have 1,000 units: 750 for entries to decide
/// alone.
fn quotas(entry: u64) -> Quotas {
    let settings = QuotaSettings { window: s(8), tolerance: 0.0, allowance: 100.0 };
    let mut quotas = Quotas::new(Some(settings), EntryIncarnation(entry));
    quotas.configure(s(1), 1, &accounts(100.0));
    quotas.set_equal_share(s(1), Some(0.25));
    quotas.record_log_read(s(1));
    quotas
}

/// Has the entry use up its part and claim `units`, and returns the claim.
fn claim(quotas: &mut Quotas, now: Duration, units: f64) -> ClaimBatch {
    assert!(quotas.admit(now, ACCOUNT, 187.5).is_ok());
    assert!(quotas.awaits_claim(now, ACCOUNT, units));
    quotas.take_claims().expect("there is a claim")
}

#[test]
fn the_order_of_the_log_decides_on_claims() {
    let (mut first, mut second) = (quotas(1), quotas(2));
    let claims = vec![claim(&mut first, s(2), 150.0), claim(&mut second, s(2), 150.0)];
    for quotas in [&mut first, &mut second] {
        quotas.record_claims(s(2), claims.clone());
    }
    assert!(first.admit(s(2), ACCOUNT, 150.0).is_ok());
    assert!(second.admit(s(2), ACCOUNT, 150.0).is_err());
    assert!(!second.awaits_claim(s(9), ACCOUNT, 150.0), "the pool is in use");
    assert!(second.awaits_claim(s(12), ACCOUNT, 200.0), "the claims have expired");
}

#[test]
fn granted_units_expire() {
    let mut quotas = quotas(1);
    let claims = vec![claim(&mut quotas, s(2), 150.0)];
    quotas.record_claims(s(2), claims);
    assert!(quotas.admit(s(4), ACCOUNT, 150.0).is_err());
}

#[test]
fn a_claim_that_is_read_back_too_late_is_not_granted() {
    let mut quotas = quotas(1);
    let claims = vec![claim(&mut quotas, s(2), 150.0)];
    assert!(!quotas.awaits_claim(s(3), ACCOUNT, 150.0), "the claim is given up");
    quotas.record_claims(s(3), claims);
    assert!(quotas.admit(s(3), ACCOUNT, 150.0).is_err());
}

#[test]
fn a_request_that_does_not_run_gives_its_units_back() {
    let mut quotas = quotas(1);
    assert!(quotas.admit(s(2), ACCOUNT, 150.0).is_ok());
    assert_eq!(quotas.admit(s(3), ACCOUNT, 150.0), Err(s(4)));
    quotas.give_back(ACCOUNT, s(2), 150.0);
    assert!(quotas.admit(s(3), ACCOUNT, 150.0).is_ok());
}

#[test]
fn an_entry_that_starts_while_the_pool_is_in_use_has_no_part_for_a_window() {
    let settings = QuotaSettings { window: s(8), tolerance: 0.0, allowance: 100.0 };
    let mut quotas = Quotas::new(Some(settings), EntryIncarnation(3));
    quotas.configure(s(1), 1, &accounts(100.0));
    quotas.set_equal_share(s(1), Some(0.25));
    let account = ACCOUNT.into();
    let id = ClaimId { entry: EntryIncarnation(1), number: 1 };
    let claims = vec![QuotaClaim { account, units: 10.0 }];
    quotas.record_claims(s(1), vec![ClaimBatch { id, claims }]);
    quotas.record_log_read(s(1));
    assert!(quotas.admit(s(8), ACCOUNT, 100.0).is_err());
    assert!(quotas.admit(s(9), ACCOUNT, 100.0).is_ok());
}

/// Returns a router whose plain routes need a key, and a request with one. The quota lets one
/// entry without an assigned part admit a request at most.
fn router_with_quota(quotas: Option<QuotaSettings>) -> (Router, IncomingRequest) {
    let settings = RouterSettings { zone: "north".into(), quotas, ..RouterSettings::default() };
    let mut router = Router::new(settings);
    let unit = QuotaUnit::Requests;
    let quota = Some(Quota { unit, rate_per_s: 1.0, burst: 0.0 });
    let account = Account { name: ACCOUNT.into(), priority: None, quota };
    let keys = vec![ApiKey::new("key")];
    let accounts = Accounts::new(vec![AccountEntry { account, keys }]).expect("they are valid");
    router.configure(Configuration { accounts, ..default_configuration() });
    router.needs_first_read_of_claims(s(1));
    router.quotas().set_equal_share(s(1), Some(0.25));
    router.quotas().record_log_read(s(1));
    (router, IncomingRequest { api_key: Some(ApiKey::new("key")), ..incoming("/lookup/1") })
}

/// One request in a window for an entry with a quarter of the parts.
const ONE_REQUEST: QuotaSettings =
    QuotaSettings { window: Duration::from_secs(6), tolerance: 0.0, allowance: 0.0 };

#[test]
fn a_request_beyond_the_quota_is_refused_with_a_retry_time() {
    let (mut router, request) = router_with_quota(Some(ONE_REQUEST));
    assert!(router.accept_request(s(2), request.clone()).is_ok());
    let refusal = router.accept_request(s(2), request).expect_err("it is beyond the quota");
    assert_eq!(refusal.reason, RefusalReason::QuotaExceeded);
    assert!(refusal.retry_after.is_some_and(|wait| wait >= s(4)), "{refusal:?}");
}

#[test]
fn a_request_that_finds_no_upstream_gives_its_units_back() {
    let (mut router, request) = router_with_quota(Some(ONE_REQUEST));
    let key = router.accept_request(s(2), request.clone()).expect("it is within the quota");
    assert!(matches!(router.start(s(2), key), Step::Refuse(_)));
    router.finish(s(2), key);
    assert!(router.accept_request(s(2), request).is_ok());
}

#[test]
fn without_settings_quotas_are_not_enforced() {
    let (mut router, request) = router_with_quota(None);
    for _ in 0..5 {
        assert!(router.accept_request(s(2), request.clone()).is_ok());
    }
}

#[test]
fn after_the_store_came_back_older_nothing_is_claimed_until_earlier_claims_have_expired() {
    let (mut router, request) = router_with_quota(Some(ONE_REQUEST));
    router.record_store_era(s(1), StoreEra(1));
    assert!(router.accept_request(s(2), request.clone()).is_ok());
    assert!(router.awaits_quota(s(2), &request));
    router.record_store_era(s(2), StoreEra(2));
    assert!(!router.awaits_quota(s(7), &request));
}
