//! Agents that an entry knows, with their reported load and health.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::as_ms;
use crate::clock::from_ms;
use crate::policy::ejection::Health;
use crate::schema::wire::AgentHello;
use crate::schema::wire::Load;

new_key_type! {
    /// Identifies an agent within one entry.
    pub struct AgentKey;
}

/// State of one agent, as far as one entry knows it.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// Name of the instance.
    pub name: CompactString,
    /// Name of the pool that the agent belongs to.
    pub pool: CompactString,
    /// Region that the agent runs in.
    pub region: CompactString,
    /// Availability zone that the agent runs in.
    pub zone: CompactString,
    /// Address of the upstream that the agent serves.
    pub upstream: CompactString,
    /// Number that changes with each start of the agent.
    pub incarnation: u64,
    /// True while there is a connection to the agent.
    pub connected: bool,
    /// True if the agent itself reported that it is leaving.
    pub leaving: bool,
    /// Incarnation that is leaving according to the instance list, if any.
    pub listed_leaving: Option<u64>,
    /// When the last message of the agent arrived.
    pub last_message_at: Duration,
    /// Time without a message after which the agent gets no new work.
    pub idle_timeout: Duration,
    /// Load in the agent's last report.
    pub load: Load,
    /// When the last load report arrived.
    pub load_received_at: Duration,
    /// Prompt tokens that this entry sent for prefill since the last report.
    pub sent_prefill_tokens: u64,
    /// KV blocks that this entry requested in reservations since the last report.
    pub sent_blocks: u32,
    /// Number of reservations that this entry requested since the last report.
    pub sent_streams: u32,
    /// Number of calls of this entry that are in flight at the agent.
    pub open_calls: u32,
    /// Consecutive failures and ejection.
    pub health: Health,
}

impl AgentView {
    /// True if new work may be sent: connected, responsive, not leaving and not
    /// ejected.
    pub fn accepts_work(&self, now: Duration) -> bool {
        let unresponsive = now >= self.last_message_at + self.idle_timeout;
        self.connected && !unresponsive && !self.is_leaving() && !self.health.is_ejected(now)
    }

    /// True if the agent or the instance list reports that this incarnation is
    /// leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving == Some(self.incarnation)
    }

    /// Applies a load report, unless a newer one was applied before.
    pub fn apply_report(&mut self, now: Duration, load: &Load) {
        if load.at_ms < self.load.at_ms {
            return;
        }
        self.load = *load;
        self.load_received_at = now;
        self.sent_prefill_tokens = 0;
        self.sent_blocks = 0;
        self.sent_streams = 0;
    }

    /// Predicted time until the prefill queue is empty.
    pub fn prefill_wait(&self, now: Duration) -> Duration {
        let rate = u64::from(self.load.prefill_tokens_per_s.max(1));
        let age_ms = as_ms(now.saturating_sub(self.load_received_at));
        let drained = rate * age_ms / MS_PER_S;
        let queued = self.load.queued_prefill_tokens + self.sent_prefill_tokens;
        from_ms(queued.saturating_sub(drained) * MS_PER_S / rate)
    }

    /// Predicted time until a decode slot with `blocks` free KV blocks is
    /// available.
    pub fn decode_wait(&self, now: Duration, blocks: u32) -> Duration {
        let load = &self.load;
        let streams = load.streams + load.waiting + self.sent_streams;
        let fits = load.waiting == 0
            && streams < load.stream_limit
            && load.free_blocks >= blocks + self.sent_blocks;
        if fits {
            return Duration::ZERO;
        }
        let age = now.saturating_sub(self.load_received_at);
        let per_slot_ms = u64::from(load.wait_ms) / u64::from(load.waiting + 1);
        let wait = from_ms(u64::from(load.wait_ms) + u64::from(self.sent_streams) * per_slot_ms);
        wait.saturating_sub(age)
    }

    /// Share of the decode slots in use, in thousandths; above 1000 if requests
    /// wait.
    pub fn decode_use_permille(&self) -> u32 {
        let limit = self.load.stream_limit.max(1);
        let streams = self.load.streams + self.load.waiting + self.sent_streams;
        streams * PERMILLE / limit
    }
}

const MS_PER_S: u64 = 1_000;
const PERMILLE: u32 = 1_000;

/// Agents that an entry knows, indexed by name and by pool.
#[derive(Debug)]
pub struct AgentTable {
    idle_timeout: Duration,
    agents: SlotMap<AgentKey, AgentView>,
    by_name: BTreeMap<CompactString, AgentKey>,
    by_pool: BTreeMap<CompactString, Vec<AgentKey>>,
}

impl AgentTable {
    /// Creates an empty table. Agents without a message for `idle_timeout` get
    /// no new work.
    pub fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            agents: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_pool: BTreeMap::new(),
        }
    }

    /// Records that a message of the agent arrived.
    pub fn record_message(&mut self, now: Duration, key: AgentKey) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.last_message_at = now;
        }
    }

    /// Adds the agent that sent this hello message, or updates it. A new
    /// incarnation starts with clean health and load.
    pub fn connect(&mut self, now: Duration, hello: &AgentHello) -> AgentKey {
        let key = match self.by_name.get(hello.name.as_str()) {
            Some(&key) => key,
            None => self.add(hello),
        };
        let agent = &mut self.agents[key];
        if agent.incarnation != hello.incarnation {
            agent.incarnation = hello.incarnation;
            agent.health = Health::default();
            agent.load = Load::default();
        }
        agent.upstream = hello.upstream.as_str().into();
        agent.connected = true;
        agent.last_message_at = now;
        agent.leaving = hello.leaving;
        if let Some(load) = &hello.load {
            agent.apply_report(now, load);
        }
        key
    }

    fn add(&mut self, hello: &AgentHello) -> AgentKey {
        let name = CompactString::from(hello.name.as_str());
        let pool = CompactString::from(hello.pool.as_str());
        let key = self.agents.insert(AgentView {
            name: name.clone(),
            pool: pool.clone(),
            region: hello.region.as_str().into(),
            zone: hello.zone.as_str().into(),
            upstream: hello.upstream.as_str().into(),
            incarnation: hello.incarnation,
            connected: false,
            leaving: false,
            listed_leaving: None,
            last_message_at: Duration::ZERO,
            idle_timeout: self.idle_timeout,
            load: Load::default(),
            load_received_at: Duration::ZERO,
            sent_prefill_tokens: 0,
            sent_blocks: 0,
            sent_streams: 0,
            open_calls: 0,
            health: Health::default(),
        });
        self.by_name.insert(name, key);
        self.by_pool.entry(pool).or_default().push(key);
        key
    }

    /// Removes an agent that the entry no longer connects to.
    pub fn remove(&mut self, key: AgentKey) {
        let Some(agent) = self.agents.remove(key) else { return };
        self.by_name.remove(&agent.name);
        if let Some(pool) = self.by_pool.get_mut(&agent.pool) {
            pool.retain(|&other| other != key);
        }
    }

    /// Returns the agent with this key, if it is known.
    pub fn get(&self, key: AgentKey) -> Option<&AgentView> {
        self.agents.get(key)
    }

    /// Returns the agent with this key for changes, if it is known.
    pub fn get_mut(&mut self, key: AgentKey) -> Option<&mut AgentView> {
        self.agents.get_mut(key)
    }

    /// Returns the key of the agent with this name, if it is known.
    pub fn key_by_name(&self, name: &str) -> Option<AgentKey> {
        self.by_name.get(name).copied()
    }

    /// All agents with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &AgentView)> {
        self.agents.iter()
    }

    /// Keys of all agents of a pool.
    pub fn pool(&self, pool: &str) -> &[AgentKey] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Agents of a pool that accept new work.
    pub fn available<'a>(
        &'a self,
        pool: &str,
        now: Duration,
    ) -> impl Iterator<Item = (AgentKey, &'a AgentView)> + 'a {
        let agents = self.pool(pool).iter().map(|&key| (key, &self.agents[key]));
        agents.filter(move |(_, agent)| agent.accepts_work(now))
    }

    /// Records a failed exchange with an agent, and ejects it if it has failed
    /// often enough and the pool's cap allows it.
    pub fn record_failure(
        &mut self,
        now: Duration,
        key: AgentKey,
        limits: &crate::policy::ejection::EjectionLimits,
    ) {
        let Some(agent) = self.agents.get(key) else { return };
        let pool = self.pool(&agent.pool);
        let ejected =
            pool.iter().filter(|&&other| self.agents[other].health.is_ejected(now)).count();
        let may_eject = limits.may_eject(ejected, pool.len());
        self.agents[key].health.record_failure(now, limits, may_eject);
    }
}
