//! The fleet's driver: one thread with the sockets, the data directory and the member's state machine ([`Node`]). It is on no
//! request's path: the owner reports load and shutdown without blocking, and waits for the thread only once it has drained,
//! for a bounded time.
//!
//! - this file: [`Fleet`], the owner's handle;
//! - `driver`: the thread's event loop;
//! - `node_config`: builds the member's configuration;
//! - `load`: averages the load and builds its reports;
//! - `links`: connections to and from other members; `incoming_links`: those from others, within their
//!   `incoming_limits`;
//! - `storage`: persists the member's state in the data directory;
//! - `operator_socket`: the server end of the operators' socket;
//! - `jobs`: starts and stops the processes of the operators' duties.
//!
//! The package `loomflow-fleet-commands` implements the client end of the operators' socket, `loomflow fleet …`.

mod driver;
mod incoming_limits;
mod incoming_links;
mod jobs;
mod links;
mod load;
mod node_config;
mod operator_socket;
mod storage;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use loomflow_boot_clock::boot_millis;
use loomflow_fleet::duty::supervisor::GRACE_LEASE_FRACTION;
use loomflow_fleet::member::LoadReport;
use loomflow_fleet::node::Node;
use loomflow_settings::Config;
use loomflow_settings::duties::Duties;
use loomflow_settings::fleet::Fleet as Options;
use mio::{Poll, Token, Waker};

use crate::mailbox::Mailbox;
use driver::{Driver, MAX_SLEEP, WAKE};
pub use incoming_limits::MAX_UNKNOWN_SENDERS;
use jobs::Jobs;
use links::Links;
pub use load::{Meter, load_report};
pub use operator_socket::MAX_CONNECTIONS as MAX_OPERATOR_CONNECTIONS;
use operator_socket::OperatorSocket;

/// Maximum time for the member to report that it has drained.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Stack size of the thread.
const STACK_BYTES: usize = 512 * 1024;

/// Reports of the owner that the thread has not taken yet. Only the latest report of each kind is stored, so that a thread
/// blocked by its disk misses none and finds no backlog of outdated loads.
#[derive(Default)]
struct OwnerMessages {
    load_report: Option<LoadReport>,
    is_draining: bool,
    /// Set once the owner has drained. The thread signals on the sender that it has reported this to the
    /// fleet.
    drained: Option<SyncSender<()>>,
}

/// Shared with the thread, which holds the only strong reference: once the thread has ended, the owner's
/// reports are discarded and the owner does not wait for the thread.
type Inbox = Mutex<OwnerMessages>;

/// Why the fleet's driver cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A poller, a waker, a signal handler or a thread cannot be created.
    #[error("{context}: {source}")]
    System { context: &'static str, source: io::Error },
    /// The address for other members cannot be bound.
    #[error("fleet.listen: cannot bind {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    /// The operators' socket cannot be created.
    #[error("fleet.state: the operators' socket {} cannot be created: {source}", .path.display())]
    OperatorSocket { path: PathBuf, source: io::Error },
}

impl From<StartError> for String {
    fn from(error: StartError) -> String {
        error.to_string()
    }
}

impl StartError {
    /// Returns a function for `map_err` that names the failed operation.
    fn system(context: &'static str) -> impl Fn(io::Error) -> StartError {
        move |source| StartError::System { context, source }
    }
}

/// The owner's handle to the fleet's thread. Only [`Fleet::drained`] waits for the thread.
pub struct Fleet {
    inbox: Weak<Inbox>,
    waker: Arc<Waker>,
    shutdown_timeout: Duration,
}

impl Fleet {
    /// Starts the thread. An unusable data directory is not an error: the server serves without it.
    ///
    /// # Errors
    /// The poller, the listener, the operators' socket, the signal handler or the thread cannot be created.
    pub fn start(config: &Config, options: &Options, mailbox: Arc<Mailbox>) -> Result<Fleet, StartError> {
        let poll = Poll::new().map_err(StartError::system("fleet: cannot create the poller"))?;
        let waker = Waker::new(poll.registry(), WAKE)
            .map_err(StartError::system("fleet: cannot create the waker"))?;
        let links = Links::listen(options.listen, poll.registry())
            .map_err(|source| StartError::Listen { address: options.listen, source })?;
        let path = options.socket();
        let operators = OperatorSocket::listen(&path, poll.registry())
            .map_err(|source| StartError::OperatorSocket { path: path.clone(), source })?;
        // With SIGXFSZ handled, a write beyond the file size limit fails like one to a full disk, instead of killing the process.
        signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::default())
            .map_err(StartError::system("fleet: cannot install the handler of SIGXFSZ"))?;
        let inbox = Arc::new(Inbox::default());
        let handle_inbox = Arc::downgrade(&inbox);
        let node_config = node_config::node_config(config, options);
        let storage = Box::new(storage::RedbStorage::new(&options.state));
        let jobs = Jobs::new(options.duties.as_ref(), &path);
        let shutdown_timeout = shutdown_timeout(options);
        let run = move || {
            let node = Node::start(node_config, storage, boot_millis());
            let shutdown = None;
            Driver { poll, links, operators, inbox, node, mailbox, jobs, shutdown_timeout, shutdown }.run();
        };
        let thread = std::thread::Builder::new().name("fleet".into()).stack_size(STACK_BYTES);
        thread.spawn(run).map_err(StartError::system("fleet: cannot start the thread"))?;
        Ok(Fleet { inbox: handle_inbox, waker: Arc::new(waker), shutdown_timeout })
    }

    /// Reports the server's load. Replaces a report that the thread has not taken yet.
    pub fn set_load(&self, load_report: LoadReport) {
        self.post(|messages| messages.load_report = Some(load_report));
    }

    /// Reports that the server has been told to shut down.
    pub fn begin_drain(&self) {
        self.post(|messages| messages.is_draining = true);
    }

    /// Reports that every request has its response. Waits until the thread has reported it to the fleet, for a bounded time.
    pub fn drained(&self) {
        let (sender, receiver) = sync_channel(1);
        self.post(|messages| messages.drained = Some(sender));
        let _ = receiver.recv_timeout(self.shutdown_timeout + MAX_SLEEP);
    }

    fn post(&self, write: impl FnOnce(&mut OwnerMessages)) {
        if let Some(inbox) = self.inbox.upgrade() {
            write(&mut inbox.lock().unwrap_or_else(PoisonError::into_inner));
        }
        let _ = self.waker.wake();
    }
}

/// Maximum time for the member to finish once the server has drained: includes the grace period of jobs that it started.
fn shutdown_timeout(options: &Options) -> Duration {
    let programs = options.duties.as_ref().filter(|duties| duties.programs);
    let grace_period = |duties: &Duties| Duration::from_secs(duties.lease_s).mul_f64(GRACE_LEASE_FRACTION);
    SHUTDOWN_TIMEOUT + programs.map_or(Duration::ZERO, grace_period)
}

/// The listener for other members.
const LISTENER: Token = Token(1);
/// The listener of the operators' socket.
const OPERATORS: Token = Token(2);
/// Lower bound of the tokens of connections.
const FIRST_CONNECTION: usize = 16;

#[cfg(test)]
mod tests;
