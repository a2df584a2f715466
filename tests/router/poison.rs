//! Parts of prompts that crash engines.

use std::time::Duration;

use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::fingerprint::Fingerprint;
use bamboodoor::router::poison::AgedRun;
use bamboodoor::router::poison::CrashedRun;
use bamboodoor::router::poison::Incarnation;
use bamboodoor::router::poison::RecordAge;
use bamboodoor::router::poison::Suspect;
use bamboodoor::router::poison::SuspectRecord;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::PromptPartId;

use crate::crash_fleet::Fleet;
use crate::crash_fleet::InFlight;
use crate::crash_fleet::upstreams;
use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::reserved;

/// Part that all prompts begin with.
const COMMON: &str = "c0";
/// Part that crashes engines.
const POISON: &str = "d0";

impl Fleet {
    /// Starts a request and reports its steps until the response starts; `None` if it was refused.
    fn run(&mut self, entry: usize, parts: &[&str]) -> Option<InFlight> {
        self.wait(ms(100));
        let (request, step) = self.start(entry, parts);
        if let Step::Refuse(refusal) = step {
            assert_eq!(refusal.reason, RefusalReason::PoisonousPrompt);
            assert_eq!(refusal.outcome, Outcome::NotRun);
            self.finish(request);
            return None;
        }
        self.respond(request);
        Some(request)
    }

    /// Runs a request whose engine crashes when it begins to generate. Returns false if the
    /// request was refused.
    fn crash(&mut self, entry: usize, parts: &[&str]) -> bool {
        let request = self.run(entry, parts);
        request.map(|request| self.end_connection(request)).is_some()
    }

    /// Runs a request that is served. Returns false if it was refused.
    fn serve(&mut self, entry: usize, parts: &[&str]) -> bool {
        let Some(request) = self.run(entry, parts) else { return false };
        self.events(request, 10);
        self.finish(request);
        self.share_reports();
        true
    }

    /// Runs requests with the poisonous part until it is poisonous.
    fn poison(&mut self) {
        while self.crash(self.last_request as usize % self.entries.len(), &[COMMON, POISON]) {
            assert!(self.last_request < 20, "the part is never poisonous");
        }
    }
}

#[test]
fn requests_with_a_part_that_crashes_engines_are_refused_after_five_crashes() {
    let mut fleet = Fleet::new(1);
    let sent = (0..20).filter(|_| fleet.crash(0, &[COMMON, POISON])).count();
    assert!(sent <= 5, "{sent} requests were sent");
}

#[test]
fn entries_that_see_one_crash_each_learn_of_the_others() {
    let mut fleet = Fleet::new(20);
    let sent = (0..20).filter(|&entry| fleet.crash(entry, &[COMMON, POISON])).count();
    assert!(sent <= 5, "{sent} requests were sent");
}

/// Requests that have only harmless parts in common with the crashed ones are served.
#[test]
fn requests_that_share_the_other_parts_are_served() {
    let mut fleet = Fleet::new(3);
    fleet.poison();
    for entry in 0..3 {
        assert!(fleet.serve(entry, &[COMMON]));
        assert!(fleet.serve(entry, &[COMMON, "e0"]));
        assert!(!fleet.crash(entry, &[COMMON, POISON]));
    }
}

/// A sound stream that had just begun ends with the engine that another request crashes.
#[test]
fn a_harmless_part_of_one_more_crashed_run_is_not_to_blame() {
    let mut fleet = Fleet::new(3);
    fleet.poison();
    assert!(fleet.crash(1, &[COMMON]));
    assert!(fleet.serve(0, &[COMMON]));
    assert!(!fleet.crash(2, &[COMMON, POISON]));
}

#[test]
fn the_part_is_found_whatever_else_the_prompts_hold() {
    let mut fleet = Fleet::new(5);
    let mut sent = 0;
    for number in 0..20_usize {
        let other = format!("o{number}");
        sent += usize::from(fleet.crash(number % 5, &[&other, POISON, "e0"]));
        fleet.serve(number % 5, &["e0"]);
    }
    assert!(sent <= 5, "{sent} requests were sent");
    assert!(fleet.serve(0, &["o0"]) && fleet.serve(1, &["o1", "e0"]));
}

/// The first crashes all have the common part; the next request with the poisonous one has not.
#[test]
fn a_part_that_had_always_the_same_company_costs_two_more_crashes_without_it() {
    let mut fleet = Fleet::new(5);
    fleet.poison();
    let sent = (0..20).filter(|&number| fleet.crash(number % 5, &["o1", POISON])).count();
    assert!(sent <= 2, "{sent} requests were sent");
}

/// Cases of an entry that starts late and reads the log: age of the reports, and whether it
/// refuses a request with the part.
macro_rules! late_entry {
    ($($name:ident: $age_s:literal => $refused:literal;)*) => {$(
        #[test]
        fn $name() {
            let parts = vec![PromptPartId(COMMON.into()), PromptPartId(POISON.into())];
            let age = Duration::from_secs($age_s);
            let runs = (0..3).map(|number: u8| AgedRun {
                run: CrashedRun {
                    request_id: format!("r{number}").into(),
                    request: Fingerprint::of(&[&[number]]),
                    upstream: Incarnation { id: format!("d{number}").into(), started_ms: 1 },
                    suspects: parts.iter().cloned().map(Suspect::Part).collect(),
                    is_trial: false,
                },
                age,
            });
            let runs: Vec<AgedRun> = runs.collect();
            let mut late = Harness::new(upstreams());
            late.now += Duration::from_secs(1_000);
            for part in parts.iter().cloned().map(Suspect::Part) {
                let record = SuspectRecord::Crashed(runs.clone());
                late.router.record_suspect(late.now, part, record, RecordAge::Any);
            }
            let request = IncomingRequest { shared_parts: parts, ..incoming("/stream/1") };
            let (_, step) = late.start(request);
            assert_eq!(matches!(step, Step::Refuse(_)), $refused, "{step:?}");
        }
    )*};
}

late_entry! {
    an_entry_that_starts_late_learns_the_part_from_the_log: 20 => true;
    an_entry_that_starts_late_does_not_believe_old_reports: 301 => false;
}

/// Sound streams end with their engine, too, when others crash it.
#[test]
fn parts_of_streams_that_had_begun_to_arrive_are_harmless() {
    let mut fleet = Fleet::new(2);
    for number in 0..6 {
        let request = fleet.run(number % 2, &["e0"]).expect("the request is not refused");
        fleet.events(request, 4);
        fleet.end_connection(request);
    }
    assert!(fleet.serve(0, &["e0"]));
}

/// They went well too long ago for the memory of sound runs.
#[test]
fn parts_of_long_streams_are_harmless() {
    let mut fleet = Fleet::new(2);
    let streams: Vec<InFlight> =
        (0..6).filter_map(|number| fleet.run(number % 2, &["e0"])).collect();
    for stream in &streams {
        fleet.events(*stream, 10);
    }
    fleet.wait(Duration::from_secs(12));
    for stream in streams {
        fleet.end_connection(stream);
    }
    assert!(fleet.serve(0, &["e0"]));
}

#[test]
fn a_part_that_went_well_elsewhere_in_the_meantime_is_harmless() {
    let mut fleet = Fleet::new(3);
    for _ in 0..2 {
        assert!(fleet.crash(0, &[COMMON]));
    }
    assert!(fleet.serve(2, &[COMMON]));
    for _ in 0..2 {
        assert!(fleet.crash(1, &[COMMON]));
    }
    assert!(fleet.serve(0, &[COMMON]) && fleet.serve(1, &[COMMON]));
}

#[test]
fn a_short_stream_that_is_complete_shows_that_its_parts_are_harmless() {
    let mut fleet = Fleet::new(1);
    for _ in 0..2 {
        assert!(fleet.crash(0, &[COMMON]));
    }
    let request = fleet.run(0, &[COMMON]).expect("the request is not refused");
    fleet.events(request, 1);
    let entry = &mut fleet.entries[0];
    entry.router.record_complete_response(entry.now, request.key);
    fleet.finish(request);
    assert!(fleet.crash(0, &[COMMON]));
    assert!(fleet.serve(0, &[COMMON]));
}

/// All engines crash at once, before a run went well: the runs that go on clear the part.
#[test]
fn a_part_of_all_requests_is_harmless_once_one_of_them_goes_on() {
    let mut fleet = Fleet::new(2);
    let requests: Vec<InFlight> =
        (0..10).filter_map(|number| fleet.run(number % 2, &[COMMON])).collect();
    let (crashed, sound) = requests.split_at(9);
    for request in crashed {
        fleet.end_connection(*request);
    }
    assert!(!fleet.crash(0, &[COMMON]));
    fleet.events(sound[0], 4);
    fleet.share_reports();
    assert!(fleet.serve(0, &[COMMON]) && fleet.serve(1, &[COMMON]));
}

#[test]
fn retries_of_one_request_do_not_make_its_part_poisonous() {
    let mut fleet = Fleet::new(1);
    let request = fleet.run(0, &["e0"]).expect("the request is not refused");
    let step = fleet.report(request, Event::UpstreamCrashed { last_event: None });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
    fleet.respond(request);
    fleet.end_connection(request);
    assert!(fleet.serve(0, &["e0"]));
}

#[test]
fn a_stream_with_a_poisonous_part_does_not_run_again() {
    let mut fleet = Fleet::new(2);
    let request = fleet.run(0, &[COMMON, POISON]).expect("the request is not refused");
    fleet.poison();
    let step = fleet.report(request, Event::UpstreamCrashed { last_event: None });
    assert_eq!(step, Step::Abort);
}

/// Cases: events after the start of a request during which its part becomes poisonous. It is
/// refused as not run, and what it holds is released.
macro_rules! refused_in_flight {
    ($($name:ident: $events:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new(2);
            let (request, _) = fleet.start(0, &[COMMON, POISON]);
            let events: Vec<Event> = $events;
            let (last, before) = events.split_last().expect("there is an event");
            for event in before {
                fleet.report(request, event.clone());
            }
            while fleet.crash(1, &[COMMON, POISON]) {}
            let Step::Refuse(refusal) = fleet.report(request, last.clone()) else {
                panic!("the request is not refused");
            };
            assert_eq!(refusal.reason, RefusalReason::PoisonousPrompt);
            assert_eq!(refusal.outcome, Outcome::NotRun);
            fleet.finish(request);
            let router = &mut fleet.entries[0].router;
            assert_eq!(router.take_cleanups().len(), events.len());
            let held = router.upstreams().service_upstreams(ENGINES);
            let held = held.map(|(_, engine)| engine.open_tokens + engine.prefilling_tokens);
            assert_eq!(held.sum::<u64>(), 0);
        }
    )*};
}

refused_in_flight! {
    a_request_with_a_reservation_is_refused_before_its_prefill: vec![reserved()];
    a_request_that_is_prefilled_is_refused_before_its_decode:
        vec![reserved(), Event::Prefilled { handle: "handle".into() }];
}

/// A request whose part still crashes engines may be tried again, by one entry and rarely.
#[test]
fn a_part_that_still_crashes_engines_is_tried_at_most_three_times_in_two_minutes() {
    let mut fleet = Fleet::new(5);
    fleet.poison();
    let sent = (0..1_200_usize).filter(|number| fleet.crash(number % 5, &[COMMON, POISON]));
    let sent = sent.count();
    assert!((1..=3).contains(&sent), "{sent} requests were sent");
}

#[test]
fn a_part_that_crashes_engines_no_more_is_served_again_after_a_trial() {
    let mut fleet = Fleet::new(5);
    fleet.poison();
    fleet.wait(Duration::from_secs(16));
    assert!(!fleet.serve(1, &[COMMON, POISON]));
    assert!(fleet.serve(0, &[COMMON, POISON]));
    for entry in 0..5 {
        assert!(fleet.serve(entry, &[COMMON, POISON]));
    }
}

#[test]
fn a_trial_that_crashes_its_engine_does_not_run_again() {
    let mut fleet = Fleet::new(1);
    fleet.poison();
    fleet.wait(Duration::from_secs(16));
    let request = fleet.run(0, &[COMMON, POISON]).expect("the request is a trial");
    let step = fleet.report(request, Event::UpstreamCrashed { last_event: None });
    assert_eq!(step, Step::Abort);
}

/// Only one entry tries the part; at the others no trial is due, however long they wait.
#[test]
fn callers_are_asked_to_wait_also_where_a_trial_is_overdue() {
    let mut fleet = Fleet::new(2);
    fleet.poison();
    fleet.wait(Duration::from_secs(40));
    let (_, step) = fleet.start(1, &[COMMON, POISON]);
    let Step::Refuse(refusal) = step else { panic!("the request is not refused") };
    assert!(refusal.retry_after.is_some_and(|wait| wait >= Duration::from_secs(2)), "{refusal:?}");
}

#[test]
fn a_poisoned_stream_that_does_not_run_again_takes_nothing_out_of_the_retry_budget() {
    let mut fleet = Fleet::new(1);
    let poisoned: Vec<InFlight> = (0..12).filter_map(|_| fleet.run(0, &[COMMON, POISON])).collect();
    for request in poisoned {
        fleet.end_connection(request);
    }
    let sound = fleet.run(0, &[COMMON]).expect("the request is not refused");
    fleet.events(sound, 10);
    let step = fleet.report(sound, Event::ResponseInterrupted { last_event: Some(10) });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}

/// Engines crash for other reasons now and then; each time the part goes well again soon. An entry
/// that has not served it reads of the crashes when it reports one of its own.
#[test]
fn an_entry_that_reports_another_crash_serves_a_part_that_went_well_after_each_crash() {
    let mut fleet = Fleet::new(2);
    for _ in 0..4 {
        assert!(fleet.crash(0, &[COMMON]));
        assert!(fleet.serve(0, &[COMMON]));
        fleet.wait(Duration::from_secs(20));
    }
    assert!(fleet.crash(1, &["e0"]));
    assert!(fleet.serve(1, &[COMMON]));
}

/// Engines crash for other reasons now and then; each time the part goes well again soon.
#[test]
fn an_entry_that_starts_late_serves_a_part_that_went_well_after_each_crash() {
    let mut fleet = Fleet::new(3);
    for _ in 0..5 {
        assert!(fleet.crash(0, &[COMMON]));
        assert!(fleet.serve(0, &[COMMON]));
        fleet.wait(Duration::from_secs(20));
    }
    fleet.restart(2);
    let late = &mut fleet.entries[2];
    let shared_parts = vec![PromptPartId(COMMON.into())];
    let (_, step) = late.start(IncomingRequest { shared_parts, ..incoming("/stream/1") });
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}
