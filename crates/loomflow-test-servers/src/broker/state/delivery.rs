//! Publishing, delivery and settlement of messages.

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};

use super::reply_code::{NO_ROUTE, NOT_FOUND, PRECONDITION_FAILED};
use super::{ConnectionId, ConsumerAddress, Message, Publishing, Settled, State, Unacked, message_id};

/// Id of the class `basic` (specification 1.8).
const BASIC_CLASS_ID: u16 = 60;
/// Maximum number of body bytes in a frame: the smallest frame size limit that a peer may negotiate, less the 8 bytes of the
/// frame header and end.
const MAX_BODY_FRAME_BYTES: usize = 4_096 - 8;

impl State {
    /// Publishes the message that a channel is receiving if its content is complete.
    pub(super) fn publish_if_complete(&mut self, id: ConnectionId, number: u16) {
        let Some(channel) = self.channel_mut(id, number) else { return };
        let Some(complete) = channel.publishing.take_if(|content| content.is_complete()) else { return };
        let Publishing { method: publish, header: Some(header), body } = complete else { return };
        let sequence_number = channel.next_publish_number;
        channel.next_publish_number = sequence_number.map(|number| number + 1);
        let message = Message {
            exchange: publish.exchange.to_string(),
            routing_key: publish.routing_key.to_string(),
            properties: header.properties.clone(),
            body: body.clone(),
            redelivered: false,
        };
        if !message.exchange.is_empty() && !self.exchanges.contains_key(&message.exchange) {
            return self.close_channel(id, number, NOT_FOUND, "NOT_FOUND - no exchange");
        }
        let is_rejected = self.faults.nack > 0;
        self.faults.nack = self.faults.nack.saturating_sub(1);
        if !is_rejected && !self.publish(message) && publish.mandatory {
            self.return_message(id, number, publish, header, body);
        }
        if let Some(delivery_tag) = sequence_number {
            self.confirm(id, number, delivery_tag, is_rejected);
        }
    }

    /// Returns a mandatory message to its publisher, because it was routed to no queue.
    fn return_message(
        &mut self,
        id: ConnectionId,
        number: u16,
        publish: basic::Publish,
        header: AMQPContentHeader,
        body: Vec<u8>,
    ) {
        let method = basic::Return {
            reply_code: NO_ROUTE,
            reply_text: "NO_ROUTE".into(),
            exchange: publish.exchange,
            routing_key: publish.routing_key,
        };
        self.send(id, number, AMQPClass::Basic(Basic::Return(method)));
        self.send_content(id, number, header, &body);
    }

    /// Sends a content header and its body, which has no frame if it is empty.
    fn send_content(&mut self, id: ConnectionId, number: u16, header: AMQPContentHeader, body: &[u8]) {
        self.out.push((id, Some(AMQPFrame::Header(number, header))));
        for part in body.chunks(MAX_BODY_FRAME_BYTES) {
            self.out.push((id, Some(AMQPFrame::Body(number, part.to_vec()))));
        }
    }

    /// Acknowledges or rejects a publish on a channel in confirm mode.
    fn confirm(&mut self, id: ConnectionId, number: u16, delivery_tag: u64, is_rejected: bool) {
        if self.faults.unconfirmed > 0 {
            self.faults.unconfirmed -= 1;
            return;
        }
        let method = if is_rejected {
            Basic::Nack(basic::Nack { delivery_tag, multiple: false, requeue: false })
        } else {
            Basic::Ack(basic::Ack { delivery_tag, multiple: false })
        };
        self.send(id, number, AMQPClass::Basic(method));
    }

    /// Settles a delivery; with `multiple` all deliveries up to it, or all of the channel if the tag is 0.
    pub(super) fn settle(&mut self, id: ConnectionId, number: u16, tag: u64, multiple: bool, how: Settled) {
        if self.faults.lose_settlements > 0 {
            self.faults.lose_settlements -= 1;
            return self.break_connection(id);
        }
        if how == Settled::Acked && self.faults.forget_acks > 0 {
            self.faults.forget_acks -= 1;
            return;
        }
        let Some(channel) = self.channel_mut(id, number) else { return };
        let tags: Vec<u64> = if multiple {
            channel.unacked.keys().copied().filter(|unsettled| tag == 0 || *unsettled <= tag).collect()
        } else {
            vec![tag]
        };
        for tag in tags {
            let Some(channel) = self.channel_mut(id, number) else { return };
            let Some(delivery) = channel.unacked.remove(&tag) else {
                let reason = "PRECONDITION_FAILED - unknown delivery tag";
                return self.close_channel(id, number, PRECONDITION_FAILED, reason);
            };
            if let Some(consumer) = channel.consumers.get_mut(&delivery.consumer) {
                consumer.unacked -= 1;
            }
            self.settled.push((message_id(&delivery.message), how));
            match how {
                Settled::Acked => {}
                Settled::Requeued => self.requeue(delivery),
                Settled::Rejected => self.dead_letter(delivery),
            }
        }
    }

    /// Publishes a rejected message to the dead letter exchange of its queue; drops it if the queue has none.
    fn dead_letter(&mut self, delivery: Unacked) {
        let target = self.queues.get(&delivery.queue).and_then(|queue| queue.dead_letter.clone());
        if let Some((exchange, routing_key)) = target {
            self.publish(Message { exchange, routing_key, redelivered: false, ..delivery.message });
        }
    }

    /// Delivers ready messages to the consumers of their queues in turn, as far as these have capacity.
    pub(super) fn deliver_ready(&mut self) {
        let names: Vec<String> = self.queues.keys().cloned().collect();
        for name in names {
            let mut full = 0;
            while let Some(queue) = self.queues.get_mut(&name) {
                if queue.ready.is_empty() || full >= queue.consumers.len() {
                    break;
                }
                let Some(next) = queue.consumers.pop_front() else { break };
                queue.consumers.push_back(next.clone());
                if !self.deliver(&name, &next) {
                    full += 1;
                    continue;
                }
                full = 0;
            }
        }
        let channels = self.connections.values().flat_map(|connection| connection.channels.values());
        let unacked = channels.map(|channel| channel.unacked.len()).sum();
        self.max_unacked = self.max_unacked.max(unacked);
    }

    /// Delivers the next message of a queue; returns false if the consumer has no capacity.
    fn deliver(&mut self, name: &str, to: &ConsumerAddress) -> bool {
        let Some((delivery_tag, message)) = self.take_next(name, to) else { return false };
        self.deliveries += 1;
        if self.faults.duplicate > 0 {
            self.faults.duplicate -= 1;
            if let Some(queue) = self.queues.get_mut(name) {
                queue.ready.push_front(message.clone());
            }
        }
        self.send_delivery(to, delivery_tag, message);
        true
    }

    /// Takes the next message of a queue and assigns its delivery tag; `None` if the consumer has no capacity.
    fn take_next(&mut self, name: &str, to: &ConsumerAddress) -> Option<(u64, Message)> {
        let channel = self.connections.get_mut(&to.connection)?.channels.get_mut(&to.channel)?;
        let consumer = channel.consumers.get_mut(&to.tag)?;
        if consumer.prefetch > 0 && consumer.unacked >= consumer.prefetch {
            return None;
        }
        let message = self.queues.get_mut(name)?.ready.pop_front()?;
        let delivery_tag = channel.next_tag;
        channel.next_tag += 1;
        if !consumer.no_ack {
            consumer.unacked += 1;
            let queue = consumer.queue.clone();
            let delivery = Unacked { consumer: to.tag.clone(), queue, message: message.clone() };
            channel.unacked.insert(delivery_tag, delivery);
        }
        Some((delivery_tag, message))
    }

    /// Sends a message to a consumer as method, header and body frames.
    fn send_delivery(&mut self, to: &ConsumerAddress, delivery_tag: u64, message: Message) {
        let deliver = basic::Deliver {
            consumer_tag: to.tag.as_str().into(),
            delivery_tag,
            redelivered: message.redelivered,
            exchange: message.exchange.as_str().into(),
            routing_key: message.routing_key.as_str().into(),
        };
        self.send(to.connection, to.channel, AMQPClass::Basic(Basic::Deliver(deliver)));
        let body_size = message.body.len() as u64;
        let properties = message.properties;
        let header = AMQPContentHeader { class_id: BASIC_CLASS_ID, body_size, properties };
        self.send_content(to.connection, to.channel, header, &message.body);
    }
}
