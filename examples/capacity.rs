//! Measures how costs grow with the size of the fleet and its load, and prints the
//! fitted slopes that docs/CAPACITY.md is calculated from.
//!
//! Run with `cargo run --release --example capacity`. Bytes, allocations and messages
//! are counted; processor times are the minimum of several runs.

#[path = "capacity/fit.rs"]
mod fit;
#[path = "capacity/fleet.rs"]
mod fleet;
#[path = "capacity/slopes.rs"]
mod slopes;

use std::alloc::System;

use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    println!("| what | sizes | values | slope | fixed part | residual |");
    println!("| --- | --- | --- | --- | --- | --- |");
    slopes::heartbeat_bytes();
    slopes::entry_heartbeat_time();
    slopes::agent_tick_time();
    slopes::decide_time();
    slopes::request_memory();
    slopes::prefix_memory();
    slopes::claim_memory();
    slopes::agent_view_memory();
    slopes::token_time();
    slopes::manifest_bytes();
    slopes::manifest_adopt_time();
    slopes::claim_appends();
    slopes::reconnect_bytes();
    println!();
    slopes::subset_goodput();
}
