//! Signal handling: SIGTERM requests a graceful shutdown, SIGHUP a reload of the configuration. Both handlers are
//! installed at the start of the process; a thread forwards the signals once the owner's mailbox exists.
//!
//! A handler sets a flag and writes a byte to a pipe, which the thread reads. A pipe is used instead of a pair of
//! Unix sockets because the platform's test bench intercepts sockets and supports only TCP and UDP over IPv4.

use std::io::{self, ErrorKind, PipeReader, Read};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use loomflow_settings::Config;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level::pipe};

use crate::log;
use crate::mailbox::{Mailbox, OwnerEvent};

/// Stack size of the signal thread, in bytes. The thread parses the configuration, which takes stack for each level of
/// nesting.
const STACK_BYTES: usize = 512 * 1024;

/// A signal handler could not be installed, or the signal thread could not be started.
#[derive(Debug, thiserror::Error)]
#[error("the handling of SIGTERM and SIGHUP cannot be set up: {0}")]
pub struct SignalError(#[from] io::Error);

/// The installed handlers, and the signals that have not been forwarded to the owner.
pub struct Signals {
    /// Receives one byte for each signal.
    wake: PipeReader,
    reload_requested: Arc<AtomicBool>,
    shutdown_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers of SIGTERM and SIGHUP.
    pub fn install() -> Result<Signals, SignalError> {
        let (wake, writer) = io::pipe()?;
        let reload_requested = Arc::new(AtomicBool::new(false));
        let shutdown_requested = Arc::new(AtomicBool::new(false));
        for (signal, requested) in [(SIGHUP, &reload_requested), (SIGTERM, &shutdown_requested)] {
            // Actions run in the order of their registration: the flag is set before the byte wakes the reader.
            flag::register(signal, requested.clone())?;
            pipe::register(signal, writer.try_clone()?)?;
        }
        Ok(Signals { wake, reload_requested, shutdown_requested })
    }

    /// Whether SIGTERM was received and has not been forwarded to the owner.
    pub fn is_shutdown_requested(&self) -> bool {
        self.shutdown_requested.load(Ordering::SeqCst)
    }

    /// Starts the thread that forwards signals to the owner. On SIGHUP it also reads the configuration at `file`, so
    /// that the owner never blocks on the file system.
    pub fn spawn_watcher(self, file: PathBuf, mailbox: Arc<Mailbox>) -> Result<(), SignalError> {
        let thread = std::thread::Builder::new().name("signals".into()).stack_size(STACK_BYTES);
        thread.spawn(move || self.watch(&file, &mailbox))?;
        Ok(())
    }

    fn watch(mut self, file: &std::path::Path, mailbox: &Mailbox) {
        let mut bytes = [0; 64];
        loop {
            // One read may take the bytes of several signals; the flags show which ones were received.
            match self.wake.read(&mut bytes) {
                Ok(0) => return,
                Err(error) if error.kind() != ErrorKind::Interrupted => {
                    log!(part = "signals", why = error.to_string(), "signals are no longer handled");
                    return;
                }
                _ => {}
            }
            // The shutdown comes first: reading the file may be slow, and the time until the process is killed is
            // limited.
            if self.shutdown_requested.swap(false, Ordering::SeqCst) {
                mailbox.send(OwnerEvent::ShutdownRequested);
            }
            if self.reload_requested.swap(false, Ordering::SeqCst) {
                mailbox.send(OwnerEvent::ConfigReloaded(Config::load_again(file).map(Box::new)));
            }
        }
    }
}
