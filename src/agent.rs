//! The decision core of the agent, the one process that talks to an upstream.
//!
//! The agent allocates the upstream's capacity, suppresses duplicate messages,
//! keeps a lease for each entry, cancels work that no entry waits for,
//! and drains before it exits. The core does no I/O and reads no clock: it takes
//! messages, upstream events and the time, and returns typed actions.

pub mod calls;
mod decode;
mod event;
pub mod orders;
mod prefill;
pub mod reservations;
pub mod sessions;
pub mod transfers;

pub use event::AgentAction;
pub use event::AgentConfig;
pub use event::AgentEvent;
pub use event::AgentRecord;
pub use event::Decision;
pub use event::RunningStream;
pub use event::UpstreamEvent;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::agent::calls::CallTable;
use crate::agent::orders::Orders;
use crate::agent::prefill::PrefillQueue;
use crate::agent::reservations::ReservationTable;
use crate::agent::sessions::Sessions;
use crate::agent::transfers::TransferSchedule;
use crate::clock::as_ms;
use crate::manifest::Snapshot;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::Load;
use crate::schema::wire::to_agent::Kind as ToAgent;
use crate::schema::wire::to_entry::Kind as ToEntry;

/// Minimum stay of a leaving agent, in heartbeat intervals, even if it is idle.
const MIN_DRAIN_HEARTBEATS: u32 = 2;
/// How often within one lease time the engine is asked which streams it runs.
const INVENTORIES_PER_LEASE: u32 = 3;

/// Whether the engine has reported the streams that an earlier agent left running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamInventory {
    NotRequested,
    Requested,
    Received,
}

/// A running stream of the engine that has no reservation in this agent.
#[derive(Debug, Clone, Copy)]
struct Orphan {
    cancel_at: Duration,
    blocks: u32,
}

/// A completed stream, kept so that an entry that reconnects can read the rest.
#[derive(Debug, Clone)]
struct FinishedStream {
    forget_at: Duration,
    first_index: u32,
    sent_tokens: Vec<Bytes>,
    finish_reason: String,
}

/// The decision core of one agent: a state machine without I/O.
#[derive(Debug)]
pub struct AgentCore {
    config: AgentConfig,
    snapshot: Option<Arc<Snapshot>>,
    sessions: Sessions,
    reservations: ReservationTable,
    transfers: TransferSchedule,
    prefills: PrefillQueue,
    calls: CallTable,
    orders: Orders,
    orphans: HashMap<AttemptId, Orphan>,
    finished: HashMap<AttemptId, FinishedStream>,
    /// Ended attempts that a duplicate request must not start again, with the time to
    /// forget them.
    tombstones: HashMap<AttemptId, Duration>,
    inventory: StreamInventory,
    inventory_requested_at: Duration,
    first_inventory_at: Option<Duration>,
    leaving_since: Option<Duration>,
    overdue_reported: bool,
    exit_requested: bool,
}

impl AgentCore {
    /// Creates a core without manifest, entries or work.
    pub fn new(config: AgentConfig) -> Self {
        Self {
            sessions: Sessions::new(config.lease_ttl, config.heartbeat_interval),
            calls: CallTable::new(config.tombstone_ttl),
            orders: Orders::new(config.incarnation),
            config,
            snapshot: None,
            reservations: ReservationTable::default(),
            transfers: TransferSchedule::default(),
            prefills: PrefillQueue::default(),
            orphans: HashMap::new(),
            finished: HashMap::new(),
            tombstones: HashMap::new(),
            inventory: StreamInventory::NotRequested,
            inventory_requested_at: Duration::ZERO,
            first_inventory_at: None,
            leaving_since: None,
            overdue_reported: false,
            exit_requested: false,
        }
    }

    /// Handles one event and all timers due at `now`, and appends the resulting
    /// actions to `out`.
    pub fn handle(&mut self, now: Duration, event: AgentEvent, out: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::EntryConnected(hello) => self.connect(now, &hello, out),
            AgentEvent::EntryDisconnected { entry } => self.sessions.disconnect(entry),
            AgentEvent::FromEntry { entry, message } => {
                if self.sessions.renew_lease(now, entry) {
                    self.on_message(now, entry, message, out);
                }
            }
            AgentEvent::Upstream(event) => self.on_upstream(now, event, out),
            AgentEvent::Leave => self.leave(now, out),
            AgentEvent::Tick => {}
        }
        self.tick(now, out);
    }

    /// Latest time at which the caller must pass the next event, if only a
    /// [`AgentEvent::Tick`]. Never earlier than `now`.
    pub fn next_wakeup(&self, now: Duration) -> Duration {
        let periodic = self.sessions.next_wakeup(now);
        let times = [
            self.transfers.next_wakeup(),
            self.reservations.next_wakeup(),
            self.prefills.next_wakeup(),
        ];
        times.into_iter().flatten().fold(periodic, Duration::min).max(now)
    }

    /// Generation of the manifest in force at this agent, or 0 without one.
    pub fn generation(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.generation)
    }

    /// Returns true from [`AgentEvent::Leave`] on, while the agent drains.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// KV cache blocks in use: by reservations, including those being cancelled,
    /// and by orphaned streams.
    pub fn held_blocks(&self) -> u32 {
        self.reservations.held_blocks()
    }

    /// Number of requests that keep a draining agent from exiting: reservations,
    /// prefills and their unfetched results, unfinished calls and orphaned streams.
    pub fn held_requests(&self) -> usize {
        self.reservations.len() + self.prefills.len() + self.calls.unfinished() + self.orphans.len()
    }

    /// Builds the load report that is sent to the entries.
    pub fn load(&self, now: Duration) -> Load {
        let mut load = Load { at_ms: as_ms(now), ..Load::default() };
        self.reservations.fill_load_report(now, &mut load);
        self.prefills.fill_load_report(&mut load);
        load.calls = self.calls.unfinished() as u32;
        load
    }

    /// Builds the first message to an entry that connected.
    pub fn hello(&self, now: Duration) -> ToEntry {
        ToEntry::Hello(wire::AgentHello {
            incarnation: self.config.incarnation,
            name: self.config.name.to_string(),
            pool: self.config.pool.to_string(),
            region: self.config.region.to_string(),
            zone: self.config.zone.to_string(),
            upstream: self.config.upstream.to_string(),
            generation: self.generation(),
            leaving: self.is_leaving(),
            load: Some(self.load(now)),
        })
    }

    fn connect(&mut self, now: Duration, hello: &wire::EntryHello, out: &mut Vec<AgentAction>) {
        self.sessions.connect(now, hello.entry);
        out.push(AgentAction::Send { entry: hello.entry, message: self.hello(now) });
        self.pull_if_behind(hello.entry, hello.generation, out);
    }

    fn pull_if_behind(&self, entry: u64, entry_generation: u64, out: &mut Vec<AgentAction>) {
        let own_generation = self.generation();
        if entry_generation > own_generation {
            let pull =
                ToEntry::ManifestPull(wire::ManifestPull { have_generation: own_generation });
            out.push(AgentAction::Send { entry, message: pull });
        }
    }

    fn on_message(
        &mut self,
        now: Duration,
        entry: u64,
        message: ToAgent,
        out: &mut Vec<AgentAction>,
    ) {
        match message {
            ToAgent::Hello(hello) => self.connect(now, &hello, out),
            ToAgent::Heartbeat(heartbeat) => self.pull_if_behind(entry, heartbeat.generation, out),
            ToAgent::Reserve(reserve) => self.on_reserve(now, entry, &reserve, out),
            ToAgent::Prefill(prefill) => self.on_prefill(now, entry, prefill, out),
            ToAgent::PrefillUsed(used) => self.on_prefill_used(used.id.unwrap_or_default(), out),
            ToAgent::Decode(decode) => self.on_decode(now, entry, decode, out),
            ToAgent::Call(call) => self.on_call(now, entry, call, out),
            ToAgent::Cancel(cancel) => {
                self.on_cancel(now, entry, cancel.id.unwrap_or_default(), out)
            }
            ToAgent::Abandon(abandon) => self.on_abandon(now, entry, &abandon, out),
            ToAgent::Resume(resume) => self.on_resume(now, entry, &resume, out),
            ToAgent::Manifest(copy) => self.on_manifest(&copy, out),
            ToAgent::ManifestPull(pull) => self.on_manifest_pull(entry, &pull, out),
        }
    }

    fn on_manifest_pull(&self, entry: u64, pull: &wire::ManifestPull, out: &mut Vec<AgentAction>) {
        let Some(snapshot) = &self.snapshot else { return };
        if snapshot.generation > pull.have_generation {
            let copy = wire::ManifestCopy {
                generation: snapshot.generation,
                body: snapshot.body.to_string(),
            };
            out.push(AgentAction::Send { entry, message: ToEntry::Manifest(copy) });
        }
    }

    fn on_manifest(&mut self, copy: &wire::ManifestCopy, out: &mut Vec<AgentAction>) {
        if copy.generation <= self.generation() {
            return;
        }
        if copy.body.len() > self.config.max_manifest_bytes {
            record(
                out,
                Decision::ManifestRefused,
                None,
                "manifest body exceeds max_manifest_bytes",
            );
            return;
        }
        match Snapshot::parse(copy.generation, &copy.body) {
            Ok(snapshot) => self.adopt(Arc::new(snapshot), out),
            Err(findings) => {
                let detail = findings.first().map(ToString::to_string).unwrap_or_default();
                record(out, Decision::ManifestRefused, None, &detail);
            }
        }
    }

    /// Puts `snapshot` in force if its generation is newer than the current one,
    /// and applies it to the queues, limits and engine orders.
    pub fn adopt(&mut self, snapshot: Arc<Snapshot>, out: &mut Vec<AgentAction>) {
        if snapshot.generation <= self.generation() {
            return;
        }
        record(out, Decision::ManifestAdopted, None, &snapshot.generation.to_string());
        if let Some(pool) = snapshot.pool(&self.config.pool) {
            // Until the engine has listed the streams that an earlier agent
            // left, its free memory is unknown and no slot is granted.
            if pool.is_decode() && self.inventory == StreamInventory::NotRequested {
                self.inventory = StreamInventory::Requested;
                out.push(AgentAction::ListStreams);
            }
            let model = snapshot.model_of_pool(&pool.name);
            self.reservations
                .configure(pool, model.map_or(0, |model| model.between_tokens_target_ms));
            self.prefills.configure(pool);
            self.calls.configure(pool.max_calls);
            self.transfers.configure(&snapshot, pool, &self.config.zone);
            let desired_model = model.map(|model| CompactString::from(model.name.as_str()));
            self.orders.configure(snapshot.generation, desired_model, pool.checks_fencing, out);
        }
        self.snapshot = Some(snapshot);
    }

    fn on_upstream(&mut self, now: Duration, event: UpstreamEvent, out: &mut Vec<AgentAction>) {
        match event {
            UpstreamEvent::PrefillDone { id, handle, cached_tokens, kv_bytes } => {
                self.on_prefill_done(now, id, handle, cached_tokens, kv_bytes, out);
            }
            UpstreamEvent::PrefillFailed { id, reason } => {
                self.on_prefill_failed(now, id, reason, out)
            }
            UpstreamEvent::Imported { id } => self.on_imported(now, id, out),
            UpstreamEvent::ImportFailed { id, evicted } => {
                self.on_import_failed(now, id, evicted, out)
            }
            UpstreamEvent::Chunk { id, index, text, last, finish_reason } => {
                let chunk = wire::Chunk { id: Some(id), index, text, last, finish_reason };
                self.on_chunk(now, chunk, out);
            }
            UpstreamEvent::StreamDisconnected { id } => self.on_stream_disconnected(now, id, out),
            UpstreamEvent::StreamInvalid { id, reason } => {
                self.on_stream_invalid(now, id, &reason, out)
            }
            UpstreamEvent::StreamFailed { id, reason } => {
                self.on_stream_failed(now, id, reason, out)
            }
            UpstreamEvent::Cancelled { id } => self.on_cancelled(now, id, out),
            UpstreamEvent::CallDone { id, reply } => self.on_call_done(now, id, reply, out),
            UpstreamEvent::RunningStreams { streams } => self.on_running_streams(now, &streams),
            UpstreamEvent::State(state) => self.orders.on_state(&state, out),
        }
    }

    /// Marks streams without a reservation as orphans: an earlier agent started
    /// them, or they arrived at the engine after they were cancelled. Entries have
    /// one lease time from the first inventory to resume theirs.
    fn on_running_streams(&mut self, now: Duration, streams: &[RunningStream]) {
        let first_inventory_at = *self.first_inventory_at.get_or_insert(now);
        let cancel_at = now.max(first_inventory_at + self.config.lease_ttl);
        self.orphans.retain(|id, _| streams.iter().any(|stream| stream.id == *id));
        for stream in streams.iter().filter(|stream| !self.reservations.contains(stream.id)) {
            let orphan = Orphan { cancel_at, blocks: stream.blocks };
            self.orphans.entry(stream.id).or_insert(orphan);
        }
        self.inventory = StreamInventory::Received;
        self.update_orphan_capacity();
    }

    fn refresh_inventory(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        let due = self.inventory_requested_at + self.config.lease_ttl / INVENTORIES_PER_LEASE;
        if self.inventory == StreamInventory::Received && now >= due {
            self.inventory_requested_at = now;
            out.push(AgentAction::ListStreams);
        }
    }

    fn update_orphan_capacity(&mut self) {
        let blocks = self.orphans.values().map(|orphan| orphan.blocks).fold(0, u32::saturating_add);
        self.reservations.set_orphans(self.orphans.len() as u32, blocks);
    }

    fn leave(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        record(out, Decision::DrainStarted, None, "");
        self.sessions.schedule_heartbeats_now();
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        for entry in self.sessions.take_expired(now) {
            self.expire_lease(now, entry, out);
        }
        self.refresh_inventory(now, out);
        self.cancel_orphans(now, out);
        self.tombstones.retain(|_, forget_at| now < *forget_at);
        self.finished.retain(|_, finished| now < finished.forget_at);
        self.calls.remove_expired_tombstones(now);
        self.advance_calls(now, out);
        self.start_prefills(now, out);
        self.advance_reservations(now, out);
        self.start_transfers(now, out);
        self.send_heartbeats(now, out);
        self.orders.poll(now, out);
        self.finish_drain(now, out);
    }

    fn expire_lease(&mut self, now: Duration, entry: u64, out: &mut Vec<AgentAction>) {
        record(out, Decision::LeaseLapsed, None, &entry.to_string());
        out.push(AgentAction::CloseEntry { entry });
        for id in self.reservations.attempts_of_entry(entry) {
            self.cancel_attempt(now, id, out);
        }
        for id in self.prefills.attempts_of_entry(entry) {
            self.cancel_prefill(id, out);
        }
        for id in self.calls.queued_attempts_of_entry(entry) {
            self.calls.fence(now, id);
            record(out, Decision::CallFenced, Some(id), "lease of the entry expired");
        }
    }

    fn cancel_orphans(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        for (&id, orphan) in &mut self.orphans {
            if now >= orphan.cancel_at {
                orphan.cancel_at = now + reservations::CANCEL_RETRY_INTERVAL;
                record(out, Decision::OrphanCancelled, Some(id), "");
                out.push(AgentAction::Cancel { id });
            }
        }
    }

    fn send_heartbeats(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        let entries = self.sessions.take_due_heartbeats(now);
        if entries.is_empty() {
            return;
        }
        let heartbeat = wire::AgentHeartbeat {
            generation: self.generation(),
            leaving: self.is_leaving(),
            load: Some(self.load(now)),
        };
        for entry in entries {
            out.push(AgentAction::Send { entry, message: ToEntry::Heartbeat(heartbeat) });
        }
    }

    fn finish_drain(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        let Some(since) = self.leaving_since else { return };
        // Requests that were sent before the entry learned that this agent leaves
        // still arrive here and are rejected as not run, instead of being lost
        // with the connection.
        let min_stay_over = now >= since + self.config.heartbeat_interval * MIN_DRAIN_HEARTBEATS;
        if min_stay_over && self.held_requests() == 0 && !self.exit_requested {
            self.exit_requested = true;
            out.push(AgentAction::Exit);
        }
        let bound_ms =
            self.snapshot.as_ref().map_or(u64::MAX, |snapshot| snapshot.manifest.drain_bound_ms);
        if !self.overdue_reported && as_ms(now.saturating_sub(since)) > bound_ms {
            self.overdue_reported = true;
            record(out, Decision::DrainOverdue, None, &self.held_requests().to_string());
        }
    }
}

fn record(out: &mut Vec<AgentAction>, decision: Decision, id: Option<AttemptId>, detail: &str) {
    out.push(AgentAction::Record(AgentRecord { decision, id, detail: detail.to_string() }));
}

fn reject(
    out: &mut Vec<AgentAction>,
    entry: u64,
    id: AttemptId,
    reason: &str,
    retry_after_ms: u32,
    load: Load,
) {
    let rejected = wire::Rejected {
        id: Some(id),
        reason: reason.to_string(),
        retry_after_ms,
        load: Some(load),
    };
    out.push(AgentAction::Send { entry, message: ToEntry::Rejected(rejected) });
}
