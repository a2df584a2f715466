//! Schedules the KV cache imports of one agent over links of limited rate.
//!
//! Each source zone has a token bucket of bytes; the transfer with the earliest
//! deadline starts first.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::manifest::Snapshot;
use crate::schema::manifest::Pool;
use crate::schema::wire::AttemptId;

/// Largest credit of a bucket, as the time in which its link carries it.
const MAX_BURST: Duration = Duration::from_millis(100);
/// Shortest time after which a transfer counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(60);
/// A transfer counts as stalled after this multiple of its expected time.
const STALL_TIMEOUT_FACTOR: u32 = 4;
/// The parts of a link's rate given to all receiving agents add up to this multiple
/// of the rate, because few agents receive at the same time.
const OVERCOMMIT_FACTOR: u64 = 2;

#[derive(Debug, Clone)]
struct TokenBucket {
    bytes_per_s: u64,
    /// Negative while a large transfer has used more than was available.
    available_bytes: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    fn max_bytes(&self) -> f64 {
        self.bytes_per_s as f64 * MAX_BURST.as_secs_f64()
    }

    fn refill(&mut self, now: Duration) {
        let refilled_bytes =
            now.saturating_sub(self.refilled_at).as_secs_f64() * self.bytes_per_s as f64;
        self.available_bytes = (self.available_bytes + refilled_bytes).min(self.max_bytes());
        self.refilled_at = now;
    }

    fn ready_at(&self) -> Duration {
        let debt = -self.available_bytes;
        let wait_s = (debt / self.bytes_per_s as f64).max(0.0);
        self.refilled_at + Duration::from_secs_f64(wait_s)
    }
}

#[derive(Debug, Clone)]
struct QueuedTransfer {
    id: AttemptId,
    source_zone: CompactString,
    bytes: u64,
    deadline: Duration,
}

/// A transfer that the agent must start now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferStart {
    /// Attempt whose KV cache is to be imported.
    pub id: AttemptId,
    /// Time after which the transfer counts as stalled and is aborted.
    pub timeout: Duration,
}

/// Queue of the transfers into one agent, with the rate limit of each source zone.
#[derive(Debug, Clone, Default)]
pub struct TransferSchedule {
    buckets: BTreeMap<CompactString, TokenBucket>,
    queue: Vec<QueuedTransfer>,
}

impl TransferSchedule {
    /// Sets the rate limits from the manifest's links into `zone`. Each agent of the
    /// pool in a zone gets an equal part of a link, overcommitted because few receive
    /// at once. Source zones without a link are not limited.
    pub fn configure(&mut self, snapshot: &Snapshot, pool: &Pool, zone: &str) {
        let receivers =
            u64::from(pool.replicas.div_ceil(snapshot.link_destination_zones().max(1))).max(1);
        let links = snapshot.manifest.links.iter().filter(|link| link.to_zone == zone);
        self.buckets = links
            .map(|link| {
                let bytes_per_s =
                    (link.bytes_per_s * OVERCOMMIT_FACTOR / receivers).clamp(1, link.bytes_per_s);
                let mut bucket =
                    TokenBucket { bytes_per_s, available_bytes: 0.0, refilled_at: Duration::ZERO };
                bucket.available_bytes = bucket.max_bytes();
                (CompactString::from(link.from_zone.as_str()), bucket)
            })
            .collect();
    }

    /// Queues a transfer of `bytes` bytes, which must end before `deadline`.
    pub fn push(&mut self, id: AttemptId, source_zone: &str, bytes: u64, deadline: Duration) {
        self.queue.push(QueuedTransfer { id, source_zone: source_zone.into(), bytes, deadline });
    }

    /// Removes a transfer from the queue; without effect if it has started.
    pub fn remove(&mut self, id: AttemptId) {
        self.queue.retain(|queued| queued.id != id);
    }

    /// Removes the transfers that may start now from the queue and returns them,
    /// earliest deadline first.
    pub fn start(&mut self, now: Duration) -> Vec<TransferStart> {
        self.queue.sort_by_key(|queued| queued.deadline);
        let mut started = Vec::new();
        let buckets = &mut self.buckets;
        self.queue.retain(|queued| match try_start(buckets, now, queued) {
            Some(start) => {
                started.push(start);
                false
            }
            None => true,
        });
        started
    }

    /// When the next queued transfer may start; `None` if none waits for a link.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let ready = self.queue.iter().filter_map(|queued| self.buckets.get(&queued.source_zone));
        ready.map(TokenBucket::ready_at).min()
    }
}

fn try_start(
    buckets: &mut BTreeMap<CompactString, TokenBucket>,
    now: Duration,
    queued: &QueuedTransfer,
) -> Option<TransferStart> {
    let Some(bucket) = buckets.get_mut(&queued.source_zone) else {
        return Some(TransferStart {
            id: queued.id,
            timeout: stall_timeout(Duration::ZERO, now, queued.deadline),
        });
    };
    bucket.refill(now);
    // The balance may go below zero: a large transfer starts when the bucket is
    // not in debt, and those behind it wait until the debt is paid.
    if bucket.available_bytes < 0.0 {
        return None;
    }
    let (bytes, bytes_per_s) = (queued.bytes as f64, bucket.bytes_per_s as f64);
    let expected = Duration::try_from_secs_f64(bytes / bytes_per_s).unwrap_or(Duration::MAX);
    let timeout = stall_timeout(expected, now, queued.deadline);
    // At its timeout the transfer is aborted, so it uses no more of the link than until then.
    bucket.available_bytes -= bytes.min(bytes_per_s * timeout.as_secs_f64());
    Some(TransferStart { id: queued.id, timeout })
}

/// Timeout of a transfer that is expected to last `expected`. It is early enough that
/// a second attempt fits before `deadline`, when the KV cache is evicted.
fn stall_timeout(expected: Duration, now: Duration, deadline: Duration) -> Duration {
    let left = deadline.saturating_sub(now);
    let stalled_after = expected.saturating_mul(STALL_TIMEOUT_FACTOR).max(MIN_STALL_TIMEOUT);
    stalled_after.min((left / 2).max(MIN_STALL_TIMEOUT))
}
