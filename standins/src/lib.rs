//! Small stand-ins (test doubles) for the platform and the upstreams, with switches for the
//! faults that the real ones are known to have. For tests and examples only.

pub mod address;
pub mod caller;
pub mod engine;
pub mod faults;
pub mod instance_list;
pub mod log;
pub mod platform;
pub mod server;
pub mod service;
