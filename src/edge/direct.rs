//! The sockets of an entry that talks to upstreams itself.
//!
//! Everything here runs on one thread: an entry has a fraction of a core, and
//! each hop between threads or actors is a wake-up that it pays for.

pub mod connections;
mod decisions;
pub mod dispatch;
mod drive;
pub mod lease_holder;
pub mod metrics;
mod relay;
pub mod response;
pub mod server;
pub mod sse;
pub mod store_follower;
pub mod upstream_client;
