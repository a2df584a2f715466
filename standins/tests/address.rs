//! Addresses for processes that are started on loopback.

use std::collections::HashSet;

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
