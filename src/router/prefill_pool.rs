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
/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Share of the longest admissible wait from which fewer requests are admitted. Entries with
/// the same information thus don't all stop at the same moment.
const ADMIT_ALL_SHARE: f64 = 0.5;

/// Wait of a prefill that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample {
    at: Duration,
    wait: Duration,
}

/// Prefill pool of a service, as one entry's prefills show it.
#[derive(Debug, Clone, Default)]
pub struct PrefillPool {
    /// Waits of the latest prefills, oldest first.
    samples: VecDeque<Sample>,
    /// Moving average of the prefill time without a wait.
    prefill_s: Option<f64>,
    /// Moving average of the time from the start of a decode to its first event.
    first_event_s: Option<f64>,
    /// When not all new requests were admitted last.
    last_short_at: Option<Duration>,
}

impl PrefillPool {
    /// Records a prefill that waited for `wait` and then took `time`.
    pub fn record(&mut self, now: Duration, wait: Duration, time: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, wait });
        update(&mut self.prefill_s, time);
    }

    /// Records how long after the start of its decode a stream brought its first event.
    pub fn record_first_event(&mut self, elapsed: Duration) {
        update(&mut self.first_event_s, elapsed);
    }

    /// Expected wait of a prefill that starts now: the mean of the waits that ended within
    /// the last second. `in_flight` are the waits so far of prefills that haven't ended;
    /// those that are longer than the mean count, too.
    pub fn expected_wait(
        &self,
        now: Duration,
        in_flight: impl Iterator<Item = Duration>,
    ) -> Duration {
        let mut count = ASSUMED_SAMPLES;
        let mut sum_s = 0.0;
        for sample in self.recent(now) {
            count += 1.0;
            sum_s += sample.wait.as_secs_f64();
        }
        let mean_s = sum_s / count;
        for wait in in_flight.filter(|wait| wait.as_secs_f64() > mean_s) {
            count += 1.0;
            sum_s += wait.as_secs_f64();
        }
        Duration::from_secs_f64(sum_s / count)
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
        self.recent(now).map(|sample| sample.wait).max().unwrap_or_default()
    }

    /// Expected time from the end of the wait to the first event, for a request of the usual
    /// size.
    pub fn time_to_first_event(&self) -> Duration {
        let seconds = self.prefill_s.unwrap_or_default() + self.first_event_s.unwrap_or_default();
        Duration::from_secs_f64(seconds)
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = &Sample> {
        self.samples.iter().rev().take_while(move |sample| now < sample.at + SAMPLE_LIFETIME)
    }
}

fn update(average_s: &mut Option<f64>, sample: Duration) {
    let sample_s = sample.as_secs_f64();
    let previous_s = average_s.unwrap_or(sample_s);
    *average_s = Some(previous_s + SMOOTHING * (sample_s - previous_s));
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
