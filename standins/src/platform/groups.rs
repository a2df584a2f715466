//! Groups whose members the store deals partitions to.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

/// A member asks to join or to stay.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Join {
    /// Name of the group.
    pub group: String,
    /// Name of the member.
    pub member: String,
    /// Topics whose partitions are dealt.
    pub topics: Vec<String>,
    /// How long the member stays without asking again.
    pub ttl_ms: u64,
    /// The last generation that the member knows of.
    pub generation: u64,
}

/// Partition of a topic.
pub type Part = (String, u64);

#[derive(Debug)]
struct Member {
    until: Instant,
    /// Generation that it named last.
    knows: u64,
}

/// One group.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    holders: HashMap<Part, String>,
}

impl Group {
    /// Takes a member in or keeps it. Returns the generation and what belongs to
    /// the member now.
    pub fn join(&mut self, now: Instant, join: &Join, parts: u64) -> (u64, Vec<Part>) {
        let before = self.members.len();
        self.members.retain(|_, member| member.until > now);
        let known = self.members.contains_key(&join.member);
        if before != self.members.len() || !known {
            self.generation += 1;
        }
        let until = now + Duration::from_millis(join.ttl_ms);
        self.members.insert(join.member.clone(), Member { until, knows: join.generation });
        let names: Vec<String> = self.members.keys().cloned().collect();
        let all = join.topics.iter().flat_map(|topic| (0..parts).map(|part| (topic.clone(), part)));
        let mut dealt = Vec::new();
        for (number, part) in all.enumerate() {
            let owner = &names[number % names.len()];
            if *owner == join.member && self.may_take(&part, owner) {
                self.holders.insert(part.clone(), owner.clone());
                dealt.push(part);
            }
        }
        (self.generation, dealt)
    }

    /// True unless another member may still count on the partition.
    fn may_take(&self, part: &Part, owner: &str) -> bool {
        let Some(holder) = self.holders.get(part).filter(|holder| *holder != owner) else {
            return true;
        };
        self.members.get(holder).is_none_or(|member| member.knows >= self.generation)
    }
}
