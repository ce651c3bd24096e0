//! Loopback addresses of the test servers: one that was released takes nobody in.

use std::io::ErrorKind;
use std::net::TcpStream;

use loomflow_test_servers::{loopback_listener, release};

/// A copy of the descriptor stands in for the one that a child process has until it executes its program.
#[test]
fn a_released_address_refuses_connections_while_a_copy_of_its_listener_is_open() {
    let listener = loopback_listener();
    let address = listener.local_addr().expect("an address");
    let copy = listener.try_clone().expect("a copy");
    assert!(TcpStream::connect(address).is_ok());
    release(listener);
    let refused = TcpStream::connect(address).map(drop).expect_err("nobody listens");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    // Another listener may have the address at once.
    drop(std::net::TcpListener::bind(address).expect("the address is free"));
    drop(copy);
}
