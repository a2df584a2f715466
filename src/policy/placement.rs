//! Where a request goes: decode by predicted wait, prefill by predicted cost.

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::from_ms;
use crate::manifest::Snapshot;
use crate::policy::prefix::CachedPrefixes;
use crate::policy::view::AgentKey;
use crate::policy::view::AgentTable;
use crate::policy::view::AgentView;
use crate::schema::manifest::Policy;

const MS_PER_S: u64 = 1_000;
const PERMILLE_PER_MS: u32 = 20;
/// Agents that are drawn when a choice by load is made: power of two choices.
pub const SAMPLE_SIZE: usize = 2;
const MIN_PREFILL_RATE: u64 = 1;

/// Where the deciding entry stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Location {
    /// Region of the entry.
    pub region: CompactString,
    /// Availability zone of the entry.
    pub zone: CompactString,
}

/// What a placement is expected to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The agent.
    pub agent: AgentKey,
    /// Predicted time until the step is done.
    pub expected_time: Duration,
    /// The same with the cost of distance and of a busy upstream added.
    pub cost: Duration,
}

/// The cost of sending work from one place to another.
pub fn distance_cost(policy: &Policy, from: &Location, region: &str, zone: &str) -> Duration {
    if from.zone == zone {
        Duration::ZERO
    } else if from.region == region {
        from_ms(policy.cross_zone_cost_ms)
    } else {
        from_ms(policy.cross_region_cost_ms)
    }
}

/// What every placement looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlacementSearch<'a> {
    /// What is known of the agents.
    pub view: &'a AgentTable,
    /// The manifest that the request follows.
    pub snapshot: &'a Snapshot,
    /// Where the deciding entry stands.
    pub location: &'a Location,
    /// The time.
    pub now: Duration,
    /// Agents that are passed over.
    pub excluded: &'a [AgentKey],
}

impl<'a> PlacementSearch<'a> {
    fn working(&self, pool: &str) -> impl Iterator<Item = (AgentKey, &'a AgentView)> {
        let excluded = self.excluded;
        self.view.available(pool, self.now).filter(move |(key, _)| !excluded.contains(key))
    }

    fn distance(&self, agent: &AgentView) -> Duration {
        distance_cost(policy_of(self.snapshot), self.location, &agent.region, &agent.zone)
    }

    /// A few decode agents, the cheapest first.
    pub fn decode_candidates(
        &self,
        pool: &str,
        blocks: u32,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<Candidate> {
        let all: Vec<Candidate> = self
            .working(pool)
            .map(|(key, agent)| self.decode_candidate(key, agent, blocks))
            .collect();
        let best = all.iter().map(|candidate| candidate.expected_time).min().unwrap_or_default();
        // Only agents that are as good as the best by the report take part in
        // the draw; it keeps entries with the same report from all choosing one.
        let slack = best + from_ms(CHOICE_SLACK_MS);
        let near = all.iter().filter(|candidate| candidate.expected_time <= slack);
        let mut chosen: Vec<Candidate> = near.copied().sample(rng, count);
        chosen.sort_by_key(|candidate| candidate.cost);
        chosen
    }

    fn decode_candidate(&self, key: AgentKey, agent: &AgentView, blocks: u32) -> Candidate {
        let time = agent.decode_wait(self.now, blocks);
        let busy = from_ms(agent.decode_use_permille() / PERMILLE_PER_MS);
        Candidate { agent: key, expected_time: time, cost: time + busy + self.distance(agent) }
    }

    /// The prefill agent with the lowest cost: queue, uncached tokens, transfer.
    pub fn prefill_candidate(&self, need: &PrefillNeed<'_>) -> Option<Candidate> {
        let transfers = TransferTimes::new(self.snapshot, need);
        let candidates = self.working(need.pool).map(|(key, agent)| {
            let time = prefill_time(key, agent, need, self.now) + transfers.from(&agent.zone);
            Candidate { agent: key, expected_time: time, cost: time + self.distance(agent) }
        });
        candidates.min_by_key(|candidate| candidate.cost)
    }

    /// Two service agents drawn at random, the one with fewer calls first.
    pub fn service_candidates(&self, pool: &str, rng: &mut impl Rng) -> Vec<Candidate> {
        let candidates = self.working(pool).map(|(key, agent)| {
            let busy = from_ms(agent.load.calls.max(agent.open_calls));
            Candidate { agent: key, expected_time: busy, cost: busy + self.distance(agent) }
        });
        let mut chosen: Vec<Candidate> = candidates.sample(rng, SAMPLE_SIZE);
        chosen.sort_by_key(|candidate| candidate.cost);
        chosen
    }
}

const CHOICE_SLACK_MS: u32 = 20;

/// What has to be prefilled.
#[derive(Debug, Clone, Copy)]
pub struct PrefillNeed<'a> {
    /// Pool to look in.
    pub pool: &'a str,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Size of the result.
    pub kv_bytes: u64,
    /// What is believed to be cached where.
    pub cached: &'a CachedPrefixes,
    /// Zone of the decode engine, if known.
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

/// Times that a result takes from each zone to the decode engine's. Looked up
/// once a decision, because the links are many and the zones few.
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

    fn from(&self, zone: &str) -> Duration {
        let found = self.from_zones.iter().find(|(from_zone, _)| *from_zone == zone);
        found.map_or(Duration::ZERO, |&(_, time)| time)
    }
}

/// The policy section, which the check fills in.
pub fn policy_of(snapshot: &Snapshot) -> &Policy {
    snapshot.manifest.policy.as_ref().expect("the check fills in the policy")
}
