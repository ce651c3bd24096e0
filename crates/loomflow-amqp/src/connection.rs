//! A connection: the handshake, heartbeats, channels and their end (spec 2.2.4, 4.2.7, 4.9). It words every frame.

use std::collections::BTreeMap;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{self, AMQPProperties};
use amq_protocol::protocol::{AMQPClass, channel, confirm, connection};
use amq_protocol::types::{AMQPValue, FieldTable, LongString, ShortString};
use loomflow_protocol::Malformed;

use crate::content::{Assembler, Content};
use crate::frames::{self, FRAME_MAX, OVERHEAD};
use crate::settings::Password;

/// Frames must be allowed to be so long at the least (spec 4.2.3).
const FRAME_MIN: u32 = 4096;
/// A handshake that is not over by then never will be, ms.
const HANDSHAKE_TIMEOUT_MS: f64 = 5_000.0;

/// How the headers begin that we set ourselves.
const OWN_HEADERS: &str = "x-loomflow-";

pub type Channel = u16;

/// What a frame told.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// Channels may be opened.
    Ready,
    ChannelOpened(Channel),
    /// The broker closed a channel; nothing on it can be settled any more.
    ChannelClosed(Channel, String),
    Method(Channel, basic::AMQPMethod),
    Content(Channel, Box<Content>),
    /// Publishes on it are confirmed from now on.
    ConfirmsEnabled(Channel),
    /// The broker asks that content on a channel stop, or go on (spec 1.5.2.3).
    Flow(Channel, bool),
    /// The broker takes no publishes on this connection, or does again (extension).
    Blocked(bool),
    /// The connection is over by the broker's word.
    ClosedByBroker(String),
    /// It is over by our own.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Greeting,
    Tuning,
    Opening,
    Ready,
    Closing,
    Closed,
}

#[derive(Debug)]
enum ChannelState {
    Opening,
    Open(Box<Assembler>),
}

pub struct Login {
    pub vhost: String,
    pub user: String,
    pub password: Password,
    /// Proposed time between heartbeats, s; 0 is none.
    pub heartbeat: u16,
}

pub struct Connection {
    login: Login,
    max_body_bytes: usize,
    state: ConnectionState,
    channels: BTreeMap<Channel, ChannelState>,
    frame_max: u32,
    channel_max: Channel,
    /// Agreed time between heartbeats, ms; none is infinite.
    heartbeat: f64,
    started_at: f64,
    last_received_at: f64,
    last_sent_at: f64,
    output: Vec<u8>,
}

impl Connection {
    /// A connection that has just been opened; it greets at once. `most_body`: octets of a message that are kept.
    pub fn open(login: Login, most_body: usize, now: f64) -> Connection {
        let mut connection = Connection {
            login,
            max_body_bytes: most_body,
            state: ConnectionState::Greeting,
            channels: BTreeMap::new(),
            frame_max: FRAME_MIN,
            channel_max: 0,
            heartbeat: f64::INFINITY,
            started_at: now,
            last_received_at: now,
            last_sent_at: now,
            output: Vec::new(),
        };
        connection.send_frame(&AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
        connection
    }

    /// What is to be written.
    pub fn take_output(&mut self, now: f64) -> Vec<u8> {
        if !self.output.is_empty() {
            self.last_sent_at = now;
        }
        std::mem::take(&mut self.output)
    }

    pub fn channel_max(&self) -> Channel {
        self.channel_max
    }

    pub fn is_ready(&self) -> bool {
        self.state == ConnectionState::Ready
    }

    pub fn is_closed(&self) -> bool {
        self.state == ConnectionState::Closed
    }

    fn send_frame(&mut self, frame: &AMQPFrame) {
        frames::write(&mut self.output, frame);
    }

    fn send_method(&mut self, channel: Channel, class: AMQPClass) {
        self.send_frame(&AMQPFrame::Method(channel, class));
    }

    fn send_control(&mut self, method: connection::AMQPMethod) {
        self.send_method(0, AMQPClass::Connection(method));
    }

    // ---- What is said ----

    pub fn open_channel(&mut self, number: Channel) {
        self.channels.insert(number, ChannelState::Opening);
        self.send_method(number, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
    }

    pub fn basic(&mut self, number: Channel, method: basic::AMQPMethod) {
        self.send_method(number, AMQPClass::Basic(method));
    }

    /// Asks for confirms on a channel (extension).
    pub fn enable_confirms(&mut self, number: Channel) {
        let select = confirm::Select { nowait: false };
        self.send_method(number, AMQPClass::Confirm(confirm::AMQPMethod::Select(select)));
    }

    /// A method with its header and bodies, each within the agreed frame size. A header cannot be parted: where it
    /// would be longer, the headers that are not our own stay behind.
    pub fn publish(
        &mut self,
        number: Channel,
        publish: basic::Publish,
        properties: AMQPProperties,
        body: &[u8],
    ) {
        self.basic(number, basic::AMQPMethod::Publish(publish));
        let header =
            |properties| AMQPContentHeader { class_id: 60, body_size: body.len() as u64, properties };
        let before = self.output.len();
        self.send_frame(&AMQPFrame::Header(number, header(properties.clone())));
        if self.output.len() - before > self.frame_max as usize {
            self.output.truncate(before);
            let all = properties.headers().clone().unwrap_or_default();
            let own = all.into_iter().filter(|(name, _)| name.as_str().starts_with(OWN_HEADERS));
            let own: BTreeMap<_, _> = own.map(|(name, value)| (name.clone(), value.clone())).collect();
            self.send_frame(&AMQPFrame::Header(number, header(properties.with_headers(own.into()))));
        }
        for part in body.chunks(self.frame_max as usize - OVERHEAD) {
            self.send_frame(&AMQPFrame::Body(number, part.to_vec()));
        }
    }

    /// An orderly end: nothing more is taken, and it is over when the broker has said so.
    pub fn close(&mut self) {
        if self.state != ConnectionState::Ready {
            self.state = ConnectionState::Closed;
            return;
        }
        self.state = ConnectionState::Closing;
        let reply_text = "leaving".into();
        let close = connection::Close { reply_code: 200, reply_text, class_id: 0, method_id: 0 };
        self.send_control(connection::AMQPMethod::Close(close));
    }

    // ---- Times ----

    /// Sends a heartbeat where one is due. Errors: nothing was heard for two heartbeats, or the handshake hangs.
    pub fn tick(&mut self, now: f64) -> Result<(), Malformed> {
        let shaking = matches!(
            self.state,
            ConnectionState::Greeting | ConnectionState::Tuning | ConnectionState::Opening
        );
        if shaking && now - self.started_at >= HANDSHAKE_TIMEOUT_MS {
            return Err(Malformed("the handshake takes too long"));
        }
        if self.state == ConnectionState::Ready {
            if now - self.last_received_at >= 2.0 * self.heartbeat {
                return Err(Malformed("no heartbeat has come"));
            }
            if now - self.last_sent_at >= self.heartbeat / 2.0 {
                self.last_sent_at = now;
                self.send_frame(&AMQPFrame::Heartbeat);
            }
        }
        Ok(())
    }

    // ---- What is heard ----

    /// Takes in a frame. Errors: what is out of order or unknown here; the connection cannot go on.
    pub fn handle_frame(&mut self, frame: AMQPFrame, now: f64) -> Result<Option<ConnectionEvent>, Malformed> {
        self.last_received_at = now;
        match frame {
            AMQPFrame::Heartbeat => Ok(None),
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.handle_control(method, now),
            AMQPFrame::Method(0, _) => Err(Malformed("a method that is not for channel 0")),
            AMQPFrame::Method(number, class) => self.handle_channel_method(number, class),
            AMQPFrame::Header(number, header) => {
                let content = self.assembler(number)?.map_or(Ok(None), |a| a.header(header))?;
                Ok(content.map(|content| ConnectionEvent::Content(number, Box::new(content))))
            }
            AMQPFrame::Body(number, bytes) => {
                let content = self.assembler(number)?.map_or(Ok(None), |a| a.body(&bytes))?;
                Ok(content.map(|content| ConnectionEvent::Content(number, Box::new(content))))
            }
            AMQPFrame::ProtocolHeader(_) | AMQPFrame::InvalidHeartbeat(_) => {
                Err(Malformed("a frame that no broker sends"))
            }
        }
    }

    /// Where content on a channel is put together; none while we are closing, when all of it is left.
    fn assembler(&mut self, number: Channel) -> Result<Option<&mut Assembler>, Malformed> {
        if self.state == ConnectionState::Closing {
            return Ok(None);
        }
        match self.channels.get_mut(&number) {
            Some(ChannelState::Open(assembler)) => Ok(Some(assembler)),
            _ => Err(Malformed("content on a channel that is not open")),
        }
    }

    fn handle_control(
        &mut self,
        method: connection::AMQPMethod,
        now: f64,
    ) -> Result<Option<ConnectionEvent>, Malformed> {
        use connection::AMQPMethod as M;
        match (self.state, method) {
            (ConnectionState::Greeting, M::Start(start)) => {
                let offered = start.mechanisms.to_string();
                if (start.version_major, start.version_minor) != (0, 9) {
                    return Err(Malformed("the broker speaks another version of the protocol"));
                }
                if !offered.split(' ').any(|one| one == "PLAIN") {
                    return Err(Malformed("the broker does not take a user and a password (PLAIN)"));
                }
                self.state = ConnectionState::Tuning;
                self.start_ok();
                Ok(None)
            }
            (ConnectionState::Greeting | ConnectionState::Tuning, M::Secure(_)) => {
                Err(Malformed("the broker asks for more than a password"))
            }
            (ConnectionState::Tuning, M::Tune(tune)) => {
                self.tune(&tune)?;
                self.state = ConnectionState::Opening;
                Ok(None)
            }
            (ConnectionState::Opening, M::OpenOk(_)) => {
                (self.state, self.last_received_at, self.last_sent_at) = (ConnectionState::Ready, now, now);
                Ok(Some(ConnectionEvent::Ready))
            }
            (ConnectionState::Closing, M::CloseOk(_)) => {
                self.state = ConnectionState::Closed;
                Ok(Some(ConnectionEvent::Closed))
            }
            (_, M::Close(close)) => {
                self.send_control(M::CloseOk(connection::CloseOk {}));
                let ours = self.state == ConnectionState::Closing;
                self.state = ConnectionState::Closed;
                let why = format!("{} {}", close.reply_code, close.reply_text);
                Ok(Some(if ours { ConnectionEvent::Closed } else { ConnectionEvent::ClosedByBroker(why) }))
            }
            (ConnectionState::Ready, M::Blocked(_)) => Ok(Some(ConnectionEvent::Blocked(true))),
            (ConnectionState::Ready, M::Unblocked(_)) => Ok(Some(ConnectionEvent::Blocked(false))),
            (ConnectionState::Closing, _) => Ok(None),
            _ => Err(Malformed("a method out of order")),
        }
    }

    fn start_ok(&mut self) {
        let yes = AMQPValue::Boolean(true);
        let mut capabilities = FieldTable::default();
        for name in [
            "publisher_confirms",
            "consumer_cancel_notify",
            "connection.blocked",
            "basic.nack",
            "authentication_failure_close",
        ] {
            capabilities.insert(name.into(), yes.clone());
        }
        let mut properties = FieldTable::default();
        properties.insert("product".into(), AMQPValue::LongString("loomflow".into()));
        properties.insert("version".into(), AMQPValue::LongString(env!("CARGO_PKG_VERSION").into()));
        properties.insert("capabilities".into(), AMQPValue::FieldTable(capabilities));
        let response: LongString = format!("\0{}\0{}", self.login.user, self.login.password.0).into();
        self.send_control(connection::AMQPMethod::StartOk(connection::StartOk {
            client_properties: properties,
            mechanism: "PLAIN".into(),
            response,
            locale: "en_US".into(),
        }));
    }

    /// Limits: 0 is "none" on either side (spec 1.4.2.5); the smaller counts.
    fn tune(&mut self, tune: &connection::Tune) -> Result<(), Malformed> {
        let smaller = |theirs: u32, ours: u32| if theirs == 0 { ours } else { theirs.min(ours) };
        self.frame_max = smaller(tune.frame_max, FRAME_MAX);
        if self.frame_max < FRAME_MIN {
            return Err(Malformed("the broker's frames are too short"));
        }
        self.channel_max = smaller(tune.channel_max.into(), Channel::MAX.into()) as Channel;
        let heartbeat = match (tune.heartbeat, self.login.heartbeat) {
            (0, one) | (one, 0) => one,
            (theirs, ours) => theirs.min(ours),
        };
        self.heartbeat = if heartbeat == 0 { f64::INFINITY } else { f64::from(heartbeat) * 1000.0 };
        let (channel_max, frame_max) = (self.channel_max, self.frame_max);
        self.send_control(connection::AMQPMethod::TuneOk(connection::TuneOk {
            channel_max,
            frame_max,
            heartbeat,
        }));
        let virtual_host = ShortString::try_new(self.login.vhost.as_str()).unwrap_or_default();
        self.send_control(connection::AMQPMethod::Open(connection::Open { virtual_host }));
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
                self.channels.remove(&number);
                let done = channel::AMQPMethod::CloseOk(channel::CloseOk {});
                self.send_method(number, AMQPClass::Channel(done));
                let why = format!("{} {}", close.reply_code, close.reply_text);
                Ok(Some(ConnectionEvent::ChannelClosed(number, why)))
            }
            (state @ ChannelState::Opening, AMQPClass::Channel(channel::AMQPMethod::OpenOk(_))) => {
                *state = ChannelState::Open(Box::new(Assembler::new(self.max_body_bytes)));
                Ok(Some(ConnectionEvent::ChannelOpened(number)))
            }
            (ChannelState::Opening, _) => Err(Malformed("a method on a channel that is not open")),
            (ChannelState::Open(assembler), _) if assembler.is_open() => {
                Err(Malformed("a method where the rest of a message is due"))
            }
            (ChannelState::Open(assembler), AMQPClass::Basic(method)) => {
                Ok(assembler.method(method)?.map(|method| ConnectionEvent::Method(number, method)))
            }
            (_, AMQPClass::Confirm(confirm::AMQPMethod::SelectOk(_))) => {
                Ok(Some(ConnectionEvent::ConfirmsEnabled(number)))
            }
            (_, AMQPClass::Channel(channel::AMQPMethod::Flow(flow))) => {
                let done = channel::AMQPMethod::FlowOk(channel::FlowOk { active: flow.active });
                self.send_method(number, AMQPClass::Channel(done));
                Ok(Some(ConnectionEvent::Flow(number, flow.active)))
            }
            _ => Err(Malformed("a method out of order")),
        }
    }
}
