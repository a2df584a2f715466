//! The router's decisions, without sockets and in virtual time.

mod budget;
mod configuration;
mod generate;
mod listing;
mod plain;
mod scene;
