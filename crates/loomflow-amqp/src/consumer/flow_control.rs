//! Flow control: resizes the consumer pools to the windows of their queues and writes queued publishes.

use amq_protocol::protocol::basic::{self, AMQPMethod};
use amq_protocol::types::FieldTable;

use super::{Consumer, PUBLISH_CHANNEL, QueueState};
use crate::Millis;
use crate::consumer_pool::{ConsumerCommand, MAX_PREFETCH};
use crate::message;
use crate::settings::{Class, Queue};
use crate::window::{Demand, divide_by_weight};

impl Consumer {
    /// Starts consuming, once the owner handles submitted messages.
    pub fn start_accepting(&mut self) {
        self.is_accepting = true;
    }

    /// Sets the send share, which scales the windows.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Sets the Unix time (ms) at time 0 of the consumer. The timestamps of senders are converted with it.
    pub fn set_epoch(&mut self, epoch: Millis) {
        self.clock_epoch = epoch;
    }

    /// Replaces the tenants and the values of the classes and queues. The classes and queues themselves must stay the
    /// same.
    pub fn set_settings(&mut self, tenants: Vec<String>, classes: Vec<Class>, queues: Vec<Queue>) {
        self.settings.tenants = tenants;
        self.settings.classes = classes;
        self.settings.queues = queues;
    }

    /// Settings of the queue at an index of [`Settings::queues`](crate::Settings::queues).
    pub fn queue(&self, index: usize) -> &Queue {
        &self.settings.queues[index]
    }

    /// Writes publishes, resizes the consumer pools, and closes the connection once the drain is complete.
    pub(super) fn flush(&mut self, now: Millis) {
        self.is_dirty = false;
        let Some(connection) = self.connection.as_mut().filter(|connection| connection.is_ready()) else {
            return;
        };
        if self.reopen_at.take_if(|at| now >= *at).is_some() {
            connection.open_channel(PUBLISH_CHANNEL);
        }
        // Publishes are written first, so that one that can be written now does not count as backpressure and cancel
        // consumers.
        self.write_publishes(now);
        self.resize_pools(now);
        self.close_if_drained();
    }

    fn write_publishes(&mut self, now: Millis) {
        let Some(connection) = &mut self.connection else { return };
        while let Some(publish) = self.publisher.write_next(now) {
            let method = basic::Publish {
                exchange: message::short_string(&publish.exchange),
                routing_key: message::short_string(&publish.routing_key),
                mandatory: true,
                immediate: false,
            };
            connection.publish(PUBLISH_CHANNEL, method, publish.properties, &publish.body);
        }
    }

    /// Whether further messages may be consumed. This is not the case while their replies could not be published or
    /// their keys not recorded.
    fn may_consume(&self) -> bool {
        self.is_accepting
            && self.drain_deadline.is_none()
            && !self.publisher.has_backpressure()
            && !self.records.is_full()
    }

    /// Divides the messages that may be in flight among the queues, and resizes each pool to its part.
    fn resize_pools(&mut self, now: Millis) {
        let max_in_flight = self.settings.max_in_flight;
        let target = |queue: &mut QueueState| {
            queue.window.limit(max_in_flight.min(MAX_PREFETCH) as f64);
            queue.window.target(self.share)
        };
        let queues = self.queues.iter_mut().zip(&self.settings.queues);
        let demand = |(queue, settings): (&mut QueueState, &Queue)| Demand {
            messages: target(queue),
            weight: settings.priority_weight,
        };
        let demands: Vec<Demand> = queues.map(demand).collect();
        let parts = divide_by_weight(if self.may_consume() { max_in_flight } else { 0 }, &demands);
        for (queue, part) in parts.into_iter().enumerate() {
            for (consumer, command) in self.queues[queue].pool.resize(part, now) {
                self.send_command(queue, consumer, command);
            }
        }
    }

    fn send_command(&mut self, queue: usize, consumer: usize, command: ConsumerCommand) {
        let Some(connection) = &mut self.connection else { return };
        let channel = Consumer::channel_number(queue, consumer);
        let consumer_tag = format!("loomflow.{queue}.{consumer}").into();
        match command {
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

    fn close_if_drained(&mut self) {
        let is_drained =
            self.drain_deadline.is_some() && self.deliveries.is_empty() && self.publisher.is_empty();
        let is_idle = || self.queues.iter().all(|queue| queue.pool.is_idle());
        if is_drained
            && is_idle()
            && let Some(connection) = &mut self.connection
        {
            connection.close();
        }
    }
}
