//! What one entry's own prefills showed of the prefill pool of a service, and which new
//! requests the pool has room for.
//!
//! All entries share the pool, so the waits that each of them observes are a signal that
//! they have in common. A queue that is longer than the latency target serves no more
//! requests than a shorter one, but all of them late. New requests are therefore refused
//! before the wait reaches the target.

use std::collections::VecDeque;
use std::time::Duration;

/// Age from which an observed wait says nothing about the pool of now.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(1_000);
/// Largest number of waits that are kept.
const MAX_SAMPLES: usize = 64;
/// Weight of an assumed prefill without a wait, in prefills: one long wait may be that of a
/// single engine.
const ASSUMED_SAMPLES: f64 = 1.0;
/// How long the pool counts as short after a long wait. A burst that ends
/// earlier is over before an engine has changed its role.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(5);
/// Largest change of a running median by one sample, as a share of the median. A few streams at
/// slow engines thus hardly change what is expected of all.
const MEDIAN_STEP: f64 = 0.05;
/// Share of the longest admissible wait from which fewer requests are admitted. Entries with
/// the same information thus don't all stop at the same moment.
const ADMIT_ALL_SHARE: f64 = 0.5;

/// Prefill of this entry that has ended or is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedPrefill {
    /// How long it waited, or has waited so far.
    pub wait: Duration,
    /// Prefill time of its prompt without a wait.
    pub time: Duration,
    /// Number of this entry's prefills that were in flight when it was sent.
    pub ahead: u32,
}

/// Prefill pool of a service, as one entry's prefills show it.
#[derive(Debug, Clone, Default)]
pub struct PrefillPool {
    /// Latest prefills that ended, with the time of their end, oldest first.
    samples: VecDeque<(Duration, ObservedPrefill)>,
    /// Running median of the prefill time without a wait.
    prefill_s: Option<f64>,
    /// Running median of the time from the start of a decode to its first event.
    first_event_s: Option<f64>,
    /// When not all new requests were admitted last.
    last_short_at: Option<Duration>,
}

impl PrefillPool {
    /// Records a prefill that has ended.
    pub fn record(&mut self, now: Duration, prefill: ObservedPrefill) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, prefill));
        update(&mut self.prefill_s, prefill.time);
    }

    /// Records how long after the start of its decode a stream brought its first event.
    pub fn record_first_event(&mut self, elapsed: Duration) {
        update(&mut self.first_event_s, elapsed);
    }

    /// Expected wait of a prefill that is sent now, from those that ended within the last
    /// second and those of `in_flight` that have waited longer than these did.
    ///
    /// What ended was sent a while ago. Entries get much the same load, so by as much as more
    /// or fewer prefills of this entry are in flight now, the pool's queue is longer or shorter.
    pub fn expected_wait(&self, now: Duration, in_flight: &[ObservedPrefill]) -> Duration {
        let mut count = ASSUMED_SAMPLES;
        let mut wait_s = 0.0;
        let mut others = ASSUMED_SAMPLES;
        let mut add = |prefill: &ObservedPrefill, wait_s: &mut f64| {
            count += 1.0;
            others += f64::from(prefill.ahead + 1);
            *wait_s += prefill.wait.as_secs_f64();
            *wait_s / count
        };
        let mut mean_s = 0.0;
        for prefill in self.recent(now) {
            mean_s = add(prefill, &mut wait_s);
        }
        for prefill in in_flight.iter().filter(|prefill| prefill.wait.as_secs_f64() > mean_s) {
            add(prefill, &mut wait_s);
        }
        let time_s = self.prefill_s.unwrap_or_default();
        let growth = (in_flight.len() + 1) as f64 / (others / count);
        let total_s = (wait_s / count + time_s) * growth;
        Duration::from_secs_f64((total_s - time_s).max(0.0))
    }

    /// Records that the wait is so long that not all new requests are admitted.
    pub fn record_shortage(&mut self, now: Duration) {
        self.last_short_at = Some(now);
    }

    /// True if the wait was recently so long that not all new requests were admitted.
    pub fn is_short(&self, now: Duration) -> bool {
        self.last_short_at.is_some_and(|last| now < last + SHORTAGE_MEMORY)
    }

    /// Longest wait that ended within the last second; zero if none did.
    pub fn longest_wait(&self, now: Duration) -> Duration {
        self.recent(now).map(|prefill| prefill.wait).max().unwrap_or_default()
    }

    /// Expected time from the end of the wait to the first event, for a request of the usual
    /// size.
    pub fn time_to_first_event(&self) -> Duration {
        let seconds = self.prefill_s.unwrap_or_default() + self.first_event_s.unwrap_or_default();
        Duration::from_secs_f64(seconds)
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = &ObservedPrefill> {
        let recent =
            self.samples.iter().rev().take_while(move |(at, _)| now < *at + SAMPLE_LIFETIME);
        recent.map(|(_, prefill)| prefill)
    }
}

/// Moves a running median towards a sample.
fn update(median_s: &mut Option<f64>, sample: Duration) {
    let sample_s = sample.as_secs_f64();
    let previous_s = median_s.unwrap_or(sample_s);
    let step_s = (sample_s - previous_s).clamp(-MEDIAN_STEP * previous_s, MEDIAN_STEP * previous_s);
    *median_s = Some(previous_s + step_s);
}

/// Share of the new requests to admit, from 0 to 1, if they are expected to wait for `wait`
/// and may wait for `max_wait`.
pub fn admitted_share(wait: Duration, max_wait: Duration) -> f64 {
    if wait.is_zero() {
        return 1.0;
    }
    let used = wait.as_secs_f64() / max_wait.as_secs_f64();
    ((1.0 - used) / (1.0 - ADMIT_ALL_SHARE)).clamp(0.0, 1.0)
}
