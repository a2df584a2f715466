//! TCP proxy on loopback that injects network faults into the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::SockRef;
use standins::address::ReservedPort;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Notify;
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
    /// One in this many short responses comes a second time, where the response to the next request
    /// on its connection is due.
    RepeatOneIn(u64),
}

/// Most bytes that are read and forwarded at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    address: watch::Sender<SocketAddr>,
    fault: watch::Sender<LinkFault>,
    listening: watch::Sender<bool>,
    responses: Arc<ResponseCounter>,
}

/// Short responses of a server, and how many of them were sent twice.
#[derive(Debug, Default)]
struct ResponseCounter {
    seen: AtomicU64,
    repeated: AtomicU64,
}

/// Second copy of a response of one connection, until the next request arrives.
#[derive(Debug, Default)]
struct LateCopy {
    response: Mutex<Option<Vec<u8>>>,
    due: Notify,
}

impl Proxy {
    /// Listens on a free loopback port and forwards connections to `server`, without a fault at
    /// first. No other listener gets a port of the proxy before it is dropped.
    pub async fn start(server: SocketAddr) -> Arc<Self> {
        // Entries list a port for a while after the proxy has left it: another run that got it would
        // get their requests.
        let mut ports = vec![ReservedPort::reserve()];
        let mut listener = ports[0].listen().await;
        let (address, _) = watch::channel(ports[0].address());
        let (fault, fault_watch) = watch::channel(LinkFault::None);
        let (listening, mut listening_watch) = watch::channel(true);
        let new_address = address.clone();
        let responses = Arc::new(ResponseCounter::default());
        let counter = responses.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    biased;
                    stopped = listening_watch.wait_for(|listening| !listening) => {
                        if stopped.is_err() {
                            return;
                        }
                    }
                    accepted = listener.accept() => {
                        let Ok((client, _)) = accepted else { return };
                        let (fault, counter) = (fault_watch.clone(), counter.clone());
                        tokio::spawn(forward_connection(client, server, fault, counter));
                        continue;
                    }
                }
                drop(listener);
                if listening_watch.wait_for(|listening| *listening).await.is_err() {
                    return;
                }
                let port = ReservedPort::reserve();
                listener = port.listen().await;
                new_address.send_replace(port.address());
                ports.push(port);
            }
        });
        Arc::new(Self { address, fault, listening, responses })
    }

    /// Number of responses that were sent a second time.
    pub fn repeated_responses(&self) -> u64 {
        self.responses.repeated.load(Ordering::SeqCst)
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

    /// Refuses new connections from now on; open ones go on.
    pub fn close_listener(&self) {
        self.listening.send_replace(false);
    }

    /// Sets the fault of all open and new connections. A connection that has dropped bytes in one
    /// direction forwards no more in that direction, whatever fault is set later.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn forward_connection(
    mut client: TcpStream,
    server: SocketAddr,
    fault: watch::Receiver<LinkFault>,
    responses: Arc<ResponseCounter>,
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
    let copy = LateCopy::default();
    let is_reset = tokio::select! {
        dropped = forward_requests(from_client, to_server, fault.clone(), &copy) => dropped,
        dropped = forward_responses(from_server, to_client, fault, &copy, &responses) => dropped,
        _ = fault_watch.wait_for(|fault| *fault == LinkFault::Reset) => true,
    };
    if is_reset {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// Forwards bytes to the server until either end closes. Returns true if it dropped any: the
/// connection then cannot end in order.
async fn forward_requests(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    fault: watch::Receiver<LinkFault>,
    copy: &LateCopy,
) -> bool {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    let mut dropping = false;
    loop {
        let Ok(length @ 1..) = from.read(&mut chunk).await else { return dropping };
        copy.due.notify_one();
        let current = *fault.borrow();
        if !forward_chunk(&chunk[..length], &mut to, current, true, &mut dropping).await {
            return dropping;
        }
    }
}

/// The same towards the client, with second copies of responses.
async fn forward_responses(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    fault: watch::Receiver<LinkFault>,
    copy: &LateCopy,
    responses: &ResponseCounter,
) -> bool {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    let mut dropping = false;
    loop {
        let length = tokio::select! {
            biased;
            () = copy.due.notified() => {
                let late = copy.response.lock().expect("the mutex is not poisoned").take();
                if let Some(late) = late && to.write_all(&late).await.is_err() {
                    return dropping;
                }
                continue;
            }
            read = from.read(&mut chunk) => read,
        };
        let Ok(length @ 1..) = length else { return dropping };
        let current = *fault.borrow();
        if let LinkFault::RepeatOneIn(interval) = current
            && responses.chooses(&chunk[..length], interval)
        {
            let late = chunk[..length].to_vec();
            *copy.response.lock().expect("the mutex is not poisoned") = Some(late);
        }
        if !forward_chunk(&chunk[..length], &mut to, current, false, &mut dropping).await {
            return dropping;
        }
    }
}

/// Forwards bytes, or drops them and all later ones as the fault says. False if the receiver is
/// gone.
async fn forward_chunk(
    chunk: &[u8],
    to: &mut WriteHalf<'_>,
    fault: LinkFault,
    to_server: bool,
    dropping: &mut bool,
) -> bool {
    let dropped_by = if to_server { LinkFault::DropToServer } else { LinkFault::DropToClient };
    *dropping |= fault == dropped_by || fault == LinkFault::DropBoth;
    if *dropping {
        // A receiver must not get later bytes in place of the dropped ones.
        return true;
    }
    if let LinkFault::Delay(delay) = fault {
        tokio::time::sleep(delay).await;
    }
    to.write_all(chunk).await.is_ok()
}

impl ResponseCounter {
    /// True if the chunk is a whole response whose turn it is to come twice.
    fn chooses(&self, chunk: &[u8], interval: u64) -> bool {
        let chosen = is_whole_response(chunk)
            && self.seen.fetch_add(1, Ordering::SeqCst).is_multiple_of(interval);
        self.repeated.fetch_add(u64::from(chosen), Ordering::SeqCst);
        chosen
    }
}

/// True if the bytes are one response with a length and its whole body.
fn is_whole_response(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    head.starts_with("HTTP/1.1") && length.and_then(|it| it.parse().ok()) == Some(body.len())
}

/// Has the socket reset its connection when it is closed.
fn reset_on_close(stream: &TcpStream) {
    // A socket that rejects options is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
