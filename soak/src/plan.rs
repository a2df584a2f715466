//! What goes wrong when: fixed by the seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::proxy::LinkFault;

/// A fault of one replica that happens once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OneTimeFault {
    /// It runs the next request and loses the answer.
    LoseResponse,
    /// It refuses the next request.
    Reject,
    /// Its next answer names another request.
    MismatchId,
    /// Its next stream breaks in the middle of an action.
    BreakStream,
    /// It answers the next request with an error.
    ServerError,
}

/// Something that happens at some moment. Numbers name entries and replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The store answers 503 for a while.
    StoreDown(Duration),
    /// The store takes that long for each call, for a while.
    StoreSlow(Duration, Duration),
    /// The store forgets its history.
    StoreTrim,
    /// The path from an entry to the store is harmed for a while.
    StoreLink(usize, LinkFault, Duration),
    /// The paths to a replica are harmed for a while.
    ReplicaLink(usize, LinkFault, Duration),
    /// The path from callers to an entry is harmed for a while.
    CallerLink(usize, LinkFault, Duration),
    /// A replica one_time_faults once.
    ReplicaFault(usize, OneTimeFault),
    /// A replica has no room for a while.
    ReplicaFull(usize, Duration),
    /// A replica leaves, and another takes its place.
    ReplaceReplica(usize),
    /// An entry is stopped as planned and started again.
    Stop(usize),
    /// An entry is killed and started again.
    Kill(usize),
    /// All entries are killed and started again.
    KillAll,
    /// An entry is paused and woken.
    Pause(usize, Duration),
    /// An entry's settings file changes beneath it.
    ReloadSettings(usize),
    /// A new configuration.
    PublishConfiguration,
}

/// When something happens, from the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledAction {
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
const PLANNED_ONLY_SEED_INTERVAL: u64 = 4;

/// The actions of a seed, by time. Some come alone, some in series or together.
pub fn plan(seed: u64, size: RunSize) -> Vec<ScheduledAction> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < size.fault_duration {
        let planned_only = seed.is_multiple_of(PLANNED_ONLY_SEED_INTERVAL);
        let action = if planned_only {
            draw_planned_action(&mut rng, size)
        } else {
            draw_action(&mut rng, size)
        };
        let repeats = if rng.random_bool(0.2) { rng.random_range(2..=3) } else { 1 };
        for repeat in 0..repeats {
            let offset = Duration::from_millis(400) * repeat;
            actions.push(ScheduledAction { at: at + offset, action });
        }
        at += Duration::from_millis(rng.random_range(0..1_500));
    }
    actions.sort_by_key(|action| action.at);
    actions
}

fn draw_action(rng: &mut ChaCha8Rng, size: RunSize) -> Action {
    let entry = rng.random_range(0..size.entries);
    let replica = rng.random_range(0..size.replicas);
    let length = Duration::from_millis(rng.random_range(200..3_000));
    let delay = Duration::from_millis(rng.random_range(5..80));
    let link_faults = [
        LinkFault::Delay(delay),
        LinkFault::Reset,
        LinkFault::DropToServer,
        LinkFault::DropToClient,
        LinkFault::DropBoth,
    ];
    let link_fault = *link_faults.choose(rng).expect("is not empty");
    let one_time_faults = [
        OneTimeFault::LoseResponse,
        OneTimeFault::Reject,
        OneTimeFault::MismatchId,
        OneTimeFault::BreakStream,
        OneTimeFault::ServerError,
    ];
    let one_time_fault = *one_time_faults.choose(rng).expect("is not empty");
    match rng.random_range(0..20) {
        0 => Action::StoreDown(length),
        1 => Action::StoreSlow(delay, length),
        2 => Action::StoreTrim,
        3 => Action::StoreLink(entry, link_fault, length),
        4 | 5 => Action::ReplicaLink(replica, link_fault, length),
        6 => Action::CallerLink(entry, link_fault, length),
        7..=9 => Action::ReplicaFault(replica, one_time_fault),
        10 => Action::ReplicaFull(replica, length),
        11 | 12 => Action::ReplaceReplica(replica),
        13 | 14 => Action::Stop(entry),
        15 => Action::Kill(entry),
        16 if rng.random_bool(0.5) => Action::KillAll,
        16 | 17 => Action::Pause(entry, length),
        18 => Action::ReloadSettings(entry),
        _ => Action::PublishConfiguration,
    }
}

fn draw_planned_action(rng: &mut ChaCha8Rng, size: RunSize) -> Action {
    let entry = rng.random_range(0..size.entries);
    let length = Duration::from_millis(rng.random_range(200..3_000));
    let delay = Duration::from_millis(rng.random_range(5..80));
    match rng.random_range(0..8) {
        0 => Action::StoreDown(length),
        1 => Action::StoreSlow(delay, length),
        2 => Action::StoreTrim,
        3 | 4 => Action::ReplaceReplica(rng.random_range(0..size.replicas)),
        5 | 6 => Action::Stop(entry),
        _ if rng.random_bool(0.5) => Action::ReloadSettings(entry),
        _ => Action::PublishConfiguration,
    }
}
