//! Reads, writes and checks trace files.
//!
//! A trace is a file of JSON lines: a [`Header`], then one [`Line`] for each
//! request that arrives and each fault that is injected.

use std::io::BufRead;
use std::io::Write;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::manifest::Snapshot;

/// Version of the trace format that this crate writes, and the only one it reads.
pub const FORMAT_VERSION: u32 = 1;

/// First line of a trace file: describes the trace as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the trace format; must equal [`FORMAT_VERSION`].
    pub version: u32,
    /// Path of the manifest that the trace was made for, relative to the directory
    /// of the trace file.
    pub manifest: String,
    /// Length of the trace, without the time that requests in flight take to end.
    pub duration_ms: u64,
    /// Availability zones, at least one; upstreams and entries are assigned to
    /// them round robin.
    pub zones: Vec<CompactString>,
    /// Region of all the zones.
    pub region: CompactString,
}

/// A generation request, with the length of its response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateLine {
    /// Client account that the request counts for.
    pub account: CompactString,
    /// Name of the model in the manifest.
    pub model: CompactString,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Number of the prompt family, whose prompts share a prefix; 0 for a prompt that
    /// shares none.
    pub family: u32,
    /// Length of the prefix that the prompts of the family share, in tokens; not
    /// used if `family` is 0.
    pub shared_tokens: u32,
    /// Limit on output tokens that the request asks for.
    pub max_tokens: u32,
    /// Number of tokens that the model would generate; the response has at most
    /// `max_tokens` of them.
    pub output_tokens: u32,
    /// Time from the arrival until the caller disconnects; if absent, the caller waits
    /// for the whole response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone_after_ms: Option<u64>,
}

/// A call to a plain service, with its service time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLine {
    /// Client account that the call counts for.
    pub account: CompactString,
    /// Name of the service in the manifest.
    pub service: CompactString,
    /// HTTP method of the call.
    pub method: CompactString,
    /// Path within the service.
    pub path: String,
    /// Service time of the call at the upstream.
    pub takes_ms: u64,
    /// Idempotency key that the caller sends, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<CompactString>,
}

/// Fault to inject into a replay; it lasts until the end of the replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// All upstreams, agents and entries of a zone stop without notice.
    ZoneLost {
        /// Name of the lost zone, one of [`Header::zones`].
        zone: CompactString,
    },
    /// A fraction of the engines of each pool becomes slower.
    SlowEngines {
        /// Fraction of each pool that is affected, 0 to 1.
        share: f64,
        /// Factor by which prefills and decode steps take longer.
        factor: f64,
    },
    /// A fraction of the KV cache transfers between engines never completes.
    StalledTransfers {
        /// Probability that a transfer stalls, 0 to 1.
        share: f64,
    },
    /// Heartbeats still arrive on time, but carry outdated load reports.
    LateReports {
        /// Age of the load reports when they are sent.
        lag_ms: u64,
    },
}

/// Content of a trace line after its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Event {
    /// A generation request arrives.
    Generate(GenerateLine),
    /// A call to a plain service arrives.
    Call(CallLine),
    /// A fault is injected.
    Fault(Fault),
}

/// Line of a trace after the header.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time from the start of the trace.
    pub at_ms: u64,
    /// Request that arrives, or fault that is injected.
    #[serde(flatten)]
    pub event: Event,
}

/// Contents of a trace file.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Header of the trace.
    pub header: Header,
    /// Lines after the header, in order of time.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Reads a trace and sorts its lines by time.
    ///
    /// # Errors
    /// Returns [`Error::Trace`] with the number of the first line that cannot be
    /// read or parsed, or line 1 if the header is missing or of another version.
    pub fn read(reader: impl BufRead) -> Result<Self> {
        let mut lines_read = reader.lines().enumerate();
        let header = match lines_read.next() {
            Some((_, Ok(text))) => parse::<Header>(1, &text)?,
            _ => return Err(trace_error(1, "expected a header line of UTF-8 text".to_string())),
        };
        if header.version != FORMAT_VERSION {
            return Err(trace_error(
                1,
                format!("version: expected {FORMAT_VERSION}, found {}", header.version),
            ));
        }
        let mut lines = Vec::new();
        for (index, text) in lines_read {
            let number = index + 1;
            let text = text.map_err(|error| trace_error(number, error.to_string()))?;
            lines.push(parse::<Line>(number, &text)?);
        }
        lines.sort_by_key(|line| line.at_ms);
        Ok(Self { header, lines })
    }

    /// Writes the trace as JSON lines.
    ///
    /// # Errors
    /// Returns the error of the writer.
    pub fn write(&self, mut writer: impl Write) -> std::io::Result<()> {
        serde_json::to_writer(&mut writer, &self.header)?;
        writer.write_all(b"\n")?;
        for line in &self.lines {
            serde_json::to_writer(&mut writer, line)?;
            writer.write_all(b"\n")?;
        }
        Ok(())
    }

    /// Checks that the models and services that the lines name are in the manifest, and
    /// that the zones that they name are in the header.
    ///
    /// # Errors
    /// Returns [`Error::Trace`] with the number of the first line that names a model,
    /// service or zone that does not exist, or line 1 if the header has no zones. The
    /// number counts the header and [`Trace::lines`], so that it is not the line number in
    /// the file if [`Trace::read`] had to sort the lines.
    pub fn check(&self, snapshot: &Snapshot) -> Result<()> {
        if self.header.zones.is_empty() {
            return Err(trace_error(1, "zones: expected at least one zone".to_string()));
        }
        for (index, line) in self.lines.iter().enumerate() {
            let number = index + 2;
            let missing = match &line.event {
                Event::Generate(generate) if snapshot.model(&generate.model).is_none() => {
                    Some(format!("model: the manifest has no model {}", generate.model))
                }
                Event::Call(call) if snapshot.service(&call.service).is_none() => {
                    Some(format!("service: the manifest has no service {}", call.service))
                }
                Event::Fault(Fault::ZoneLost { zone }) if !self.header.zones.contains(zone) => {
                    Some(format!("zone: the trace header has no zone {zone}"))
                }
                _ => None,
            };
            if let Some(message) = missing {
                return Err(trace_error(number, message));
            }
        }
        Ok(())
    }
}

fn parse<T: for<'a> Deserialize<'a>>(line: usize, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| trace_error(line, error.to_string()))
}

fn trace_error(line: usize, message: String) -> Error {
    Error::Trace { line, message }
}
