//! The retry budget: entries that know nothing of each other keep to the whole.

use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::budget::RetryWindow;

use crate::scene::ms;

fn limits() -> BudgetLimits {
    BudgetLimits { ratio: 0.2, window: ms(10_000), allowance: 48.0 }
}

/// The window of one entry of sixteen.
fn window() -> RetryWindow {
    let mut window = RetryWindow::new(limits());
    window.set_share(1.0 / 16.0);
    window
}

/// Extra sends granted of `wanted`, after `requests`.
fn granted(window: &mut RetryWindow, requests: u32, wanted: u32) -> u32 {
    for _ in 0..requests {
        window.record_request(ms(0));
    }
    (0..wanted).filter(|_| window.try_spend(ms(1), 1)).count() as u32
}

#[test]
fn the_ratio_and_a_share_of_the_allowance_are_granted() {
    // Four fifths of 0.2 x 100 + 48 / 16.
    assert_eq!(granted(&mut window(), 100, 1_000), 18);
}

#[test]
fn all_entries_together_keep_to_the_whole() {
    let total: u32 = (0..16).map(|_| granted(&mut window(), 50, 1_000)).sum();
    let whole = 0.2 * 50.0 * 16.0 + 48.0;
    assert!(f64::from(total) <= whole, "{total} of {whole}");
}

#[test]
fn a_send_counts_until_the_window_has_passed() {
    let mut window = window();
    assert_eq!(granted(&mut window, 0, 10), 2);
    assert!(!window.try_spend(ms(9_999), 1));
    assert!(window.try_spend(ms(10_001), 1));
}

#[test]
fn without_a_share_the_ratio_is_left() {
    let mut window = RetryWindow::new(limits());
    assert_eq!(granted(&mut window, 50, 1_000), 8);
}

#[test]
fn sends_that_belong_together_are_granted_together_or_not_at_all() {
    let mut window = window();
    for _ in 0..5 {
        window.record_request(ms(0));
    }
    // Four fifths of 0.2 x 5 + 48 / 16.
    assert!(window.try_spend(ms(0), 2));
    assert!(!window.try_spend(ms(0), 2));
    assert!(window.try_spend(ms(0), 1));
}

#[test]
fn sends_that_turn_out_to_be_extra_ones_are_taken_from_the_rest() {
    let mut window = window();
    for _ in 0..100 {
        window.record_request(ms(0));
    }
    for _ in 0..18 {
        window.charge(ms(0));
    }
    assert!(!window.allows(ms(0), 1));
}
