//! Deliveries: decides how each message is handled and submits it, and abandons the deliveries of a closed channel.

use amq_protocol::protocol::basic::AMQPProperties;
use loomflow_protocol::Malformed;

use super::delivery::{Delivery, Phase};
use super::{Consumer, ConsumerRequest, PublishPurpose, SubmittedMessage};
use crate::Millis;
use crate::connection::Channel;
use crate::content::{Content, Envelope};
use crate::failure_reason::FailureReason;
use crate::idempotency::{DeliveryId, DuplicateDecision, IdempotencyKey, MessageInfo};
use crate::message::{self, Classification};
use crate::remaining_steps::RemainingSteps;
use crate::settlement::{MessageOutcome, PendingSettlement, Republish};

impl Consumer {
    /// Handles the close of the channel of a consumer: its deliveries can no longer be settled and are abandoned.
    pub(super) fn channel_closed(&mut self, channel: Channel, now: Millis) {
        let Some((queue, consumer)) = self.consumer_index(channel) else { return };
        self.queues[queue].pool.channel_closed(consumer, now);
        let is_on_channel = |delivery: &Delivery| (delivery.queue, delivery.consumer) == (queue, consumer);
        let mut waiters = Vec::new();
        for id in self.deliveries_where(is_on_channel) {
            waiters.extend(self.abandon(id, now));
        }
        // Waiters on other channels are processed again: the first of them replaces the abandoned delivery.
        for id in waiters {
            self.process(id, now);
        }
    }

    /// Abandons a delivery that can no longer be settled. The broker will redeliver its message. A run that may have
    /// started continues, so that the redelivery gets its result; otherwise the message is cancelled. Returns the
    /// waiters of the cancelled message.
    pub(super) fn abandon(&mut self, id: DeliveryId, now: Millis) -> Vec<DeliveryId> {
        let Some(delivery) = self.deliveries.remove(&id) else { return Vec::new() };
        let copy = delivery.copy();
        match (delivery.phase, delivery.key) {
            (Phase::Submitted, key) if delivery.run_started_at.is_some() => {
                self.orphaned_runs.insert(id, key);
            }
            (Phase::Submitted, key) => {
                self.requests.push(ConsumerRequest::Cancel(id));
                return key.map(|key| self.records.not_started(&key, copy, now)).unwrap_or_default();
            }
            (Phase::AwaitingOriginal, Some(key)) => self.records.remove_waiter(&key, id),
            (Phase::Settling(settling), Some(key)) => {
                let caller_digest = message::caller_digest(&delivery.properties);
                self.track_late_results(id, &key, caller_digest, &settling);
            }
            (Phase::AwaitingOriginal | Phase::Settling(_), _) => {}
        }
        Vec::new()
    }

    /// Arranges that the results of what was published for an abandoned delivery are still recorded.
    fn track_late_results(
        &mut self,
        id: DeliveryId,
        key: &IdempotencyKey,
        caller_digest: u64,
        settling: &PendingSettlement,
    ) {
        let late_step = |remaining| PublishPurpose::LateStep { key: key.clone(), caller_digest, remaining };
        for purpose in self.pending_publishes.values_mut().filter(|purpose| purpose.is_for(id)) {
            *purpose = match purpose {
                PublishPurpose::Republish(_, Republish::Requeue { .. }) => {
                    PublishPurpose::LateRequeue(key.clone())
                }
                PublishPurpose::Republish(_, Republish::DeadLetter(_)) => {
                    late_step(settling.remaining_after_dead_letter())
                }
                _ => late_step(settling.remaining_after_reply()),
            };
        }
    }

    /// Handles a complete message from the broker, either a delivery or a returned publish.
    pub(super) fn handle_content(
        &mut self,
        channel: Channel,
        content: Content,
        now: Millis,
    ) -> Result<(), Malformed> {
        let deliver = match content.envelope {
            Envelope::Return(_) => {
                if let Some(id) = message::publish_id(&content.properties) {
                    self.publisher.returned(id);
                }
                return Ok(());
            }
            Envelope::Deliver(deliver) => deliver,
        };
        let (queue, consumer) =
            self.consumer_index(channel).ok_or(Malformed("a delivery on a channel without a consumer"))?;
        let id = self.count_delivery(queue, consumer, deliver.redelivered)?;
        let delivery = Delivery {
            queue,
            consumer,
            tag: deliver.delivery_tag,
            classification: None,
            key: None,
            sent_at: self.sent_at(queue, &content.properties, now),
            properties: content.properties,
            body: content.body,
            redelivered: deliver.redelivered,
            received_at: now,
            run_started_at: None,
            remaining: RemainingSteps::ALL,
            phase: Phase::AwaitingOriginal,
        };
        self.deliveries.insert(id, delivery);
        if content.is_too_large {
            self.begin_settlement(id, &MessageOutcome::Failed(FailureReason::TOO_LARGE.into()), now);
        } else {
            self.process(id, now);
        }
        Ok(())
    }

    /// Counts a delivery to a consumer of a queue; returns its id.
    fn count_delivery(
        &mut self,
        queue: usize,
        consumer: usize,
        redelivered: bool,
    ) -> Result<DeliveryId, Malformed> {
        if !self.queues[queue].pool.delivered(consumer) {
            return Err(Malformed("a delivery to a stopped consumer or far beyond its prefetch count"));
        }
        self.last_delivery += 1;
        self.counts.delivered += 1;
        self.counts.redelivered += u64::from(redelivered);
        Ok(self.last_delivery)
    }

    /// When a message was sent, limited to `now` in case the clock of its sender is ahead.
    fn sent_at(&self, queue: usize, properties: &AMQPProperties, now: Millis) -> Option<Millis> {
        let from = self.settings.queues[queue].sent_from.as_ref()?;
        message::sent_at(from, properties).map(|at| (at - self.clock_epoch).min(now))
    }

    /// Determines class, tenant and idempotency key of a message. The error is the reason to dead-letter it.
    fn classify(
        &self,
        delivery: &Delivery,
    ) -> Result<(Classification, Option<IdempotencyKey>), FailureReason> {
        let queue = &self.settings.queues[delivery.queue];
        let classification = message::classify(&self.settings, queue, &delivery.properties)?;
        let key = message::idempotency_key(&queue.key, classification, &delivery.properties)?;
        Ok((classification, key))
    }

    /// Processes a delivery: submits it, lets it wait for the first delivery of its key, or begins its settlement.
    pub(super) fn process(&mut self, id: DeliveryId, now: Millis) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let (classification, key) = match self.classify(delivery) {
            Ok(classified) => classified,
            Err(reason) => return self.begin_settlement(id, &MessageOutcome::Failed(reason.into()), now),
        };
        let info = MessageInfo {
            has_effect: classification.has_effect,
            redelivered: delivery.redelivered,
            identity: delivery.identity(),
            body_digest: self.records.digest(&delivery.body),
        };
        let decision = self.records.decide(id, key.as_ref(), info, now);
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        delivery.classification = Some(classification);
        delivery.key = key;
        match decision {
            DuplicateDecision::Run if self.is_intake_stopped || !self.is_accepting => {
                self.begin_settlement_with_waiters(id, &MessageOutcome::Returned, now);
            }
            DuplicateDecision::Run => self.submit(id, classification, now),
            DuplicateDecision::AwaitOriginal => delivery.phase = Phase::AwaitingOriginal,
            DuplicateDecision::Superseded => self.begin_settlement(id, &MessageOutcome::Superseded, now),
            DuplicateDecision::ReplyFromRecord { result, remaining } => {
                delivery.remaining = remaining;
                self.begin_settlement(id, &MessageOutcome::Finished(result), now);
            }
            DuplicateDecision::RepeatFailure { failure, remaining } => {
                delivery.remaining = remaining;
                self.begin_settlement(id, &MessageOutcome::Failed(failure), now);
            }
            DuplicateDecision::MayHaveRun { remaining } => {
                delivery.remaining = remaining;
                self.begin_settlement(id, &MessageOutcome::MayHaveRun, now);
            }
            DuplicateDecision::BodyMismatch => {
                // The record belongs to the other message, so the outcome of this one must not be recorded.
                delivery.key = None;
                self.begin_settlement(id, &MessageOutcome::Failed(FailureReason::KEY_MISMATCH.into()), now);
            }
        }
    }

    fn submit(&mut self, id: DeliveryId, classification: Classification, now: Millis) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        delivery.phase = Phase::Submitted;
        self.requests.push(ConsumerRequest::Submit(SubmittedMessage {
            id,
            queue: delivery.queue,
            classification,
            key: delivery.key.as_ref().map(|key| key.text.clone()),
            body: delivery.body.clone(),
            redelivered: delivery.redelivered,
            upstream_time: delivery.sent_at.map_or(0.0, |sent_at| now - sent_at),
        }));
    }
}
