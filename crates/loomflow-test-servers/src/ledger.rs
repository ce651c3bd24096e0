//! Test server of the downstream service, scripted line by line.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT, loopback_address};
use crate::lines::{PeerConnection, accepting};

/// A downstream service that refuses connections until it is opened.
pub struct Ledger {
    /// Its address.
    pub address: SocketAddr,
}

impl Ledger {
    pub(crate) fn new() -> Ledger {
        Ledger { address: loopback_address() }
    }

    /// Starts to accept connections.
    pub fn open(&self) -> OpenLedger {
        let listener = TcpListener::bind(self.address).expect("the ledger's address");
        OpenLedger { links: accepting(listener, &["post"], Arc::default()) }
    }

    /// Replies to every call immediately, until the process ends.
    pub fn post_all(&self) {
        self.post_all_after(Duration::ZERO);
    }

    /// Replies to every call after a delay, one after the other on each connection.
    pub fn post_all_after(&self, delay: Duration) {
        let ledger = self.open();
        thread::spawn(move || {
            while let Ok(link) = ledger.links.recv() {
                thread::spawn(move || {
                    while let Some(line) = link.wait_for_line() {
                        if line.word(0) == "post" {
                            thread::sleep(delay);
                            link.send_with_body(&format!("{} posted", line.word(1)), b"posted");
                        }
                    }
                });
            }
        });
    }
}

/// A scripted downstream service.
pub struct OpenLedger {
    links: Receiver<PeerConnection>,
}

impl OpenLedger {
    /// The next connection that the server opens.
    pub fn link(&self) -> PeerConnection {
        self.links.recv_timeout(RESPONSE_TIMEOUT).expect("a connection")
    }

    /// Checks that the server opens no connection.
    pub fn expect_no_link(&self) {
        assert!(self.links.recv_timeout(QUIET_PERIOD).is_err());
    }
}
