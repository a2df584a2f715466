//! Router for separate prefill and decode pools.
//!
//! The library is layered. The decision cores ([`entry`], [`agent`], [`router`],
//! [`policy`], [`manifest`]) perform no I/O: they take the time, a random seed and
//! messages as input and return typed actions. An entry reaches the upstreams
//! through agents ([`entry`], [`agent`]) or calls them itself ([`router`]).
//!
//! The [`edge`] modules own sockets and timers and carry the actions out, but make
//! no routing decisions. The two daemon programs under `src/bin` read their settings
//! and start a [`daemon`]; the `bamboodoor` program runs the subcommands in
//! [`command`] and [`replay`].

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
