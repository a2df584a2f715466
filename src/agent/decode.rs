//! The steps of a decode request at the agent: reserve capacity, import the KV
//! cache, relay the tokens, cancel, and resume after an entry reconnects.

use std::time::Duration;

use bytes::Bytes;

use crate::agent::AgentAction;
use crate::agent::AgentCore;
use crate::agent::Decision;
use crate::agent::FinishedStream;
use crate::agent::StreamInventory;
use crate::agent::record;
use crate::agent::reject;
use crate::agent::reservations::CANCEL_RETRY_INTERVAL;
use crate::agent::reservations::ReserveOutcome;
use crate::agent::reservations::Stage;
use crate::clock::as_ms_u32;
use crate::clock::from_ms;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_entry::Kind as ToEntry;

/// Imports started for one attempt, the first included.
const MAX_IMPORT_ATTEMPTS: u32 = 2;
/// Times in a row that an engine is asked for the rest of a stream without a token from it.
const MAX_RESUMES_WITHOUT_TOKEN: u32 = 3;
const REASON_BROKE_OFF: &str = "broke-off";
const REASON_TRANSFER_FAILED: &str = "transfer-failed";
const REASON_STOPPED: &str = "stopped";
const REASON_ENGINE_UNKNOWN: &str = "engine-unknown";
const ENGINE_UNKNOWN_RETRY_AFTER_MS: u32 = 300;
const REASON_NO_SLOT: &str = "no-slot";

impl AgentCore {
    pub(super) fn on_reserve(
        &mut self,
        now: Duration,
        entry: u64,
        reserve: &wire::Reserve,
        out: &mut Vec<AgentAction>,
    ) {
        let id = reserve.id.unwrap_or_default();
        if self.inventory != StreamInventory::Received {
            reject(
                out,
                entry,
                id,
                REASON_ENGINE_UNKNOWN,
                ENGINE_UNKNOWN_RETRY_AFTER_MS,
                self.load(now),
            );
            return;
        }
        if self.is_leaving() || self.tombstones.contains_key(&id) {
            reject(out, entry, id, "leaving", 0, self.load(now));
            return;
        }
        let (granted, wait) = match self.reservations.reserve(now, entry, reserve) {
            ReserveOutcome::Accepted(wait) => (true, wait),
            ReserveOutcome::Rejected(wait) => (false, wait),
        };
        let reply = wire::ReserveReply {
            id: Some(id),
            granted,
            wait_ms: as_ms_u32(wait),
            load: Some(self.load(now)),
        };
        out.push(AgentAction::Send { entry, message: ToEntry::ReserveReply(reply) });
    }

    pub(super) fn on_decode(
        &mut self,
        now: Duration,
        entry: u64,
        decode: wire::Decode,
        out: &mut Vec<AgentAction>,
    ) {
        let id = decode.id.unwrap_or_default();
        let evicted_at = now + from_ms(decode.lives_ms);
        let Some(reservation) = self.reservations.get_mut(id) else {
            reject(out, entry, id, REASON_NO_SLOT, 0, self.load(now));
            return;
        };
        if reservation.decode.is_some() {
            record(out, Decision::DuplicateDropped, Some(id), "decode");
            return;
        }
        reservation.evicted_at = evicted_at;
        reservation.decode = Some(decode);
        if reservation.stage == Stage::Granted {
            self.queue_import(now, id);
        }
    }

    fn queue_import(&mut self, now: Duration, id: AttemptId) {
        let Some(reservation) = self.reservations.get_mut(id) else { return };
        let Some(decode) = reservation.decode.clone() else { return };
        let deadline = reservation.evicted_at;
        self.reservations.set_stage(now, id, Stage::Importing);
        self.transfers.push(id, &decode.source_zone, decode.kv_bytes, deadline);
    }

    pub(super) fn start_transfers(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        for transfer in self.transfers.start(now) {
            let Some(reservation) = self.reservations.get_mut(transfer.id) else { continue };
            let Some(decode) = reservation.decode.clone() else { continue };
            reservation.import_attempts += 1;
            out.push(AgentAction::Import { decode, timeout: transfer.timeout });
        }
    }

    pub(super) fn on_imported(&mut self, now: Duration, id: AttemptId, out: &mut Vec<AgentAction>) {
        let Some(reservation) = self.reservations.get_mut(id) else {
            out.push(AgentAction::Cancel { id });
            return;
        };
        if reservation.stage != Stage::Importing {
            return;
        }
        let Some(decode) = reservation.decode.clone() else { return };
        let entry = reservation.entry;
        self.reservations.set_stage(now, id, Stage::Decoding);
        let imported = wire::Imported { id: Some(id) };
        out.push(AgentAction::Send { entry, message: ToEntry::Imported(imported) });
        out.push(AgentAction::Decode {
            id,
            from_index: decode.first_index,
            max_tokens: decode.max_tokens,
            rank: decode.rank,
        });
    }

    pub(super) fn on_import_failed(
        &mut self,
        now: Duration,
        id: AttemptId,
        evicted: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(reservation) = self.reservations.get_mut(id) else { return };
        if reservation.stage != Stage::Importing {
            return;
        }
        let may_retry = !evicted
            && reservation.import_attempts < MAX_IMPORT_ATTEMPTS
            && now < reservation.evicted_at;
        if may_retry {
            record(out, Decision::TransferRetried, Some(id), "");
            self.queue_import(now, id);
            return;
        }
        record(
            out,
            Decision::TransferFailed,
            Some(id),
            if evicted { "evicted" } else { "stalled" },
        );
        self.fail_stream(now, id, REASON_TRANSFER_FAILED, out);
    }

    fn fail_stream(
        &mut self,
        now: Duration,
        id: AttemptId,
        reason: &str,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(reservation) = self.reservations.get_mut(id) else { return };
        let failed = wire::StreamFailed { id: Some(id), reason: reason.to_string() };
        out.push(AgentAction::Send {
            entry: reservation.entry,
            message: ToEntry::StreamFailed(failed),
        });
        self.cancel_attempt(now, id, out);
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Duration,
        chunk: wire::Chunk,
        out: &mut Vec<AgentAction>,
    ) {
        let id = chunk.id.unwrap_or_default();
        let Some(reservation) = self.reservations.get_mut(id) else {
            out.push(AgentAction::Cancel { id });
            return;
        };
        let first = reservation.first_index();
        let expected = first + reservation.sent_tokens.len() as u32;
        if reservation.stage != Stage::Decoding || chunk.index != expected {
            return;
        }
        reservation.sent_tokens.push(chunk.text.clone());
        reservation.resumes_without_token = 0;
        let entry = reservation.entry;
        let step = reservation.last_token_at.replace(now).map(|before| now.saturating_sub(before));
        let last = chunk.last;
        let finish_reason = chunk.finish_reason.clone();
        out.push(AgentAction::Send { entry, message: ToEntry::Chunk(chunk) });
        if let Some(step) = step {
            self.reservations.observe_step(step);
        }
        if last {
            self.finish(now, id, finish_reason);
        }
    }

    fn finish(&mut self, now: Duration, id: AttemptId, finish_reason: String) {
        let Some(reservation) = self.reservations.release(id) else { return };
        let finished = FinishedStream {
            forget_at: now + self.config.lease_ttl,
            first_index: reservation.first_index(),
            sent_tokens: reservation.sent_tokens,
            finish_reason,
        };
        self.finished.insert(id, finished);
        self.add_tombstone(now, id);
    }

    /// Remembers an ended attempt for one lease time, so that a duplicate request
    /// does not start it again.
    fn add_tombstone(&mut self, now: Duration, id: AttemptId) {
        self.tombstones.insert(id, now + self.config.lease_ttl);
    }

    /// Asks the engine for the rest of a stream, or fails it if the last times brought no
    /// token.
    pub(super) fn on_stream_disconnected(
        &mut self,
        now: Duration,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(reservation) = self.reservations.get_mut(id) else { return };
        if reservation.stage != Stage::Decoding {
            return;
        }
        if reservation.resumes_without_token >= MAX_RESUMES_WITHOUT_TOKEN {
            record(out, Decision::StreamGivenUp, Some(id), "");
            self.fail_stream(now, id, REASON_BROKE_OFF, out);
            return;
        }
        reservation.resumes_without_token += 1;
        let Some(decode) = &reservation.decode else { return };
        out.push(AgentAction::Decode {
            id,
            from_index: decode.first_index + reservation.sent_tokens.len() as u32,
            max_tokens: decode.max_tokens,
            rank: decode.rank,
        });
    }

    /// Logs what an engine sent in place of a token, and asks for the rest of the stream.
    pub(super) fn on_stream_invalid(
        &mut self,
        now: Duration,
        id: AttemptId,
        reason: &str,
        out: &mut Vec<AgentAction>,
    ) {
        record(out, Decision::StreamInvalid, Some(id), reason);
        self.on_stream_disconnected(now, id, out);
    }

    pub(super) fn on_stream_failed(
        &mut self,
        now: Duration,
        id: AttemptId,
        reason: String,
        out: &mut Vec<AgentAction>,
    ) {
        let cancelling = self
            .reservations
            .get_mut(id)
            .is_some_and(|reservation| matches!(reservation.stage, Stage::Cancelling { .. }));
        if cancelling {
            self.on_cancelled(now, id, out);
            return;
        }
        self.fail_stream(now, id, &reason, out);
    }

    pub(super) fn on_cancelled(
        &mut self,
        now: Duration,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        self.orphans.remove(&id);
        self.update_orphan_capacity();
        let cancelling = self
            .reservations
            .get_mut(id)
            .is_some_and(|reservation| matches!(reservation.stage, Stage::Cancelling { .. }));
        if cancelling && let Some(reservation) = self.reservations.release(id) {
            self.add_tombstone(now, id);
            let cancelled = wire::Cancelled { id: Some(id) };
            out.push(AgentAction::Send {
                entry: reservation.entry,
                message: ToEntry::Cancelled(cancelled),
            });
        }
    }

    pub(super) fn on_cancel(
        &mut self,
        now: Duration,
        entry: u64,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let was_prefill = self.cancel_prefill(id, out);
        if self.reservations.contains(id) {
            self.cancel_attempt(now, id, out);
            return;
        }
        if !was_prefill {
            self.calls.cancel_queued(now, id);
        }
        self.add_tombstone(now, id);
        let cancelled = wire::Cancelled { id: Some(id) };
        out.push(AgentAction::Send { entry, message: ToEntry::Cancelled(cancelled) });
    }

    /// Cancels an attempt and frees its reservation. Blocks that the engine may use
    /// stay reserved until it confirms the cancel.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Duration,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        self.transfers.remove(id);
        let Some(reservation) = self.reservations.get_mut(id) else { return };
        match reservation.stage {
            Stage::Cancelling { .. } => {}
            Stage::Waiting | Stage::Granted => {
                let entry = reservation.entry;
                self.reservations.release(id);
                self.add_tombstone(now, id);
                let cancelled = wire::Cancelled { id: Some(id) };
                out.push(AgentAction::Send { entry, message: ToEntry::Cancelled(cancelled) });
            }
            Stage::Importing | Stage::Decoding => {
                out.push(AgentAction::Cancel { id });
                self.reservations.set_stage(
                    now,
                    id,
                    Stage::Cancelling { retry_at: now + CANCEL_RETRY_INTERVAL },
                );
            }
        }
    }

    pub(super) fn advance_reservations(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        for id in self.reservations.expired_grants(now) {
            record(out, Decision::ReservationLapsed, Some(id), "");
            self.fail_stream(now, id, REASON_STOPPED, out);
        }
        for id in self.reservations.due_cancel_retries(now) {
            out.push(AgentAction::Cancel { id });
        }
        for id in self.reservations.grant_waiting(now) {
            let Some(reservation) = self.reservations.get_mut(id) else { continue };
            let (entry, has_decode) = (reservation.entry, reservation.decode.is_some());
            let ready = wire::SlotReady { id: Some(id) };
            out.push(AgentAction::Send { entry, message: ToEntry::SlotReady(ready) });
            if has_decode {
                self.queue_import(now, id);
            }
        }
    }

    pub(super) fn on_resume(
        &mut self,
        now: Duration,
        entry: u64,
        resume: &wire::Resume,
        out: &mut Vec<AgentAction>,
    ) {
        for point in &resume.points {
            self.resume_attempt(now, entry, point, out);
        }
        let wanted: Vec<AttemptId> = resume.points.iter().filter_map(|point| point.id).collect();
        let unwanted = self
            .reservations
            .attempts_of_entry(entry)
            .into_iter()
            .filter(|id| !wanted.contains(id));
        for id in unwanted.collect::<Vec<_>>() {
            self.cancel_attempt(now, id, out);
        }
    }

    fn resume_attempt(
        &mut self,
        now: Duration,
        entry: u64,
        point: &wire::ResumePoint,
        out: &mut Vec<AgentAction>,
    ) {
        let id = point.id.unwrap_or_default();
        if let Some(orphan) = self.orphans.remove(&id) {
            self.update_orphan_capacity();
            self.reservations.adopt_orphan(now, orphan.blocks, point);
            out.push(AgentAction::Decode {
                id,
                from_index: point.next_index,
                max_tokens: 0,
                rank: 0,
            });
            return;
        }
        if let Some(reservation) = self.reservations.get_mut(id) {
            resend_tokens(
                entry,
                id,
                point.next_index,
                reservation.first_index(),
                &reservation.sent_tokens,
                None,
                out,
            );
        } else if let Some(finished) = self.finished.get(&id) {
            let end = Some(finished.finish_reason.as_str());
            resend_tokens(
                entry,
                id,
                point.next_index,
                finished.first_index,
                &finished.sent_tokens,
                end,
                out,
            );
        } else {
            let failed = wire::StreamFailed { id: Some(id), reason: REASON_STOPPED.to_string() };
            out.push(AgentAction::Send { entry, message: ToEntry::StreamFailed(failed) });
        }
    }
}

/// Sends the tokens from `next_index` on to the entry again. `finish_reason` marks
/// the last one as the end of the response.
fn resend_tokens(
    entry: u64,
    id: AttemptId,
    next_index: u32,
    first_index: u32,
    sent_tokens: &[Bytes],
    finish_reason: Option<&str>,
    out: &mut Vec<AgentAction>,
) {
    let skip = next_index.saturating_sub(first_index) as usize;
    for (position, text) in sent_tokens.iter().enumerate().skip(skip) {
        let last = position + 1 == sent_tokens.len();
        let chunk = wire::Chunk {
            id: Some(id),
            index: first_index + position as u32,
            text: text.clone(),
            last: last && finish_reason.is_some(),
            finish_reason: finish_reason.filter(|_| last).unwrap_or_default().to_string(),
        };
        out.push(AgentAction::Send { entry, message: ToEntry::Chunk(chunk) });
    }
}
