//! Why a connection was closed, and what that means for the messages that were sent on it.

use std::fmt;
use std::io;

use loomflow::interface::AttemptOutcome;

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Nobody listens at the address.
    ConnectionRefused,
    /// It could not be opened for another reason, or not in time.
    ConnectFailed,
    /// The peer closed it in order.
    PeerClosed,
    /// The peer or the system reset it.
    Reset,
    /// The peer sent something that is no message of the protocol.
    ProtocolViolation(&'static str),
    /// This server closed it because it was idle.
    IdleTimeout,
    /// This server closed it because nothing on it can be of use any more.
    Aborted,
}

impl CloseReason {
    /// Why a connection could not be opened.
    pub fn from_connect_error(error: &io::Error) -> CloseReason {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => CloseReason::ConnectionRefused,
            _ => CloseReason::ConnectFailed,
        }
    }

    /// Whether open requests of a gateway still get a response: after a protocol violation the peer is there to read
    /// it, in all other cases it is not.
    pub fn is_reported_to_peer(self) -> bool {
        matches!(self, CloseReason::ProtocolViolation(_))
    }

    /// The outcome of a message on the connection; the only place where a reason becomes an outcome. `is_sent`: the
    /// complete message had been handed to the system, so that it may have arrived.
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

/// The words of the log's field `ending`.
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
