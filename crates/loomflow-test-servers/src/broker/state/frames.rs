//! Handling of received frames.

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channels};
use amq_protocol::protocol::connection::{self, AMQPMethod as Connections};
use amq_protocol::protocol::{AMQPClass, confirm, exchange, queue};
use amq_protocol::types::AMQPValue;

use super::reply_code::{ACCESS_REFUSED, NOT_FOUND, NOT_IMPLEMENTED, UNEXPECTED_FRAME};
use super::{Channel, ConnectionId, Consumer, ConsumerAddress, Publishing, Settled, State};

impl State {
    /// Handles a frame that a client sent. Frames of a closed connection are ignored.
    pub fn handle_frame(&mut self, id: ConnectionId, frame: AMQPFrame) {
        if !self.connections.contains_key(&id) {
            return;
        }
        match frame {
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.handle_connection_method(id, method),
            AMQPFrame::Method(number, AMQPClass::Channel(method)) => {
                self.handle_channel_method(id, number, method);
            }
            AMQPFrame::Method(number, class) => self.handle_method_on_channel(id, number, class),
            AMQPFrame::Header(number, header) => {
                if let Some(content) = self.publishing_mut(id, number) {
                    content.header = Some(header);
                    self.publish_if_complete(id, number);
                } else {
                    self.close_connection(
                        id,
                        UNEXPECTED_FRAME,
                        "UNEXPECTED_FRAME - content header without a publish",
                    );
                }
            }
            AMQPFrame::Body(number, bytes) => {
                if let Some(content) = self.publishing_mut(id, number) {
                    content.body.extend(bytes);
                    self.publish_if_complete(id, number);
                }
            }
            AMQPFrame::Heartbeat => self.heartbeats += 1,
            _ => {}
        }
        self.deliver_ready();
    }

    fn handle_connection_method(&mut self, id: ConnectionId, method: Connections) {
        match method {
            Connections::StartOk(ok) => {
                let expected = format!("\0{}\0{}", self.user, self.password);
                if ok.response.as_bytes() != expected.as_bytes() {
                    return self.close_connection(id, ACCESS_REFUSED, "ACCESS_REFUSED");
                }
                let (channel_max, frame_max) = (self.channel_max, self.frame_max_bytes);
                let tune = connection::Tune { channel_max, frame_max, heartbeat: self.heartbeat_s };
                self.send(id, 0, AMQPClass::Connection(Connections::Tune(tune)));
            }
            Connections::TuneOk(ok) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.heartbeat_s = ok.heartbeat;
                }
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

    fn handle_channel_method(&mut self, id: ConnectionId, number: u16, method: Channels) {
        match method {
            Channels::Open(_) => {
                let Some(connection) = self.connections.get_mut(&id) else { return };
                connection.channels.insert(number, Channel { next_tag: 1, ..Channel::default() });
                self.send(id, number, AMQPClass::Channel(Channels::OpenOk(channel::OpenOk {})));
            }
            Channels::Close(_) => {
                self.remove_channel(id, number);
                self.send(id, number, AMQPClass::Channel(Channels::CloseOk(channel::CloseOk {})));
            }
            _ => {}
        }
    }

    /// Returns an open channel.
    pub(super) fn channel_mut(&mut self, id: ConnectionId, number: u16) -> Option<&mut Channel> {
        self.connections.get_mut(&id)?.channels.get_mut(&number)
    }

    /// Returns the publish whose content a channel is receiving.
    fn publishing_mut(&mut self, id: ConnectionId, number: u16) -> Option<&mut Publishing> {
        self.channel_mut(id, number)?.publishing.as_mut()
    }

    /// Handles a method of a class other than `connection` and `channel`.
    fn handle_method_on_channel(&mut self, id: ConnectionId, number: u16, class: AMQPClass) {
        if self.channel_mut(id, number).is_none() {
            // The broker closed the channel while this frame was in transit, so the frame is ignored.
            return;
        }
        match class {
            AMQPClass::Basic(method) => self.handle_basic_method(id, number, method),
            AMQPClass::Confirm(_) => {
                if let Some(channel) = self.channel_mut(id, number) {
                    channel.next_publish_number = Some(1);
                }
                let ok = confirm::AMQPMethod::SelectOk(confirm::SelectOk {});
                self.send(id, number, AMQPClass::Confirm(ok));
            }
            AMQPClass::Queue(method) => self.handle_queue_method(id, number, method),
            AMQPClass::Exchange(exchange::AMQPMethod::Declare(declare)) => {
                self.declare_exchange(declare.exchange.as_str(), declare.kind.as_str(), &[]);
                let ok = exchange::AMQPMethod::DeclareOk(exchange::DeclareOk {});
                self.send(id, number, AMQPClass::Exchange(ok));
            }
            _ => self.close_connection(id, NOT_IMPLEMENTED, "not implemented"),
        }
    }

    fn handle_queue_method(&mut self, id: ConnectionId, number: u16, method: queue::AMQPMethod) {
        let ok = match method {
            queue::AMQPMethod::Declare(declare) => {
                let text = |name: &str| match declare.arguments.inner().get(name) {
                    Some(AMQPValue::LongString(text)) => Some(text.to_string()),
                    _ => None,
                };
                let routing_key = text("x-dead-letter-routing-key").unwrap_or_default();
                let dead_letter_exchange = text("x-dead-letter-exchange");
                let name = declare.queue.to_string();
                self.declare(
                    &name,
                    dead_letter_exchange.as_ref().map(|exchange| (exchange.as_str(), routing_key.as_str())),
                );
                let (message_count, consumer_count) =
                    (self.ready(&name) as u32, self.consumers(&name) as u32);
                let queue = declare.queue;
                queue::AMQPMethod::DeclareOk(queue::DeclareOk { queue, message_count, consumer_count })
            }
            queue::AMQPMethod::Bind(bind) => {
                let Some(exchange) = self.exchanges.get_mut(bind.exchange.as_str()) else {
                    return self.close_channel(id, number, NOT_FOUND, "NOT_FOUND");
                };
                exchange.bindings.insert((bind.routing_key.to_string(), bind.queue.to_string()));
                queue::AMQPMethod::BindOk(queue::BindOk {})
            }
            _ => return self.close_connection(id, NOT_IMPLEMENTED, "not implemented"),
        };
        self.send(id, number, AMQPClass::Queue(ok));
    }

    fn handle_basic_method(&mut self, id: ConnectionId, number: u16, method: Basic) {
        match method {
            Basic::Qos(qos) => {
                if let Some(channel) = self.channel_mut(id, number) {
                    channel.prefetch = qos.prefetch_count;
                }
                self.send(id, number, AMQPClass::Basic(Basic::QosOk(basic::QosOk {})));
            }
            Basic::Consume(consume) => self.consume(id, number, &consume),
            Basic::Cancel(cancel) => {
                let tag = cancel.consumer_tag.to_string();
                if let Some(channel) = self.channel_mut(id, number) {
                    channel.consumers.remove(&tag);
                }
                let cancelled = ConsumerAddress { connection: id, channel: number, tag };
                self.queues
                    .values_mut()
                    .for_each(|queue| queue.consumers.retain(|consumer| *consumer != cancelled));
                let consumer_tag = cancel.consumer_tag;
                self.send(id, number, AMQPClass::Basic(Basic::CancelOk(basic::CancelOk { consumer_tag })));
            }
            Basic::Publish(publish) => {
                if let Some(channel) = self.channel_mut(id, number) {
                    channel.publishing = Some(Publishing::new(publish));
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
            _ => self.close_connection(id, NOT_IMPLEMENTED, "not implemented"),
        }
    }

    fn consume(&mut self, id: ConnectionId, number: u16, consume: &basic::Consume) {
        let (name, tag) = (consume.queue.to_string(), consume.consumer_tag.to_string());
        let Some(queue) = self.queues.get_mut(&name) else {
            return self.close_channel(id, number, NOT_FOUND, "NOT_FOUND - no queue");
        };
        queue.consumers.push_back(ConsumerAddress { connection: id, channel: number, tag: tag.clone() });
        if let Some(channel) = self.channel_mut(id, number) {
            let prefetch = usize::from(channel.prefetch);
            let consumer = Consumer { queue: name, prefetch, no_ack: consume.no_ack, unacked: 0 };
            channel.consumers.insert(tag, consumer);
        }
        let consumer_tag = consume.consumer_tag.clone();
        self.send(id, number, AMQPClass::Basic(Basic::ConsumeOk(basic::ConsumeOk { consumer_tag })));
    }
}
