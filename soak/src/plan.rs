//! What goes wrong when: fixed by the seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Harm;

/// A fault of one replica that happens once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slip {
    /// It runs the next request and loses the answer.
    LosesAnswer,
    /// It refuses the next request.
    Refuses,
    /// Its next answer names another request.
    Mistakes,
    /// Its next stream breaks in the middle of an event.
    Breaks,
    /// It answers the next request with an error.
    Errs,
}

/// Something that happens at some moment. Numbers name entries and replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The store answers 503 for a while.
    StoreDown(Duration),
    /// The store takes that long for each call, for a while.
    StoreSlow(Duration, Duration),
    /// The store forgets its history.
    StoreForgets,
    /// The path from an entry to the store is harmed for a while.
    StoreLink(usize, Harm, Duration),
    /// The paths to a replica are harmed for a while.
    ReplicaLink(usize, Harm, Duration),
    /// The path from callers to an entry is harmed for a while.
    CallerLink(usize, Harm, Duration),
    /// A replica slips once.
    Slip(usize, Slip),
    /// A replica has no room for a while.
    Full(usize, Duration),
    /// A replica leaves, and another takes its place.
    Replace(usize),
    /// An entry is stopped as planned and started again.
    Stop(usize),
    /// An entry is killed and started again.
    Kill(usize),
    /// All entries are killed and started again.
    KillAll,
    /// An entry is paused and woken.
    Pause(usize, Duration),
    /// An entry's settings file changes beneath it.
    Settings(usize),
    /// A new configuration.
    Configure,
}

/// When something happens, from the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Since the start of the load.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// How large a run is.
#[derive(Debug, Clone, Copy)]
pub struct RunSize {
    /// Entries.
    pub entries: usize,
    /// Replicas.
    pub replicas: usize,
    /// How long faults are injected.
    pub fault_duration: Duration,
}

/// One seed in so many draws planned work and trouble of the store alone: then
/// nobody may be cut off.
const PLANNED_ONE_IN: u64 = 4;

/// The events of a seed, by time. Some come alone, some in series or together.
pub fn plan(seed: u64, size: RunSize) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < size.fault_duration {
        let planned = seed.is_multiple_of(PLANNED_ONE_IN);
        let action = if planned { draw_planned(&mut rng, size) } else { draw(&mut rng, size) };
        let times = if rng.random_bool(0.2) { rng.random_range(2..=3) } else { 1 };
        for repeat in 0..times {
            let later = Duration::from_millis(400) * repeat;
            events.push(Event { at: at + later, action });
        }
        at += Duration::from_millis(rng.random_range(0..1_500));
    }
    events.sort_by_key(|event| event.at);
    events
}

fn draw(rng: &mut ChaCha8Rng, size: RunSize) -> Action {
    let entry = rng.random_range(0..size.entries);
    let replica = rng.random_range(0..size.replicas);
    let length = Duration::from_millis(rng.random_range(200..3_000));
    let delay = Duration::from_millis(rng.random_range(5..80));
    let harms = [Harm::Delay(delay), Harm::Reset, Harm::ToServer, Harm::ToClient, Harm::Silence];
    let harm = *harms.choose(rng).expect("is not empty");
    let slips = [Slip::LosesAnswer, Slip::Refuses, Slip::Mistakes, Slip::Breaks, Slip::Errs];
    let slip = *slips.choose(rng).expect("is not empty");
    match rng.random_range(0..20) {
        0 => Action::StoreDown(length),
        1 => Action::StoreSlow(delay, length),
        2 => Action::StoreForgets,
        3 => Action::StoreLink(entry, harm, length),
        4 | 5 => Action::ReplicaLink(replica, harm, length),
        6 => Action::CallerLink(entry, harm, length),
        7..=9 => Action::Slip(replica, slip),
        10 => Action::Full(replica, length),
        11 | 12 => Action::Replace(replica),
        13 | 14 => Action::Stop(entry),
        15 => Action::Kill(entry),
        16 if rng.random_bool(0.5) => Action::KillAll,
        16 | 17 => Action::Pause(entry, length),
        18 => Action::Settings(entry),
        _ => Action::Configure,
    }
}

fn draw_planned(rng: &mut ChaCha8Rng, size: RunSize) -> Action {
    let entry = rng.random_range(0..size.entries);
    let length = Duration::from_millis(rng.random_range(200..3_000));
    let delay = Duration::from_millis(rng.random_range(5..80));
    match rng.random_range(0..8) {
        0 => Action::StoreDown(length),
        1 => Action::StoreSlow(delay, length),
        2 => Action::StoreForgets,
        3 | 4 => Action::Replace(rng.random_range(0..size.replicas)),
        5 | 6 => Action::Stop(entry),
        _ if rng.random_bool(0.5) => Action::Settings(entry),
        _ => Action::Configure,
    }
}
