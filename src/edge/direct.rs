//! Network side of an entry that connects to upstreams directly, without agents: serves
//! callers, calls upstreams, and follows the platform's store.
//!
//! All of it runs on one thread: an entry has only a fraction of a core, and each message
//! between threads or actors would cost a wake-up.

pub mod body_framing;
pub mod bounded_read;
mod caller_stream;
pub mod connection_activity;
pub mod connections;
mod crash_check;
pub mod crash_log;
mod crash_records;
pub mod dispatch;
mod engine_check;
pub mod event_check;
mod expected_stream;
mod key_report;
mod last_waits;
pub mod lease_task;
pub mod metrics;
mod open_calls;
mod open_stream;
pub mod origin_log;
pub mod quota_log;
mod ready_response;
mod relay;
mod request_log;
mod request_task;
pub mod response;
mod response_memory;
pub mod run_events;
pub mod server;
pub mod sse;
pub mod store;
mod store_eras;
pub mod store_follower;
pub mod upstream_client;
pub mod version_records;
