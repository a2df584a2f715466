//! Tests without sockets and in virtual time: the decision cores of entry and agent, the
//! policies, the parsing of inputs, and replays.

#[path = "../../examples/capacity/fleet.rs"]
#[allow(dead_code, reason = "shared with the capacity measurement, which uses more of it")]
mod fleet;

mod carry_forward;
mod claims;
mod engine_results;
mod event_splitter;
mod fold;
mod generation_trial;
mod late_replies;
mod messages;
mod orders;
mod parsing;
mod policies;
mod replays;
mod reservations;
mod silences;
mod simulation;
mod traces;
