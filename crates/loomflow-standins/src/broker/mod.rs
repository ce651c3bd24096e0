//! An AMQP 0-9-1 broker on loopback that does on command what brokers do at bad moments.

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

use crate::base::{PATIENCE, free_listener};
use state::{ConnectionId, State};
pub use state::{Faults, Message, Settled};

/// Whoever has it may do to the broker what a test wants; it ends with the last.
#[derive(Clone)]
pub struct Broker {
    /// Address of the broker.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    links: Mutex<BTreeMap<ConnectionId, Link>>,
    /// Nothing more is read.
    stalled: AtomicBool,
    /// Every connection is cut once so many more bytes are written to it.
    cut_after: AtomicU64,
    refusing: AtomicBool,
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
    /// The same with somebody who waits for a reply.
    #[must_use]
    pub fn reply_to(mut self, queue: &str, correlation: &str) -> Message {
        self.properties = self.properties.with_reply_to(queue.into()).with_correlation_id(correlation.into());
        self
    }

    /// The same with one more header.
    #[must_use]
    pub fn header(self, name: &str, value: &str) -> Message {
        self.with(name, AMQPValue::LongString(value.into()))
    }

    /// The same, stamped with the time as some brokers stamp what comes in (ms, header `timestamp_in_ms`).
    #[must_use]
    pub fn sent_now(self) -> Message {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.stamped("timestamp_in_ms", unix.as_millis() as i64)
    }

    /// The same with a header that is a number.
    #[must_use]
    pub fn stamped(self, name: &str, value: i64) -> Message {
        self.with(name, AMQPValue::LongLongInt(value))
    }

    fn with(mut self, name: &str, value: AMQPValue) -> Message {
        let mut headers = self.properties.headers().clone().unwrap_or_default();
        headers.insert(name.into(), value);
        self.properties = self.properties.with_headers(headers);
        self
    }

    /// A header as text, whatever its type.
    pub fn says(&self, name: &str) -> Option<String> {
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

    /// One with the queues of a server that takes jobs: `jobs`, `replies` and `dead`.
    pub fn with_jobs() -> Broker {
        let broker = Broker::start();
        ["jobs", "replies", "dead"].into_iter().for_each(|queue| broker.declare(queue));
        broker
    }

    /// One with such limits: heartbeat in s, octets of a frame, channels.
    pub fn limited(heartbeat: u16, frame_max: u32, channel_max: u16) -> Broker {
        let mut state = State::default();
        (state.heartbeat, state.frame_max, state.channel_max) = (heartbeat, frame_max, channel_max);
        Broker::with(state)
    }

    fn with(state: State) -> Broker {
        let listener = free_listener();
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            links: Mutex::default(),
            stalled: AtomicBool::new(false),
            cut_after: AtomicU64::new(NEVER),
            refusing: AtomicBool::new(false),
        });
        let weak = Arc::downgrade(&shared);
        thread::spawn(move || accept(&listener, &weak));
        Broker { address, shared }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does something with what the broker holds, and says what follows.
    pub fn with_state<T>(&self, does: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state();
        let done = does(&mut state);
        self.shared.send(&mut state);
        done
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

    /// The next messages of a queue that nobody consumes, once there are so many.
    pub fn wait(&self, queue: &str, count: usize) -> Vec<Message> {
        self.until(&format!("{count} messages in {queue}"), |state| state.ready(queue) >= count);
        self.take(queue)
    }

    /// Waits until something holds.
    pub fn until(&self, what: &str, holds: impl Fn(&State) -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds(&self.state()) {
            assert!(Instant::now() < until, "{what}: {}", self.state());
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until a queue holds nothing, ready or unacknowledged.
    pub fn drained(&self, queue: &str) {
        self.until(&format!("{queue} is empty"), |s| s.ready(queue) == 0 && s.unacked(queue) == 0);
    }

    /// Breaks every connection off.
    pub fn cut(&self) {
        let links = self.shared.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().for_each(|link| drop(link.stream.shutdown(Shutdown::Both)));
    }

    /// Breaks a connection off once so many more bytes are written to it.
    pub fn cut_after(&self, bytes: u64) {
        self.shared.cut_after.store(bytes, Ordering::Release);
    }

    /// Reads nothing more, or goes on.
    pub fn stall(&self, is: bool) {
        self.shared.stalled.store(is, Ordering::Release);
    }

    /// Takes no connection, or does again.
    pub fn refuse(&self, is: bool) {
        self.shared.refusing.store(is, Ordering::Release);
    }

    /// Any bytes, on every connection.
    pub fn say_bytes(&self, bytes: &[u8]) {
        let links = self.shared.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().for_each(|link| drop(link.out.send(bytes.to_vec())));
    }
}

impl Shared {
    /// Hands what is to be said to the connections' writers.
    fn send(&self, state: &mut State) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, frame) in state.take_out() {
            let Some(link) = links.get(&id) else { continue };
            // An empty part ends the connection once all before it is written.
            let bytes = frame.map(|frame| worded(&frame)).unwrap_or_default();
            let _ = link.out.send(bytes);
        }
    }
}

fn worded(frame: &AMQPFrame) -> Vec<u8> {
    let done = gen_frame(frame)(WriteContext::from(Vec::new())).expect("a frame");
    done.into_inner().0
}

fn accept(listener: &TcpListener, shared: &std::sync::Weak<Shared>) {
    let mut id: ConnectionId = 0;
    while let Ok((stream, _)) = listener.accept() {
        let Some(shared) = shared.upgrade() else { return };
        if shared.refusing.load(Ordering::Acquire) {
            continue;
        }
        id += 1;
        let _ = stream.set_nodelay(true);
        let (out, parts) = channel();
        let (reader, writer) = (stream.try_clone().expect("a clone"), stream.try_clone().expect("a clone"));
        shared.links.lock().unwrap_or_else(PoisonError::into_inner).insert(id, Link { stream, out });
        let for_writer = shared.clone();
        thread::spawn(move || write(writer, &parts, &for_writer));
        thread::spawn(move || {
            let _ = read(reader, id, &shared);
            shared.links.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
            let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.ended(id);
            shared.send(&mut state);
        });
    }
}

fn write(mut stream: TcpStream, parts: &Receiver<Vec<u8>>, shared: &Shared) {
    let mut over = false;
    while !over && let Ok(mut part) = parts.recv() {
        // What is ready goes out in one write, as brokers write a message's frames. An empty part is the end.
        over = part.is_empty();
        while !over && let Ok(more) = parts.try_recv() {
            over = more.is_empty();
            part.extend(more);
        }
        let left = shared.cut_after.load(Ordering::Acquire);
        if left != NEVER {
            let now = part.len().min(left as usize);
            if stream.write_all(&part[..now]).is_err() || now < part.len() {
                shared.cut_after.store(NEVER, Ordering::Release);
                break;
            }
            shared.cut_after.store(left - now as u64, Ordering::Release);
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
    state.opened(id);
    shared.send(&mut state);
    drop(state);
    loop {
        let mut head = [0; 7];
        stream.read_exact(&mut head)?;
        let size = u32::from_be_bytes([head[3], head[4], head[5], head[6]]) as usize;
        let mut bytes = head.to_vec();
        bytes.resize(7 + size + 1, 0);
        stream.read_exact(&mut bytes[7..])?;
        while shared.stalled.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(2));
        }
        let Ok((_, frame)) = parse_frame(&bytes[..]) else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.frame(id, frame);
        shared.send(&mut state);
    }
}
