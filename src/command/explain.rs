//! `bamboodoor explain REQUEST_ID`: one request's timeline from log lines.

use std::collections::BTreeSet;
use std::io::BufRead;

use serde::Deserialize;
use serde::Serialize;

/// One decision about the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Step {
    /// Milliseconds since the epoch.
    pub timestamp: u64,
    /// Process that decided.
    pub instance: String,
    /// What was decided.
    pub what: String,
    /// Number of the try.
    pub attempt: u32,
    /// Agent that was chosen.
    pub agent: String,
    /// Further detail.
    pub detail: String,
}

#[derive(Debug, Deserialize)]
struct Line {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Fields,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Fields {
    instance: String,
    request_id: String,
    attempt: u32,
    attempt_id: String,
    agent: String,
    detail: String,
}

/// Reads log lines and keeps what is about the request, in the order of time.
/// Lines that are not log lines are passed over.
pub fn explain(request_id: &str, readers: Vec<Box<dyn BufRead>>) -> Vec<Step> {
    let mut lines = Vec::new();
    for reader in readers {
        lines.extend(reader.lines().map_while(Result::ok).filter_map(|line| parse(&line)));
    }
    // Agents know a request by the names of its tries alone.
    let tries: BTreeSet<String> = lines
        .iter()
        .filter(|line| line.kv.request_id == request_id && !line.kv.attempt_id.is_empty())
        .map(|line| line.kv.attempt_id.clone())
        .collect();
    let ours = lines.into_iter().filter(|line| {
        line.kv.request_id == request_id
            || (line.kv.request_id.is_empty() && tries.contains(&line.kv.attempt_id))
    });
    let mut steps: Vec<Step> = ours.map(step).collect();
    steps.sort_by_key(|step| step.timestamp);
    steps
}

fn parse(line: &str) -> Option<Line> {
    serde_json::from_str(line).ok()
}

fn step(line: Line) -> Step {
    Step {
        timestamp: line.timestamp,
        instance: line.kv.instance,
        what: line.payload,
        attempt: line.kv.attempt,
        agent: line.kv.agent,
        detail: line.kv.detail,
    }
}

impl std::fmt::Display for Step {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { timestamp, instance, what, attempt, agent, detail } = self;
        write!(formatter, "{timestamp} {instance:<14} try {attempt} {what}")?;
        if !agent.is_empty() {
            write!(formatter, " at {agent}")?;
        }
        if !detail.is_empty() {
            write!(formatter, " ({detail})")?;
        }
        Ok(())
    }
}
