//! Pace of engines: what one entry learns from responses, and how it places requests by it.

use std::collections::HashMap;
use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::pace::Pace;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::Prompt;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;
use compact_str::CompactString;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::harness::upstream;

/// Time between two events at an engine of usual pace.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a prompt token at an engine of usual pace.
const PREFILL_S_PER_TOKEN: f64 = 20e-6;
/// Requests of a learning phase: some for each engine.
const LEARNING_REQUESTS: usize = 80;

/// Engines of a role, three for each of these factors on their times, in the zone of the
/// entry.
fn engines(role: PoolRole, factors: &[f64]) -> Vec<(ListedUpstream, f64)> {
    let engine = |factor: f64, index: usize| {
        let id = format!("{role}-{factor}-{index}");
        (upstream(&id, ENGINES, role), factor)
    };
    factors.iter().flat_map(|&factor| (0..3).map(move |index| engine(factor, index))).collect()
}

/// Fake fleet of engines of different pace, without queues.
struct Fleet {
    harness: Harness,
    /// Factor on the times of each engine, by its id.
    factors: HashMap<CompactString, f64>,
}

impl Fleet {
    fn new(decode_factors: &[f64], prefill_factors: &[f64], seed: u64) -> Self {
        let decode = engines(PoolRole::Decode, decode_factors);
        let prefill = engines(PoolRole::Prefill, prefill_factors);
        let all: Vec<(ListedUpstream, f64)> = decode.into_iter().chain(prefill).collect();
        let factors = all.iter().map(|(listed, factor)| (listed.id.clone(), *factor)).collect();
        let listed = all.into_iter().map(|(listed, _)| listed).collect();
        Self { harness: Harness::with_seed(listed, seed), factors }
    }

    /// Carries out a request up to its decode. Returns its key and the engines that prefill
    /// and decode.
    fn start(&mut self, incoming: IncomingRequest) -> (RequestKey, CompactString, CompactString) {
        let tokens = incoming.prompt.map_or(0, |prompt| prompt.tokens);
        let (key, _) = self.harness.start(incoming);
        let step = self.harness.report(key, reserved());
        let prefill = target(&step).id;
        let prefill_s = f64::from(tokens) * PREFILL_S_PER_TOKEN * self.factors[&prefill];
        let prefilled = Event::Prefilled { handle: "handle".into() };
        let pause = Duration::from_secs_f64(prefill_s);
        let step = self.harness.report_after(pause, key, prefilled);
        (key, prefill, target(&step).id)
    }

    /// Has the engine of a started request send this number of events, and ends the request.
    fn finish(&mut self, key: RequestKey, decode: &CompactString, events: u32) {
        self.harness.report(key, Event::ResponseStarted { status: 200 });
        let factor = self.factors[decode];
        for _ in 0..events {
            self.harness.now += EVENT_INTERVAL.mul_f64(factor);
            self.harness.router.record_event(self.harness.now, key);
        }
        self.harness.router.finish(self.harness.now, key);
    }

    /// Serves requests, one after the other, from which the entry learns.
    fn learn(&mut self) {
        for _ in 0..LEARNING_REQUESTS {
            let (key, _, decode) = self.start(request(30, ms(14_000)));
            self.finish(key, &decode, 12);
        }
    }

    /// Returns the factors of the engines that prefill and decode a request which is not
    /// finished before the next one.
    fn place(&mut self, incoming: IncomingRequest) -> (f64, f64) {
        let (key, prefill, decode) = self.start(incoming);
        self.harness.router.finish(self.harness.now, key);
        (self.factors[&prefill], self.factors[&decode])
    }
}

/// Request with an output of this many events, whose caller waits this long.
fn request(events: u32, caller_timeout: Duration) -> IncomingRequest {
    let output = events * 7;
    let prompt = Prompt { tokens: 5_000, max_output_tokens: 2 * output, output_hint: Some(output) };
    IncomingRequest {
        prompt: Some(prompt),
        caller_timeout: Some(caller_timeout),
        ..incoming("/stream/1")
    }
}

/// Load: engines of three speeds (0.6, 1.0 and 1.6 of the mean), outputs of up to 170 events.
const THREE_PACES: [f64; 3] = [1.0 / 0.6, 1.0, 1.0 / 1.6];

/// Requests of a measured phase.
const PLACED_REQUESTS: usize = 60;

/// Mean factor of the decode engines that outputs of this many events are placed at.
fn mean_decode_factor(events: u32) -> f64 {
    let mut fleet = Fleet::new(&THREE_PACES, &[1.0], 5);
    fleet.learn();
    let factors = (0..PLACED_REQUESTS).map(|_| fleet.place(request(events, ms(14_000))).1);
    factors.sum::<f64>() / PLACED_REQUESTS as f64
}

#[test]
fn the_longest_outputs_go_to_the_fastest_engines() {
    let longest = mean_decode_factor(170);
    let shortest = mean_decode_factor(5);
    assert!(longest < 0.8, "mean factor of the longest outputs {longest}");
    assert!(shortest > longest + 0.1, "shortest {shortest}, longest {longest}");
}

#[test]
fn an_output_is_not_placed_where_it_cannot_end_in_time() {
    let mut fleet = Fleet::new(&[2.0, 1.0], &[1.0], 5);
    fleet.learn();
    // 100 events take 5 s at the usual pace and 10 s at the slow engines.
    for _ in 0..PLACED_REQUESTS {
        // The usual engines hold requests already, so load speaks for the slow ones.
        let (_, _, decode) = fleet.start(request(100, ms(7_500)));
        assert_eq!(fleet.factors[&decode], 1.0);
    }
}

#[test]
fn prompts_go_to_the_engines_that_prefill_faster() {
    let mut fleet = Fleet::new(&[1.0], &THREE_PACES, 5);
    fleet.learn();
    let factors = (0..PLACED_REQUESTS).map(|_| fleet.place(request(30, ms(14_000))).0);
    let slowest = factors.filter(|&factor| factor > 1.5).count();
    assert!(slowest * 10 < PLACED_REQUESTS, "{slowest} prompts at the slowest engines");
}

/// Sequence of engines that a fleet with these decode factors selects.
fn choices(factor: f64, seed: u64) -> Vec<(CompactString, CompactString)> {
    let mut fleet = Fleet::new(&[1.0], &[1.0], seed);
    // The same factor for all: no differences of pace, whatever the level.
    fleet.factors.values_mut().for_each(|each| *each = factor);
    let serve = |_| {
        let (key, prefill, decode) = fleet.start(request(30, ms(14_000)));
        fleet.finish(key, &decode, 12);
        (prefill, decode)
    };
    (0..LEARNING_REQUESTS).map(serve).collect()
}

macro_rules! equal_pace_changes_nothing {
    ($($name:ident: seed $seed:literal;)*) => {$(
        #[test]
        fn $name() {
            let usual = choices(1.0, $seed);
            assert_eq!(usual.first(), choices(1.15, $seed).first());
            assert_eq!(usual, choices(1.15, $seed));
        }
    )*};
}

equal_pace_changes_nothing! {
    selections_without_differences_of_pace_with_seed_1: seed 1;
    selections_without_differences_of_pace_with_seed_2: seed 2;
    selections_without_differences_of_pace_with_seed_3: seed 3;
}

/// Service's time between two events, in seconds.
const SERVICE_S: f64 = 0.05;

/// Pace after events at these factors on the service's interval.
fn pace_after(factors: impl IntoIterator<Item = f64>) -> (Pace, Duration) {
    let mut pace = Pace::default();
    let mut now = ms(1_000);
    for factor in factors {
        let interval = EVENT_INTERVAL.mul_f64(factor);
        now += interval;
        pace.record_event(now, interval, SERVICE_S);
    }
    (pace, now)
}

fn event_factor_after(factors: impl IntoIterator<Item = f64>) -> f64 {
    let (pace, now) = pace_after(factors);
    pace.event_factor(now, SERVICE_S)
}

macro_rules! event_factors {
    ($($name:ident: $factors:expr => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let factor = event_factor_after($factors);
            assert!($range.contains(&factor), "factor {factor}");
        }
    )*};
}

event_factors! {
    an_engine_without_events_has_the_pace_of_its_service: [] => (1.0..=1.0);
    a_single_long_pause_does_not_make_an_engine_slow: [1.0; 20].into_iter().chain([200.0]) => (1.0..=1.0);
    a_tenth_of_the_events_at_two_and_a_half_times_the_interval_is_noise:
        (0..100).map(|event| if event % 10 == 0 { 2.5 } else { 1.0 }) => (1.0..=1.0);
    a_slow_engine_is_known_after_twenty_events: [1.7; 20] => (1.5..1.7);
    a_fast_engine_is_known_after_twenty_events: [0.6; 20] => (0.6..0.7);
    an_engine_that_turns_slow_is_noticed_within_two_seconds:
        [1.0; 60].into_iter().chain([3.0; 13]) => (1.4..3.0);
    an_engine_that_recovers_is_noticed_within_two_seconds:
        [3.0; 60].into_iter().chain([1.0; 40]) => (0.9..1.4);
}

#[test]
fn the_pace_returns_to_that_of_the_service_with_age() {
    let (pace, now) = pace_after([3.0; 40]);
    assert_eq!(pace.event_factor(now + Duration::from_secs(80), SERVICE_S), 1.0);
}

/// Step that follows the arrival of a request.
#[test]
fn engines_of_unknown_pace_are_asked() {
    let mut fleet = Fleet::new(&[1.0], &[1.0], 1);
    let (_, step) = fleet.harness.start(request(170, ms(14_000)));
    assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
}
