//! How much to take: windows follow what has happened, lanes follow windows, and what waits is published.

use amq_protocol::protocol::basic::{self, AMQPMethod};
use amq_protocol::types::FieldTable;

use super::{Consumer, PUBLISH_CHANNEL, QueueState};
use crate::consumer_pool::{self, ConsumerCommand};
use crate::message;
use crate::settings::{Class, Queue};
use crate::window::divide_by_weight;

impl Consumer {
    /// There is somebody to offer to from now on.
    pub fn start_accepting(&mut self) {
        self.is_accepting = true;
    }

    /// The send share that callers are told.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Unix ms at the beginning of our clock: the stamps of senders are read by it.
    pub fn set_epoch(&mut self, epoch: f64) {
        self.clock_epoch = epoch;
    }

    /// The tenants there are from now on, and the same classes and queues with their figures.
    pub fn set_settings(&mut self, tenants: Vec<String>, classes: Vec<Class>, queues: Vec<Queue>) {
        (self.settings.tenants, self.settings.classes, self.settings.queues) = (tenants, classes, queues);
    }

    pub fn queue(&self, at: usize) -> &Queue {
        &self.settings.queues[at]
    }

    /// Windows, lanes and publishes follow what has happened.
    pub(super) fn flush(&mut self, now: f64) {
        self.is_dirty = false;
        let Some(connection) = &mut self.connection else { return };
        if !connection.is_ready() {
            return;
        }
        if self.reopen_at.take_if(|at| now >= *at).is_some() {
            connection.open_channel(PUBLISH_CHANNEL);
        }
        // Before it is asked whether publishes hold back: what is written here holds back nothing, and lanes that
        // were cancelled for it would leave the engine idle until the next round.
        while let Some(publish) = self.publisher.write_next(now) {
            let method = basic::Publish {
                exchange: message::short_string(&publish.exchange),
                routing_key: message::short_string(&publish.routing_key),
                mandatory: true,
                immediate: false,
            };
            connection.publish(PUBLISH_CHANNEL, method, publish.properties, &publish.body);
        }
        let stopped = !self.is_accepting
            || self.drain_deadline.is_some()
            || self.publisher.has_backpressure()
            || self.records.is_full();
        let most = self.settings.max_in_flight;
        let wanted = |source: &mut QueueState| {
            source.window.limit(most.min(consumer_pool::MAX_PREFETCH) as f64);
            source.window.target(self.share)
        };
        let wants: Vec<(f64, f64)> = self
            .queues
            .iter_mut()
            .zip(&self.settings.queues)
            .map(|(s, q)| (wanted(s), q.priority_weight))
            .collect();
        let parts = divide_by_weight(if stopped { 0 } else { most }, &wants);
        for (queue, part) in parts.into_iter().enumerate() {
            for (lane, step) in self.queues[queue].pool.resize(part, now) {
                let channel = Consumer::channel_of(queue, lane);
                let consumer_tag = format!("loomflow.{queue}.{lane}").into();
                match step {
                    ConsumerCommand::OpenChannel => connection.open_channel(channel),
                    ConsumerCommand::Consume(prefetch_count) => {
                        let qos = basic::Qos { prefetch_count, global: false };
                        connection.basic(channel, AMQPMethod::Qos(qos));
                        let consume = basic::Consume {
                            queue: message::short_string(&self.settings.queues[queue].name),
                            consumer_tag,
                            no_local: false,
                            no_ack: false,
                            exclusive: false,
                            nowait: false,
                            arguments: FieldTable::default(),
                        };
                        connection.basic(channel, AMQPMethod::Consume(consume));
                    }
                    ConsumerCommand::Cancel => {
                        let cancel = basic::Cancel { consumer_tag, nowait: false };
                        connection.basic(channel, AMQPMethod::Cancel(cancel));
                    }
                }
            }
        }
        let done = self.drain_deadline.is_some() && self.deliveries.is_empty() && self.publisher.is_empty();
        if done && self.queues.iter().all(|source| source.pool.is_idle()) {
            connection.close();
        }
    }
}
