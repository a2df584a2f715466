//! Selects the agents of a pool that an entry connects to.
//!
//! Every process computes the same assignment from the instance list and the
//! number of entries per agent. Every agent gets that number of entries. Entries
//! and agents are sorted and assigned in rotation, which spreads the agents over
//! the entries.

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
/// entries of its own zone first, then of its region, then of others. In each of
/// these groups, the first entry that it gets depends on its position among the
/// sorted agents.
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
        .filter(|&(position, agent)| {
            let chosen =
                connected_entries(&agents[agent], position, &sorted_entries, entries_per_agent);
            chosen.iter().any(|entry| entry.name == *me)
        })
        .map(|(_, agent)| agent)
        .collect();
    my_agents.sort_unstable();
    my_agents
}

/// Returns the `count` entries that connect to an agent, given its position
/// among the sorted agents.
fn connected_entries<'a>(
    agent: &Member,
    position: usize,
    sorted_entries: &[&'a Member],
    count: usize,
) -> Vec<&'a Member> {
    let same_zone = |entry: &&&Member| entry.zone == agent.zone;
    let same_region = |entry: &&&Member| entry.zone != agent.zone && entry.region == agent.region;
    let other_region = |entry: &&&Member| entry.region != agent.region;
    let mut chosen = take_rotated(sorted_entries.iter().filter(same_zone), position, count);
    chosen.extend(take_rotated(
        sorted_entries.iter().filter(same_region),
        position,
        count - chosen.len(),
    ));
    chosen.extend(take_rotated(
        sorted_entries.iter().filter(other_region),
        position,
        count - chosen.len(),
    ));
    chosen
}

/// Takes up to `count` members in rotation. The first one depends on the
/// position of the agent that gets them.
fn take_rotated<'a: 'b, 'b>(
    members: impl Iterator<Item = &'b &'a Member>,
    position: usize,
    count: usize,
) -> Vec<&'a Member> {
    let members: Vec<&Member> = members.copied().collect();
    let start = if members.is_empty() { 0 } else { position * count % members.len() };
    members.iter().cycle().skip(start).take(count.min(members.len())).copied().collect()
}
