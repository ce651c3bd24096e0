//! Answers out: what an offer ended as, what is published for it, and the word that settles it.

use std::sync::Arc;

use amq_protocol::protocol::basic::{self, AMQPMethod};

use super::{Consumer, ConsumerRequest, Delivery, MessageResponse, Phase, PublishPurpose, micros};
use crate::idempotency::{CopyId, DeliveryId, IdempotencyKey, RunResult};
use crate::message;
use crate::publisher::{PublishId, PublishResult};
use crate::settlement::{
    MessageOutcome, ReplyStatus, Republish, Settlement, SettlementAction, SettlementContext, Settling,
};
use crate::window::{self, Observation};

impl Consumer {
    /// Its run may begin from now on.
    pub fn run_started(&mut self, id: DeliveryId, now: f64) {
        let offered = |d: &&mut Delivery| matches!(d.phase, Phase::Submitted);
        let Some(delivery) = self.deliveries.get_mut(&id).filter(offered) else { return };
        delivery.run_started_at = Some(now);
        if let Some(key) = &delivery.key {
            self.records.run_started(key);
        }
    }

    /// The answer to an offer.
    pub fn respond(&mut self, id: DeliveryId, ending: MessageResponse, now: f64) {
        let ended = match ending {
            MessageResponse::Served(body) => MessageOutcome::Finished(RunResult::Served(Arc::from(body))),
            MessageResponse::MayHaveRun => MessageOutcome::Finished(RunResult::Failed),
            MessageResponse::Rejected { .. } if self.is_intake_stopped => MessageOutcome::Returned,
            MessageResponse::Rejected { retry_after: pause, is_final: last } => {
                MessageOutcome::Rejected { retry_after: pause, is_final: last }
            }
            MessageResponse::NotRun => MessageOutcome::NotRun,
        };
        if let Some(key) = self.orphaned_runs.remove(&id) {
            let waiting = key.map(|key| self.finish_key(&key, None, &ended, now)).unwrap_or_default();
            waiting.into_iter().for_each(|id| self.finish(id, &ended, now));
        } else if self.deliveries.get(&id).is_some_and(|d| matches!(d.phase, Phase::Submitted)) {
            self.observe(id, &ended, now);
            self.finish_with_waiters(id, &ended, now);
        }
        self.is_dirty = true;
    }

    /// What an ending tells of a key; who waited for it is the answer.
    fn finish_key(
        &mut self,
        key: &IdempotencyKey,
        instance: Option<CopyId>,
        ended: &MessageOutcome,
        now: f64,
    ) -> Vec<DeliveryId> {
        match ended {
            MessageOutcome::Finished(done) => self.records.run_finished(key, done.clone(), now),
            _ => self.records.not_started(key, instance, now),
        }
    }

    fn observe(&mut self, id: DeliveryId, ended: &MessageOutcome, now: f64) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let source = &mut self.queues[delivery.queue];
        let how = match ended {
            MessageOutcome::Finished(RunResult::Served(_)) => window::Outcome::Served,
            MessageOutcome::Rejected { .. } => window::Outcome::Rejected,
            _ => window::Outcome::Other,
        };
        source.window.observe(
            Observation {
                outcome: how,
                broker_time: delivery.sent_at.map(|at| delivery.received_at - at),
                queue_time: delivery.run_started_at.map(|at| at - delivery.received_at),
                total_time: now - delivery.received_at,
                is_limited: source.pool.is_full(),
            },
            now,
        );
    }

    /// A message has ended, and all that waited for it with it.
    pub(super) fn finish_with_waiters(&mut self, id: DeliveryId, ended: &MessageOutcome, now: f64) {
        let of = self.deliveries.get(&id).map(|d| (d.key.clone(), message::publish_id(&d.properties)));
        let waiting = match of {
            Some((Some(key), instance)) => self.finish_key(&key, instance, ended, now),
            _ => Vec::new(),
        };
        self.finish(id, ended, now);
        waiting.into_iter().for_each(|id| self.finish(id, ended, now));
    }

    pub(super) fn finish(&mut self, id: DeliveryId, ended: &MessageOutcome, now: f64) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let terms = SettlementContext {
            has_reply_to: message::reply_to(&self.settings, &delivery.properties).is_some(),
            has_dead_letter: self.settings.dead_letter.is_some(),
            retry_count: message::retry_count(&delivery.properties),
            max_retries: self.settings.max_retries,
            has_effect: delivery.classification.is_none_or(|place| place.has_effect),
            time_left: delivery
                .classification
                .zip(delivery.sent_at)
                .map(|(place, sent)| sent + self.settings.classes[place.class].timeout - now),
        };
        delivery.phase = Phase::Settling(Settling::new(ended, terms, now));
        self.advance(id, now);
    }

    /// Does what an exit wants done.
    pub(super) fn advance(&mut self, id: DeliveryId, now: f64) {
        loop {
            let Some(delivery) = self.deliveries.get_mut(&id) else { return };
            let Phase::Settling(exit) = &mut delivery.phase else { return };
            if self.drain_deadline.is_some() {
                exit.skip_backoff(now);
            }
            let Some(what) = exit.next_action(now) else {
                if let Some(at) = exit.next_deadline() {
                    self.deadlines.insert((micros(at), id));
                }
                return;
            };
            match what {
                SettlementAction::Reply(status) => self.publish_reply(id, &status),
                SettlementAction::Republish(to) => self.republish(id, to),
                SettlementAction::Settle(how) => return self.settle(id, how),
            }
        }
    }

    fn publish_id(&mut self, what: PublishPurpose) -> PublishId {
        self.last_publish += 1;
        self.pending_publishes.insert(self.last_publish, what);
        self.last_publish
    }

    fn publish_reply(&mut self, id: DeliveryId, status: &ReplyStatus) {
        let number = self.publish_id(PublishPurpose::Reply(id));
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if let Some(publish) = message::reply(&self.settings, &delivery.properties, status, number) {
            self.publisher.enqueue(number, publish);
        }
    }

    fn republish(&mut self, id: DeliveryId, to: Republish) {
        let number = self.publish_id(PublishPurpose::Republish(id, to));
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let queue = &self.settings.queues[delivery.queue].name;
        if let Some(key) = &delivery.key {
            self.records.republishing(key, message::publish_id(&delivery.properties), number);
        }
        let publish =
            message::republished(&self.settings, queue, &delivery.properties, &delivery.body, to, number);
        if let Republish::DeadLetter(reason) = to {
            self.requests.push(ConsumerRequest::Log(format!("a message was given up: {reason}")));
        }
        self.publisher.enqueue(number, publish);
    }

    fn settle(&mut self, id: DeliveryId, how: Settlement) {
        let Some(delivery) = self.deliveries.remove(&id) else { return };
        self.queues[delivery.queue].pool.settled(delivery.consumer);
        let delivery_tag = delivery.tag;
        let (method, count) = match how {
            Settlement::Ack => {
                (AMQPMethod::Ack(basic::Ack { delivery_tag, multiple: false }), &mut self.counts.acked)
            }
            Settlement::Requeue => {
                let nack = basic::Nack { delivery_tag, multiple: false, requeue: true };
                (AMQPMethod::Nack(nack), &mut self.counts.requeued)
            }
            Settlement::Reject => {
                let reject = basic::Reject { delivery_tag, requeue: false };
                (AMQPMethod::Reject(reject), &mut self.counts.rejected)
            }
        };
        *count += 1;
        self.send(Consumer::channel_of(delivery.queue, delivery.consumer), method);
    }

    /// What became of publishes.
    pub(super) fn publishes_finished(&mut self, fates: Vec<(PublishId, PublishResult)>, now: f64) {
        for (number, fate) in fates {
            let Some(what) = self.pending_publishes.remove(&number) else { continue };
            let (id, to) = match what {
                PublishPurpose::Reply(id) => (id, None),
                PublishPurpose::Republish(id, to) => (id, Some(to)),
                PublishPurpose::LateReply(key, mark) => {
                    if fate == PublishResult::Confirmed {
                        self.records.caller_answered(&key, mark);
                    }
                    continue;
                }
            };
            let Some(delivery) = self.deliveries.get_mut(&id) else { continue };
            let Phase::Settling(exit) = &mut delivery.phase else { continue };
            match to {
                None => {
                    exit.reply_published(fate, now);
                    self.counts.replied += u64::from(fate == PublishResult::Confirmed);
                }
                Some(to) => {
                    exit.republished(fate, now);
                    if let (Some(key), true) = (&delivery.key, fate != PublishResult::Unknown) {
                        self.records.republished(key, number, fate == PublishResult::Confirmed);
                    }
                    let back = matches!(to, Republish::Requeue { .. });
                    let count = if back { &mut self.counts.put_back } else { &mut self.counts.dead };
                    *count += u64::from(fate == PublishResult::Confirmed);
                }
            }
            if let (Some(key), true) = (&delivery.key, exit.is_caller_answered()) {
                self.records.caller_answered(key, message::caller_digest(&delivery.properties));
            }
            self.advance(id, now);
        }
    }
}
