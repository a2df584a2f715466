//! Selects the agents of a pool that an entry connects to.
//!
//! Every process computes the same assignment from the instance list alone.
//! Entries and agents are sorted and assigned in rotation, so that every agent
//! gets the same number of entries, give or take one.

use compact_str::CompactString;

/// Entry or agent in the instance list. Members sort by region, zone and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Region that the instance runs in.
    pub region: CompactString,
    /// Availability zone that the instance runs in.
    pub zone: CompactString,
    /// Name of the instance.
    pub name: CompactString,
}

/// Returns the agents that the entry `me` connects to, as indexes into
/// `agents`.
///
/// If `entries_per_agent` is 0 or not below the number of entries, or `me` is
/// not among the entries, the result is all agents. Otherwise each agent gets
/// entries of its own zone first, then of its region, then of others; each of
/// these groups starts at a position that depends on the agent's rank.
pub fn subset(
    me: &CompactString,
    entries: &[Member],
    agents: &[Member],
    entries_per_agent: usize,
) -> Vec<usize> {
    let is_listed = entries.iter().any(|entry| entry.name == *me);
    if entries_per_agent == 0 || entries_per_agent >= entries.len() || !is_listed {
        return (0..agents.len()).collect();
    }
    let mut sorted_entries: Vec<&Member> = entries.iter().collect();
    sorted_entries.sort();
    let mut agent_order: Vec<usize> = (0..agents.len()).collect();
    agent_order.sort_by(|&a, &b| agents[a].cmp(&agents[b]));
    let mut my_agents: Vec<usize> = agent_order
        .into_iter()
        .enumerate()
        .filter(|&(rank, agent)| {
            let chosen =
                connected_entries(&agents[agent], rank, &sorted_entries, entries_per_agent);
            chosen.iter().any(|entry| entry.name == *me)
        })
        .map(|(_, agent)| agent)
        .collect();
    my_agents.sort_unstable();
    my_agents
}

/// The `count` entries that connect to the agent with this rank.
fn connected_entries<'a>(
    agent: &Member,
    rank: usize,
    sorted_entries: &[&'a Member],
    count: usize,
) -> Vec<&'a Member> {
    let same_zone = |entry: &&&Member| entry.zone == agent.zone;
    let same_region = |entry: &&&Member| entry.zone != agent.zone && entry.region == agent.region;
    let other_region = |entry: &&&Member| entry.region != agent.region;
    let mut chosen = take_rotated(sorted_entries.iter().filter(same_zone), rank, count);
    chosen.extend(take_rotated(
        sorted_entries.iter().filter(same_region),
        rank,
        count - chosen.len(),
    ));
    chosen.extend(take_rotated(
        sorted_entries.iter().filter(other_region),
        rank,
        count - chosen.len(),
    ));
    chosen
}

/// Takes up to `count` members in rotation, starting at a position that depends
/// on the rank.
fn take_rotated<'a: 'b, 'b>(
    members: impl Iterator<Item = &'b &'a Member>,
    rank: usize,
    count: usize,
) -> Vec<&'a Member> {
    let members: Vec<&Member> = members.copied().collect();
    let start = if members.is_empty() { 0 } else { rank * count % members.len() };
    members.iter().cycle().skip(start).take(count.min(members.len())).copied().collect()
}
