//! Requests that crash the upstreams that run them, and come again at any entry.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::fingerprint::Fingerprint;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::poison::AgedRun;
use bamboodoor::router::poison::CrashedRun;
use bamboodoor::router::poison::Incarnation;
use bamboodoor::router::poison::MAX_CRASHED_RUNS;
use bamboodoor::router::poison::RecordAge;
use bamboodoor::router::poison::Suspect;
use bamboodoor::router::poison::SuspectRecord;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::PromptPartId;
use bamboodoor::router::store_era::StoreEra;

use crate::crash_fleet::Fleet;
use crate::crash_fleet::InFlight;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;

const LOOKUP: &str = "/lookup/1";
const BOOKING: &str = "/booking/1";

/// Returns the fingerprint of a content.
fn content(text: &str) -> Fingerprint {
    Fingerprint::of(&[text.as_bytes()])
}

/// What happened to a request that crashes the upstreams that run it.
#[derive(Debug, Default, PartialEq, Eq)]
struct Arrival {
    crashed_upstreams: usize,
    /// True if it was refused because it crashes upstreams.
    refused_as_poisonous: bool,
}

/// Step at which upstreams crash.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DeadlyStep {
    Prefill,
    Run,
}

impl Fleet {
    /// Starts a request with this content.
    fn arrive(&mut self, entry: usize, path: &str, text: &str) -> (InFlight, Step) {
        self.wait(ms(100));
        let request = IncomingRequest { fingerprint: content(text), ..incoming(path) };
        self.start_request(entry, request)
    }

    /// Runs the deadly request to its end: all upstreams that run it crash.
    fn deadly(&mut self, entry: usize, path: &str) -> Arrival {
        self.deadly_at(entry, path, DeadlyStep::Run)
    }

    fn deadly_at(&mut self, entry: usize, path: &str, deadly_step: DeadlyStep) -> Arrival {
        let (request, mut step) = self.arrive(entry, path, "deadly");
        let mut arrival = Arrival::default();
        loop {
            let is_deadly = match &step {
                Step::Prefill { .. } => deadly_step == DeadlyStep::Prefill,
                Step::Call { .. } | Step::Decode { .. } => true,
                _ => false,
            };
            step = match step {
                step if is_deadly => {
                    arrival.crashed_upstreams += 1;
                    let event = Event::Failed(Failure::Crashed);
                    let next = self.report(request, event);
                    self.list_restarted(&target(&step).id);
                    next
                }
                Step::Reserve { .. } => self.report(request, reserved()),
                Step::Prefill { .. } => {
                    self.report(request, Event::Prefilled { handle: "handle".into() })
                }
                Step::Refuse(refusal) => {
                    let ran = arrival.crashed_upstreams > 0 && deadly_step == DeadlyStep::Run;
                    let outcome = if ran { Outcome::Unknown } else { Outcome::NotRun };
                    assert_eq!(refusal.outcome, outcome);
                    assert_eq!(refusal.retry_after.is_some(), !ran);
                    arrival.refused_as_poisonous =
                        refusal.reason == RefusalReason::PoisonousRequest;
                    break;
                }
                step => panic!("{step:?}"),
            };
        }
        self.finish(request);
        self.share_reports();
        arrival
    }

    /// Sends a request with the content of the deadly one, which is served. Returns false if it
    /// was refused.
    fn serve_lookup(&mut self, entry: usize, text: &str) -> bool {
        let (request, step) = self.arrive(entry, LOOKUP, text);
        if matches!(step, Step::Refuse(_)) {
            self.finish(request);
            return false;
        }
        self.report(request, Event::ResponseStarted { status: 200 });
        self.complete(request);
        true
    }

    /// Has the upstreams of runs of an entry crash that were given up or interrupted. Returns
    /// their number.
    fn crash_unchecked(&mut self, index: usize) -> usize {
        let unchecked = self.entries[index].router.take_unchecked_runs();
        let crashes = unchecked.len();
        for run in unchecked {
            let upstream = run.target.id.clone();
            let entry = &mut self.entries[index];
            entry.router.record_late_crash(entry.now, run);
            self.share_reports();
            self.list_restarted(&upstream);
        }
        crashes
    }

    /// Has an entry read records of the suspects of these runs.
    fn publish_runs(&mut self, index: usize, runs: Vec<AgedRun>) {
        let entry = &mut self.entries[index];
        let mut published: Vec<Suspect> = Vec::new();
        for suspect in runs.iter().flat_map(|aged| &aged.run.suspects) {
            if published.contains(suspect) {
                continue;
            }
            published.push(suspect.clone());
            let with_suspect = runs.iter().filter(|aged| aged.run.suspects.contains(suspect));
            let record = SuspectRecord::Crashed(with_suspect.cloned().collect());
            entry.router.record_suspect(entry.now, suspect.clone(), record, RecordAge::New);
        }
    }

    /// Has the deadly request crash upstreams until it is poisonous.
    fn make_poisonous(&mut self) {
        for arrival in 0..5 {
            let entry = arrival % self.entries.len();
            if self.deadly(entry, BOOKING).refused_as_poisonous {
                return;
            }
        }
        panic!("the request is never poisonous");
    }
}

/// Cases: path, and step at which upstreams crash. The request comes to 20 entries by turns.
macro_rules! crashes_few {
    ($($name:ident: $path:expr, $step:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new(20);
            let arrivals = (0..40).map(|arrival| fleet.deadly_at(arrival % 20, $path, $step));
            let arrivals: Vec<Arrival> = arrivals.collect();
            let crashes: usize = arrivals.iter().map(|it| it.crashed_upstreams).sum();
            assert!((2..=3).contains(&crashes), "{crashes} upstreams crashed");
            assert!(arrivals[5..].iter().all(|it| it.refused_as_poisonous));
        }
    )*};
}

crashes_few! {
    a_lookup_crashes_few_upstreams: LOOKUP, DeadlyStep::Run;
    a_booking_crashes_few_upstreams: BOOKING, DeadlyStep::Run;
    a_stream_crashes_few_engines: "/stream/1", DeadlyStep::Run;
    a_resumable_stream_crashes_few_engines: "/resumable/1", DeadlyStep::Run;
    a_prompt_crashes_few_prefill_engines: "/stream/1", DeadlyStep::Prefill;
}

/// Cases: failures that do not show a crash. However often they happen, the request is sent.
macro_rules! no_evidence {
    ($($name:ident: $failure:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new(3);
            for arrival in 0..20 {
                let (request, step) = fleet.arrive(arrival % 3, BOOKING, "unlucky");
                assert!(matches!(step, Step::Call { .. }), "{step:?}");
                fleet.report(request, Event::Failed($failure));
                fleet.finish(request);
                fleet.share_reports();
            }
            assert_eq!(fleet.store_writes, 0);
        }
    )*};
}

no_evidence! {
    requests_that_were_rejected_are_sent_again: Failure::NotRun;
    requests_at_another_instance_are_sent_again: Failure::OtherInstance;
    requests_whose_responses_were_lost_are_sent_again: Failure::Broken;
    requests_without_a_response_are_sent_again: Failure::Silent;
}

/// A stream that has generated for long is evidence against the request, not its prompt.
#[test]
fn a_stream_that_crashes_its_engine_late_crashes_few_engines() {
    let mut fleet = Fleet::new(3);
    let mut crashes = 0;
    for arrival in 0..20 {
        let (request, step) = fleet.arrive(arrival % 3, "/stream/1", "deadly");
        if let Step::Refuse(refusal) = step {
            assert_eq!(refusal.reason, RefusalReason::PoisonousRequest);
            fleet.finish(request);
            continue;
        }
        fleet.respond(request);
        fleet.events(request, 30);
        fleet.end_connection(request);
        crashes += 1;
    }
    assert!((2..=3).contains(&crashes), "{crashes} engines crashed");
}

/// The upstreams crash after the entry has gone on to the next one, or has given the request up.
#[test]
fn a_lookup_that_is_given_up_before_its_upstreams_crash_crashes_few() {
    let mut fleet = Fleet::new(3);
    let mut crashes = 0;
    for arrival in 0..20 {
        let entry = arrival % 3;
        let (request, step) = fleet.arrive(entry, LOOKUP, "deadly");
        if matches!(step, Step::Call { .. }) {
            assert!(fleet.repeat_call(request));
            let step = fleet.report(request, Event::CallOverdue);
            assert!(matches!(step, Step::Call { .. }), "{step:?}");
            fleet.report(request, Event::DeadlinePassed);
        }
        fleet.finish(request);
        crashes += fleet.crash_unchecked(entry);
    }
    assert!((2..=3).contains(&crashes), "{crashes} upstreams crashed");
}

/// Cases: event that ends the run of a booking or stream before its upstream crashes; none if its
/// caller disconnects.
macro_rules! late_crash {
    ($($name:ident: $path:literal, $event:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new(3);
            let mut crashes = 0;
            for arrival in 0..20 {
                let entry = arrival % 3;
                let (request, step) = fleet.arrive(entry, $path, "deadly");
                if matches!(step, Step::Reserve { .. }) {
                    fleet.respond(request);
                }
                let end: Option<Event> = $event;
                if let Some(event) = end.filter(|_| !matches!(step, Step::Refuse(_))) {
                    fleet.report(request, event);
                }
                fleet.finish(request);
                crashes += fleet.crash_unchecked(entry);
            }
            assert!((2..=3).contains(&crashes), "{crashes} upstreams crashed");
        }
    )*};
}

late_crash! {
    an_upstream_that_crashes_after_the_deadline_is_evidence: "/booking/1", Some(Event::DeadlinePassed);
    an_upstream_that_crashes_after_the_caller_has_left_is_evidence: "/booking/1", None;
    an_upstream_that_stops_listening_late_is_evidence:
        "/booking/1", Some(Event::Failed(Failure::Broken));
    an_engine_that_crashes_after_the_deadline_is_evidence: "/stream/1", Some(Event::DeadlinePassed);
    an_engine_that_stops_listening_late_is_evidence:
        "/stream/1", Some(Event::ResponseInterrupted { last_event: None });
}

#[test]
fn a_request_that_has_crashed_an_upstream_is_not_given_up() {
    let mut fleet = Fleet::new(2);
    fleet.deadly(0, BOOKING);
    let (request, _) = fleet.arrive(0, LOOKUP, "deadly");
    assert!(!fleet.repeat_call(request));
    let (request, _) = fleet.arrive(0, LOOKUP, "another");
    assert!(fleet.repeat_call(request));
}

/// Upstreams crash now and then for other reasons.
#[test]
fn a_request_that_went_well_at_any_entry_between_two_crashes_is_served() {
    let mut fleet = Fleet::new(4);
    fleet.deadly(0, BOOKING);
    fleet.wait(Duration::from_secs(30));
    assert!(fleet.serve_lookup(1, "deadly"));
    fleet.wait(Duration::from_secs(30));
    fleet.deadly(2, BOOKING);
    fleet.share_reports();
    for entry in 0..4 {
        assert!(fleet.serve_lookup(entry, "deadly"), "entry {entry} refuses");
    }
}

#[test]
fn a_request_that_crashes_upstreams_no_more_is_served_after_a_trial() {
    let mut fleet = Fleet::new(3);
    fleet.make_poisonous();
    fleet.wait(Duration::from_secs(16));
    assert!(!fleet.serve_lookup(1, "deadly"));
    assert!(fleet.serve_lookup(0, "deadly"));
    assert!(fleet.serve_lookup(1, "deadly"));
    assert!(fleet.serve_lookup(2, "deadly"));
    assert!(fleet.suspects.is_empty());
}

/// The lease changes hands all the time, and each holder may try the request.
#[test]
fn a_request_that_keeps_coming_crashes_few_upstreams_whoever_tries_it() {
    let mut fleet = Fleet::new(5);
    let mut crashes = 0;
    for arrival in 0..3_000_usize {
        if arrival % 100 == 0 {
            let holder = arrival / 100 % 5;
            for (index, entry) in fleet.entries.iter_mut().enumerate() {
                let until = if index == holder { Duration::MAX } else { Duration::ZERO };
                entry.router.set_tries_poisonous_until(entry.now, until);
            }
        }
        crashes += fleet.deadly(arrival % 5, LOOKUP).crashed_upstreams;
    }
    // Three, and three retries in five minutes.
    assert!((3..=6).contains(&crashes), "{crashes} upstreams crashed");
}

/// The lease of the entry runs out while the entry is paused; another one has it by then.
#[test]
fn an_entry_whose_lease_ran_out_tries_nothing() {
    let mut fleet = Fleet::new(2);
    fleet.make_poisonous();
    let entry = &mut fleet.entries[0];
    entry.router.set_tries_poisonous_until(entry.now, entry.now + Duration::from_secs(3));
    fleet.wait(Duration::from_secs(20));
    assert_eq!(fleet.deadly(0, BOOKING).crashed_upstreams, 0);
}

#[test]
fn an_entry_that_starts_later_refuses_the_request() {
    let mut fleet = Fleet::new(3);
    fleet.make_poisonous();
    for entry in 0..3 {
        fleet.restart(entry);
        assert!(fleet.deadly(entry, BOOKING).refused_as_poisonous);
    }
}

#[test]
fn an_entry_that_starts_after_the_store_came_back_from_a_copy_refuses_the_request() {
    let mut fleet = Fleet::new(3);
    for entry in &mut fleet.entries {
        entry.router.record_store_era(entry.now, StoreEra(1));
    }
    fleet.make_poisonous();
    fleet.lose_records();
    for entry in &mut fleet.entries {
        entry.router.record_store_era(entry.now, StoreEra(2));
    }
    fleet.share_reports();
    fleet.restart(2);
    assert!(fleet.deadly(2, BOOKING).refused_as_poisonous);
}

#[test]
fn many_crashes_of_other_causes_do_not_push_out_what_crashed_two_upstreams() {
    let mut fleet = Fleet::new(2);
    fleet.make_poisonous();
    let other =
        |number: usize| AgedRun { run: run(number, &format!("other {number}")), age: ms(0) };
    let others = (0..2 * MAX_CRASHED_RUNS).map(other).collect();
    fleet.publish_runs(1, others);
    assert!(fleet.deadly(1, BOOKING).refused_as_poisonous);
}

/// Returns a crashed run of a request with this content at an upstream of its own.
fn run(number: usize, text: &str) -> CrashedRun {
    run_at(&format!("crashed-{number}"), text)
}

/// Returns a crashed run of a request with this content at an upstream.
fn run_at(upstream: &str, text: &str) -> CrashedRun {
    CrashedRun {
        request_id: format!("{text} at {upstream}").into(),
        request: content(text),
        upstream: Incarnation { id: upstream.into(), started_ms: 1 },
        suspects: vec![Suspect::Request(content(text))],
        is_trial: false,
    }
}

/// Requests that ran at the upstreams that another one crashed.
#[test]
fn requests_beside_the_deadly_one_are_served() {
    let mut fleet = Fleet::new(1);
    let at = |upstream, text| AgedRun { run: run_at(upstream, text), age: ms(0) };
    let runs = vec![
        at("a", "deadly"),
        at("a", "beside"),
        at("b", "deadly"),
        at("b", "beside"),
        at("c", "deadly"),
    ];
    fleet.publish_runs(0, runs);
    assert!(fleet.serve_lookup(0, "beside"));
    assert!(!fleet.serve_lookup(0, "deadly"));
}

#[test]
fn requests_of_which_one_crash_has_no_other_reason_are_served() {
    let mut fleet = Fleet::new(1);
    let at = |upstream, text| AgedRun { run: run_at(upstream, text), age: ms(0) };
    let deadly = ["a", "b", "d", "e"].map(|upstream| at(upstream, "deadly"));
    let beside = ["a", "b", "c"].map(|upstream| at(upstream, "beside"));
    let runs = deadly.into_iter().chain(beside).collect();
    fleet.publish_runs(0, runs);
    assert!(fleet.serve_lookup(0, "beside"));
}

#[test]
fn a_request_that_crashed_one_upstream_is_served() {
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.deadly(0, BOOKING).crashed_upstreams, 1);
    assert!(fleet.serve_lookup(0, "deadly") && fleet.serve_lookup(1, "deadly"));
}

/// Two upstreams crash for other reasons just after a run went well at one entry.
#[test]
fn a_request_that_has_just_gone_well_is_served_and_so_becomes_harmless_everywhere() {
    let mut fleet = Fleet::new(3);
    assert!(fleet.serve_lookup(0, "deadly"));
    fleet.deadly(1, BOOKING);
    fleet.deadly(2, BOOKING);
    assert!(!fleet.serve_lookup(1, "deadly"));
    assert!(fleet.serve_lookup(0, "deadly"));
    assert!(fleet.serve_lookup(1, "deadly") && fleet.serve_lookup(2, "deadly"));
}

#[test]
fn the_crash_of_a_request_that_went_well_lately_is_not_reported() {
    let mut fleet = Fleet::new(1);
    assert!(fleet.serve_lookup(0, "deadly"));
    fleet.wait(Duration::from_secs(5));
    fleet.deadly(0, BOOKING);
    assert_eq!(fleet.store_writes, 0);
}

#[test]
fn a_record_that_is_written_again_after_a_run_went_well_revives_no_crash() {
    let mut fleet = Fleet::new(1);
    let runs: Vec<AgedRun> =
        ["a", "b"].map(|upstream| AgedRun { run: run_at(upstream, "x"), age: ms(0) }).into();
    fleet.publish_runs(0, runs.clone());
    assert!(!fleet.serve_lookup(0, "x"));
    let entry = &mut fleet.entries[0];
    let suspect = Suspect::Request(content("x"));
    entry.router.record_suspect(entry.now, suspect, SuspectRecord::Harmless, RecordAge::New);
    fleet.wait(Duration::from_secs(20));
    fleet.publish_runs(0, runs);
    assert!(fleet.serve_lookup(0, "x"));
}

/// The first crash was at another entry, before the run that went well.
#[test]
fn a_crash_before_a_run_that_went_well_is_not_published() {
    let mut fleet = Fleet::new(2);
    fleet.deadly(1, BOOKING);
    fleet.wait(Duration::from_secs(30));
    assert!(fleet.serve_lookup(0, "deadly"));
    fleet.wait(Duration::from_secs(30));
    fleet.deadly(0, BOOKING);
    assert!(fleet.suspects.is_empty());
    assert_eq!(fleet.store_writes, 2);
}

#[test]
fn one_of_the_entries_that_know_says_that_a_suspect_is_harmless() {
    let mut fleet = Fleet::new(4);
    fleet.deadly(0, BOOKING);
    fleet.wait(Duration::from_secs(30));
    assert!(fleet.serve_lookup(2, "deadly") && fleet.serve_lookup(3, "deadly"));
    fleet.wait(Duration::from_secs(30));
    fleet.deadly(1, BOOKING);
    fleet.share_reports();
    // Two reports, one record, and its removal.
    assert_eq!(fleet.store_writes, 4);
}

/// A deadly request that comes again says nothing about others with the same prompt parts, also
/// if one of them ran beside it once.
#[test]
fn a_part_of_a_deadly_prompt_is_not_to_blame() {
    let part = Suspect::Part(PromptPartId("c0".into()));
    let with_part = |upstream, text| {
        let run = run_at(upstream, text);
        let suspects = run.suspects.iter().cloned().chain([part.clone()]).collect();
        AgedRun { run: CrashedRun { suspects, ..run }, age: ms(0) }
    };
    let mut runs: Vec<AgedRun> =
        ["a", "b", "c", "d"].map(|upstream| with_part(upstream, "deadly")).into();
    runs.push(with_part("a", "beside"));
    let mut fleet = Fleet::new(1);
    fleet.publish_runs(0, runs);
    let (request, step) = fleet.start(0, &["c0"]);
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    fleet.finish(request);
}

/// The clock of the entry that reported is 400 s behind; the suspect went well 100 s ago.
#[test]
fn a_run_that_went_well_before_the_crashes_is_not_taken_for_a_later_one() {
    let mut fleet = Fleet::new(1);
    fleet.wait(Duration::from_secs(1_000));
    assert!(fleet.serve_lookup(0, "deadly"));
    fleet.wait(Duration::from_secs(100));
    let age = Duration::from_secs(400);
    let runs = (0..2).map(|number| AgedRun { run: run(number, "deadly"), age }).collect();
    fleet.publish_runs(0, runs);
    assert!(!fleet.serve_lookup(0, "deadly"));
}

#[test]
fn a_request_is_not_tried_while_a_trial_is_in_flight() {
    let mut fleet = Fleet::new(1);
    fleet.make_poisonous();
    fleet.wait(Duration::from_secs(16));
    let (_, trial) = fleet.arrive(0, LOOKUP, "deadly");
    assert!(matches!(trial, Step::Call { .. }), "{trial:?}");
    assert!(!fleet.serve_lookup(0, "deadly"));
}

/// The clock of the entry that reported is 400 s behind.
#[test]
fn a_suspect_that_has_just_been_published_is_believed_whatever_the_clocks_say() {
    let mut fleet = Fleet::new(1);
    let entry = &mut fleet.entries[0];
    entry.now += Duration::from_secs(1_000);
    let age = Duration::from_secs(400);
    let runs = (0..2).map(|number| AgedRun { run: run(number, "deadly"), age }).collect();
    let (suspect, record) = (Suspect::Request(content("deadly")), SuspectRecord::Crashed(runs));
    entry.router.record_suspect(entry.now, suspect, record, RecordAge::New);
    assert!(!fleet.serve_lookup(0, "deadly"));
}

/// Crashes are forgotten after a while; then the store need not hold the suspect either.
#[test]
fn the_entry_that_tries_removes_outdated_suspects_from_the_store() {
    let mut fleet = Fleet::new(2);
    fleet.make_poisonous();
    assert_eq!(fleet.suspects.len(), 1);
    fleet.wait(Duration::from_secs(301));
    fleet.deadly(1, BOOKING);
    let holder = &mut fleet.entries[0];
    holder.router.set_tries_poisonous_until(holder.now, Duration::MAX);
    fleet.share_reports();
    assert!(fleet.suspects.is_empty());
}

/// One store call for each crash that ended a request, and none for one that was retried well.
#[test]
fn crashes_of_other_causes_take_few_calls_to_the_store() {
    let mut fleet = Fleet::new(5);
    for number in 0..50 {
        let (request, step) = fleet.arrive(number % 5, LOOKUP, &format!("lookup {number}"));
        fleet.report(request, Event::Failed(Failure::Crashed));
        fleet.list_restarted(&target(&step).id);
        fleet.report(request, Event::ResponseStarted { status: 200 });
        fleet.complete(request);
    }
    assert_eq!(fleet.store_writes, 0);
    for number in 0..50 {
        let (request, step) = fleet.arrive(number % 5, BOOKING, &format!("booking {number}"));
        fleet.report(request, Event::Failed(Failure::Crashed));
        fleet.list_restarted(&target(&step).id);
        fleet.finish(request);
        fleet.share_reports();
    }
    assert_eq!(fleet.store_writes, 50);
}
