//! A loopback proxy that harms the connections that run through it.

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

/// What a proxy does to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// Each chunk of bytes comes later.
    Delay(Duration),
    /// Open connections are reset, new ones as well.
    Reset,
    /// Bytes towards the server are lost.
    ToServer,
    /// Bytes towards the client are lost.
    ToClient,
    /// Bytes are lost both ways.
    Silence,
}

const CHUNK_BYTES: usize = 16 << 10;

/// A proxy before one server.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: watch::Sender<Harm>,
}

impl Proxy {
    /// Listens on a free port of loopback and passes connections on to `server`.
    pub async fn start(server: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let address = listener.local_addr().expect("a listener has an address");
        let (harm, watched) = watch::channel(Harm::None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(carry(client, server, watched.clone()));
            }
        });
        Arc::new(Self { address, harm })
    }

    /// Harms all connections from now on. A connection that lost bytes stays
    /// silent for good.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn carry(mut client: TcpStream, server: SocketAddr, harm: watch::Receiver<Harm>) {
    if *harm.borrow() == Harm::Reset {
        return reset(&client);
    }
    let Ok(mut server) = TcpStream::connect(server).await else { return reset(&client) };
    for stream in [&client, &server] {
        // A socket that refuses options is already closed.
        let _ = stream.set_nodelay(true);
    }
    let mut watched = harm.clone();
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let is_reset = tokio::select! {
        () = pipe(from_client, to_server, harm.clone(), Harm::ToServer) => false,
        () = pipe(from_server, to_client, harm, Harm::ToClient) => false,
        _ = watched.wait_for(|harm| *harm == Harm::Reset) => true,
    };
    if is_reset {
        reset(&client);
        reset(&server);
    }
}

/// Carries bytes one way until either end closes.
async fn pipe(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    harm: watch::Receiver<Harm>,
    lost_by: Harm,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut lost = false;
    loop {
        let Ok(length @ 1..) = from.read(&mut chunk).await else { return };
        let now = *harm.borrow();
        lost |= now == lost_by || now == Harm::Silence;
        if lost {
            // What came before is gone: the rest would not fit on to it.
            continue;
        }
        if let Harm::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

fn reset(stream: &TcpStream) {
    // A socket that refuses options is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
