//! Baseline policies that the default policy is compared with.

use std::time::Duration;

use crate::policy::agents::AgentKey;
use crate::policy::agents::AgentTable;

/// Selects the next agent in turn, where `turn` counts the requests. Agents
/// that are not available or excluded are skipped.
pub fn round_robin(
    agents: &AgentTable,
    pool: &str,
    now: Duration,
    excluded: &[AgentKey],
    turn: usize,
) -> Option<AgentKey> {
    let available =
        || agents.available(pool, now).map(|(key, _)| key).filter(|key| !excluded.contains(key));
    let count = available().count();
    available().nth(turn.checked_rem(count)?)
}

/// Selects the prefill agent with the shortest queue according to its last
/// report.
pub fn least_loaded_prefill(
    agents: &AgentTable,
    pool: &str,
    now: Duration,
    excluded: &[AgentKey],
) -> Option<AgentKey> {
    let available = agents.available(pool, now).filter(|(key, _)| !excluded.contains(key));
    available.min_by_key(|(_, agent)| agent.load.queued_prefill_tokens).map(|(key, _)| key)
}

/// Selects the decode agent with the fewest streams, waiting ones included,
/// according to its last report.
pub fn least_loaded_decode(
    agents: &AgentTable,
    pool: &str,
    now: Duration,
    excluded: &[AgentKey],
) -> Option<AgentKey> {
    let available = agents.available(pool, now).filter(|(key, _)| !excluded.contains(key));
    available.min_by_key(|(_, agent)| agent.load.streams + agent.load.waiting).map(|(key, _)| key)
}
