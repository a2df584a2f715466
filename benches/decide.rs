//! Measures the time in which an entry core admits and places a hundred requests,
//! beside a reference loop in the same run: `cargo bench --bench decide`.

#[path = "../examples/capacity/fleet.rs"]
#[allow(dead_code, reason = "shared with the capacity example")]
mod fleet;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use std::hint::black_box;

/// Number of requests in one measured batch: about as many as an entry has in flight.
const REQUESTS: usize = 100;

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for agents in [40, 150, 600] {
        group.bench_function(BenchmarkId::from_parameter(agents), |bencher| {
            let new_entry = || fleet::Entry::new(agents);
            let accept_requests = |mut entry: fleet::Entry| {
                for number in 0..REQUESTS {
                    black_box(entry.accept_request(number));
                }
                entry
            };
            bencher.iter_batched(new_entry, accept_requests, BatchSize::LargeInput);
        });
    }
    group.bench_function("reference: hash 64 KiB", |bencher| {
        let bytes = vec![7_u8; 64 << 10];
        bencher.iter(|| xxhash_rust::xxh3::xxh3_64(black_box(&bytes)));
    });
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
