//! Tests that start the real programs as separate processes.

mod answers;
mod configuration;
mod drains;
mod fleet;
mod kills;
mod limits;
mod repeats;
