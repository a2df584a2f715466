//! Placement of requests on agents. The agent with the lowest predicted cost is
//! preferred: for prefills among all agents, for decodes among some drawn at
//! random from those with the shortest predicted wait, and for calls among two
//! drawn at random.

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::from_ms;
use crate::manifest::Snapshot;
use crate::policy::agents::AgentKey;
use crate::policy::agents::AgentTable;
use crate::policy::agents::AgentView;
use crate::policy::prefix::CachedPrefixes;
use crate::schema::manifest::Policy;

const MS_PER_S: u64 = 1_000;
/// Use of the decode slots, in thousandths of the limit, that costs as much as
/// one millisecond of expected time.
const LOAD_PERMILLE_PER_COST_MS: u32 = 20;
/// Number of agents drawn at random for a choice by load (power of two
/// choices).
pub const SAMPLE_SIZE: usize = 2;
/// Lowest prefill rate assumed, in tokens per second, for agents that report
/// none.
const MIN_PREFILL_RATE: u64 = 1;

/// Location of an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Location {
    /// Region that the entry runs in.
    pub region: CompactString,
    /// Availability zone that the entry runs in.
    pub zone: CompactString,
}

/// Agent that a step may be placed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Key of the agent.
    pub agent: AgentKey,
    /// Predicted time: for decode agents until a decode slot is free, for
    /// prefill agents until the prefill result has reached the decode engine.
    /// For service agents it is their calls in flight, as one millisecond each.
    pub expected_time: Duration,
    /// Predicted time, with the cost of distance and, for decode agents, of
    /// load added.
    pub cost: Duration,
}

/// Cost of sending work from an entry to an agent in this region and zone.
pub fn distance_cost(policy: &Policy, from: &Location, region: &str, zone: &str) -> Duration {
    if from.zone == zone {
        Duration::ZERO
    } else if from.region == region {
        from_ms(policy.cross_zone_cost_ms)
    } else {
        from_ms(policy.cross_region_cost_ms)
    }
}

/// Inputs of every placement decision.
#[derive(Debug, Clone, Copy)]
pub struct PlacementSearch<'a> {
    /// Agents that the entry knows.
    pub agents: &'a AgentTable,
    /// Manifest that applies to the request.
    pub snapshot: &'a Snapshot,
    /// Location of the entry that decides.
    pub location: &'a Location,
    /// Current time.
    pub now: Duration,
    /// Agents that must not be selected.
    pub excluded: &'a [AgentKey],
}

impl<'a> PlacementSearch<'a> {
    fn available(&self, pool: &str) -> impl Iterator<Item = (AgentKey, &'a AgentView)> {
        let excluded = self.excluded;
        self.agents.available(pool, self.now).filter(move |(key, _)| !excluded.contains(key))
    }

    fn distance(&self, agent: &AgentView) -> Duration {
        distance_cost(policy_of(self.snapshot), self.location, &agent.region, &agent.zone)
    }

    /// Draws up to `count` decode agents for a request of `blocks` KV blocks.
    /// Returns them with the cheapest first.
    pub fn decode_candidates(
        &self,
        pool: &str,
        blocks: u32,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<Candidate> {
        let all: Vec<Candidate> = self
            .available(pool)
            .map(|(key, agent)| self.decode_candidate(key, agent, blocks))
            .collect();
        let min_time =
            all.iter().map(|candidate| candidate.expected_time).min().unwrap_or_default();
        // Only agents whose expected time is close to the shortest one take
        // part in the draw. The draw keeps entries with the same reports from
        // all choosing the same agent.
        let max_time = min_time + from_ms(NEAR_BEST_SLACK_MS);
        let near = all.iter().filter(|candidate| candidate.expected_time <= max_time);
        let mut chosen: Vec<Candidate> = near.copied().sample(rng, count);
        chosen.sort_by_key(|candidate| candidate.cost);
        chosen
    }

    fn decode_candidate(&self, key: AgentKey, agent: &AgentView, blocks: u32) -> Candidate {
        let time = agent.decode_wait(self.now, blocks);
        let load_cost = from_ms(agent.decode_use_permille() / LOAD_PERMILLE_PER_COST_MS);
        Candidate { agent: key, expected_time: time, cost: time + load_cost + self.distance(agent) }
    }

    /// Returns the prefill agent with the lowest cost: queue, uncached tokens,
    /// transfer and distance.
    pub fn prefill_candidate(&self, need: &PrefillNeed<'_>) -> Option<Candidate> {
        let transfers = TransferTimes::new(self.snapshot, need);
        let candidates = self.available(need.pool).map(|(key, agent)| {
            let time = prefill_time(key, agent, need, self.now) + transfers.time_from(&agent.zone);
            Candidate { agent: key, expected_time: time, cost: time + self.distance(agent) }
        });
        candidates.min_by_key(|candidate| candidate.cost)
    }

    /// Draws up to two service agents at random. Returns them with the cheapest
    /// first, by open calls and distance.
    pub fn service_candidates(&self, pool: &str, rng: &mut impl Rng) -> Vec<Candidate> {
        let candidates = self.available(pool).map(|(key, agent)| {
            let load_cost = from_ms(agent.load.calls.max(agent.open_calls));
            Candidate {
                agent: key,
                expected_time: load_cost,
                cost: load_cost + self.distance(agent),
            }
        });
        let mut chosen: Vec<Candidate> = candidates.sample(rng, SAMPLE_SIZE);
        chosen.sort_by_key(|candidate| candidate.cost);
        chosen
    }
}

/// Decode agents take part in the draw if their expected time exceeds the
/// shortest one by at most this, in milliseconds.
const NEAR_BEST_SLACK_MS: u32 = 20;

/// Prompt to prefill, and what its placement depends on.
#[derive(Debug, Clone, Copy)]
pub struct PrefillNeed<'a> {
    /// Name of the prefill pool.
    pub pool: &'a str,
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Size of the prefill result to transfer, in bytes.
    pub kv_bytes: u64,
    /// Tokens of the prompt that each agent is believed to have cached.
    pub cached: &'a CachedPrefixes,
    /// Availability zone of the decode engine, if it is known.
    pub decode_zone: Option<&'a str>,
}

fn prefill_time(
    key: AgentKey,
    agent: &AgentView,
    need: &PrefillNeed<'_>,
    now: Duration,
) -> Duration {
    let rate = u64::from(agent.load.prefill_tokens_per_s).max(MIN_PREFILL_RATE);
    let uncached = need.tokens.saturating_sub(need.cached.tokens(key)).max(1);
    agent.prefill_wait(now) + from_ms(u64::from(uncached) * MS_PER_S / rate)
}

/// Transfer times of a prefill result from each zone to that of the decode
/// engine. They are looked up once per decision, because there are many links
/// and few zones.
struct TransferTimes<'a> {
    from_zones: Vec<(&'a str, Duration)>,
}

impl<'a> TransferTimes<'a> {
    fn new(snapshot: &'a Snapshot, need: &PrefillNeed<'_>) -> Self {
        let links = snapshot.manifest.links.iter();
        let into_zone = links.filter(|link| Some(link.to_zone.as_str()) == need.decode_zone);
        let from_zones = into_zone
            .map(|link| {
                let ms = need.kv_bytes * MS_PER_S / link.bytes_per_s.max(1);
                (link.from_zone.as_str(), from_ms(ms))
            })
            .collect();
        Self { from_zones }
    }

    fn time_from(&self, zone: &str) -> Duration {
        let found = self.from_zones.iter().find(|(from_zone, _)| *from_zone == zone);
        found.map_or(Duration::ZERO, |&(_, time)| time)
    }
}

/// Returns the policy section of a manifest. The manifest check fills it in if
/// it is missing.
pub fn policy_of(snapshot: &Snapshot) -> &Policy {
    snapshot.manifest.policy.as_ref().expect("the manifest check fills in a missing policy")
}
