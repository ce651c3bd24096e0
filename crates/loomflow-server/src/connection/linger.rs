//! The end of a connection: a close over unread bytes would reset it and discard responses that the peer has not read, so
//! the connection is shut down for writing first and read until the peer closes, too.

use std::io::Read;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use may::net::TcpStream;

use super::runtime::{is_timeout, set_read_timeout, sleep};
use crate::close_reason::CloseReason;

/// How long a closed connection waits for its peer to close, too.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum time that counts for a single wait: the peer could not close while the machine was paused.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// What is read while lingering is discarded, at most this much in each interval, so that a flood costs little.
const READ_BYTES: usize = 4096;
const READ_INTERVAL: Duration = Duration::from_millis(5);

/// Shuts the connection down for writing and waits until the peer has closed it.
pub fn linger(mut stream: TcpStream, reason: CloseReason) {
    let is_closed_by_peer = matches!(reason, CloseReason::PeerClosed | CloseReason::Reset);
    if is_closed_by_peer || stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut discarded = [0; READ_BYTES];
    let mut budget = LingerBudget(LINGER_TIMEOUT);
    while let Some(wait) = budget.next_wait() {
        let started_at = Instant::now();
        if set_read_timeout(&stream, wait).is_err() {
            return;
        }
        match stream.read(&mut discarded) {
            Ok(1..) => sleep(READ_INTERVAL),
            Err(error) if is_timeout(&error) => {}
            _ => return,
        }
        budget.consume(started_at.elapsed());
    }
}

/// The remaining time in which a closed connection is read.
struct LingerBudget(Duration);

impl LingerBudget {
    /// How long the next wait may take; none once the time is over.
    fn next_wait(&self) -> Option<Duration> {
        (!self.0.is_zero()).then(|| self.0.min(MAX_WAIT))
    }

    /// Accounts for a wait that took `elapsed` by the clock.
    fn consume(&mut self, elapsed: Duration) {
        self.0 = self.0.saturating_sub(elapsed.min(MAX_WAIT));
    }
}

#[cfg(test)]
mod tests;
