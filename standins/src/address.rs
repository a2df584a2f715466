//! Addresses on loopback for processes that a test starts.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::net::TcpListener;
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

/// Port on loopback that the kernel gives to no other listener on port 0, whether anything listens
/// on it or not, until it is dropped.
#[derive(Debug)]
pub struct ReservedPort {
    /// Bound, but never listens: another socket may listen on the port if it asks for it.
    socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a port that the kernel chooses.
    pub fn reserve() -> Self {
        let socket = TcpSocket::new_v4().expect("sockets can be opened");
        socket.set_reuseaddr(true).expect("the option can be set");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback has free ports");
        Self { socket }
    }

    /// Address of the port.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("a bound socket has an address")
    }

    /// Listens on the port.
    pub async fn listen(&self) -> TcpListener {
        TcpListener::bind(self.address()).await.expect("a reserved port is free")
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
