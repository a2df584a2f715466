//! Keeps up the connections to agents.

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
const JITTER_STEPS: u64 = 256;

/// What a connection to an agent needs.
#[derive(Debug, Clone)]
pub struct AgentPeer {
    /// Name of the agent.
    pub name: CompactString,
    /// Its address.
    pub address: SocketAddr,
    /// The greeting of this entry.
    pub hello: wire::EntryHello,
    /// An agent silent for so long counts as lost.
    pub lease_ttl: Duration,
}

/// Connects to an agent again and again until the token is cancelled.
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

/// A backoff of each pair's own, so that entries do not come back together.
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
