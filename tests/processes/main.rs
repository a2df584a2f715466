//! Tests of the real programs, started as separate processes.

mod configuration;
mod drains;
mod fleet;
mod idempotency;
mod kills;
mod refusals;
mod responses;
