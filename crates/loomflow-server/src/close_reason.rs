//! Reasons for closing a connection, and the outcome of the messages that were sent on it.

use std::fmt;
use std::io;

use loomflow::interface::AttemptOutcome;

/// Why a connection was closed or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connect was refused: nothing listens at the address.
    ConnectionRefused,
    /// The connect timed out or failed for a reason other than a refusal.
    ConnectFailed,
    /// The peer closed the connection without a reset.
    PeerClosed,
    /// The connection was reset, or reading or writing failed.
    Reset,
    /// The peer violated the protocol; the text says how.
    ProtocolViolation(&'static str),
    /// This server closed the connection because it was idle.
    IdleTimeout,
    /// This server aborted the connection: the peer does not read or has stalled, or the connection is no longer needed.
    Aborted,
}

impl CloseReason {
    /// The reason for a failed connect.
    pub fn from_connect_error(error: &io::Error) -> CloseReason {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => CloseReason::ConnectionRefused,
            _ => CloseReason::ConnectFailed,
        }
    }

    /// Whether the open requests of a gateway still get a response: only after a protocol violation, because then the peer is
    /// still connected and can read it.
    pub fn is_reported_to_peer(self) -> bool {
        matches!(self, CloseReason::ProtocolViolation(_))
    }

    /// The outcome of a message that was sent or queued on the connection; no other code maps reasons to outcomes.
    /// `is_sent`: the complete message had been written to the socket, so it may have reached the peer.
    pub fn outcome(self, is_sent: bool) -> AttemptOutcome {
        match self {
            CloseReason::ConnectionRefused | CloseReason::ConnectFailed => AttemptOutcome::Unreachable,
            _ if !is_sent => AttemptOutcome::Unreachable,
            CloseReason::PeerClosed
            | CloseReason::Reset
            | CloseReason::ProtocolViolation(_)
            | CloseReason::IdleTimeout
            | CloseReason::Aborted => AttemptOutcome::ConnectionLost,
        }
    }
}

/// The value of the log key `ending`.
impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::ConnectionRefused => f.write_str("Refused"),
            CloseReason::ConnectFailed => f.write_str("NotOpened"),
            CloseReason::PeerClosed => f.write_str("PeerClosed"),
            CloseReason::Reset => f.write_str("Reset"),
            CloseReason::ProtocolViolation(violation) => write!(f, "Malformed({violation:?})"),
            CloseReason::IdleTimeout => f.write_str("Idle"),
            CloseReason::Aborted => f.write_str("GivenUp"),
        }
    }
}

#[cfg(test)]
mod tests;
