//! Proxies of a run, whose ports and tasks other runs of the process must not meet.

use std::net::SocketAddr;
use std::time::Duration;

use soak::proxy::Proxy;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which the task of a dropped proxy ends.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a proxy of a test stays crashed.
const CRASH_TIME: Duration = Duration::from_secs(60);
/// Listeners on port 0 that are opened, each on a random one of at least 7,000 ports.
const LISTENER_COUNT: usize = 200_000;

/// Guards against proxies of an ended run that opened and closed listeners without a pause, for as
/// long as the process lived.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_proxy_ends() {
    let proxy = Proxy::start(SocketAddr::from(([127, 0, 0, 1], 1))).await;
    let address = proxy.address();
    assert_eq!(Handle::current().metrics().num_alive_tasks(), 1);
    drop(proxy);
    let ended = async {
        while Handle::current().metrics().num_alive_tasks() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(END_TIMEOUT, ended).await.is_ok(), "the proxy still runs");
    assert!(TcpStream::connect(address).await.is_err());
}

/// Guards against `seed_6005`: its replicas got the requests of another run, whose entries still
/// listed a crashed replica that had listened on the same port.
#[tokio::test(flavor = "multi_thread")]
async fn the_port_of_a_crashed_proxy_goes_to_no_other_run() {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let proxy = Proxy::start(address_of(&server)).await;
    let (crashed, crashing) = (proxy.address(), proxy.clone());
    tokio::spawn(async move { crashing.crash(CRASH_TIME).await });
    while TcpStream::connect(crashed).await.is_ok() {
        sleep(POLL_INTERVAL).await;
    }
    for number in 0..LISTENER_COUNT {
        let other = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        assert_ne!(address_of(&other), crashed, "listener {number} after the crash");
    }
}

/// A replica that has crashed serves again on another port, and no longer on its first one.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_proxy_comes_back_on_another_port() {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let proxy = Proxy::start(address_of(&server)).await;
    let crashed = proxy.address();
    proxy.crash(Duration::from_millis(50)).await;
    while proxy.address() == crashed {
        sleep(POLL_INTERVAL).await;
    }
    assert!(TcpStream::connect(crashed).await.is_err());
    assert!(TcpStream::connect(proxy.address()).await.is_ok());
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a listener has an address")
}
