//! Subcommands of the `bamboodoor` command-line tool for operators.

pub mod check;
pub mod explain;
pub mod publish;
pub mod status;
