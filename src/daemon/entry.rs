//! The entry daemon: serves callers and reads manifests, claims and the instance
//! list from the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::clock::MonotonicClock;
use crate::daemon::agent::statsd_address;
use crate::daemon::listen;
use crate::daemon::local_address;
use crate::daemon::new_incarnation;
use crate::edge::caller::CallerLimits;
use crate::edge::caller::CallerServer;
use crate::edge::entry_actor;
use crate::edge::entry_actor::EntryActor;
use crate::edge::entry_actor::EntryActorSetup;
use crate::edge::entry_actor::EntryInput;
use crate::edge::entry_actor::GetManifestOffset;
use crate::edge::entry_actor::GetStatus;
use crate::edge::http::HttpClient;
use crate::edge::operators;
use crate::edge::operators::StatusReport;
use crate::edge::platform;
use crate::edge::platform::CLAIM_STREAM;
use crate::edge::platform::LogClient;
use crate::edge::platform::MANIFEST_STREAM;
use crate::edge::telemetry::Telemetry;
use crate::entry::EntryConfig;
use crate::error::Result;
use crate::policy::placement::Location;
use crate::schema::settings::EntrySettings;
use crate::settings;
use crate::settings::duration_from_ms;

/// Longest time for which the log holds a read open while there is no new record.
const LOG_LONG_POLL: Duration = Duration::from_secs(5);
const LOG_RETRY_DELAY: Duration = Duration::from_millis(200);
const INSTANCE_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry whose sockets are open and whose tasks run on the current runtime.
#[derive(Debug)]
pub struct RunningEntry {
    /// Local address that callers connect to, with the port that was assigned.
    pub address: SocketAddr,
    /// Local address that serves `/healthz`, `/readyz` and `/status`.
    pub operators_address: SocketAddr,
    actor: ActorRef<EntryActor>,
    caller_server: JoinHandle<()>,
}

impl RunningEntry {
    /// Opens the listening sockets and starts the entry's tasks.
    ///
    /// # Errors
    /// Returns an error if an address in the settings is not valid or a socket
    /// cannot be opened.
    pub async fn start(settings: &EntrySettings) -> Result<Self> {
        let log = settings::address("log", &settings.log)?;
        let instance_list = settings::address("instance_list", &settings.instance_list)?;
        let statsd = statsd_address(&settings.statsd)?;
        let caller_listener = listen(
            settings::address("listen", &settings.listen)?,
            "listen for callers (setting listen)",
        )
        .await?;
        let operators_address = settings::address("operators_listen", &settings.operators_listen)?;
        let operators_listener =
            listen(operators_address, "listen for operators (setting operators_listen)").await?;
        let address = local_address(&caller_listener)?;
        let operators_address = local_address(&operators_listener)?;
        let stop = CancellationToken::new();
        let http = HttpClient::default();
        let log = LogClient::new(http.clone(), log);
        let telemetry = Telemetry::new("entry", &settings.name, statsd)?;
        let setup = EntryActorSetup {
            config: config(settings),
            log: log.clone(),
            claim_batch_window: duration_from_ms(settings.claim_batch_ms),
            telemetry: telemetry.clone(),
            stop: stop.clone(),
        };
        let actor = entry_actor::spawn(setup, Arc::new(MonotonicClock::default()));
        tokio::spawn(follow_manifests(log.clone(), actor.clone(), stop.clone()));
        tokio::spawn(follow_claims(log, actor.clone(), stop.clone()));
        let poll_interval = duration_from_ms(settings.list_poll_ms);
        tokio::spawn(poll_instance_list(
            http,
            instance_list,
            poll_interval,
            actor.clone(),
            stop.clone(),
        ));
        let status_actor = actor.clone();
        tokio::spawn(operators::serve(operators_listener, stop.clone(), move || {
            status_report(status_actor.clone())
        }));
        let limits = limits(settings);
        let server = CallerServer { actor: actor.clone(), limits, telemetry, stop };
        let caller_server = tokio::spawn(server.serve(caller_listener));
        Ok(Self { address, operators_address, actor, caller_server })
    }

    /// Starts a graceful shutdown: the entry takes no new requests and completes those
    /// in flight.
    pub fn leave(&self) {
        let _ = self.actor.tell(EntryInput::Leave).try_send();
    }

    /// Waits until a graceful shutdown is complete: every open response has been sent
    /// to its end. Waits forever if none was requested.
    pub async fn wait_until_stopped(self) {
        let _ = self.caller_server.await;
    }
}

async fn status_report(actor: ActorRef<EntryActor>) -> StatusReport {
    match actor.ask(GetStatus).await {
        Ok(status) => StatusReport::new(status.ready, &status),
        Err(_) => StatusReport::default(),
    }
}

fn config(settings: &EntrySettings) -> EntryConfig {
    // The random bits make it improbable that entries started at the same time get the
    // same number.
    let incarnation = new_incarnation() ^ u64::from(rand::random::<u16>());
    EntryConfig {
        name: settings.name.as_str().into(),
        incarnation,
        location: Location {
            region: settings.region.as_str().into(),
            zone: settings.zone.as_str().into(),
        },
        heartbeat_interval: duration_from_ms(settings.heartbeat_ms),
        lease_ttl: duration_from_ms(settings.lease_ttl_ms),
        max_manifest_bytes: settings.max_manifest_bytes as usize,
        random_seed: settings.random_seed,
        ..EntryConfig::default()
    }
}

fn limits(settings: &EntrySettings) -> CallerLimits {
    CallerLimits {
        max_body_bytes: settings.max_body_bytes as usize,
        max_header_bytes: settings.max_header_bytes as usize,
        body_read_timeout: duration_from_ms(settings.body_read_ms),
        idle_timeout: duration_from_ms(settings.idle_ms),
        max_connections: settings.max_connections as usize,
    }
}

async fn follow_manifests(log: LogClient, actor: ActorRef<EntryActor>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let Ok(from) = actor.ask(GetManifestOffset).await else { return };
        match log.read(MANIFEST_STREAM, from, LOG_LONG_POLL).await {
            Ok(read) => {
                // Waits for the actor's reply: the records are applied by then, so
                // the next offset asked for lies after them.
                if actor.ask(EntryInput::ManifestRecords(read)).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(LOG_RETRY_DELAY).await,
        }
    }
}

async fn follow_claims(log: LogClient, actor: ActorRef<EntryActor>, stop: CancellationToken) {
    let mut from = 0;
    // The first read and the first one after an outage do not long-poll. Their response
    // shows at once that the log is reachable; until then, calls that must claim an
    // idempotency key are refused.
    let mut wait = Duration::ZERO;
    while !stop.is_cancelled() {
        match log.read(CLAIM_STREAM, from, wait).await {
            Ok(read) => {
                wait = LOG_LONG_POLL;
                from = read.records.last().map_or(from, |record| record.offset + 1);
                if actor.ask(EntryInput::ClaimRecords(read)).await.is_err() {
                    return;
                }
            }
            Err(_) => {
                wait = Duration::ZERO;
                let _ = actor.tell(EntryInput::LogReachable(false)).try_send();
                tokio::time::sleep(LOG_RETRY_DELAY).await;
            }
        }
    }
}

async fn poll_instance_list(
    http: HttpClient,
    address: SocketAddr,
    interval: Duration,
    actor: ActorRef<EntryActor>,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        if let Ok(instances) =
            platform::read_instance_list(&http, address, INSTANCE_LIST_TIMEOUT).await
        {
            let _ = actor.tell(EntryInput::InstanceList(instances)).try_send();
        }
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(interval) => {}
        }
    }
}
