//! What the operators' command does.

pub mod check;
pub mod explain;
pub mod publish;
pub mod status;
