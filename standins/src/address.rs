//! Addresses on loopback for processes that a test starts.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Ports that Linux by default gives neither to outgoing connections nor to listeners on port
/// 0, so that a process finds its own port free when it starts, and when it restarts.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Distance between the first ports that two processes with successive ids try. A test program
/// usually tries fewer ports, so that the ports of two programs seldom overlap.
const PORT_STEP_PER_PROCESS: u32 = 199;

/// Number of ports tried so far by this process.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns an address on loopback on which nothing listens. A process never gets the same
/// address twice before the ports are used up, and two processes seldom get the same one.
pub fn unused_address() -> SocketAddr {
    loop {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::SeqCst);
        let first = std::process::id().wrapping_mul(PORT_STEP_PER_PROCESS);
        let offset = first.wrapping_add(tried) % u32::from(PORT_RANGE.end - PORT_RANGE.start);
        let port = PORT_RANGE.start + offset as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("a listener has an address");
        }
    }
}
