//! Connections of an entry to agents: connects, passes messages on to the entry
//! actor, and reconnects with a growing delay.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use kameo::actor::ActorRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::edge::entry_actor::EntryActor;
use crate::edge::entry_actor::EntryInput;
use crate::edge::frames;
use crate::edge::frames::FrameReader;
use crate::schema::wire;
use crate::schema::wire::to_entry::Kind;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of different jitter values that a pair of entry and agent can get.
const JITTER_STEPS: u64 = 256;

/// Address of an agent and the settings of the connection to it.
#[derive(Debug, Clone)]
pub struct AgentPeer {
    /// Name of the agent.
    pub name: CompactString,
    /// Address that the agent accepts entries on.
    pub address: SocketAddr,
    /// First message that this entry sends on every new connection.
    pub hello: wire::EntryHello,
    /// Idle timeout: the connection is closed if the agent sends nothing for so long.
    pub lease_ttl: Duration,
}

/// Keeps a connection to an agent open until the token is cancelled. After a failed
/// attempt to connect, or the loss of the connection, it waits 50 ms at first and doubles
/// the delay up to 2 s, plus jitter; a connection that lasted longer than 2 s resets the
/// delay.
pub async fn keep_connected(peer: AgentPeer, actor: ActorRef<EntryActor>, stop: CancellationToken) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let started = tokio::time::Instant::now();
        tokio::select! {
            () = stop.cancelled() => return,
            () = connect_once(&peer, &actor) => {}
        }
        if started.elapsed() > MAX_BACKOFF {
            backoff = INITIAL_BACKOFF;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(jittered_backoff(&peer, backoff)) => {}
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Adds a jitter of up to 100 % to the delay. It is fixed for each pair of entry
/// and agent, so that entries do not reconnect to an agent at the same moment.
fn jittered_backoff(peer: &AgentPeer, backoff: Duration) -> Duration {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(peer.name.as_bytes(), peer.hello.entry);
    let fraction = (hash % JITTER_STEPS) as f64 / JITTER_STEPS as f64;
    backoff + backoff.mul_f64(fraction)
}

async fn connect_once(peer: &AgentPeer, actor: &ActorRef<EntryActor>) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address)).await;
    let Ok(Ok(stream)) = connected else { return };
    let (mut reader, writer) = frames::split(stream);
    let (outbound, messages) = mpsc::unbounded_channel();
    let writer = tokio::spawn(writer.write_all(messages));
    let hello = wire::to_agent::Kind::Hello(peer.hello.clone());
    let _ = outbound.send(wire::ToAgent { kind: Some(hello) });
    forward_messages(peer, actor, &mut reader, outbound).await;
    writer.abort();
    let name = peer.name.clone();
    let _ = actor.tell(EntryInput::AgentLost { name }).try_send();
}

async fn forward_messages(
    peer: &AgentPeer,
    actor: &ActorRef<EntryActor>,
    reader: &mut FrameReader,
    outbound: mpsc::UnboundedSender<wire::ToAgent>,
) {
    loop {
        let received = tokio::time::timeout(peer.lease_ttl, reader.read::<wire::ToEntry>()).await;
        let Ok(Ok(Some(message))) = received else { return };
        let input = match message.kind {
            Some(Kind::Hello(hello)) => {
                EntryInput::AgentConnected { hello, outbound: outbound.clone() }
            }
            Some(message) => EntryInput::FromAgent { name: peer.name.clone(), message },
            None => continue,
        };
        if actor.tell(input).try_send().is_err() {
            return;
        }
    }
}
