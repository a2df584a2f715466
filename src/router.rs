//! Decision core of an entry that connects to upstreams directly.
//!
//! Each request is a state machine: it starts with one [`Step`], and each
//! [`Event`] that results from a step leads to the next step. The core does no
//! I/O and reads no clock: times, the random seed and events are passed in.

pub mod accounts;
pub mod allowance;
pub mod budget;
pub mod caller_retry;
pub mod configuration;
pub mod connection_limits;
pub mod engine_time;
pub mod event_times;
pub mod fingerprint;
pub mod flow;
pub mod follow;
mod generate;
pub mod instance_list;
pub mod key_certainty;
pub mod lease;
pub mod liveness;
pub mod output_margin;
pub mod pace;
mod parallel_calls;
pub mod pauses;
mod plain;
pub mod poison;
pub mod poisoned_requests;
mod prefill_limits;
pub mod prefill_pool;
mod prefilling;
mod quota_admission;
pub mod quota_claims;
pub mod quotas;
pub mod rate_limit;
pub mod request;
pub mod reservation_queue;
mod reserving;
pub mod retry_budgets;
pub mod roles;
mod selection;
pub mod shutdown;
pub mod slow_start;
pub mod store_era;
pub mod stream_origins;
pub mod upstream_notice;
pub mod upstreams;
pub mod version_history;

pub use flow::Cleanup;
pub use flow::Event;
pub use flow::Step;
pub use flow::Target;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::budget::BudgetLimits;
use crate::router::caller_retry::LongestCallerTimeout;
use crate::router::configuration::Configuration;
use crate::router::engine_time::EngineTimeStats;
use crate::router::engine_time::PrefillTimeEstimate;
use crate::router::instance_list::InstanceList;
use crate::router::key_certainty::KeyCertainty;
use crate::router::output_margin::OutputMargin;
use crate::router::poison::PoisonDetector;
use crate::router::poisoned_requests::UncheckedRun;
use crate::router::prefill_pool::PrefillPool;
use crate::router::quota_claims::EntryIncarnation;
use crate::router::quotas::QuotaSettings;
use crate::router::quotas::Quotas;
use crate::router::rate_limit::FALLBACK_SHARE;
use crate::router::request::IncomingRequest;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::reservation_queue::ReservationQueue;
use crate::router::reserving::CAPACITY_RETRY_AFTER;
use crate::router::retry_budgets::RetryBudgets;
use crate::router::roles::Demand;
use crate::router::roles::RoleBalancer;
use crate::router::roles::RoleChange;
use crate::router::roles::RoleSettings;
use crate::router::shutdown::Shutdown;
use crate::router::slow_start::SlowStartSettings;
use crate::router::store_era::StoreEra;
use crate::router::stream_origins::StreamOrigins;
use crate::router::upstreams::Upstreams;
use crate::router::version_history::RecordedVersions;
use crate::router::version_history::VersionHistory;

/// Settings of the decision core, fixed when the entry starts.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Availability zone of this entry. Upstreams of the same zone are
    /// preferred.
    pub zone: CompactString,
    /// Seed of the random number generator.
    pub random_seed: u64,
    /// Limits on the sends to a service beyond the first one of each request.
    pub budget: BudgetLimits,
    /// True if all entries start for the first time: none has sent anything before.
    pub first_start: bool,
    /// How engines are split between the prefill and the decode role.
    pub roles: RoleSettings,
    /// How upstreams start that have just started or recovered.
    pub slow_start: SlowStartSettings,
    /// Length of the grace period after an outage of the instance list. It
    /// starts when the list can be read again; an upstream whose record is then
    /// found to have vanished stays usable until its end.
    pub outage_grace: Duration,
    /// Time from the withdrawal of a key of a client account within which it must be refused,
    /// also by an entry that cannot read configurations; `None` if such an entry may accept it
    /// for longer.
    pub key_withdrawal: Option<Duration>,
    /// What all entries together may admit beyond the quotas of accounts; `None` if quotas
    /// are not enforced.
    pub quotas: Option<QuotaSettings>,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            zone: CompactString::default(),
            random_seed: 0,
            budget: BudgetLimits::default(),
            first_start: false,
            roles: RoleSettings::default(),
            slow_start: SlowStartSettings::default(),
            outage_grace: Duration::from_secs(2),
            key_withdrawal: None,
            quotas: None,
        }
    }
}

/// Decision core of one entry.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    /// Configuration in force; `None` before the first one was applied.
    configuration: Option<Arc<Configuration>>,
    /// Highest era that the store has named; `None` before the first one.
    store_era: Option<StoreEra>,
    /// Whether the configuration in force is current, for the keys of accounts.
    key_certainty: KeyCertainty,
    /// Quotas of client accounts.
    quotas: Quotas,
    upstreams: Upstreams,
    instance_list: InstanceList,
    requests: SlotMap<RequestKey, Request>,
    /// Reservation queue of each service. The key is the name of the service, as
    /// in the maps below.
    reservation_queues: HashMap<CompactString, ReservationQueue>,
    budgets: RetryBudgets,
    /// This entry's share of the rate limits of upstreams.
    rate_limit_share: f64,
    /// Prefill times with the wait for the engine, for the timeout of prefills.
    prefill_times: HashMap<CompactString, PrefillTimeEstimate>,
    /// Statistics of engine time, for the selection of engines and their roles.
    engine_time: HashMap<CompactString, EngineTimeStats>,
    /// What this entry's prefills showed of the prefill pool, for admission.
    prefill_pools: HashMap<CompactString, PrefillPool>,
    roles: HashMap<CompactString, RoleBalancer>,
    /// Longest caller timeout of each route, by its name.
    caller_timeouts: HashMap<CompactString, LongestCallerTimeout>,
    /// Margins of the memory that is reserved for output.
    output_margins: HashMap<CompactString, OutputMargin>,
    /// Software versions of the engines of each service.
    version_histories: HashMap<CompactString, VersionHistory>,
    /// What the store holds of the versions of each service.
    recorded_versions: RecordedVersions,
    /// Requests and parts of prompts that crash upstreams.
    poison: PoisonDetector,
    /// Runs to check; see [`Router::take_unchecked_runs`].
    unchecked_runs: Vec<UncheckedRun>,
    /// Where streams began that their callers may take up.
    stream_origins: StreamOrigins,
    /// When the last model request arrived.
    last_prompt_at: Option<Duration>,
    /// Waiting requests that may go on now; see [`Router::take_runnable`].
    runnable: Vec<RequestKey>,
    /// Resources to free at upstreams; see [`Router::take_cleanups`].
    cleanups: Vec<Cleanup>,
    rng: ChaCha8Rng,
    /// Graceful shutdown in progress; `None` before it.
    shutdown: Option<Shutdown>,
}

/// `Retry-After` of a request that is refused because this entry has no
/// configuration yet, or none that is certainly current; another entry may be able to serve it.
const OTHER_ENTRY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Calls that a role order takes: the query of the engine's state and the order.
const SENDS_PER_ORDER: u32 = 2;

/// Engines count as in use if a model request arrived within this time.
const RECENT_DEMAND_WINDOW: Duration = Duration::from_secs(2);

impl Router {
    /// Creates a core without configuration, upstreams or requests.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            configuration: None,
            store_era: None,
            key_certainty: KeyCertainty::new(settings.key_withdrawal),
            quotas: Quotas::new(settings.quotas, EntryIncarnation(settings.random_seed)),
            upstreams: Upstreams::new(settings.slow_start),
            instance_list: InstanceList::new(settings.outage_grace),
            requests: SlotMap::with_key(),
            reservation_queues: HashMap::new(),
            budgets: RetryBudgets::new(settings.budget, settings.first_start),
            rate_limit_share: FALLBACK_SHARE,
            prefill_times: HashMap::new(),
            engine_time: HashMap::new(),
            prefill_pools: HashMap::new(),
            roles: HashMap::new(),
            caller_timeouts: HashMap::new(),
            output_margins: HashMap::new(),
            version_histories: HashMap::new(),
            recorded_versions: RecordedVersions::default(),
            poison: PoisonDetector::default(),
            unchecked_runs: Vec::new(),
            stream_origins: StreamOrigins::default(),
            last_prompt_at: None,
            runnable: Vec::new(),
            cleanups: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.random_seed),
            shutdown: None,
            settings,
        }
    }

    /// Configuration in force; `None` before the first one was applied.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Applies a configuration if it is newer than the one in force. Returns
    /// true if it was applied.
    pub fn configure(&mut self, configuration: Configuration) -> bool {
        let newer = self
            .configuration
            .as_ref()
            .is_none_or(|in_force| in_force.version < configuration.version);
        if newer {
            let routes: HashSet<&CompactString> =
                configuration.routes.iter().map(|route| &route.name).collect();
            self.caller_timeouts.retain(|route, _| routes.contains(route));
            self.configuration = Some(Arc::new(configuration));
        }
        newer
    }

    /// Upstreams in the instance list, with what this entry observed of each.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Instance list, with the upstreams that its records update.
    pub fn instance_list(&mut self) -> (&mut InstanceList, &mut Upstreams) {
        (&mut self.instance_list, &mut self.upstreams)
    }

    /// True if the entry may receive requests: it has a configuration, is not leaving and, if
    /// callers need keys, can accept them.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.configuration.is_some() && !self.is_leaving() && !self.refuses_keys(now)
    }

    /// Number of requests in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests in flight.
    pub fn requests(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// Returns the requests that wait for a reservation and may go on now, and
    /// clears the list of them.
    pub fn take_runnable(&mut self) -> Vec<RequestKey> {
        std::mem::take(&mut self.runnable)
    }

    /// Returns the resources to free at upstreams, and clears the list of them.
    pub fn take_cleanups(&mut self) -> Vec<Cleanup> {
        std::mem::take(&mut self.cleanups)
    }

    /// Accepts a request and returns its key.
    ///
    /// # Errors
    /// A refusal, with no key assigned, if there is no configuration yet, no route for
    /// the host and path, if the route needs the API key of an account and the request
    /// has none, or one that may have been withdrawn since, if the request is beyond the
    /// quota of its account, or if it would outlast the graceful shutdown.
    pub fn accept_request(
        &mut self,
        now: Duration,
        incoming: IncomingRequest,
    ) -> Result<RequestKey, Refusal> {
        let Some(configuration) = self.configuration.clone() else {
            return Err(Refusal::not_run(RefusalReason::NotReady, Some(OTHER_ENTRY_RETRY_AFTER)));
        };
        let Some(route) = configuration.route(&incoming.host, &incoming.path) else {
            return Err(Refusal::not_run(RefusalReason::UnknownService, None));
        };
        let key = incoming.api_key.as_ref();
        let caller = self.identify_caller(now, &configuration, route, key)?;
        let service = configuration.routes[route].pick_destination(&mut self.rng);
        let destination = (&configuration.routes[route], service.as_str());
        self.admit_before_exit(now, &incoming, &configuration, destination)?;
        let quota_units = self.admit_to_quota(now, &caller, incoming.prompt.as_ref())?;
        self.budgets.record_request(now, &service);
        let mut request = Request::new(now, incoming, configuration, route, service, caller);
        request.quota_units = quota_units;
        if let Some((prompt, engine)) = request.prompt.zip(request.engine()) {
            let longest = self.caller_timeouts.entry(request.route().name.clone()).or_default();
            request.is_late = longest.record(request.remaining_time(now), CAPACITY_RETRY_AFTER);
            let margin = self.output_margins.get(&request.service).copied().unwrap_or_default();
            request.reserved_tokens = margin.reserved_tokens(&prompt, engine.kv_tokens);
        }
        self.record_demand(now, &request);
        Ok(self.requests.insert(request))
    }

    fn record_demand(&mut self, now: Duration, request: &Request) {
        let Some(prompt) = request.prompt else { return };
        let Some(engine) = request.engine() else { return };
        let time = self.engine_time.entry(request.service.clone()).or_default();
        time.record_arrival(&prompt, &engine);
        self.last_prompt_at = Some(now);
    }

    /// Returns the request with this key, while it is in flight.
    pub fn request(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// Returns the first step of an accepted request.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn start(&mut self, now: Duration, key: RequestKey) -> Step {
        self.advance(now, key, Event::Started)
    }

    /// Returns the step that follows the event that resulted from the last
    /// step.
    ///
    /// # Panics
    /// If no request with this key is in flight.
    pub fn advance(&mut self, now: Duration, key: RequestKey, event: Event) -> Step {
        self.track_run(key, &event);
        if self.requests[key].prompt.is_some() {
            self.advance_generate(now, key, event)
        } else {
            self.advance_plain(now, key, event)
        }
    }

    /// Next change of an engine's role, if one is due. Only the lease holder
    /// may order it. Other entries call this as well, because each call records
    /// since when the number of engines has not changed.
    pub fn next_role_change(&mut self, now: Duration) -> Option<RoleChange> {
        let configuration = self.configuration.clone()?;
        configuration.services.iter().find_map(|service| {
            let engine = service.engine?;
            let time = self.engine_time.get(&service.name);
            let demand = Demand {
                prefill_share: time.map(|time| time.prefill_share(&engine)),
                engine,
                has_recent_requests: self
                    .last_prompt_at
                    .is_some_and(|last| now < last + RECENT_DEMAND_WINDOW),
                is_contended: !configuration.accounts.is_empty(),
                prefill_is_short: self
                    .prefill_pools
                    .get(&service.name)
                    .is_some_and(|pool| pool.is_short(now)),
            };
            let role_settings = self.settings.roles;
            let roles = self.roles.entry(service.name.clone());
            let roles = roles.or_insert_with(|| RoleBalancer::new(role_settings));
            roles.next_change(now, &service.name, &self.upstreams, demand)
        })
    }

    /// Takes the sends of a role order, the state query before it included, out of the
    /// rate limit of its engine.
    pub fn take_order_permits(&mut self, now: Duration, change: &RoleChange) {
        self.upstreams.take_permits(now, change.key, SENDS_PER_ORDER);
    }

    /// True if the rate limit of the upstream allows a cleanup now. Takes the permit
    /// then. Otherwise the upstream frees the resource by itself after a while.
    pub fn permit_cleanup(&mut self, now: Duration, cleanup: &Cleanup) -> bool {
        let key = cleanup.held().target.key;
        let allowed = self.upstreams.get(key).is_none_or(|upstream| upstream.permits(now));
        if allowed {
            self.upstreams.take_permits(now, key, 1);
        }
        allowed
    }

    /// Records that the lease holder tried to order this change, whether or not
    /// the order reached the engine.
    pub fn record_role_change(&mut self, now: Duration, change: &RoleChange) {
        let Some(engine) = self.upstreams.get(change.key) else { return };
        if let Some(roles) = self.roles.get_mut(&engine.listed.service) {
            roles.record_ordered(now, change);
        }
    }

    /// Ends a request: it is complete, was refused or aborted, or its caller
    /// disconnected. Resources that it still holds are queued for
    /// [`Router::take_cleanups`].
    pub fn finish(&mut self, now: Duration, key: RequestKey) {
        self.record_steady_stream(key);
        self.report_crashed_runs(key);
        self.have_run_checked(key);
        self.end_parallel_calls(key);
        if self.requests.contains_key(key) {
            self.settle_sends(now, key);
        }
        let Some(request) = self.requests.get_mut(key) else { return };
        let held = request.take_cleanups();
        self.cleanups.extend(held);
        self.leave_reservation_queue(key);
        self.uncount_open(key);
        self.uncount_prefill(key);
        self.return_quota(key);
        self.requests.remove(key);
    }

    /// Sets this entry's share, from 0 to 1, of the rate limits that upstreams name.
    pub fn set_rate_limit_share(&mut self, now: Duration, share: f64) {
        self.rate_limit_share = share;
        self.upstreams.set_rate_limit_share(now, share);
    }

    /// This entry's share of the rate limits that upstreams name.
    pub fn rate_limit_share(&self) -> f64 {
        self.rate_limit_share
    }
}
