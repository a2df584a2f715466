//! TCP server of the agent: accepts connections of entries and passes their
//! messages to the agent actor.

use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::agent::AgentEvent;
use crate::edge::agent_actor::AgentActor;
use crate::edge::agent_actor::AgentInput;
use crate::edge::frames;
use crate::schema::wire;
use crate::schema::wire::to_agent::Kind;

const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of entries until the token is cancelled. A connection whose
/// first message is not a hello within 2 s is closed.
pub async fn serve(listener: TcpListener, actor: ActorRef<AgentActor>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve_entry(stream, actor.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
}

async fn serve_entry(stream: TcpStream, actor: ActorRef<AgentActor>) {
    let (mut reader, writer) = frames::split(stream);
    let received = tokio::time::timeout(HELLO_TIMEOUT, reader.read::<wire::ToAgent>()).await;
    let Ok(Ok(Some(wire::ToAgent { kind: Some(Kind::Hello(hello)) }))) = received else { return };
    let entry = hello.entry;
    let (outbound, messages) = mpsc::unbounded_channel();
    let close = CancellationToken::new();
    tokio::spawn(writer.write_all(messages));
    let connected =
        AgentInput::Connected { hello, outbound: outbound.clone(), close: close.clone() };
    if actor.tell(connected).try_send().is_err() {
        return;
    }
    loop {
        let message = tokio::select! {
            () = close.cancelled() => break,
            message = reader.read::<wire::ToAgent>() => message,
        };
        let Ok(Some(message)) = message else { break };
        let Some(message) = message.kind else { continue };
        let event = AgentEvent::FromEntry { entry, message };
        if actor.tell(AgentInput::Event(event)).try_send().is_err() {
            break;
        }
    }
    let _ = actor.tell(AgentInput::Disconnected { entry, outbound }).try_send();
}
