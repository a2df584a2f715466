//! Retry budget: how many extra sends one entry may make, so that all entries
//! together stay within the total. An extra send is one beyond the first of a
//! request.

use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::budget::WindowedRetryBudget;

use crate::harness::ms;

fn limits() -> BudgetLimits {
    BudgetLimits { allowance: 48.0, ..BudgetLimits::default() }
}

/// Returns the budget of an entry that has a sixteenth of the allowance.
fn budget() -> WindowedRetryBudget {
    let mut budget = WindowedRetryBudget::new(limits());
    budget.set_share(1.0 / 16.0);
    budget
}

fn try_spend(budget: &mut WindowedRetryBudget, at_ms: u64) -> bool {
    let held = budget.try_hold(ms(at_ms), 1);
    if held {
        budget.spend_held(ms(at_ms), 1);
    }
    held
}

/// Records `requests` requests, then tries `wanted` extra sends one at a time.
/// Returns how many of them the budget allowed.
fn spend_after_requests(budget: &mut WindowedRetryBudget, requests: u32, wanted: u32) -> u32 {
    for _ in 0..requests {
        budget.record_request(ms(0));
    }
    (0..wanted).filter(|_| try_spend(budget, 1)).count() as u32
}

#[test]
fn half_of_the_ratio_and_the_share_of_the_allowance_may_be_spent() {
    // 0.1 x 100 + 48 / 16 = 13.
    assert_eq!(spend_after_requests(&mut budget(), 100, 1_000), 13);
}

#[test]
fn all_entries_together_stay_within_the_total_budget() {
    let allowed_sends: u32 = (0..16).map(|_| spend_after_requests(&mut budget(), 50, 1_000)).sum();
    let total_budget = 0.2 * 50.0 * 16.0 + 48.0;
    assert!(
        f64::from(allowed_sends) <= total_budget,
        "{allowed_sends} extra sends allowed, total budget {total_budget}"
    );
}

#[test]
fn an_extra_send_counts_until_no_window_holds_it_together_with_a_new_one() {
    let mut budget = budget();
    assert_eq!(spend_after_requests(&mut budget, 0, 10), 3);
    // It may have arrived a second after it was made.
    assert!(!try_spend(&mut budget, 11_000));
    assert!(try_spend(&mut budget, 11_001));
}

#[test]
fn without_an_assigned_share_the_ratio_still_applies() {
    let mut budget = WindowedRetryBudget::new(limits());
    assert_eq!(spend_after_requests(&mut budget, 50, 1_000), 5);
}

#[test]
fn several_sends_are_held_together_or_not_at_all() {
    let mut budget = budget();
    // 48 / 16 = 3.
    assert!(budget.try_hold(ms(0), 2));
    assert!(!budget.try_hold(ms(0), 2));
    assert!(budget.try_hold(ms(0), 1));
}

#[test]
fn what_is_held_counts_until_it_is_released_however_long_that_takes() {
    let mut budget = budget();
    assert!(budget.try_hold(ms(0), 3));
    assert!(!budget.try_hold(ms(60_000), 1));
    budget.release(1);
    assert!(budget.try_hold(ms(60_000), 1));
}

#[test]
fn what_is_spent_counts_from_the_send_not_from_when_it_was_held() {
    let mut budget = budget();
    assert!(budget.try_hold(ms(0), 3));
    budget.spend_held(ms(8_000), 3);
    assert!(!budget.try_hold(ms(18_999), 1));
    assert!(budget.try_hold(ms(19_000), 1));
}
