//! Responses and settlements: handles the outcome of a message, publishes what it requires and settles the delivery.

use std::sync::Arc;

use amq_protocol::protocol::basic::{self, AMQPMethod};

use super::delivery::Delivery;
use super::{Consumer, ConsumerRequest, MessageResponse, Phase, PublishPurpose, micros};
use crate::Millis;
use crate::idempotency::{CopyId, DeliveryId, IdempotencyKey, RunResult};
use crate::message;
use crate::publisher::{PublishId, PublishResult};
use crate::settlement::{
    MessageOutcome, PendingSettlement, ReplyStatus, Republish, Settlement, SettlementAction,
    SettlementContext,
};
use crate::window::{Observation, ObservedOutcome};

impl Consumer {
    /// Records that the run of a message may have started.
    pub fn run_started(&mut self, id: DeliveryId, now: Millis) {
        let Some(delivery) = self.deliveries.get_mut(&id).filter(|delivery| delivery.is_submitted()) else {
            return;
        };
        delivery.run_started_at = Some(now);
        if let Some(key) = &delivery.key {
            self.records.run_started(key);
        }
    }

    /// Handles the response to a submitted message.
    pub fn respond(&mut self, id: DeliveryId, response: MessageResponse, now: Millis) {
        let outcome = match response {
            MessageResponse::Served(body) => MessageOutcome::Finished(RunResult::Served(Arc::from(body))),
            MessageResponse::MayHaveRun => MessageOutcome::Finished(RunResult::Failed),
            MessageResponse::Rejected { .. } if self.is_intake_stopped => MessageOutcome::Returned,
            MessageResponse::Rejected { retry_after, is_final } => {
                MessageOutcome::Rejected { retry_after, is_final }
            }
            MessageResponse::NotRun => MessageOutcome::NotRun,
        };
        if let Some(key) = self.orphaned_runs.remove(&id) {
            let waiters = key.map(|key| self.record_outcome(&key, None, &outcome, now)).unwrap_or_default();
            self.begin_settlements(waiters, &outcome, now);
        } else if self.deliveries.get(&id).is_some_and(Delivery::is_submitted) {
            self.observe(id, &outcome, now);
            self.begin_settlement_with_waiters(id, &outcome, now);
        }
        self.is_dirty = true;
    }

    /// Records the outcome of a key; returns the deliveries that waited for it.
    fn record_outcome(
        &mut self,
        key: &IdempotencyKey,
        copy: Option<CopyId>,
        outcome: &MessageOutcome,
        now: Millis,
    ) -> Vec<DeliveryId> {
        match outcome {
            MessageOutcome::Finished(result) => self.records.run_finished(key, result.clone(), now),
            _ => self.records.not_started(key, copy, now),
        }
    }

    /// Updates the window of a queue with the outcome and times of a message.
    fn observe(&mut self, id: DeliveryId, outcome: &MessageOutcome, now: Millis) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let queue = &mut self.queues[delivery.queue];
        let outcome = match outcome {
            MessageOutcome::Finished(RunResult::Served(_)) => ObservedOutcome::Served,
            MessageOutcome::Rejected { .. } => ObservedOutcome::Rejected,
            _ => ObservedOutcome::Other,
        };
        let observation = Observation {
            outcome,
            broker_time: delivery.sent_at.map(|sent_at| delivery.received_at - sent_at),
            queue_time: delivery.run_started_at.map(|started_at| started_at - delivery.received_at),
            total_time: now - delivery.received_at,
            is_limited: queue.pool.is_full(),
        };
        queue.window.observe(observation, now);
    }

    /// Records the outcome of a message, and begins the settlement of the message and of its waiters.
    pub(super) fn begin_settlement_with_waiters(
        &mut self,
        id: DeliveryId,
        outcome: &MessageOutcome,
        now: Millis,
    ) {
        let delivery = self.deliveries.get(&id);
        let key = delivery.and_then(|delivery| Some((delivery.key.clone()?, delivery.copy())));
        let waiters =
            key.map(|(key, copy)| self.record_outcome(&key, copy, outcome, now)).unwrap_or_default();
        self.begin_settlement(id, outcome, now);
        self.begin_settlements(waiters, outcome, now);
    }

    fn begin_settlements(&mut self, ids: Vec<DeliveryId>, outcome: &MessageOutcome, now: Millis) {
        for id in ids {
            self.begin_settlement(id, outcome, now);
        }
    }

    /// Begins the settlement of a message.
    pub(super) fn begin_settlement(&mut self, id: DeliveryId, outcome: &MessageOutcome, now: Millis) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let classes = &self.settings.classes;
        let deadline = delivery
            .classification
            .zip(delivery.sent_at)
            .map(|(classification, sent_at)| sent_at + classes[classification.class].timeout);
        let context = SettlementContext {
            has_reply_to: message::reply_to(&self.settings, &delivery.properties).is_some(),
            has_dead_letter: self.settings.dead_letter.is_some(),
            retry_count: message::retry_count(&delivery.properties),
            max_retries: self.settings.max_retries,
            has_effect: delivery.classification.is_none_or(|classification| classification.has_effect),
            time_left: deadline.map(|deadline| deadline - now),
            remaining: delivery.remaining,
        };
        let settling = PendingSettlement::new(outcome, context, now);
        if let (Some(key), Some(failure)) = (&delivery.key, settling.failure_before_run()) {
            self.records.failed_before_run(key, delivery.identity(), failure);
        }
        delivery.phase = Phase::Settling(Box::new(settling));
        self.advance(id, now);
    }

    /// Executes the actions of a settlement that are due, and schedules its next deadline.
    pub(super) fn advance(&mut self, id: DeliveryId, now: Millis) {
        loop {
            let Some(delivery) = self.deliveries.get_mut(&id) else { return };
            let Phase::Settling(settling) = &mut delivery.phase else { return };
            if self.drain_deadline.is_some() {
                settling.skip_delay(now);
            }
            let Some(action) = settling.next_action(now) else {
                if let Some(at) = settling.next_deadline() {
                    self.deadlines.insert((micros(at), id));
                }
                return;
            };
            match action {
                SettlementAction::Reply(status) => self.publish_reply(id, &status),
                SettlementAction::Republish(to) => self.republish(id, to),
                SettlementAction::Settle(settlement) => return self.settle(id, settlement),
            }
        }
    }

    /// Allocates a publish id and records the purpose of the publish.
    fn register_publish(&mut self, purpose: PublishPurpose) -> PublishId {
        self.last_publish += 1;
        self.pending_publishes.insert(self.last_publish, purpose);
        self.last_publish
    }

    fn publish_reply(&mut self, id: DeliveryId, status: &ReplyStatus) {
        let publish_id = self.register_publish(PublishPurpose::Reply(id));
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if let Some(publish) = message::reply(&self.settings, &delivery.properties, status, publish_id) {
            self.publisher.enqueue(publish_id, publish);
        }
    }

    fn republish(&mut self, id: DeliveryId, to: Republish) {
        let publish_id = self.register_publish(PublishPurpose::Republish(id, to));
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let queue = &self.settings.queues[delivery.queue].name;
        // A dead letter is no copy that may run.
        if let (Some(key), Republish::Requeue { .. }) = (&delivery.key, to) {
            self.records.republishing(key, delivery.identity(), publish_id);
        }
        let (properties, body) = (&delivery.properties, &delivery.body);
        let publish = message::republished(&self.settings, queue, properties, body, to, publish_id);
        if let Republish::DeadLetter(reason) = to {
            self.requests.push(ConsumerRequest::Log(format!("dead-lettering a message: {reason}")));
        }
        self.publisher.enqueue(publish_id, publish);
    }

    fn settle(&mut self, id: DeliveryId, settlement: Settlement) {
        let Some(delivery) = self.deliveries.remove(&id) else { return };
        self.queues[delivery.queue].pool.settled(delivery.consumer);
        let delivery_tag = delivery.tag;
        let (method, count) = match settlement {
            Settlement::Ack => {
                (AMQPMethod::Ack(basic::Ack { delivery_tag, multiple: false }), &mut self.counts.acks)
            }
            Settlement::Requeue => {
                let nack = basic::Nack { delivery_tag, multiple: false, requeue: true };
                (AMQPMethod::Nack(nack), &mut self.counts.nacks)
            }
            Settlement::Reject(reason) => {
                let line = format!("rejecting a message for the dead letters of its queue: {reason}");
                self.requests.push(ConsumerRequest::Log(line));
                let reject = basic::Reject { delivery_tag, requeue: false };
                (AMQPMethod::Reject(reject), &mut self.counts.rejects)
            }
        };
        *count += 1;
        self.send(Consumer::channel_number(delivery.queue, delivery.consumer), method);
    }

    /// Handles the results of publishes.
    pub(super) fn handle_publish_results(&mut self, results: Vec<(PublishId, PublishResult)>, now: Millis) {
        for (publish_id, result) in results {
            match self.pending_publishes.remove(&publish_id) {
                None => {}
                Some(PublishPurpose::Reply(id)) => self.handle_reply_result(id, result, now),
                Some(PublishPurpose::Republish(id, to)) => {
                    self.handle_republish_result(id, to, publish_id, result, now);
                }
                Some(PublishPurpose::LateStep { key, caller_digest, remaining })
                    if result == PublishResult::Confirmed =>
                {
                    self.records.steps_completed(&key, caller_digest, remaining);
                }
                Some(PublishPurpose::LateStep { .. }) => {}
                Some(PublishPurpose::LateRequeue(key)) => {
                    self.record_requeue_result(&key, publish_id, result);
                }
            }
        }
    }

    /// Records whether the broker accepted a requeued copy, unless that is unknown.
    fn record_requeue_result(&mut self, key: &IdempotencyKey, copy: CopyId, result: PublishResult) {
        if result != PublishResult::Unknown {
            self.records.republished(key, copy, result == PublishResult::Confirmed);
        }
    }

    fn handle_reply_result(&mut self, id: DeliveryId, result: PublishResult, now: Millis) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let Phase::Settling(settling) = &mut delivery.phase else { return };
        settling.reply_published(result, now);
        self.counts.replied += u64::from(result == PublishResult::Confirmed);
        self.continue_settlement(id, now);
    }

    fn handle_republish_result(
        &mut self,
        id: DeliveryId,
        to: Republish,
        publish_id: PublishId,
        result: PublishResult,
        now: Millis,
    ) {
        let is_confirmed = result == PublishResult::Confirmed;
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let Phase::Settling(settling) = &mut delivery.phase else { return };
        settling.republished(result, now);
        if let (Some(key), Republish::Requeue { .. }) = (delivery.key.clone(), to) {
            self.record_requeue_result(&key, publish_id, result);
        }
        let count = match to {
            Republish::Requeue { .. } => &mut self.counts.republished,
            Republish::DeadLetter(_) => &mut self.counts.dead_lettered,
        };
        *count += u64::from(is_confirmed);
        if !is_confirmed {
            self.log(&format!("the broker did not accept a requeued message or dead letter: {result}"));
        }
        self.continue_settlement(id, now);
    }

    /// Records what is left to be done for the caller, and continues the settlement.
    fn continue_settlement(&mut self, id: DeliveryId, now: Millis) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if let (Some(key), Phase::Settling(settling)) = (&delivery.key, &delivery.phase) {
            let caller_digest = message::caller_digest(&delivery.properties);
            self.records.steps_completed(key, caller_digest, settling.remaining_steps());
        }
        self.advance(id, now);
    }
}
