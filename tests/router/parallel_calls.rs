//! Idempotent calls whose first upstream is slow: they run at a second one as well, and end with
//! the better result of the two.

use bamboodoor::outcome::Outcome;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::Target;
use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::BUDGET_SHARE;
use crate::harness::DESK;
use crate::harness::Harness;
use crate::harness::default_configuration;
use crate::harness::default_upstreams;
use crate::harness::target;
use crate::harness::upstream;

/// What the router does once both upstreams have the call.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    /// It waits for the first upstream.
    AwaitsFirst,
    /// It waits for the second upstream.
    AwaitsSecond,
    /// It refuses the call, with this outcome.
    Refused(Outcome),
    /// It passes a response on.
    Relayed,
}

/// Result of a step, at one upstream or for the request as a whole.
enum Report {
    First(Event),
    Second(Event),
    Request(Event),
}

/// Call that two upstreams have.
struct ParallelCall {
    harness: Harness,
    key: RequestKey,
    first: Target,
    second: Target,
}

impl ParallelCall {
    /// Starts a call at a router whose budget has one send.
    fn start() -> Self {
        let budget =
            BudgetLimits { ratio: 0.0, allowance: 1.0 / BUDGET_SHARE, ..BudgetLimits::default() };
        Self::start_at(Harness::with_budget(
            default_upstreams(),
            0,
            BudgetLimits { share_settling: std::time::Duration::ZERO, ..budget },
        ))
    }

    fn start_at(mut harness: Harness) -> Self {
        let (key, step) = harness.start_request("/lookup/1");
        let first = target(&step);
        let step = exceed_timeout(&mut harness, key, &step).expect("the call is repeated");
        let second = target(&step);
        assert_ne!(first, second);
        Self { harness, key, first, second }
    }

    fn report(&mut self, report: Report) -> Step {
        let event = match report {
            Report::First(event) => self.return_to(self.first.clone(), event),
            Report::Second(event) => self.return_to(self.second.clone(), event),
            Report::Request(event) => event,
        };
        self.harness.report(self.key, event)
    }

    fn return_to(&mut self, upstream: Target, event: Event) -> Event {
        self.harness.router.return_to_call(self.key, upstream.key);
        event
    }

    fn next(&self, step: &Step) -> Next {
        match step {
            Step::AwaitCall { target, .. } if *target == self.first => Next::AwaitsFirst,
            Step::AwaitCall { target, .. } if *target == self.second => Next::AwaitsSecond,
            Step::Refuse(refusal) => Next::Refused(refusal.outcome),
            Step::Relay { .. } => Next::Relayed,
            other => panic!("unexpected step {other:?}"),
        }
    }

    /// Returns the requests that count as open at the first upstream and at the second one.
    fn open_requests(&self) -> [u32; 2] {
        [&self.first, &self.second].map(|target| {
            let upstream = self.harness.router.upstreams().get(target.key);
            upstream.expect("the upstream is listed").open_requests
        })
    }

    /// Ends the call. Returns the extra sends that were spent, and those that are still held.
    fn finish(&mut self) -> (usize, usize) {
        self.harness.router.finish(self.harness.now, self.key);
        let notices = self.harness.router.take_budget_notices();
        let balance = notices.last().expect("the budget was asked").balance;
        (balance.spent, balance.held)
    }
}

/// Lets a call exceed its timeout. Returns the step that follows, or `None` if the entry waits on.
fn exceed_timeout(harness: &mut Harness, key: RequestKey, step: &Step) -> Option<Step> {
    let (Step::Call { timeout, .. } | Step::AwaitCall { timeout, .. }) = step else {
        panic!("{step:?}");
    };
    harness.now += *timeout;
    let repeats = harness.router.repeat_call(harness.now, key);
    repeats.then(|| harness.report(key, Event::CallOverdue))
}

fn failed(failure: Failure) -> Event {
    Event::Failed(failure)
}

fn status(status: u16) -> Event {
    Event::ResponseStarted { status }
}

macro_rules! calls_at_two_upstreams {
    ($($name:ident: $($which:ident $event:expr),+ => $next:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut call = ParallelCall::start();
            assert_eq!(call.open_requests(), [1, 1]);
            let steps = [$(call.report(Report::$which($event))),+];
            let next = call.next(steps.last().expect("a step follows"));
            assert_eq!(next, $next);
            match next {
                Next::AwaitsFirst => assert_eq!(call.open_requests(), [1, 0]),
                Next::AwaitsSecond => assert_eq!(call.open_requests(), [0, 1]),
                Next::Refused(_) | Next::Relayed => {}
            }
            assert_eq!(call.finish(), (1, 0), "the second send costs the budget once");
            assert_eq!(call.open_requests(), [0, 0]);
        }
    )*};
}

calls_at_two_upstreams! {
    a_call_that_the_second_upstream_rejects_waits_for_the_first: Second failed(Failure::NotRun) => Next::AwaitsFirst;
    a_call_that_was_not_sent_to_the_second_upstream_waits_for_the_first: Second failed(Failure::NotSent) => Next::AwaitsFirst;
    a_call_that_the_second_upstream_interrupts_waits_for_the_first: Second failed(Failure::Broken) => Next::AwaitsFirst;
    a_call_that_crashes_the_second_upstream_waits_for_the_first: Second failed(Failure::Crashed) => Next::AwaitsFirst;
    a_call_that_the_second_upstream_has_an_error_for_waits_for_the_first: Second status(500) => Next::AwaitsFirst;
    a_call_that_the_second_upstream_may_not_have_run_waits_for_the_first: Second status(429) => Next::AwaitsFirst;
    a_call_that_the_first_upstream_rejects_waits_for_the_second: First failed(Failure::NotRun) => Next::AwaitsSecond;
    a_call_that_the_first_upstream_interrupts_waits_for_the_second: First failed(Failure::Broken) => Next::AwaitsSecond;
    a_call_that_the_first_upstream_has_an_error_for_waits_for_the_second: First status(500) => Next::AwaitsSecond;
    a_call_is_answered_by_the_first_upstream: First status(200) => Next::Relayed;
    a_call_is_answered_by_the_second_upstream: Second status(404) => Next::Relayed;
    a_call_is_answered_by_the_first_upstream_after_an_error: Second status(500), First status(200) => Next::Relayed;
    a_call_is_answered_by_the_second_upstream_after_a_failure: First failed(Failure::Broken), Second status(200) => Next::Relayed;
    an_error_is_passed_on_if_the_other_upstream_fails: Second status(500), First failed(Failure::Broken) => Next::Relayed;
    an_error_is_passed_on_if_both_upstreams_have_one: First status(500), Second status(500) => Next::Relayed;
    an_error_is_passed_on_at_the_deadline: Second status(500), Request Event::DeadlinePassed => Next::Relayed;
    an_error_is_passed_on_at_the_exit: Second status(500), Request Event::EntryExits => Next::Relayed;
    an_unproven_rejection_is_not_passed_on: Second status(503), First failed(Failure::Broken) => Next::Refused(Outcome::Unknown);
    an_unproven_rejection_is_not_passed_on_at_the_deadline: Second status(429), Request Event::DeadlinePassed => Next::Refused(Outcome::Unknown);
    an_unproven_rejection_is_not_passed_on_at_the_exit: Second status(503), Request Event::EntryExits => Next::Refused(Outcome::Unknown);
    two_rejections_prove_that_a_call_has_not_run: Second failed(Failure::NotRun), First failed(Failure::NotRun) => Next::Refused(Outcome::NotRun);
    one_rejection_does_not_prove_that_a_call_has_not_run: Second failed(Failure::NotRun), First failed(Failure::Broken) => Next::Refused(Outcome::Unknown);
    an_interrupted_call_may_have_run_though_the_other_upstream_rejects_it: First failed(Failure::Broken), Second failed(Failure::NotRun) => Next::Refused(Outcome::Unknown);
    a_call_at_two_upstreams_may_have_run_at_its_deadline: Request Event::DeadlinePassed => Next::Refused(Outcome::Unknown);
    a_call_at_two_upstreams_may_have_run_at_the_exit: Request Event::EntryExits => Next::Refused(Outcome::Unknown);
    a_call_that_one_upstream_rejected_may_have_run_at_its_deadline: Second failed(Failure::NotRun), Request Event::DeadlinePassed => Next::Refused(Outcome::Unknown);
    a_call_that_one_upstream_rejected_may_have_run_at_the_exit: Second failed(Failure::NotRun), Request Event::EntryExits => Next::Refused(Outcome::Unknown);
}

#[test]
fn a_caller_that_leaves_leaves_no_open_request_at_either_upstream() {
    let mut call = ParallelCall::start();
    assert_eq!(call.finish(), (1, 0));
    assert_eq!(call.open_requests(), [0, 0]);
}

/// Returns a router with three upstreams of the plain service, whose lookups may run this often.
fn router_with_three_upstreams(max_runs: u32) -> Harness {
    let mut upstreams = default_upstreams();
    upstreams.push(upstream("s3", DESK, PoolRole::Service));
    let mut harness = Harness::new(upstreams);
    let mut configuration = default_configuration();
    configuration.version += 1;
    configuration.routes.iter_mut().for_each(|route| route.max_runs = max_runs);
    assert!(harness.router.configure(configuration));
    harness
}

#[test]
fn a_call_that_may_run_twice_has_no_third_upstream_while_two_are_open() {
    let mut call = ParallelCall::start_at(router_with_three_upstreams(2));
    assert!(!call.harness.router.repeat_call(call.harness.now, call.key));
    let step = call.report(Report::Second(failed(Failure::Broken)));
    assert_eq!(call.next(&step), Next::AwaitsFirst);
    assert!(!call.harness.router.repeat_call(call.harness.now, call.key));
}

#[test]
fn a_rejected_call_goes_to_a_third_upstream_beside_the_first() {
    let mut call = ParallelCall::start_at(router_with_three_upstreams(2));
    let step = call.report(Report::Second(failed(Failure::NotRun)));
    assert!(matches!(step, Step::Call { .. }), "{step:?}");
    assert_eq!(call.open_requests(), [1, 0]);
    call.second = target(&step);
    let step = call.report(Report::Second(failed(Failure::Broken)));
    assert_eq!(call.next(&step), Next::AwaitsFirst);
    assert_eq!(call.finish(), (2, 0));
}

#[test]
fn a_call_goes_to_no_third_upstream_while_the_second_one_is_in_time() {
    let mut call = ParallelCall::start_at(router_with_three_upstreams(3));
    let step = call.report(Report::First(failed(Failure::Broken)));
    assert_eq!(call.next(&step), Next::AwaitsSecond);
    let step = exceed_timeout(&mut call.harness, call.key, &step).expect("the call is repeated");
    assert!(matches!(step, Step::Call { .. }), "{step:?}");
}

#[test]
fn a_call_that_may_run_three_times_goes_to_a_third_upstream_beside_two_slow_ones() {
    let mut harness = router_with_three_upstreams(3);
    let (key, mut step) = harness.start_request("/lookup/1");
    let mut upstreams = vec![target(&step)];
    while let Some(next) = exceed_timeout(&mut harness, key, &step) {
        upstreams.push(target(&next));
        step = next;
    }
    assert_eq!(upstreams.len(), 3);
    harness.router.return_to_call(key, upstreams[0].key);
    let step = harness.report(key, status(200));
    assert!(matches!(step, Step::Relay { .. }), "{step:?}");
    let open =
        |upstream: &Target| harness.router.upstreams().get(upstream.key).unwrap().open_requests;
    assert_eq!(upstreams.iter().map(open).collect::<Vec<_>>(), [1, 0, 0]);
}

/// Guards against a rejection that is passed on as the error that was kept before it.
#[test]
fn an_error_that_was_kept_is_not_passed_on_after_a_later_rejection() {
    let mut harness = Harness::new(default_upstreams());
    let mut configuration = default_configuration();
    configuration.version += 1;
    configuration.routes.iter_mut().for_each(|route| route.max_runs = 3);
    assert!(harness.router.configure(configuration));
    let mut call = ParallelCall::start_at(harness);
    let step = call.report(Report::Second(status(500)));
    assert_eq!(call.next(&step), Next::AwaitsFirst);
    let listed = upstream("s3", DESK, PoolRole::Service);
    call.harness.apply_record("s3", InstanceState::Present(listed));
    let step = call.report(Report::First(status(503)));
    assert!(matches!(step, Step::Call { .. }), "{step:?}");
    call.second = target(&step);
    // The last response that the entry has is the 503.
    let step = call.report(Report::Second(failed(Failure::Broken)));
    assert_eq!(call.next(&step), Next::Refused(Outcome::Unknown));
}
