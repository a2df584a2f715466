//! Agents that a generation may be sent to, as the policy ranks them.

use std::time::Duration;

use crate::entry::EntryCore;
use crate::entry::request::Generate;
use crate::entry::request::RequestKey;
use crate::entry::request::Work;
use crate::manifest::Snapshot;
use crate::policy::PolicyKind;
use crate::policy::agents::AgentKey;
use crate::policy::baseline;
use crate::policy::placement::Candidate;
use crate::policy::placement::PlacementSearch;
use crate::policy::placement::PrefillNeed;
use crate::policy::prefix::CachedPrefixes;
use crate::schema::manifest::Model;

impl EntryCore {
    /// Decode agents to ask under the policy, best first, `count` at most.
    pub(super) fn decode_candidates(
        &mut self,
        now: Duration,
        key: RequestKey,
        snapshot: &Snapshot,
        blocks: u32,
        count: usize,
    ) -> Vec<Candidate> {
        let Work::Generate(generate) = &self.requests[key].work else { return Vec::new() };
        let Some(model) = snapshot.model(&generate.model) else { return Vec::new() };
        let (pool, excluded) = (&model.decode_pool, &generate.excluded_decode);
        let chosen = match self.config.policy {
            PolicyKind::Reserve | PolicyKind::PrefillFirst => {
                let search = PlacementSearch {
                    agents: &self.agents,
                    snapshot,
                    location: &self.config.location,
                    now,
                    excluded,
                };
                return search.decode_candidates(pool, blocks, count, &mut self.rng);
            }
            PolicyKind::RoundRobin => {
                self.round_robin_turn += 1;
                baseline::round_robin(&self.agents, pool, now, excluded, self.round_robin_turn)
            }
            PolicyKind::LeastLoaded => {
                baseline::least_loaded_decode(&self.agents, pool, now, excluded)
            }
        };
        chosen.map(plain_candidate).into_iter().collect()
    }

    /// Best prefill agent under the policy; `None` if no agent accepts work.
    pub(super) fn prefill_candidate(
        &mut self,
        now: Duration,
        key: RequestKey,
        snapshot: &Snapshot,
        decode_zone: Option<&str>,
    ) -> Option<Candidate> {
        let Work::Generate(generate) = &self.requests[key].work else { return None };
        let model = snapshot.model(&generate.model)?;
        let (pool, excluded) = (&model.prefill_pool, &generate.excluded_prefill);
        match self.config.policy {
            PolicyKind::Reserve | PolicyKind::PrefillFirst => {
                let cached = self.prefix_index.lookup(now, &generate.prefixes);
                let need = prefill_need(generate, model, &cached, decode_zone);
                PlacementSearch {
                    agents: &self.agents,
                    snapshot,
                    location: &self.config.location,
                    now,
                    excluded,
                }
                .prefill_candidate(&need)
            }
            PolicyKind::RoundRobin => {
                self.round_robin_turn += 1;
                baseline::round_robin(&self.agents, pool, now, excluded, self.round_robin_turn)
                    .map(plain_candidate)
            }
            PolicyKind::LeastLoaded => {
                baseline::least_loaded_prefill(&self.agents, pool, now, excluded)
                    .map(plain_candidate)
            }
        }
    }
}

fn prefill_need<'a>(
    generate: &Generate,
    model: &'a Model,
    cached: &'a CachedPrefixes,
    decode_zone: Option<&'a str>,
) -> PrefillNeed<'a> {
    let tokens = generate.tokens_to_prefill();
    PrefillNeed {
        pool: &model.prefill_pool,
        tokens,
        kv_bytes: u64::from(tokens) * u64::from(model.kv_bytes_per_token),
        cached,
        decode_zone,
    }
}

/// A candidate without predicted time and cost, as baseline policies choose it.
fn plain_candidate(agent: AgentKey) -> Candidate {
    Candidate { agent, expected_time: Duration::ZERO, cost: Duration::ZERO }
}
