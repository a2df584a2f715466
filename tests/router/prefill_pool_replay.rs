//! Several entries before the same prefill pool, in virtual time: prompts arrive at random,
//! prefill engines work through them in their order, and decode engines have room for all.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::flow::Failure;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::Prompt;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::PoolRole;
use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::upstream;

/// Time in which an engine responds to a reservation or a rejected decode.
const RESPONSE_TIME: Duration = Duration::from_millis(3);
/// Time from the start of a decode to its first event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(50);
/// Silence after which callers give up: four times the latency target of the route.
const CALLER_PATIENCE: Duration = Duration::from_millis(3_600);
/// Timeout of the callers, over both of their attempts.
const CALLER_TIMEOUT: Duration = Duration::from_secs(14);
/// Latency target of the route.
const LATENCY_TARGET: Duration = Duration::from_millis(900);

/// Load and shape of the replay.
#[derive(Debug, Clone, Copy)]
pub struct ReplaySettings {
    /// Number of entries.
    pub entries: usize,
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Prompt tokens that a prefill engine reads in a millisecond.
    pub tokens_per_ms: u32,
    /// Tokens of a prompt.
    pub prompt_tokens: u32,
    /// Arriving prompt tokens as a multiple of what the pool reads.
    pub load: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// Engine that falls silent for good after this time, if any.
    pub silent_from: Option<Duration>,
    /// Seed of the arrivals and the entries.
    pub seed: u64,
}

impl Default for ReplaySettings {
    fn default() -> Self {
        Self {
            entries: 25,
            prefill_engines: 8,
            tokens_per_ms: 33,
            prompt_tokens: 3_200,
            load: 1.5,
            duration: Duration::from_secs(20),
            silent_from: None,
            seed: 1,
        }
    }
}

/// What the replay counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Requests that arrived, without the second attempts of their callers.
    pub requests: u32,
    /// Requests whose first event came within the latency target.
    pub on_time: u32,
    /// Requests whose first event came later.
    pub late: u32,
    /// Attempts that were refused.
    pub refused: u32,
    /// Callers that gave up without a first event.
    pub given_up: u32,
    /// Prompt tokens that engines read.
    pub tokens: u64,
    /// Prompt tokens that engines read for prefills that brought no first event.
    pub tokens_in_vain: u64,
    /// Prefills sent, beyond the first one of each attempt.
    pub repeated_prefills: u32,
}

/// Caller's attempt that an entry handles.
struct Attempt {
    first_sent_at: Duration,
    is_retry: bool,
    entry: usize,
    key: RequestKey,
    /// Time at which the reservation lapses, from the grant to its use.
    hold_ends_at: Duration,
    prefills: u32,
    /// Number of the last step; results of earlier ones count no more.
    step: u64,
    /// Prompt tokens that engines read for this attempt.
    tokens: u64,
}

enum Due {
    Arrival,
    Retry { first_sent_at: Duration },
    Result { attempt: u64, step: u64, event: Event },
    PrefillEnd { engine: usize },
    PrefillCheck { attempt: u64, step: u64 },
    PatienceEnd { attempt: u64 },
}

/// Entries and engines in virtual time.
pub struct Replay {
    settings: ReplaySettings,
    entries: Vec<Harness>,
    /// Waiting prefills of each engine, that in work first: attempt and step.
    queues: Vec<VecDeque<(u64, u64)>>,
    attempts: HashMap<u64, Attempt>,
    next_attempt: u64,
    due: BTreeMap<(Duration, u64), Due>,
    next_due: u64,
    rng: ChaCha8Rng,
    now: Duration,
    start: Duration,
    counts: Counts,
}

/// Plays the load and returns what was counted, all callers served, refused or gone.
pub fn replay(settings: ReplaySettings) -> Counts {
    let entries = (0..settings.entries as u64).map(|entry| new_entry(&settings, entry)).collect();
    let start = ms(1_000);
    let mut replay = Replay {
        settings,
        entries,
        queues: vec![VecDeque::new(); settings.prefill_engines],
        attempts: HashMap::new(),
        next_attempt: 0,
        due: BTreeMap::new(),
        next_due: 0,
        rng: ChaCha8Rng::seed_from_u64(settings.seed),
        now: start,
        start,
        counts: Counts::default(),
    };
    replay.schedule(Duration::ZERO, Due::Arrival);
    while let Some(((at, _), due)) = replay.due.pop_first() {
        replay.now = at;
        replay.play(due);
    }
    replay.counts
}

fn new_entry(settings: &ReplaySettings, entry: u64) -> Harness {
    let prefill = (0..settings.prefill_engines)
        .map(|engine| upstream(&prefill_id(engine), ENGINES, PoolRole::Prefill));
    let decode = (0..4).map(|engine| upstream(&format!("d{engine}"), ENGINES, PoolRole::Decode));
    let seed = settings.seed * 1_000 + entry;
    let mut harness = Harness::with_seed(prefill.chain(decode).collect(), seed);
    harness.add_accounts();
    harness
}

fn prefill_id(engine: usize) -> CompactString {
    format_compact!("p{engine}")
}

impl Replay {
    fn schedule(&mut self, after: Duration, due: Due) {
        self.next_due += 1;
        self.due.insert((self.now + after, self.next_due), due);
    }

    fn play(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::Retry { first_sent_at } => self.start_attempt(first_sent_at, true),
            Due::Result { attempt, step, event } => self.report(attempt, step, event),
            Due::PrefillEnd { engine } => self.end_prefill(engine),
            Due::PrefillCheck { attempt, step } => self.check_prefill(attempt, step),
            Due::PatienceEnd { attempt } => self.give_up(attempt),
        }
    }

    fn arrive(&mut self) {
        let pool_rate =
            self.settings.prefill_engines as f64 * f64::from(self.settings.tokens_per_ms) * 1_000.0
                / f64::from(self.settings.prompt_tokens);
        let pause_s = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
        let pause = Duration::from_secs_f64(pause_s / (pool_rate * self.settings.load));
        if self.now + pause < self.start + self.settings.duration {
            self.schedule(pause, Due::Arrival);
        }
        self.counts.requests += 1;
        self.start_attempt(self.now, false);
    }

    fn start_attempt(&mut self, first_sent_at: Duration, is_retry: bool) {
        let entry = self.rng.random_range(0..self.entries.len());
        let prompt = Prompt {
            tokens: self.settings.prompt_tokens,
            max_output_tokens: 150,
            output_hint: Some(70),
        };
        let request = IncomingRequest {
            caller_timeout: Some(CALLER_TIMEOUT - (self.now - first_sent_at)),
            prompt: Some(prompt),
            ..incoming("/stream/1")
        };
        self.entries[entry].now = self.now;
        let (key, step) = self.entries[entry].start(request);
        let id = self.next_attempt;
        self.next_attempt += 1;
        let attempt = Attempt {
            first_sent_at,
            is_retry,
            entry,
            key,
            hold_ends_at: Duration::ZERO,
            prefills: 0,
            step: 0,
            tokens: 0,
        };
        self.attempts.insert(id, attempt);
        self.schedule(CALLER_PATIENCE, Due::PatienceEnd { attempt: id });
        self.carry_out(id, step);
    }

    fn carry_out(&mut self, id: u64, step: Step) {
        let now = self.now;
        let attempt = self.attempts.get_mut(&id).expect("the attempt is open");
        attempt.step += 1;
        let number = attempt.step;
        let result = |event| Due::Result { attempt: id, step: number, event };
        match step {
            Step::Reserve { ttl, .. } => {
                attempt.hold_ends_at = now + RESPONSE_TIME + ttl;
                let reserved = Event::Reserved { reservation: "hold".into() };
                self.schedule(RESPONSE_TIME, result(reserved));
            }
            Step::Wait { until } => {
                self.schedule(until.saturating_sub(now).max(ms(1)), result(Event::WaitEnded));
            }
            Step::Prefill { target, timeout, .. } => {
                attempt.prefills += 1;
                if attempt.prefills > 1 {
                    self.counts.repeated_prefills += 1;
                }
                self.start_prefill(&target.id, id, number);
                self.schedule(timeout, Due::PrefillCheck { attempt: id, step: number });
            }
            Step::Decode { .. } if now < attempt.hold_ends_at => self.end_with_first_event(id),
            Step::Decode { .. } => {
                self.schedule(RESPONSE_TIME, result(Event::Failed(Failure::NotRun)));
            }
            Step::Refuse(refusal) => {
                self.counts.refused += 1;
                let (first_sent_at, is_retry) = (attempt.first_sent_at, attempt.is_retry);
                self.end(id, false);
                if let Some(wait) = refusal.retry_after.filter(|_| !is_retry) {
                    self.schedule(wait, Due::Retry { first_sent_at });
                }
            }
            other => panic!("unexpected step {other:?}"),
        }
    }

    fn report(&mut self, id: u64, step: u64, event: Event) {
        let Some(attempt) = self.attempts.get(&id).filter(|attempt| attempt.step == step) else {
            return;
        };
        let (entry, key) = (attempt.entry, attempt.key);
        let harness = &mut self.entries[entry];
        harness.now = self.now;
        let next = harness.router.advance(self.now, key, event);
        self.wake_runnable(entry);
        self.carry_out(id, next);
    }

    /// Continues the requests of an entry that may go on now.
    fn wake_runnable(&mut self, entry: usize) {
        for key in self.entries[entry].router.take_runnable() {
            let woken =
                self.attempts.iter().find(|(_, other)| other.entry == entry && other.key == key);
            let Some((&attempt, step)) = woken.map(|(id, other)| (id, other.step)) else {
                continue;
            };
            self.schedule(Duration::ZERO, Due::Result { attempt, step, event: Event::WaitEnded });
        }
    }

    fn start_prefill(&mut self, id: &str, attempt: u64, step: u64) {
        let engines = 0..self.settings.prefill_engines;
        let engine = engines.into_iter().find(|&engine| prefill_id(engine) == id);
        let engine = engine.expect("the engine is listed");
        self.queues[engine].push_back((attempt, step));
        if self.queues[engine].len() == 1 {
            self.schedule(self.prefill_time(), Due::PrefillEnd { engine });
        }
    }

    fn prefill_time(&self) -> Duration {
        ms(u64::from(self.settings.prompt_tokens / self.settings.tokens_per_ms))
    }

    /// Ends the prefill in work at an engine. Waiting ones whose connection was closed are
    /// dropped; that in work is read to its end in any case.
    fn end_prefill(&mut self, engine: usize) {
        let silent_from = self.settings.silent_from.map(|from| self.start + from);
        if engine == 0 && silent_from.is_some_and(|from| self.now >= from) {
            return;
        }
        let Some((id, step)) = self.queues[engine].pop_front() else { return };
        let tokens = u64::from(self.settings.prompt_tokens);
        self.counts.tokens += tokens;
        match self.attempts.get_mut(&id).filter(|attempt| attempt.step == step) {
            Some(attempt) => {
                attempt.tokens += tokens;
                let event = Event::Prefilled { handle: "handle".into() };
                self.report(id, step, event);
            }
            None => self.counts.tokens_in_vain += tokens,
        }
        let attempts = &self.attempts;
        self.queues[engine]
            .retain(|(id, step)| attempts.get(id).is_some_and(|attempt| attempt.step == *step));
        if !self.queues[engine].is_empty() {
            self.schedule(self.prefill_time(), Due::PrefillEnd { engine });
        }
    }

    fn check_prefill(&mut self, id: u64, step: u64) {
        let Some(attempt) = self.attempts.get(&id).filter(|attempt| attempt.step == step) else {
            return;
        };
        let key = attempt.key;
        let router = &mut self.entries[attempt.entry].router;
        if router.abandon_prefill(self.now, key) {
            self.report(id, step, Event::Failed(Failure::Silent));
            return;
        }
        let after = router.prefill_check_after(self.now, key);
        self.schedule(after, Due::PrefillCheck { attempt: id, step });
    }

    /// Ends an attempt whose decode brings its first event before the caller gives up.
    fn end_with_first_event(&mut self, id: u64) {
        let attempt = &self.attempts[&id];
        let (entry, key) = (attempt.entry, attempt.key);
        let waited = self.now + FIRST_EVENT_TIME - attempt.first_sent_at;
        if waited <= LATENCY_TARGET {
            self.counts.on_time += 1;
        } else {
            self.counts.late += 1;
        }
        let at = self.now + FIRST_EVENT_TIME;
        let router = &mut self.entries[entry].router;
        router.advance(self.now, key, Event::ResponseStarted { status: 200 });
        router.record_event(at, key);
        self.end(id, true);
    }

    fn give_up(&mut self, id: u64) {
        if self.attempts.contains_key(&id) {
            self.counts.given_up += 1;
            self.end(id, false);
        }
    }

    /// Ends an attempt at its entry. All but one prefill of an attempt that brought its first
    /// event were in vain, and all of the others'.
    fn end(&mut self, id: u64, served: bool) {
        let attempt = self.attempts.remove(&id).expect("the attempt is open");
        let useful = if served { u64::from(self.settings.prompt_tokens) } else { 0 };
        self.counts.tokens_in_vain += attempt.tokens.saturating_sub(useful);
        self.entries[attempt.entry].router.finish(self.now, attempt.key);
        self.entries[attempt.entry].router.take_cleanups();
        self.wake_runnable(attempt.entry);
    }
}
