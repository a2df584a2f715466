//! A small fake of an engine: blocks, slots, rates, eviction, prefix cache.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::agent::RunningStream;
use crate::policy::prefix::PREFIX_TOKENS;
use crate::schema::manifest::Pool;
use crate::schema::wire::AttemptId;

/// Prefix hashes that an engine caches.
const CACHED_PREFIXES: NonZeroUsize = NonZeroUsize::new(256).unwrap();

/// A prefill result that waits to be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kv {
    /// Index of the request in the trace.
    pub request: usize,
    /// Tokens that were computed for it.
    pub computed_tokens: u32,
    /// When it is evicted.
    pub evicted_at: Duration,
}

/// A stream that decodes.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    /// Index of the request in the trace.
    pub request: usize,
    /// Index of the next token.
    pub next_index: u32,
    /// Number of tokens at which it ends.
    pub end: u32,
}

/// A token that came out of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The try.
    pub id: AttemptId,
    /// Index of the token.
    pub index: u32,
    /// True for the last one.
    pub last: bool,
}

/// The fake.
#[derive(Debug)]
pub struct Engine {
    pool: Pool,
    /// How many times as long everything takes.
    pub slowdown: f64,
    cache: LruCache<u64, ()>,
    results: HashMap<String, Kv>,
    handles: HashMap<AttemptId, String>,
    next_handle: u64,
    imported: HashMap<AttemptId, usize>,
    streams: HashMap<AttemptId, Stream>,
    stepping: bool,
}

impl Engine {
    /// An idle engine of a pool.
    pub fn new(pool: &Pool) -> Self {
        Self {
            pool: pool.clone(),
            slowdown: 1.0,
            cache: LruCache::new(CACHED_PREFIXES),
            results: HashMap::new(),
            handles: HashMap::new(),
            next_handle: 0,
            imported: HashMap::new(),
            streams: HashMap::new(),
            stepping: false,
        }
    }

    /// Prompt tokens found in the cache; the whole prompt is cached after.
    pub fn cache(&mut self, prefixes: &[u64], prompt_tokens: u32) -> u32 {
        let held = prefixes.iter().take_while(|prefix| self.cache.contains(prefix)).count() as u32;
        for &prefix in prefixes {
            self.cache.put(prefix, ());
        }
        (held * PREFIX_TOKENS).min(prompt_tokens.saturating_sub(1))
    }

    /// Time to compute so many tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let rate = f64::from(self.pool.prefill_tokens_per_s.max(1));
        Duration::from_secs_f64(f64::from(tokens) / rate * self.slowdown)
    }

    /// Keeps a result until it is evicted, and names it.
    pub fn keep(
        &mut self,
        now: Duration,
        id: AttemptId,
        request: usize,
        computed_tokens: u32,
    ) -> String {
        self.next_handle += 1;
        let handle = format!("kv-{}", self.next_handle);
        let evicted_at = now + Duration::from_millis(self.pool.kv_eviction_ms.into());
        self.results.insert(handle.clone(), Kv { request, computed_tokens, evicted_at });
        self.handles.insert(id, handle.clone());
        handle
    }

    /// A result that is still there.
    pub fn result(&self, now: Duration, handle: &str) -> Option<Kv> {
        self.results.get(handle).copied().filter(|kv| now < kv.evicted_at)
    }

    /// A KV cache has arrived.
    pub fn import(&mut self, id: AttemptId, request: usize) {
        self.imported.insert(id, request);
    }

    /// Starts a stream. True if the engine was idle and a step must be begun.
    pub fn decode(&mut self, id: AttemptId, first_index: u32, end: u32) -> bool {
        let Some(request) = self.imported.remove(&id) else { return false };
        self.streams.insert(id, Stream { request, next_index: first_index, end });
        !std::mem::replace(&mut self.stepping, true)
    }

    /// The request behind an imported KV cache.
    pub fn request_of(&self, id: AttemptId) -> Option<usize> {
        self.imported.get(&id).copied()
    }

    /// Time of the step that begins now.
    pub fn step_time(&self) -> Duration {
        let step_us = self.pool.step_us(self.streams.len() as u32);
        Duration::from_micros(step_us.into()).mul_f64(self.slowdown)
    }

    /// Ends a step: every stream gives one token. A step follows unless idle.
    pub fn step(&mut self) -> Vec<Token> {
        let mut tokens = Vec::with_capacity(self.streams.len());
        for (&id, stream) in &mut self.streams {
            let index = stream.next_index;
            stream.next_index += 1;
            tokens.push(Token { id, index, last: stream.next_index >= stream.end });
        }
        for token in tokens.iter().filter(|token| token.last) {
            self.streams.remove(&token.id);
        }
        tokens.sort_unstable_by_key(|token| (token.id.entry, token.id.request, token.id.attempt));
        self.stepping = !self.streams.is_empty();
        tokens
    }

    /// True if another step follows the one that ended.
    pub fn steps_on(&self) -> bool {
        self.stepping
    }

    /// Frees whatever is held for a try.
    pub fn stop(&mut self, id: AttemptId) {
        self.streams.remove(&id);
        self.imported.remove(&id);
        if let Some(handle) = self.handles.remove(&id) {
            self.results.remove(&handle);
        }
    }

    /// The tries that streams or imported KV caches are held for.
    pub fn running(&self) -> Vec<RunningStream> {
        let held = self.streams.keys().chain(self.imported.keys());
        held.map(|&id| RunningStream { id, blocks: 1 }).collect()
    }

    /// Streams and imported KV caches that are held.
    pub fn held(&self) -> usize {
        self.streams.len() + self.imported.len()
    }
}
