//! Tests of the router's decisions, without sockets and in virtual time.

mod budget;
mod caller_retry;
mod configuration;
mod connection_limits;
mod crash_fleet;
mod deadly_requests;
mod ended_tasks;
mod engine_time;
mod fleet;
mod follow;
mod generate;
mod harness;
mod instance_list;
mod lease;
mod output_margin;
mod pauses;
mod plain;
mod poison;
mod prefill_admission;
mod prefill_pool_replay;
mod rate_limit;
mod rate_limited_engines;
mod roles;
mod software_versions;
mod store_era;
mod upstream_notice;
