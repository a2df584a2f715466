//! Server on loopback that answers every request with the bytes that a test gives it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bamboodoor::edge::http::HttpClient;
use bamboodoor::edge::upstream::Upstream;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Largest request that is read, in bytes.
const REQUEST_BYTES: usize = 64 << 10;
/// Longest wait for the end of an exchange before the test fails.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// What the server sends after the head of a response.
#[derive(Debug, Clone)]
pub enum Body {
    /// These bytes, after which the connection is closed.
    Whole(Bytes),
    /// These bytes, and then the second ones again and again, up to a number of bytes. The
    /// connection stays open after that.
    Endless { start: Bytes, repeated: Bytes, max_bytes: usize },
}

/// Running server.
pub struct RawEngine {
    pub address: SocketAddr,
    /// Bytes of bodies that the server has sent.
    sent_bytes: Arc<AtomicUsize>,
}

impl RawEngine {
    /// Starts a server that answers with this status line and body.
    pub async fn start(status: &'static str, body: Body) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let sent_bytes = Arc::new(AtomicUsize::new(0));
        let counter = sent_bytes.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, status, body.clone(), counter.clone()));
            }
        });
        Self { address, sent_bytes }
    }

    /// Client of the server, as an agent has it.
    pub fn upstream(&self) -> Upstream {
        Upstream::new(HttpClient::default(), self.address)
    }

    pub fn sent_bytes(&self) -> usize {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}

async fn respond(mut stream: TcpStream, status: &str, body: Body, sent: Arc<AtomicUsize>) {
    let mut request = vec![0; REQUEST_BYTES];
    let _ = stream.read(&mut request).await;
    let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let (start, repeated, max_bytes) = match body {
        Body::Whole(bytes) => {
            let _ = stream.write_all(&bytes).await;
            return;
        }
        Body::Endless { start, repeated, max_bytes } => (start, repeated, max_bytes),
    };
    let mut next = start;
    while sent.load(Ordering::Relaxed) < max_bytes {
        if stream.write_all(&next).await.is_err() {
            return;
        }
        sent.fetch_add(next.len(), Ordering::Relaxed);
        next = repeated.clone();
    }
    std::future::pending::<()>().await;
}
