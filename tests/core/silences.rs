//! Generations whose attempt says nothing for longer than an attempt usually takes, or whose
//! agent is out of touch, and goes on afterwards: their callers get the complete response.

use std::time::Duration;

use bamboodoor::entry::ResponsePart;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::policy::agents::AgentKey;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;

use crate::generation_trial::MAX_ATTEMPTS;
use crate::generation_trial::Phase;
use crate::generation_trial::STEP;
use crate::generation_trial::Trial;

/// Longer than any wait of the entry for a connected agent, shorter than the deadline.
const LONG_SILENCE: Duration = Duration::from_secs(20);
/// Time limit of a generation in the manifest.
const DEADLINE: Duration = Duration::from_secs(60);
/// Longer than `resume_timeout`, shorter than `lease_ttl`.
const SHORT_OUTAGE: Duration = Duration::from_secs(2);
/// Time after which the agent has cancelled what an entry without a connection had sent it.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// What keeps the entry from sending the generation to another agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// The manifest forbids running the generation twice.
    NotIdempotent,
    /// The attempts of the request are used up.
    Attempts,
    /// The retry budget is used up.
    Budget,
}

/// Starts a generation that the entry cannot send elsewhere, and advances it to the phase.
/// Returns the trial, the decode agent and its attempt.
fn without_retry(phase: Phase, obstacle: Obstacle) -> (Trial, (AgentKey, AttemptId)) {
    let mut trial = Trial::new(obstacle != Obstacle::NotIdempotent);
    if obstacle == Obstacle::Budget {
        trial.use_up_budget();
    }
    trial.request(0);
    if obstacle == Obstacle::Attempts {
        for _ in 1..MAX_ATTEMPTS {
            trial.grant();
            trial.fail_transfer();
        }
    }
    let decode = trial.advance_to(phase);
    (trial, decode)
}

/// Plays an attempt that is silent for a while, though it cannot be retried, and then goes on.
fn silence(phase: Phase, obstacle: Obstacle) {
    let (mut trial, decode) = without_retry(phase, obstacle);
    trial.pass(if phase == Phase::Link { SHORT_OUTAGE } else { LONG_SILENCE });
    assert_eq!(trial.refusal(), None, "the response ends though its agent is sound");
    assert!(!trial.is_cancelled(decode.1), "the attempt is cancelled though nothing replaces it");
    trial.go_on(phase, decode);
    assert!(trial.is_complete(), "{:?}", trial.parts);
}

macro_rules! silences {
    ($($name:ident: $phase:ident, $obstacle:ident;)+) => {
        $(
            #[test]
            fn $name() {
                silence(Phase::$phase, Obstacle::$obstacle);
            }
        )+
    };
}

silences! {
    a_silent_prefill_that_may_not_run_twice_is_waited_for: Prefill, NotIdempotent;
    a_silent_prefill_without_attempts_left_is_waited_for: Prefill, Attempts;
    a_silent_prefill_without_a_retry_in_the_budget_is_waited_for: Prefill, Budget;
    a_silent_transfer_that_may_not_run_twice_is_waited_for: Transfer, NotIdempotent;
    a_silent_transfer_without_attempts_left_is_waited_for: Transfer, Attempts;
    a_silent_transfer_without_a_retry_in_the_budget_is_waited_for: Transfer, Budget;
    a_silent_stream_that_may_not_run_twice_is_waited_for: Stream, NotIdempotent;
    a_silent_stream_without_attempts_left_is_waited_for: Stream, Attempts;
    a_silent_stream_without_a_retry_in_the_budget_is_waited_for: Stream, Budget;
    a_stream_out_of_touch_that_may_not_run_twice_is_waited_for: Link, NotIdempotent;
    a_stream_out_of_touch_without_attempts_left_is_waited_for: Link, Attempts;
    a_stream_out_of_touch_without_a_retry_in_the_budget_is_waited_for: Link, Budget;
}

/// An attempt that stays silent ends the response at its deadline, not before, and its memory
/// is given back.
#[test]
fn a_stream_that_stays_silent_ends_at_its_deadline() {
    let (mut trial, decode) = without_retry(Phase::Stream, Obstacle::Budget);
    trial.pass(DEADLINE - STEP);
    assert_eq!(trial.refusal(), None);
    trial.pass(STEP);
    assert_eq!(trial.refusal(), Some(RefusalReason::DeadlineExceeded));
    assert!(trial.is_cancelled(decode.1));
}

/// Past the lease the agent has cancelled the stream, so there is nothing to wait for.
#[test]
fn a_stream_whose_agent_stays_out_of_touch_ends_with_the_lease() {
    let (mut trial, _) = without_retry(Phase::Link, Obstacle::Budget);
    trial.pass(LEASE_TTL - STEP);
    assert_eq!(trial.refusal(), None);
    trial.pass(STEP * 2);
    assert_eq!(trial.refusal(), Some(RefusalReason::RetryBudget));
}

/// Plays an attempt that is silent while the budget allows a retry.
fn replaced(phase: Phase) {
    let mut trial = Trial::new(true);
    trial.request(0);
    let decode = trial.advance_to(phase);
    let requests = trial.sent.len();
    trial.pass(if phase == Phase::Link { SHORT_OUTAGE } else { LONG_SILENCE });
    let asked = trial.sent[requests..]
        .iter()
        .any(|(agent, message)| *agent != decode.0 && matches!(message, ToAgent::Reserve(_)));
    assert!(asked, "another agent is asked");
}

#[test]
fn a_silent_stream_with_a_retry_is_replaced() {
    replaced(Phase::Stream);
}

#[test]
fn a_stream_out_of_touch_with_a_retry_is_replaced() {
    replaced(Phase::Link);
}

/// The budget earns the retry while the silent stream is waited for.
#[test]
fn a_silent_stream_is_replaced_once_the_budget_allows_it() {
    let (mut trial, decode) = without_retry(Phase::Stream, Obstacle::Budget);
    trial.pass(LONG_SILENCE);
    assert!(!trial.is_cancelled(decode.1));
    let waiting = trial.request;
    // Each success earns a tenth of a retry.
    for number in 100..111 {
        trial.request(number);
        let other = trial.advance_to(Phase::Stream);
        trial.token(other, true);
    }
    trial.request = waiting;
    let requests = trial.sent.len();
    trial.pass(Duration::from_secs(2));
    let asked =
        trial.sent[requests..].iter().any(|(_, message)| matches!(message, ToAgent::Reserve(_)));
    assert!(asked, "another agent is asked");
}

/// Longest silence before another agent is asked.
fn silence_before_retry(phase: Phase) -> Duration {
    match phase {
        Phase::Prefill | Phase::Transfer => Duration::from_secs(2),
        Phase::Stream => Duration::from_secs(5),
        Phase::Link => Duration::from_millis(400),
    }
}

/// Plays an attempt that is silent until another agent is asked, whose attempts all fail, and that
/// then goes on.
fn outlives_replacements(phase: Phase) {
    let mut trial = Trial::new(true);
    trial.request(0);
    let decode = trial.advance_to(phase);
    let first_prefill = trial.last_prefill();
    trial.pass(silence_before_retry(phase));
    for _ in 1..MAX_ATTEMPTS {
        if phase == Phase::Prefill {
            assert_ne!(trial.last_prefill(), first_prefill, "another agent is asked");
            trial.fail_prefill();
        } else {
            assert_ne!(trial.last_reserve(), decode, "another agent is asked");
            trial.grant();
            trial.fail_transfer();
        }
    }
    assert_eq!(trial.refusal(), None, "the response ends though its first agent is sound");
    if phase == Phase::Prefill {
        let (agent, id) = first_prefill;
        let reply =
            wire::PrefillReply { id: Some(id), lives_ms: 800, ..wire::PrefillReply::default() };
        trial.deliver(agent, ToEntry::PrefillReply(reply));
        trial.import(decode);
        trial.token(decode, true);
    } else {
        trial.go_on(phase, decode);
    }
    assert!(trial.is_complete(), "{:?}", trial.parts);
}

macro_rules! failed_replacements {
    ($($name:ident: $phase:ident;)+) => {
        $(
            #[test]
            fn $name() {
                outlives_replacements(Phase::$phase);
            }
        )+
    };
}

failed_replacements! {
    a_silent_prefill_outlives_its_replacements: Prefill;
    a_silent_transfer_outlives_its_replacements: Transfer;
    a_silent_stream_outlives_its_replacements: Stream;
    a_stream_out_of_touch_outlives_its_replacements: Link;
}

/// Starts a generation whose stream is silent until another agent has its slot and its prefill.
/// Returns the trial, and decode agent and attempt of the silent stream and of the newer one.
fn with_replacement() -> (Trial, (AgentKey, AttemptId), (AgentKey, AttemptId)) {
    let mut trial = Trial::new(true);
    trial.request(0);
    let silent = trial.advance_to(Phase::Stream);
    trial.pass(silence_before_retry(Phase::Stream));
    let newer = trial.last_reserve();
    assert_ne!(silent, newer, "another agent is asked");
    trial.grant();
    trial.complete_prefill();
    (trial, silent, newer)
}

#[test]
fn a_silent_stream_is_cancelled_when_its_replacement_brings_a_token() {
    let (mut trial, silent, newer) = with_replacement();
    trial.import(newer);
    assert!(!trial.is_cancelled(silent.1));
    trial.token(newer, false);
    assert!(trial.is_cancelled(silent.1));
    trial.token(newer, true);
    assert!(trial.is_complete() && !trial.is_cancelled(newer.1));
}

#[test]
fn a_silent_stream_that_goes_on_first_has_its_replacement_cancelled() {
    let (mut trial, silent, newer) = with_replacement();
    trial.import(newer);
    trial.token(silent, false);
    assert!(trial.is_cancelled(newer.1));
    // A token of the cancelled attempt, already on its way.
    trial.token(newer, false);
    trial.next_index -= 1;
    trial.token(silent, true);
    assert!(trial.is_complete() && !trial.is_cancelled(silent.1));
    let tokens = trial.parts.iter().filter(|part| matches!(part, ResponsePart::Token { .. }));
    assert_eq!(tokens.count() as u32, trial.next_index);
}

#[test]
fn a_caller_that_leaves_has_both_streams_cancelled() {
    let (mut trial, silent, newer) = with_replacement();
    let mut out = Vec::new();
    trial.core.caller_disconnected(trial.now, trial.request, &mut out);
    trial.record(out);
    assert!(trial.is_cancelled(silent.1) && trial.is_cancelled(newer.1));
}

/// The agent cancels streams that a resume message does not name.
#[test]
fn a_silent_stream_is_named_when_its_agent_reconnects() {
    let (mut trial, silent, _) = with_replacement();
    trial.disconnect(silent.0);
    trial.pass(STEP);
    trial.reconnect();
    let named = trial.sent.iter().any(|(agent, message)| match message {
        ToAgent::Resume(resume) if *agent == silent.0 => {
            resume.points.iter().any(|point| point.id == Some(silent.1))
        }
        _ => false,
    });
    assert!(named);
    trial.token(silent, true);
    assert!(trial.is_complete(), "{:?}", trial.parts);
}

#[test]
fn a_silent_stream_that_fails_leaves_its_replacement_alone() {
    let (mut trial, (agent, id), newer) = with_replacement();
    let failed = wire::StreamFailed { id: Some(id), reason: "stopped".to_string() };
    trial.deliver(agent, ToEntry::StreamFailed(failed));
    trial.import(newer);
    trial.token(newer, true);
    assert!(trial.is_complete() && !trial.is_cancelled(newer.1));
}

/// The agent that is asked for a slot replies later than usual, and no other one may be asked.
#[test]
fn a_late_reservation_of_a_generation_that_has_run_is_waited_for() {
    let mut trial = Trial::new(true);
    trial.request(0);
    for _ in 1..MAX_ATTEMPTS {
        trial.advance_to(Phase::Transfer);
        trial.fail_transfer();
    }
    let decode = trial.last_reserve();
    trial.pass(SHORT_OUTAGE);
    assert_eq!(trial.refusal(), None, "the request is refused though its agent is sound");
    assert_eq!(trial.advance_to(Phase::Stream), decode);
    trial.token(decode, true);
    assert!(trial.is_complete(), "{:?}", trial.parts);
}
