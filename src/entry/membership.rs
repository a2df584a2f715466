//! Chooses the agents that the entry connects to.
//!
//! The choice follows the platform's instance list, which lags behind events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::policy::subset::Member;
use crate::policy::subset::subset;

/// Kind of process that an instance on the instance list runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceKind {
    /// The instance runs an entry.
    Entry,
    /// The instance runs an agent.
    Agent,
}

/// An instance as the instance list describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Kind of process that the instance runs.
    pub kind: InstanceKind,
    /// Name, region and availability zone of the instance.
    pub member: Member,
    /// Pool that an agent belongs to.
    pub pool: CompactString,
    /// Address of an agent, IP:PORT.
    pub address: CompactString,
    /// True if the instance list says that the instance is leaving.
    pub leaving: bool,
}

/// Agents that the entry keeps connections to.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// Address, IP:PORT, of each agent by its name.
    desired: BTreeMap<CompactString, CompactString>,
}

impl EntryCore {
    /// Applies an instance list that was read from the platform.
    ///
    /// An empty list changes nothing, and an agent that is connected stays even if
    /// the list no longer holds it: the connection is better evidence than the list.
    pub fn on_instance_list(
        &mut self,
        now: Duration,
        instances: &[Instance],
        out: &mut Vec<EntryAction>,
    ) {
        if instances.is_empty() {
            return;
        }
        for instance in instances {
            self.update_listed_leaving(instance);
        }
        let desired = self.desired_agents(instances);
        self.connect_desired(&desired, out);
        self.disconnect_undesired(&desired, out);
        self.flush(now, out);
    }

    /// Records for which incarnation of an agent the list says that it is leaving.
    fn update_listed_leaving(&mut self, instance: &Instance) {
        let Some(agent) = self.agents.key_by_name(&instance.member.name) else { return };
        let Some(view) = self.agents.get_mut(agent) else { return };
        view.listed_leaving = match (instance.leaving, view.listed_leaving) {
            (false, _) => None,
            // The list lags: a mark set for an earlier incarnation must not pass to a later one.
            (true, Some(incarnation)) => Some(incarnation),
            (true, None) => Some(view.incarnation),
        };
    }

    /// Addresses, by name, of the agents in this entry's subset of each pool.
    fn desired_agents(&self, instances: &[Instance]) -> BTreeMap<CompactString, CompactString> {
        let entries: Vec<Member> = instances
            .iter()
            .filter(|instance| instance.kind == InstanceKind::Entry && !instance.leaving)
            .map(|instance| instance.member.clone())
            .collect();
        let agents = || instances.iter().filter(|instance| instance.kind == InstanceKind::Agent);
        let pools: BTreeSet<&str> = agents().map(|instance| instance.pool.as_str()).collect();
        let mut desired = BTreeMap::new();
        for pool in pools {
            let of_pool: Vec<&Instance> =
                agents().filter(|instance| instance.pool == pool).collect();
            let members: Vec<Member> =
                of_pool.iter().map(|instance| instance.member.clone()).collect();
            let snapshot = self.manifest_fold.in_force();
            let entries_per_agent = snapshot
                .and_then(|snapshot| snapshot.pool(pool))
                .map_or(0, |pool| pool.entries_per_agent);
            for index in subset(&self.config.name, &entries, &members, entries_per_agent as usize) {
                let instance = of_pool[index];
                desired.insert(instance.member.name.clone(), instance.address.clone());
            }
        }
        desired
    }

    fn connect_desired(
        &mut self,
        desired: &BTreeMap<CompactString, CompactString>,
        out: &mut Vec<EntryAction>,
    ) {
        for (name, address) in desired {
            if self.membership.desired.get(name) != Some(address) {
                self.membership.desired.insert(name.clone(), address.clone());
                out.push(EntryAction::Connect { name: name.clone(), address: address.clone() });
            }
        }
    }

    fn disconnect_undesired(
        &mut self,
        desired: &BTreeMap<CompactString, CompactString>,
        out: &mut Vec<EntryAction>,
    ) {
        let removed: Vec<CompactString> = self
            .membership
            .desired
            .keys()
            .filter(|name| !desired.contains_key(*name))
            .cloned()
            .collect();
        for name in removed {
            let agent = self.agents.key_by_name(&name);
            let connected =
                agent.and_then(|agent| self.agents.get(agent)).is_some_and(|view| view.connected);
            if connected {
                continue;
            }
            self.membership.desired.remove(&name);
            if let Some(agent) = agent {
                self.agents.remove(agent);
            }
            out.push(EntryAction::Disconnect { name });
        }
    }
}
