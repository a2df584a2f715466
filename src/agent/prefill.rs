//! The queue in front of a prefill engine, and finished prefills whose KV cache has
//! not been fetched yet. One prefill runs at a time.

use std::collections::HashMap;
use std::time::Duration;

use crate::agent::AgentAction;
use crate::agent::AgentCore;
use crate::agent::Decision;
use crate::agent::record;
use crate::agent::reject;
use crate::clock::as_ms_u32;
use crate::clock::from_ms;
use crate::schema::manifest::Pool;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::Load;
use crate::schema::wire::to_entry::Kind as ToEntry;

const MS_PER_S: u64 = 1_000;
/// Weight of a new sample in the moving average of the prefill rate.
const RATE_SMOOTHING: f64 = 0.2;
/// Prefills of fewer computed tokens do not count towards the rate.
const MIN_OBSERVED_TOKENS: u32 = 64;
const REASON_PREFILL_BUSY: &str = "prefill-busy";
const REASON_LEAVING: &str = "leaving";

/// A prefill that an entry asked for, with the time after which its result is of no use.
#[derive(Debug, Clone)]
struct PrefillRequest {
    entry: u64,
    prefill: wire::Prefill,
    deadline: Duration,
}

#[derive(Debug, Clone)]
struct RunningPrefill {
    request: PrefillRequest,
    started_at: Duration,
    /// Set when no entry waits for the result any more; it is freed on completion.
    cancelled: bool,
}

/// All prefills of one engine: queued, running, and completed but not fetched.
#[derive(Debug, Default)]
pub(super) struct PrefillQueue {
    configured_tokens_per_s: u32,
    tokens_per_s: f64,
    result_ttl: Duration,
    queue: Vec<PrefillRequest>,
    running: Option<RunningPrefill>,
    /// Eviction times of the results that the engine still keeps.
    results: HashMap<AttemptId, Duration>,
}

impl PrefillQueue {
    pub(super) fn configure(&mut self, pool: &Pool) {
        if self.configured_tokens_per_s != pool.prefill_tokens_per_s {
            self.configured_tokens_per_s = pool.prefill_tokens_per_s;
            self.tokens_per_s = f64::from(pool.prefill_tokens_per_s);
        }
        self.result_ttl = from_ms(pool.kv_eviction_ms);
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len() + usize::from(self.running.is_some()) + self.results.len()
    }

    pub(super) fn attempts_of_entry(&self, entry: u64) -> Vec<AttemptId> {
        let queued = self.queue.iter().map(|request| request.prefill.id.unwrap_or_default());
        let running =
            self.running.iter().map(|running| running.request.prefill.id.unwrap_or_default());
        let results = self.results.keys().copied();
        queued.chain(running).chain(results).filter(|id| id.entry == entry).collect()
    }

    pub(super) fn fill_load_report(&self, load: &mut Load) {
        load.queued_prefill_tokens = self.queued_tokens();
        load.prefill_tokens_per_s = self.tokens_per_s as u32;
    }

    pub(super) fn next_wakeup(&self) -> Option<Duration> {
        self.results.values().min().copied()
    }

    fn queued_tokens(&self) -> u64 {
        let queued: u64 =
            self.queue.iter().map(|request| u64::from(request.prefill.prompt_tokens)).sum();
        let running = self
            .running
            .as_ref()
            .map_or(0, |running| u64::from(running.request.prefill.prompt_tokens));
        queued + running
    }

    fn time_for(&self, tokens: u64) -> Duration {
        from_ms(tokens * MS_PER_S / (self.tokens_per_s as u64).max(1))
    }

    /// Predicts how long a prefill of this rank and deadline waits for the running one
    /// and for those that go before it in the queue.
    fn expected_queue_wait(&self, now: Duration, rank: u32, deadline: Duration) -> Duration {
        let ahead: u64 = self
            .queue
            .iter()
            .filter(|request| (request.prefill.rank, request.deadline) <= (rank, deadline))
            .map(|request| u64::from(request.prefill.prompt_tokens))
            .sum();
        let running = self.running.as_ref().map_or(Duration::ZERO, |running| {
            let total = self.time_for(running.request.prefill.prompt_tokens.into());
            total.saturating_sub(now.saturating_sub(running.started_at))
        });
        running + self.time_for(ahead)
    }

    fn contains(&self, id: AttemptId) -> bool {
        self.attempts_of_entry(id.entry).contains(&id)
    }

    fn update_rate(&mut self, now: Duration, running: &RunningPrefill, cached_tokens: u32) {
        let computed = running.request.prefill.prompt_tokens.saturating_sub(cached_tokens);
        let elapsed_s = now.saturating_sub(running.started_at).as_secs_f64();
        if computed >= MIN_OBSERVED_TOKENS && elapsed_s > 0.0 {
            let measured = f64::from(computed) / elapsed_s;
            self.tokens_per_s += RATE_SMOOTHING * (measured - self.tokens_per_s);
        }
    }
}

impl AgentCore {
    pub(super) fn on_prefill(
        &mut self,
        now: Duration,
        entry: u64,
        prefill: wire::Prefill,
        out: &mut Vec<AgentAction>,
    ) {
        let id = prefill.id.unwrap_or_default();
        if self.prefills.contains(id) || self.tombstones.contains_key(&id) {
            record(out, Decision::DuplicateDropped, Some(id), "prefill");
            return;
        }
        if self.is_leaving() {
            reject(out, entry, id, REASON_LEAVING, 0, self.load(now));
            return;
        }
        let deadline = now + from_ms(prefill.deadline_ms);
        let own_time = self.prefills.time_for(prefill.prompt_tokens.into());
        let queue_wait = self.prefills.expected_queue_wait(now, prefill.rank, deadline);
        let excess = (now + queue_wait + own_time).saturating_sub(deadline);
        if !excess.is_zero() && !queue_wait.is_zero() {
            reject(out, entry, id, REASON_PREFILL_BUSY, as_ms_u32(excess), self.load(now));
            return;
        }
        self.prefills.queue.push(PrefillRequest { entry, prefill, deadline });
        self.prefills.queue.sort_by_key(|request| (request.prefill.rank, request.deadline));
    }

    pub(super) fn start_prefills(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        self.prefills.results.retain(|_, evicted_at| now < *evicted_at);
        while self.prefills.running.is_none() && !self.prefills.queue.is_empty() {
            let request = self.prefills.queue.remove(0);
            if now >= request.deadline {
                let id = request.prefill.id.unwrap_or_default();
                reject(out, request.entry, id, REASON_PREFILL_BUSY, 0, self.load(now));
                continue;
            }
            out.push(AgentAction::Prefill(request.prefill.clone()));
            self.prefills.running =
                Some(RunningPrefill { request, started_at: now, cancelled: false });
        }
    }

    pub(super) fn on_prefill_done(
        &mut self,
        now: Duration,
        id: AttemptId,
        handle: String,
        cached_tokens: u32,
        kv_bytes: u64,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(running) = self.take_running(id) else {
            out.push(AgentAction::Cancel { id });
            return;
        };
        self.prefills.update_rate(now, &running, cached_tokens);
        if running.cancelled {
            out.push(AgentAction::Cancel { id });
            return;
        }
        self.prefills.results.insert(id, now + self.prefills.result_ttl);
        let reply = wire::PrefillReply {
            id: Some(id),
            handle,
            cached_tokens,
            kv_bytes,
            lives_ms: as_ms_u32(self.prefills.result_ttl),
            load: Some(self.load(now)),
        };
        out.push(AgentAction::Send {
            entry: running.request.entry,
            message: ToEntry::PrefillReply(reply),
        });
    }

    pub(super) fn on_prefill_failed(
        &mut self,
        _now: Duration,
        id: AttemptId,
        reason: String,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(running) = self.take_running(id) else { return };
        if !running.cancelled {
            let failed = wire::StreamFailed { id: Some(id), reason };
            let message = ToEntry::StreamFailed(failed);
            out.push(AgentAction::Send { entry: running.request.entry, message });
        }
    }

    pub(super) fn on_prefill_used(&mut self, id: AttemptId, out: &mut Vec<AgentAction>) {
        if self.prefills.results.remove(&id).is_some() {
            out.push(AgentAction::Cancel { id });
        }
    }

    /// Cancels a prefill in any state. Returns true if there was one.
    pub(super) fn cancel_prefill(&mut self, id: AttemptId, out: &mut Vec<AgentAction>) -> bool {
        let queued = self.prefills.queue.len();
        self.prefills.queue.retain(|request| request.prefill.id != Some(id));
        let was_queued = self.prefills.queue.len() < queued;
        let had_result = self.prefills.results.remove(&id).is_some();
        let runs =
            self.prefills.running.as_mut().filter(|running| running.request.prefill.id == Some(id));
        let was_running = runs.is_some();
        if let Some(running) = runs {
            running.cancelled = true;
        }
        if had_result || was_running {
            out.push(AgentAction::Cancel { id });
        }
        was_queued || had_result || was_running
    }

    fn take_running(&mut self, id: AttemptId) -> Option<RunningPrefill> {
        self.prefills.running.take_if(|running| running.request.prefill.id == Some(id))
    }
}
