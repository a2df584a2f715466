//! Which agents the entry connects to, from the platform's lagging list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::entry::EntryAction;
use crate::entry::EntryCore;
use crate::policy::subset::Member;
use crate::policy::subset::subset;

/// Kind of an instance on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceKind {
    /// Runs an entry.
    Entry,
    /// Runs an agent.
    Agent,
}

/// An instance on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// What it runs.
    pub kind: InstanceKind,
    /// Its place and name.
    pub member: Member,
    /// Pool of an agent.
    pub pool: CompactString,
    /// Address of an agent, IP:PORT.
    pub address: CompactString,
    /// The list says that it is leaving.
    pub leaving: bool,
}

/// Connections that the entry keeps up.
#[derive(Debug, Default)]
pub(super) struct Membership {
    desired: BTreeMap<CompactString, CompactString>,
}

impl EntryCore {
    /// A fresh reading of the instance list.
    ///
    /// An empty reading changes nothing, and an agent that is connected stays
    /// even when the list has lost it: first-hand word goes before the list.
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

    fn update_listed_leaving(&mut self, instance: &Instance) {
        let Some(agent) = self.view.named(&instance.member.name) else { return };
        let Some(view) = self.view.get_mut(agent) else { return };
        view.listed_leaving = match (instance.leaving, view.listed_leaving) {
            (false, _) => None,
            // The list lags: what it says of an earlier start stays there.
            (true, Some(incarnation)) => Some(incarnation),
            (true, None) => Some(view.incarnation),
        };
    }

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
            let per_agent = snapshot
                .and_then(|snapshot| snapshot.pool(pool))
                .map_or(0, |pool| pool.entries_per_agent);
            for index in subset(&self.config.name, &entries, &members, per_agent as usize) {
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
            let agent = self.view.named(&name);
            let connected =
                agent.and_then(|agent| self.view.get(agent)).is_some_and(|view| view.connected);
            if connected {
                continue;
            }
            self.membership.desired.remove(&name);
            if let Some(agent) = agent {
                self.view.remove(agent);
            }
            out.push(EntryAction::Disconnect { name });
        }
    }
}
