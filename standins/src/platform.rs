//! Stand-ins for the platform that `bamboodoor-platform` runs on: its store and its replicas.

pub mod garbage;
pub mod groups;
pub mod orders;
pub mod replacement_faults;
pub mod replica;
pub mod store;
pub mod stream_shape;
