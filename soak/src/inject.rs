//! Applies the actions of a plan to the fleet, and records when each one started and ended.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::action::Action;
use crate::action::OneTimeFault;
use crate::action::Scope;
use crate::callers::Callers;
use crate::fleet::Fleet;
use crate::fleet::STOP_GRACE;
use crate::plan::ScheduledAction;
use crate::proxy::LinkFault;
use crate::proxy::Proxy;
use crate::stop_plan::second_signal;

/// Action that was applied, and the time during which it lasted.
#[derive(Debug, Clone)]
pub struct AppliedAction {
    /// Fault or planned change that was applied.
    pub action: Action,
    /// Id of the replica whose position it names; `None` for other actions.
    pub replica_id: Option<String>,
    /// Time at which it started.
    pub started_at: Instant,
    /// Time at which it ended and its target was restored.
    pub ended_at: Instant,
    /// Exit code of an entry that was stopped as planned, `Some(None)` if a signal ended it, such as
    /// the kill after the grace time. `None` for other actions, and if another action replaced the
    /// process first.
    pub exit_code: Option<Option<i32>>,
}

impl AppliedAction {
    /// Index of the entry that it affects; `None` if it affects no entry or all of them.
    pub fn entry(&self) -> Option<usize> {
        match self.action {
            Action::StoreLink(entry, ..)
            | Action::CallerLink(entry, ..)
            | Action::Stop(entry)
            | Action::Kill(entry)
            | Action::Pause(entry, _)
            | Action::Starve(entry, _)
            | Action::ReloadSettings(entry) => Some(entry),
            _ => None,
        }
    }

    /// True for an action that leaves everything sound, though requests may wait or be turned away.
    pub fn leaves_all_sound(&self) -> bool {
        matches!(self.action, Action::PauseReplicas(..) | Action::TurnAway(..) | Action::Starve(..))
    }

    /// True for planned changes, as operators make them in normal operation.
    pub fn is_planned(&self) -> bool {
        matches!(
            self.action,
            Action::Stop(_)
                | Action::ReloadSettings(_)
                | Action::PublishConfiguration
                | Action::ReplaceReplica(_)
                | Action::LeaveWithNotice(..)
        )
    }

    /// True for faults of a replica, including those of the connections to it.
    pub fn affects_replica(&self) -> bool {
        matches!(
            self.action,
            Action::ReplicaLink(..)
                | Action::ReplicaFault(..)
                | Action::ReplicaFull(..)
                | Action::Shed(..)
                | Action::EndWithConnection(..)
                | Action::Garble(..)
                | Action::RateLimit(..)
                | Action::DeadlyRequests(..)
        ) || self.leaves_all_sound()
    }

    /// True for faults of the store, including those of the connections to it.
    pub fn affects_store(&self) -> bool {
        matches!(
            self.action,
            Action::StoreDown(_)
                | Action::StoreSlow(..)
                | Action::StoreHistoryDropped
                | Action::StoreLink(..)
        )
    }
}

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Parts of an interval in which an entry with 0.09 of a core stands still and runs.
const STARVED_TIME: Duration = Duration::from_millis(91);
const RUNNING_TIME: Duration = Duration::from_millis(9);
/// Time between two streams of a replica that break off.
const BREAK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a one-time fault is switched off: the replica may get no request that shows
/// it.
const ONE_TIME_FAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between SIGTERM and SIGKILL: the platform kills after the grace time.
const KILL_AFTER: Duration = STOP_GRACE;
/// Step of the configuration version. It is odd, so that the `moved` route changes its service
/// each time.
const VERSION_STEP: u64 = 3;

/// Applies actions to a fleet and records them.
pub(crate) struct Injector {
    fleet: Arc<Fleet>,
    callers: Arc<Callers>,
    program: PathBuf,
    version: AtomicU64,
    /// Number of planned stops so far.
    stops: AtomicU64,
    applied_actions: Mutex<Vec<AppliedAction>>,
}

impl Injector {
    pub(crate) fn new(fleet: Arc<Fleet>, callers: Arc<Callers>, program: &Path) -> Arc<Self> {
        let program = program.to_path_buf();
        Arc::new(Self {
            fleet,
            callers,
            program,
            version: AtomicU64::new(1),
            stops: AtomicU64::default(),
            applied_actions: Mutex::default(),
        })
    }

    /// Applies all actions at their times, and waits until the last one has ended. Returns the
    /// applied actions in the order in which they ended.
    pub(crate) async fn run(self: Arc<Self>, actions: Vec<ScheduledAction>) -> Vec<AppliedAction> {
        let started_at = Instant::now();
        let mut in_flight = JoinSet::new();
        for scheduled in actions {
            tokio::time::sleep(scheduled.at.saturating_sub(started_at.elapsed())).await;
            in_flight.spawn(self.clone().apply_and_record(scheduled.action));
        }
        while in_flight.join_next().await.is_some() {}
        self.applied_actions.lock().expect("the mutex is not poisoned").clone()
    }

    async fn apply_and_record(self: Arc<Self>, action: Action) {
        let replica = action.position().map(|position| self.fleet.node(position));
        let replica_id = replica.map(|node| node.replica.id.clone());
        let started_at = Instant::now();
        let exit_code = self.apply(action).await;
        let ended_at = Instant::now();
        let applied = AppliedAction { action, replica_id, started_at, ended_at, exit_code };
        self.applied_actions.lock().expect("the mutex is not poisoned").push(applied);
    }

    async fn apply(&self, action: Action) -> Option<Option<i32>> {
        let (fleet, store) = (&self.fleet, &self.fleet.store);
        match action {
            Action::StoreDown(duration) => {
                store.down.set(true);
                tokio::time::sleep(duration).await;
                store.down.set(false);
            }
            Action::StoreSlow(delay, duration) => {
                store.request_delay.set(delay);
                tokio::time::sleep(duration).await;
                store.request_delay.set(Duration::ZERO);
            }
            Action::StoreHistoryDropped => {
                store.drop_history(standins::platform::store::REPLICAS_TOPIC)
            }
            Action::StoreLink(entry, fault, duration) => {
                self.apply_link_fault(&fleet.entries[entry].store_proxy, fault, duration).await;
            }
            Action::CallerLink(entry, fault, duration) => {
                self.apply_link_fault(&fleet.entries[entry].caller_proxy, fault, duration).await;
            }
            Action::ReplicaLink(position, fault, duration) => {
                self.apply_link_fault(&fleet.node(position).proxy, fault, duration).await;
            }
            Action::ReplicaFault(position, fault) => self.trigger_fault(position, fault).await,
            Action::ReplicaFull(position, duration) => {
                let node = fleet.node(position);
                node.replica.full.set(true);
                tokio::time::sleep(duration).await;
                node.replica.full.set(false);
            }
            Action::Shed(position, capacity, duration) => {
                let node = fleet.node(position);
                node.replica.capacity.store(capacity, Ordering::SeqCst);
                tokio::time::sleep(duration).await;
                node.replica.capacity.store(0, Ordering::SeqCst);
            }
            Action::EndWithConnection(position, duration) => {
                self.end_with_connection(position, duration).await;
            }
            Action::Garble(position, one_in, first_kind, duration) => {
                let node = fleet.node(position);
                node.replica.garbling.set_one_in(one_in, first_kind);
                tokio::time::sleep(duration).await;
                node.replica.garbling.set_one_in(0, 0);
            }
            Action::RateLimit(position, tenths_per_s, duration) => {
                fleet
                    .node(position)
                    .name_rate_limit(f64::from(tenths_per_s) / 10.0, duration)
                    .await;
            }
            Action::PauseReplicas(position, scope, duration) => {
                self.pause_replicas(position, scope, duration).await;
            }
            Action::TurnAway(position, retry_after, duration) => {
                fleet.node(position).turn_away(retry_after, duration).await;
            }
            Action::LeaveWithNotice(position, list_delay) => {
                fleet.clone().leave_with_notice(position, list_delay).await;
            }
            Action::ReplaceReplica(position) => fleet.clone().replace_replica(position).await,
            Action::Stop(entry) => return self.stop_entry(entry).await,
            Action::Kill(entry) => {
                fleet.entries[entry].kill(fleet.entries[entry].process_id());
                self.restart_entry(entry).await;
            }
            Action::KillAll => {
                fleet.entries.iter().for_each(|entry| entry.kill(entry.process_id()));
                for entry in 0..fleet.entries.len() {
                    self.restart_entry(entry).await;
                }
            }
            Action::Pause(entry, duration) => {
                fleet.entries[entry].signal("STOP");
                tokio::time::sleep(duration).await;
                fleet.entries[entry].signal("CONT");
            }
            Action::Starve(entry, duration) => self.starve(entry, duration).await,
            Action::DeadlyRequests(kind, duration) => {
                self.callers.send_deadly_requests(kind, duration).await;
            }
            Action::ReloadSettings(entry) => fleet.entries[entry].reload_settings(),
            Action::PublishConfiguration => {
                let version = self.version.fetch_add(VERSION_STEP, Ordering::SeqCst);
                fleet.publish_configuration(version + VERSION_STEP);
            }
        }
        None
    }

    /// Lets an entry run for a small part of each interval, as one that has used up its processor
    /// time.
    async fn starve(&self, entry: usize, duration: Duration) {
        let entry = &self.fleet.entries[entry];
        let started_at = Instant::now();
        while started_at.elapsed() < duration {
            entry.signal("STOP");
            tokio::time::sleep(STARVED_TIME).await;
            entry.signal("CONT");
            tokio::time::sleep(RUNNING_TIME).await;
        }
    }

    async fn pause_replicas(&self, position: usize, scope: Scope, duration: Duration) {
        let target = self.fleet.node(position);
        let beside = self.fleet.nodes_beside(position).into_iter();
        let others: Vec<_> = match scope {
            Scope::One => Vec::new(),
            Scope::Half => beside.step_by(2).collect(),
            Scope::Service => beside.collect(),
        };
        let now = Instant::now();
        for node in others.iter().chain([&target]) {
            node.pause(now, duration);
        }
        tokio::time::sleep(duration).await;
    }

    async fn apply_link_fault(&self, proxy: &Proxy, fault: LinkFault, duration: Duration) {
        proxy.set_fault(fault);
        tokio::time::sleep(duration).await;
        if !matches!(fault, LinkFault::RepeatOneIn(_)) {
            // Resets the connections that dropped bytes, since they would forward no more.
            proxy.set_fault(LinkFault::Reset);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        proxy.set_fault(LinkFault::None);
    }

    /// Has the streams of a replica end with their connection, and breaks one off now and then.
    async fn end_with_connection(&self, position: usize, duration: Duration) {
        let replica = self.fleet.node(position).replica.clone();
        replica.end_with_connection.set(true);
        let started_at = Instant::now();
        while started_at.elapsed() < duration {
            replica.break_next_stream.set(true);
            tokio::time::sleep(BREAK_INTERVAL).await;
        }
        replica.break_next_stream.set(false);
        replica.end_with_connection.set(false);
    }

    async fn trigger_fault(&self, position: usize, fault: OneTimeFault) {
        let replica = self.fleet.node(position).replica.clone();
        let switch = match fault {
            OneTimeFault::LoseResponse => &replica.lose_next_response,
            OneTimeFault::Reject => &replica.reject_next,
            OneTimeFault::MismatchId => &replica.mismatch_next_id,
            OneTimeFault::BreakStream => &replica.break_next_stream,
            OneTimeFault::ServerError => &replica.fail_next,
        };
        switch.set(true);
        let started_at = Instant::now();
        while switch.is_on() && started_at.elapsed() < ONE_TIME_FAULT_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        switch.set(false);
    }

    /// Stops an entry as planned, and starts it again. Returns the exit code, or `None` if another
    /// action has replaced the process meanwhile.
    async fn stop_entry(&self, entry: usize) -> Option<Option<i32>> {
        let target = &self.fleet.entries[entry];
        let process_id = target.process_id();
        let stop = self.stops.fetch_add(1, Ordering::SeqCst);
        let mut second = second_signal(self.fleet.features.seed, stop);
        target.signal("TERM");
        let requested_at = Instant::now();
        while target.exit_code().is_none() && requested_at.elapsed() < KILL_AFTER {
            if target.process_id() != process_id {
                return None;
            }
            if let Some((signal, _)) = second.take_if(|(_, at)| requested_at.elapsed() >= *at) {
                target.signal(signal);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let exit_code = target.exit_code().flatten();
        target.kill(process_id);
        self.restart_entry(entry).await;
        Some(exit_code)
    }

    /// Starts an entry that has ended, and waits until it accepts connections, at most for the
    /// grace time.
    async fn restart_entry(&self, entry: usize) {
        let target = &self.fleet.entries[entry];
        let requested_at = Instant::now();
        target.restart(&self.program);
        while !target.is_listening().await && requested_at.elapsed() < STOP_GRACE {
            tokio::time::sleep(POLL_INTERVAL).await;
            // Another action may have ended the process; like the platform, starts it again.
            target.restart(&self.program);
        }
    }
}
