//! Test broker of AMQP 0-9-1 on loopback, with faults to inject.

pub mod state;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
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

/// Handle of a broker, which ends with its last handle.
#[derive(Clone)]
pub struct Broker {
    /// Address of the broker.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    connections: Mutex<BTreeMap<ConnectionId, Link>>,
    /// Whether reading is stopped.
    is_stalled: AtomicBool,
    /// Bytes to write until a connection is closed.
    disconnect_after_bytes: AtomicU64,
    is_refusing: AtomicBool,
}

struct Link {
    stream: TcpStream,
    out: Sender<Vec<u8>>,
}

const NEVER: u64 = u64::MAX;

/// A message for a queue, through the default exchange.
pub fn message(queue: &str, id: &str, body: &[u8]) -> Message {
    let mut properties = AMQPProperties::default();
    if !id.is_empty() {
        properties = properties.with_message_id(id.into());
    }
    let (exchange, routing_key) = (String::new(), queue.to_owned());
    Message { exchange, routing_key, properties, body: body.to_vec(), redelivered: false }
}

impl Message {
    /// Adds a reply address.
    #[must_use]
    pub fn reply_to(mut self, queue: &str, correlation: &str) -> Message {
        self.properties = self.properties.with_reply_to(queue.into()).with_correlation_id(correlation.into());
        self
    }

    /// Adds a text header.
    #[must_use]
    pub fn header(self, name: &str, value: &str) -> Message {
        self.with(name, AMQPValue::LongString(value.into()))
    }

    /// Adds the current time as some brokers do (ms, header `timestamp_in_ms`).
    #[must_use]
    pub fn with_sent_time(self) -> Message {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.with_number_header("timestamp_in_ms", unix.as_millis() as i64)
    }

    /// Adds a number header.
    #[must_use]
    pub fn with_number_header(self, name: &str, value: i64) -> Message {
        self.with(name, AMQPValue::LongLongInt(value))
    }

    fn with(mut self, name: &str, value: AMQPValue) -> Message {
        let mut headers = self.properties.headers().clone().unwrap_or_default();
        headers.insert(name.into(), value);
        self.properties = self.properties.with_headers(headers);
        self
    }

    /// A header as text, whatever its type.
    pub fn header_text(&self, name: &str) -> Option<String> {
        match self.properties.headers().as_ref()?.inner().get(name)? {
            AMQPValue::LongString(text) => Some(text.to_string()),
            AMQPValue::LongLongInt(number) => Some(number.to_string()),
            other => Some(format!("{other:?}")),
        }
    }

    /// The `type` property, empty if absent.
    pub fn kind(&self) -> String {
        self.properties.kind().as_ref().map(ToString::to_string).unwrap_or_default()
    }

    /// The `correlation-id` property, empty if absent.
    pub fn correlation(&self) -> String {
        self.properties.correlation_id().as_ref().map(ToString::to_string).unwrap_or_default()
    }
}

impl Broker {
    /// A broker without queues.
    pub fn start() -> Broker {
        Broker::with(State::default())
    }

    /// A broker with the queues `jobs`, `replies` and `dead`.
    pub fn with_jobs() -> Broker {
        let broker = Broker::start();
        for queue in ["jobs", "replies", "dead"] {
            broker.declare(queue);
        }
        broker
    }

    /// A broker with limits: heartbeat interval, frame size and channel number.
    pub fn limited(heartbeat_s: u16, frame_max_bytes: u32, channel_max: u16) -> Broker {
        let mut state = State::default();
        state.heartbeat_s = heartbeat_s;
        state.frame_max_bytes = frame_max_bytes;
        state.channel_max = channel_max;
        Broker::with(state)
    }

    fn with(state: State) -> Broker {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("an address");
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

    /// Accesses the state, and sends the frames that result.
    pub fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state();
        let result = action(&mut state);
        self.shared.send(&mut state);
        result
    }

    /// Declares a queue.
    pub fn declare(&self, queue: &str) {
        self.with_state(|state| state.declare(queue, None));
    }

    /// Publishes a message; its queue must exist.
    pub fn publish(&self, message: Message) {
        assert!(self.with_state(|state| state.publish(message)), "there is such a queue");
    }

    /// Changes the faults that the broker injects.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state().faults);
    }

    /// Takes all ready messages of a queue.
    pub fn take(&self, queue: &str) -> Vec<Message> {
        self.with_state(|state| state.take(queue))
    }

    /// Waits until a queue has this many ready messages, and takes all of them.
    pub fn wait_for_messages(&self, queue: &str, count: usize) -> Vec<Message> {
        self.wait_until(&format!("{count} messages in {queue}"), |state| state.ready(queue) >= count);
        self.take(queue)
    }

    /// Waits until a condition holds.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&State) -> bool) {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while !condition(&self.state()) {
            assert!(Instant::now() < until, "{what}: {}", self.state());
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until a queue has neither ready nor unacknowledged messages.
    pub fn wait_until_empty(&self, queue: &str) {
        self.wait_until(&format!("{queue} is empty"), |s| s.ready(queue) == 0 && s.unacked(queue) == 0);
    }

    /// Closes all connections without notice.
    pub fn disconnect_all(&self) {
        let links = self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().for_each(|link| drop(link.stream.shutdown(Shutdown::Both)));
    }

    /// Closes a connection after this many more bytes.
    pub fn disconnect_after(&self, bytes: u64) {
        self.shared.disconnect_after_bytes.store(bytes, Ordering::Release);
    }

    /// Stops or resumes reading.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.is_stalled.store(is_stalled, Ordering::Release);
    }

    /// Refuses connections, or accepts them again.
    pub fn refuse_connections(&self, is_refusing: bool) {
        self.shared.is_refusing.store(is_refusing, Ordering::Release);
    }

    /// Sends bytes on all connections.
    pub fn send_bytes(&self, bytes: &[u8]) {
        let links = self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().for_each(|link| drop(link.out.send(bytes.to_vec())));
    }
}

impl Shared {
    /// Passes pending frames to the writers of the connections.
    fn send(&self, state: &mut State) {
        let links = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, frame) in state.take_out() {
            let Some(link) = links.get(&id) else { continue };
            // An empty part closes the connection after everything before it.
            let bytes = frame.map(|frame| encode(&frame)).unwrap_or_default();
            let _ = link.out.send(bytes);
        }
    }
}

fn encode(frame: &AMQPFrame) -> Vec<u8> {
    let done = gen_frame(frame)(WriteContext::from(Vec::new())).expect("a frame");
    done.into_inner().0
}

fn accept(listener: &TcpListener, shared: &std::sync::Weak<Shared>) {
    let mut id: ConnectionId = 0;
    while let Ok((stream, _)) = listener.accept() {
        let Some(shared) = shared.upgrade() else { return };
        if shared.is_refusing.load(Ordering::Acquire) {
            continue;
        }
        id += 1;
        let _ = stream.set_nodelay(true);
        let (out, parts) = channel();
        let (reader, writer) = (stream.try_clone().expect("a clone"), stream.try_clone().expect("a clone"));
        shared.connections.lock().unwrap_or_else(PoisonError::into_inner).insert(id, Link { stream, out });
        let for_writer = shared.clone();
        thread::spawn(move || write(writer, &parts, &for_writer));
        thread::spawn(move || {
            let _ = read(reader, id, &shared);
            shared.connections.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
            let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.connection_closed(id);
            shared.send(&mut state);
        });
    }
}

fn write(mut stream: TcpStream, parts: &Receiver<Vec<u8>>, shared: &Shared) {
    let mut over = false;
    while !over && let Ok(mut part) = parts.recv() {
        // Everything that is ready goes into one write, as brokers write the frames of a message. An empty part is the end.
        over = part.is_empty();
        while !over && let Ok(more) = parts.try_recv() {
            over = more.is_empty();
            part.extend(more);
        }
        let left = shared.disconnect_after_bytes.load(Ordering::Acquire);
        if left != NEVER {
            let now = part.len().min(left as usize);
            if stream.write_all(&part[..now]).is_err() || now < part.len() {
                shared.disconnect_after_bytes.store(NEVER, Ordering::Release);
                break;
            }
            shared.disconnect_after_bytes.store(left - now as u64, Ordering::Release);
        } else if stream.write_all(&part).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read(mut stream: TcpStream, id: ConnectionId, shared: &Shared) -> std::io::Result<()> {
    let mut greeting = [0; 8];
    stream.read_exact(&mut greeting)?;
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
