//! Calls to a plain service: queue and duplicate suppression.
//!
//! Each call is sent to the service at most once. A tombstone of every ended or
//! fenced call is kept for a time, so that a late duplicate does not run it.

use std::collections::HashMap;
use std::time::Duration;

use crate::agent::AgentAction;
use crate::agent::AgentCore;
use crate::agent::Decision;
use crate::agent::record;
use crate::agent::reject;
use crate::clock::from_ms;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_entry::Kind as ToEntry;

/// Calls that may wait in the queue for each call that the service runs at a time.
const QUEUED_PER_RUNNING_CALL: usize = 8;
const QUEUE_FULL_RETRY_AFTER_MS: u32 = 100;
const REASON_OTHER_INCARNATION: &str = "other-incarnation";
const REASON_QUEUE_FULL: &str = "queue-full";
const REASON_FENCED: &str = "fenced";

#[derive(Debug, Clone, PartialEq)]
enum CallState {
    Queued {
        rank: u32,
        arrival_seq: u64,
        deadline: Duration,
        call: Box<wire::Call>,
    },
    Started,
    Finished {
        forget_at: Duration,
    },
    /// Has not started and never will.
    Fenced {
        forget_at: Duration,
    },
}

/// Queued and running calls, and tombstones of recent ones, by attempt.
#[derive(Debug)]
pub struct CallTable {
    tombstone_ttl: Duration,
    max_calls: usize,
    next_arrival_seq: u64,
    calls: HashMap<AttemptId, CallState>,
    tombstones_swept_at: Duration,
}

const TOMBSTONE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl CallTable {
    /// Creates an empty table that keeps tombstones for `tombstone_ttl`.
    pub fn new(tombstone_ttl: Duration) -> Self {
        Self {
            tombstone_ttl,
            max_calls: 1,
            next_arrival_seq: 0,
            calls: HashMap::new(),
            tombstones_swept_at: Duration::ZERO,
        }
    }

    /// Sets how many calls are sent to the service at a time; at least 1.
    pub fn configure(&mut self, max_calls: u32) {
        self.max_calls = max_calls.max(1) as usize;
    }

    /// Number of calls that are queued or running.
    pub fn unfinished(&self) -> usize {
        let is_unfinished =
            |state: &&CallState| matches!(state, CallState::Queued { .. } | CallState::Started);
        self.calls.values().filter(is_unfinished).count()
    }

    /// Number of calls in any state, tombstones included.
    pub fn tracked(&self) -> usize {
        self.calls.len()
    }

    /// Ensures that the call never starts from now on. Returns false, without effect,
    /// if it has already started.
    pub fn fence(&mut self, now: Duration, id: AttemptId) -> bool {
        match self.calls.get(&id) {
            Some(CallState::Started | CallState::Finished { .. }) => false,
            _ => {
                self.calls.insert(id, CallState::Fenced { forget_at: now + self.tombstone_ttl });
                true
            }
        }
    }

    /// Fences a call that waits in the queue; without effect in any other state.
    pub fn cancel_queued(&mut self, now: Duration, id: AttemptId) {
        if matches!(self.calls.get(&id), Some(CallState::Queued { .. })) {
            self.fence(now, id);
        }
    }

    /// Attempts of an entry whose calls wait in the queue.
    pub fn queued_attempts_of_entry(&self, entry: u64) -> Vec<AttemptId> {
        let queued =
            self.calls.iter().filter(|(_, state)| matches!(state, CallState::Queued { .. }));
        queued.map(|(id, _)| *id).filter(|id| id.entry == entry).collect()
    }

    /// Removes tombstones past their time, at most once a second.
    pub fn remove_expired_tombstones(&mut self, now: Duration) {
        if now < self.tombstones_swept_at + TOMBSTONE_SWEEP_INTERVAL {
            return;
        }
        self.tombstones_swept_at = now;
        self.calls.retain(|_, state| match state {
            CallState::Finished { forget_at } | CallState::Fenced { forget_at } => now < *forget_at,
            CallState::Queued { .. } | CallState::Started => true,
        });
    }

    fn started(&self) -> usize {
        self.calls.values().filter(|state| **state == CallState::Started).count()
    }

    fn queue_is_full(&self) -> bool {
        self.unfinished() >= self.max_calls * (1 + QUEUED_PER_RUNNING_CALL)
    }

    fn enqueue(&mut self, now: Duration, id: AttemptId, call: wire::Call) {
        self.next_arrival_seq += 1;
        let deadline = now + from_ms(call.timeout_ms);
        let state = CallState::Queued {
            rank: call.rank,
            arrival_seq: self.next_arrival_seq,
            deadline,
            call: Box::new(call),
        };
        self.calls.insert(id, state);
    }

    fn expired_in_queue(&self, now: Duration) -> Vec<AttemptId> {
        let is_expired = |state: &CallState| matches!(state, CallState::Queued { deadline, .. } if now >= *deadline);
        self.calls.iter().filter(|(_, state)| is_expired(state)).map(|(id, _)| *id).collect()
    }

    /// Marks the next queued calls that the service has free slots for as started and
    /// returns them, lowest rank and then earliest arrival first.
    fn start_queued(&mut self) -> Vec<wire::Call> {
        let free_slots = self.max_calls.saturating_sub(self.started());
        let mut queued: Vec<(u32, u64, AttemptId)> = self
            .calls
            .iter()
            .filter_map(|(id, state)| match state {
                CallState::Queued { rank, arrival_seq, .. } => Some((*rank, *arrival_seq, *id)),
                _ => None,
            })
            .collect();
        queued.sort_unstable_by_key(|&(rank, arrival_seq, _)| (rank, arrival_seq));
        queued.into_iter().take(free_slots).filter_map(|(_, _, id)| self.start_call(id)).collect()
    }

    fn start_call(&mut self, id: AttemptId) -> Option<wire::Call> {
        match self.calls.insert(id, CallState::Started) {
            Some(CallState::Queued { call, .. }) => Some(*call),
            _ => None,
        }
    }

    /// Keeps a tombstone of an ended call. Returns true if the call was running.
    fn mark_finished(&mut self, now: Duration, id: AttemptId) -> bool {
        let forget_at = now + self.tombstone_ttl;
        let previous = self.calls.insert(id, CallState::Finished { forget_at });
        previous == Some(CallState::Started)
    }
}

impl AgentCore {
    pub(super) fn on_call(
        &mut self,
        now: Duration,
        entry: u64,
        call: wire::Call,
        out: &mut Vec<AgentAction>,
    ) {
        let id = call.id.unwrap_or_default();
        match self.calls.calls.get(&id) {
            Some(CallState::Fenced { .. }) => {
                reject(out, entry, id, REASON_FENCED, 0, self.load(now));
                return;
            }
            Some(_) => {
                record(out, Decision::DuplicateDropped, Some(id), "call");
                return;
            }
            None => {}
        }
        if call.incarnation != self.config.incarnation {
            reject(out, entry, id, REASON_OTHER_INCARNATION, 0, self.load(now));
        } else if self.is_leaving() {
            self.calls.fence(now, id);
            reject(out, entry, id, "leaving", 0, self.load(now));
        } else if self.calls.queue_is_full() {
            self.calls.fence(now, id);
            reject(out, entry, id, REASON_QUEUE_FULL, QUEUE_FULL_RETRY_AFTER_MS, self.load(now));
        } else {
            self.calls.enqueue(now, id, call);
        }
    }

    pub(super) fn advance_calls(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        for id in self.calls.expired_in_queue(now) {
            self.calls.fence(now, id);
            record(out, Decision::CallFenced, Some(id), "deadline passed in the queue");
            let reply = wire::CallReply {
                id: Some(id),
                error: "deadline passed in the queue".to_string(),
                not_run: true,
                ..wire::CallReply::default()
            };
            out.push(AgentAction::Send { entry: id.entry, message: ToEntry::CallReply(reply) });
        }
        out.extend(self.calls.start_queued().into_iter().map(AgentAction::Call));
    }

    pub(super) fn on_call_done(
        &mut self,
        now: Duration,
        id: AttemptId,
        reply: wire::CallReply,
        out: &mut Vec<AgentAction>,
    ) {
        if self.calls.mark_finished(now, id) {
            out.push(AgentAction::Send { entry: id.entry, message: ToEntry::CallReply(reply) });
        }
    }

    pub(super) fn on_abandon(
        &mut self,
        now: Duration,
        entry: u64,
        abandon: &wire::Abandon,
        out: &mut Vec<AgentAction>,
    ) {
        let id = abandon.id.unwrap_or_default();
        // An earlier incarnation of this agent may have started the call; this one
        // cannot know, so it reports that the call is not fenced.
        let fenced = abandon.incarnation == self.config.incarnation && self.calls.fence(now, id);
        if fenced {
            record(out, Decision::CallFenced, Some(id), "abandoned");
        }
        let reply = wire::AbandonReply { id: Some(id), fenced };
        out.push(AgentAction::Send { entry, message: ToEntry::AbandonReply(reply) });
    }
}
