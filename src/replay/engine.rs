//! Simulated prefill or decode engine, with the speeds and times of its pool.
//!
//! It models the duration of prefills and decode steps, the prefix cache and the
//! eviction of prefill results. It does not limit streams or memory.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::agent::RunningStream;
use crate::policy::prefix::PREFIX_TOKENS;
use crate::schema::manifest::Pool;
use crate::schema::wire::AttemptId;

/// Largest number of prefix hashes in the prefix cache of an engine; the least recently
/// used is dropped.
const CACHED_PREFIXES: NonZeroUsize = NonZeroUsize::new(256).unwrap();

/// Prefill result that an engine keeps until it is freed or evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillResult {
    /// Index of the request in the trace.
    pub request: usize,
    /// Number of prompt tokens that were computed for it, without cached ones.
    pub computed_tokens: u32,
    /// Time from which the result is no longer available.
    pub evicted_at: Duration,
}

/// State of a stream that is being decoded.
#[derive(Debug, Clone, Copy)]
pub struct DecodeStream {
    /// Index of the request in the trace.
    pub request: usize,
    /// Index of the token that the next step produces.
    pub next_index: u32,
    /// Index at which the stream ends, exclusive.
    pub end_index: u32,
}

/// Token of one stream, produced by a decode step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// Attempt whose stream produced the token.
    pub id: AttemptId,
    /// Index of the token in the whole response, from 0.
    pub index: u32,
    /// True for the last token of the response.
    pub last: bool,
}

/// Simulated engine of one pool, for prefill or decode.
#[derive(Debug)]
pub struct Engine {
    pool: Pool,
    /// Factor by which prefills and decode steps take longer than configured.
    pub slowdown: f64,
    prefix_cache: LruCache<u64, ()>,
    /// Stored prefill results by handle.
    results: HashMap<String, PrefillResult>,
    /// Handle of the prefill result of each attempt.
    handles: HashMap<AttemptId, String>,
    /// Number of the last handle that was returned.
    last_handle: u64,
    /// Requests of the imported KV caches whose streams have not started yet.
    imported: HashMap<AttemptId, usize>,
    streams: HashMap<AttemptId, DecodeStream>,
    /// True while a decode step is scheduled.
    stepping: bool,
}

impl Engine {
    /// Creates an idle engine of `pool`.
    pub fn new(pool: &Pool) -> Self {
        Self {
            pool: pool.clone(),
            slowdown: 1.0,
            prefix_cache: LruCache::new(CACHED_PREFIXES),
            results: HashMap::new(),
            handles: HashMap::new(),
            last_handle: 0,
            imported: HashMap::new(),
            streams: HashMap::new(),
            stepping: false,
        }
    }

    /// Returns the number of prompt tokens found in the prefix cache, at most all but
    /// the last token, and puts all prefixes of the prompt into the cache.
    pub fn look_up_and_cache(&mut self, prefixes: &[u64], prompt_tokens: u32) -> u32 {
        let cached =
            prefixes.iter().take_while(|prefix| self.prefix_cache.contains(prefix)).count() as u32;
        for &prefix in prefixes {
            self.prefix_cache.put(prefix, ());
        }
        (cached * PREFIX_TOKENS).min(prompt_tokens.saturating_sub(1))
    }

    /// Returns the time to compute a number of prompt tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let rate = f64::from(self.pool.prefill_tokens_per_s.max(1));
        Duration::from_secs_f64(f64::from(tokens) / rate * self.slowdown)
    }

    /// Stores a prefill result until it is evicted, and returns its handle.
    pub fn store_result(
        &mut self,
        now: Duration,
        id: AttemptId,
        request: usize,
        computed_tokens: u32,
    ) -> String {
        self.last_handle += 1;
        let handle = format!("kv-{}", self.last_handle);
        let evicted_at = now + Duration::from_millis(self.pool.kv_eviction_ms.into());
        self.results.insert(handle.clone(), PrefillResult { request, computed_tokens, evicted_at });
        self.handles.insert(id, handle.clone());
        handle
    }

    /// Returns the prefill result of a handle, or `None` if it was freed or evicted.
    pub fn result(&self, now: Duration, handle: &str) -> Option<PrefillResult> {
        self.results.get(handle).copied().filter(|result| now < result.evicted_at)
    }

    /// Stores an imported KV cache, with which a stream can start.
    pub fn store_import(&mut self, id: AttemptId, request: usize) {
        self.imported.insert(id, request);
    }

    /// Starts a stream from its imported KV cache; does nothing if there is none.
    /// Returns true if the engine was idle: a step must then be scheduled.
    pub fn start_stream(&mut self, id: AttemptId, first_index: u32, end_index: u32) -> bool {
        let Some(request) = self.imported.remove(&id) else { return false };
        self.streams.insert(id, DecodeStream { request, next_index: first_index, end_index });
        !std::mem::replace(&mut self.stepping, true)
    }

    /// Returns the index in the trace of the request whose KV cache was imported.
    pub fn imported_request(&self, id: AttemptId) -> Option<usize> {
        self.imported.get(&id).copied()
    }

    /// Returns the duration of a decode step with the current streams.
    pub fn step_time(&self) -> Duration {
        let step_us = self.pool.step_us(self.streams.len() as u32);
        Duration::from_micros(step_us.into()).mul_f64(self.slowdown)
    }

    /// Ends a decode step, in which every stream produces one token. Returns the tokens
    /// in order of their attempt ids, so that replays are reproducible.
    pub fn finish_step(&mut self) -> Vec<Token> {
        let mut tokens = Vec::with_capacity(self.streams.len());
        for (&id, stream) in &mut self.streams {
            let index = stream.next_index;
            stream.next_index += 1;
            tokens.push(Token { id, index, last: stream.next_index >= stream.end_index });
        }
        for token in tokens.iter().filter(|token| token.last) {
            self.streams.remove(&token.id);
        }
        tokens.sort_unstable_by_key(|token| (token.id.entry, token.id.request, token.id.attempt));
        self.stepping = !self.streams.is_empty();
        tokens
    }

    /// Returns true if streams remain: another step must then be scheduled.
    pub fn is_stepping(&self) -> bool {
        self.stepping
    }

    /// Cancels the stream of an attempt, and frees its imported KV cache and prefill result.
    pub fn cancel(&mut self, id: AttemptId) {
        self.streams.remove(&id);
        self.imported.remove(&id);
        if let Some(handle) = self.handles.remove(&id) {
            self.results.remove(&handle);
        }
    }

    /// Returns the attempts with a stream or an imported KV cache, as if each held one block.
    pub fn running_streams(&self) -> Vec<RunningStream> {
        let attempts = self.streams.keys().chain(self.imported.keys());
        attempts.map(|&id| RunningStream { id, blocks: 1 }).collect()
    }

    /// Returns the number of streams and imported KV caches.
    pub fn held_streams(&self) -> usize {
        self.streams.len() + self.imported.len()
    }
}
