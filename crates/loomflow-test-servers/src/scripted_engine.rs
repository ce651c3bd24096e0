//! Test engine whose lines a test sends and checks one by one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT, loopback_listener};
use crate::lines::{PeerConnection, accept_connections};

/// A test engine whose lines a test sends and checks one by one.
pub struct ScriptedEngine {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    connections: Receiver<PeerConnection>,
    replies_to_queries: Arc<AtomicBool>,
}

impl ScriptedEngine {
    /// Starts an engine on a free loopback address. It replies to gauge and health queries automatically.
    pub fn start() -> ScriptedEngine {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("the listener has a local address");
        let replies_to_queries = Arc::new(AtomicBool::new(true));
        ScriptedEngine {
            address,
            connections: accept_connections(listener, &["RUN", "FEED"], replies_to_queries.clone()),
            replies_to_queries,
        }
    }

    /// Checks that the server opens no connection within [`QUIET_PERIOD`].
    pub fn expect_no_link(&self) {
        assert!(self.connections.recv_timeout(QUIET_PERIOD).is_err());
    }

    /// Sets whether gauge and health queries are replied to automatically or passed to the test like other lines.
    pub fn set_automatic_replies(&self, is_enabled: bool) {
        self.replies_to_queries.store(is_enabled, Ordering::Release);
    }

    /// Waits for the next connection that the server opens.
    pub fn link(&self) -> PeerConnection {
        self.connections.recv_timeout(RESPONSE_TIMEOUT).expect("the server connects to the engine")
    }
}
