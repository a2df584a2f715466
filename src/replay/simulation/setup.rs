//! Creates the entries and agents of the simulation and connects them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::agent::AgentConfig;
use crate::agent::AgentCore;
use crate::agent::AgentEvent;
use crate::entry::EntryConfig;
use crate::entry::EntryCore;
use crate::manifest::fold::publish_record;
use crate::policy::placement::Location;
use crate::policy::subset::Member;
use crate::policy::subset::subset;
use crate::replay::ReplayConfig;
use crate::replay::engine::Engine;
use crate::replay::simulation::AgentNode;
use crate::replay::simulation::EntryNode;
use crate::replay::simulation::FIRST_ENTRY_INCARNATION;
use crate::replay::simulation::LEASE_TTL;
use crate::replay::simulation::Simulation;
use crate::schema::wire;
use crate::schema::wire::to_entry::Kind as ToEntry;

impl Simulation<'_> {
    /// Returns the availability zone of an entry by its number, or of an upstream by its
    /// number in its pool; zones are assigned round robin.
    fn zone(&self, number: usize) -> CompactString {
        self.trace.header.zones[number % self.trace.header.zones.len()].clone()
    }

    pub(super) fn add_agents(&mut self) {
        let snapshot = self.snapshot.clone();
        for pool in &snapshot.manifest.pools {
            for replica in 0..pool.replicas as usize {
                let zone = self.zone(replica);
                let name = CompactString::from(format!("{}-{replica}", pool.name));
                let config = AgentConfig {
                    name: name.clone(),
                    pool: pool.name.as_str().into(),
                    region: self.trace.header.region.clone(),
                    zone: zone.clone(),
                    upstream: name.clone(),
                    lease_ttl: LEASE_TTL,
                    ..AgentConfig::default()
                };
                let node = AgentNode {
                    core: AgentCore::new(config),
                    engine: Engine::new(pool),
                    pool: pool.name.as_str().into(),
                    zone,
                    upstream: name,
                    up: true,
                    next_tick_at: None,
                    load_reports: VecDeque::new(),
                };
                self.agents.push(node);
                let agent = self.agents.len() - 1;
                let mut out = Vec::new();
                self.agents[agent].core.adopt(snapshot.clone(), &mut out);
                self.execute_agent_actions(agent, out);
            }
        }
    }

    pub(super) fn add_entries(&mut self, config: &ReplayConfig) {
        for number in 0..config.entries {
            let zone = self.zone(number);
            let entry_config = EntryConfig {
                name: format!("entry-{number}").into(),
                incarnation: FIRST_ENTRY_INCARNATION + number as u64,
                location: Location { region: self.trace.header.region.clone(), zone: zone.clone() },
                policy: config.policy,
                random_seed: config.seed,
                lease_ttl: LEASE_TTL,
                ..EntryConfig::default()
            };
            let mut core = EntryCore::new(entry_config);
            let record = publish_record("replay", "replay", 0, &self.snapshot.body);
            let text = serde_json::to_string(&record)
                .expect("a manifest record can be serialized as JSON");
            let mut out = Vec::new();
            core.set_log_reachable(true);
            core.on_manifest_start(0);
            core.on_manifest_record(self.now, 0, Duration::ZERO, &text, &mut out);
            let node = EntryNode {
                core,
                zone,
                up: true,
                agents: BTreeMap::new(),
                requests: BTreeMap::new(),
                next_tick_at: None,
            };
            self.entries.push(node);
        }
        for number in 0..config.entries {
            self.connect(number, config.entries_per_agent);
        }
    }

    fn member(&self, zone: &CompactString, name: &CompactString) -> Member {
        let region = self.trace.header.region.clone();
        Member { region, zone: zone.clone(), name: name.clone() }
    }

    /// Returns the indexes of the agents that an entry connects to, chosen separately for
    /// each pool.
    fn subset_of(&self, entry: usize, entries_per_agent: usize) -> Vec<usize> {
        let entries: Vec<Member> = (0..self.entries.len())
            .map(|number| {
                self.member(&self.entries[number].zone, &format!("entry-{number}").into())
            })
            .collect();
        let mut chosen = Vec::new();
        for pool in &self.snapshot.manifest.pools {
            let pool_agents: Vec<usize> = (0..self.agents.len())
                .filter(|&agent| self.agents[agent].pool == pool.name.as_str())
                .collect();
            let members: Vec<Member> = pool_agents
                .iter()
                .map(|&agent| self.member(&self.agents[agent].zone, &self.agents[agent].upstream))
                .collect();
            let subset_indexes =
                subset(&entries[entry].name, &entries, &members, entries_per_agent);
            chosen.extend(subset_indexes.into_iter().map(|index| pool_agents[index]));
        }
        chosen
    }

    fn connect(&mut self, entry: usize, entries_per_agent: usize) {
        let hello = wire::EntryHello {
            entry: FIRST_ENTRY_INCARNATION + entry as u64,
            name: format!("entry-{entry}"),
            generation: 1,
        };
        for agent in self.subset_of(entry, entries_per_agent) {
            let agent_hello = self.agents[agent].core.hello(self.now);
            let ToEntry::Hello(agent_hello) = agent_hello else { continue };
            let mut out = Vec::new();
            let key = self.entries[entry].core.agent_connected(self.now, &agent_hello, &mut out);
            self.entries[entry].agents.insert(key, agent);
            self.execute_entry_actions(entry, out);
            self.handle_agent_event(agent, AgentEvent::EntryConnected(hello.clone()));
        }
    }
}
