//! Several entries before the same upstreams of a plain service, in virtual time: requests arrive
//! at random, upstreams name rate limits, and the fleet counts what reaches each upstream.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::allowance::AssignedShare;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstream_notice::RateLimitNotice;
use bamboodoor::router::upstream_notice::UpstreamNotice;
use bamboodoor::router::upstreams::PoolRole;
use bamboodoor::router::upstreams::UpstreamKey;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::harness::DESK;
use crate::harness::Harness;
use crate::harness::ms;
use crate::harness::upstream;

/// Time in which an upstream answers.
const RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Time after the response that names a limit from which the requests of an entry count.
const TOLD_FOR: Duration = Duration::from_millis(500);
/// Time after the first naming of a limit from which it is checked.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Window in which the requests count.
const WINDOW: Duration = Duration::from_secs(4);

/// Load and shape of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of entries.
    pub entries: usize,
    /// Rate limit of each upstream, in requests a second; `None` names none.
    pub limits_per_s: Vec<Option<f64>>,
    /// Requests a second, over all entries together.
    pub requests_per_s: f64,
    /// Share of the requests that upstreams answer with status 500.
    pub failing_share: f64,
    /// True if the permits of all entries fall due at the same moments: they learn of the
    /// limits at once and draw the same phases.
    pub same_phases: bool,
    /// Seed of arrivals, failures and entries.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            entries: 5,
            limits_per_s: vec![None],
            requests_per_s: 25.0,
            failing_share: 0.0,
            same_phases: false,
            seed: 1,
        }
    }
}

/// Request that reached an upstream.
struct Send {
    at: Duration,
    /// True if its entry had been told of the limit long enough before.
    told: bool,
}

/// Upstream as the fleet sees it.
#[derive(Default)]
struct Backend {
    limit_per_s: Option<f64>,
    named_at: Option<Duration>,
    sends: Vec<Send>,
}

enum Due {
    Arrival,
    Wake {
        entry: usize,
        key: RequestKey,
    },
    Response {
        entry: usize,
        key: RequestKey,
        upstream: UpstreamKey,
        backend: usize,
        sent_at: Duration,
    },
}

/// Entries and upstreams in virtual time.
pub struct Fleet {
    settings: FleetSettings,
    pub entries: Vec<Harness>,
    backends: Vec<Backend>,
    /// Since when an entry has known of an upstream's limit.
    told_at: HashMap<(usize, usize), Duration>,
    due: BTreeMap<(Duration, u64), Due>,
    next_due: u64,
    rng: ChaCha8Rng,
    pub now: Duration,
    /// Requests that were answered.
    pub served: usize,
    /// Requests that were refused, with the time that each had waited.
    pub refused: Vec<Duration>,
    /// `Retry-After` of the refusals.
    pub retry_after: Vec<Duration>,
}

impl Fleet {
    /// Creates a fleet whose first request arrives at once. The retry budget is split evenly.
    pub fn new(settings: FleetSettings) -> Self {
        let backends: Vec<Backend> =
            settings.limits_per_s.iter().map(|_| Backend::default()).collect();
        let entries = (0..settings.entries)
            .map(|entry| if settings.same_phases { 0 } else { entry as u64 })
            .map(|entry| new_entry(&settings, settings.seed * 1_000 + entry))
            .collect();
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut fleet = Self {
            settings,
            entries,
            backends,
            told_at: HashMap::new(),
            due: BTreeMap::new(),
            next_due: 0,
            rng,
            now: ms(1_000),
            served: 0,
            refused: Vec::new(),
            retry_after: Vec::new(),
        };
        fleet.schedule(Duration::ZERO, Due::Arrival);
        fleet.name_limits();
        if fleet.settings.same_phases {
            fleet.tell_all();
        }
        fleet
    }

    /// Has the upstreams name these limits from now on.
    pub fn set_limits(&mut self, limits_per_s: Vec<Option<f64>>) {
        self.settings.limits_per_s = limits_per_s;
        self.name_limits();
    }

    /// Sets the share of the limits that each entry uses.
    pub fn set_shares(&mut self, shares: &[f64]) {
        for (entry, share) in self.entries.iter_mut().zip(shares) {
            entry.router.set_rate_limit_share(self.now, *share);
        }
    }

    fn name_limits(&mut self) {
        for (backend, limit_per_s) in self.backends.iter_mut().zip(&self.settings.limits_per_s) {
            backend.limit_per_s = *limit_per_s;
            backend.named_at = limit_per_s.map(|_| self.now);
            backend.sends.clear();
        }
        self.told_at.clear();
    }

    /// Replaces an entry by a new one that has been told nothing yet.
    pub fn restart_entry(&mut self, entry: usize) {
        let seed = self.settings.seed * 1_000 + 500 + entry as u64;
        self.entries[entry] = new_entry(&self.settings, seed);
        self.told_at.retain(|(told, _), _| *told != entry);
        self.due.retain(|_, due| match due {
            Due::Arrival => true,
            Due::Wake { entry: of, .. } | Due::Response { entry: of, .. } => *of != entry,
        });
    }

    /// Plays this long.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((&(at, id), _)) = self.due.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            let due = self.due.remove(&(at, id)).expect("it was found above");
            self.play(due);
        }
        self.now = end;
    }

    fn play(&mut self, due: Due) {
        match due {
            Due::Arrival => {
                let pause_s = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
                let pause = Duration::from_secs_f64(pause_s / self.settings.requests_per_s);
                self.schedule(pause, Due::Arrival);
                let entry = self.rng.random_range(0..self.entries.len());
                self.entries[entry].now = self.now;
                let (key, step) = self.entries[entry].start_request("/lookup/1");
                self.carry_out(entry, key, step);
            }
            Due::Wake { entry, key } => self.report(entry, key, Event::WaitEnded),
            Due::Response { entry, key, upstream, backend, sent_at } => {
                self.tell(entry, upstream, backend, sent_at);
                let fails = self.rng.random_bool(self.settings.failing_share);
                let status = if fails { 500 } else { 200 };
                self.report(entry, key, Event::ResponseStarted { status });
            }
        }
    }

    /// Tells all entries of all limits at once.
    fn tell_all(&mut self) {
        for entry in 0..self.entries.len() {
            let desk = self.entries[entry].router.upstreams().service_upstreams(DESK);
            let upstreams: Vec<(UpstreamKey, usize)> =
                desk.map(|(key, upstream)| (key, backend_of(&upstream.listed.id))).collect();
            for (key, backend) in upstreams {
                self.tell(entry, key, backend, self.now);
            }
        }
    }

    /// Passes on what the response says of the limit.
    fn tell(&mut self, entry: usize, upstream: UpstreamKey, backend: usize, sent_at: Duration) {
        let limit_per_s = self.backends[backend].limit_per_s;
        let rate_limit = limit_per_s.map_or(RateLimitNotice::Absent, RateLimitNotice::Named);
        let notice = UpstreamNotice {
            upstream,
            sent_at,
            rate_limit: Some(rate_limit),
            leaving: false,
            retry_after: None,
        };
        self.entries[entry].router.record_notice(self.now, &notice);
        if limit_per_s.is_some() {
            self.told_at.entry((entry, backend)).or_insert(self.now);
        }
    }

    fn report(&mut self, entry: usize, key: RequestKey, event: Event) {
        let step = self.entries[entry].router.advance(self.now, key, event);
        self.carry_out(entry, key, step);
    }

    fn carry_out(&mut self, entry: usize, key: RequestKey, step: Step) {
        match step {
            Step::Call { target, .. } => {
                let backend = backend_of(&target.id);
                let told_at = self.told_at.get(&(entry, backend));
                let told = told_at.is_some_and(|at| *at + TOLD_FOR <= self.now);
                self.backends[backend].sends.push(Send { at: self.now, told });
                let due =
                    Due::Response { entry, key, upstream: target.key, backend, sent_at: self.now };
                self.schedule(RESPONSE_TIME, due);
            }
            Step::Wait { until } => {
                self.schedule(until.saturating_sub(self.now), Due::Wake { entry, key });
            }
            Step::Relay { .. } => {
                self.served += 1;
                self.entries[entry].router.finish(self.now, key);
            }
            Step::Refuse(refusal) => {
                let router = &mut self.entries[entry].router;
                let arrived_at = router.request(key).expect("it is in flight").arrived_at;
                self.refused.push(self.now - arrived_at);
                self.retry_after.extend(refusal.retry_after);
                router.finish(self.now, key);
            }
            other => panic!("unexpected step {other:?}"),
        }
    }

    fn schedule(&mut self, pause: Duration, due: Due) {
        self.next_due += 1;
        self.due.insert((self.now + pause, self.next_due), due);
    }

    /// Requests that reached an upstream since its limit was set last.
    pub fn sent(&self, backend: usize) -> usize {
        self.backends[backend].sends.len()
    }

    /// Checks that no upstream got more in any window than one and a half times its limit and
    /// five requests more, of entries that it had told.
    pub fn assert_limits_kept(&self) {
        for (number, backend) in self.backends.iter().enumerate() {
            let Some((limit_per_s, named_at)) = backend.limit_per_s.zip(backend.named_at) else {
                continue;
            };
            let allowed = 1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0;
            let counted: Vec<Duration> = backend
                .sends
                .iter()
                .filter(|send| send.told && send.at >= named_at + SETTLE_TIME)
                .map(|send| send.at)
                .collect();
            for (index, start) in counted.iter().enumerate() {
                let within =
                    counted[index..].iter().take_while(|at| **at < *start + WINDOW).count();
                assert!(
                    within as f64 <= allowed,
                    "upstream {number} got {within} requests from {start:?} on, allowed {allowed}"
                );
            }
        }
    }
}

fn new_entry(settings: &FleetSettings, seed: u64) -> Harness {
    let upstreams = (0..settings.limits_per_s.len())
        .map(|number| upstream(&format!("s{number}"), DESK, PoolRole::Service))
        .collect();
    let mut entry = Harness::with_seed(upstreams, seed);
    let share = 1.0 / settings.entries as f64;
    let assigned = AssignedShare { share, valid_until: Duration::MAX };
    entry.router.assign_budget_share(entry.now, assigned);
    entry.router.set_rate_limit_share(entry.now, share);
    entry
}

fn backend_of(id: &str) -> usize {
    id.trim_start_matches('s').parse().expect("ids are numbered")
}
