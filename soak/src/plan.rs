//! Plan of a run: which fault or planned change is applied when.
//!
//! The seed and the size of the run fix the plan. The random draws and their order must not
//! change, or known seeds give other plans.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use standins::platform::garbage::STREAM_GARBAGE_COUNT;

use crate::accounts::REVOKE_BOUND;
use crate::action::Action;
use crate::action::DeadlyKind;
use crate::action::OneTimeFault;
use crate::action::Scope;
use crate::proxy::LinkFault;
use crate::stop_plan::STOP_SEEDS;
use crate::stop_plan::plan_stops;

/// Action and the time at which it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledAction {
    /// Time since the start of the load.
    pub at: Duration,
    /// Fault or planned change to apply.
    pub action: Action,
}

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of replicas in the fleet at any time.
    pub replicas: usize,
    /// Number of engines, which have the first positions.
    pub engines: usize,
    /// Time during which actions start.
    pub fault_duration: Duration,
}

/// For seeds that are a multiple of this number, only planned changes and faults of the store are
/// drawn, during which no response may break off.
const PLANNED_ONLY_SEED_INTERVAL: u64 = 4;

/// First seed whose replicas have two software versions and name rate limits beside the other
/// actions. Lower seeds are known by their plans.
pub const FIRST_EXTENDED_SEED: u64 = 1_000;
/// First seed whose replicas also pause, turn requests away, and say that they leave.
pub const FIRST_NOTICE_SEED: u64 = 2_000;
/// First seed whose replicas also send streams that end with their connection.
pub const FIRST_CONNECTION_END_SEED: u64 = 3_000;
/// First seed with requests that crash the replicas that run them.
pub const FIRST_DEADLY_SEED: u64 = 4_000;
/// First seed whose configurations have client accounts.
pub const FIRST_ACCOUNT_SEED: u64 = 5_000;
/// First seed with late copies of responses, and replicas that reject what is beyond their
/// capacity.
pub const FIRST_LATE_COPY_SEED: u64 = 6_000;
/// First seed in which half of the entries have little processor time, each for a time.
pub const FIRST_STARVED_SEED: u64 = 7_000;
/// First seed whose engines write garbage. Of those for planned changes, nothing else is drawn.
pub const FIRST_GARBAGE_SEED: u64 = 9_000;
/// Longest time between the starts of two times of garbage.
const MAX_GARBAGE_INTERVAL_MS: u64 = 1_000;
/// Engines garble one in up to this many responses.
const MAX_GARBLED_ONE_IN: u64 = 3;
/// Longest time between the starts of two times of late copies, and of rejections for capacity.
const MAX_LATE_COPY_INTERVAL_MS: u64 = 600;
/// Longest time between two configurations that withdraw a key.
const MAX_WITHDRAWAL_INTERVAL_MS: u64 = 3_000;
/// Longest time between the starts of two times of streams that end with their connection.
const MAX_CONNECTION_END_INTERVAL_MS: u64 = 1_500;
/// Longest time between the starts of two series of pauses, of two times of turning away, and of
/// two leaving replicas.
const MAX_PAUSE_SERIES_INTERVAL_MS: u64 = 3_000;
const MAX_TURN_AWAY_INTERVAL_MS: u64 = 3_000;
const MAX_LEAVE_INTERVAL_MS: u64 = 4_000;
/// Longest pause between two rate limits.
const MAX_RATE_LIMIT_PAUSE_MS: u64 = 4_000;

/// Returns the plan of a seed, ordered by time. An action starts once, or two or three times
/// 400 ms apart. The next action starts less than 1.5 s after the first of these starts, so that
/// actions overlap. For [`STOP_SEEDS`], only planned work is drawn.
pub fn plan(seed: u64, size: RunSize) -> Vec<ScheduledAction> {
    if STOP_SEEDS.contains(&seed) {
        return plan_stops(seed, size);
    }
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
    if seed >= FIRST_GARBAGE_SEED {
        actions.extend(draw_garbage(&mut rng, size));
    }
    if seed < FIRST_GARBAGE_SEED || !seed.is_multiple_of(PLANNED_ONLY_SEED_INTERVAL) {
        actions.extend(draw_by_first_seeds(&mut rng, seed, size));
    }
    actions.sort_by_key(|action| action.at);
    actions
}

/// Actions that seeds have from some first seed on.
fn draw_by_first_seeds(rng: &mut ChaCha8Rng, seed: u64, size: RunSize) -> Vec<ScheduledAction> {
    let mut actions = Vec::new();
    if seed >= FIRST_EXTENDED_SEED {
        actions.extend(draw_rate_limits(rng, size));
    }
    if seed >= FIRST_NOTICE_SEED {
        actions.extend(draw_pauses(rng, size));
        actions.extend(draw_turn_aways(rng, size));
        actions.extend(draw_leaves(rng, size));
    }
    if seed >= FIRST_CONNECTION_END_SEED {
        actions.extend(draw_connection_ends(rng, size));
    }
    if seed >= FIRST_DEADLY_SEED {
        actions.push(draw_deadly_requests(rng, size));
    }
    if seed >= FIRST_ACCOUNT_SEED {
        actions.extend(draw_withdrawals(rng, size));
    }
    if seed >= FIRST_LATE_COPY_SEED {
        actions.extend(draw_late_copies(rng, size));
    }
    if (FIRST_STARVED_SEED..FIRST_GARBAGE_SEED).contains(&seed) {
        let starved = (0..size.entries).step_by(2);
        let action = |entry| Action::Starve(entry, size.fault_duration);
        let at = Duration::from_millis(500);
        actions.extend(starved.map(|entry| ScheduledAction { at, action: action(entry) }));
    }
    actions
}

/// True if the replicas do not name the request in their rejections.
pub fn has_anonymous_rejections(seed: u64) -> bool {
    seed >= FIRST_LATE_COPY_SEED && !STOP_SEEDS.contains(&seed) && !seed.is_multiple_of(2)
}

/// Actions that `draw` adds from `first_ms` on, each time after another interval.
pub(crate) fn draw_repeatedly(
    rng: &mut ChaCha8Rng,
    size: RunSize,
    first_ms: u64,
    interval_ms: Range<u64>,
    mut draw: impl FnMut(&mut ChaCha8Rng, Duration, &mut Vec<ScheduledAction>),
) -> Vec<ScheduledAction> {
    let mut actions = Vec::new();
    let mut at = Duration::from_millis(first_ms);
    while at < size.fault_duration {
        draw(rng, at, &mut actions);
        at += Duration::from_millis(rng.random_range(interval_ms.clone()));
    }
    actions
}

/// Late copies of responses of replicas, most of which also lack capacity in that time. Half of
/// them are plain services, which come last.
fn draw_late_copies(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 0, 0..MAX_LATE_COPY_INTERVAL_MS, |rng, at, actions| {
        let first = if rng.random_bool(0.5) { size.engines } else { 0 };
        let replica = rng.random_range(first..size.replicas);
        let duration = Duration::from_millis(rng.random_range(1_000..6_000));
        let fault = LinkFault::RepeatOneIn(rng.random_range(1..8));
        actions.push(ScheduledAction { at, action: Action::ReplicaLink(replica, fault, duration) });
        let capacity = rng.random_range(1..4);
        let action = match rng.random_range(0..4) {
            0 => Action::ReplicaFull(replica, duration / 2),
            1 => Action::ReplicaFault(replica, OneTimeFault::Reject),
            _ => Action::Shed(replica, capacity, duration),
        };
        actions.push(ScheduledAction { at, action });
    })
}

/// Configurations that withdraw a key, each while one entry does not reach the store, and for longer
/// than it may accept the key.
fn draw_withdrawals(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 500, 1_000..MAX_WITHDRAWAL_INTERVAL_MS, |rng, at, actions| {
        let entry = rng.random_range(0..size.entries);
        let faults = [LinkFault::Reset, LinkFault::DropBoth];
        let fault = *faults.choose(rng).expect("the list is not empty");
        let duration = REVOKE_BOUND + Duration::from_millis(rng.random_range(0..2_000));
        let cut = Action::StoreLink(entry, fault, duration);
        actions.push(ScheduledAction { at, action: cut });
        let at_withdrawal = at + Duration::from_millis(100);
        let action = Action::PublishConfiguration;
        actions.push(ScheduledAction { at: at_withdrawal, action });
    })
}

/// One kind of deadly requests that come for at least half of the time.
fn draw_deadly_requests(rng: &mut ChaCha8Rng, size: RunSize) -> ScheduledAction {
    let kinds = [DeadlyKind::Lookup, DeadlyKind::Booking];
    let kind = *kinds.choose(rng).expect("the list is not empty");
    let half = size.fault_duration / 2;
    let at = half.mul_f64(rng.random_range(0.0..1.0));
    ScheduledAction { at, action: Action::DeadlyRequests(kind, half) }
}

fn draw_rate_limits(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 0, 0..MAX_RATE_LIMIT_PAUSE_MS, |rng, at, actions| {
        let replica = rng.random_range(0..size.replicas);
        let tenths_per_s = rng.random_range(5..60);
        let duration = Duration::from_millis(rng.random_range(6_000..12_000));
        let action = Action::RateLimit(replica, tenths_per_s, duration);
        actions.push(ScheduledAction { at, action });
    })
}

/// Series of one to three pauses of the same replicas, half of them beside a new configuration.
fn draw_pauses(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 500, 300..MAX_PAUSE_SERIES_INTERVAL_MS, |rng, at, actions| {
        let replica = rng.random_range(0..size.replicas);
        let scopes = [Scope::One, Scope::Half, Scope::Service];
        let scope = *scopes.choose(rng).expect("the list is not empty");
        let mut pause_at = at;
        for _ in 0..rng.random_range(1..=3) {
            let duration = draw_pause_duration(rng);
            let action = Action::PauseReplicas(replica, scope, duration);
            actions.push(ScheduledAction { at: pause_at, action });
            pause_at += duration + Duration::from_millis(rng.random_range(50..600));
        }
        if rng.random_bool(0.5) {
            let at = at + Duration::from_millis(rng.random_range(0..600));
            actions.push(ScheduledAction { at, action: Action::PublishConfiguration });
        }
    })
}

/// Duration of a pause, often about a second.
fn draw_pause_duration(rng: &mut ChaCha8Rng) -> Duration {
    let short = rng.random_range(300..900);
    let long = rng.random_range(1_100..=2_000);
    let durations_ms = [short, 950, 1_000, 1_050, long];
    Duration::from_millis(*durations_ms.choose(rng).expect("the list is not empty"))
}

fn draw_turn_aways(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 0, 0..MAX_TURN_AWAY_INTERVAL_MS, |rng, at, actions| {
        let retry_after = Duration::from_millis(rng.random_range(1_000..4_000));
        let duration = Duration::from_millis(rng.random_range(500..4_000));
        for _ in 0..rng.random_range(1..=2) {
            let replica = rng.random_range(0..size.replicas);
            let action = Action::TurnAway(replica, retry_after, duration);
            actions.push(ScheduledAction { at, action });
        }
    })
}

fn draw_connection_ends(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 0, 0..MAX_CONNECTION_END_INTERVAL_MS, |rng, at, actions| {
        let replica = rng.random_range(0..size.replicas);
        let duration = Duration::from_millis(rng.random_range(500..5_000));
        actions.push(ScheduledAction { at, action: Action::EndWithConnection(replica, duration) });
    })
}

/// Engines that write garbage for a time.
fn draw_garbage(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 0, 0..MAX_GARBAGE_INTERVAL_MS, |rng, at, actions| {
        let engine = rng.random_range(0..size.engines);
        let one_in = rng.random_range(1..=MAX_GARBLED_ONE_IN);
        let first_kind = rng.random_range(0..STREAM_GARBAGE_COUNT);
        let duration = Duration::from_millis(rng.random_range(1_000..6_000));
        let action = Action::Garble(engine, one_in, first_kind, duration);
        actions.push(ScheduledAction { at, action });
    })
}

fn draw_leaves(rng: &mut ChaCha8Rng, size: RunSize) -> Vec<ScheduledAction> {
    draw_repeatedly(rng, size, 0, 0..MAX_LEAVE_INTERVAL_MS, |rng, at, actions| {
        for _ in 0..rng.random_range(1..=2) {
            let replica = rng.random_range(0..size.replicas);
            let list_delay = Duration::from_millis(rng.random_range(0..5_000));
            let action = Action::LeaveWithNotice(replica, list_delay);
            actions.push(ScheduledAction { at, action });
        }
    })
}

fn draw_action(rng: &mut ChaCha8Rng, size: RunSize) -> Action {
    let entry = rng.random_range(0..size.entries);
    let replica = rng.random_range(0..size.replicas);
    let duration = Duration::from_millis(rng.random_range(200..3_000));
    let delay = Duration::from_millis(rng.random_range(5..80));
    let link_faults = [
        LinkFault::Delay(delay),
        LinkFault::Reset,
        LinkFault::DropToServer,
        LinkFault::DropToClient,
        LinkFault::DropBoth,
    ];
    let link_fault = *link_faults.choose(rng).expect("the list is not empty");
    let one_time_faults = [
        OneTimeFault::LoseResponse,
        OneTimeFault::Reject,
        OneTimeFault::MismatchId,
        OneTimeFault::BreakStream,
        OneTimeFault::ServerError,
    ];
    let one_time_fault = *one_time_faults.choose(rng).expect("the list is not empty");
    match rng.random_range(0..20) {
        0 => Action::StoreDown(duration),
        1 => Action::StoreSlow(delay, duration),
        2 => Action::StoreHistoryDropped,
        3 => Action::StoreLink(entry, link_fault, duration),
        4 | 5 => Action::ReplicaLink(replica, link_fault, duration),
        6 => Action::CallerLink(entry, link_fault, duration),
        7..=9 => Action::ReplicaFault(replica, one_time_fault),
        10 => Action::ReplicaFull(replica, duration),
        11 | 12 => Action::ReplaceReplica(replica),
        13 | 14 => Action::Stop(entry),
        15 => Action::Kill(entry),
        16 if rng.random_bool(0.5) => Action::KillAll,
        16 | 17 => Action::Pause(entry, duration),
        18 => Action::ReloadSettings(entry),
        _ => Action::PublishConfiguration,
    }
}

fn draw_planned_action(rng: &mut ChaCha8Rng, size: RunSize) -> Action {
    let entry = rng.random_range(0..size.entries);
    let duration = Duration::from_millis(rng.random_range(200..3_000));
    let delay = Duration::from_millis(rng.random_range(5..80));
    match rng.random_range(0..8) {
        0 => Action::StoreDown(duration),
        1 => Action::StoreSlow(delay, duration),
        2 => Action::StoreHistoryDropped,
        3 | 4 => Action::ReplaceReplica(rng.random_range(0..size.replicas)),
        5 | 6 => Action::Stop(entry),
        _ if rng.random_bool(0.5) => Action::ReloadSettings(entry),
        _ => Action::PublishConfiguration,
    }
}
