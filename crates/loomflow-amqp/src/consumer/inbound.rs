//! Messages in: what a consumer delivers is decided upon and submitted; what is lost with its channel is abandoned.

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
use crate::settlement::MessageOutcome;

impl Consumer {
    /// A consumer's channel is closed, and with it everything that could have been settled there.
    pub(super) fn channel_closed(&mut self, channel: Channel, now: Millis) {
        let Some((queue, consumer)) = self.consumer_of(channel) else { return };
        self.queues[queue].pool.channel_closed(consumer, now);
        let is_on_channel = |delivery: &Delivery| (delivery.queue, delivery.consumer) == (queue, consumer);
        let mut waiters = Vec::new();
        for id in self.deliveries_where(is_on_channel) {
            waiters.extend(self.abandon(id, now));
        }
        // Those that waited on other channels are decided upon anew: one of them is the original now.
        for id in waiters {
            self.process(id, now);
        }
    }

    /// A delivery cannot be settled any more; the broker will deliver its message again. A run continues, for the redelivery;
    /// what has not been started is dropped. Returns the deliveries that waited for it.
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
            (Phase::AwaitingOriginal, Some(key)) => self.records.leave(&key, id),
            (Phase::Settling(settling), Some(key)) if settling.awaits_reply_confirm() => {
                self.expect_late_reply(id, key, &delivery.properties);
            }
            (Phase::AwaitingOriginal | Phase::Settling(_), _) => {}
        }
        Vec::new()
    }

    /// The reply of an abandoned delivery may still be confirmed: its caller is answered then.
    fn expect_late_reply(&mut self, id: DeliveryId, key: IdempotencyKey, properties: &AMQPProperties) {
        let is_its_reply =
            |purpose: &&mut PublishPurpose| matches!(purpose, PublishPurpose::Reply(of) if *of == id);
        if let Some(purpose) = self.pending_publishes.values_mut().find(is_its_reply) {
            *purpose = PublishPurpose::LateReply(key, message::caller_digest(properties));
        }
    }

    /// Handles a message of the broker.
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
            self.consumer_of(channel).ok_or(Malformed("a message on a channel without a consumer"))?;
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
            phase: Phase::AwaitingOriginal,
        };
        self.deliveries.insert(id, delivery);
        if content.is_too_large {
            self.begin_settlement(id, &MessageOutcome::Invalid(FailureReason::TOO_LARGE), now);
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
            return Err(Malformed("far more messages than were asked for"));
        }
        self.last_delivery += 1;
        self.counts.delivered += 1;
        self.counts.redelivered += u64::from(redelivered);
        Ok(self.last_delivery)
    }

    /// When a message was sent; never later than now, whatever the sender's clock says.
    fn sent_at(&self, queue: usize, properties: &AMQPProperties, now: Millis) -> Option<Millis> {
        let from = self.settings.queues[queue].sent_from.as_ref()?;
        message::sent_at(from, properties).map(|at| (at - self.clock_epoch).min(now))
    }

    /// Class, tenant and key of a message. The error is the reason why it is invalid.
    fn classify(
        &self,
        delivery: &Delivery,
    ) -> Result<(Classification, Option<IdempotencyKey>), FailureReason> {
        let queue = &self.settings.queues[delivery.queue];
        let classification = message::classify(&self.settings, queue, &delivery.properties)?;
        let key = message::idempotency_key(&queue.key, classification, &delivery.properties)?;
        Ok((classification, key))
    }

    /// Decides about a delivery: submits it, lets it wait for its original, or finishes it.
    pub(super) fn process(&mut self, id: DeliveryId, now: Millis) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let (classification, key) = match self.classify(delivery) {
            Ok(classified) => classified,
            Err(why) => return self.begin_settlement(id, &MessageOutcome::Invalid(why), now),
        };
        let info = MessageInfo {
            has_effect: classification.has_effect,
            redelivered: delivery.redelivered,
            copy: delivery.copy(),
            caller_digest: message::caller_digest(&delivery.properties),
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
            DuplicateDecision::Superseded | DuplicateDecision::AnswerFromRecord { is_answered: true, .. } => {
                self.begin_settlement(id, &MessageOutcome::AlreadyAnswered, now);
            }
            DuplicateDecision::AnswerFromRecord { result, .. } => {
                self.begin_settlement(id, &MessageOutcome::Finished(result), now);
            }
            DuplicateDecision::MayHaveRun => self.begin_settlement(id, &MessageOutcome::MayHaveRun, now),
            DuplicateDecision::BodyMismatch => {
                // What becomes of it is nothing to the original of its key.
                delivery.key = None;
                self.begin_settlement(id, &MessageOutcome::Invalid(FailureReason::KEY_MISMATCH), now);
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
