//! Router for separate prefill and decode pools.
//!
//! The library is layered. The decision core ([`entry`], [`agent`], [`policy`],
//! [`manifest`]) is pure: time, randomness and messages go in, typed actions
//! come out. The edges ([`edge`]) own sockets and timers and decide nothing.
//! The programs under `src/bin` parse arguments and call [`daemon`].

pub mod agent;
pub mod clock;
pub mod command;
pub mod daemon;
pub mod document;
pub mod edge;
pub mod entry;
pub mod error;
pub mod manifest;
pub mod outcome;
pub mod policy;
pub mod replay;
pub mod router;
pub mod schema;
pub mod settings;
