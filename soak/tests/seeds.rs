//! What a seed fixes: known seeds keep their plans, and runs of different seeds do not mix.

use std::time::Duration;

use soak::features::Features;
use soak::plan::RunSize;
use soak::plan::plan;

/// Seeds of each range whose plans are compared.
const SEEDS_PER_RANGE: u64 = 40;
/// Offset basis and prime of the 64 bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of the plans of some seeds from `first` on.
fn digest_of_plans(first: u64) -> u64 {
    let fault_duration = Duration::from_secs(30);
    let size = RunSize { entries: 5, replicas: 23, engines: 18, fault_duration };
    let plans = (first..first + SEEDS_PER_RANGE).map(|seed| format!("{:?}", plan(seed, size)));
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    plans.flat_map(String::into_bytes).fold(FNV_OFFSET, hash)
}

macro_rules! plans_stay {
    ($($name:ident: $first:literal, $digest:literal;)*) => {$(
        /// Seeds are known by their plans: a seed that failed is played again.
        #[test]
        fn $name() {
            let digest = digest_of_plans($first);
            assert_eq!(digest, $digest, "{digest:#018x}");
        }
    )*};
}

plans_stay! {
    plans_stay_from_1_on: 1, 0xe420_7e1e_3496_4498;
    plans_stay_from_1000_on: 1_000, 0x142a_ab30_e2b2_0e5b;
    plans_stay_from_2000_on: 2_000, 0xaf81_c63d_8ac6_782c;
    plans_stay_from_3000_on: 3_000, 0x6913_7e11_5658_04b2;
    plans_stay_from_4000_on: 4_000, 0xb026_cc36_0b15_eeb2;
    plans_stay_from_5000_on: 5_000, 0xc8f4_700b_723e_706f;
    plans_stay_from_6000_on: 6_000, 0x66bf_6092_db54_bf32;
    plans_stay_from_7000_on: 7_000, 0x4956_5ee0_4c76_6478;
    plans_stay_from_8000_on: 8_000, 0x7b78_42e1_5ea7_2dda;
    plans_stay_from_8460_on: 8_460, 0x8d67_c643_85a0_eeea;
    plans_stay_from_9000_on: 9_000, 0xe528_7bf1_0892_e8a1;
}

/// Guards against `seed_6005`: requests of another run were taken at a replica with the same id.
#[test]
fn no_two_runs_have_a_replica_with_the_same_id() {
    let ids = |seed| (0..50).map(move |number| Features::of_seed(seed).replica_id(number));
    let others: Vec<String> = ids(6_005).collect();
    assert!(ids(8_001).all(|id| !others.contains(&id)));
    assert!(ids(600).all(|id| !others.contains(&id)));
}
