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
    wanted: BTreeMap<CompactString, CompactString>,
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
            self.note_leaving(instance);
        }
        let wanted = self.wanted_agents(instances);
        self.connect_wanted(&wanted, out);
        self.drop_unwanted(&wanted, out);
        self.flush(now, out);
    }

    fn note_leaving(&mut self, instance: &Instance) {
        let Some(agent) = self.view.named(&instance.member.name) else { return };
        let Some(view) = self.view.get_mut(agent) else { return };
        view.listed_leaving = match (instance.leaving, view.listed_leaving) {
            (false, _) => None,
            // The list lags: what it says of an earlier start stays there.
            (true, Some(incarnation)) => Some(incarnation),
            (true, None) => Some(view.incarnation),
        };
    }

    fn wanted_agents(&self, instances: &[Instance]) -> BTreeMap<CompactString, CompactString> {
        let entries: Vec<Member> = instances
            .iter()
            .filter(|instance| instance.kind == InstanceKind::Entry && !instance.leaving)
            .map(|instance| instance.member.clone())
            .collect();
        let agents = || instances.iter().filter(|instance| instance.kind == InstanceKind::Agent);
        let pools: BTreeSet<&str> = agents().map(|instance| instance.pool.as_str()).collect();
        let mut wanted = BTreeMap::new();
        for pool in pools {
            let of_pool: Vec<&Instance> =
                agents().filter(|instance| instance.pool == pool).collect();
            let members: Vec<Member> =
                of_pool.iter().map(|instance| instance.member.clone()).collect();
            let snapshot = self.fold.in_force();
            let per_agent =
                snapshot.and_then(|held| held.pool(pool)).map_or(0, |pool| pool.entries_per_agent);
            for index in subset(&self.config.name, &entries, &members, per_agent as usize) {
                let instance = of_pool[index];
                wanted.insert(instance.member.name.clone(), instance.address.clone());
            }
        }
        wanted
    }

    fn connect_wanted(
        &mut self,
        wanted: &BTreeMap<CompactString, CompactString>,
        out: &mut Vec<EntryAction>,
    ) {
        for (name, address) in wanted {
            if self.membership.wanted.get(name) != Some(address) {
                self.membership.wanted.insert(name.clone(), address.clone());
                out.push(EntryAction::Connect { name: name.clone(), address: address.clone() });
            }
        }
    }

    fn drop_unwanted(
        &mut self,
        wanted: &BTreeMap<CompactString, CompactString>,
        out: &mut Vec<EntryAction>,
    ) {
        let gone: Vec<CompactString> = self
            .membership
            .wanted
            .keys()
            .filter(|name| !wanted.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            let agent = self.view.named(&name);
            let connected =
                agent.and_then(|agent| self.view.get(agent)).is_some_and(|view| view.connected);
            if connected {
                continue;
            }
            self.membership.wanted.remove(&name);
            if let Some(agent) = agent {
                self.view.remove(agent);
            }
            out.push(EntryAction::Disconnect { name });
        }
    }
}
