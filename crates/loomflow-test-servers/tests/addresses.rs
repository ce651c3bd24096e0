//! Loopback addresses of the test servers.

use std::io::ErrorKind;
use std::net::TcpStream;

use loomflow_test_servers::{loopback_listener, release};

/// Guards against a released address that still accepts connections, which are reset later: a child process holds a copy of
/// the listener's descriptor until it executes its program. Here the copy is made in the test process.
#[test]
fn released_address_refuses_connections() {
    let listener = loopback_listener();
    let address = listener.local_addr().expect("the listener has a local address");
    let copy = listener.try_clone().expect("the listener is copied");
    assert!(TcpStream::connect(address).is_ok());
    release(listener);
    let refused = TcpStream::connect(address).map(drop).expect_err("a released address refuses connections");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    // Another listener can bind the address immediately.
    drop(std::net::TcpListener::bind(address).expect("the address is free"));
    drop(copy);
}
