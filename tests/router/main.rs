//! The router's decisions, without sockets and in virtual time.

mod budget;
mod configuration;
mod follow;
mod generate;
mod lease;
mod listing;
mod plain;
mod roles;
mod scene;
