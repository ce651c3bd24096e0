//! Lingering close. Closing a socket that has unread input resets the connection, and the peer loses responses that it has
//! not read yet. So the socket is first shut down for writing, then read until the peer closes its side.

use std::io::Read;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use may::net::TcpStream;

use super::runtime::{is_timeout, set_read_timeout, sleep};
use crate::close_reason::CloseReason;

/// How long to wait for the peer to close its side.
pub const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest single wait, and the most that one wait takes from the total: if it lasted longer because the
/// machine was paused, the peer could not close in the rest of that time.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Bytes read and discarded in each [`READ_INTERVAL`], which limits the cost of a peer that keeps sending.
const READ_BYTES: usize = 4096;
/// Pause after each read that returned bytes.
const READ_INTERVAL: Duration = Duration::from_millis(5);

/// Shuts the connection down for writing and waits until the peer closes it, for at most [`LINGERING_CLOSE_TIMEOUT`].
/// Returns immediately if the peer has already closed or reset the connection.
pub fn lingering_close(mut stream: TcpStream, reason: CloseReason) {
    let is_closed_by_peer = matches!(reason, CloseReason::PeerClosed | CloseReason::Reset);
    if is_closed_by_peer || stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut discarded = [0; READ_BYTES];
    let mut budget = WaitBudget(LINGERING_CLOSE_TIMEOUT);
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

/// Remaining time to wait for the peer to close.
struct WaitBudget(Duration);

impl WaitBudget {
    /// Timeout of the next wait; `None` once no time remains.
    fn next_wait(&self) -> Option<Duration> {
        (!self.0.is_zero()).then(|| self.0.min(MAX_WAIT))
    }

    /// Subtracts `elapsed`, the duration of a wait, from the remaining time, but at most [`MAX_WAIT`].
    fn consume(&mut self, elapsed: Duration) {
        self.0 = self.0.saturating_sub(elapsed.min(MAX_WAIT));
    }
}

#[cfg(test)]
mod tests;
