//! Addresses for processes that are started on loopback.

use std::collections::HashSet;
use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;

use standins::address::unused_address;

/// First port that Linux gives by default to outgoing connections and to listeners on port 0.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

/// Guards against "address already in use" when tests of one program start fleets side by
/// side. A port is free between its choice and the start of the process that listens on it;
/// meanwhile neither a second fleet nor a listener on port 0 may get it.
#[test]
fn no_address_is_returned_twice_or_is_ephemeral() {
    let mut returned = HashSet::new();
    for _ in 0..1000 {
        let address = unused_address();
        assert!(address.port() < FIRST_EPHEMERAL_PORT, "{address} is ephemeral");
        assert!(returned.insert(address), "{address} was returned twice");
    }
}

/// Guards against "address already in use" while other tests start processes. A process that
/// has been forked and not yet executed its program holds copies of all sockets of the test
/// program, closed ones included.
#[test]
fn an_address_is_free_although_other_threads_start_processes() {
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                for _ in 0..300 {
                    start_process();
                    let address = unused_address();
                    let listener = TcpListener::bind(address);
                    assert!(listener.is_ok(), "{address}: {listener:?}");
                }
            });
        }
    });
}

/// Starts this test program, which lists its tests, and waits until it has ended.
fn start_process() {
    let program = std::env::current_exe().expect("the path of the test program is known");
    let status = Command::new(program).arg("--list").stdout(Stdio::null()).status();
    assert!(status.expect("the test program can be started").success());
}
