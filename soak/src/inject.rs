//! Carries out a plan, and notes what was disturbed when.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::fleet::Fleet;
use crate::fleet::GRACE;
use crate::plan::Action;
use crate::plan::Event;
use crate::plan::Slip;
use crate::proxy::Harm;
use crate::proxy::Proxy;

/// Something was not in order for a while.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// What was done.
    pub action: Action,
    /// From when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
    /// Exit code of an entry that was stopped as planned; `None` after a signal.
    pub exit: Option<Option<i32>>,
}

impl Disturbance {
    /// The entry that it is about, if it is about one.
    pub fn entry(&self) -> Option<usize> {
        match self.action {
            Action::StoreLink(entry, ..)
            | Action::CallerLink(entry, ..)
            | Action::Stop(entry)
            | Action::Kill(entry)
            | Action::Pause(entry, _)
            | Action::Settings(entry) => Some(entry),
            _ => None,
        }
    }

    /// True for work that users do on an ordinary day.
    pub fn is_planned(&self) -> bool {
        matches!(
            self.action,
            Action::Stop(_) | Action::Settings(_) | Action::Configure | Action::Replace(_)
        )
    }

    /// True if it is about a replica, or the ways to it.
    pub fn is_of_replica(&self) -> bool {
        matches!(self.action, Action::ReplicaLink(..) | Action::Slip(..) | Action::Full(..))
    }

    /// True if it is about the store, or an entry's way to it.
    pub fn is_of_store(&self) -> bool {
        matches!(
            self.action,
            Action::StoreDown(_)
                | Action::StoreSlow(..)
                | Action::StoreForgets
                | Action::StoreLink(..)
        )
    }
}

const POLL: Duration = Duration::from_millis(10);
/// A replica may get no request in which it could slip.
const SLIP_LIMIT: Duration = Duration::from_secs(3);
/// Beyond the grace, the platform kills.
const KILL_AFTER: Duration = GRACE;
/// Steps of the configuration's version.
const VERSION_STEP: u64 = 3;

pub(crate) struct Injector {
    fleet: Arc<Fleet>,
    program: PathBuf,
    version: AtomicU64,
    disturbances: Mutex<Vec<Disturbance>>,
}

impl Injector {
    pub(crate) fn new(fleet: Arc<Fleet>, program: &Path) -> Arc<Self> {
        let program = program.to_path_buf();
        Arc::new(Self {
            fleet,
            program,
            version: AtomicU64::new(1),
            disturbances: Mutex::default(),
        })
    }

    /// Carries out all events, and waits for the last one to be over.
    pub(crate) async fn play(self: Arc<Self>, events: Vec<Event>) -> Vec<Disturbance> {
        let begin = Instant::now();
        let mut underway = JoinSet::new();
        for event in events {
            tokio::time::sleep(event.at.saturating_sub(begin.elapsed())).await;
            underway.spawn(self.clone().carry_out(event.action));
        }
        while underway.join_next().await.is_some() {}
        self.disturbances.lock().expect("no holder panics").clone()
    }

    async fn carry_out(self: Arc<Self>, action: Action) {
        let from = Instant::now();
        let exit = self.act(action).await;
        let disturbance = Disturbance { action, from, until: Instant::now(), exit };
        self.disturbances.lock().expect("no holder panics").push(disturbance);
    }

    async fn act(&self, action: Action) -> Option<Option<i32>> {
        let (fleet, store) = (&self.fleet, &self.fleet.store);
        match action {
            Action::StoreDown(length) => {
                store.down.set(true);
                tokio::time::sleep(length).await;
                store.down.set(false);
            }
            Action::StoreSlow(delay, length) => {
                store.request_delay.set(delay);
                tokio::time::sleep(length).await;
                store.request_delay.set(Duration::ZERO);
            }
            Action::StoreForgets => store.drop_history(standins::platform::store::REPLICAS_TOPIC),
            Action::StoreLink(entry, harm, length) => {
                self.harm(&fleet.entries[entry].store, harm, length).await;
            }
            Action::CallerLink(entry, harm, length) => {
                self.harm(&fleet.entries[entry].callers, harm, length).await;
            }
            Action::ReplicaLink(place, harm, length) => {
                self.harm(&fleet.node(place).proxy, harm, length).await;
            }
            Action::Slip(place, slip) => self.slip(place, slip).await,
            Action::Full(place, length) => {
                let node = fleet.node(place);
                node.replica.full.set(true);
                tokio::time::sleep(length).await;
                node.replica.full.set(false);
            }
            Action::Replace(place) => fleet.clone().replace(place).await,
            Action::Stop(entry) => return self.stop(entry).await,
            Action::Kill(entry) => {
                fleet.entries[entry].kill(fleet.entries[entry].process_id());
                self.start_again(entry).await;
            }
            Action::KillAll => {
                fleet.entries.iter().for_each(|entry| entry.kill(entry.process_id()));
                for entry in 0..fleet.entries.len() {
                    self.start_again(entry).await;
                }
            }
            Action::Pause(entry, length) => {
                fleet.entries[entry].signal("STOP");
                tokio::time::sleep(length).await;
                fleet.entries[entry].signal("CONT");
            }
            Action::Settings(entry) => fleet.entries[entry].touch_settings(),
            Action::Configure => {
                let version = self.version.fetch_add(VERSION_STEP, Ordering::SeqCst);
                fleet.configure(version + VERSION_STEP);
            }
        }
        None
    }

    async fn harm(&self, proxy: &Proxy, harm: Harm, length: Duration) {
        proxy.set(harm);
        tokio::time::sleep(length).await;
        // Connections that lost bytes stay silent; they go with a reset.
        proxy.set(Harm::Reset);
        tokio::time::sleep(POLL).await;
        proxy.set(Harm::None);
    }

    async fn slip(&self, place: usize, slip: Slip) {
        let replica = self.fleet.node(place).replica.clone();
        let switch = match slip {
            Slip::LosesAnswer => &replica.lose_next_response,
            Slip::Refuses => &replica.reject_next,
            Slip::Mistakes => &replica.mismatch_next_id,
            Slip::Breaks => &replica.break_next_stream,
            Slip::Errs => &replica.fail_next,
        };
        switch.set(true);
        let begin = Instant::now();
        while switch.is_on() && begin.elapsed() < SLIP_LIMIT {
            tokio::time::sleep(POLL).await;
        }
        switch.set(false);
    }

    /// Stops an entry as planned, and starts it again. Returns the exit code,
    /// unless another fault has replaced the process meanwhile.
    async fn stop(&self, entry: usize) -> Option<Option<i32>> {
        let running = &self.fleet.entries[entry];
        let process_id = running.process_id();
        running.signal("TERM");
        let asked = Instant::now();
        while running.ended().is_none() && asked.elapsed() < KILL_AFTER {
            if running.process_id() != process_id {
                return None;
            }
            tokio::time::sleep(POLL).await;
        }
        let exit = running.ended().flatten();
        running.kill(process_id);
        self.start_again(entry).await;
        Some(exit)
    }

    /// Starts an entry that has ended again, and waits until it listens.
    async fn start_again(&self, entry: usize) {
        let running = &self.fleet.entries[entry];
        let asked = Instant::now();
        running.restart(&self.program);
        while !running.listens().await && asked.elapsed() < GRACE {
            tokio::time::sleep(POLL).await;
            // The platform starts what has ended again.
            running.restart(&self.program);
        }
    }
}
