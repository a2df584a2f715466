//! Consumer groups: the store assigns the partitions of topics to the members of a group.
//!
//! A partition moves to another member only after its former owner has left the group or has
//! named the new generation in a request.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

/// Request of a member to join its group, or to stay in it.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JoinRequest {
    /// Name of the group.
    pub group: String,
    /// Name of the member.
    pub member: String,
    /// Topics whose partitions are shared out among the members.
    pub topics: Vec<String>,
    /// Time in milliseconds for which the member stays in the group without another request.
    pub ttl_ms: u64,
    /// Generation in the last response to the member; 0 in its first request.
    pub generation: u64,
}

/// Topic and number of one of its partitions, from 0.
pub type Partition = (String, u64);

#[derive(Debug, Clone)]
struct Member {
    expires_at: Instant,
    /// Generation that the last request of the member named.
    known_generation: u64,
}

/// Members of a consumer group, and who owns which partition.
#[derive(Debug, Clone, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    owners: HashMap<Partition, String>,
}

impl Group {
    /// Adds a member or renews its membership, after removing the members whose membership has
    /// expired. Each topic has `partitions` partitions. Returns the generation, which rises
    /// whenever the members change, and the partitions that the member owns now.
    pub fn join(
        &mut self,
        now: Instant,
        join: &JoinRequest,
        partitions: u64,
    ) -> (u64, Vec<Partition>) {
        let members_before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        let is_member = self.members.contains_key(&join.member);
        if members_before != self.members.len() || !is_member {
            self.generation += 1;
        }
        let expires_at = now + Duration::from_millis(join.ttl_ms);
        self.members
            .insert(join.member.clone(), Member { expires_at, known_generation: join.generation });
        let names: Vec<String> = self.members.keys().cloned().collect();
        let all_partitions = join
            .topics
            .iter()
            .flat_map(|topic| (0..partitions).map(|number| (topic.clone(), number)));
        let mut assigned = Vec::new();
        for (index, partition) in all_partitions.enumerate() {
            let owner = &names[index % names.len()];
            if *owner == join.member && self.may_own(&partition, owner) {
                self.owners.insert(partition.clone(), owner.clone());
                assigned.push(partition);
            }
        }
        (self.generation, assigned)
    }

    /// True if `owner` may own the partition. False while another owner is still a member and
    /// has not named the current generation: it may still use the partition.
    fn may_own(&self, partition: &Partition, owner: &str) -> bool {
        let Some(former_owner) =
            self.owners.get(partition).filter(|former_owner| *former_owner != owner)
        else {
            return true;
        };
        self.members
            .get(former_owner)
            .is_none_or(|member| member.known_generation >= self.generation)
    }
}
