//! The front's side of a broker: which messages are taken, what each is offered as, how each is settled. It ties the
//! parts together and owns every message in hand; what it decides itself is only the order of things.

mod flow_control;
mod inbound;
mod outbound;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::{self, AMQPMethod, AMQPProperties};
use loomflow_protocol::Malformed;

use crate::backoff::Backoff;
use crate::connection::{Channel, Connection, ConnectionEvent, Login};
use crate::consumer_pool::{self, ConsumerPool};
use crate::idempotency::{DeliveryId, IdempotencyKey, IdempotencyRecords, IdempotencyStore};
use crate::message::Classification;
use crate::publisher::{PublishId, Publisher};
use crate::settings::Settings;
use crate::settlement::{MessageOutcome, Republish, Settling};
use crate::window::Window;

/// The channel that everything is published on; those of the lanes follow.
const PUBLISH_CHANNEL: Channel = 1;
const FIRST_CONSUMER_CHANNEL: Channel = 2;
/// A publishing channel that the broker closed is opened again after this, ms.
const REOPEN_BACKOFF_MS: f64 = 1_000.0;

/// A message to be decided upon.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedMessage {
    pub id: DeliveryId,
    /// Its place among the queues of the settings.
    pub queue: usize,
    pub classification: Classification,
    pub key: Option<String>,
    pub body: Vec<u8>,
    /// The broker gave it to somebody before.
    pub redelivered: bool,
    /// How long ago it was sent, ms; 0 where it does not say.
    pub upstream_time: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ConsumerRequest {
    Submit(SubmittedMessage),
    /// Nobody waits for the answer to this any more, and its run has not begun.
    Cancel(DeliveryId),
    /// For the log.
    Log(String),
}

/// The one answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageResponse<'a> {
    Served(&'a [u8]),
    /// Turned away, never begun; to come again after so many ms, or nowhere any more (`last`).
    Rejected {
        retry_after: f64,
        is_final: bool,
    },
    NotRun,
    MayHaveRun,
}

struct Delivery {
    queue: usize,
    consumer: usize,
    tag: u64,
    properties: AMQPProperties,
    body: Vec<u8>,
    redelivered: bool,
    classification: Option<Classification>,
    key: Option<IdempotencyKey>,
    /// When it was sent, where it says so, and when it came, on our clock, ms.
    sent_at: Option<f64>,
    received_at: f64,
    run_started_at: Option<f64>,
    phase: Phase,
}

enum Phase {
    /// Offered, and perhaps running.
    Submitted,
    /// Waits for another of its key.
    AwaitingOriginal,
    Settling(Settling),
}

/// What a publish is for.
#[derive(Clone)]
enum PublishPurpose {
    Reply(DeliveryId),
    Republish(DeliveryId, Republish),
    /// The reply to a delivery that is gone meanwhile: once it is confirmed, this caller of the key has heard.
    LateReply(IdempotencyKey, u64),
}

struct QueueState {
    pool: ConsumerPool,
    window: Window,
}

/// How many messages ended which way, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub delivered: u64,
    pub redelivered: u64,
    pub replied: u64,
    pub put_back: u64,
    pub dead: u64,
    pub acked: u64,
    pub requeued: u64,
    pub rejected: u64,
}

pub struct Consumer {
    settings: Settings,
    connection: Option<Connection>,
    backoff: Backoff,
    queues: Vec<QueueState>,
    publisher: Publisher,
    /// The publishing channel is to be opened again then.
    reopen_at: Option<f64>,
    records: IdempotencyRecords,
    deliveries: BTreeMap<DeliveryId, Delivery>,
    /// Runs that go on although their delivery is gone, for the redelivery that will come.
    orphaned_runs: BTreeMap<DeliveryId, Option<IdempotencyKey>>,
    /// When exits have something to do, us.
    deadlines: BTreeSet<(i64, DeliveryId)>,
    pending_publishes: BTreeMap<PublishId, PublishPurpose>,
    last_delivery: DeliveryId,
    last_publish: PublishId,
    /// Unix ms at the beginning of our clock.
    clock_epoch: f64,
    /// Whether there is somebody to offer to, and the send share that callers are told.
    is_accepting: bool,
    share: f64,
    /// Leaving, with this as the time by which all must be over.
    drain_deadline: Option<f64>,
    /// Nothing that has not begun will be.
    is_intake_stopped: bool,
    requests: Vec<ConsumerRequest>,
    /// Something has happened that windows, lanes or publishes have not followed yet.
    is_dirty: bool,
    pub counts: Counts,
}

fn micros(ms: f64) -> i64 {
    (ms * 1000.0) as i64
}

impl Consumer {
    /// `past`: what is known of keys beyond this process. Nothing is connected yet.
    pub fn new(settings: Settings, past: Box<dyn IdempotencyStore + Send>, seed: u64) -> Consumer {
        let sources = settings.queues.iter();
        let sources = sources.map(|_| QueueState {
            pool: ConsumerPool::new(consumer_pool::PREFETCH_COUNTS.len()),
            window: Window::default(),
        });
        Consumer {
            connection: None,
            backoff: Backoff::new(settings.brokers.len(), seed),
            queues: sources.collect(),
            publisher: Publisher::new(settings.max_unconfirmed),
            reopen_at: None,
            records: IdempotencyRecords::new(settings.retention, settings.capacity, past),
            deliveries: BTreeMap::new(),
            orphaned_runs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            pending_publishes: BTreeMap::new(),
            last_delivery: 0,
            // Messages that we publish are told apart among those of all servers.
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

    /// A connection has been opened.
    pub fn connected(&mut self, now: f64) {
        if self.drain_deadline.is_some() {
            return;
        }
        let login = Login {
            vhost: self.settings.vhost.clone(),
            user: self.settings.user.clone(),
            password: self.settings.password.clone(),
            heartbeat: self.settings.heartbeat,
        };
        self.connection = Some(Connection::open(login, self.settings.max_body_bytes, now));
    }

    /// The connection is over, or could not be opened: when to open the next, ms from now; none once there is no need
    /// of one.
    pub fn disconnected(&mut self, now: f64) -> Option<f64> {
        self.connection = None;
        self.publisher.connection_lost();
        self.pending_publishes.clear();
        self.reopen_at = None;
        for source in &mut self.queues {
            source.pool = ConsumerPool::new(consumer_pool::PREFETCH_COUNTS.len());
        }
        // Whoever waited for one of them goes with it.
        for id in self.deliveries.keys().copied().collect::<Vec<_>>() {
            self.abandon(id, now);
        }
        self.deadlines.clear();
        let pause = self.backoff.disconnected(now);
        self.drain_deadline.is_none().then_some(pause)
    }

    /// What is to be written to the connection.
    pub fn take_output(&mut self, now: f64) -> Vec<u8> {
        self.connection.as_mut().map(|c| c.take_output(now)).unwrap_or_default()
    }

    pub fn take_requests(&mut self) -> Vec<ConsumerRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Takes in a frame. Errors: the connection cannot go on, and is to be broken off.
    pub fn handle_frame(&mut self, frame: AMQPFrame, now: f64) -> Result<(), Malformed> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        let Some(told) = connection.handle_frame(frame, now)? else { return Ok(()) };
        match told {
            ConnectionEvent::Ready => {
                self.backoff.connected(now);
                connection.open_channel(PUBLISH_CHANNEL);
                // Channels that the broker allows, shared by the queues.
                let lanes =
                    usize::from(connection.channel_max().saturating_sub(1)) / self.queues.len().max(1);
                for source in &mut self.queues {
                    source.pool = ConsumerPool::new(lanes.min(consumer_pool::PREFETCH_COUNTS.len()));
                }
                if lanes == 0 {
                    self.log("the broker allows too few channels for these queues");
                }
                self.log("connected to the broker");
            }
            ConnectionEvent::ChannelOpened(PUBLISH_CHANNEL) => connection.enable_confirms(PUBLISH_CHANNEL),
            ConnectionEvent::ConfirmsEnabled(PUBLISH_CHANNEL) => self.publisher.channel_opened(),
            ConnectionEvent::ConfirmsEnabled(_) => return Err(Malformed("a method out of order")),
            ConnectionEvent::ChannelOpened(channel) => {
                self.with_consumer(channel, |lanes, at| lanes.channel_opened(at))
            }
            ConnectionEvent::ChannelClosed(PUBLISH_CHANNEL, why) => {
                self.log(&format!("the publishing channel was closed: {why}"));
                self.reopen_at = Some(now + REOPEN_BACKOFF_MS);
                let fates = self.publisher.channel_closed();
                self.publishes_finished(fates, now);
            }
            ConnectionEvent::ChannelClosed(channel, why) => {
                self.log(&format!("a consumer's channel was closed: {why}"));
                self.channel_closed(channel, now);
            }
            ConnectionEvent::Flow(PUBLISH_CHANNEL, on) => self.publisher.set_flow(on),
            ConnectionEvent::Flow(..) => {}
            ConnectionEvent::Blocked(is) => {
                self.log(if is {
                    "the broker takes no publishes"
                } else {
                    "the broker takes publishes again"
                });
                self.publisher.set_blocked(is);
            }
            ConnectionEvent::ClosedByBroker(why) => {
                self.log(&format!("the broker closed the connection: {why}"));
                return Err(Malformed("the broker closed the connection"));
            }
            ConnectionEvent::Closed => {}
            ConnectionEvent::Method(channel, method) => self.handle_method(channel, method, now)?,
            ConnectionEvent::Content(channel, content) => self.handle_content(channel, *content, now)?,
        }
        self.is_dirty = true;
        Ok(())
    }

    fn log(&mut self, text: &str) {
        self.requests.push(ConsumerRequest::Log(text.to_owned()));
    }

    /// The queue and the lane of a channel.
    fn consumer_of(&self, channel: Channel) -> Option<(usize, usize)> {
        let at = usize::from(channel.checked_sub(FIRST_CONSUMER_CHANNEL)?);
        let place = (at / consumer_pool::PREFETCH_COUNTS.len(), at % consumer_pool::PREFETCH_COUNTS.len());
        (place.0 < self.queues.len()).then_some(place)
    }

    fn channel_of(queue: usize, lane: usize) -> Channel {
        FIRST_CONSUMER_CHANNEL + (queue * consumer_pool::PREFETCH_COUNTS.len() + lane) as Channel
    }

    fn with_consumer(&mut self, channel: Channel, does: impl FnOnce(&mut ConsumerPool, usize)) {
        if let Some((queue, lane)) = self.consumer_of(channel) {
            does(&mut self.queues[queue].pool, lane);
        }
    }

    fn handle_method(&mut self, channel: Channel, method: AMQPMethod, now: f64) -> Result<(), Malformed> {
        match method {
            AMQPMethod::QosOk(_) => {}
            AMQPMethod::ConsumeOk(_) => self.with_consumer(channel, |lanes, at| lanes.consumer_started(at)),
            AMQPMethod::CancelOk(_) => self.with_consumer(channel, |lanes, at| lanes.consumer_cancelled(at)),
            AMQPMethod::Cancel(cancel) => {
                self.log("the broker cancelled a consumer");
                self.with_consumer(channel, |lanes, at| lanes.cancelled_by_broker(at, now));
                if !cancel.nowait {
                    let consumer_tag = cancel.consumer_tag;
                    self.send(channel, AMQPMethod::CancelOk(basic::CancelOk { consumer_tag }));
                }
            }
            AMQPMethod::Ack(ack) if channel == PUBLISH_CHANNEL => {
                let fates = self.publisher.confirmed(ack.delivery_tag, ack.multiple, true, now);
                self.publishes_finished(fates, now);
            }
            AMQPMethod::Nack(nack) if channel == PUBLISH_CHANNEL => {
                let fates = self.publisher.confirmed(nack.delivery_tag, nack.multiple, false, now);
                self.publishes_finished(fates, now);
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

    // ---- Times, and leaving ----

    /// Looks at times, and does what has followed from frames and answers since the last. Errors: the connection cannot go on, and is to be broken off.
    pub fn tick(&mut self, now: f64) -> Result<(), Malformed> {
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

    /// When there is something to do without a word from anybody; besides, `tick` is due a few times a second.
    pub fn next_deadline(&self) -> f64 {
        if self.is_dirty {
            return 0.0;
        }
        self.deadlines.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0)
    }

    /// The notice to leave: nothing more is taken, and what waits for the end of its pause goes back. All must be over
    /// `by` then.
    pub fn begin_drain(&mut self, by: f64, now: f64) {
        if self.drain_deadline.is_some() {
            return;
        }
        self.drain_deadline = Some(by);
        // One that is not up yet carries nothing that would have to be settled.
        if let Some(connection) = self.connection.as_mut().filter(|connection| !connection.is_ready()) {
            connection.close();
        }
        let exits = self.deliveries.iter().filter(|(_, d)| matches!(d.phase, Phase::Settling(_)));
        let exits: Vec<DeliveryId> = exits.map(|(id, _)| *id).collect();
        exits.into_iter().for_each(|id| self.advance(id, now));
        self.flush(now);
    }

    /// The grace is over: what has not begun goes back.
    pub fn stop_intake(&mut self, now: f64) {
        self.is_intake_stopped = true;
        let unbegun = |d: &Delivery| matches!(d.phase, Phase::Submitted) && d.run_started_at.is_none();
        let back: Vec<DeliveryId> =
            self.deliveries.iter().filter(|(_, d)| unbegun(d)).map(|(id, _)| *id).collect();
        for id in back {
            self.requests.push(ConsumerRequest::Cancel(id));
            self.finish_with_waiters(id, &MessageOutcome::Returned, now);
        }
        self.flush(now);
    }

    /// Whether nothing is owed to the broker any more, or there is no more time for it.
    pub fn is_drained(&self, now: f64) -> bool {
        self.drain_deadline
            .is_some_and(|by| now >= by || self.connection.as_ref().is_none_or(Connection::is_closed))
    }

    // ---- For those who look ----

    /// Messages in hand that the broker has not heard the end of.
    pub fn unsettled(&self) -> usize {
        self.queues.iter().map(|source| source.pool.unsettled()).sum()
    }

    /// Each queue's window at a send share of 1.
    pub fn windows(&self) -> impl Iterator<Item = f64> + '_ {
        self.queues.iter().map(|source| source.window.target(1.0))
    }

    /// How long each queue's messages stood at the broker of late, ms, by what they say.
    pub fn broker_times(&self) -> impl Iterator<Item = f64> + '_ {
        self.queues.iter().map(|source| source.window.broker_time())
    }

    /// The send share that scales them.
    pub fn share(&self) -> f64 {
        self.share
    }

    pub fn remembered(&self) -> usize {
        self.records.len()
    }
}
