//! Front for the queues of AMQP brokers. It performs the I/O for the state machine in `loomflow-amqp`, which decides what is
//! consumed and how each message is settled.

mod consumer_settings;

use std::sync::Arc;

use loomflow::interface::RequestAttributes;
use loomflow::time::Millis;
use loomflow_amqp::consumer::Counts;
use loomflow_amqp::frames::{Frames, RawFrames};
use loomflow_amqp::idempotency::NoHistory;
use loomflow_amqp::{Consumer, ConsumerRequest, MessageResponse, SubmittedMessage};
use loomflow_protocol::AttemptId;
use loomflow_settings::amqp::Amqp;
use loomflow_settings::{Config, Site};

use super::FrontStartError;
use super::interface::{Failure, FrontRequest, Response, ResponseHandle, Submission};
use crate::budget::Budget;
use crate::clock::{Clock, ClockReading};
use crate::close_reason::CloseReason;
use crate::connection::{self, ConnectionHandle};
use crate::idempotency::IdempotencyKey;
use crate::log;
use crate::mailbox::{BrokerEvent, FrontEvent, LinkId, LinkSender, Mailbox, OwnerEvent};
use crate::time::floor_duration;

/// Interval of the log line with the consumer's counts, which is omitted while they are unchanged.
const REPORT_INTERVAL_MS: Millis = 10_000.0;
/// How long a closed link may write the rest of its queue before it is aborted.
const FINAL_WRITE_TIMEOUT_MS: Millis = 1_000.0;

/// Front that consumes from the queues of one broker at a time.
pub struct AmqpFront {
    site: Site,
    options: Amqp,
    consumer: Consumer,
    mailbox: Arc<Mailbox>,
    /// The current link; events of earlier links are ignored.
    link: LinkId,
    handle: Arc<ConnectionHandle>,
    /// The previous link, which may still be writing, and when it is aborted.
    previous_link: Option<(Arc<ConnectionHandle>, Millis)>,
    attempt_ids: fastrand::Rng,
    reported_counts: Counts,
    next_report: Millis,
}

impl AmqpFront {
    /// Creates the consumer and opens the first link.
    pub fn start(
        config: &Config,
        options: &Amqp,
        budget: &Budget,
        mailbox: &Arc<Mailbox>,
    ) -> Result<AmqpFront, FrontStartError> {
        let settings = consumer_settings::settings(options, &config.site, budget)?;
        // Attempt ids must differ from those of an earlier process with the same seed in its configuration.
        let seed = config.seed ^ Clock::start().now().unix.to_bits();
        let mut amqp = AmqpFront {
            site: config.site.clone(),
            options: options.clone(),
            consumer: Consumer::new(settings, Box::new(NoHistory), seed),
            mailbox: mailbox.clone(),
            link: 0,
            handle: Arc::new(ConnectionHandle::new(None)),
            previous_link: None,
            attempt_ids: fastrand::Rng::with_seed(seed),
            reported_counts: Counts::default(),
            next_report: REPORT_INTERVAL_MS,
        };
        amqp.connect(0.0);
        Ok(amqp)
    }

    fn connect(&mut self, backoff: Millis) {
        self.link += 1;
        self.handle = Arc::new(ConnectionHandle::new(None));
        let (link, address) = (self.link, self.consumer.broker());
        let (handle, mailbox) = (self.handle.clone(), self.mailbox.clone());
        let backoff = floor_duration(backoff);
        may::go!(move || {
            let stream = match connection::connect_after(address, backoff, &handle) {
                Ok(stream) => stream,
                Err(reason) => return mailbox.send_broker_event(link, BrokerEvent::Disconnected(reason)),
            };
            mailbox.send_broker_event(link, BrokerEvent::Connected);
            let mut sender = LinkSender::new(mailbox.clone());
            let deliver = |frames: RawFrames| {
                let count = frames.count();
                let event = FrontEvent::Broker(link, BrokerEvent::FramesReceived(frames));
                sender.send(OwnerEvent::Front(event), count);
            };
            let (stream, reason) = connection::drive(stream, &handle, Frames::default(), deliver, |_| {});
            mailbox.send_broker_event(link, BrokerEvent::Disconnected(reason));
            connection::lingering_close(stream, reason);
        });
    }

    /// Handles an event reported by a link's driver; the resulting requests to the owner are appended to `requests`.
    pub fn handle_event(
        &mut self,
        link: LinkId,
        event: BrokerEvent,
        now: ClockReading,
        requests: &mut Vec<FrontRequest>,
    ) {
        // The epoch is updated on every event, because the wall clock may be adjusted.
        self.consumer.set_epoch(now.unix - now.ms);
        let now = now.ms;
        if link != self.link {
            return;
        }
        match event {
            BrokerEvent::Connected => {
                self.consumer.connected(now);
                self.flush_output(now);
            }
            BrokerEvent::FramesReceived(raw) => self.handle_frames(&raw, now),
            BrokerEvent::Disconnected(reason) => self.link_lost(reason, now),
        }
        self.forward_requests(requests);
    }

    fn handle_frames(&mut self, raw: &RawFrames, now: Millis) {
        for frame in raw.iter() {
            if let Err(malformed) = frame.and_then(|frame| self.consumer.handle_frame(frame, now)) {
                return self.link_lost(CloseReason::ProtocolViolation(malformed.0), now);
            }
        }
    }

    /// Handles a link that was lost or violated the protocol: it may still write its queue for [`FINAL_WRITE_TIMEOUT_MS`],
    /// and another link is opened after a backoff.
    fn link_lost(&mut self, reason: CloseReason, now: Millis) {
        log!(
            part = "amqp",
            broker = %self.consumer.broker(),
            ending = %reason,
            "the link to the broker was closed"
        );
        self.flush_output(now);
        self.handle.close(reason);
        let previous = self.previous_link.replace((self.handle.clone(), now + FINAL_WRITE_TIMEOUT_MS));
        if let Some((handle, _)) = previous {
            handle.abort();
        }
        match self.consumer.disconnected(now) {
            Some(backoff) => self.connect(backoff),
            // The consumer needs no further link; events of the closed one are ignored.
            None => self.link += 1,
        }
    }

    /// Enqueues the consumer's output on the link; called once per batch.
    fn flush_output(&mut self, now: Millis) {
        let output = self.consumer.take_output(now);
        if !output.is_empty() {
            self.handle.enqueue(|out| out.extend_from_slice(&output));
        }
    }

    /// Appends the consumer's requests to `requests`, and writes its log lines.
    fn forward_requests(&mut self, requests: &mut Vec<FrontRequest>) {
        for request in self.consumer.take_requests() {
            match request {
                ConsumerRequest::Submit(message) => {
                    requests.push(FrontRequest::Submit(Box::new(self.submission(message))));
                }
                ConsumerRequest::Cancel(id) => {
                    requests.push(FrontRequest::Cancel(ResponseHandle::Delivery(id)));
                }
                ConsumerRequest::Log(text) => log!(part = "amqp", "{text}"),
            }
        }
    }

    fn submission(&mut self, message: SubmittedMessage) -> Submission {
        let attempt_id = AttemptId(self.attempt_ids.u64(..));
        let queue = self.consumer.queue(message.queue);
        let (class, tenant) = (message.classification.class, message.classification.tenant);
        let attributes = RequestAttributes {
            class,
            tenant,
            // Without a sending time, the time in the queue is unknown, and the timeout counts from now on.
            remaining_wait: self.site.settings.classes[class].timeout - message.upstream_time,
            estimated_work: queue.estimated_work,
            memory_kb: queue.memory_kb,
            rank: queue.rank,
            is_retry: message.redelivered,
            caller: u64::MAX - message.queue as u64,
            age: 0.0,
            upstream_time: message.upstream_time,
        };
        Submission {
            response_handle: ResponseHandle::Delivery(message.id),
            attempt_id,
            key: message.key.map(|text| IdempotencyKey { class, tenant, text }),
            attributes,
            body: message.body,
        }
    }

    /// Passes a response to the consumer. Its frames are sent by the next [`AmqpFront::check_timeouts`], which becomes due
    /// immediately.
    pub fn respond(&mut self, id: u64, response: Response, now: Millis) {
        let response = match response {
            Response::Served(result) => MessageResponse::Served(result),
            Response::Rejected { retry_after, is_final } => {
                MessageResponse::Rejected { retry_after, is_final }
            }
            Response::Failed(Failure::MayHaveRun) => MessageResponse::MayHaveRun,
            Response::Failed(Failure::Invalid | Failure::NotRun) | Response::Health(_) => {
                MessageResponse::NotRun
            }
        };
        self.consumer.respond(id, response, now);
    }

    /// Records that the run of a message may have started.
    pub fn run_started(&mut self, id: u64, now: Millis) {
        self.consumer.run_started(id, now);
    }

    /// Handles deadlines that have passed, and sends the consumer's output.
    pub fn check_timeouts(&mut self, now: Millis, requests: &mut Vec<FrontRequest>) {
        if let Some((handle, _)) = self.previous_link.take_if(|(_, deadline)| now >= *deadline) {
            handle.abort();
        }
        if let Err(malformed) = self.consumer.tick(now) {
            self.link_lost(CloseReason::ProtocolViolation(malformed.0), now);
        }
        self.flush_output(now);
        self.forward_requests(requests);
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL_MS;
            self.log_counts();
        }
    }

    /// Logs the consumer's counts if they have changed since the last log line.
    fn log_counts(&mut self) {
        let counts = self.consumer.counts;
        if std::mem::replace(&mut self.reported_counts, counts) == counts {
            return;
        }
        let Counts { delivered, redelivered, replied, republished, dead_lettered, acks, nacks, rejects } =
            counts;
        let windows: Vec<String> = self.consumer.windows().map(|size| format!("{size:.0}")).collect();
        let broker_times: Vec<String> = self.consumer.broker_times().map(|ms| format!("{ms:.0}")).collect();
        log!(
            part = "amqp",
            unsettled = self.consumer.unsettled(),
            windows = windows.join(" "),
            stood = broker_times.join(" "),
            share = self.consumer.share(),
            delivered,
            redelivered,
            replied,
            acked = acks,
            put_back = republished,
            dead = dead_lettered,
            requeued = nacks,
            rejected = rejects,
            remembered = self.consumer.remembered(),
            "consumer counts"
        );
    }

    /// The time at which [`AmqpFront::check_timeouts`] is due.
    pub fn next_deadline(&self) -> Millis {
        self.consumer.next_deadline()
    }

    /// Starts consuming, once the controller can accept requests.
    pub fn controller_ready(&mut self) {
        self.consumer.start_accepting();
    }

    /// Sets the send share, by which the consumer scales its windows.
    pub fn set_signal(&mut self, share: f64) {
        self.consumer.set_share(share);
    }

    /// Applies reloaded settings.
    pub fn apply_settings(&mut self, site: &Site) {
        self.site = site.clone();
        self.consumer.set_settings(
            site.tenants.clone(),
            consumer_settings::classes(site),
            consumer_settings::queues(&self.options, site),
        );
    }

    /// Begins a graceful shutdown, which has to complete by `deadline`: nothing more is consumed.
    pub fn begin_drain(&mut self, deadline: Millis, now: Millis, requests: &mut Vec<FrontRequest>) {
        self.consumer.begin_drain(deadline, now);
        self.flush_output(now);
        self.forward_requests(requests);
    }

    /// Returns the messages whose runs have not been started to their queues.
    pub fn stop_intake(&mut self, now: Millis, requests: &mut Vec<FrontRequest>) {
        self.consumer.stop_intake(now);
        self.flush_output(now);
        self.forward_requests(requests);
    }

    /// Number of delivered messages that are not settled.
    pub fn unsettled(&self) -> usize {
        self.consumer.unsettled()
    }

    /// Whether every message is settled, or the time for that is over.
    pub fn is_drained(&self, now: Millis) -> bool {
        self.consumer.is_drained(now)
    }
}
