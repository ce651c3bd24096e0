//! Commands that the engine has not confirmed, and what is known of each after its link was lost.

use loomflow::time::Millis;
use loomflow_protocol::AttemptId;
use loomflow_protocol::engine::Command;

use super::LostLink;
use crate::mailbox::LinkId;

/// A command that was sent this long before its link was lost is taken to have arrived. Only commands of the last 50 ms
/// can be lost; the rest covers how late they may have been written and the loss be noticed.
const UNCERTAIN_WINDOW_MS: Millis = 250.0;

/// A command that no notice has confirmed.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingCommand {
    /// What was sent to the engine.
    pub command: SentCommand,
    /// What is known of its way to the engine.
    pub delivery: Delivery,
    /// When it was sent.
    pub sent_at: Millis,
}

/// The commands that are sent again after a lost link, with what it takes to do so.
#[derive(Clone, Debug, PartialEq)]
pub enum SentCommand {
    /// To run the request.
    Run,
    /// The reply to the call of a run.
    Reply(Vec<u8>),
    /// To go on without the call.
    SkipCall,
}

impl SentCommand {
    /// The command as it is sent again.
    pub fn to_command<'a>(&'a self, id: AttemptId, class: &'a str, body: &'a [u8]) -> Command<'a> {
        match self {
            SentCommand::Run => Command::Run { id, class, body },
            SentCommand::Reply(reply) => Command::Feed { id, reply },
            SentCommand::SkipCall => Command::Skip { id },
        }
    }
}

/// What is known of a command's way to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It cannot have arrived.
    NotSent,
    /// Queued on a link that is up.
    InFlight {
        /// The link.
        link: LinkId,
        /// The position of its last byte among all bytes of the link.
        end: u64,
    },
    /// Its link was lost right after it was sent: it may have arrived or not.
    Uncertain,
    /// Its link was lost long after it was sent, by our clock: it is taken to have arrived.
    Delivered,
}

impl PendingCommand {
    /// What is known once a link was lost.
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
