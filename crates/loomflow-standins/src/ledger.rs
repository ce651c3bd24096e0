//! The ledger, scripted line by line.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use crate::base::{PATIENCE, QUIET, free_address};
use crate::lines::{Link, accepting};

/// Refuses connections until it is opened.
pub struct Ledger {
    /// Its address.
    pub address: SocketAddr,
}

impl Ledger {
    pub(crate) fn new() -> Ledger {
        Ledger { address: free_address() }
    }

    /// Starts to accept connections.
    pub fn open(&self) -> OpenLedger {
        let listener = TcpListener::bind(self.address).expect("the ledger's address");
        OpenLedger { links: accepting(listener, &["post"], Arc::default()) }
    }

    /// Posts every call at once, for as long as the process lives.
    pub fn post_all(&self) {
        self.post_all_after(Duration::ZERO);
    }

    /// Posts every call after so long, one after the other on each connection.
    pub fn post_all_after(&self, delay: Duration) {
        let ledger = self.open();
        thread::spawn(move || {
            while let Ok(link) = ledger.links.recv() {
                thread::spawn(move || {
                    while let Some(line) = link.wait() {
                        if line.word(0) == "post" {
                            thread::sleep(delay);
                            link.say_body(&format!("{} posted", line.word(1)), b"posted");
                        }
                    }
                });
            }
        });
    }
}

/// A scripted downstream service.
pub struct OpenLedger {
    links: Receiver<Link>,
}

impl OpenLedger {
    /// The next connection that the server opens.
    pub fn link(&self) -> Link {
        self.links.recv_timeout(PATIENCE).expect("a connection")
    }

    /// Checks that the server opens no connection.
    pub fn has_no_link(&self) {
        assert!(self.links.recv_timeout(QUIET).is_err());
    }
}
