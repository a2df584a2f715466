//! Withdrawal of the keys of client accounts, in touch with the store or not.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::Refusal;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Router;
use bamboodoor::router::RouterSettings;
use bamboodoor::router::accounts::Accounts;
use bamboodoor::router::configuration::Configuration;
use bamboodoor::router::configuration::Route;
use bamboodoor::router::follow::Feed;
use bamboodoor::router::follow::FollowBounds;
use bamboodoor::router::follow::ReadTiming;
use bamboodoor::router::key_certainty::ConfigurationRead;
use bamboodoor::router::key_certainty::KeyCertaintyChange;
use bamboodoor::router::store_era::StoreEra;

use crate::accounts::entry;
use crate::accounts::keyed;
use crate::harness::DESK;
use crate::harness::default_configuration;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::route;

/// Time from the withdrawal of a key within which it must be refused.
const LIMIT: Duration = Duration::from_millis(5_000);
/// Path of a route for which callers need a key.
const BOOKING: &str = "/booking/1";
/// Path of a route for which they need none.
const PUBLIC: &str = "/public/1";

/// Returns a configuration in which these keys belong to the account `first`.
fn with_keys(version: u64, keys: &[&str]) -> Configuration {
    let mut configuration = default_configuration();
    configuration.version = version;
    configuration.routes.push(Route { public: true, ..route("/public/", DESK) });
    configuration.accounts = Accounts::new(vec![entry("first", keys)]).expect("they are valid");
    configuration
}

/// Returns a router with a limit and the key `key` that has read no configuration yet.
fn router() -> Router {
    let settings = RouterSettings { key_withdrawal: Some(LIMIT), ..RouterSettings::default() };
    let mut router = Router::new(settings);
    router.configure(with_keys(1, &["key"]));
    router
}

/// Read from `requested_at` to `received_at`, for which the store was to wait for
/// `fruitless_wait`, in milliseconds.
fn read(router: &mut Router, requested_at: u64, received_at: u64, fruitless_wait: u64) {
    router.key_certainty().record_read(&ConfigurationRead {
        requested_at: ms(requested_at),
        received_at: ms(received_at),
        fruitless_wait: ms(fruitless_wait),
    });
}

fn send(router: &mut Router, at: u64, path: &str, key: &str) -> Result<(), Refusal> {
    let key = router.accept_request(ms(at), keyed(path, key))?;
    router.finish(ms(at), key);
    Ok(())
}

fn reason(result: Result<(), Refusal>) -> Option<RefusalReason> {
    result.err().map(|refusal| refusal.reason)
}

fn accepts(router: &mut Router, at: u64) -> bool {
    let result = reason(send(router, at, BOOKING, "key"));
    assert!(matches!(result, None | Some(RefusalReason::KeysUncertain)), "{result:?}");
    result.is_none()
}

/// The key may have been withdrawn just after the time up to which nothing newer existed.
macro_rules! proven_until {
    ($($name:ident: $requested_at:expr, $received_at:expr, $wait:expr => $until:expr;)*) => { $(
        #[test]
        fn $name() {
            let mut router = router();
            read(&mut router, $requested_at, $received_at, $wait);
            assert!(accepts(&mut router, $until + 4_800));
            assert!(!accepts(&mut router, $until + 5_000));
        }
    )* };
}

proven_until! {
    a_read_without_a_wait_proves_the_time_when_it_was_sent: 1_000, 1_400, 0 => 1_000;
    a_fruitless_wait_proves_the_time_of_its_end: 1_000, 3_710, 2_700 => 3_700;
    a_wait_that_the_store_cut_short_proves_the_time_when_it_began: 1_000, 1_900, 2_700 => 1_000;
    a_late_response_to_a_wait_proves_no_more_than_its_end: 1_000, 4_400, 2_700 => 3_700;
}

#[test]
fn an_entry_that_was_frozen_refuses_keys_until_it_has_read_again() {
    let mut router = router();
    read(&mut router, 1_000, 1_010, 0);
    // The response to the read that was in flight is processed after the freeze.
    read(&mut router, 1_010, 20_000, 2_700);
    assert!(!accepts(&mut router, 20_000));
    read(&mut router, 20_001, 20_010, 0);
    assert!(accepts(&mut router, 20_010));
}

#[test]
fn a_keyed_request_is_refused_at_once_as_not_run_with_a_time_to_retry() {
    let mut router = router();
    let refusal = send(&mut router, 10, BOOKING, "key").expect_err("nothing was read");
    assert_eq!(refusal.reason, RefusalReason::KeysUncertain);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after.is_some_and(|wait| !wait.is_zero()));
}

#[test]
fn an_unknown_key_may_be_a_new_one_while_the_entry_is_not_certain() {
    let mut router = router();
    let uncertain = reason(send(&mut router, 10, BOOKING, "new"));
    assert_eq!(uncertain, Some(RefusalReason::KeysUncertain));
    read(&mut router, 10, 20, 0);
    assert_eq!(reason(send(&mut router, 20, BOOKING, "new")), Some(RefusalReason::UnknownApiKey));
}

#[test]
fn public_routes_are_served_without_a_key_while_the_entry_is_not_certain() {
    let mut router = router();
    assert!(router.accept_request(ms(10), incoming(PUBLIC)).is_ok());
    assert_eq!(reason(send(&mut router, 10, PUBLIC, "other")), None);
    // The account would be named to the upstream.
    let known = reason(send(&mut router, 10, PUBLIC, "key"));
    assert_eq!(known, Some(RefusalReason::KeysUncertain));
}

#[test]
fn without_a_limit_keys_are_accepted_however_old_the_configuration_is() {
    let mut router = Router::new(RouterSettings::default());
    router.configure(with_keys(1, &["key"]));
    assert!(accepts(&mut router, 1_000_000));
    assert!(router.is_ready(ms(1_000_000)));
    assert_eq!(router.take_key_certainty_change(ms(1_000_000)), None);
}

#[test]
fn without_accounts_nothing_depends_on_the_certainty() {
    let settings = RouterSettings { key_withdrawal: Some(LIMIT), ..RouterSettings::default() };
    let mut router = Router::new(settings);
    router.configure(default_configuration());
    assert!(accepts(&mut router, 1_000_000));
    assert!(router.is_ready(ms(1_000_000)));
    assert_eq!(router.configuration_poll(ms(1_000_000), ms(2_700)), ms(2_700));
    assert_eq!(router.take_key_certainty_change(ms(1_000_000)), None);
}

#[test]
fn an_entry_is_ready_only_while_it_is_certain() {
    let mut router = router();
    assert!(!router.is_ready(ms(10)));
    read(&mut router, 10, 20, 0);
    assert!(router.is_ready(ms(20)));
    assert!(!router.is_ready(ms(5_010)));
}

#[test]
fn an_entry_all_of_whose_routes_are_public_stays_ready() {
    let mut router = router();
    let mut public = with_keys(2, &["key"]);
    public.routes.iter_mut().for_each(|route| route.public = true);
    router.configure(public);
    assert!(router.is_ready(ms(1_000_000)));
}

#[test]
fn a_newest_configuration_that_cannot_be_decoded_may_withdraw_keys() {
    let mut router = router();
    read(&mut router, 0, 10, 0);
    router.key_certainty().record_readable(false);
    read(&mut router, 1_000, 1_010, 0);
    assert!(accepts(&mut router, 4_000));
    assert!(!accepts(&mut router, 5_000));
    // Only another record can help, so the store need not be asked often.
    assert_eq!(router.configuration_poll(ms(5_000), ms(2_700)), ms(2_700));
    router.key_certainty().record_readable(true);
    read(&mut router, 5_000, 5_010, 0);
    assert!(accepts(&mut router, 5_010));
}

#[test]
fn a_store_that_names_an_era_that_is_over_proves_nothing() {
    let mut router = router();
    router.record_store_era(ms(0), StoreEra(2));
    read(&mut router, 0, 10, 0);
    router.record_store_era(ms(4_010), StoreEra(1));
    read(&mut router, 4_000, 4_010, 0);
    read(&mut router, 4_020, 4_030, 0);
    assert!(!accepts(&mut router, 5_000));
    // The response of the earlier era was under way when another one named the known era.
    router.record_store_era(ms(5_000), StoreEra(2));
    read(&mut router, 4_005, 5_000, 0);
    assert!(!accepts(&mut router, 5_000));
    read(&mut router, 5_000, 5_010, 0);
    assert!(accepts(&mut router, 5_010));
}

#[test]
fn a_store_that_comes_back_from_an_older_copy_brings_no_withdrawn_key_back() {
    let mut router = router();
    router.record_store_era(ms(0), StoreEra(1));
    router.configure(with_keys(2, &[]));
    router.record_store_era(ms(100), StoreEra(2));
    assert!(!router.configure(with_keys(1, &["key"])));
    read(&mut router, 100, 110, 0);
    assert_eq!(reason(send(&mut router, 110, BOOKING, "key")), Some(RefusalReason::UnknownApiKey));
}

#[test]
fn a_change_is_reported_once_with_the_age_and_the_number_of_refused_requests() {
    let mut router = router();
    read(&mut router, 1_000, 1_010, 0);
    assert_eq!(router.take_key_certainty_change(ms(1_010)), None);
    let lost = KeyCertaintyChange::Lost { age: Some(ms(6_000)) };
    assert_eq!(router.take_key_certainty_change(ms(7_000)), Some(lost));
    assert!(!accepts(&mut router, 7_001));
    assert!(!accepts(&mut router, 7_002));
    assert_eq!(router.take_key_certainty_change(ms(7_003)), None);
    read(&mut router, 7_004, 7_010, 0);
    let regained = KeyCertaintyChange::Regained { refused: 2 };
    assert_eq!(router.take_key_certainty_change(ms(7_010)), Some(regained));
}

/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Plays the reads of a feed for a minute. `lost` says which reads get no response, `changed`
/// which ones end with a record just before their wait does. Returns the number of reads.
fn play_reads(
    router: &mut Router,
    timing: &ReadTiming,
    lost: impl Fn(usize) -> bool,
    changed: impl Fn(usize) -> bool,
) -> usize {
    let mut now = ms(0);
    let mut reads = 0;
    let mut reachable = true;
    while now < Duration::from_secs(60) {
        reads += 1;
        let wait = match reachable {
            true => router.configuration_poll(now, timing.long_poll),
            false => Duration::ZERO,
        };
        reachable = !lost(reads);
        let received_at = now + wait + ANSWER_TIME;
        if reads > 1 {
            assert!(router.is_ready(received_at), "not certain before read {reads} ends");
        }
        if !reachable {
            now += wait + timing.response_timeout + timing.retry_delay;
            assert!(router.is_ready(now), "not certain after read {reads} was lost");
            continue;
        }
        let fruitless_wait = if changed(reads) { ms(0) } else { wait };
        let read = ConfigurationRead { requested_at: now, received_at, fruitless_wait };
        router.key_certainty().record_read(&read);
        now = received_at;
    }
    reads
}

/// Bounds in milliseconds: to apply a configuration, and to refuse a withdrawn key.
macro_rules! ordinary_operation {
    ($($name:ident: $apply:expr, $revoke:expr;)*) => { $(
        #[test]
        fn $name() {
            let bounds = FollowBounds { apply: ms($apply), ..FollowBounds::default() };
            let timing = ReadTiming::of(Feed::Configuration, &bounds);
            let settings =
                RouterSettings { key_withdrawal: Some(ms($revoke)), ..RouterSettings::default() };
            let started = || {
                let mut router = Router::new(settings.clone());
                router.configure(with_keys(1, &["key"]));
                read(&mut router, 0, 0, 0);
                router
            };
            play_reads(&mut started(), &timing, |_| false, |_| false);
            play_reads(&mut started(), &timing, |read| read % 4 == 0, |_| false);
            play_reads(&mut started(), &timing, |_| false, |read| read % 3 == 0);
            play_reads(&mut started(), &timing, |read| read % 3 == 0, |read| read % 3 == 2);
        }
    )* };
}

ordinary_operation! {
    in_ordinary_operation_keys_are_accepted_with_3_s_to_apply_and_5_s_to_withdraw: 3_000, 5_000;
    in_ordinary_operation_keys_are_accepted_with_3_s_to_apply_and_3_s_to_withdraw: 3_000, 3_000;
    in_ordinary_operation_keys_are_accepted_with_10_s_to_apply_and_5_s_to_withdraw: 10_000, 5_000;
    in_ordinary_operation_keys_are_accepted_with_2_s_to_apply_and_2_s_to_withdraw: 2_000, 2_000;
}

#[test]
fn the_certainty_takes_no_more_reads_than_new_configurations_do() {
    let bounds = FollowBounds { apply: ms(3_000), ..FollowBounds::default() };
    let timing = ReadTiming::of(Feed::Configuration, &bounds);
    let with_accounts = play_reads(&mut router(), &timing, |_| false, |_| false);
    let mut without = router();
    without.configure(Configuration { version: 2, ..default_configuration() });
    let without_accounts = play_reads(&mut without, &timing, |_| false, |_| false);
    // The first one does not wait long, as nothing has been read before.
    assert!(with_accounts <= without_accounts + 1, "{with_accounts}, {without_accounts} without");
}
