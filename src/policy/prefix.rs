//! Approximate index of the prompt prefixes that prefill engines have cached.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::policy::agents::AgentKey;

/// Number of prompt tokens that each prefix hash adds to the previous one.
pub const PREFIX_TOKENS: u32 = 256;
/// Length of the longest prefix that is indexed, in hashes.
pub const MAX_PREFIXES: usize = 64;
/// Largest number of engines kept for one prefix; the oldest is dropped.
const MAX_HOLDERS: usize = 4;
/// Largest number of prefixes in the index; the least recently used is dropped.
const MAX_ENTRIES: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();
/// Age at which an engine is no longer believed to hold a prefix.
const HOLDER_MAX_AGE: Duration = Duration::from_secs(60);

/// Engine that held a prefix at `seen_at`.
#[derive(Debug, Clone, Copy)]
struct Holder {
    agent: AgentKey,
    seen_at: Duration,
}

/// Maps each prefix hash to the engines that held the prefix lately; an engine
/// is identified by its agent. Entries expire, and are corrected by what a
/// prefill found in its cache.
#[derive(Debug)]
pub struct PrefixIndex {
    entries: LruCache<u64, Vec<Holder>>,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self { entries: LruCache::new(MAX_ENTRIES) }
    }
}

/// Length of the longest cached prefix of one prompt, for each engine that
/// holds any.
#[derive(Debug, Clone, Default)]
pub struct CachedPrefixes {
    tokens: Vec<(AgentKey, u32)>,
}

impl CachedPrefixes {
    /// Number of prompt tokens that `agent` is believed to have cached.
    pub fn tokens(&self, agent: AgentKey) -> u32 {
        let found = self.tokens.iter().find(|(holder, _)| *holder == agent);
        found.map_or(0, |&(_, tokens)| tokens)
    }
}

impl PrefixIndex {
    /// Looks up the prefix hashes of a prompt, shortest prefix first.
    pub fn lookup(&mut self, now: Duration, prefixes: &[u64]) -> CachedPrefixes {
        let mut found = CachedPrefixes::default();
        for (position, prefix) in prefixes.iter().enumerate() {
            let Some(holders) = self.entries.get(prefix) else { break };
            let tokens = (position as u32 + 1) * PREFIX_TOKENS;
            let fresh = holders.iter().filter(|holder| now < holder.seen_at + HOLDER_MAX_AGE);
            for holder in fresh {
                found.record(holder.agent, tokens);
            }
        }
        found
    }

    /// Records that `agent` now holds every prefix of a prompt.
    pub fn insert(&mut self, now: Duration, prefixes: &[u64], agent: AgentKey) {
        for &prefix in prefixes {
            let holders = self.entries.get_or_insert_mut(prefix, Vec::new);
            holders.retain(|holder| holder.agent != agent);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(Holder { agent, seen_at: now });
        }
    }

    /// Records that `agent` held only the first `cached_tokens` tokens of a
    /// prompt.
    pub fn correct(&mut self, prefixes: &[u64], agent: AgentKey, cached_tokens: u32) {
        let held = (cached_tokens / PREFIX_TOKENS) as usize;
        for prefix in prefixes.iter().skip(held) {
            if let Some(holders) = self.entries.get_mut(prefix) {
                holders.retain(|holder| holder.agent != agent);
            }
        }
    }

    /// Number of prefixes in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if the index is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl CachedPrefixes {
    fn record(&mut self, agent: AgentKey, tokens: u32) {
        match self.tokens.iter_mut().find(|(holder, _)| *holder == agent) {
            Some((_, longest)) => *longest = tokens,
            None => self.tokens.push((agent, tokens)),
        }
    }
}

/// Computes the prefix hashes of a prompt: one for each complete chunk of
/// `PREFIX_TOKENS` tokens, each also covering all tokens before, and at most
/// `MAX_PREFIXES`. A token is assumed to take `bytes_per_token` bytes.
pub fn prefix_hashes(prompt: &[u8], bytes_per_token: u32) -> Vec<u64> {
    let chunk_bytes = (PREFIX_TOKENS * bytes_per_token.max(1)) as usize;
    let mut seed = 0;
    let mut hashes = Vec::new();
    for chunk in prompt.chunks_exact(chunk_bytes).take(MAX_PREFIXES) {
        seed = xxhash_rust::xxh3::xxh3_64_with_seed(chunk, seed);
        hashes.push(seed);
    }
    hashes
}
