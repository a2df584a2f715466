//! Tests of the decision core, without sockets and in virtual time.

#[path = "../../examples/capacity/fleet.rs"]
#[allow(dead_code, reason = "shared with the measurements")]
mod fleet;

mod carrying;
mod claims;
mod fold;
mod messages;
mod orders;
mod parsing;
mod policies;
mod replays;
mod reservations;
mod simulation;
mod traces;
