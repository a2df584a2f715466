//! Client accounts: their keys, and what a configuration may say about them.

use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::accounts::Account;
use bamboodoor::router::accounts::AccountEntry;
use bamboodoor::router::accounts::Accounts;
use bamboodoor::router::accounts::AccountsError;
use bamboodoor::router::accounts::ApiKey;
use bamboodoor::router::accounts::Caller;
use bamboodoor::router::accounts::Quota;
use bamboodoor::router::accounts::QuotaUnit;
use bamboodoor::router::configuration::Configuration;
use bamboodoor::router::configuration::Route;
use bamboodoor::router::request::IncomingRequest;

use crate::harness::DESK;
use crate::harness::Harness;
use crate::harness::default_configuration;
use crate::harness::default_upstreams;
use crate::harness::incoming;
use crate::harness::reserved;
use crate::harness::route;

/// Returns an account with these keys, without a quota or a priority.
pub fn entry(name: &str, keys: &[&str]) -> AccountEntry {
    AccountEntry {
        account: Account { name: name.into(), ..Account::default() },
        keys: keys.iter().map(|key| ApiKey::new(*key)).collect(),
    }
}

/// Returns a request for a path with a key.
pub fn keyed(path: &str, key: &str) -> IncomingRequest {
    IncomingRequest { api_key: Some(ApiKey::new(key)), ..incoming(path) }
}

fn with_accounts(version: u64, entries: Vec<AccountEntry>) -> Configuration {
    let mut configuration = default_configuration();
    configuration.version = version;
    configuration.routes.push(Route { public: true, ..route("/public/", DESK) });
    configuration.accounts = Accounts::new(entries).expect("they are valid");
    configuration
}

fn harness(entries: Vec<AccountEntry>) -> Harness {
    let mut harness = Harness::new(default_upstreams());
    harness.router.configure(with_accounts(10, entries));
    harness
}

/// Name of the account of an accepted request; empty without one.
fn account_of(harness: &mut Harness, incoming: IncomingRequest) -> String {
    let key = harness.accept(incoming);
    let request = harness.router.request(key).expect("the request is in flight");
    request.caller.account().map(|account| account.name.to_string()).unwrap_or_default()
}

fn refusal(harness: &mut Harness, incoming: IncomingRequest) -> Option<RefusalReason> {
    let now = harness.now;
    harness.router.accept_request(now, incoming).err().map(|refusal| refusal.reason)
}

#[test]
fn a_request_belongs_to_the_account_that_holds_its_key() {
    let mut harness = harness(vec![entry("first", &["a", "b"]), entry("second", &["c"])]);
    for (key, account) in [("a", "first"), ("b", "first"), ("c", "second")] {
        assert_eq!(account_of(&mut harness, keyed("/booking/1", key)), account);
    }
}

#[test]
fn a_request_without_a_key_of_an_account_is_refused() {
    let mut harness = harness(vec![entry("first", &["a"])]);
    let unknown = Some(RefusalReason::UnknownApiKey);
    assert_eq!(refusal(&mut harness, incoming("/booking/1")), unknown);
    assert_eq!(refusal(&mut harness, keyed("/booking/1", "A")), unknown);
    assert_eq!(refusal(&mut harness, keyed("/stream/1", "")), unknown);
}

#[test]
fn a_public_route_needs_no_key() {
    let mut harness = harness(vec![entry("first", &["a"])]);
    let key = harness.accept(incoming("/public/1"));
    let caller = harness.router.request(key).map(|request| request.caller.clone());
    assert_eq!(caller, Some(Caller::Anonymous));
    assert_eq!(account_of(&mut harness, keyed("/public/1", "other")), "");
    assert_eq!(account_of(&mut harness, keyed("/public/1", "a")), "first");
}

#[test]
fn without_accounts_no_route_needs_a_key() {
    let mut harness = harness(Vec::new());
    let key = harness.accept(keyed("/booking/1", "any"));
    let caller = harness.router.request(key).map(|request| request.caller.clone());
    assert_eq!(caller, Some(Caller::Unchecked));
}

#[test]
fn the_priority_of_an_account_goes_before_that_of_the_route() {
    let urgent = AccountEntry {
        account: Account { name: "urgent".into(), priority: Some(0), quota: None },
        keys: vec![ApiKey::new("u")],
    };
    let mut harness = harness(vec![urgent, entry("plain", &["p"])]);
    for (key, expected) in [("u", 0), ("p", 1)] {
        let (key, step) = harness.start(keyed("/stream/1", key));
        assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
        harness.report(key, reserved());
        let step = harness.report(key, Event::Prefilled { handle: "handle".into() });
        let Step::Decode { priority, .. } = step else { panic!("{step:?}") };
        assert_eq!(priority, expected);
    }
}

/// Two configurations within a second: the key is withdrawn, then given to another account.
#[test]
fn a_key_that_was_given_to_another_account_belongs_to_that_one_only() {
    let mut harness = harness(vec![entry("first", &["a"]), entry("second", &[])]);
    let earlier = harness.accept(keyed("/booking/1", "a"));
    let withdrawn = with_accounts(11, vec![entry("first", &[]), entry("second", &[])]);
    harness.router.configure(withdrawn);
    assert_eq!(refusal(&mut harness, keyed("/booking/1", "a")), Some(RefusalReason::UnknownApiKey));
    let given = with_accounts(12, vec![entry("first", &[]), entry("second", &["a"])]);
    harness.router.configure(given);
    assert_eq!(account_of(&mut harness, keyed("/booking/1", "a")), "second");
    // Who sent a request is decided when it is accepted.
    let request = harness.router.request(earlier).expect("the request is in flight");
    assert_eq!(request.caller.account().map(|account| account.name.as_str()), Some("first"));
}

#[test]
fn a_configuration_that_is_older_brings_no_key_back() {
    let mut harness = harness(vec![entry("first", &["a"])]);
    harness.router.configure(with_accounts(12, vec![entry("first", &["b"])]));
    assert!(!harness.router.configure(with_accounts(11, vec![entry("first", &["a"])])));
    assert_eq!(refusal(&mut harness, keyed("/booking/1", "a")), Some(RefusalReason::UnknownApiKey));
}

#[test]
fn a_name_stands_only_once() {
    let error = Accounts::new(vec![entry("first", &["a"]), entry("first", &["b"])]).err();
    assert_eq!(error, Some(AccountsError::DuplicateName("first".into())));
}

#[test]
fn a_key_belongs_to_one_account_only() {
    let error = Accounts::new(vec![entry("first", &["a"]), entry("second", &["a"])]).err();
    assert_eq!(error, Some(AccountsError::DuplicateKey("first".into(), "second".into())));
}

#[test]
fn a_key_may_stand_twice_in_one_account() {
    assert!(Accounts::new(vec![entry("first", &["a", "a"])]).is_ok());
}

macro_rules! invalid_quotas {
    ($($name:ident: $rate_per_s:expr, $burst:expr;)*) => { $(
        #[test]
        fn $name() {
            let mut invalid = entry("first", &["a"]);
            let (rate_per_s, burst) = ($rate_per_s, $burst);
            invalid.account.quota = Some(Quota { unit: QuotaUnit::Requests, rate_per_s, burst });
            let error = Accounts::new(vec![invalid]).err();
            assert_eq!(error, Some(AccountsError::InvalidQuota("first".into())));
        }
    )* };
}

invalid_quotas! {
    a_rate_is_not_negative: -1.0, 1.0;
    a_burst_is_not_negative: 1.0, -1.0;
    a_rate_is_a_number: f64::NAN, 1.0;
    a_burst_is_finite: 1.0, f64::INFINITY;
}

#[test]
fn no_text_about_a_request_or_a_configuration_contains_a_key() {
    const SECRET: &str = "s3cr3t-key";
    let entries = || vec![entry("first", &[SECRET])];
    let mut harness = harness(entries());
    let request = keyed("/booking/1", SECRET);
    let mut texts = vec![format!("{request:?}"), format!("{:?}", with_accounts(10, entries()))];
    let key = harness.accept(request);
    texts.push(format!("{:?}", harness.router.request(key)));
    texts.push(format!("{:?}", harness.router));
    let doubled = vec![entry("first", &[SECRET]), entry("second", &[SECRET])];
    let error = Accounts::new(doubled).err().map(|error| error.to_string());
    texts.push(error.expect("the key stands twice"));
    for text in texts {
        assert!(!text.contains(SECRET), "{text}");
    }
}
