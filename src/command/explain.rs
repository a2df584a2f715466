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
    /// Agent or upstream that was chosen.
    pub upstream: String,
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
    upstream: String,
    route: String,
    reason: String,
    outcome: String,
    retry_after_ms: u64,
    generation: u64,
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
    let detail = line.kv.detail();
    let Fields { instance, attempt, agent, upstream, .. } = line.kv;
    Step {
        timestamp: line.timestamp,
        instance,
        what: line.payload,
        attempt,
        upstream: if upstream.is_empty() { agent } else { upstream },
        detail,
    }
}

impl Fields {
    /// What decided, in words.
    fn detail(&self) -> String {
        let mut parts = Vec::new();
        for (name, value) in
            [("reason", &self.reason), ("outcome", &self.outcome), ("route", &self.route)]
        {
            if !value.is_empty() {
                parts.push(format!("{name} {value}"));
            }
        }
        if self.retry_after_ms > 0 {
            parts.push(format!("retry after {} ms", self.retry_after_ms));
        }
        if !self.route.is_empty() {
            parts.push(format!("generation {}", self.generation));
        }
        if !self.detail.is_empty() {
            parts.push(self.detail.clone());
        }
        parts.join(", ")
    }
}

impl std::fmt::Display for Step {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { timestamp, instance, what, attempt, upstream, detail } = self;
        write!(formatter, "{timestamp} {instance:<14} try {attempt} {what}")?;
        if !upstream.is_empty() {
            write!(formatter, " at {upstream}")?;
        }
        if !detail.is_empty() {
            write!(formatter, " ({detail})")?;
        }
        Ok(())
    }
}
