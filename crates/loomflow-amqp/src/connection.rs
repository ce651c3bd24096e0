//! State machine of one broker connection: handshake, heartbeats, channels and closing (specification 2.2.4, 4.2.7,
//! 4.9). It encodes all outgoing frames and turns received frames into [`ConnectionEvent`]s. It owns no socket and
//! reads no clock.

use std::collections::BTreeMap;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{self, AMQPProperties};
use amq_protocol::protocol::{AMQPClass, channel, confirm, connection};
use amq_protocol::types::{AMQPValue, FieldTable, LongString, ShortString};
use loomflow_protocol::Malformed;

use crate::Millis;
use crate::content::{Assembler, BASIC_CLASS_ID, Content};
use crate::frames::{self, FRAME_MAX_BYTES, FRAME_OVERHEAD_BYTES};
use crate::settings::Password;

/// Smallest frame size that a peer may negotiate, bytes (specification 4.2.3).
const FRAME_MIN_BYTES: u32 = 4096;
/// Maximum duration of the handshake, ms.
const HANDSHAKE_TIMEOUT_MS: Millis = 5_000.0;

/// Reply code and text of an orderly close (specification 1.2).
const REPLY_SUCCESS: u16 = 200;
const CLOSE_TEXT: &str = "leaving";
/// Number of heartbeat intervals without a received frame after which the connection is considered dead (specification
/// 4.2.7).
const MAX_SILENT_INTERVALS: f64 = 2.0;
/// Fraction of the heartbeat interval after which a heartbeat is sent. Below 1 so that a delayed heartbeat still
/// arrives in time.
const HEARTBEAT_SEND_FRACTION: f64 = 0.5;
/// Client capabilities that are announced to the broker (extension).
const CAPABILITIES: [&str; 5] = [
    "publisher_confirms",
    "consumer_cancel_notify",
    "connection.blocked",
    "basic.nack",
    "authentication_failure_close",
];

/// Prefix of the message headers that loomflow sets.
const OWN_HEADER_PREFIX: &str = "x-loomflow-";

/// Number of a channel within its connection.
pub type Channel = u16;

/// Event that a received frame causes.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// The handshake is complete; channels may be opened.
    Ready,
    /// A channel is open.
    ChannelOpened(Channel),
    /// The broker closed a channel for the given reason. Deliveries on it can no longer be settled.
    ChannelClosed(Channel, String),
    /// A `basic` method without content.
    Method(Channel, basic::AMQPMethod),
    /// A complete message: method, header and body.
    Content(Channel, Box<Content>),
    /// Publisher confirms are enabled on a channel (extension).
    ConfirmsEnabled(Channel),
    /// The broker allows (true) or stops (false) content on a channel (specification 1.5.2.3).
    Flow(Channel, bool),
    /// The broker blocks (true) or unblocks (false) publishing on this connection (extension).
    Blocked(bool),
    /// The broker closed the connection for the given reason.
    ClosedByBroker(String),
    /// The connection was closed at the request of this side.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    AwaitingStart,
    AwaitingTune,
    AwaitingOpenOk,
    Ready,
    Closing,
    Closed,
}

#[derive(Debug)]
enum ChannelState {
    Opening,
    Open(Box<Assembler>),
}

/// Credentials and parameters of the handshake.
pub struct Login {
    /// Virtual host to open.
    pub vhost: String,
    /// User name for the PLAIN mechanism.
    pub user: String,
    /// Password of the user.
    pub password: Password,
    /// Proposed heartbeat interval, s; 0 disables heartbeats.
    pub heartbeat_s: u16,
}

/// One connection to a broker.
pub struct BrokerConnection {
    login: Login,
    max_body_bytes: usize,
    state: ConnectionState,
    channels: BTreeMap<Channel, ChannelState>,
    frame_max_bytes: u32,
    channel_max: Channel,
    /// Negotiated heartbeat interval, ms; infinite when heartbeats are disabled.
    heartbeat_interval: Millis,
    started_at: Millis,
    last_received_at: Millis,
    last_sent_at: Millis,
    output: Vec<u8>,
}

impl BrokerConnection {
    /// Starts the handshake on a newly opened transport. Message bodies larger than `max_body_bytes` are discarded.
    pub fn open(login: Login, max_body_bytes: usize, now: Millis) -> BrokerConnection {
        let mut connection = BrokerConnection {
            login,
            max_body_bytes,
            state: ConnectionState::AwaitingStart,
            channels: BTreeMap::new(),
            frame_max_bytes: FRAME_MIN_BYTES,
            channel_max: 0,
            heartbeat_interval: f64::INFINITY,
            started_at: now,
            last_received_at: now,
            last_sent_at: now,
            output: Vec::new(),
        };
        connection.send_frame(&AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
        connection
    }

    /// Takes the bytes to be written to the socket.
    pub fn take_output(&mut self, now: Millis) -> Vec<u8> {
        if !self.output.is_empty() {
            self.last_sent_at = now;
        }
        std::mem::take(&mut self.output)
    }

    /// Negotiated highest channel number; 0 before the handshake.
    pub fn channel_max(&self) -> Channel {
        self.channel_max
    }

    /// Whether the handshake is complete and the connection is not being closed.
    pub fn is_ready(&self) -> bool {
        self.state == ConnectionState::Ready
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.state == ConnectionState::Closed
    }

    fn send_frame(&mut self, frame: &AMQPFrame) {
        frames::write(&mut self.output, frame);
    }

    fn send_method(&mut self, channel: Channel, class: AMQPClass) {
        self.send_frame(&AMQPFrame::Method(channel, class));
    }

    fn send_connection_method(&mut self, method: connection::AMQPMethod) {
        self.send_method(0, AMQPClass::Connection(method));
    }

    // ---- Sending ----

    /// Sends `channel.open`.
    pub fn open_channel(&mut self, number: Channel) {
        self.channels.insert(number, ChannelState::Opening);
        self.send_method(number, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
    }

    /// Sends a `basic` method without content.
    pub fn basic(&mut self, number: Channel, method: basic::AMQPMethod) {
        self.send_method(number, AMQPClass::Basic(method));
    }

    /// Sends `confirm.select` to enable publisher confirms on a channel (extension).
    pub fn enable_confirms(&mut self, number: Channel) {
        let select = confirm::AMQPMethod::Select(confirm::Select { nowait: false });
        self.send_method(number, AMQPClass::Confirm(select));
    }

    /// Publishes a message as method, header and body frames within the negotiated frame size. A header frame cannot be
    /// split: if it would be too large, only the headers that loomflow sets are sent.
    pub fn publish(
        &mut self,
        number: Channel,
        publish: basic::Publish,
        properties: AMQPProperties,
        body: &[u8],
    ) {
        self.basic(number, basic::AMQPMethod::Publish(publish));
        let header_start = self.output.len();
        self.send_content_header(number, body.len(), properties.clone());
        if self.output.len() - header_start > self.frame_max_bytes as usize {
            self.output.truncate(header_start);
            self.send_content_header(number, body.len(), with_own_headers_only(properties));
        }
        for chunk in body.chunks(self.frame_max_bytes as usize - FRAME_OVERHEAD_BYTES) {
            self.send_frame(&AMQPFrame::Body(number, chunk.to_vec()));
        }
    }

    fn send_content_header(&mut self, number: Channel, body_len: usize, properties: AMQPProperties) {
        let header = AMQPContentHeader { class_id: BASIC_CLASS_ID, body_size: body_len as u64, properties };
        self.send_frame(&AMQPFrame::Header(number, header));
    }

    /// Closes the connection. Received frames are ignored until the broker confirms the close. An incomplete handshake
    /// is aborted without a close.
    pub fn close(&mut self) {
        if self.state != ConnectionState::Ready {
            self.state = ConnectionState::Closed;
            return;
        }
        self.state = ConnectionState::Closing;
        let reply_text = CLOSE_TEXT.into();
        let close = connection::Close { reply_code: REPLY_SUCCESS, reply_text, class_id: 0, method_id: 0 };
        self.send_connection_method(connection::AMQPMethod::Close(close));
    }

    // ---- Timers ----

    /// Sends a heartbeat if one is due.
    ///
    /// # Errors
    ///
    /// Fails if the handshake timed out, or if nothing was received for two heartbeat intervals.
    pub fn tick(&mut self, now: Millis) -> Result<(), Malformed> {
        let in_handshake = matches!(
            self.state,
            ConnectionState::AwaitingStart | ConnectionState::AwaitingTune | ConnectionState::AwaitingOpenOk
        );
        if in_handshake && now - self.started_at >= HANDSHAKE_TIMEOUT_MS {
            return Err(Malformed("the handshake timed out"));
        }
        if self.state == ConnectionState::Ready {
            if now - self.last_received_at >= MAX_SILENT_INTERVALS * self.heartbeat_interval {
                return Err(Malformed("no frame was received for two heartbeat intervals"));
            }
            if now - self.last_sent_at >= self.heartbeat_interval * HEARTBEAT_SEND_FRACTION {
                self.last_sent_at = now;
                self.send_frame(&AMQPFrame::Heartbeat);
            }
        }
        Ok(())
    }

    // ---- Receiving ----

    /// Handles a received frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is not allowed in the current state. The connection must then be dropped.
    pub fn handle_frame(
        &mut self,
        frame: AMQPFrame,
        now: Millis,
    ) -> Result<Option<ConnectionEvent>, Malformed> {
        self.last_received_at = now;
        match frame {
            AMQPFrame::Heartbeat => Ok(None),
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.handle_connection_method(method, now),
            AMQPFrame::Method(0, _) => {
                Err(Malformed("a method on channel 0 that is not a connection method"))
            }
            AMQPFrame::Method(number, class) => self.handle_channel_method(number, class),
            AMQPFrame::Header(number, header) => {
                let content =
                    self.assembler(number)?.map_or(Ok(None), |assembler| assembler.header(header))?;
                Ok(content.map(|content| ConnectionEvent::Content(number, Box::new(content))))
            }
            AMQPFrame::Body(number, bytes) => {
                let content = self.assembler(number)?.map_or(Ok(None), |assembler| assembler.body(&bytes))?;
                Ok(content.map(|content| ConnectionEvent::Content(number, Box::new(content))))
            }
            AMQPFrame::ProtocolHeader(_) | AMQPFrame::InvalidHeartbeat(_) => {
                Err(Malformed("a frame that a broker must not send"))
            }
        }
    }

    /// The assembler of a channel; `None` while the connection is being closed, when content is ignored.
    fn assembler(&mut self, number: Channel) -> Result<Option<&mut Assembler>, Malformed> {
        if self.state == ConnectionState::Closing {
            return Ok(None);
        }
        match self.channels.get_mut(&number) {
            Some(ChannelState::Open(assembler)) => Ok(Some(assembler)),
            _ => Err(Malformed("content on a channel that is not open")),
        }
    }

    fn handle_connection_method(
        &mut self,
        method: connection::AMQPMethod,
        now: Millis,
    ) -> Result<Option<ConnectionEvent>, Malformed> {
        use connection::AMQPMethod as M;
        match (self.state, method) {
            (ConnectionState::AwaitingStart, M::Start(start)) => {
                check_start(&start)?;
                self.state = ConnectionState::AwaitingTune;
                self.send_start_ok();
                Ok(None)
            }
            (ConnectionState::AwaitingStart | ConnectionState::AwaitingTune, M::Secure(_)) => {
                Err(Malformed("the broker requires more than a user name and a password"))
            }
            (ConnectionState::AwaitingTune, M::Tune(tune)) => {
                self.tune(&tune)?;
                self.state = ConnectionState::AwaitingOpenOk;
                Ok(None)
            }
            (ConnectionState::AwaitingOpenOk, M::OpenOk(_)) => {
                (self.state, self.last_received_at, self.last_sent_at) = (ConnectionState::Ready, now, now);
                Ok(Some(ConnectionEvent::Ready))
            }
            (ConnectionState::Closing, M::CloseOk(_)) => {
                self.state = ConnectionState::Closed;
                Ok(Some(ConnectionEvent::Closed))
            }
            (_, M::Close(close)) => Ok(Some(self.closed_by_broker(&close))),
            (ConnectionState::Ready, M::Blocked(_)) => Ok(Some(ConnectionEvent::Blocked(true))),
            (ConnectionState::Ready, M::Unblocked(_)) => Ok(Some(ConnectionEvent::Blocked(false))),
            (ConnectionState::Closing, _) => Ok(None),
            _ => Err(Malformed("an unexpected connection method")),
        }
    }

    /// Confirms a close by the broker. Both sides may close at the same time (specification 2.2.4).
    fn closed_by_broker(&mut self, close: &connection::Close) -> ConnectionEvent {
        self.send_connection_method(connection::AMQPMethod::CloseOk(connection::CloseOk {}));
        let was_closing = self.state == ConnectionState::Closing;
        self.state = ConnectionState::Closed;
        if was_closing {
            return ConnectionEvent::Closed;
        }
        ConnectionEvent::ClosedByBroker(format!("{} {}", close.reply_code, close.reply_text))
    }

    fn send_start_ok(&mut self) {
        let mut capabilities = FieldTable::default();
        for name in CAPABILITIES {
            capabilities.insert(name.into(), AMQPValue::Boolean(true));
        }
        let mut properties = FieldTable::default();
        properties.insert("product".into(), AMQPValue::LongString("loomflow".into()));
        properties.insert("version".into(), AMQPValue::LongString(env!("CARGO_PKG_VERSION").into()));
        properties.insert("capabilities".into(), AMQPValue::FieldTable(capabilities));
        let response: LongString = format!("\0{}\0{}", self.login.user, self.login.password.0).into();
        self.send_connection_method(connection::AMQPMethod::StartOk(connection::StartOk {
            client_properties: properties,
            mechanism: "PLAIN".into(),
            response,
            locale: "en_US".into(),
        }));
    }

    /// Negotiates limits: the smaller value of both sides applies, and 0 means no limit (specification 1.4.2.5).
    fn tune(&mut self, tune: &connection::Tune) -> Result<(), Malformed> {
        let smaller = |theirs: u32, ours: u32| if theirs == 0 { ours } else { theirs.min(ours) };
        self.frame_max_bytes = smaller(tune.frame_max, FRAME_MAX_BYTES);
        if self.frame_max_bytes < FRAME_MIN_BYTES {
            return Err(Malformed("the broker's maximum frame size is below 4096 bytes"));
        }
        self.channel_max = smaller(tune.channel_max.into(), Channel::MAX.into()) as Channel;
        let heartbeat_s = match (tune.heartbeat, self.login.heartbeat_s) {
            (0, only) | (only, 0) => only,
            (theirs, ours) => theirs.min(ours),
        };
        self.heartbeat_interval =
            if heartbeat_s == 0 { f64::INFINITY } else { f64::from(heartbeat_s) * 1000.0 };
        let (channel_max, frame_max) = (self.channel_max, self.frame_max_bytes);
        self.send_connection_method(connection::AMQPMethod::TuneOk(connection::TuneOk {
            channel_max,
            frame_max,
            heartbeat: heartbeat_s,
        }));
        let virtual_host = ShortString::try_new(self.login.vhost.as_str()).unwrap_or_default();
        self.send_connection_method(connection::AMQPMethod::Open(connection::Open { virtual_host }));
        Ok(())
    }

    fn handle_channel_method(
        &mut self,
        number: Channel,
        class: AMQPClass,
    ) -> Result<Option<ConnectionEvent>, Malformed> {
        if self.state == ConnectionState::Closing {
            return Ok(None);
        }
        let Some(state) = self.channels.get_mut(&number).filter(|_| self.state == ConnectionState::Ready)
        else {
            return Err(Malformed("a method on a channel that is not open"));
        };
        match (state, class) {
            (_, AMQPClass::Channel(channel::AMQPMethod::Close(close))) => {
                Ok(Some(self.channel_closed_by_broker(number, &close)))
            }
            (state @ ChannelState::Opening, AMQPClass::Channel(channel::AMQPMethod::OpenOk(_))) => {
                *state = ChannelState::Open(Box::new(Assembler::new(self.max_body_bytes)));
                Ok(Some(ConnectionEvent::ChannelOpened(number)))
            }
            (ChannelState::Opening, _) => Err(Malformed("a method on a channel that is not open")),
            (ChannelState::Open(assembler), _) if assembler.is_open() => {
                Err(Malformed("a method frame inside an incomplete message"))
            }
            (ChannelState::Open(assembler), AMQPClass::Basic(method)) => {
                Ok(assembler.method(method)?.map(|method| ConnectionEvent::Method(number, method)))
            }
            (_, AMQPClass::Confirm(confirm::AMQPMethod::SelectOk(_))) => {
                Ok(Some(ConnectionEvent::ConfirmsEnabled(number)))
            }
            (_, AMQPClass::Channel(channel::AMQPMethod::Flow(flow))) => {
                let flow_ok = channel::AMQPMethod::FlowOk(channel::FlowOk { active: flow.active });
                self.send_method(number, AMQPClass::Channel(flow_ok));
                Ok(Some(ConnectionEvent::Flow(number, flow.active)))
            }
            _ => Err(Malformed("an unexpected channel method")),
        }
    }

    fn channel_closed_by_broker(&mut self, number: Channel, close: &channel::Close) -> ConnectionEvent {
        self.channels.remove(&number);
        let close_ok = channel::AMQPMethod::CloseOk(channel::CloseOk {});
        self.send_method(number, AMQPClass::Channel(close_ok));
        ConnectionEvent::ChannelClosed(number, format!("{} {}", close.reply_code, close.reply_text))
    }
}

/// Checks that the broker uses AMQP 0-9 and supports the PLAIN mechanism.
fn check_start(start: &connection::Start) -> Result<(), Malformed> {
    if (start.version_major, start.version_minor) != (0, 9) {
        return Err(Malformed("the broker uses another version of the protocol"));
    }
    let mechanisms = start.mechanisms.to_string();
    if !mechanisms.split(' ').any(|mechanism| mechanism == "PLAIN") {
        return Err(Malformed("the broker does not support the PLAIN mechanism"));
    }
    Ok(())
}

/// Drops the message headers that loomflow did not set.
fn with_own_headers_only(properties: AMQPProperties) -> AMQPProperties {
    let all = properties.headers().clone().unwrap_or_default();
    let own: BTreeMap<_, _> = all
        .into_iter()
        .filter(|(name, _)| name.as_str().starts_with(OWN_HEADER_PREFIX))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    properties.with_headers(own.into())
}

#[cfg(test)]
pub(crate) mod tests;
