//! Retry budget: entries that do not coordinate stay within the total together.

use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::budget::WindowedRetryBudget;

use crate::harness::ms;

fn limits() -> BudgetLimits {
    BudgetLimits { ratio: 0.2, window: ms(10_000), allowance: 48.0 }
}

/// Returns the budget of one of sixteen entries.
fn budget() -> WindowedRetryBudget {
    let mut budget = WindowedRetryBudget::new(limits());
    budget.set_share(1.0 / 16.0);
    budget
}

/// Returns how many of `wanted` extra sends are granted after `requests`.
fn granted(budget: &mut WindowedRetryBudget, requests: u32, wanted: u32) -> u32 {
    for _ in 0..requests {
        budget.record_request(ms(0));
    }
    (0..wanted).filter(|_| budget.try_spend(ms(1), 1)).count() as u32
}

#[test]
fn the_ratio_and_a_share_of_the_allowance_are_granted() {
    // Four fifths, the spendable share, of 0.2 x 100 + 48 / 16.
    assert_eq!(granted(&mut budget(), 100, 1_000), 18);
}

#[test]
fn all_entries_together_stay_within_the_total_budget() {
    let granted_sends: u32 = (0..16).map(|_| granted(&mut budget(), 50, 1_000)).sum();
    let total_budget = 0.2 * 50.0 * 16.0 + 48.0;
    assert!(f64::from(granted_sends) <= total_budget, "{granted_sends} sends of {total_budget}");
}

#[test]
fn an_extra_send_counts_until_the_window_has_passed() {
    let mut budget = budget();
    assert_eq!(granted(&mut budget, 0, 10), 2);
    assert!(!budget.try_spend(ms(9_999), 1));
    assert!(budget.try_spend(ms(10_001), 1));
}

#[test]
fn without_an_assigned_share_the_ratio_still_applies() {
    let mut budget = WindowedRetryBudget::new(limits());
    assert_eq!(granted(&mut budget, 50, 1_000), 8);
}

#[test]
fn a_group_of_sends_is_granted_completely_or_not_at_all() {
    let mut budget = budget();
    for _ in 0..5 {
        budget.record_request(ms(0));
    }
    // Four fifths, the spendable share, of 0.2 x 5 + 48 / 16.
    assert!(budget.try_spend(ms(0), 2));
    assert!(!budget.try_spend(ms(0), 2));
    assert!(budget.try_spend(ms(0), 1));
}

#[test]
fn sends_that_turn_out_to_be_extra_count_against_the_budget() {
    let mut budget = budget();
    for _ in 0..100 {
        budget.record_request(ms(0));
    }
    for _ in 0..18 {
        budget.charge(ms(0));
    }
    assert!(!budget.allows(ms(0), 1));
}
