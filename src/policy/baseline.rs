//! Ways of routing that the policy is measured against.

use std::time::Duration;

use crate::policy::view::AgentKey;
use crate::policy::view::AgentTable;

/// The upstream whose turn it is.
pub fn round_robin(
    view: &AgentTable,
    pool: &str,
    now: Duration,
    excluded: &[AgentKey],
    turn: usize,
) -> Option<AgentKey> {
    let working =
        || view.available(pool, now).map(|(key, _)| key).filter(|key| !excluded.contains(key));
    let count = working().count();
    working().nth(turn.checked_rem(count)?)
}

/// The prefill upstream with the shortest queue by its last report.
pub fn least_loaded_prefill(
    view: &AgentTable,
    pool: &str,
    now: Duration,
    excluded: &[AgentKey],
) -> Option<AgentKey> {
    let working = view.available(pool, now).filter(|(key, _)| !excluded.contains(key));
    working.min_by_key(|(_, agent)| agent.load.queued_prefill_tokens).map(|(key, _)| key)
}

/// The decode upstream with the fewest streams by its last report.
pub fn least_loaded_decode(
    view: &AgentTable,
    pool: &str,
    now: Duration,
    excluded: &[AgentKey],
) -> Option<AgentKey> {
    let working = view.available(pool, now).filter(|(key, _)| !excluded.contains(key));
    working.min_by_key(|(_, agent)| agent.load.streams + agent.load.waiting).map(|(key, _)| key)
}
