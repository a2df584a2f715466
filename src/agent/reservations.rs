//! Reservations of the KV cache blocks and decode slots of one decode engine.
//!
//! Reservations that do not fit wait in a queue ordered by rank, then arrival. The
//! length of the wait is predicted from the expected ends of the running streams.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;

use crate::clock::as_ms_u32;
use crate::schema::manifest::Pool;
use crate::schema::wire::AttemptId;
use crate::schema::wire::Decode;
use crate::schema::wire::Load;
use crate::schema::wire::Reserve;
use crate::schema::wire::ResumePoint;

/// Interval at which a cancel is sent again until the engine confirms it.
pub const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long a granted reservation is kept without a decode request.
pub const GRANT_TTL: Duration = Duration::from_secs(10);
const US_PER_MS: u32 = 1_000;
/// Weight of a new sample in the moving average of the slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.1;
/// A running stream is expected to have at least its expected tokens divided by this
/// number still to produce, even if it is already longer than expected.
const MIN_REMAINING_DIVISOR: u32 = 8;
/// Time until decoding starts that the predicted wait assumes for a reservation
/// whose prefill or import is not done.
const TYPICAL_PREFILL_TIME: Duration = Duration::from_millis(200);

/// Progress of a reservation, from the queue to the confirmed cancel.
#[derive(Debug, Clone, PartialEq)]
pub enum Stage {
    /// In the queue; has neither blocks nor a decode slot yet.
    Waiting,
    /// Has blocks and a decode slot; waits for the decode request.
    Granted,
    /// The import of the KV cache is queued or in flight.
    Importing,
    /// The engine decodes the stream.
    Decoding,
    /// Being cancelled; the blocks stay in use until the engine confirms the cancel.
    Cancelling {
        /// When the cancel is sent to the engine again.
        retry_at: Duration,
    },
}

/// Capacity of a decode engine that is reserved, or waited for, by one attempt.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// Attempt that the reservation is for.
    pub id: AttemptId,
    /// Incarnation of the entry that requested it.
    pub entry: u64,
    /// Number of KV cache blocks reserved.
    pub blocks: u32,
    /// Expected number of output tokens, at least 1.
    pub expected_tokens: u32,
    /// Priority rank; lower is granted first.
    pub rank: u32,
    /// Current stage.
    pub stage: Stage,
    /// When the current stage began.
    pub stage_since: Duration,
    /// Decode request of the entry; `None` until it arrives.
    pub decode: Option<Decode>,
    /// When the prefill engine evicts the KV cache; `Duration::MAX` until the decode
    /// request says so.
    pub evicted_at: Duration,
    /// Number of imports started for this attempt.
    pub import_attempts: u32,
    /// Text of each token sent so far, kept to be sent again on a resume.
    pub sent_tokens: Vec<Bytes>,
    /// Number of times that the engine was asked for the rest of the stream since its
    /// latest token.
    pub resumes_without_token: u32,
    /// When the latest token arrived; `None` before the first.
    pub last_token_at: Option<Duration>,
    arrival_seq: u64,
}

impl Reservation {
    /// Index in the whole response of the first token of this attempt: above 0 if it
    /// continues a response.
    pub fn first_index(&self) -> u32 {
        self.decode.as_ref().map_or(0, |decode| decode.first_index)
    }
}

/// Result of a request to reserve capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The capacity is reserved now, with a wait of zero, or the request is queued, with
    /// the predicted wait given here.
    Accepted(Duration),
    /// Nothing is reserved: the predicted wait, given here, is too long or the engine
    /// is too small.
    Rejected(Duration),
}

/// All reservations of one decode engine, with its limits and measured speed.
#[derive(Debug, Default)]
pub struct ReservationTable {
    total_blocks: u32,
    max_streams: u32,
    step_base_us: u32,
    step_per_stream_us: u32,
    between_tokens_target_us: u32,
    /// Moving average of the ratio of measured to configured step time; 0 until
    /// [`Self::configure`] is called.
    slowdown: f64,
    orphans: u32,
    orphan_blocks: u32,
    next_arrival_seq: u64,
    reservations: HashMap<AttemptId, Reservation>,
}

impl ReservationTable {
    /// Sets the engine's limits from the manifest pool, and the target time between
    /// two tokens in milliseconds (0 for no target).
    pub fn configure(&mut self, pool: &Pool, between_tokens_target_ms: u32) {
        self.total_blocks = pool.blocks;
        self.max_streams = pool.max_streams;
        self.step_base_us = pool.step_base_us;
        self.step_per_stream_us = pool.step_per_stream_us;
        self.between_tokens_target_us = between_tokens_target_ms * US_PER_MS;
        if self.slowdown == 0.0 {
            self.slowdown = 1.0;
        }
    }

    /// Sets the number of orphaned streams at the engine and the blocks they use.
    pub fn set_orphans(&mut self, orphans: u32, blocks: u32) {
        self.orphans = orphans;
        self.orphan_blocks = blocks;
    }

    /// Reserves capacity for an attempt, or queues or rejects the request. A duplicate
    /// request reserves nothing more and gets the wait predicted now.
    pub fn reserve(&mut self, now: Duration, entry: u64, reserve: &Reserve) -> ReserveOutcome {
        let id = reserve.id.unwrap_or_default();
        let wait = match self.reservations.get(&id) {
            Some(reservation) if reservation.stage == Stage::Waiting => {
                self.predicted_wait_of(now, id)
            }
            Some(_) => Duration::ZERO,
            None => self.predicted_wait(now, reserve.blocks, reserve.rank),
        };
        let exists = self.reservations.contains_key(&id);
        let too_long = wait > Duration::from_millis(reserve.max_wait_ms.into());
        if !exists && (too_long || reserve.blocks > self.total_blocks) {
            return ReserveOutcome::Rejected(wait);
        }
        if !exists {
            let stage = if wait.is_zero() { Stage::Granted } else { Stage::Waiting };
            self.insert(now, entry, reserve, stage);
        }
        ReserveOutcome::Accepted(wait)
    }

    fn insert(&mut self, now: Duration, entry: u64, reserve: &Reserve, stage: Stage) {
        let id = reserve.id.unwrap_or_default();
        self.next_arrival_seq += 1;
        let reservation = Reservation {
            id,
            entry,
            blocks: reserve.blocks,
            expected_tokens: reserve.expected_tokens.max(1),
            rank: reserve.rank,
            stage,
            stage_since: now,
            decode: None,
            evicted_at: Duration::MAX,
            import_attempts: 0,
            sent_tokens: Vec::new(),
            resumes_without_token: 0,
            last_token_at: None,
            arrival_seq: self.next_arrival_seq,
        };
        self.reservations.insert(id, reservation);
    }

    /// Creates the reservation of an orphaned stream that its entry resumes.
    pub fn adopt_orphan(&mut self, now: Duration, blocks: u32, point: &ResumePoint) {
        let id = point.id.unwrap_or_default();
        let reserve = Reserve { id: Some(id), blocks, rank: point.rank, ..Reserve::default() };
        self.insert(now, id.entry, &reserve, Stage::Decoding);
        let reservation =
            self.reservations.get_mut(&id).expect("the reservation was inserted above");
        reservation.decode = Some(Decode {
            id: Some(id),
            first_index: point.next_index,
            max_tokens: point.max_tokens,
            rank: point.rank,
            ..Decode::default()
        });
    }

    /// Returns the reservation of an attempt.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Reservation> {
        self.reservations.get_mut(&id)
    }

    /// Returns true if the attempt has a reservation in any stage.
    pub fn contains(&self, id: AttemptId) -> bool {
        self.reservations.contains_key(&id)
    }

    /// Sets the stage of a reservation; without effect if there is none.
    pub fn set_stage(&mut self, now: Duration, id: AttemptId, stage: Stage) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.stage = stage;
            reservation.stage_since = now;
        }
    }

    /// Removes a reservation and frees its capacity.
    pub fn release(&mut self, id: AttemptId) -> Option<Reservation> {
        self.reservations.remove(&id)
    }

    /// Grants queued reservations, lowest rank and then earliest arrival first, until
    /// the next one does not fit. Returns the attempts granted.
    pub fn grant_waiting(&mut self, now: Duration) -> Vec<AttemptId> {
        let mut granted = Vec::new();
        for id in self.queue() {
            let blocks = self.reservations[&id].blocks;
            if !self.has_capacity_for(blocks) {
                break;
            }
            self.set_stage(now, id, Stage::Granted);
            granted.push(id);
        }
        granted
    }

    /// Attempts whose reservation was granted at least [`GRANT_TTL`] ago and still has no
    /// decode request.
    pub fn expired_grants(&self, now: Duration) -> Vec<AttemptId> {
        let is_expired = |reservation: &&Reservation| {
            reservation.stage == Stage::Granted
                && reservation.decode.is_none()
                && now >= reservation.stage_since + GRANT_TTL
        };
        self.reservations.values().filter(is_expired).map(|reservation| reservation.id).collect()
    }

    /// Returns the attempts whose cancel is to be sent again at `now`, and schedules the
    /// next repetition of each.
    pub fn due_cancel_retries(&mut self, now: Duration) -> Vec<AttemptId> {
        let mut due = Vec::new();
        for reservation in self.reservations.values_mut() {
            if let Stage::Cancelling { retry_at } = &mut reservation.stage
                && now >= *retry_at
            {
                *retry_at = now + CANCEL_RETRY_INTERVAL;
                due.push(reservation.id);
            }
        }
        due
    }

    /// Attempts of an entry that have a reservation in any stage.
    pub fn attempts_of_entry(&self, entry: u64) -> Vec<AttemptId> {
        self.reservations
            .values()
            .filter(|reservation| reservation.entry == entry)
            .map(|reservation| reservation.id)
            .collect()
    }

    /// Number of reservations in any stage.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Returns true if there is no reservation in any stage.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Number of blocks in use, including those of streams being cancelled and of orphans.
    pub fn held_blocks(&self) -> u32 {
        let active = self.active().map(|reservation| reservation.blocks);
        active.fold(self.orphan_blocks, u32::saturating_add)
    }

    /// Updates the estimated slowdown with the time between two tokens of a stream.
    pub fn observe_step(&mut self, step: Duration) {
        let expected_us = self.step_us(self.streams());
        if expected_us == 0 {
            return;
        }
        let ratio = step.as_micros() as f64 / f64::from(expected_us);
        self.slowdown += SLOWDOWN_SMOOTHING * (ratio - self.slowdown);
    }

    /// Number of streams that the engine can run at once and still meet the target
    /// time between tokens; at most `max_streams`.
    pub fn stream_limit(&self) -> u32 {
        if self.between_tokens_target_us == 0
            || self.step_per_stream_us == 0
            || self.slowdown <= 1.0 + SLOWDOWN_TOLERANCE
        {
            return self.max_streams;
        }
        let budget_us =
            f64::from(self.between_tokens_target_us) / self.slowdown - f64::from(self.step_base_us);
        let fits = (budget_us / f64::from(self.step_per_stream_us)).floor().max(0.0) as u32;
        fits.clamp(1, self.max_streams.max(1))
    }

    /// Sets the fields of a load report that describe decoding.
    pub fn fill_load_report(&self, now: Duration, load: &mut Load) {
        load.total_blocks = self.total_blocks;
        load.free_blocks = self.free_blocks();
        load.streams = self.streams();
        load.stream_limit = self.stream_limit();
        load.waiting = self.waiting();
        load.step_us = (f64::from(self.step_us(self.streams())) * self.slowdown) as u32;
        let typical_blocks = self.held_blocks() / self.streams().max(1);
        load.wait_ms = as_ms_u32(self.predicted_wait(now, typical_blocks, u32::MAX));
    }

    /// When the next grant expires or the next cancel is to be repeated.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let due = self.reservations.values().filter_map(|reservation| match reservation.stage {
            Stage::Cancelling { retry_at } => Some(retry_at),
            Stage::Granted if reservation.decode.is_none() => {
                Some(reservation.stage_since + GRANT_TTL)
            }
            _ => None,
        });
        due.min()
    }

    fn active(&self) -> impl Iterator<Item = &Reservation> {
        self.reservations.values().filter(|reservation| reservation.stage != Stage::Waiting)
    }

    fn streams(&self) -> u32 {
        self.active().count() as u32 + self.orphans
    }

    fn waiting(&self) -> u32 {
        self.reservations.values().filter(|reservation| reservation.stage == Stage::Waiting).count()
            as u32
    }

    fn free_blocks(&self) -> u32 {
        self.total_blocks.saturating_sub(self.held_blocks())
    }

    fn step_us(&self, streams: u32) -> u32 {
        self.step_base_us + streams * self.step_per_stream_us
    }

    fn has_capacity_for(&self, blocks: u32) -> bool {
        self.streams() < self.stream_limit() && self.free_blocks() >= blocks
    }

    fn queue(&self) -> Vec<AttemptId> {
        let mut waiting: Vec<&Reservation> = self
            .reservations
            .values()
            .filter(|reservation| reservation.stage == Stage::Waiting)
            .collect();
        waiting.sort_by_key(|reservation| (reservation.rank, reservation.arrival_seq));
        waiting.into_iter().map(|reservation| reservation.id).collect()
    }

    fn predicted_wait_of(&self, now: Duration, id: AttemptId) -> Duration {
        let reservation = &self.reservations[&id];
        self.predicted_wait_behind(now, reservation.blocks, |other| {
            (other.rank, other.arrival_seq) < (reservation.rank, reservation.arrival_seq)
        })
    }

    fn predicted_wait(&self, now: Duration, blocks: u32, rank: u32) -> Duration {
        self.predicted_wait_behind(now, blocks, |other| other.rank <= rank)
    }

    /// Simulates the expected ends of the running streams until `blocks` blocks and a
    /// slot are free after all queued reservations that `is_ahead` selects.
    fn predicted_wait_behind(
        &self,
        now: Duration,
        blocks: u32,
        is_ahead: impl Fn(&Reservation) -> bool,
    ) -> Duration {
        let mut needed: Vec<u32> = self
            .queue()
            .into_iter()
            .map(|id| &self.reservations[&id])
            .filter(|reservation| is_ahead(reservation))
            .map(|reservation| reservation.blocks)
            .collect();
        needed.push(blocks);
        let mut needed = needed.into_iter().peekable();
        let mut free_blocks = self.free_blocks();
        let mut free_streams = self.stream_limit().saturating_sub(self.streams());
        let mut ends: Vec<(Duration, u32)> = self
            .active()
            .map(|reservation| (self.expected_end(now, reservation), reservation.blocks))
            .collect();
        ends.sort_unstable();
        let mut at = now;
        let mut ends = ends.into_iter();
        loop {
            while needed.peek().is_some_and(|&next| free_streams > 0 && free_blocks >= next) {
                free_blocks -= needed.next().unwrap_or_default();
                free_streams -= 1;
            }
            if needed.peek().is_none() {
                return at.saturating_sub(now);
            }
            let Some((end, freed)) = ends.next() else { return UNBOUNDED_WAIT };
            at = end;
            free_blocks += freed;
            free_streams += 1;
        }
    }

    fn expected_end(&self, now: Duration, reservation: &Reservation) -> Duration {
        let step_us = f64::from(self.step_us(self.streams())) * self.slowdown;
        let sent = reservation.sent_tokens.len() as u32;
        let min_remaining = reservation.expected_tokens / MIN_REMAINING_DIVISOR;
        let remaining = reservation.expected_tokens.saturating_sub(sent).max(min_remaining).max(1);
        let decoding = Duration::from_micros((step_us * f64::from(remaining)) as u64);
        match reservation.stage {
            Stage::Cancelling { .. } => now + CANCEL_RETRY_INTERVAL,
            Stage::Decoding => now + decoding,
            _ => now + TYPICAL_PREFILL_TIME + decoding,
        }
    }
}

/// A slowdown up to this much above 1 does not reduce the stream limit.
const SLOWDOWN_TOLERANCE: f64 = 0.1;
/// Wait predicted for a reservation that does not fit even when all streams have ended.
const UNBOUNDED_WAIT: Duration = Duration::from_secs(60);
