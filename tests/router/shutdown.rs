//! Requests that arrive while an entry shuts down, and those that its exit finds.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::Refusal;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::Prompt;
use bamboodoor::router::shutdown::DrainTimes;
use bamboodoor::router::shutdown::Shutdown;
use bamboodoor::router::shutdown::SignalTime;
use bamboodoor::router::shutdown::Standstill;

use crate::harness::HOST;
use crate::harness::Harness;
use crate::harness::default_upstreams;
use crate::harness::ms;

/// Time from the start of the shutdown until the listener closes, and until the exit.
const LISTENER_OPEN: Duration = Duration::from_millis(2_500);
const TIME_TO_EXIT: Duration = Duration::from_millis(7_200);

/// Returns a router whose graceful shutdown has started this long ago.
fn leaving_for(elapsed: Duration) -> Harness {
    let mut harness = Harness::new(default_upstreams());
    let started_at = harness.now;
    harness.router.start_leaving(Shutdown {
        started_at,
        listener_closes_at: started_at + LISTENER_OPEN,
        ends_at: started_at + TIME_TO_EXIT,
    });
    harness.now += elapsed;
    harness
}

/// Has a request arrive with this timeout and, for a model request, this many output tokens.
fn accept(
    harness: &mut Harness,
    path: &str,
    timeout_ms: u64,
    output_tokens: Option<u32>,
) -> Result<(), Refusal> {
    let prompt = output_tokens.map(|tokens| Prompt {
        tokens: 100,
        max_output_tokens: tokens,
        output_hint: Some(tokens),
    });
    let incoming = IncomingRequest {
        host: HOST.into(),
        path: path.into(),
        caller_timeout: Some(ms(timeout_ms)),
        prompt,
        ..IncomingRequest::default()
    };
    harness.router.accept_request(harness.now, incoming).map(|_| ())
}

macro_rules! accepted_while_leaving {
    ($($name:ident: $elapsed_ms:literal, $path:literal, $timeout_ms:literal, $tokens:expr
        => $accepted:literal;)*) => {$(
        /// Guards against a request that is accepted and then cut by the exit, and against one
        /// that is refused though there is time for it.
        #[test]
        fn $name() {
            let mut harness = leaving_for(ms($elapsed_ms));
            let accepted = accept(&mut harness, $path, $timeout_ms, $tokens);
            assert_eq!(accepted.is_ok(), $accepted, "{accepted:?}");
            if let Err(refusal) = accepted {
                assert_eq!(refusal.reason, RefusalReason::ShuttingDown);
                assert_eq!(refusal.outcome, Outcome::NotRun);
                assert!(refusal.retry_after.is_some_and(|wait| wait < ms(100)), "{refusal:?}");
            }
        }
    )*};
}

// The routes have a timeout of 8 s; a token takes 47 ms / 7 before any was seen.
accepted_while_leaving! {
    a_short_stream_before_the_listener_closes: 100, "/stream/1", 8_000, Some(300) => true;
    a_long_stream_at_the_start: 100, "/stream/1", 8_000, Some(700) => true;
    a_long_stream_before_the_listener_closes: 2_400, "/stream/1", 8_000, Some(700) => false;
    a_short_stream_after_the_listener_has_closed: 2_600, "/stream/1", 8_000, Some(70) => false;
    a_stream_whose_deadline_comes_before_the_exit: 2_600, "/stream/1", 4_000, Some(700) => true;
    a_resumable_stream_after_the_listener_has_closed: 5_000, "/resumable/1", 8_000, Some(70) => false;
    a_call_before_the_listener_closes: 2_400, "/booking/1", 8_000, None => true;
    a_call_after_the_listener_has_closed: 2_600, "/booking/1", 8_000, None => true;
    a_call_whose_deadline_comes_before_the_exit: 2_600, "/booking/1", 4_000, None => true;
    a_call_that_is_not_expected_to_end_before_the_exit: 6_900, "/lookup/1", 8_000, None => false;
    a_call_at_the_exit: 7_300, "/booking/1", 1, None => false;
}

#[test]
fn a_request_that_waits_at_the_exit_is_refused_as_not_run() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_request("/stream/1");
    let step = harness.report(key, Event::EntryExits);
    assert!(
        matches!(&step, Step::Refuse(refusal) if refusal.outcome == Outcome::NotRun),
        "{step:?}"
    );
}

macro_rules! outcome_unknown_at_the_exit {
    ($($name:ident: $start:ident, $path:literal;)*) => {$(
        /// Guards against a promise that a request has not run, which an upstream may run.
        #[test]
        fn $name() {
            let mut harness = Harness::new(default_upstreams());
            let (key, _) = harness.$start($path);
            let step = harness.report(key, Event::EntryExits);
            assert!(
                matches!(&step, Step::Refuse(refusal) if refusal.outcome == Outcome::Unknown
                    && refusal.retry_after.is_none()),
                "{step:?}"
            );
        }
    )*};
}

outcome_unknown_at_the_exit! {
    a_call_that_an_upstream_has_is_not_said_not_to_run: start_request, "/booking/1";
    a_stream_that_an_engine_has_is_not_said_not_to_run: start_decode, "/stream/1";
}

#[test]
fn a_stream_that_has_begun_is_cut_at_the_exit() {
    let mut harness = Harness::new(default_upstreams());
    let (key, _) = harness.start_decode("/stream/1");
    harness.report(key, Event::ResponseStarted { status: 200 });
    assert_eq!(harness.report(key, Event::EntryExits), Step::Abort);
}

macro_rules! drain_times {
    ($($name:ident: $grace_ms:literal, $late_ms:literal;)*) => {$(
        /// Guards against final answers after the process may be killed, and against streams that
        /// are cut before the last sixth of the grace period.
        #[test]
        fn $name() {
            let (earliest, grace) = (ms(60_000), ms($grace_ms));
            let latest = earliest + ms($late_ms);
            let times = DrainTimes::new(SignalTime { earliest, latest }, grace);
            let killed_at = earliest + grace;
            assert!(times.shutdown.ends_at + times.final_answer_time < killed_at, "{times:?}");
            assert!(times.shutdown.ends_at > earliest + grace * 5 / 6 - ms(100), "{times:?}");
            assert!(times.cut_at >= latest + grace * 5 / 6, "{times:?}");
            assert!(times.cut_at < times.gives_up_at, "{times:?}");
            assert!(times.gives_up_at < latest + grace, "{times:?}");
            assert!(times.exits_at <= times.cut_at, "{times:?}");
            assert!(times.cut_at < killed_at || $late_ms > 0, "{times:?}");
            assert!(times.shutdown.listener_closes_at <= times.listener_closes_at, "{times:?}");
            assert!(times.listener_closes_at <= times.shutdown.ends_at, "{times:?}");
        }
    )*};
}

drain_times! {
    times_of_a_grace_period_of_1_s: 1_000, 0;
    times_of_a_grace_period_of_4_s: 4_000, 0;
    times_of_a_grace_period_of_4_s_if_sigterm_is_noticed_1_5_s_late: 4_000, 1_500;
    times_of_a_grace_period_of_8_s: 8_000, 0;
    times_of_a_grace_period_of_8_s_if_sigterm_is_noticed_0_5_s_late: 8_000, 500;
    times_of_a_grace_period_of_8_s_if_sigterm_is_noticed_3_s_late: 8_000, 3_000;
    times_of_a_grace_period_of_8_s_if_sigterm_is_noticed_20_s_late: 8_000, 20_000;
    times_of_a_grace_period_of_12_s: 12_000, 0;
    times_of_a_grace_period_of_12_s_if_sigterm_is_noticed_3_s_late: 12_000, 3_000;
}

macro_rules! signal_times {
    ($($name:ident: $run_after_ms:literal, $signal_after_ms:literal => $late_ms:literal;)*) => {$(
        /// Guards against a delay that is taken for shorter than it may be. The process ran at
        /// 10 s, with a timer 250 ms later, and then after so long again.
        #[test]
        fn $name() {
            let mut standstill = Standstill::default();
            let (last, run_at) = (ms(10_000), ms(10_000 + $run_after_ms));
            standstill.note_run(last, last + ms(250), run_at);
            let latest = run_at + ms($signal_after_ms);
            let signal = standstill.signal_time(latest);
            assert_eq!(signal, SignalTime { earliest: latest - ms($late_ms), latest });
        }
    )*};
}

signal_times! {
    a_signal_to_a_process_that_runs_was_just_sent: 251, 0 => 0;
    a_signal_noticed_with_the_end_of_a_standstill_may_be_as_old_as_it: 1_500, 0 => 1_500;
    a_signal_noticed_right_after_a_standstill_may_be_as_old_as_it: 1_500, 50 => 1_550;
    a_signal_long_after_a_standstill_was_just_sent: 1_500, 400 => 0;
    the_delay_after_a_long_standstill_is_not_capped: 9_000, 0 => 9_000;
}
