//! Test ledger: the downstream service of the server.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT, loopback_address};
use crate::lines::{PeerConnection, accept_connections};

/// The address of a test ledger, which refuses connections until the ledger is opened.
pub struct Ledger {
    /// Address that the server connects to.
    pub address: SocketAddr,
}

impl Ledger {
    pub(crate) fn new() -> Ledger {
        Ledger { address: loopback_address() }
    }

    /// Starts to accept connections, whose lines the test sends and checks.
    pub fn open(&self) -> OpenLedger {
        let listener = TcpListener::bind(self.address).expect("the ledger's address is free");
        OpenLedger { connections: accept_connections(listener, &["post"], Arc::default()) }
    }

    /// Opens the ledger and replies `posted` to every call immediately, until the test process ends.
    pub fn post_all(&self) {
        self.post_all_after(Duration::ZERO);
    }

    /// Opens the ledger and replies `posted` to every call after `delay`, one call at a time on each connection.
    pub fn post_all_after(&self, delay: Duration) {
        let ledger = self.open();
        thread::spawn(move || {
            while let Ok(connection) = ledger.connections.recv() {
                thread::spawn(move || {
                    while let Some(line) = connection.wait_for_line() {
                        if line.word(0) == "post" {
                            thread::sleep(delay);
                            connection.send_with_body(&format!("{} posted", line.word(1)), b"posted");
                        }
                    }
                });
            }
        });
    }
}

/// A test ledger that accepts connections and whose lines a test sends and checks one by one.
pub struct OpenLedger {
    connections: Receiver<PeerConnection>,
}

impl OpenLedger {
    /// Waits for the next connection that the server opens.
    pub fn link(&self) -> PeerConnection {
        self.connections.recv_timeout(RESPONSE_TIMEOUT).expect("the server connects to the ledger")
    }

    /// Checks that the server opens no connection within [`QUIET_PERIOD`].
    pub fn expect_no_link(&self) {
        assert!(self.connections.recv_timeout(QUIET_PERIOD).is_err());
    }
}
