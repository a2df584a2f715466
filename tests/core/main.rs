//! Tests of the decision cores of entry and agent, without sockets and in virtual time.

#[path = "../../examples/capacity/fleet.rs"]
#[allow(dead_code, reason = "shared with the capacity measurement, which uses more of it")]
mod fleet;

mod carry_forward;
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
