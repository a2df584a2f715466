//! Traces: JSON lines with a header, arrivals and faults, each with its time.

use std::io::BufRead;
use std::io::Write;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::manifest::Snapshot;

/// Version of the format that this code writes and reads.
pub const VERSION: u32 = 1;

/// First line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub version: u32,
    /// Manifest that the trace was made for, relative to the trace.
    pub manifest: String,
    /// Length of the trace.
    pub duration_ms: u64,
    /// Availability zones of the upstreams, in turn.
    pub zones: Vec<CompactString>,
    /// Region of all of them.
    pub region: CompactString,
}

/// A request for a generated answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateLine {
    /// Client account.
    pub account: CompactString,
    /// Model.
    pub model: CompactString,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Prompts of one family begin alike; 0 is no family.
    pub family: u32,
    /// How long prompts of the family are alike.
    pub shared_tokens: u32,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Tokens that the answer has.
    pub output_tokens: u32,
    /// The caller goes away so long after it asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone_after_ms: Option<u64>,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLine {
    /// Client account.
    pub account: CompactString,
    /// Service.
    pub service: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// Path below the service.
    pub path: String,
    /// Time the service takes.
    pub takes_ms: u64,
    /// The caller's idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<CompactString>,
}

/// Something that fails.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Every upstream, agent and entry of a zone is gone from now on.
    ZoneLost {
        /// The zone.
        zone: CompactString,
    },
    /// This share of the engines of each pool takes so many times as long.
    SlowEngines {
        /// Share of each pool, 0 to 1.
        share: f64,
        /// How many times as long.
        factor: f64,
    },
    /// This share of the transfers never ends.
    StalledTransfers {
        /// Share of the transfers, 0 to 1.
        share: f64,
    },
    /// Load reports in heartbeats come so much later.
    LateReports {
        /// How much later.
        lag_ms: u64,
    },
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Event {
    /// A request for a generated answer arrives.
    Generate(GenerateLine),
    /// A call arrives.
    Call(CallLine),
    /// Something fails.
    Fault(Fault),
}

/// One line after the header.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When, from the start of the trace.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub event: Event,
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// First line.
    pub header: Header,
    /// The other lines, in the order of time.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    /// The first line that is not what it must be.
    pub fn read(reader: impl BufRead) -> Result<Self> {
        let mut texts = reader.lines().enumerate();
        let header = match texts.next() {
            Some((_, Ok(text))) => parse::<Header>(1, &text)?,
            _ => return Err(at(1, "expected a header".to_string())),
        };
        if header.version != VERSION {
            return Err(at(1, format!("expected version {VERSION}, found {}", header.version)));
        }
        let mut lines = Vec::new();
        for (index, text) in texts {
            let number = index + 1;
            let text = text.map_err(|error| at(number, error.to_string()))?;
            lines.push(parse::<Line>(number, &text)?);
        }
        lines.sort_by_key(|line| line.at_ms);
        Ok(Self { header, lines })
    }

    /// Writes the trace.
    ///
    /// # Errors
    /// The writer failed.
    pub fn write(&self, mut writer: impl Write) -> std::io::Result<()> {
        serde_json::to_writer(&mut writer, &self.header)?;
        writer.write_all(b"\n")?;
        for line in &self.lines {
            serde_json::to_writer(&mut writer, line)?;
            writer.write_all(b"\n")?;
        }
        Ok(())
    }

    /// Checks that the manifest has what the trace names.
    ///
    /// # Errors
    /// The first line that names what is not there.
    pub fn check(&self, snapshot: &Snapshot) -> Result<()> {
        if self.header.zones.is_empty() {
            return Err(at(1, "zones: expected at least one".to_string()));
        }
        for (index, line) in self.lines.iter().enumerate() {
            let number = index + 2;
            let missing = match &line.event {
                Event::Generate(generate) if snapshot.model(&generate.model).is_none() => {
                    Some(format!("no model {}", generate.model))
                }
                Event::Call(call) if snapshot.service(&call.service).is_none() => {
                    Some(format!("no service {}", call.service))
                }
                Event::Fault(Fault::ZoneLost { zone }) if !self.header.zones.contains(zone) => {
                    Some(format!("no zone {zone}"))
                }
                _ => None,
            };
            if let Some(message) = missing {
                return Err(at(number, message));
            }
        }
        Ok(())
    }
}

fn parse<T: for<'a> Deserialize<'a>>(line: usize, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| at(line, error.to_string()))
}

fn at(line: usize, message: String) -> Error {
    Error::Trace { line, message }
}
