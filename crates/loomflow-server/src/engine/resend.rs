//! Decides which unconfirmed commands are sent again once a new link is ready.

use loomflow::interface::{AttemptOutcome, Idempotency};

use super::pending_command::{Delivery, PendingCommand, SentCommand};

/// What to do with an unconfirmed command once a new link is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// Keep it as it is: it was queued on the new link already, or must not be sent again.
    Nothing,
    /// Treat it as confirmed, because it is assumed to have arrived.
    Confirm,
    /// End the run without a report from the engine, because the response to the request has been sent.
    EndRun,
    /// Send it again.
    Send,
    /// Send a fence, and the command after it. If the run requests another call before the engine has replied to the
    /// fence, the run may have taken this copy for the reply to that call.
    SendBehindFence,
}

/// State of the request that a command belongs to.
#[derive(Clone, Copy, Debug)]
pub struct RequestState {
    /// Whether the response to the request has been sent.
    pub has_response: bool,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Whether the reply to the run's latest downstream call has been sent a second time.
    pub has_resent_reply: bool,
    /// Whether the engine has confirmed that it repeated all notices from before the new link.
    pub is_replay_complete: bool,
}

impl PendingCommand {
    /// Returns what to do with the command once a new link is ready.
    ///
    /// A `RUN` is sent again whatever the idempotency of the request and however old the command: the engine does not
    /// start the same run twice. A reply that may have arrived is sent again only if the request is idempotent, and
    /// only after a confirmed replay: any notice that the first copy caused has been read by then.
    pub fn resend(&self, request: RequestState) -> Resend {
        match (self.delivery, &self.command) {
            (Delivery::InFlight { .. }, _) => Resend::Nothing,
            // After a suspension of the machine the loss may be detected late, so the command may not have arrived
            // after all.
            (Delivery::Delivered, SentCommand::Run) if !request.has_response => Resend::Send,
            (Delivery::Delivered, _) => Resend::Confirm,
            _ if request.has_response => Resend::EndRun,
            (Delivery::NotSent | Delivery::Uncertain, SentCommand::Run) => Resend::Send,
            // If the reply has been sent twice, the first copy may have arrived although the second did not: a third
            // copy needs a fence as well.
            (Delivery::NotSent, _) if !request.has_resent_reply => Resend::Send,
            (Delivery::NotSent | Delivery::Uncertain, _) if request.may_repeat_reply() => {
                Resend::SendBehindFence
            }
            (Delivery::NotSent | Delivery::Uncertain, _) => Resend::Nothing,
        }
    }

    /// Returns the outcome of a run whose request has its response and whose command may not have arrived, so that the
    /// engine may never report its end. None if the engine will report it.
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
