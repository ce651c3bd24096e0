//! The fleet's driver: one thread with its sockets, its data directory and the member's state machine. Nothing of it is on a
//! request's path: the owner reports its load and that it shuts down, and waits for nothing but a bounded moment at the end.
//!
//! - this file: the owner's handle;
//! - `driver`: the thread;
//! - `node_config`: the member's configuration;
//! - `load`: the load as it is reported;
//! - `links`: connections to and from other members;
//! - `storage`: the data directory;
//! - `operator_socket`: the operators' socket;
//! - `jobs`: the processes of the operators' duties.
//!
//! The other end of the operators' socket, `loomflow fleet …`, is the package `loomflow-fleet-commands`.

mod driver;
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
use jobs::Jobs;
use links::Links;
pub use load::{Meter, load_report};
use operator_socket::OperatorSocket;

/// How long the member may take to report that it has drained.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_500);
const STACK_BYTES: usize = 512 * 1024;

/// What the owner has reported and the thread has not taken yet: of each the newest, so that a thread that is held up by its
/// disk misses nothing and finds no backlog of old loads.
#[derive(Default)]
struct OwnerMessages {
    load_report: Option<LoadReport>,
    is_draining: bool,
    /// The owner has drained; where to answer that this is reported.
    drained: Option<SyncSender<()>>,
}

/// Shared with the thread, which alone keeps it alive: once the thread has ended nobody is waited for.
type Inbox = Mutex<OwnerMessages>;

/// Why the fleet's thread cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The system refuses a poller, a signal handler or a thread.
    #[error("{what}: {source}")]
    System { what: &'static str, source: io::Error },
    /// The address for other members cannot be used.
    #[error("fleet.listen {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    /// The operators' socket cannot be created.
    #[error("fleet.state: {}: {source}", .path.display())]
    OperatorSocket { path: PathBuf, source: io::Error },
}

impl From<StartError> for String {
    fn from(error: StartError) -> String {
        error.to_string()
    }
}

impl StartError {
    /// For `map_err`.
    fn system(what: &'static str) -> impl Fn(io::Error) -> StartError {
        move |source| StartError::System { what, source }
    }
}

/// The owner's handle.
pub struct Fleet {
    inbox: Weak<Inbox>,
    waker: Arc<Waker>,
    shutdown_timeout: Duration,
}

impl Fleet {
    /// Starts the thread. A data directory that cannot be used is no reason not to serve.
    ///
    /// # Errors
    /// The listener, the operators' socket or the thread cannot be had.
    pub fn start(config: &Config, options: &Options, mailbox: Arc<Mailbox>) -> Result<Fleet, StartError> {
        let poll = Poll::new().map_err(StartError::system("fleet"))?;
        let waker = Waker::new(poll.registry(), WAKE).map_err(StartError::system("fleet"))?;
        let links = Links::listen(options.listen, poll.registry())
            .map_err(|source| StartError::Listen { address: options.listen, source })?;
        let path = options.socket();
        let operators = OperatorSocket::listen(&path, poll.registry())
            .map_err(|source| StartError::OperatorSocket { path: path.clone(), source })?;
        // A limit on the size of files is a full disk, and not the end of the process.
        signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::default())
            .map_err(StartError::system("fleet: signals"))?;
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
        thread.spawn(run).map_err(StartError::system("fleet"))?;
        Ok(Fleet { inbox: handle_inbox, waker: Arc::new(waker), shutdown_timeout })
    }

    /// Reports the server's load; one that was not taken yet is replaced.
    pub fn set_load(&self, load_report: LoadReport) {
        self.post(|messages| messages.load_report = Some(load_report));
    }

    /// Reports that the server has been told to shut down.
    pub fn begin_drain(&self) {
        self.post(|messages| messages.is_draining = true);
    }

    /// Reports that every request is answered. Waits until the fleet knows, for a bounded moment.
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

/// How long the member may take at the end: jobs that have to end have their grace period as well.
fn shutdown_timeout(options: &Options) -> Duration {
    let programs = options.duties.as_ref().filter(|duties| duties.programs);
    let grace_period = |duties: &Duties| Duration::from_secs(duties.lease_s).mul_f64(GRACE_LEASE_FRACTION);
    SHUTDOWN_TIMEOUT + programs.map_or(Duration::ZERO, grace_period)
}

const LISTENER: Token = Token(1);
const OPERATORS: Token = Token(2);
/// Connections have the tokens from here on.
const FIRST_CONNECTION: usize = 16;

#[cfg(test)]
mod tests;
