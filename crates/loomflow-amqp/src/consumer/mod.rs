//! The consumer of one broker's queues. It combines the protocol layers with the decisions of the other modules and
//! owns all messages in flight.
//!
//! - `inbound` handles deliveries and submits messages.
//! - `outbound` handles responses, publishes and settlements.
//! - `flow_control` adjusts windows and consumers and writes publishes.
//! - `shutdown` drains the consumer.
//! - `delivery` defines the state of one delivery.

mod delivery;
mod flow_control;
mod inbound;
mod outbound;
mod shutdown;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::{self, AMQPMethod};
use loomflow_protocol::Malformed;

use crate::Millis;
use crate::backoff::Backoff;
use crate::connection::{BrokerConnection, Channel, ConnectionEvent, Login};
use crate::consumer_pool::{ConsumerPool, PREFETCH_COUNTS};
use crate::idempotency::{DeliveryId, IdempotencyKey, IdempotencyRecords, IdempotencyStore};
use crate::message::Classification;
use crate::publisher::{PublishId, Publisher};
use crate::remaining_steps::RemainingSteps;
use crate::settings::Settings;
use crate::settlement::Republish;
use crate::window::Window;
use delivery::{Delivery, Phase};

/// Channel for all publishes.
const PUBLISH_CHANNEL: Channel = 1;
/// First of the channels of the consumers, which are numbered consecutively.
const FIRST_CONSUMER_CHANNEL: Channel = 2;
/// Delay before a publishing channel that the broker closed is opened again, ms.
const REOPEN_BACKOFF_MS: Millis = 1_000.0;

/// A message to run.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedMessage {
    /// Id of the delivery.
    pub id: DeliveryId,
    /// Index into [`Settings::queues`].
    pub queue: usize,
    /// Class and tenant of the message.
    pub classification: Classification,
    /// Idempotency key; `None` if the message has none.
    pub key: Option<String>,
    /// Body of the message.
    pub body: Vec<u8>,
    /// Whether the broker marked the message as redelivered.
    pub redelivered: bool,
    /// Time since the message was sent, ms; 0 if unknown.
    pub upstream_time: Millis,
}

/// A request of the consumer to its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsumerRequest {
    /// Run a message.
    Submit(SubmittedMessage),
    /// Cancel a submitted message whose run has not started. Its response is no longer needed.
    Cancel(DeliveryId),
    /// Log a line.
    Log(String),
}

/// Response to a submitted message. Each message gets one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageResponse<'a> {
    /// The message was served with this result.
    Served(&'a [u8]),
    /// The message was rejected under overload and not started.
    Rejected {
        /// Time until a retry is allowed.
        retry_after: Millis,
        /// Whether the message must not be retried on any server.
        is_final: bool,
    },
    /// The message failed before its run was started.
    NotRun,
    /// The message failed and may have taken effect.
    MayHaveRun,
}

/// Purpose of a pending publish, which determines how its result is handled.
#[derive(Clone)]
enum PublishPurpose {
    Reply(DeliveryId),
    Republish(DeliveryId, Republish),
    /// Reply or dead letter of a delivery that has been abandoned since. Once it is confirmed, only `remaining` is left for
    /// the caller.
    LateStep {
        key: IdempotencyKey,
        caller_digest: u64,
        remaining: RemainingSteps,
    },
    /// Requeued copy of a delivery that has been abandoned since.
    LateRequeue(IdempotencyKey),
}

impl PublishPurpose {
    /// Whether the publish belongs to this delivery, which has not been abandoned.
    fn is_for(&self, id: DeliveryId) -> bool {
        match self {
            PublishPurpose::Reply(delivery) | PublishPurpose::Republish(delivery, _) => *delivery == id,
            PublishPurpose::LateStep { .. } | PublishPurpose::LateRequeue(_) => false,
        }
    }
}

struct QueueState {
    pool: ConsumerPool,
    window: Window,
}

impl QueueState {
    fn new() -> QueueState {
        QueueState { pool: ConsumerPool::new(PREFETCH_COUNTS.len()), window: Window::default() }
    }
}

/// Counters of messages since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that the broker delivered, including redelivered ones.
    pub delivered: u64,
    /// Delivered messages that the broker marked as redelivered.
    pub redelivered: u64,
    /// Confirmed replies.
    pub replied: u64,
    /// Confirmed copies of messages that were requeued.
    pub republished: u64,
    /// Confirmed dead letters.
    pub dead_lettered: u64,
    /// Messages settled by `basic.ack`.
    pub acks: u64,
    /// Messages settled by `basic.nack`.
    pub nacks: u64,
    /// Messages settled by `basic.reject`.
    pub rejects: u64,
}

/// The consumer of one broker's queues.
pub struct Consumer {
    settings: Settings,
    connection: Option<BrokerConnection>,
    backoff: Backoff,
    queues: Vec<QueueState>,
    publisher: Publisher,
    /// When to open the publishing channel again after the broker closed it.
    reopen_at: Option<Millis>,
    records: IdempotencyRecords,
    deliveries: BTreeMap<DeliveryId, Delivery>,
    /// Runs whose delivery was abandoned. They continue, so that the redelivery gets their result.
    orphaned_runs: BTreeMap<DeliveryId, Option<IdempotencyKey>>,
    /// When scheduled publishes of settlements are due, µs.
    deadlines: BTreeSet<(i64, DeliveryId)>,
    pending_publishes: BTreeMap<PublishId, PublishPurpose>,
    last_delivery: DeliveryId,
    last_publish: PublishId,
    /// Unix time (ms) at time 0 of the consumer.
    clock_epoch: Millis,
    /// Whether the owner handles submitted messages.
    is_accepting: bool,
    /// Send share that scales the windows.
    share: f64,
    /// When the drain has to be complete; `None` unless the server is shutting down.
    drain_deadline: Option<Millis>,
    /// Whether no further run may start, because the grace period of the drain is over.
    is_intake_stopped: bool,
    requests: Vec<ConsumerRequest>,
    /// Whether [`Consumer::tick`] has to update windows and consumers and write publishes.
    is_dirty: bool,
    /// Counters of messages since the start of the process.
    pub counts: Counts,
}

fn micros(time: Millis) -> i64 {
    (time * 1000.0) as i64
}

impl Consumer {
    /// Creates a consumer without a connection. `store` provides knowledge about runs of other processes.
    pub fn new(settings: Settings, store: Box<dyn IdempotencyStore + Send>, seed: u64) -> Consumer {
        Consumer {
            connection: None,
            backoff: Backoff::new(settings.brokers.len(), seed),
            queues: settings.queues.iter().map(|_| QueueState::new()).collect(),
            publisher: Publisher::new(settings.max_unconfirmed),
            reopen_at: None,
            records: IdempotencyRecords::new(settings.retention, settings.capacity, store),
            deliveries: BTreeMap::new(),
            orphaned_runs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            pending_publishes: BTreeMap::new(),
            last_delivery: 0,
            // Publish ids must be unique among all servers.
            last_publish: fastrand::Rng::with_seed(seed).u64(..) >> 8,
            clock_epoch: 0.0,
            is_accepting: false,
            share: 1.0,
            drain_deadline: None,
            is_intake_stopped: false,
            requests: Vec::new(),
            is_dirty: false,
            counts: Counts::default(),
            settings,
        }
    }

    // ---- The connection ----

    /// Address of the broker to connect to.
    pub fn broker(&self) -> SocketAddr {
        self.settings.brokers[self.backoff.broker().min(self.settings.brokers.len() - 1)]
    }

    /// Starts the handshake on a newly opened transport. Ignored while the server is shutting down.
    pub fn connected(&mut self, now: Millis) {
        if self.drain_deadline.is_some() {
            return;
        }
        let login = Login {
            vhost: self.settings.vhost.clone(),
            user: self.settings.user.clone(),
            password: self.settings.password.clone(),
            heartbeat_s: self.settings.heartbeat_s,
        };
        self.connection = Some(BrokerConnection::open(login, self.settings.max_body_bytes, now));
    }

    /// Handles a connection that was lost or could not be opened. Returns the delay before the next attempt; `None` if
    /// the server is shutting down.
    pub fn disconnected(&mut self, now: Millis) -> Option<Millis> {
        self.connection = None;
        self.publisher.connection_lost();
        self.pending_publishes.clear();
        self.reopen_at = None;
        for queue in &mut self.queues {
            queue.pool = ConsumerPool::new(PREFETCH_COUNTS.len());
        }
        // Waiters need no new decision, because they are abandoned as well.
        for id in self.deliveries.keys().copied().collect::<Vec<_>>() {
            self.abandon(id, now);
        }
        self.deadlines.clear();
        let backoff = self.backoff.disconnected(now);
        self.drain_deadline.is_none().then_some(backoff)
    }

    /// Takes the bytes to be written to the connection.
    pub fn take_output(&mut self, now: Millis) -> Vec<u8> {
        self.connection.as_mut().map(|connection| connection.take_output(now)).unwrap_or_default()
    }

    /// Takes the requests to the owner since the last call.
    pub fn take_requests(&mut self) -> Vec<ConsumerRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Handles a received frame.
    ///
    /// # Errors
    ///
    /// Fails on a protocol violation or if the broker closed the connection, which must then be dropped.
    pub fn handle_frame(&mut self, frame: AMQPFrame, now: Millis) -> Result<(), Malformed> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        if let Some(event) = connection.handle_frame(frame, now)? {
            self.handle_event(event, now)?;
            self.is_dirty = true;
        }
        Ok(())
    }

    fn handle_event(&mut self, event: ConnectionEvent, now: Millis) -> Result<(), Malformed> {
        match event {
            ConnectionEvent::Ready => self.connection_ready(now),
            ConnectionEvent::ChannelOpened(PUBLISH_CHANNEL) => {
                if let Some(connection) = &mut self.connection {
                    connection.enable_confirms(PUBLISH_CHANNEL);
                }
            }
            ConnectionEvent::ConfirmsEnabled(PUBLISH_CHANNEL) => self.publisher.channel_opened(),
            ConnectionEvent::ConfirmsEnabled(_) => {
                return Err(Malformed("publisher confirms on a channel that did not request them"));
            }
            ConnectionEvent::ChannelOpened(channel) => {
                self.update_consumer(channel, ConsumerPool::channel_opened);
            }
            ConnectionEvent::ChannelClosed(PUBLISH_CHANNEL, reason) => {
                self.log(&format!("the broker closed the publishing channel: {reason}"));
                self.reopen_at = Some(now + REOPEN_BACKOFF_MS);
                let results = self.publisher.channel_closed();
                self.handle_publish_results(results, now);
            }
            ConnectionEvent::ChannelClosed(channel, reason) => {
                self.log(&format!("the broker closed the channel of a consumer: {reason}"));
                self.channel_closed(channel, now);
            }
            ConnectionEvent::Flow(PUBLISH_CHANNEL, is_flowing) => self.publisher.set_flow(is_flowing),
            ConnectionEvent::Flow(..) | ConnectionEvent::Closed => {}
            ConnectionEvent::Blocked(is_blocked) => self.publishes_blocked(is_blocked),
            ConnectionEvent::ClosedByBroker(reason) => {
                self.log(&format!("the broker closed the connection: {reason}"));
                return Err(Malformed("the broker closed the connection"));
            }
            ConnectionEvent::Method(channel, method) => self.handle_method(channel, method, now)?,
            ConnectionEvent::Content(channel, content) => self.handle_content(channel, *content, now)?,
        }
        Ok(())
    }

    fn connection_ready(&mut self, now: Millis) {
        let Some(connection) = &mut self.connection else { return };
        self.backoff.connected(now);
        connection.open_channel(PUBLISH_CHANNEL);
        // The queues share the channels that the broker allows.
        let channels = usize::from(connection.channel_max().saturating_sub(1)) / self.queues.len().max(1);
        for queue in &mut self.queues {
            queue.pool = ConsumerPool::new(channels.min(PREFETCH_COUNTS.len()));
        }
        if channels == 0 {
            self.log("the broker allows too few channels to consume all queues");
        }
        self.log("connected to the broker");
    }

    fn publishes_blocked(&mut self, is_blocked: bool) {
        let text =
            if is_blocked { "the broker blocked publishing" } else { "the broker unblocked publishing" };
        self.log(text);
        self.publisher.set_blocked(is_blocked);
    }

    fn log(&mut self, text: &str) {
        self.requests.push(ConsumerRequest::Log(text.to_owned()));
    }

    /// Index of the queue and index of the consumer in its pool, for a channel.
    fn consumer_index(&self, channel: Channel) -> Option<(usize, usize)> {
        let offset = usize::from(channel.checked_sub(FIRST_CONSUMER_CHANNEL)?);
        let (queue, consumer) = (offset / PREFETCH_COUNTS.len(), offset % PREFETCH_COUNTS.len());
        (queue < self.queues.len()).then_some((queue, consumer))
    }

    fn channel_number(queue: usize, consumer: usize) -> Channel {
        FIRST_CONSUMER_CHANNEL + (queue * PREFETCH_COUNTS.len() + consumer) as Channel
    }

    fn update_consumer(&mut self, channel: Channel, update: impl FnOnce(&mut ConsumerPool, usize)) {
        if let Some((queue, consumer)) = self.consumer_index(channel) {
            update(&mut self.queues[queue].pool, consumer);
        }
    }

    fn handle_method(&mut self, channel: Channel, method: AMQPMethod, now: Millis) -> Result<(), Malformed> {
        match method {
            AMQPMethod::QosOk(_) => {}
            AMQPMethod::ConsumeOk(_) => {
                self.update_consumer(channel, ConsumerPool::consumer_started);
            }
            AMQPMethod::CancelOk(_) => {
                self.update_consumer(channel, ConsumerPool::consumer_cancelled);
            }
            AMQPMethod::Cancel(cancel) => {
                self.log("the broker cancelled a consumer");
                self.update_consumer(channel, |pool, index| pool.cancelled_by_broker(index, now));
                if !cancel.nowait {
                    let consumer_tag = cancel.consumer_tag;
                    self.send(channel, AMQPMethod::CancelOk(basic::CancelOk { consumer_tag }));
                }
            }
            AMQPMethod::Ack(ack) if channel == PUBLISH_CHANNEL => {
                let results = self.publisher.confirmed(ack.delivery_tag, ack.multiple, true, now);
                self.handle_publish_results(results, now);
            }
            AMQPMethod::Nack(nack) if channel == PUBLISH_CHANNEL => {
                let results = self.publisher.confirmed(nack.delivery_tag, nack.multiple, false, now);
                self.handle_publish_results(results, now);
            }
            _ => return Err(Malformed("an unexpected basic method")),
        }
        Ok(())
    }

    fn send(&mut self, channel: Channel, method: AMQPMethod) {
        if let Some(connection) = &mut self.connection {
            connection.basic(channel, method);
        }
    }

    // ---- Deadlines ----

    /// Handles deadlines that have passed and the effects of frames and responses since the last call.
    ///
    /// # Errors
    ///
    /// Fails if the connection or its publisher confirms timed out. The connection must then be dropped.
    pub fn tick(&mut self, now: Millis) -> Result<(), Malformed> {
        self.records.expire(now);
        for id in self.take_due(now) {
            self.advance(id, now);
        }
        if let Some(connection) = &mut self.connection {
            connection.tick(now)?;
        }
        if self.publisher.has_timed_out(now) {
            return Err(Malformed("publishes were not confirmed in time"));
        }
        self.flush(now);
        Ok(())
    }

    /// Removes the deadlines that have passed; returns their deliveries. A delivery that is scheduled again within the same
    /// microsecond is due at the next tick.
    fn take_due(&mut self, now: Millis) -> Vec<DeliveryId> {
        let later = self.deadlines.split_off(&(micros(now) + 1, DeliveryId::MIN));
        let due = std::mem::replace(&mut self.deadlines, later);
        due.into_iter().map(|(_, id)| id).collect()
    }

    /// When [`Consumer::tick`] must be called next. It must also be called a few times a second.
    pub fn next_deadline(&self) -> Millis {
        if self.is_dirty {
            return 0.0;
        }
        self.deadlines.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0)
    }

    fn deliveries_where(&self, condition: impl Fn(&Delivery) -> bool) -> Vec<DeliveryId> {
        self.deliveries.iter().filter(|(_, delivery)| condition(delivery)).map(|(id, _)| *id).collect()
    }

    // ---- Statistics ----

    /// Number of delivered messages that are not settled.
    pub fn unsettled(&self) -> usize {
        self.queues.iter().map(|queue| queue.pool.unsettled()).sum()
    }

    /// Window of each queue at a send share of 1, messages.
    pub fn windows(&self) -> impl Iterator<Item = f64> + '_ {
        self.queues.iter().map(|queue| queue.window.target(1.0))
    }

    /// Moving average, for each queue, of the time from sending a message to its delivery, ms.
    pub fn broker_times(&self) -> impl Iterator<Item = Millis> + '_ {
        self.queues.iter().map(|queue| queue.window.broker_time())
    }

    /// The send share that scales the windows.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Number of retained idempotency keys.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }
}

#[cfg(test)]
mod tests;
