//! Plan of the seeds with planned work only: the entries stop one after the other all the time, under
//! streams that outlast a stop.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use standins::platform::stream_shape::StreamPause;
use standins::platform::stream_shape::StreamShape;

use crate::action::Action;
use crate::fleet::STOP_GRACE;
use crate::plan::RunSize;
use crate::plan::ScheduledAction;
use crate::plan::draw_repeatedly;

/// Seeds whose streams outlast a stop, beside planned work only.
pub const STOP_SEEDS: Range<u64> = 8_000..9_000;
/// Those whose requests, bodies and streams also cross the close of connections and listeners.
pub const CROSSING_SEEDS: Range<u64> = 8_500..9_000;
/// Most time between the end of the grace time of a stop and the next stop.
const MAX_STOP_PAUSE_MS: u64 = 1_000;
/// Share of the stops beside which another entry stops.
const OVERLAP_SHARE: f64 = 0.25;
/// Longest time between two other planned changes.
const MAX_CHANGE_INTERVAL_MS: u64 = 4_000;

/// Events of the streams, 72 on average.
const EVENTS: std::ops::RangeInclusive<u64> = 36..=108;
/// Time between two events, and duration of most streams.
const EVENT_INTERVAL_MS: (u64, u64) = (40, 90);
const STREAM_DURATION_MS: (u64, u64) = (2_000, 8_000);
/// One in so many streams is longer than the grace time.
const LONG_ONE_IN: u32 = 20;
const LONG_EVENTS: std::ops::RangeInclusive<u64> = 110..=140;
const LONG_INTERVAL_MS: std::ops::RangeInclusive<u64> = 75..=90;
/// One in so many streams pauses once, in the middle half of its events.
const PAUSED_ONE_IN: u32 = 6;
const STREAM_PAUSE_MS: std::ops::RangeInclusive<u64> = 700..=2_500;
/// Engines fail every request that was moved to them, or one in up to this many, or none.
const MAX_FAILED_ONE_IN: u64 = 3;

/// Longest pause between the head of a request and its body, and pause of a caller that reads slowly.
const MAX_BODY_PAUSE_MS: u64 = 1_500;
const READ_PAUSE_MS: std::ops::RangeInclusive<u64> = 500..=1_500;
/// Longest time between the SIGTERM of a stop and a second signal.
const MAX_SECOND_SIGNAL_MS: u64 = 6_000;

/// How a caller sends and reads a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Manner {
    /// Time between the head and the body, which comes in chunks; `None` for a body with a length.
    pub body_pause: Option<Duration>,
    /// Pause in reading the response; zero for none.
    pub read_pause: Duration,
}

/// Draws how a caller sends and reads. Half of the callers send bodies in chunks, every second one
/// after a pause, on routes with bodies; one in eight reads slowly.
pub(crate) fn draw_manner(rng: &mut ChaCha8Rng, caller: u64, has_body: bool) -> Manner {
    let mut ms = |range| Duration::from_millis(rng.random_range(range));
    let (pause, read_pause) = (ms(0..=2 * MAX_BODY_PAUSE_MS), ms(READ_PAUSE_MS));
    let body_pause = pause.saturating_sub(Duration::from_millis(MAX_BODY_PAUSE_MS));
    let read_pause = if caller % 8 == 7 { read_pause } else { Duration::ZERO };
    Manner { body_pause: (has_body && caller % 4 < 2).then_some(body_pause), read_pause }
}

/// Signal that follows the SIGTERM of a stop, and the time between them; half of the stops have one.
pub(crate) fn second_signal(seed: u64, stop: u64) -> Option<(&'static str, Duration)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (stop << 48));
    let signal = [None, None, Some("TERM"), Some("HUP")][rng.random_range(0..4)];
    let after = Duration::from_millis(rng.random_range(0..MAX_SECOND_SIGNAL_MS));
    signal.filter(|_| CROSSING_SEEDS.contains(&seed)).map(|signal| (signal, after))
}

/// One in how many requests that were moved to it an engine fails; 0 for none.
pub fn failed_replacements_one_in(seed: u64, engine: usize) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((engine as u64) << 32));
    rng.random_range(0..=MAX_FAILED_ONE_IN)
}

/// Draws the shape of a stream.
pub fn draw_shape(rng: &mut ChaCha8Rng) -> StreamShape {
    let (events, interval_ms) = if rng.random_ratio(1, LONG_ONE_IN) {
        (rng.random_range(LONG_EVENTS), rng.random_range(LONG_INTERVAL_MS))
    } else {
        let events = rng.random_range(EVENTS);
        let shortest = EVENT_INTERVAL_MS.0.max(STREAM_DURATION_MS.0.div_ceil(events));
        let longest = EVENT_INTERVAL_MS.1.min(STREAM_DURATION_MS.1 / events);
        (events, rng.random_range(shortest..=longest))
    };
    let pause = rng.random_ratio(1, PAUSED_ONE_IN).then(|| StreamPause {
        before_event: rng.random_range(events / 4..=events * 3 / 4),
        duration: Duration::from_millis(rng.random_range(STREAM_PAUSE_MS)),
    });
    StreamShape { events, interval: Duration::from_millis(interval_ms), pause }
}

/// Stops of one entry after the other, some of them beside another, and other planned changes.
pub(crate) fn plan_stops(seed: u64, size: RunSize) -> Vec<ScheduledAction> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = draw_stops(&mut rng, size);
    actions.extend(draw_changes(&mut rng, size));
    actions.sort_by_key(|action| action.at);
    actions
}

fn draw_stops(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    let mut order: Vec<usize> = (0..size.entries).collect();
    order.shuffle(rng);
    let mut entries = order.into_iter().cycle();
    let mut actions = Vec::new();
    // Streams are under way by then.
    let mut at = Duration::from_millis(rng.random_range(1_500..3_000));
    while at < size.fault_duration {
        let mut stop = |at| {
            let entry = entries.next().expect("the fleet has entries");
            actions.push(ScheduledAction { at, action: Action::Stop(entry) });
        };
        stop(at);
        if size.entries > 2 && rng.random_bool(OVERLAP_SHARE) {
            let latest_ms = STOP_GRACE.as_millis() as u64 * 3 / 4;
            stop(at + Duration::from_millis(rng.random_range(0..latest_ms)));
        }
        at += STOP_GRACE + Duration::from_millis(rng.random_range(0..MAX_STOP_PAUSE_MS));
    }
    actions
}

fn draw_changes(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    let first_ms = rng.random_range(0..MAX_CHANGE_INTERVAL_MS);
    draw_repeatedly(rng, size, first_ms, 500..MAX_CHANGE_INTERVAL_MS, |rng, at, actions| {
        let action = match rng.random_range(0..3) {
            0 => Action::ReloadSettings(rng.random_range(0..size.entries)),
            1 => Action::PublishConfiguration,
            _ => Action::ReplaceReplica(rng.random_range(0..size.replicas)),
        };
        actions.push(ScheduledAction { at, action });
    })
}
