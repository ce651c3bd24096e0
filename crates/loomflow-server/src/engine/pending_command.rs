//! Commands that no notice of the engine has confirmed, and whether each may have arrived when its link is lost.

use loomflow::time::Millis;
use loomflow_protocol::AttemptId;
use loomflow_protocol::engine::Command;

use super::LostLink;
use crate::mailbox::LinkId;

/// A command that was sent earlier than this before the loss of its link is assumed to have arrived. Only commands of
/// the last 50 ms can be lost; the other 200 ms allow for late writes and late detection of the loss.
const UNCERTAIN_WINDOW_MS: Millis = 250.0;

/// A command that no notice has confirmed, for a request in the request table.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingCommand {
    /// The command, with the data that is needed to send it again.
    pub command: SentCommand,
    /// Whether it has arrived at the engine, as far as is known.
    pub delivery: Delivery,
    /// When the command was last sent or was to be sent.
    pub sent_at: Millis,
}

/// The kinds of commands that are sent again after the loss of a link. [`SentCommand::to_command`] adds the other
/// fields.
#[derive(Clone, Debug, PartialEq)]
pub enum SentCommand {
    /// Starts the run.
    Run,
    /// Passes this reply to the run's downstream call.
    Reply(Vec<u8>),
    /// Continues the run without its downstream call.
    SkipCall,
}

impl SentCommand {
    /// Builds the command for a resend. `id`, `class` and `body` are those of the request.
    pub fn to_command<'a>(&'a self, id: AttemptId, class: &'a str, body: &'a [u8]) -> Command<'a> {
        match self {
            SentCommand::Run => Command::Run { id, class, body },
            SentCommand::Reply(reply) => Command::Feed { id, reply },
            SentCommand::SkipCall => Command::Skip { id },
        }
    }
}

/// Whether a command has arrived at the engine, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The command was not written to a link, or not completely, and cannot have arrived.
    NotSent,
    /// Queued on a link that has not been lost.
    InFlight {
        /// Id of the link.
        link: LinkId,
        /// Position of the end of the command among all bytes that were queued on the link.
        end: u64,
    },
    /// The link was lost within [`UNCERTAIN_WINDOW_MS`] after the command was sent: it may have arrived or not.
    Uncertain,
    /// The link was lost more than [`UNCERTAIN_WINDOW_MS`] after the command was sent, by the clock of this server:
    /// it is assumed to have arrived.
    Delivered,
}

impl PendingCommand {
    /// Returns the delivery state after the loss of a link.
    pub fn delivery_after(&self, lost: LostLink, now: Millis) -> Delivery {
        match self.delivery {
            Delivery::InFlight { link, end } if link == lost.link => {
                if end > lost.bytes_written {
                    Delivery::NotSent
                } else if now - self.sent_at > UNCERTAIN_WINDOW_MS {
                    Delivery::Delivered
                } else {
                    Delivery::Uncertain
                }
            }
            other => other,
        }
    }
}

#[cfg(test)]
mod tests;
