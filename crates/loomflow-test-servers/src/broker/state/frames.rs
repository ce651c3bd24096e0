//! Handling of received frames, and delivery to consumers.

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channels};
use amq_protocol::protocol::connection::{self, AMQPMethod as Connections};
use amq_protocol::protocol::{AMQPClass, confirm, exchange, queue};
use amq_protocol::types::AMQPValue;

use super::{Channel, ClientConnection, ConnectionId, Consumer, Message, Settled, State, Unacked, id_of};

impl State {
    /// Handles a frame of a connection.
    pub fn handle_frame(&mut self, id: ConnectionId, frame: AMQPFrame) {
        match frame {
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.connection(id, method),
            AMQPFrame::Method(number, AMQPClass::Channel(method)) => self.channel(id, number, method),
            AMQPFrame::Method(number, class) => self.on_channel(id, number, class),
            AMQPFrame::Header(number, header) => {
                if let Some(one) = self.publishing(id, number) {
                    one.1 = Some(header);
                    self.published(id, number);
                } else {
                    self.close_connection(id, 505, "a header where none is due");
                }
            }
            AMQPFrame::Body(number, bytes) => {
                if let Some(one) = self.publishing(id, number) {
                    one.2.extend(bytes);
                    self.published(id, number);
                }
            }
            _ => {}
        }
        self.pump();
    }

    fn connection(&mut self, id: ConnectionId, method: Connections) {
        match method {
            Connections::StartOk(ok) => {
                let expected = format!("\0{}\0{}", self.user, self.password);
                if ok.response.as_bytes() != expected.as_bytes() {
                    return self.close_connection(id, 403, "ACCESS_REFUSED");
                }
                let (channel_max, frame_max) = (self.channel_max, self.frame_max_bytes);
                let tune = connection::Tune { channel_max, frame_max, heartbeat: self.heartbeat_s };
                self.send(id, 0, AMQPClass::Connection(Connections::Tune(tune)));
            }
            Connections::Open(_) => {
                self.send(id, 0, AMQPClass::Connection(Connections::OpenOk(connection::OpenOk {})));
            }
            Connections::Close(_) => {
                self.send(id, 0, AMQPClass::Connection(Connections::CloseOk(connection::CloseOk {})));
                self.out.push((id, None));
            }
            _ => {}
        }
    }

    fn channel(&mut self, id: ConnectionId, number: u16, method: Channels) {
        match method {
            Channels::Open(_) => {
                let Some(connection) = self.connections.get_mut(&id) else { return };
                connection.channels.insert(number, Channel { next_tag: 1, ..Channel::default() });
                self.send(id, number, AMQPClass::Channel(Channels::OpenOk(channel::OpenOk {})));
            }
            Channels::Close(_) => {
                self.drop_channel(id, number);
                self.send(id, number, AMQPClass::Channel(Channels::CloseOk(channel::CloseOk {})));
            }
            _ => {}
        }
    }

    fn of(&mut self, id: ConnectionId, number: u16) -> Option<&mut Channel> {
        self.connections.get_mut(&id)?.channels.get_mut(&number)
    }

    fn publishing(
        &mut self,
        id: ConnectionId,
        number: u16,
    ) -> Option<&mut (basic::Publish, Option<AMQPContentHeader>, Vec<u8>)> {
        self.of(id, number)?.publishing.as_mut()
    }

    fn on_channel(&mut self, id: ConnectionId, number: u16, class: AMQPClass) {
        if self.of(id, number).is_none() {
            // The channel was closed while this frame was in transit.
            return;
        }
        match class {
            AMQPClass::Basic(method) => self.basic(id, number, method),
            AMQPClass::Confirm(_) => {
                if let Some(channel) = self.of(id, number) {
                    channel.confirms = Some(1);
                }
                let ok = confirm::AMQPMethod::SelectOk(confirm::SelectOk {});
                self.send(id, number, AMQPClass::Confirm(ok));
            }
            AMQPClass::Queue(method) => self.queue(id, number, method),
            AMQPClass::Exchange(exchange::AMQPMethod::Declare(declare)) => {
                self.exchange(declare.exchange.as_str(), declare.kind.as_str(), &[]);
                let ok = exchange::AMQPMethod::DeclareOk(exchange::DeclareOk {});
                self.send(id, number, AMQPClass::Exchange(ok));
            }
            _ => self.close_connection(id, 540, "not implemented"),
        }
    }

    fn queue(&mut self, id: ConnectionId, number: u16, method: queue::AMQPMethod) {
        let ok = match method {
            queue::AMQPMethod::Declare(declare) => {
                let text = |name: &str| match declare.arguments.inner().get(name) {
                    Some(AMQPValue::LongString(text)) => Some(text.to_string()),
                    _ => None,
                };
                let key = text("x-dead-letter-routing-key").unwrap_or_default();
                let dead = text("x-dead-letter-exchange");
                let name = declare.queue.to_string();
                self.declare(&name, dead.as_ref().map(|exchange| (exchange.as_str(), key.as_str())));
                let (message_count, consumer_count) =
                    (self.ready(&name) as u32, self.consumers(&name) as u32);
                let queue = declare.queue;
                queue::AMQPMethod::DeclareOk(queue::DeclareOk { queue, message_count, consumer_count })
            }
            queue::AMQPMethod::Bind(bind) => {
                let Some(exchange) = self.exchanges.get_mut(bind.exchange.as_str()) else {
                    return self.close_channel(id, number, 404, "NOT_FOUND");
                };
                exchange.bindings.insert((bind.routing_key.to_string(), bind.queue.to_string()));
                queue::AMQPMethod::BindOk(queue::BindOk {})
            }
            _ => return self.close_connection(id, 540, "not implemented"),
        };
        self.send(id, number, AMQPClass::Queue(ok));
    }

    fn basic(&mut self, id: ConnectionId, number: u16, method: Basic) {
        match method {
            Basic::Qos(qos) => {
                if let Some(channel) = self.of(id, number) {
                    channel.prefetch = qos.prefetch_count;
                }
                self.send(id, number, AMQPClass::Basic(Basic::QosOk(basic::QosOk {})));
            }
            Basic::Consume(consume) => self.consume(id, number, &consume),
            Basic::Cancel(cancel) => {
                let tag = cancel.consumer_tag.to_string();
                if let Some(channel) = self.of(id, number) {
                    channel.consumers.remove(&tag);
                }
                let here = (id, number, tag);
                self.queues.values_mut().for_each(|queue| queue.consumers.retain(|one| *one != here));
                let consumer_tag = cancel.consumer_tag;
                self.send(id, number, AMQPClass::Basic(Basic::CancelOk(basic::CancelOk { consumer_tag })));
            }
            Basic::Publish(publish) => {
                if let Some(channel) = self.of(id, number) {
                    channel.publishing = Some((publish, None, Vec::new()));
                }
            }
            Basic::Ack(ack) => self.settle(id, number, ack.delivery_tag, ack.multiple, Settled::Acked),
            Basic::Nack(nack) => {
                let how = if nack.requeue { Settled::Requeued } else { Settled::Rejected };
                self.settle(id, number, nack.delivery_tag, nack.multiple, how);
            }
            Basic::Reject(reject) => {
                let how = if reject.requeue { Settled::Requeued } else { Settled::Rejected };
                self.settle(id, number, reject.delivery_tag, false, how);
            }
            _ => self.close_connection(id, 540, "not implemented"),
        }
    }

    fn consume(&mut self, id: ConnectionId, number: u16, consume: &basic::Consume) {
        let (name, tag) = (consume.queue.to_string(), consume.consumer_tag.to_string());
        let Some(queue) = self.queues.get_mut(&name) else {
            return self.close_channel(id, number, 404, "NOT_FOUND - no queue");
        };
        queue.consumers.push_back((id, number, tag.clone()));
        if let Some(channel) = self.of(id, number) {
            let prefetch = usize::from(channel.prefetch);
            let consumer = Consumer { queue: name, prefetch, no_ack: consume.no_ack, unacked: 0 };
            channel.consumers.insert(tag, consumer);
        }
        let consumer_tag = consume.consumer_tag.clone();
        self.send(id, number, AMQPClass::Basic(Basic::ConsumeOk(basic::ConsumeOk { consumer_tag })));
    }

    /// Publishes a message whose content is complete.
    fn published(&mut self, id: ConnectionId, number: u16) {
        let Some(channel) = self.of(id, number) else { return };
        let is_complete = |one: &mut (basic::Publish, Option<AMQPContentHeader>, Vec<u8>)| {
            one.1.as_ref().is_some_and(|header| one.2.len() as u64 >= header.body_size)
        };
        let Some((publish, Some(header), body)) = channel.publishing.take_if(is_complete) else { return };
        let seq = channel.confirms;
        channel.confirms = seq.map(|seq| seq + 1);
        let message = Message {
            exchange: publish.exchange.to_string(),
            routing_key: publish.routing_key.to_string(),
            properties: header.properties.clone(),
            body: body.clone(),
            redelivered: false,
        };
        if !message.exchange.is_empty() && !self.exchanges.contains_key(&message.exchange) {
            return self.close_channel(id, number, 404, "NOT_FOUND - no exchange");
        }
        let is_rejected = self.faults.nack > 0;
        self.faults.nack = self.faults.nack.saturating_sub(1);
        if !is_rejected && !self.publish(message) && publish.mandatory {
            let back = basic::Return {
                reply_code: 312,
                reply_text: "NO_ROUTE".into(),
                exchange: publish.exchange,
                routing_key: publish.routing_key,
            };
            self.send(id, number, AMQPClass::Basic(Basic::Return(back)));
            self.out.push((id, Some(AMQPFrame::Header(number, header))));
            self.out.push((id, Some(AMQPFrame::Body(number, body))));
        }
        let Some(delivery_tag) = seq else { return };
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

    fn settle(&mut self, id: ConnectionId, number: u16, tag: u64, multiple: bool, how: Settled) {
        if how == Settled::Acked && self.faults.forget_acks > 0 {
            self.faults.forget_acks -= 1;
            return;
        }
        let Some(channel) = self.of(id, number) else { return };
        let tags: Vec<u64> = if multiple {
            channel.unacked.keys().copied().filter(|one| tag == 0 || *one <= tag).collect()
        } else {
            vec![tag]
        };
        for tag in tags {
            let Some(channel) = self.of(id, number) else { return };
            let Some(one) = channel.unacked.remove(&tag) else {
                return self.close_channel(id, number, 406, "PRECONDITION_FAILED - unknown delivery tag");
            };
            if let Some(consumer) = channel.consumers.get_mut(&one.consumer) {
                consumer.unacked -= 1;
            }
            self.settled.push((id_of(&one.message), how));
            match how {
                Settled::Acked => {}
                Settled::Requeued => self.requeue(one),
                Settled::Rejected => {
                    let to = self.queues.get(&one.queue).and_then(|queue| queue.dead_letter.clone());
                    if let Some((exchange, routing_key)) = to {
                        self.publish(Message { exchange, routing_key, redelivered: false, ..one.message });
                    }
                }
            }
        }
    }

    /// Delivers ready messages to consumers with capacity, in turn.
    pub(super) fn pump(&mut self) {
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
        let unacked = |c: &ClientConnection| c.channels.values().map(|one| one.unacked.len()).sum::<usize>();
        self.max_unacked = self.max_unacked.max(self.connections.values().map(unacked).sum());
    }

    fn deliver(&mut self, name: &str, to: &(ConnectionId, u16, String)) -> bool {
        let (id, number, tag) = to;
        let Some(channel) = self.connections.get_mut(id).and_then(|c| c.channels.get_mut(number)) else {
            return false;
        };
        let Some(consumer) = channel.consumers.get_mut(tag) else { return false };
        if consumer.prefetch > 0 && consumer.unacked >= consumer.prefetch {
            return false;
        }
        let Some(message) = self.queues.get_mut(name).and_then(|queue| queue.ready.pop_front()) else {
            return false;
        };
        let delivery_tag = channel.next_tag;
        channel.next_tag += 1;
        if !consumer.no_ack {
            consumer.unacked += 1;
            let one =
                Unacked { consumer: tag.clone(), queue: consumer.queue.clone(), message: message.clone() };
            channel.unacked.insert(delivery_tag, one);
        }
        self.deliveries += 1;
        if self.faults.duplicate > 0 {
            self.faults.duplicate -= 1;
            if let Some(queue) = self.queues.get_mut(name) {
                queue.ready.push_front(message.clone());
            }
        }
        let deliver = basic::Deliver {
            consumer_tag: tag.as_str().into(),
            delivery_tag,
            redelivered: message.redelivered,
            exchange: message.exchange.as_str().into(),
            routing_key: message.routing_key.as_str().into(),
        };
        self.send(*id, *number, AMQPClass::Basic(Basic::Deliver(deliver)));
        let body_size = message.body.len() as u64;
        let header = AMQPContentHeader { class_id: 60, body_size, properties: message.properties };
        self.out.push((*id, Some(AMQPFrame::Header(*number, header))));
        for part in message.body.chunks(4_096 - 8) {
            self.out.push((*id, Some(AMQPFrame::Body(*number, part.to_vec()))));
        }
        true
    }
}
