//! Which agents of a pool an entry connects to.
//!
//! Every process computes the same answer from the list alone. Entries and
//! agents are put in one order each and dealt out round, so that every agent
//! gets the same number of entries, give or take one.

use compact_str::CompactString;

/// An entry or agent on the instance list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Region it runs in.
    pub region: CompactString,
    /// Availability zone it runs in.
    pub zone: CompactString,
    /// Name of the instance.
    pub name: CompactString,
}

/// The agents that `me` connects to, by position in `agents`.
///
/// `entries_per_agent` of 0, or one not below the number of entries, connects
/// everything to everything. Entries of the agent's own zone come first, then
/// those of its region, each list starting at a place of its own.
pub fn subset(
    me: &CompactString,
    entries: &[Member],
    agents: &[Member],
    entries_per_agent: usize,
) -> Vec<usize> {
    let known = entries.iter().any(|entry| entry.name == *me);
    if entries_per_agent == 0 || entries_per_agent >= entries.len() || !known {
        return (0..agents.len()).collect();
    }
    let mut ordered: Vec<&Member> = entries.iter().collect();
    ordered.sort();
    let mut turns: Vec<usize> = (0..agents.len()).collect();
    turns.sort_by(|&a, &b| agents[a].cmp(&agents[b]));
    let mut mine: Vec<usize> = turns
        .into_iter()
        .enumerate()
        .filter(|&(turn, agent)| {
            let chosen = entries_of(&agents[agent], turn, &ordered, entries_per_agent);
            chosen.iter().any(|entry| entry.name == *me)
        })
        .map(|(_, agent)| agent)
        .collect();
    mine.sort_unstable();
    mine
}

fn entries_of<'a>(
    agent: &Member,
    turn: usize,
    ordered: &[&'a Member],
    count: usize,
) -> Vec<&'a Member> {
    let near = |entry: &&&Member| entry.zone == agent.zone;
    let beside = |entry: &&&Member| entry.zone != agent.zone && entry.region == agent.region;
    let far = |entry: &&&Member| entry.region != agent.region;
    let mut chosen = rotated(ordered.iter().filter(near), turn, count);
    chosen.extend(rotated(ordered.iter().filter(beside), turn, count - chosen.len()));
    chosen.extend(rotated(ordered.iter().filter(far), turn, count - chosen.len()));
    chosen
}

fn rotated<'a: 'b, 'b>(
    members: impl Iterator<Item = &'b &'a Member>,
    turn: usize,
    count: usize,
) -> Vec<&'a Member> {
    let members: Vec<&Member> = members.copied().collect();
    let start = if members.is_empty() { 0 } else { turn * count % members.len() };
    members.iter().cycle().skip(start).take(count.min(members.len())).copied().collect()
}
