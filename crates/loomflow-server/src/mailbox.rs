//! What the drivers report to the owner, and the queue that carries it. Knows nothing of either side.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use loomflow_amqp::frames::RawFrames;
use loomflow_protocol::engine::Notice;
use loomflow_protocol::gateway::Request;
use loomflow_protocol::ledger::Reply;
use loomflow_settings::{Config, ConfigError};

use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;

/// Names one connection of a gateway for as long as the server lives.
pub type ConnectionId = u64;
/// Names one link that this server opened, among those to the same peer.
pub type LinkId = u64;

/// Something that the owner handles.
pub enum OwnerEvent {
    /// From a front's driver.
    Front(FrontEvent),
    /// The engine sent a notice.
    EngineNotice(LinkId, Notice),
    /// A link to the engine was closed, or could not be opened.
    EngineDisconnected(LinkId, CloseReason),
    /// The ledger sent a reply.
    LedgerReply(LinkId, Reply),
    /// A connection to the ledger was closed, or could not be opened.
    LedgerDisconnected {
        /// The connection.
        link: LinkId,
        /// Why it was closed.
        reason: CloseReason,
        /// Bytes that were handed to the system.
        bytes_written: u64,
    },
    /// The drivers have read what was unread when the owner began to wait for them.
    ReadersCaughtUp,
    /// SIGTERM was received.
    ShutdownRequested,
    /// SIGHUP was received: the configuration as it is now, or why it cannot be used.
    ConfigReloaded(Result<Box<Config>, ConfigError>),
}

/// Something that a front handles.
pub enum FrontEvent {
    /// On a gateway's connection.
    Gateway(ConnectionId, GatewayEvent),
    /// The listening socket is closed: every connection that was accepted on it has been reported.
    ListenerClosed,
    /// On a link to a broker.
    Broker(LinkId, BrokerEvent),
}

/// Something that happened on a link to a broker.
pub enum BrokerEvent {
    /// It is open.
    Connected,
    /// Complete frames were read.
    FramesReceived(RawFrames),
    /// It was closed, or could not be opened.
    Disconnected(CloseReason),
}

/// Something that happened on a gateway's connection.
pub enum GatewayEvent {
    /// It was accepted.
    Connected(Arc<ConnectionHandle>),
    /// A request was read.
    RequestReceived(Request),
    /// Nothing more will be read; open requests are to be settled.
    InputClosed(CloseReason),
    /// It is closed for writing, too.
    Disconnected(CloseReason),
    /// Its descriptor is closed.
    DescriptorClosed,
}

/// The queue from the drivers to the owner.
#[derive(Default)]
pub struct Mailbox {
    events: Mutex<Vec<OwnerEvent>>,
    not_empty: Condvar,
}

impl Mailbox {
    /// Adds an event and wakes the owner.
    pub fn send(&self, event: OwnerEvent) {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push(event);
        self.not_empty.notify_one();
    }

    /// Adds an event of a gateway's connection.
    pub fn send_gateway_event(&self, id: ConnectionId, event: GatewayEvent) {
        self.send(OwnerEvent::Front(FrontEvent::Gateway(id, event)));
    }

    /// Adds an event of a link to a broker.
    pub fn send_broker_event(&self, link: LinkId, event: BrokerEvent) {
        self.send(OwnerEvent::Front(FrontEvent::Broker(link, event)));
    }

    /// Takes all events; waits for the first for at most `timeout`.
    pub fn receive(&self, timeout: Duration) -> Vec<OwnerEvent> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.not_empty.wait_timeout_while(events, timeout, |events| events.is_empty());
        let (mut events, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut events)
    }
}
