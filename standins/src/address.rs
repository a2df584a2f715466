//! Addresses on loopback for processes that a test starts.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::net::TcpSocket;

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
        let address = SocketAddr::from(([127, 0, 0, 1], PORT_RANGE.start + offset as u16));
        if is_unused(address) {
            return address;
        }
    }
}

/// Returns whether nothing listens on an address. The socket for the check is bound but does
/// not listen: if another thread starts a process meanwhile, that process holds a copy of the
/// socket until it executes its program, and a copy that listens would block the address.
fn is_unused(address: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().expect("sockets can be opened");
    socket.set_reuseaddr(true).expect("the option can be set");
    socket.bind(address).is_ok()
}
