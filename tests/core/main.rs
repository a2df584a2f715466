//! Tests of the decision core, without sockets and in virtual time.

mod claims;
mod fold;
mod ledger;
mod orders;
mod parsing;
mod policies;
mod replays;
mod simulation;
