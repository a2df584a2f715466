//! TCP proxy on loopback that injects network faults into the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;

/// Network fault that a proxy injects into its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault: bytes pass unchanged.
    None,
    /// Each chunk of bytes is delayed by this duration.
    Delay(Duration),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Bytes towards the server are dropped.
    DropToServer,
    /// Bytes towards the client are dropped.
    DropToClient,
    /// Bytes in both directions are dropped.
    DropBoth,
}

/// Most bytes that are read and forwarded at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    address: watch::Sender<SocketAddr>,
    fault: watch::Sender<LinkFault>,
    listening: watch::Sender<bool>,
}

impl Proxy {
    /// Listens on a free loopback port and forwards connections to `server`, without a fault at
    /// first.
    pub async fn start(server: SocketAddr) -> Arc<Self> {
        let mut listener = listen().await;
        let (address, _) = watch::channel(address_of(&listener));
        let (fault, fault_watch) = watch::channel(LinkFault::None);
        let (listening, mut listening_watch) = watch::channel(true);
        let new_address = address.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    biased;
                    _ = listening_watch.wait_for(|listening| !listening) => {}
                    accepted = listener.accept() => {
                        let Ok((client, _)) = accepted else { return };
                        tokio::spawn(forward_connection(client, server, fault_watch.clone()));
                        continue;
                    }
                }
                drop(listener);
                if listening_watch.wait_for(|listening| *listening).await.is_err() {
                    return;
                }
                listener = listen().await;
                new_address.send_replace(address_of(&listener));
            }
        });
        Arc::new(Self { address, fault, listening })
    }

    /// Loopback address on which the proxy listens, or has listened last.
    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Resets all connections and refuses new ones, as the host of a server does whose process has
    /// crashed, for this long. Then listens on another port.
    pub async fn crash(&self, duration: Duration) {
        self.listening.send_replace(false);
        self.set_fault(LinkFault::Reset);
        tokio::time::sleep(duration).await;
        self.set_fault(LinkFault::None);
        self.listening.send_replace(true);
    }

    /// Sets the fault of all open and new connections. A connection that has dropped bytes in one
    /// direction forwards no more in that direction, whatever fault is set later.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports")
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a listener has an address")
}

async fn forward_connection(
    mut client: TcpStream,
    server: SocketAddr,
    fault: watch::Receiver<LinkFault>,
) {
    if *fault.borrow() == LinkFault::Reset {
        return reset_on_close(&client);
    }
    let Ok(mut server) = TcpStream::connect(server).await else { return reset_on_close(&client) };
    for stream in [&client, &server] {
        // A socket that rejects options is already closed.
        let _ = stream.set_nodelay(true);
    }
    let mut fault_watch = fault.clone();
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let is_reset = tokio::select! {
        dropped = forward_bytes(from_client, to_server, fault.clone(), LinkFault::DropToServer) => {
            dropped
        }
        dropped = forward_bytes(from_server, to_client, fault, LinkFault::DropToClient) => dropped,
        _ = fault_watch.wait_for(|fault| *fault == LinkFault::Reset) => true,
    };
    if is_reset {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// Forwards bytes in one direction until either end closes; `dropped_by` is the fault that drops
/// the bytes of this direction. Returns true if it dropped any: the connection then cannot end in
/// order.
async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    fault: watch::Receiver<LinkFault>,
    dropped_by: LinkFault,
) -> bool {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    let mut dropping = false;
    loop {
        let Ok(length @ 1..) = from.read(&mut chunk).await else { return dropping };
        let current = *fault.borrow();
        dropping |= current == dropped_by || current == LinkFault::DropBoth;
        if dropping {
            // A receiver must not get later bytes in place of the dropped ones.
            continue;
        }
        if let LinkFault::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return dropping;
        }
    }
}

/// Has the socket reset its connection when it is closed.
fn reset_on_close(stream: &TcpStream) {
    // A socket that rejects options is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
