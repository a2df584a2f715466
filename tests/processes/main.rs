//! Tests that start the real programs as separate processes.

mod answers;
mod fleet;
