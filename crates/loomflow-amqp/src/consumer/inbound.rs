//! Messages in: what comes on a lane is read, judged and offered; what goes with its channel is let go.

use amq_protocol::protocol::basic::AMQPProperties;
use loomflow_protocol::Malformed;

use super::{Consumer, ConsumerRequest, Delivery, Phase, PublishPurpose, SubmittedMessage};
use crate::connection::Channel;
use crate::content::{Content, Envelope};
use crate::idempotency::{DeliveryId, DuplicateDecision, MessageInfo};
use crate::message;
use crate::settlement::MessageOutcome;

impl Consumer {
    /// A lane's channel is gone, and with it all that could have been settled there.
    pub(super) fn channel_closed(&mut self, channel: Channel, now: f64) {
        let Some((queue, lane)) = self.consumer_of(channel) else { return };
        self.queues[queue].pool.channel_closed(lane, now);
        let on_it = |d: &Delivery| (d.queue, d.consumer) == (queue, lane);
        let gone: Vec<DeliveryId> =
            self.deliveries.iter().filter(|(_, d)| on_it(d)).map(|(id, _)| *id).collect();
        let waiting: Vec<DeliveryId> =
            gone.into_iter().filter_map(|id| self.abandon(id, now)).flatten().collect();
        // Those that waited on other channels are looked at anew: one of them is the first now.
        for id in waiting {
            self.process(id, now);
        }
    }

    /// A delivery cannot be settled any more; the broker will deliver its message again. A run goes on, for the
    /// redelivery; what has not begun is dropped. The answer is who waited for it.
    pub(super) fn abandon(&mut self, id: DeliveryId, now: f64) -> Option<Vec<DeliveryId>> {
        let delivery = self.deliveries.remove(&id)?;
        match (delivery.phase, delivery.key) {
            (Phase::Submitted, key) if delivery.run_started_at.is_some() => {
                self.orphaned_runs.insert(id, key);
                None
            }
            (Phase::Submitted, key) => {
                self.requests.push(ConsumerRequest::Cancel(id));
                let instance = message::publish_id(&delivery.properties);
                key.map(|key| self.records.not_started(&key, instance, now))
            }
            (Phase::AwaitingOriginal, key) => {
                if let Some(key) = key {
                    self.records.leave(&key, id);
                }
                None
            }
            (Phase::Settling(exit), Some(key)) if exit.awaits_reply_confirm() => {
                let mark = message::caller_digest(&delivery.properties);
                let reply = self
                    .pending_publishes
                    .values_mut()
                    .find(|what| matches!(what, PublishPurpose::Reply(of) if *of == id));
                if let Some(what) = reply {
                    *what = PublishPurpose::LateReply(key, mark);
                }
                None
            }
            (Phase::Settling(_), _) => None,
        }
    }

    pub(super) fn handle_content(
        &mut self,
        channel: Channel,
        content: Content,
        now: f64,
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
        let Some((queue, lane)) = self.consumer_of(channel) else {
            return Err(Malformed("a message on a channel without a consumer"));
        };
        if !self.queues[queue].pool.delivered(lane) {
            return Err(Malformed("far more messages than were asked for"));
        }
        self.last_delivery += 1;
        let id = self.last_delivery;
        self.counts.delivered += 1;
        self.counts.redelivered += u64::from(deliver.redelivered);
        let delivery = Delivery {
            queue,
            consumer: lane,
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
            self.finish(id, &MessageOutcome::Invalid("too-large"), now);
        } else {
            self.process(id, now);
        }
        Ok(())
    }

    /// When a message was sent, on our clock, ms; never later than now, whatever the sender's clock says.
    fn sent_at(&self, queue: usize, properties: &AMQPProperties, now: f64) -> Option<f64> {
        let from = self.settings.queues[queue].sent_from.as_ref()?;
        message::sent_at(from, properties).map(|at| (at - self.clock_epoch).min(now))
    }

    /// Looks at a message in hand, and offers it, lets it wait or ends it.
    pub(super) fn process(&mut self, id: DeliveryId, now: f64) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let queue = &self.settings.queues[delivery.queue];
        let read = message::classify(&self.settings, queue, &delivery.properties).and_then(|place| {
            Ok((place, message::idempotency_key(&queue.key, place, &delivery.properties)?))
        });
        let (place, key) = match read {
            Ok(read) => read,
            Err(why) => return self.finish(id, &MessageOutcome::Invalid(why), now),
        };
        delivery.classification = Some(place);
        delivery.key = key.clone();
        let redelivered = delivery.redelivered;
        let spent = delivery.sent_at.map_or(0.0, |sent| now - sent);
        let hints = MessageInfo {
            has_effect: place.has_effect,
            redelivered,
            copy: message::publish_id(&delivery.properties),
            caller_digest: message::caller_digest(&delivery.properties),
            body_digest: self.records.digest(&delivery.body),
        };
        match self.records.decide(id, key.as_ref(), hints, now) {
            DuplicateDecision::Run if self.is_intake_stopped || !self.is_accepting => {
                self.finish_with_waiters(id, &MessageOutcome::Returned, now)
            }
            DuplicateDecision::Run => {
                delivery.phase = Phase::Submitted;
                let (queue, body) = (delivery.queue, delivery.body.clone());
                let key = key.map(|key| key.text);
                self.requests.push(ConsumerRequest::Submit(SubmittedMessage {
                    id,
                    queue,
                    classification: place,
                    key,
                    body,
                    redelivered,
                    upstream_time: spent,
                }));
            }
            DuplicateDecision::AwaitOriginal => delivery.phase = Phase::AwaitingOriginal,
            DuplicateDecision::Superseded | DuplicateDecision::AnswerFromRecord { is_answered: true, .. } => {
                self.finish(id, &MessageOutcome::AlreadyAnswered, now)
            }
            DuplicateDecision::AnswerFromRecord { result: ended, .. } => {
                self.finish(id, &MessageOutcome::Finished(ended), now)
            }
            DuplicateDecision::MayHaveRun => self.finish(id, &MessageOutcome::MayHaveRun, now),
            DuplicateDecision::BodyMismatch => {
                // What becomes of it is nothing to the one whose key it bears.
                delivery.key = None;
                self.finish(id, &MessageOutcome::Invalid("key-of-another"), now);
            }
        }
    }
}
