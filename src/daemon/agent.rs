//! The agent daemon: accepts connections of entries and drives one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use tokio_util::sync::CancellationToken;

use crate::agent::AgentConfig;
use crate::agent::AgentEvent;
use crate::clock::MonotonicClock;
use crate::daemon::listen;
use crate::daemon::local_address;
use crate::daemon::new_incarnation;
use crate::edge::agent_actor;
use crate::edge::agent_actor::AgentActor;
use crate::edge::agent_actor::AgentActorSetup;
use crate::edge::agent_actor::AgentInput;
use crate::edge::agent_actor::GetStatus;
use crate::edge::agent_server;
use crate::edge::http::HttpClient;
use crate::edge::operators;
use crate::edge::operators::StatusReport;
use crate::edge::telemetry::Telemetry;
use crate::edge::upstream::Upstream;
use crate::error::Result;
use crate::schema::settings::AgentSettings;
use crate::settings;
use crate::settings::duration_from_ms;

/// Time between the end of the agent's work and process exit, in which the
/// connection tasks write their last queued messages.
const EXIT_FLUSH_TIME: Duration = Duration::from_millis(200);

/// An agent whose sockets are open and whose tasks run on the current runtime.
#[derive(Debug)]
pub struct RunningAgent {
    /// Local address that entries connect to, with the port that was assigned.
    pub address: SocketAddr,
    /// Local address that serves `/healthz`, `/readyz` and `/status`.
    pub operators_address: SocketAddr,
    actor: ActorRef<AgentActor>,
    stop: CancellationToken,
}

impl RunningAgent {
    /// Opens the listening sockets and starts the agent's tasks.
    ///
    /// # Errors
    /// Returns an error if an address in the settings is not valid or a socket
    /// cannot be opened.
    pub async fn start(settings: &AgentSettings) -> Result<Self> {
        let upstream = settings::address("upstream", &settings.upstream)?;
        let statsd = statsd_address(&settings.statsd)?;
        let entry_listener = listen(
            settings::address("listen", &settings.listen)?,
            "listen for entries (setting listen)",
        )
        .await?;
        let operators_address = settings::address("operators_listen", &settings.operators_listen)?;
        let operators_listener =
            listen(operators_address, "listen for operators (setting operators_listen)").await?;
        let address = local_address(&entry_listener)?;
        let operators_address = local_address(&operators_listener)?;
        let stop = CancellationToken::new();
        let setup = AgentActorSetup {
            config: config(settings),
            upstream: Upstream::new(HttpClient::default(), upstream),
            telemetry: Telemetry::new("agent", &settings.name, statsd)?,
            stop: stop.clone(),
        };
        let actor = agent_actor::spawn(setup, Arc::new(MonotonicClock::default()));
        tokio::spawn(agent_server::serve(entry_listener, actor.clone(), stop.clone()));
        let status_actor = actor.clone();
        tokio::spawn(operators::serve(operators_listener, stop.clone(), move || {
            status_report(status_actor.clone())
        }));
        Ok(Self { address, operators_address, actor, stop })
    }

    /// Starts a graceful shutdown: the agent takes no new work and finishes its own.
    pub fn leave(&self) {
        let _ = self.actor.tell(AgentInput::Event(AgentEvent::Leave)).try_send();
    }

    /// Waits until a graceful shutdown is complete: all work is done and the last
    /// messages had time to be written. Waits forever if none was requested.
    pub async fn wait_until_stopped(&self) {
        self.stop.cancelled().await;
        tokio::time::sleep(EXIT_FLUSH_TIME).await;
    }
}

async fn status_report(actor: ActorRef<AgentActor>) -> StatusReport {
    match actor.ask(GetStatus).await {
        Ok(status) => StatusReport::new(!status.leaving, &status),
        Err(_) => StatusReport::default(),
    }
}

fn config(settings: &AgentSettings) -> AgentConfig {
    AgentConfig {
        name: settings.name.as_str().into(),
        pool: settings.pool.as_str().into(),
        region: settings.region.as_str().into(),
        zone: settings.zone.as_str().into(),
        upstream: settings.upstream.as_str().into(),
        incarnation: new_incarnation(),
        heartbeat_interval: duration_from_ms(settings.heartbeat_ms),
        lease_ttl: duration_from_ms(settings.lease_ttl_ms),
        tombstone_ttl: duration_from_ms(settings.tombstone_ms),
        max_manifest_bytes: settings.max_manifest_bytes as usize,
    }
}

/// Parses the setting `statsd` of an entry or agent; returns `None` if it is empty.
pub(super) fn statsd_address(text: &str) -> Result<Option<SocketAddr>> {
    if text.is_empty() {
        return Ok(None);
    }
    settings::address("statsd", text).map(Some)
}
