//! The engine, scripted line by line.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;

use crate::base::{PATIENCE, QUIET, free_listener};
use crate::lines::{Link, accepting};

/// A scripted stand-in of the engine.
pub struct Engine {
    /// Its address.
    pub address: SocketAddr,
    links: Receiver<Link>,
    answers_stat: Arc<AtomicBool>,
}

impl Engine {
    /// Starts one on a free address.
    pub fn start() -> Engine {
        let listener = free_listener();
        let address = listener.local_addr().expect("an address");
        let answers_stat = Arc::new(AtomicBool::new(true));
        Engine { address, links: accepting(listener, &["RUN", "FEED"], answers_stat.clone()), answers_stat }
    }

    /// Nobody has opened a link to it.
    pub fn has_no_link(&self) {
        assert!(self.links.recv_timeout(QUIET).is_err());
    }

    /// Questions for the gauges and deep checks are lines like others from now on, or answered again.
    pub fn answers_by_itself(&self, does: bool) {
        self.answers_stat.store(does, Ordering::Release);
    }

    /// The next link that the server opens.
    pub fn link(&self) -> Link {
        self.links.recv_timeout(PATIENCE).expect("a link")
    }
}
