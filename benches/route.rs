//! Measures the time in which the router accepts a generation request and chooses
//! its engines, and the time in which it looks for the next role change of an engine,
//! beside a reference loop in the same run: `cargo bench --bench route`.

use std::hint::black_box;
use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Router;
use bamboodoor::router::RouterSettings;
use bamboodoor::router::configuration::Configuration;
use bamboodoor::router::configuration::Destination;
use bamboodoor::router::configuration::Engine;
use bamboodoor::router::configuration::Route;
use bamboodoor::router::configuration::Service;
use bamboodoor::router::instance_list::InstanceRecord;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::Prompt;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;
use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

const HOST: &str = "service.example";
const ENGINES: &str = "engines";
/// Every engine whose number is a multiple of this is a prefill engine, the others
/// decode.
const PREFILL_STRIDE: u16 = 5;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// Number of requests in one measured batch: about as many as an entry has in flight.
const REQUESTS: usize = 100;
const NOW: Duration = Duration::from_secs(10);

fn configuration() -> Configuration {
    let route = Route {
        host: HOST.into(),
        path_prefix: "/stream/".into(),
        timeout: Duration::from_secs(14),
        latency_target: Duration::from_millis(900),
        destinations: vec![Destination { service: ENGINES.into(), weight: 1 }],
        max_runs: 1,
        ..Route::default()
    };
    let engine =
        Engine { kv_tokens: 50_000, max_reservation: Duration::from_secs(2), tokens_per_event: 7 };
    let service = Service { name: ENGINES.into(), engine: Some(engine) };
    Configuration {
        version: 1,
        routes: vec![route],
        services: vec![service],
        ..Configuration::default()
    }
}

fn engine(number: u16) -> ListedUpstream {
    let is_prefill = number.is_multiple_of(PREFILL_STRIDE);
    ListedUpstream {
        id: format!("engine-{number}").into(),
        service: ENGINES.into(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        version: "v1".into(),
        zone: ZONES[usize::from(number) % ZONES.len()].into(),
        role: if is_prefill { PoolRole::Prefill } else { PoolRole::Decode },
        leaving: false,
        started_ms: 1,
    }
}

fn router(engines: u16) -> Router {
    let settings = RouterSettings { zone: ZONES[0].into(), ..RouterSettings::default() };
    let mut router = Router::new(settings);
    router.configure(configuration());
    let (instance_list, upstreams) = router.instance_list();
    for number in 0..engines {
        let listed = engine(number);
        let id = listed.id.clone();
        let record =
            InstanceRecord { id, offset: number.into(), state: InstanceState::Present(listed) };
        instance_list.apply(NOW, record, upstreams);
    }
    router
}

/// Takes one request up to its decode step, through its reservation and its prefill.
fn decide_one(router: &mut Router, number: usize) {
    let incoming = IncomingRequest {
        id: format!("r{number}").into(),
        host: HOST.into(),
        path: "/stream/1".into(),
        prompt: Some(Prompt { tokens: 5_000, max_output_tokens: 1_000, output_hint: Some(500) }),
        ..IncomingRequest::default()
    };
    let key = router.accept_request(NOW, incoming).expect("the request matches a route");
    black_box(router.start(NOW, key));
    let reserved = Event::Reserved { reservation: "hold".into() };
    black_box(router.advance(NOW, key, reserved));
    let prefilled = Event::Prefilled { handle: "handle".into() };
    black_box(router.advance(NOW, key, prefilled));
}

fn route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    group.throughput(criterion::Throughput::Elements(REQUESTS as u64));
    for engines in [48, 600, 3_000] {
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            let decide_batch = |mut router: Router| {
                for number in 0..REQUESTS {
                    decide_one(&mut router, number);
                }
                router
            };
            bencher.iter_batched(|| router(engines), decide_batch, BatchSize::LargeInput);
        });
    }
    for engines in [48, 600, 3_000] {
        group.bench_function(BenchmarkId::new("next move", engines), |bencher| {
            let mut router = router(engines);
            router.next_role_change(NOW);
            let later = NOW + Duration::from_secs(10);
            assert!(router.next_role_change(later).is_some());
            bencher.iter(|| black_box(router.next_role_change(later)));
        });
    }
    group.bench_function("reference: hash 64 KiB", |bencher| {
        let bytes = vec![7_u8; 64 << 10];
        bencher.iter(|| xxhash_rust::xxh3::xxh3_64(black_box(&bytes)));
    });
    group.finish();
}

criterion_group!(benches, route);
criterion_main!(benches);
