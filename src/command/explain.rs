//! `bamboodoor explain REQUEST_ID`: rebuilds the timeline of one request from the
//! JSON log lines of entries and agents.

use std::collections::BTreeSet;
use std::io::BufRead;

use serde::Deserialize;
use serde::Serialize;

/// One logged decision about the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Step {
    /// Time of the log line, in milliseconds since the Unix epoch.
    pub timestamp: u64,
    /// Name of the instance that made the decision; empty if not logged.
    pub instance: String,
    /// Name of the log event, which says what was decided.
    pub what: String,
    /// Number of the attempt that the decision concerns; 0 if not logged.
    pub attempt: u32,
    /// Agent or upstream that the decision concerns; empty if none.
    pub upstream: String,
    /// Reason, outcome, route, retry time, manifest generation (for a line with a route)
    /// and free text of the line, joined by commas; empty if the line has none of them.
    pub detail: String,
}

#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: LogFields,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LogFields {
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

/// Reads log lines and returns the steps of one request, sorted by time. Skips
/// lines that are not JSON log lines; a read error ends that reader's input.
pub fn explain(request_id: &str, readers: Vec<Box<dyn BufRead>>) -> Vec<Step> {
    let mut lines = Vec::new();
    for reader in readers {
        lines.extend(reader.lines().map_while(Result::ok).filter_map(|line| parse_line(&line)));
    }
    // Lines of an agent hold only attempt ids. Lines of an entry hold both, so they
    // tell which attempts belong to the request.
    let attempt_ids: BTreeSet<String> = lines
        .iter()
        .filter(|line| line.kv.request_id == request_id && !line.kv.attempt_id.is_empty())
        .map(|line| line.kv.attempt_id.clone())
        .collect();
    let matching = lines.into_iter().filter(|line| {
        line.kv.request_id == request_id
            || (line.kv.request_id.is_empty() && attempt_ids.contains(&line.kv.attempt_id))
    });
    let mut steps: Vec<Step> = matching.map(to_step).collect();
    steps.sort_by_key(|step| step.timestamp);
    steps
}

fn parse_line(line: &str) -> Option<LogLine> {
    serde_json::from_str(line).ok()
}

fn to_step(line: LogLine) -> Step {
    let detail = line.kv.detail();
    let LogFields { instance, attempt, agent, upstream, .. } = line.kv;
    Step {
        timestamp: line.timestamp,
        instance,
        what: line.payload,
        attempt,
        upstream: if upstream.is_empty() { agent } else { upstream },
        detail,
    }
}

impl LogFields {
    /// Returns the text of [`Step::detail`] for the line.
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
