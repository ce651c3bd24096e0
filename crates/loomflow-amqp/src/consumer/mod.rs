//! The consumer: which messages are consumed, what each is submitted as, how each is settled. It ties the parts together and
//! owns every message in flight; what it decides itself is only the order of things.
//!
//! - `inbound`: messages in; `outbound`: messages out;
//! - `flow_control`: windows, consumers and publishes follow what has happened;
//! - `delivery`: one message.

mod delivery;
mod flow_control;
mod inbound;
mod outbound;

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
use crate::settings::Settings;
use crate::settlement::{MessageOutcome, Republish};
use crate::window::Window;
use delivery::{Delivery, Phase};

/// The channel that everything is published on; those of the consumers follow.
const PUBLISH_CHANNEL: Channel = 1;
const FIRST_CONSUMER_CHANNEL: Channel = 2;
/// A publishing channel that the broker closed is opened again after this.
const REOPEN_BACKOFF_MS: Millis = 1_000.0;

/// A message that is to be run.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedMessage {
    /// Names the delivery.
    pub id: DeliveryId,
    /// Index of its queue in the settings.
    pub queue: usize,
    /// Its class and tenant.
    pub classification: Classification,
    /// Its idempotency key, where it has one.
    pub key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// The broker delivered it before.
    pub redelivered: bool,
    /// How long ago it was sent, ms; 0 if that is unknown.
    pub upstream_time: Millis,
}

/// A request of the consumer to its front.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsumerRequest {
    /// To run a message.
    Submit(SubmittedMessage),
    /// To cancel a message: nobody waits for its response any more, and its run has not started.
    Cancel(DeliveryId),
    /// To log a line.
    Log(String),
}

/// The one response to a submitted message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageResponse<'a> {
    /// The result of the run.
    Served(&'a [u8]),
    /// Load was shed, and nothing was started.
    Rejected {
        /// When the message is to come again.
        retry_after: Millis,
        /// It is not to come again anywhere.
        is_final: bool,
    },
    /// It failed, and nothing was started for it.
    NotRun,
    /// It failed, and may have had its effect.
    MayHaveRun,
}

/// What a publish is for.
#[derive(Clone)]
enum PublishPurpose {
    Reply(DeliveryId),
    Republish(DeliveryId, Republish),
    /// The reply to a delivery that was abandoned meanwhile: once it is confirmed, this caller of the key is answered.
    LateReply(IdempotencyKey, u64),
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

/// How many messages ended which way, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that were delivered.
    pub delivered: u64,
    /// Of those, with the broker's mark.
    pub redelivered: u64,
    /// Replies that were confirmed.
    pub replied: u64,
    /// Messages that were published to their queue again, and confirmed.
    pub republished: u64,
    /// Messages that were published as dead letters, and confirmed.
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
    /// When the publishing channel is opened again.
    reopen_at: Option<Millis>,
    records: IdempotencyRecords,
    deliveries: BTreeMap<DeliveryId, Delivery>,
    /// Runs that continue although their delivery was abandoned, for its redelivery.
    orphaned_runs: BTreeMap<DeliveryId, Option<IdempotencyKey>>,
    /// When settlements have something to do, in microseconds.
    deadlines: BTreeSet<(i64, DeliveryId)>,
    pending_publishes: BTreeMap<PublishId, PublishPurpose>,
    last_delivery: DeliveryId,
    last_publish: PublishId,
    /// The wall clock's ms since 1970 at time 0.
    clock_epoch: Millis,
    /// Submitted messages are decided upon.
    is_accepting: bool,
    /// The send share that callers get.
    share: f64,
    /// When a graceful shutdown has to be complete, once it has begun.
    drain_deadline: Option<Millis>,
    /// Nothing that has not been started will be.
    is_intake_stopped: bool,
    requests: Vec<ConsumerRequest>,
    /// Something has happened that windows, consumers or publishes have not followed.
    is_dirty: bool,
    /// How many messages ended which way.
    pub counts: Counts,
}

fn micros(time: Millis) -> i64 {
    (time * 1000.0) as i64
}

impl Consumer {
    /// A consumer without a connection. `store`: what is known of keys from before this process, or elsewhere.
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
            // Ids of publishes must differ among all servers.
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

    /// Where to connect to.
    pub fn broker(&self) -> SocketAddr {
        self.settings.brokers[self.backoff.broker().min(self.settings.brokers.len() - 1)]
    }

    /// A connection was opened.
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

    /// The connection is lost, or could not be opened. Returns how long to wait before the next is opened, none where no
    /// further one is needed.
    pub fn disconnected(&mut self, now: Millis) -> Option<Millis> {
        self.connection = None;
        self.publisher.connection_lost();
        self.pending_publishes.clear();
        self.reopen_at = None;
        for queue in &mut self.queues {
            queue.pool = ConsumerPool::new(PREFETCH_COUNTS.len());
        }
        // Those that waited for one of them go with it.
        for id in self.deliveries.keys().copied().collect::<Vec<_>>() {
            self.abandon(id, now);
        }
        self.deadlines.clear();
        let backoff = self.backoff.disconnected(now);
        self.drain_deadline.is_none().then_some(backoff)
    }

    /// What is to be written to the connection.
    pub fn take_output(&mut self, now: Millis) -> Vec<u8> {
        self.connection.as_mut().map(|connection| connection.take_output(now)).unwrap_or_default()
    }

    /// The requests to the front since the last call.
    pub fn take_requests(&mut self) -> Vec<ConsumerRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Handles a frame.
    ///
    /// # Errors
    /// The connection cannot go on, and is to be closed.
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
            ConnectionEvent::ConfirmsEnabled(_) => return Err(Malformed("a method out of order")),
            ConnectionEvent::ChannelOpened(channel) => {
                self.with_consumer(channel, ConsumerPool::channel_opened);
            }
            ConnectionEvent::ChannelClosed(PUBLISH_CHANNEL, why) => {
                self.log(&format!("the publishing channel was closed: {why}"));
                self.reopen_at = Some(now + REOPEN_BACKOFF_MS);
                let results = self.publisher.channel_closed();
                self.handle_publish_results(results, now);
            }
            ConnectionEvent::ChannelClosed(channel, why) => {
                self.log(&format!("a consumer's channel was closed: {why}"));
                self.channel_closed(channel, now);
            }
            ConnectionEvent::Flow(PUBLISH_CHANNEL, is_flowing) => self.publisher.set_flow(is_flowing),
            ConnectionEvent::Flow(..) | ConnectionEvent::Closed => {}
            ConnectionEvent::Blocked(is_blocked) => self.publishes_blocked(is_blocked),
            ConnectionEvent::ClosedByBroker(why) => {
                self.log(&format!("the broker closed the connection: {why}"));
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
            self.log("the broker allows too few channels for these queues");
        }
        self.log("connected to the broker");
    }

    fn publishes_blocked(&mut self, is_blocked: bool) {
        let text =
            if is_blocked { "the broker takes no publishes" } else { "the broker takes publishes again" };
        self.log(text);
        self.publisher.set_blocked(is_blocked);
    }

    fn log(&mut self, text: &str) {
        self.requests.push(ConsumerRequest::Log(text.to_owned()));
    }

    /// Index of the queue and of the consumer of a channel.
    fn consumer_of(&self, channel: Channel) -> Option<(usize, usize)> {
        let at = usize::from(channel.checked_sub(FIRST_CONSUMER_CHANNEL)?);
        let (queue, consumer) = (at / PREFETCH_COUNTS.len(), at % PREFETCH_COUNTS.len());
        (queue < self.queues.len()).then_some((queue, consumer))
    }

    fn channel_of(queue: usize, consumer: usize) -> Channel {
        FIRST_CONSUMER_CHANNEL + (queue * PREFETCH_COUNTS.len() + consumer) as Channel
    }

    fn with_consumer(&mut self, channel: Channel, update: impl FnOnce(&mut ConsumerPool, usize)) {
        if let Some((queue, consumer)) = self.consumer_of(channel) {
            update(&mut self.queues[queue].pool, consumer);
        }
    }

    fn handle_method(&mut self, channel: Channel, method: AMQPMethod, now: Millis) -> Result<(), Malformed> {
        match method {
            AMQPMethod::QosOk(_) => {}
            AMQPMethod::ConsumeOk(_) => {
                self.with_consumer(channel, ConsumerPool::consumer_started);
            }
            AMQPMethod::CancelOk(_) => {
                self.with_consumer(channel, ConsumerPool::consumer_cancelled);
            }
            AMQPMethod::Cancel(cancel) => {
                self.log("the broker cancelled a consumer");
                self.with_consumer(channel, |pool, index| pool.cancelled_by_broker(index, now));
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
            _ => return Err(Malformed("a method out of order")),
        }
        Ok(())
    }

    fn send(&mut self, channel: Channel, method: AMQPMethod) {
        if let Some(connection) = &mut self.connection {
            connection.basic(channel, method);
        }
    }

    // ---- Deadlines and shutdown ----

    /// Handles the deadlines that have passed, and does what follows from frames and responses since the last time.
    ///
    /// # Errors
    /// The connection cannot go on, and is to be closed.
    pub fn tick(&mut self, now: Millis) -> Result<(), Malformed> {
        self.records.expire(now);
        while let Some((at, id)) = self.deadlines.first().copied().filter(|(at, _)| *at <= micros(now)) {
            self.deadlines.remove(&(at, id));
            self.advance(id, now);
        }
        if let Some(connection) = &mut self.connection {
            connection.tick(now)?;
        }
        if self.publisher.has_timed_out(now) {
            return Err(Malformed("publishes are not confirmed"));
        }
        self.flush(now);
        Ok(())
    }

    /// When there is something to do without a frame or a response; besides, [`Consumer::tick`] is due a few times a
    /// second.
    pub fn next_deadline(&self) -> Millis {
        if self.is_dirty {
            return 0.0;
        }
        self.deadlines.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0)
    }

    /// A graceful shutdown begins: nothing more is consumed, and what waits for the end of a delay is requeued. It has to be
    /// complete by `deadline`.
    pub fn begin_drain(&mut self, deadline: Millis, now: Millis) {
        if self.drain_deadline.is_some() {
            return;
        }
        self.drain_deadline = Some(deadline);
        // A connection that is not up has nothing that would have to be settled.
        if let Some(connection) = self.connection.as_mut().filter(|connection| !connection.is_ready()) {
            connection.close();
        }
        let is_settling = |delivery: &Delivery| matches!(delivery.phase, Phase::Settling(_));
        for id in self.deliveries_where(is_settling) {
            self.advance(id, now);
        }
        self.flush(now);
    }

    /// The grace period is over: what has not been started is returned.
    pub fn stop_intake(&mut self, now: Millis) {
        self.is_intake_stopped = true;
        let is_not_started =
            |delivery: &Delivery| delivery.is_submitted() && delivery.run_started_at.is_none();
        for id in self.deliveries_where(is_not_started) {
            self.requests.push(ConsumerRequest::Cancel(id));
            self.begin_settlement_with_waiters(id, &MessageOutcome::Returned, now);
        }
        self.flush(now);
    }

    fn deliveries_where(&self, condition: impl Fn(&Delivery) -> bool) -> Vec<DeliveryId> {
        self.deliveries.iter().filter(|(_, delivery)| condition(delivery)).map(|(id, _)| *id).collect()
    }

    /// Whether everything is settled, or the time for it is over.
    pub fn is_drained(&self, now: Millis) -> bool {
        let is_closed = || self.connection.as_ref().is_none_or(BrokerConnection::is_closed);
        self.drain_deadline.is_some_and(|deadline| now >= deadline || is_closed())
    }

    // ---- Reports ----

    /// Messages that are not settled.
    pub fn unsettled(&self) -> usize {
        self.queues.iter().map(|queue| queue.pool.unsettled()).sum()
    }

    /// Each queue's window at a send share of 1.
    pub fn windows(&self) -> impl Iterator<Item = f64> + '_ {
        self.queues.iter().map(|queue| queue.window.target(1.0))
    }

    /// How long each queue's recent messages were at the broker, by their sending times.
    pub fn broker_times(&self) -> impl Iterator<Item = Millis> + '_ {
        self.queues.iter().map(|queue| queue.window.broker_time())
    }

    /// The send share that scales the windows.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The number of keys that are remembered.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }
}

#[cfg(test)]
mod tests;
