//! Test harness: a router with a few upstreams, driven in virtual time.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Router;
use bamboodoor::router::RouterSettings;
use bamboodoor::router::Step;
use bamboodoor::router::Target;
use bamboodoor::router::accounts::Account;
use bamboodoor::router::accounts::AccountEntry;
use bamboodoor::router::accounts::Accounts;
use bamboodoor::router::accounts::ApiKey;
use bamboodoor::router::allowance::AssignedShare;
use bamboodoor::router::budget::BudgetLimits;
use bamboodoor::router::configuration::Configuration;
use bamboodoor::router::configuration::Destination;
use bamboodoor::router::configuration::Engine;
use bamboodoor::router::configuration::Route;
use bamboodoor::router::configuration::Service;
use bamboodoor::router::fingerprint::Fingerprint;
use bamboodoor::router::instance_list::InstanceRecord;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::Prompt;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::slow_start::SlowStartSettings;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;

pub const HOST: &str = "service.example";
/// Share of the allowance in each retry budget that this entry has: a tenth.
pub const BUDGET_SHARE: f64 = 0.1;
/// Timeout of the callers.
const CALLER_TIMEOUT: Duration = Duration::from_secs(14);
/// Service whose upstreams are model engines.
pub const ENGINES: &str = "engines";
/// Plain service, with routes for lookups and bookings.
pub const DESK: &str = "desk";

/// Returns a route to one service, whose requests may run at most once.
pub fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: HOST.into(),
        path_prefix: prefix.into(),
        timeout: ms(14_000),
        latency_target: ms(900),
        max_event_interval: ms(300),
        priority: 1,
        destinations: vec![Destination { service: service.into(), weight: 1 }],
        max_runs: 1,
        ..Route::default()
    }
}

/// Returns a configuration with routes for model streams and bookings, which may
/// run once, and for resumable streams and lookups, which may run twice.
pub fn default_configuration() -> Configuration {
    let stream = Route { ..route("/stream/", ENGINES) };
    let resumable = Route { resumable: true, max_runs: 2, ..route("/resumable/", ENGINES) };
    let lookup = Route { idempotent: true, max_runs: 2, ..route("/lookup/", DESK) };
    let booking = route("/booking/", DESK);
    let engine = Engine { kv_tokens: 50_000, max_reservation: ms(2_000), tokens_per_event: 7 };
    Configuration {
        version: 7,
        routes: vec![stream, resumable, lookup, booking],
        services: vec![
            Service { name: ENGINES.into(), engine: Some(engine) },
            Service { name: DESK.into(), engine: None },
        ],
        ..Configuration::default()
    }
}

/// Returns an upstream in the zone `north`, with a port that is computed from `id`.
pub fn upstream(id: &str, service: &str, role: PoolRole) -> ListedUpstream {
    let port = 1_000 + id.bytes().map(u16::from).sum::<u16>();
    ListedUpstream {
        id: id.into(),
        service: service.into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "north".into(),
        version: "v1".into(),
        role,
        leaving: false,
        started_ms: 1,
    }
}

/// Returns two prefill engines, two decode engines and two upstreams of the
/// plain service.
pub fn default_upstreams() -> Vec<ListedUpstream> {
    vec![
        upstream("p1", ENGINES, PoolRole::Prefill),
        upstream("p2", ENGINES, PoolRole::Prefill),
        upstream("d1", ENGINES, PoolRole::Decode),
        upstream("d2", ENGINES, PoolRole::Decode),
        upstream("s1", DESK, PoolRole::Service),
        upstream("s2", DESK, PoolRole::Service),
    ]
}

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Router under test, with its virtual clock and instance list.
pub struct Harness {
    pub router: Router,
    /// Current virtual time.
    pub now: Duration,
    /// Offset of the newest record applied.
    offset: u64,
}

impl Harness {
    /// Creates a router with [`default_configuration`] and these
    /// upstreams. Its virtual time starts at 1 s.
    pub fn new(upstreams: Vec<ListedUpstream>) -> Self {
        Self::with_seed(upstreams, 0)
    }

    /// The same, with this seed of the router's random numbers.
    pub fn with_seed(upstreams: Vec<ListedUpstream>, random_seed: u64) -> Self {
        Self::with_slow_start(upstreams, random_seed, SlowStartSettings::default())
    }

    /// The same, with these settings of the slow start.
    pub fn with_slow_start(
        upstreams: Vec<ListedUpstream>,
        random_seed: u64,
        slow_start: SlowStartSettings,
    ) -> Self {
        let budget = BudgetLimits { share_settling: Duration::ZERO, ..BudgetLimits::default() };
        let settings =
            RouterSettings { random_seed, slow_start, budget, ..RouterSettings::default() };
        Self::with_settings(upstreams, settings)
    }

    /// The same, with these limits of the retry budgets and without a share of the allowance.
    pub fn with_budget(
        upstreams: Vec<ListedUpstream>,
        random_seed: u64,
        budget: BudgetLimits,
    ) -> Self {
        let settings = RouterSettings { random_seed, budget, ..RouterSettings::default() };
        Self::with_settings(upstreams, settings)
    }

    fn with_settings(upstreams: Vec<ListedUpstream>, settings: RouterSettings) -> Self {
        let settings = RouterSettings { zone: "north".into(), ..settings };
        let settled = settings.budget.share_settling.is_zero();
        let mut harness = Self { router: Router::new(settings), now: ms(1_000), offset: 0 };
        harness.router.configure(default_configuration());
        if settled {
            let assigned = AssignedShare { share: BUDGET_SHARE, valid_until: Duration::MAX };
            harness.router.assign_budget_share(harness.now, assigned);
        }
        for listed in upstreams {
            harness.list_upstream(listed);
        }
        harness
    }

    /// Adds a client account to the configuration. The routes stay public.
    pub fn add_accounts(&mut self) {
        let mut configuration = default_configuration();
        configuration.version += 1;
        configuration.routes.iter_mut().for_each(|route| route.public = true);
        let account = Account { name: "first".into(), ..Account::default() };
        let entry = AccountEntry { account, keys: vec![ApiKey::new("key")] };
        configuration.accounts = Accounts::new(vec![entry]).expect("the account is valid");
        assert!(self.router.configure(configuration));
    }

    /// Adds or updates the upstream's record in the instance list.
    pub fn list_upstream(&mut self, listed: ListedUpstream) {
        let id = listed.id.clone();
        self.apply_record(&id, InstanceState::Present(listed));
    }

    /// Marks the upstream as leaving in the instance list.
    pub fn mark_leaving(&mut self, target: &Target) {
        let current = self
            .router
            .upstreams()
            .get_by_id(&target.id)
            .expect("the upstream is listed")
            .listed
            .clone();
        self.list_upstream(ListedUpstream { leaving: true, ..current });
    }

    /// Applies a record of the instance list at the next offset.
    pub fn apply_record(&mut self, id: &str, state: InstanceState) {
        self.offset += 1;
        let record = InstanceRecord { id: id.into(), offset: self.offset, state };
        let (instance_list, upstreams) = self.router.instance_list();
        instance_list.apply(self.now, record, upstreams);
        self.router.record_versions(self.now);
    }

    /// Has the router accept a request, without starting it.
    pub fn accept(&mut self, incoming: IncomingRequest) -> RequestKey {
        self.router.accept_request(self.now, incoming).expect("the router accepts the request")
    }

    /// Accepts and starts a request, and returns its key and its first step.
    pub fn start(&mut self, incoming: IncomingRequest) -> (RequestKey, Step) {
        let key = self.accept(incoming);
        let step = self.router.start(self.now, key);
        (key, step)
    }

    /// Accepts and starts [`incoming`], and returns its key and its first step.
    pub fn start_request(&mut self, path: &str) -> (RequestKey, Step) {
        self.start(incoming(path))
    }

    /// Accepts and starts [`incoming`], whose caller has waited for `earlier_wait` in
    /// earlier attempts, and returns its key and its first step.
    pub fn start_retry(&mut self, path: &str, earlier_wait: Duration) -> (RequestKey, Step) {
        let caller_timeout = Some(CALLER_TIMEOUT - earlier_wait);
        self.start(IncomingRequest { caller_timeout, ..incoming(path) })
    }

    /// Advances the clock, reports the result of the last step, and returns the
    /// next step.
    pub fn report_after(&mut self, pause: Duration, key: RequestKey, event: Event) -> Step {
        self.now += pause;
        self.router.advance(self.now, key, event)
    }

    /// Reports the result of the last step after 1 ms, and returns the next step.
    pub fn report(&mut self, key: RequestKey, event: Event) -> Step {
        self.report_after(ms(1), key, event)
    }

    /// Starts a model request and reports that its reservation and its prefill
    /// succeeded. Returns its key and the step that follows, normally the decode.
    pub fn start_decode(&mut self, path: &str) -> (RequestKey, Step) {
        let (key, step) = self.start_request(path);
        assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
        self.report(key, reserved());
        let step = self.report(key, Event::Prefilled { handle: "handle".into() });
        (key, step)
    }
}

/// Returns a request for a path. It has a prompt if the path belongs to a route to model
/// engines.
pub fn incoming(path: &str) -> IncomingRequest {
    let prompt = Prompt { tokens: 5_000, max_output_tokens: 1_000, output_hint: Some(400) };
    IncomingRequest {
        id: "request".into(),
        host: HOST.into(),
        path: path.into(),
        fingerprint: Fingerprint::default(),
        api_key: None,
        caller_timeout: Some(CALLER_TIMEOUT),
        prompt: goes_to_engines(path).then_some(prompt),
        shared_parts: Vec::new(),
        resume_after: None,
        resumes: None,
    }
}

/// True if the path belongs to a route to model engines.
fn goes_to_engines(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/resumable/")
}

/// Returns the event of a granted reservation.
pub fn reserved() -> Event {
    Event::Reserved { reservation: "hold".into() }
}

/// Returns the upstream that a step addresses. Panics if it addresses none.
pub fn target(step: &Step) -> Target {
    match step {
        Step::Reserve { target, .. }
        | Step::Prefill { target, .. }
        | Step::Decode { target, .. }
        | Step::Call { target, .. } => target.clone(),
        other => panic!("{other:?} addresses no upstream"),
    }
}
