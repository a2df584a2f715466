//! The decision core of an entry that talks to upstreams itself.
//!
//! A request is a small state machine: it starts with one [`Step`], and each
//! [`Event`] that came of a step leads to the next one. Times, random numbers
//! and events come in; no socket is touched here.

pub mod budget;
pub mod configuration;
pub mod engine_time;
pub mod fleet;
pub mod flow;
pub mod follow;
mod generate;
pub mod instance_list;
pub mod lease;
mod plain;
pub mod request;
pub mod reservation_queue;
mod reserving;
pub mod roles;
mod selection;

pub use flow::Cleanup;
pub use flow::Event;
pub use flow::Step;
pub use flow::Target;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::budget::BudgetLimits;
use crate::router::budget::FALLBACK_SHARE;
use crate::router::budget::RetryWindow;
use crate::router::configuration::RouteTable;
use crate::router::engine_time::EngineTimeStats;
use crate::router::engine_time::PrefillTimeEstimate;
use crate::router::fleet::Fleet;
use crate::router::instance_list::InstanceList;
use crate::router::request::IncomingRequest;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::reservation_queue::ReservationQueue;
use crate::router::roles::Demand;
use crate::router::roles::RoleBalancer;
use crate::router::roles::RoleChange;
use crate::router::roles::RoleSettings;

/// What one entry is told at its start.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Availability zone of this entry.
    pub zone: CompactString,
    /// Seed of the random source.
    pub random_seed: u64,
    /// Limits of what may be sent to a service beyond the first try.
    pub budget: BudgetLimits,
    /// How engines are split between prefill and decode.
    pub roles: RoleSettings,
    /// How long entries of the instance list stay usable after they vanished
    /// while the list could not be read, counted from its return.
    pub lapse_grace: Duration,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            zone: CompactString::default(),
            random_seed: 0,
            budget: BudgetLimits::default(),
            roles: RoleSettings::default(),
            lapse_grace: Duration::from_secs(2),
        }
    }
}

/// The decision core of one entry.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    table: Option<Arc<RouteTable>>,
    fleet: Fleet,
    instance_list: InstanceList,
    requests: SlotMap<RequestKey, Request>,
    reservation_queues: HashMap<CompactString, ReservationQueue>,
    budgets: HashMap<CompactString, RetryWindow>,
    budget_share: f64,
    prefill_times: HashMap<CompactString, PrefillTimeEstimate>,
    engine_time: HashMap<CompactString, EngineTimeStats>,
    roles: HashMap<CompactString, RoleBalancer>,
    last_prompt_at: Option<Duration>,
    runnable: Vec<RequestKey>,
    cleanups: Vec<Cleanup>,
    rng: ChaCha8Rng,
    leaving: bool,
}

/// How long a caller is asked to stay away from an entry that cannot serve it
/// for reasons of its own, when another entry may.
const OTHER_ENTRY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Requests for engines within this time mean that engines are in use.
const RECENT_DEMAND_WINDOW: Duration = Duration::from_secs(2);

impl Router {
    /// A core without configuration, upstreams or requests.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            table: None,
            fleet: Fleet::default(),
            instance_list: InstanceList::new(config.lapse_grace),
            requests: SlotMap::with_key(),
            reservation_queues: HashMap::new(),
            budgets: HashMap::new(),
            budget_share: FALLBACK_SHARE,
            prefill_times: HashMap::new(),
            engine_time: HashMap::new(),
            roles: HashMap::new(),
            last_prompt_at: None,
            runnable: Vec::new(),
            cleanups: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(config.random_seed),
            leaving: false,
            config,
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Takes up a configuration, unless one as new is in force. True if taken.
    pub fn configure(&mut self, table: RouteTable) -> bool {
        let newer = self.table.as_ref().is_none_or(|known| known.version < table.version);
        if newer {
            self.table = Some(Arc::new(table));
        }
        newer
    }

    /// What is known of the upstreams.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The fold of the instance list, with the fleet that it feeds.
    pub fn instance_list(&mut self) -> (&mut InstanceList, &mut Fleet) {
        (&mut self.instance_list, &mut self.fleet)
    }

    /// True if the entry may be given requests.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.leaving
    }

    /// True once a planned stop was asked for.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Begins a planned stop: the entry is no longer ready.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// Requests in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests that wait for room and may go on now.
    pub fn take_runnable(&mut self) -> Vec<RequestKey> {
        std::mem::take(&mut self.runnable)
    }

    /// What is no longer needed at upstreams and is to be freed there.
    pub fn take_cleanups(&mut self) -> Vec<Cleanup> {
        std::mem::take(&mut self.cleanups)
    }

    /// Takes up a request. Without a key it is refused.
    ///
    /// # Errors
    /// The refusal: no configuration, or no route for host and path.
    pub fn accept_request(
        &mut self,
        now: Duration,
        incoming: IncomingRequest,
    ) -> Result<RequestKey, Refusal> {
        let Some(table) = self.table.clone() else {
            return Err(Refusal::not_run(RefusalReason::NotReady, Some(OTHER_ENTRY_RETRY_AFTER)));
        };
        let Some(route) = table.route(&incoming.host, &incoming.path) else {
            return Err(Refusal::not_run(RefusalReason::UnknownService, None));
        };
        let service = table.routes[route].pick_destination(&mut self.rng);
        self.budget(&service).record_request(now);
        let request = Request::new(now, incoming, table, route, service);
        self.record_demand(now, &request);
        Ok(self.requests.insert(request))
    }

    fn record_demand(&mut self, now: Duration, request: &Request) {
        let Some(prompt) = request.prompt else { return };
        let service = request.table.service(&request.service);
        let Some(engine) = service.and_then(|service| service.engine) else { return };
        let time = self.engine_time.entry(request.service.clone()).or_default();
        time.record_arrival(&prompt, engine.kv_tokens);
        self.last_prompt_at = Some(now);
    }

    /// The request behind a key.
    pub fn request(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// The first step of a request.
    pub fn start(&mut self, now: Duration, key: RequestKey) -> Step {
        self.advance(now, key, Event::Started)
    }

    /// The step that follows what came of the one before.
    pub fn advance(&mut self, now: Duration, key: RequestKey, event: Event) -> Step {
        if self.requests[key].prompt.is_some() {
            self.advance_generate(now, key, event)
        } else {
            self.advance_plain(now, key, event)
        }
    }

    /// The next change of an engine's role, if one is due. Only the holder of
    /// the lease asks.
    pub fn next_role_change(&mut self, now: Duration) -> Option<RoleChange> {
        let table = self.table.clone()?;
        table.services.iter().find_map(|service| {
            let engine = service.engine?;
            let time = self.engine_time.get(&service.name);
            let demand = Demand {
                prefill_share: time.and_then(EngineTimeStats::prefill_share),
                kv_tokens: engine.kv_tokens,
                has_recent_requests: self
                    .last_prompt_at
                    .is_some_and(|last| now < last + RECENT_DEMAND_WINDOW),
            };
            let settings = self.config.roles;
            let roles = self.roles.entry(service.name.clone());
            let roles = roles.or_insert_with(|| RoleBalancer::new(settings));
            roles.next_change(now, &service.name, &self.fleet, demand)
        })
    }

    /// An engine was ordered to change its role, or may have been.
    pub fn record_role_change(&mut self, now: Duration, order: &RoleChange) {
        let Some(engine) = self.fleet.get(order.key) else { return };
        if let Some(roles) = self.roles.get_mut(&engine.listed.service) {
            roles.record_ordered(now, order);
        }
    }

    /// The request is over or its caller is gone. What is still held for it is
    /// to be freed.
    pub fn finish(&mut self, now: Duration, key: RequestKey) {
        self.record_engine_time(now, key);
        let Some(request) = self.requests.get_mut(key) else { return };
        let held = request.take_cleanups();
        self.cleanups.extend(held);
        self.leave_reservation_queue(key);
        self.uncount_open(key);
        self.uncount_prefill(key);
        self.requests.remove(key);
    }

    /// Takes up this entry's share of the fixed part of every retry budget.
    pub fn set_budget_share(&mut self, share: f64) {
        self.budget_share = share;
    }

    fn budget(&mut self, service: &CompactString) -> &mut RetryWindow {
        let limits = self.config.budget;
        let budget = self.budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| RetryWindow::new(limits));
        budget.set_share(self.budget_share);
        budget
    }
}
