//! Sockets, timers, logs and metrics.
//!
//! The decision cores choose what to do; the code here reads input for them and
//! carries out their actions.

pub mod agent_actor;
pub mod agent_server;
pub mod caller;
pub mod completion_api;
pub mod direct;
pub mod entry_actor;
pub mod entry_peers;
pub mod frames;
pub mod http;
pub mod logs;
pub mod operators;
pub mod platform;
pub mod problem;
mod responses;
pub mod telemetry;
pub mod ticker;
mod token_lines;
pub mod upstream;
