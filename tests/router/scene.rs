//! A router with a small fleet, and a request on its way through it.

use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Router;
use bamboodoor::router::RouterConfig;
use bamboodoor::router::Step;
use bamboodoor::router::Target;
use bamboodoor::router::configuration::Destination;
use bamboodoor::router::configuration::Engine;
use bamboodoor::router::configuration::Route;
use bamboodoor::router::configuration::RouteTable;
use bamboodoor::router::configuration::Service;
use bamboodoor::router::fleet::ListedUpstream;
use bamboodoor::router::fleet::PoolRole;
use bamboodoor::router::instance_list::InstanceRecord;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::Prompt;
use bamboodoor::router::request::RequestKey;

pub const HOST: &str = "service.example";
/// Share of the retry budgets, of one entry of ten.
pub const BUDGET_SHARE: f64 = 0.1;
pub const ENGINES: &str = "engines";
pub const DESK: &str = "desk";

/// A route of that kind.
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

pub fn table() -> RouteTable {
    let stream = Route { ..route("/stream/", ENGINES) };
    let resumable = Route { resumable: true, max_runs: 2, ..route("/resumable/", ENGINES) };
    let lookup = Route { idempotent: true, max_runs: 2, ..route("/lookup/", DESK) };
    let booking = route("/booking/", DESK);
    let engine = Engine { kv_tokens: 50_000, max_reservation: ms(2_000) };
    RouteTable {
        version: 7,
        routes: vec![stream, resumable, lookup, booking],
        services: vec![
            Service { name: ENGINES.into(), engine: Some(engine) },
            Service { name: DESK.into(), engine: None },
        ],
        ..RouteTable::default()
    }
}

pub fn upstream(id: &str, service: &str, role: PoolRole) -> ListedUpstream {
    let port = 1_000 + id.bytes().map(u16::from).sum::<u16>();
    ListedUpstream {
        id: id.into(),
        service: service.into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "north".into(),
        role,
        leaving: false,
        started_ms: 1,
    }
}

/// Two prefill engines, two decode engines, two desks.
pub fn fleet() -> Vec<ListedUpstream> {
    vec![
        upstream("p1", ENGINES, PoolRole::Prefill),
        upstream("p2", ENGINES, PoolRole::Prefill),
        upstream("d1", ENGINES, PoolRole::Decode),
        upstream("d2", ENGINES, PoolRole::Decode),
        upstream("s1", DESK, PoolRole::Service),
        upstream("s2", DESK, PoolRole::Service),
    ]
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A router and the time.
pub struct Scene {
    pub router: Router,
    pub now: Duration,
    offset: u64,
}

impl Scene {
    pub fn new(upstreams: Vec<ListedUpstream>) -> Self {
        let config = RouterConfig { zone: "north".into(), ..RouterConfig::default() };
        let mut scene = Self { router: Router::new(config), now: ms(1_000), offset: 0 };
        scene.router.configure(table());
        scene.router.set_budget_share(BUDGET_SHARE);
        for listed in upstreams {
            scene.list(listed);
        }
        scene
    }

    /// The list names the upstream.
    pub fn list(&mut self, listed: ListedUpstream) {
        let id = listed.id.clone();
        self.record(&id, InstanceState::Present(listed));
    }

    /// The list says that the upstream leaves.
    pub fn leaves(&mut self, target: &Target) {
        let known = self.router.fleet().get_by_id(&target.id).expect("is listed").listed.clone();
        self.list(ListedUpstream { leaving: true, ..known });
    }

    pub fn record(&mut self, id: &str, entry: InstanceState) {
        self.offset += 1;
        let record = InstanceRecord { id: id.into(), offset: self.offset, state: entry };
        let (instance_list, fleet) = self.router.instance_list();
        instance_list.apply(self.now, record, fleet);
    }

    /// A request for a path.
    pub fn arrive(&mut self, path: &str) -> RequestKey {
        let prompt = Prompt { tokens: 5_000, max_output_tokens: 1_000, output_hint: Some(400) };
        let incoming = IncomingRequest {
            id: "request".into(),
            host: HOST.into(),
            path: path.into(),
            caller_timeout: Some(ms(14_000)),
            prompt: is_generated(path).then_some(prompt),
            resume_after: None,
        };
        self.router.accept_request(self.now, incoming).expect("has a route")
    }

    /// Takes up a request and returns its first step.
    pub fn begin(&mut self, path: &str) -> (RequestKey, Step) {
        let key = self.arrive(path);
        let step = self.router.start(self.now, key);
        (key, step)
    }

    /// Lets time pass, then tells what came of the last step.
    pub fn after(&mut self, pause: Duration, key: RequestKey, event: Event) -> Step {
        self.now += pause;
        self.router.advance(self.now, key, event)
    }

    /// Tells at once what came of the last step.
    pub fn then(&mut self, key: RequestKey, event: Event) -> Step {
        self.after(ms(1), key, event)
    }

    /// A model request whose prompt is prefilled: the step that decodes it.
    pub fn decoding(&mut self, path: &str) -> (RequestKey, Step) {
        let (key, step) = self.begin(path);
        assert!(matches!(step, Step::Reserve { .. }), "{step:?}");
        self.then(key, reserved());
        let step = self.then(key, Event::Prefilled { handle: "handle".into() });
        (key, step)
    }
}

fn is_generated(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/resumable/")
}

pub fn reserved() -> Event {
    Event::Reserved { reservation: "hold".into() }
}

/// The upstream that a step is for.
pub fn target(step: &Step) -> Target {
    match step {
        Step::Reserve { target, .. }
        | Step::Prefill { target, .. }
        | Step::Decode { target, .. }
        | Step::Call { target, .. } => target.clone(),
        other => panic!("{other:?} is for no upstream"),
    }
}
