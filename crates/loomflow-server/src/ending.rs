//! Every way in which a connection can end, as one type, and what each means for what was said on it.

use std::io;

use loomflow::interface::Outcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nobody listens there.
    Refused,
    /// It could not be opened for another reason, or not in time.
    NotOpened,
    /// The peer closed it in order.
    PeerClosed,
    /// The peer or the system broke it off.
    Reset,
    /// The peer said what is no message of the protocol.
    Malformed(&'static str),
    /// We closed it: it was idle.
    Idle,
    /// We closed it: a message on it can no longer be of use.
    GivenUp,
}

impl Ending {
    /// Why a connection could not be opened.
    pub fn of_connect(error: &io::Error) -> Ending {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Ending::Refused,
            _ => Ending::NotOpened,
        }
    }

    /// Whether what is open on the connection of a gateway is still answered: the peer has said what is no message,
    /// and hears so. In the other cases nobody is there to hear it.
    pub fn is_answered(self) -> bool {
        matches!(self, Ending::Malformed(_))
    }

    /// The one place where an ending becomes an outcome. `sent`: the whole message had been handed to the
    /// system, so that it may have arrived.
    pub fn outcome(self, sent: bool) -> Outcome {
        match self {
            Ending::Refused | Ending::NotOpened => Outcome::Unreachable,
            _ if !sent => Outcome::Unreachable,
            Ending::PeerClosed | Ending::Reset | Ending::Malformed(_) | Ending::Idle | Ending::GivenUp => {
                Outcome::Broken
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_refused_or_never_sent_never_ran_and_the_rest_may_have() {
        let opened =
            [Ending::PeerClosed, Ending::Reset, Ending::Malformed("x"), Ending::Idle, Ending::GivenUp];
        for ending in opened {
            assert_eq!(ending.outcome(true), Outcome::Broken, "{ending:?}");
            assert_eq!(ending.outcome(false), Outcome::Unreachable, "{ending:?}");
        }
        for ending in [Ending::Refused, Ending::NotOpened] {
            assert_eq!(ending.outcome(true), Outcome::Unreachable, "{ending:?}");
        }
    }
}
