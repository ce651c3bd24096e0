//! Which unconfirmed commands are sent again once a new link is ready.

use loomflow::interface::{AttemptOutcome, Idempotency};

use super::pending_command::{Delivery, PendingCommand, SentCommand};

/// What becomes of an unconfirmed command once a new link is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// Nothing: it is on the new link already, or must not be sent again.
    Nothing,
    /// It is taken to have arrived.
    Confirm,
    /// Its request has been answered, and the end of its run is not waited for.
    EndRun,
    /// It is sent again.
    Send,
    /// It is sent again right behind a fence, which shows whether the run has reached another call meanwhile.
    SendBehindFence,
}

/// The state of the request that a command belongs to.
#[derive(Clone, Copy, Debug)]
pub struct RequestState {
    /// It has had its response.
    pub is_answered: bool,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// The last reply to its call has been sent a second time.
    pub has_resent_reply: bool,
    /// The engine has reported that all notices from before the new link were repeated.
    pub is_replay_complete: bool,
}

impl PendingCommand {
    /// What becomes of the command once a new link is ready.
    ///
    /// A run is requested again, whatever its effect and however long ago it was sent: the engine does not start one twice.
    /// A reply is sent again only where its request is idempotent, and only after a complete replay: a notice that followed
    /// from the first copy would have been read by then.
    pub fn resend(&self, request: RequestState) -> Resend {
        match (self.delivery, &self.command) {
            (Delivery::InFlight { .. }, _) => Resend::Nothing,
            // After a pause of the machine the loss may be found later than it was.
            (Delivery::Delivered, SentCommand::Run) if !request.is_answered => Resend::Send,
            (Delivery::Delivered, _) => Resend::Confirm,
            _ if request.is_answered => Resend::EndRun,
            (Delivery::NotSent | Delivery::Uncertain, SentCommand::Run) => Resend::Send,
            // The first copy may have arrived even if the second was not sent: a third needs a fence, too.
            (Delivery::NotSent, _) if !request.has_resent_reply => Resend::Send,
            (Delivery::NotSent | Delivery::Uncertain, _) if request.may_repeat_reply() => {
                Resend::SendBehindFence
            }
            (Delivery::NotSent | Delivery::Uncertain, _) => Resend::Nothing,
        }
    }

    /// The outcome of an answered run whose command never arrived, or is not known to have: the engine will not report it.
    pub fn lost_run_outcome(&self) -> Option<AttemptOutcome> {
        match (self.delivery, &self.command) {
            (Delivery::NotSent, SentCommand::Run) => Some(AttemptOutcome::NotStarted),
            (Delivery::NotSent | Delivery::Uncertain, _) => Some(AttemptOutcome::Cancelled),
            (Delivery::InFlight { .. } | Delivery::Delivered, _) => None,
        }
    }
}

impl RequestState {
    fn may_repeat_reply(self) -> bool {
        self.is_replay_complete && self.idempotency == Idempotency::Always
    }
}

#[cfg(test)]
mod tests;
