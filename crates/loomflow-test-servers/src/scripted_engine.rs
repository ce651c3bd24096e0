//! Test server of the engine, scripted line by line.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT, loopback_listener};
use crate::lines::{PeerConnection, accepting};

/// A scripted test server of the engine.
pub struct ScriptedEngine {
    /// Its address.
    pub address: SocketAddr,
    links: Receiver<PeerConnection>,
    answers_queries: Arc<AtomicBool>,
}

impl ScriptedEngine {
    /// Starts one on a free address.
    pub fn start() -> ScriptedEngine {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("an address");
        let answers_queries = Arc::new(AtomicBool::new(true));
        ScriptedEngine {
            address,
            links: accepting(listener, &["RUN", "FEED"], answers_queries.clone()),
            answers_queries,
        }
    }

    /// Checks that the server opens no connection.
    pub fn expect_no_link(&self) {
        assert!(self.links.recv_timeout(QUIET_PERIOD).is_err());
    }

    /// Whether it responds to gauge and health queries by itself, or passes them to the test like other lines.
    pub fn answers_by_itself(&self, does: bool) {
        self.answers_queries.store(does, Ordering::Release);
    }

    /// The next connection that the server opens.
    pub fn link(&self) -> PeerConnection {
        self.links.recv_timeout(RESPONSE_TIMEOUT).expect("a link")
    }
}
