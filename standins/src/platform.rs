//! Stand-ins for the users' platform: its store and its replicas.

pub mod groups;
pub mod orders;
pub mod replica;
pub mod store;
