//! Model requests: the order of their steps, and the step that follows each
//! failure.

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::Refusal;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::Prompt;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::BUDGET_SHARE;
use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::harness::upstream;

/// Returns the refusal that a step holds. Panics if the step is not a refusal.
fn refusal(step: Step) -> Refusal {
    match step {
        Step::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn decode_capacity_is_reserved_before_the_prefill() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/stream/1");
    let decode = target(&step);
    assert!(matches!(step, Step::Reserve { tokens: 5_600, .. }), "{step:?}");
    let step = harness.report(key, reserved());
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
    let prefill = target(&step);
    match harness.report(key, Event::Prefilled { handle: "handle".into() }) {
        Step::Decode { target, source: Some(source), reservation, .. } => {
            assert_eq!(target, decode);
            assert_eq!(source.address, prefill.address);
            assert_eq!(reservation.as_deref(), Some("hold"));
        }
        other => panic!("unexpected step {other:?}"),
    }
}

/// Starts a request with a prompt of this size; the memory of an engine holds 50,000 tokens.
fn start_with_prompt(tokens: u32) -> Step {
    let mut harness = Harness::new(default_upstreams());
    let prompt = Prompt { tokens, max_output_tokens: 1_000, output_hint: Some(400) };
    harness.start(IncomingRequest { prompt: Some(prompt), ..incoming("/stream/1") }).1
}

#[test]
fn a_prompt_larger_than_the_memory_of_an_engine_is_refused_at_once() {
    let refused = refusal(start_with_prompt(50_000));
    assert_eq!(refused.reason, RefusalReason::PromptTooLong);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(refused.retry_after, None);
}

#[test]
fn a_prompt_that_nearly_fills_an_engine_reserves_all_of_its_memory() {
    let step = start_with_prompt(49_800);
    assert!(matches!(step, Step::Reserve { tokens: 50_000, .. }), "{step:?}");
}

#[test]
fn without_free_capacity_a_request_is_refused_as_not_run_within_half_of_the_latency_target() {
    let mut harness = Harness::new(default_upstreams());
    let (key, mut step) = harness.start_request("/stream/1");
    let start = harness.now;
    while harness.now < start + ms(2_000) {
        step = match step {
            Step::Reserve { .. } => harness.report(key, Event::ReservationRejected),
            Step::Wait { until } => {
                let wait = until.saturating_sub(harness.now).max(ms(1));
                harness.report_after(wait, key, Event::WaitEnded)
            }
            other => {
                let refusal = refusal(other);
                assert_eq!(refusal.outcome, Outcome::NotRun);
                assert!(refusal.retry_after.is_some());
                assert!(
                    harness.now <= start + ms(460),
                    "refused only after {:?}",
                    harness.now - start
                );
                return;
            }
        };
    }
    panic!("not refused within 2 s, last step {step:?}");
}

#[test]
fn retry_after_is_at_most_a_third_of_the_time_left_to_the_caller() {
    let mut harness = Harness::new(default_upstreams());
    let (key, mut step) = harness.start_request("/stream/1");
    // 12 s of the caller's timeout of 14 s have passed.
    harness.now += ms(12_000);
    loop {
        step = match step {
            Step::Reserve { .. } => harness.report(key, Event::ReservationRejected),
            Step::Wait { until } => {
                harness.report_after(until.saturating_sub(harness.now), key, Event::WaitEnded)
            }
            Step::Refuse(refusal) => {
                let retry_after = refusal.retry_after.expect("the caller may retry");
                assert!(retry_after <= ms(2_000) / 3, "{retry_after:?}");
                return;
            }
            other => panic!("unexpected step {other:?}"),
        };
    }
}

#[test]
fn only_the_first_waiting_request_asks_for_a_reservation() {
    let mut harness = Harness::new(default_upstreams());
    let (first, _) = harness.start_request("/stream/1");
    let (second, step) = harness.start_request("/stream/2");
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
    harness.report(first, reserved());
    assert_eq!(harness.router.take_runnable(), vec![second]);
    let step = harness.report(second, Event::WaitEnded);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn an_engine_that_leaves_during_the_prefill_gets_no_decode() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/stream/1");
    let leaving = target(&step);
    harness.report(key, reserved());
    harness.mark_leaving(&leaving);
    let step = harness.report_after(ms(2_500), key, Event::Prefilled { handle: "handle".into() });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    assert_ne!(target(&step), leaving);
}

#[test]
fn a_prefill_result_is_still_used_when_the_decode_engine_leaves() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/stream/1");
    let leaving = target(&step);
    harness.report(key, reserved());
    harness.mark_leaving(&leaving);
    harness.report_after(ms(90), key, Event::Prefilled { handle: "handle".into() });
    match harness.report(key, reserved()) {
        Step::Decode { target, source: Some(source), .. } => {
            assert_ne!(target, leaving);
            assert_eq!(source.handle, "handle");
        }
        other => panic!("unexpected step {other:?}"),
    }
}

#[test]
fn a_request_that_may_have_run_and_is_not_resumable_is_not_retried() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    let refused = refusal(harness.report(key, Event::Failed(Failure::Broken)));
    assert_eq!(refused.outcome, Outcome::Unknown);
    assert_eq!(refused.retry_after, None);
}

#[test]
fn a_stream_with_status_503_that_is_not_resumable_has_an_unknown_outcome() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    let refused = refusal(harness.report(key, Event::ResponseStarted { status: 503 }));
    assert_eq!(refused.outcome, Outcome::Unknown);
    assert_eq!(refused.retry_after, None);
}

#[test]
fn a_request_that_certainly_did_not_run_is_retried() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    let step = harness.report(key, Event::Failed(Failure::NotRun));
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn an_interrupted_stream_continues_after_its_last_event_at_another_engine() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_decode("/resumable/1");
    let interrupted = target(&step);
    harness.report(key, Event::ResponseStarted { status: 200 });
    let step = harness.report(key, Event::ResponseInterrupted { last_event: Some(12) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    assert_ne!(target(&step), interrupted);
    harness.report(key, reserved());
    match harness.report(key, Event::Prefilled { handle: "next".into() }) {
        Step::Decode { after_event, .. } => assert_eq!(after_event, Some(12)),
        other => panic!("unexpected step {other:?}"),
    }
}

/// Two engines in a row pause: the second pause must not end the response, as no further run
/// is allowed.
#[test]
fn a_pause_of_the_last_run_that_is_allowed_does_not_end_the_response() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/resumable/1");
    let step = harness.report(key, Event::ResponseStarted { status: 200 });
    assert!(
        matches!(step, Step::Relay { idle_timeout } if idle_timeout == Some(ms(600))),
        "{step:?}"
    );
    harness.report(key, Event::ResponseInterrupted { last_event: Some(73) });
    harness.report(key, reserved());
    harness.report(key, Event::Prefilled { handle: "next".into() });
    let step = harness.report(key, Event::ResponseStarted { status: 200 });
    assert!(matches!(step, Step::Relay { idle_timeout } if idle_timeout.is_none()), "{step:?}");
}

#[test]
fn a_stream_interrupted_past_its_latency_target_may_still_wait_for_capacity() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/resumable/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    let step =
        harness.report_after(ms(9_000), key, Event::ResponseInterrupted { last_event: Some(125) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    let step = harness.report(key, Event::ReservationRejected);
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
}

/// Capacity for one request becomes free every 100 ms, while a request arrives
/// every 50 ms. Requests that will not get capacity within the longest wait, 450 ms,
/// are refused when they arrive instead of after the wait.
#[test]
fn a_request_that_will_find_no_capacity_in_time_is_refused_at_once() {
    let mut harness = Harness::new(default_upstreams());
    let mut waiting = std::collections::VecDeque::new();
    let (mut at_once, mut late) = (0, 0);
    for turn in 0..200 {
        harness.now += ms(50);
        let (key, step) = harness.start_request("/stream/1");
        match step {
            Step::Refuse(refused) => {
                assert_eq!(refused.outcome, Outcome::NotRun);
                assert!(refused.retry_after.is_some());
                at_once += 1;
                harness.router.finish(harness.now, key);
            }
            _ => waiting.push_back((key, harness.now)),
        }
        if turn % 2 == 0
            && let Some((served, _)) = waiting.pop_front()
        {
            harness.report(served, reserved());
            harness.router.finish(harness.now, served);
        }
        while waiting.front().is_some_and(|(_, arrived)| harness.now >= *arrived + ms(450)) {
            let (key, _) = waiting.pop_front().expect("a request waits");
            harness.router.finish(harness.now, key);
            late += 1;
        }
    }
    assert!(at_once >= 70, "{at_once} of 200 requests refused at once");
    assert!(late <= 20, "{late} of 200 requests waited and got no reservation");
}

#[test]
fn an_interrupted_stream_reserves_before_new_requests_that_wait() {
    let mut harness = Harness::new(default_upstreams());
    let (started, _) = harness.start_decode("/resumable/1");
    harness.report(started, Event::ResponseStarted { status: 200 });
    let (_, step) = harness.start_request("/stream/2");
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    let (_, step) = harness.start_request("/stream/3");
    assert!(matches!(step, Step::Wait { .. }), "{step:?}");
    let step = harness.report(started, Event::ResponseInterrupted { last_event: Some(5) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

#[test]
fn after_an_unresponsive_engine_another_one_is_asked_even_if_the_wait_is_over() {
    let mut harness = Harness::new(default_upstreams());
    let (key, step) = harness.start_request("/stream/1");
    let unresponsive = target(&step);
    let step = harness.report_after(ms(460), key, Event::Failed(Failure::Silent));
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    assert_ne!(target(&step), unresponsive);
}

#[test]
fn an_interrupted_stream_that_is_not_resumable_is_aborted() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    let step = harness.report(key, Event::ResponseInterrupted { last_event: Some(12) });
    assert_eq!(step, Step::Abort);
}

#[test]
fn without_prefill_engines_the_decode_engine_prefills() {
    let decode_only = vec![upstream("d1", ENGINES, PoolRole::Decode)];
    let mut harness = Harness::new(decode_only);
    let (key, _) = harness.start_request("/stream/1");
    let step = harness.report(key, reserved());
    assert!(matches!(step, Step::Decode { source: None, .. }), "{step:?}");
}

#[test]
fn a_reservation_that_a_finished_request_still_holds_is_cleaned_up() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_request("/stream/1");
    harness.report(key, reserved());
    harness.router.finish(harness.now, key);
    assert_eq!(harness.router.take_cleanups().len(), 1);
    assert_eq!(harness.router.open_requests(), 0);
}

#[test]
fn a_waiting_request_that_ends_makes_the_next_one_runnable() {
    let mut harness = Harness::new(default_upstreams());
    let (first, _) = harness.start_request("/stream/1");
    let (second, _) = harness.start_request("/stream/2");
    harness.router.finish(harness.now, first);
    assert_eq!(harness.router.take_runnable(), vec![second]);
}

#[test]
fn a_decode_past_its_deadline_has_an_unknown_outcome() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    let refused = refusal(harness.report_after(ms(14_000), key, Event::DeadlinePassed));
    assert_eq!(refused.reason, RefusalReason::DeadlineExceeded);
    assert_eq!(refused.outcome, Outcome::Unknown);
}

#[test]
fn a_prefill_that_times_out_is_retried_at_another_engine() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_request("/stream/1");
    let step = harness.report(key, reserved());
    let first_engine = target(&step);
    let Step::Prefill { timeout, .. } = step else { panic!("{step:?}") };
    assert!(timeout < ms(900), "{timeout:?}");
    let step = harness.report_after(timeout, key, Event::Failed(Failure::Silent));
    assert!(matches!(step, Step::Prefill { .. }), "{step:?}");
    assert_ne!(target(&step), first_engine);
}

/// Every prefill times out and is abandoned, as long as the limits of the request and
/// the budget allow it. Then either the last prefill completes late, or no other engine
/// is left and the decode engine prefills the prompt itself.
#[test]
fn prefills_that_time_out_stay_within_the_retry_budget() {
    let mut harness = Harness::new(default_upstreams());
    let mut prefills = 0;
    let mut requests = 0;
    while requests < 60 {
        let (key, _) = harness.start_request("/stream/1");
        let mut step = harness.report(key, reserved());
        while let Step::Prefill { timeout, .. } = step {
            prefills += 1;
            if !harness.router.abandon_prefill(harness.now + timeout, key) {
                step = harness.report(key, Event::Prefilled { handle: "late".into() });
                break;
            }
            step = harness.report(key, Event::Failed(Failure::Silent));
        }
        assert!(matches!(step, Step::Decode { .. }), "{step:?}");
        harness.router.finish(harness.now, key);
        requests += 1;
    }
    assert!(prefills > requests, "no prefill was abandoned");
    // Each request sends at least one prefill; further ones are extra sends.
    let allowed = 0.2 * f64::from(requests) + 50.0 * BUDGET_SHARE;
    assert!(
        f64::from(prefills - requests) <= allowed,
        "{prefills} prefills for {requests} requests"
    );
}

#[test]
fn an_engine_that_rejects_prefills_is_avoided_for_a_while() {
    let mut harness = Harness::new(default_upstreams());
    let mut rejected = 0;
    // Ten requests a second for ten seconds. p1 is changing its role and rejects
    // prefills.
    for _ in 0..100 {
        let (key, _) = harness.start_request("/stream/1");
        let mut step = harness.report(key, reserved());
        while let Step::Prefill { target, .. } = &step {
            step = if target.id == "p1" {
                rejected += 1;
                harness.report(key, Event::Failed(Failure::NotRun))
            } else {
                harness.report(key, Event::Prefilled { handle: "handle".into() })
            };
        }
        harness.router.finish(harness.now, key);
        harness.now += ms(100);
    }
    assert!(rejected <= 10, "p1 rejected {rejected} prefills of 100 requests");
}

#[test]
fn an_engine_that_grants_reservations_but_runs_nothing_is_avoided_for_a_while() {
    let mut harness = Harness::new(default_upstreams());
    let mut rejected = 0;
    // d1 is changing its role: it grants reservations and runs nothing.
    for _ in 0..50 {
        let (key, mut step) = harness.start_request("/stream/1");
        for _ in 0..12 {
            step = match step {
                Step::Reserve { .. } => harness.report(key, reserved()),
                Step::Prefill { .. } => {
                    harness.report(key, Event::Prefilled { handle: "h".into() })
                }
                Step::Decode { ref target, .. } if target.id == "d1" => {
                    rejected += 1;
                    harness.report(key, Event::Failed(Failure::NotRun))
                }
                _ => break,
            };
        }
        harness.router.finish(harness.now, key);
        harness.now += ms(50);
    }
    assert!(rejected <= 6, "d1 rejected {rejected} decodes of 50 requests");
}

#[test]
fn an_engine_whose_prefill_results_cannot_be_fetched_is_avoided() {
    let mut harness = Harness::new(default_upstreams());
    let mut prefills = [("p1", 0), ("p2", 0)];
    // Decode engines cannot fetch the prefill results of p1, only those of p2.
    for _ in 0..40 {
        let (key, _) = harness.start_request("/stream/1");
        let prefill = target(&harness.report(key, reserved()));
        harness.report(key, Event::Prefilled { handle: "handle".into() });
        if prefill.id == "p1" {
            harness.report(key, Event::Failed(Failure::NotRun));
        }
        let count = prefills
            .iter_mut()
            .find(|(id, _)| *id == prefill.id)
            .expect("the prefill ran at p1 or p2");
        count.1 += 1;
        harness.router.finish(harness.now, key);
    }
    assert!(prefills[0].1 <= 3, "prefills at each engine: {prefills:?}");
}
