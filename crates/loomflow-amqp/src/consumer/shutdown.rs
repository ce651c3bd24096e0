//! Graceful shutdown: nothing more is consumed, and what is delivered is settled or returned to its queue.

use super::delivery::{Delivery, Phase};
use super::{Consumer, ConsumerRequest};
use crate::Millis;
use crate::connection::BrokerConnection;
use crate::settlement::MessageOutcome;

impl Consumer {
    /// Begins a graceful shutdown that must be complete by `deadline`: nothing more is consumed, and messages that wait
    /// for the end of a delay are requeued at once.
    pub fn begin_drain(&mut self, deadline: Millis, now: Millis) {
        if self.drain_deadline.is_some() {
            return;
        }
        self.drain_deadline = Some(deadline);
        // Without a completed handshake, there is nothing to settle.
        if let Some(connection) = self.connection.as_mut().filter(|connection| !connection.is_ready()) {
            connection.close();
        }
        let is_settling = |delivery: &Delivery| matches!(delivery.phase, Phase::Settling(_));
        for id in self.deliveries_where(is_settling) {
            self.advance(id, now);
        }
        self.flush(now);
    }

    /// Ends the grace period of the drain: messages that have not been started are returned to their queues.
    pub fn stop_intake(&mut self, now: Millis) {
        self.is_intake_stopped = true;
        let is_not_started =
            |delivery: &Delivery| delivery.is_submitted() && delivery.run_started_at.is_none();
        for id in self.deliveries_where(is_not_started) {
            self.requests.push(ConsumerRequest::Cancel(id));
            self.begin_settlement_with_waiters(id, &MessageOutcome::Returned, now);
        }
        self.flush(now);
    }

    /// Whether the drain is complete or its deadline has passed.
    pub fn is_drained(&self, now: Millis) -> bool {
        let is_closed = || self.connection.as_ref().is_none_or(BrokerConnection::is_closed);
        self.drain_deadline.is_some_and(|deadline| now >= deadline || is_closed())
    }
}
