//! Test broker for AMQP 0-9-1 on loopback, with fault injection.

pub mod state;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use amq_protocol::frame::AMQPFrame;
use amq_protocol::frame::{WriteContext, gen_frame, parse_frame};
pub use amq_protocol::protocol::basic::AMQPProperties;
pub use amq_protocol::types::{AMQPValue, FieldTable};

use crate::base::{RESPONSE_TIMEOUT, loopback_listener};
use state::{ConnectionId, State};
pub use state::{Faults, Message, Settled};

/// Handle of a broker. Clones share the broker, which ends when the last handle is dropped and its connections are closed.
#[derive(Clone)]
pub struct Broker {
    /// Address that the broker listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    connections: Mutex<BTreeMap<ConnectionId, Connection>>,
    /// Whether the handling of received frames is suspended.
    is_stalled: AtomicBool,
    /// Number of bytes still to be written, on all connections together, before the connection that is being written at
    /// that point is closed; [`NEVER`] for no limit.
    disconnect_after_bytes: AtomicU64,
    /// Whether new connections are closed immediately.
    is_refusing: AtomicBool,
}

/// The socket of a client and the queue of its writer.
struct Connection {
    stream: TcpStream,
    /// Encoded frames to write; an empty chunk closes the connection.
    out: Sender<Vec<u8>>,
}

/// Value of `disconnect_after_bytes` without a limit.
const NEVER: u64 = u64::MAX;
/// How often a connection without heartbeats is checked for a heartbeat interval.
const HEARTBEAT_POLL: Duration = Duration::from_millis(500);

/// Creates a message for a queue, routed through the default exchange. An empty id is left out.
pub fn message(queue: &str, id: &str, body: &[u8]) -> Message {
    let mut properties = AMQPProperties::default();
    if !id.is_empty() {
        properties = properties.with_message_id(id.into());
    }
    let (exchange, routing_key) = (String::new(), queue.to_owned());
    Message { exchange, routing_key, properties, body: body.to_vec(), redelivered: false }
}

impl Message {
    /// Adds the `reply-to` and `correlation-id` properties.
    #[must_use]
    pub fn reply_to(mut self, queue: &str, correlation: &str) -> Message {
        self.properties = self.properties.with_reply_to(queue.into()).with_correlation_id(correlation.into());
        self
    }

    /// Adds a header with a text value.
    #[must_use]
    pub fn header(self, name: &str, value: &str) -> Message {
        self.with_header_value(name, AMQPValue::LongString(value.into()))
    }

    /// Adds the header `timestamp_in_ms` with the current Unix time in ms, as some brokers do.
    #[must_use]
    pub fn with_sent_time(self) -> Message {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.with_number_header("timestamp_in_ms", unix.as_millis() as i64)
    }

    /// Adds a header with an integer value.
    #[must_use]
    pub fn with_number_header(self, name: &str, value: i64) -> Message {
        self.with_header_value(name, AMQPValue::LongLongInt(value))
    }

    fn with_header_value(mut self, name: &str, value: AMQPValue) -> Message {
        let mut headers = self.properties.headers().clone().unwrap_or_default();
        headers.insert(name.into(), value);
        self.properties = self.properties.with_headers(headers);
        self
    }

    /// Returns the value of a header as text, whatever its type.
    pub fn header_text(&self, name: &str) -> Option<String> {
        match self.properties.headers().as_ref()?.inner().get(name)? {
            AMQPValue::LongString(text) => Some(text.to_string()),
            AMQPValue::LongLongInt(number) => Some(number.to_string()),
            other => Some(format!("{other:?}")),
        }
    }

    /// Returns the `type` property; empty if absent.
    pub fn kind(&self) -> String {
        self.properties.kind().as_ref().map(ToString::to_string).unwrap_or_default()
    }

    /// Returns the `correlation-id` property; empty if absent.
    pub fn correlation(&self) -> String {
        self.properties.correlation_id().as_ref().map(ToString::to_string).unwrap_or_default()
    }
}

impl Broker {
    /// Starts a broker without queues.
    pub fn start() -> Broker {
        Broker::with_initial_state(State::default())
    }

    /// Starts a broker with the queues `jobs`, `replies` and `dead`.
    pub fn with_jobs() -> Broker {
        let broker = Broker::start();
        for queue in ["jobs", "replies", "dead"] {
            broker.declare(queue);
        }
        broker
    }

    /// Starts a broker that proposes this heartbeat interval (s), frame size limit (bytes) and highest channel number.
    pub fn with_limits(heartbeat_s: u16, frame_max_bytes: u32, channel_max: u16) -> Broker {
        let mut state = State::default();
        state.heartbeat_s = heartbeat_s;
        state.frame_max_bytes = frame_max_bytes;
        state.channel_max = channel_max;
        Broker::with_initial_state(state)
    }

    fn with_initial_state(state: State) -> Broker {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("the listener has a local address");
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            connections: Mutex::default(),
            is_stalled: AtomicBool::new(false),
            disconnect_after_bytes: AtomicU64::new(NEVER),
            is_refusing: AtomicBool::new(false),
        });
        let weak = Arc::downgrade(&shared);
        thread::spawn(move || accept(&listener, &weak));
        Broker { address, shared }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `action` on the state, and sends the resulting frames.
    pub fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state();
        let result = action(&mut state);
        self.shared.send(&mut state);
        result
    }

    /// Declares a queue without a dead letter target.
    pub fn declare(&self, queue: &str) {
        self.with_state(|state| state.declare(queue, None));
    }

    /// Publishes a message, which must be routed to a queue.
    pub fn publish(&self, message: Message) {
        assert!(self.with_state(|state| state.publish(message)), "a queue for the message must be declared");
    }

    /// Changes the faults that the broker injects.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state().faults);
    }

    /// Takes all ready messages of a queue.
    pub fn take(&self, queue: &str) -> Vec<Message> {
        self.with_state(|state| state.take(queue))
    }

    /// Waits until a queue has at least `count` ready messages, and takes all of its ready messages.
    pub fn wait_for_messages(&self, queue: &str, count: usize) -> Vec<Message> {
        self.wait_until(&format!("{count} messages in {queue}"), |state| state.ready(queue) >= count);
        self.take(queue)
    }

    /// Waits until a condition holds; `what` describes it in the panic message.
    ///
    /// # Panics
    ///
    /// Panics after [`RESPONSE_TIMEOUT`].
    pub fn wait_until(&self, what: &str, condition: impl Fn(&State) -> bool) {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while !condition(&self.state()) {
            assert!(Instant::now() < until, "not within {RESPONSE_TIMEOUT:?}: {what}: {}", self.state());
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until a queue has neither ready nor unacknowledged messages.
    pub fn wait_until_empty(&self, queue: &str) {
        self.wait_until(&format!("{queue} is empty"), |s| s.ready(queue) == 0 && s.unacked(queue) == 0);
    }

    /// Closes all connections without a `connection.close`.
    pub fn disconnect_all(&self) {
        let connections = self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.values().for_each(|connection| drop(connection.stream.shutdown(Shutdown::Both)));
    }

    /// Closes a connection once this many more bytes were written on all connections together.
    pub fn disconnect_after(&self, bytes: u64) {
        self.shared.disconnect_after_bytes.store(bytes, Ordering::Release);
    }

    /// Suspends or resumes the handling of received frames, and with it the reading from all connections.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.is_stalled.store(is_stalled, Ordering::Release);
    }

    /// Sets whether new connections are closed immediately after they are accepted.
    pub fn refuse_connections(&self, is_refusing: bool) {
        self.shared.is_refusing.store(is_refusing, Ordering::Release);
    }

    /// Sends bytes as they are on all connections.
    pub fn send_bytes(&self, bytes: &[u8]) {
        let connections = self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.values().for_each(|connection| drop(connection.out.send(bytes.to_vec())));
    }
}

impl Shared {
    /// Passes pending frames to the writers of the connections.
    fn send(&self, state: &mut State) {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, frame) in state.take_outgoing() {
            let Some(connection) = connections.get(&id) else { continue };
            // An empty chunk closes the connection after everything before it was written.
            let bytes = frame.map(|frame| encode(&frame)).unwrap_or_default();
            let _ = connection.out.send(bytes);
        }
    }
}

fn encode(frame: &AMQPFrame) -> Vec<u8> {
    let context = gen_frame(frame)(WriteContext::from(Vec::new())).expect("the frame can be encoded");
    context.into_inner().0
}

/// Accepts connections, with a reader and a writer thread for each, until the broker has neither handles nor connections.
fn accept(listener: &TcpListener, shared: &std::sync::Weak<Shared>) {
    let mut id: ConnectionId = 0;
    while let Ok((stream, _)) = listener.accept() {
        let Some(shared) = shared.upgrade() else { return };
        if shared.is_refusing.load(Ordering::Acquire) {
            continue;
        }
        id += 1;
        let _ = stream.set_nodelay(true);
        let (out, chunks) = channel();
        let (reader, writer) = (
            stream.try_clone().expect("the socket is cloned"),
            stream.try_clone().expect("the socket is cloned"),
        );
        shared
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, Connection { stream, out });
        let shared_by_writer = shared.clone();
        thread::spawn(move || write(writer, id, &chunks, &shared_by_writer));
        thread::spawn(move || {
            let _ = read(reader, id, &shared);
            shared.connections.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
            let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.connection_closed(id);
            shared.send(&mut state);
        });
    }
}

/// Waits for the next chunk of a connection. After half a heartbeat interval without one it is a heartbeat (specification
/// 4.2.7), unless the broker is stalled.
fn next_chunk(id: ConnectionId, chunks: &Receiver<Vec<u8>>, shared: &Shared) -> Option<Vec<u8>> {
    loop {
        let heartbeat_s = shared.state.lock().unwrap_or_else(PoisonError::into_inner).heartbeat_s(id);
        let timeout =
            if heartbeat_s > 0 { Duration::from_secs(heartbeat_s.into()) / 2 } else { HEARTBEAT_POLL };
        match chunks.recv_timeout(timeout) {
            Ok(chunk) => return Some(chunk),
            Err(RecvTimeoutError::Disconnected) => return None,
            Err(RecvTimeoutError::Timeout) if heartbeat_s == 0 => {}
            Err(RecvTimeoutError::Timeout) if shared.is_stalled.load(Ordering::Acquire) => {}
            Err(RecvTimeoutError::Timeout) => return Some(encode(&AMQPFrame::Heartbeat)),
        }
    }
}

/// Writes the chunks of a connection until an empty one, a failed write or the limit of `disconnect_after_bytes`.
fn write(mut stream: TcpStream, id: ConnectionId, chunks: &Receiver<Vec<u8>>, shared: &Shared) {
    let mut is_closing = false;
    while !is_closing && let Some(mut chunk) = next_chunk(id, chunks, shared) {
        // Writes all queued chunks at once, as brokers do with the frames of a message. An empty chunk closes the connection.
        is_closing = chunk.is_empty();
        while !is_closing && let Ok(more) = chunks.try_recv() {
            is_closing = more.is_empty();
            chunk.extend(more);
        }
        let left = shared.disconnect_after_bytes.load(Ordering::Acquire);
        if left != NEVER {
            let allowed = chunk.len().min(left as usize);
            if stream.write_all(&chunk[..allowed]).is_err() || allowed < chunk.len() {
                shared.disconnect_after_bytes.store(NEVER, Ordering::Release);
                break;
            }
            shared.disconnect_after_bytes.store(left - allowed as u64, Ordering::Release);
        } else if stream.write_all(&chunk).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Reads and handles the frames of a connection until it ends or sends an invalid frame.
fn read(mut stream: TcpStream, id: ConnectionId, shared: &Shared) -> std::io::Result<()> {
    let mut protocol_header = [0; 8];
    stream.read_exact(&mut protocol_header)?;
    let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.connection_opened(id);
    shared.send(&mut state);
    drop(state);
    loop {
        let mut head = [0; 7];
        stream.read_exact(&mut head)?;
        let size = u32::from_be_bytes([head[3], head[4], head[5], head[6]]) as usize;
        let mut bytes = head.to_vec();
        bytes.resize(7 + size + 1, 0);
        stream.read_exact(&mut bytes[7..])?;
        while shared.is_stalled.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(2));
        }
        let Ok((_, frame)) = parse_frame(&bytes[..]) else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.handle_frame(id, frame);
        shared.send(&mut state);
    }
}
