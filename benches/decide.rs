//! Time to admit and place a hundred requests, against a reference loop in the same
//! run: `cargo bench`.

#[path = "../examples/capacity/fleet.rs"]
#[allow(dead_code, reason = "shared with the measurements")]
mod fleet;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use std::hint::black_box;

/// Requests that one measured batch takes up, as many as an entry has in flight.
const ARRIVALS: usize = 100;

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for agents in [40, 150, 600] {
        group.bench_function(BenchmarkId::from_parameter(agents), |bencher| {
            let fresh = || fleet::Entry::new(agents);
            let arrivals = |mut entry: fleet::Entry| {
                for number in 0..ARRIVALS {
                    black_box(entry.arrive(number));
                }
                entry
            };
            bencher.iter_batched(fresh, arrivals, BatchSize::LargeInput);
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
