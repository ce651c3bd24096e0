//! Events that connection drivers and the signal thread send to the owner (the main thread, which has the state of the
//! server), and the queue that delivers them.

mod link_sender;

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use loomflow_amqp::frames::RawFrames;
use loomflow_protocol::engine::Notice;
use loomflow_protocol::gateway::Request;
use loomflow_protocol::ledger::Reply;
use loomflow_settings::{Config, ConfigError};

use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;
pub use link_sender::LinkSender;

/// Identifies a gateway connection; unique in the lifetime of the process.
pub type ConnectionId = u64;
/// Identifies a connection that this server opened; unique among those to the same peer.
pub type LinkId = u64;

/// An event for the owner.
pub enum OwnerEvent {
    /// An event for a front.
    Front(FrontEvent),
    /// The engine sent a notice.
    EngineNotice(LinkId, Notice),
    /// A link to the engine was closed, or could not be opened.
    EngineDisconnected(LinkId, CloseReason),
    /// The ledger sent a reply.
    LedgerReply(LinkId, Reply),
    /// A connection to the ledger was closed, or could not be opened.
    LedgerDisconnected {
        /// Id of the connection.
        link: LinkId,
        /// Why it was closed.
        reason: CloseReason,
        /// Bytes that were handed to the operating system; calls that end beyond them were not sent.
        bytes_written: u64,
    },
    /// The drivers have read all input that had arrived when the owner started to wait for this event.
    ReadersCaughtUp,
    /// SIGTERM was received.
    ShutdownRequested,
    /// SIGHUP was received; contains the configuration that was read after it, or the reason why it is invalid.
    ConfigReloaded(Result<Box<Config>, ConfigError>),
}

/// An event for a front, which receives requests.
pub enum FrontEvent {
    /// An event on a gateway connection.
    Gateway(ConnectionId, GatewayEvent),
    /// The listening socket was closed; all connections that were accepted on it have been reported before.
    ListenerClosed,
    /// An event on a link to a broker.
    Broker(LinkId, BrokerEvent),
}

/// An event on a link to a broker.
pub enum BrokerEvent {
    /// The link was opened.
    Connected,
    /// Complete AMQP frames were read.
    FramesReceived(RawFrames),
    /// The link was closed, or could not be opened.
    Disconnected(CloseReason),
}

/// An event on a gateway connection.
pub enum GatewayEvent {
    /// The connection was accepted.
    Connected(Arc<ConnectionHandle>),
    /// A request was received.
    RequestReceived(Request),
    /// No more input will be read. The front must settle the requests that are still open.
    InputClosed(CloseReason),
    /// The connection is closed for writing, too.
    Disconnected(CloseReason),
    /// The file descriptor of the connection was closed.
    DescriptorClosed,
}

/// Queue of events for the owner. It is bounded by its senders: gateways by their open requests, links by [`LinkSender`].
#[derive(Default)]
pub struct Mailbox {
    queue: Mutex<Queue>,
    not_empty: Condvar,
}

#[derive(Default)]
struct Queue {
    events: Vec<OwnerEvent>,
    /// Number of times that the owner has taken events.
    batches_taken: u64,
}

impl Mailbox {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an event and wakes the owner.
    pub fn send(&self, event: OwnerEvent) {
        self.lock().events.push(event);
        self.not_empty.notify_one();
    }

    /// Number of times that the owner has taken events.
    fn batches_taken(&self) -> u64 {
        self.lock().batches_taken
    }

    /// Adds an event on a gateway connection.
    pub fn send_gateway_event(&self, id: ConnectionId, event: GatewayEvent) {
        self.send(OwnerEvent::Front(FrontEvent::Gateway(id, event)));
    }

    /// Adds an event on a link to a broker.
    pub fn send_broker_event(&self, link: LinkId, event: BrokerEvent) {
        self.send(OwnerEvent::Front(FrontEvent::Broker(link, event)));
    }

    /// Takes all queued events. If there are none, waits for the first for at most `timeout`.
    pub fn receive(&self, timeout: Duration) -> Vec<OwnerEvent> {
        let is_empty = |queue: &mut Queue| queue.events.is_empty();
        let waited = self.not_empty.wait_timeout_while(self.lock(), timeout, is_empty);
        let (mut queue, _) = waited.unwrap_or_else(PoisonError::into_inner);
        queue.batches_taken += u64::from(!queue.events.is_empty());
        std::mem::take(&mut queue.events)
    }
}
