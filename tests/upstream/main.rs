//! The agent's client of an upstream, against servers that send what no sound engine or service
//! sends.

mod calls;
mod prefills;
mod raw_engine;
mod token_lines;
