//! Log lines and statsd metrics of the decisions that the cores make.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;

use crate::agent::AgentRecord;
use crate::edge::upstream::format_attempt_id;
use crate::entry::Decision;
use crate::entry::EntryRecord;
use crate::error::Error;
use crate::error::Result;

/// Sink for log lines and statsd metrics of one instance; clones share the client.
#[derive(Debug, Clone)]
pub struct Telemetry {
    metrics: Arc<StatsdClient>,
    instance: Arc<str>,
}

impl Telemetry {
    /// Creates a sink that sends metrics to the UDP address `statsd`, or discards them
    /// if it is `None`. Metric names start with `bamboodoor.` and `role`.
    ///
    /// # Errors
    /// Returns an error if the UDP socket cannot be opened.
    pub fn new(role: &str, instance: &str, statsd: Option<SocketAddr>) -> Result<Self> {
        let prefix = format!("bamboodoor.{role}");
        let metrics = match statsd {
            None => StatsdClient::from_sink(&prefix, NopMetricSink),
            Some(address) => StatsdClient::from_sink(&prefix, udp_sink(address)?),
        };
        Ok(Self { metrics: Arc::new(metrics), instance: instance.into() })
    }

    /// Adds one to the counter `name`, with `reason` as the value of the tag `reason`.
    pub fn count(&self, name: &str, reason: &str) {
        self.metrics.count_with_tags(name, 1).with_tag("reason", reason).send();
    }

    /// Sets the gauge `name` to `value`.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.metrics.gauge(name, value);
    }

    /// Records the duration of one event in the timer `name`.
    pub fn time(&self, name: &str, elapsed: Duration) {
        let _ = self.metrics.time(name, elapsed);
    }

    /// Counts and logs a decision of the entry core. Refusals and retries have
    /// counters of their own, tagged with the reason.
    pub fn entry_record(&self, record: &EntryRecord) {
        let (name, reason) = match record.decision {
            Decision::Refused(reason) => ("refused", reason.to_string()),
            Decision::Retried(reason) => ("retried", reason.to_string()),
            other => ("decided", other.to_string()),
        };
        self.count(name, &reason);
        let what = record.decision.to_string();
        let id = record.id.map(|id| format_attempt_id(&id)).unwrap_or_default();
        spdlog::info!("{what}", kv: {
            instance: = self.instance,
            request_id: = record.request_id,
            attempt = record.attempt,
            attempt_id: = id,
            generation = record.generation,
            agent: = record.agent,
            detail: = record.detail
        });
    }

    /// Counts and logs a decision of the agent core, with the manifest generation
    /// in force.
    pub fn agent_record(&self, record: &AgentRecord, generation: u64) {
        let reason: &'static str = record.decision.into();
        self.count("decided", reason);
        let id = record.id.map(|id| format_attempt_id(&id)).unwrap_or_default();
        spdlog::info!("{reason}", kv: {
            instance: = self.instance,
            attempt_id: = id,
            generation = generation,
            detail: = record.detail
        });
    }
}

fn udp_sink(address: SocketAddr) -> Result<QueuingMetricSink> {
    let bind = |source| Error::Io { action: "open a UDP socket for statsd metrics", source };
    let socket = UdpSocket::bind("0.0.0.0:0").map_err(bind)?;
    socket.set_nonblocking(true).map_err(bind)?;
    let sink = BufferedUdpMetricSink::from(address, socket)
        .map_err(|error| Error::Logging(error.to_string()))?;
    Ok(QueuingMetricSink::from(sink))
}
