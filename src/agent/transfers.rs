//! Transfers over links of limited rate: one token bucket for each source
//! zone, the transfer with the earliest deadline first.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::manifest::Snapshot;
use crate::schema::manifest::Pool;
use crate::schema::wire::AttemptId;

const BURST: Duration = Duration::from_millis(100);
const MIN_TIMEOUT: Duration = Duration::from_millis(60);
const STALL_FACTOR: u32 = 4;
const OVERCOMMIT: u64 = 2;

#[derive(Debug, Clone)]
struct Bucket {
    bytes_per_s: u64,
    tokens: f64,
    filled_at: Duration,
}

impl Bucket {
    fn burst(&self) -> f64 {
        self.bytes_per_s as f64 * BURST.as_secs_f64()
    }

    fn fill(&mut self, now: Duration) {
        let gained = now.saturating_sub(self.filled_at).as_secs_f64() * self.bytes_per_s as f64;
        self.tokens = (self.tokens + gained).min(self.burst());
        self.filled_at = now;
    }

    fn ready_at(&self) -> Duration {
        let short = -self.tokens;
        let wait_s = (short / self.bytes_per_s as f64).max(0.0);
        self.filled_at + Duration::from_secs_f64(wait_s)
    }
}

#[derive(Debug, Clone)]
struct Queued {
    id: AttemptId,
    source_zone: CompactString,
    bytes: u64,
    deadline: Duration,
}

/// A transfer that may start now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The try.
    pub id: AttemptId,
    /// After this time the transfer counts as stalled.
    pub timeout: Duration,
}

/// The transfers that one receiving agent has queued.
#[derive(Debug, Clone, Default)]
pub struct TransferSchedule {
    buckets: BTreeMap<CompactString, Bucket>,
    queue: Vec<Queued>,
}

impl TransferSchedule {
    /// Takes over the rates of the links into `zone`. Each receiving agent of
    /// the pool gets an equal part, overcommitted because few receive at once.
    pub fn configure(&mut self, snapshot: &Snapshot, pool: &Pool, zone: &str) {
        let receivers =
            u64::from(pool.replicas.div_ceil(snapshot.link_destination_zones().max(1))).max(1);
        let links = snapshot.manifest.links.iter().filter(|link| link.to_zone == zone);
        self.buckets = links
            .map(|link| {
                let bytes_per_s =
                    (link.bytes_per_s * OVERCOMMIT / receivers).clamp(1, link.bytes_per_s);
                let mut bucket = Bucket { bytes_per_s, tokens: 0.0, filled_at: Duration::ZERO };
                bucket.tokens = bucket.burst();
                (CompactString::from(link.from_zone.as_str()), bucket)
            })
            .collect();
    }

    /// Queues a transfer that is of use until `deadline`.
    pub fn push(&mut self, id: AttemptId, source_zone: &str, bytes: u64, deadline: Duration) {
        self.queue.push(Queued { id, source_zone: source_zone.into(), bytes, deadline });
    }

    /// Takes a transfer out of the queue.
    pub fn remove(&mut self, id: AttemptId) {
        self.queue.retain(|queued| queued.id != id);
    }

    /// The transfers that may start now, earliest deadline first.
    pub fn start(&mut self, now: Duration) -> Vec<Start> {
        self.queue.sort_by_key(|queued| queued.deadline);
        let mut started = Vec::new();
        let buckets = &mut self.buckets;
        self.queue.retain(|queued| match take(buckets, now, queued) {
            Some(start) => {
                started.push(start);
                false
            }
            None => true,
        });
        started
    }

    /// When the next queued transfer may start.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let ready = self.queue.iter().filter_map(|queued| self.buckets.get(&queued.source_zone));
        ready.map(Bucket::ready_at).min()
    }
}

fn take(
    buckets: &mut BTreeMap<CompactString, Bucket>,
    now: Duration,
    queued: &Queued,
) -> Option<Start> {
    let Some(bucket) = buckets.get_mut(&queued.source_zone) else {
        return Some(Start {
            id: queued.id,
            timeout: timeout(Duration::ZERO, now, queued.deadline),
        });
    };
    bucket.fill(now);
    // The balance may go below zero: a large transfer starts when the bucket is
    // not in debt, and those behind it wait until the debt is paid.
    if bucket.tokens < 0.0 {
        return None;
    }
    bucket.tokens -= queued.bytes as f64;
    let expected = Duration::from_secs_f64(queued.bytes as f64 / bucket.bytes_per_s as f64);
    Some(Start { id: queued.id, timeout: timeout(expected, now, queued.deadline) })
}

/// Early enough that a second try fits into what is left of the result's life.
fn timeout(expected: Duration, now: Duration, deadline: Duration) -> Duration {
    let left = deadline.saturating_sub(now);
    let generous = (expected * STALL_FACTOR).max(MIN_TIMEOUT);
    generous.min((left / 2).max(MIN_TIMEOUT))
}
