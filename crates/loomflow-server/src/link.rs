//! The thin driver of a connection: one coroutine and one descriptor that read, decode and write. What is to be
//! written waits in its outbox; whoever adds to it wakes the coroutine.

#[cfg(test)]
mod tests;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use loomflow_protocol::Decoder;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;

use crate::ending::Ending;

/// Messages taken from one connection before the others have their turn.
const TURN: usize = 16;
/// Pause before the next turn, for each message on the connection that could not be taken, up to the longest:
/// who floods is held up by its own flood.
const PACE: Duration = Duration::from_millis(5);
const LONGEST_PACE: u32 = 20;
/// One of them is forgiven after each of these: a connection that carries requests of many, and lasts for days, pays for
/// what it does and not for what it once did.
const FORGIVEN_AFTER: Duration = Duration::from_secs(1);
/// How long opening a connection may take.
const OPENING: Duration = Duration::from_millis(500);
/// How long a closed connection waits for its peer to close too, so that the last answers are read.
pub const LINGER: Duration = Duration::from_millis(300);
/// One wait of it counts for so much at the most: time in which the machine stood still was nobody's to close in.
const LINGER_STEP: Duration = Duration::from_millis(50);
/// What is read meanwhile goes nowhere: so much at once, and then a pause, so that a flood costs little.
const LINGER_READ: usize = 4096;
const LINGER_PACE: Duration = Duration::from_millis(5);
/// Unwritten bytes beyond which nothing more is read.
const MOST_UNWRITTEN: usize = 64 * 1024;

/// Stack of a connection's coroutine, in words of 8 bytes.
const STACK_WORDS: usize = 4096;
/// Stacks that are kept for connections to come. The library makes all of them at the start and touches the first pages of
/// each: its own default of a thousand was most of what a server held. More connections than these make their own.
const POOL: usize = 128;

/// Sets up what carries all connections, before the first of them: one thread, since `may` keeps waits with a time-out in
/// lists that only the thread of their connections may touch, and a connection's coroutine may run on any.
pub fn one_thread() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(POOL).set_worker_pin(false);
}

/// What is still to be written to a connection, and how long it is to be read.
pub struct Outbox {
    state: Mutex<State>,
}

struct State {
    bytes: Vec<u8>,
    /// How much of `bytes` is written.
    at: usize,
    /// Bytes written and bytes added since the connection was opened.
    written: u64,
    added: u64,
    /// Messages read that still need an answer, and how many there may be where they need one.
    open: usize,
    most_open: Option<usize>,
    /// Why nothing more is read; then it ends once nothing is open and all is written.
    ending: Option<Ending>,
    /// The driver has been woken for what was added.
    woken: bool,
    /// Wakes the driver, while there is one that waits for nothing but its peer and us. `may` keeps a wait with a time-out
    /// in a list that only the thread of its connections may touch, and takes it out where the wait is ended: an end by
    /// another thread, in the wait of a linger, breaks that list. So it is used only under this lock, and gone by then.
    waker: Option<WaitIoWaker>,
    /// A part of a message that waits for its rest.
    half: Option<Half>,
    strikes: Strikes,
}

/// Messages of late that could not be taken, up to the most that make a difference.
#[derive(Clone, Copy, Debug)]
struct Strikes {
    count: u32,
    /// Since when none has been forgiven.
    since: Instant,
}

impl Strikes {
    fn at(&mut self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.since);
        let forgiven = elapsed.as_secs() / FORGIVEN_AFTER.as_secs();
        self.count = self.count.saturating_sub(u32::try_from(forgiven).unwrap_or(u32::MAX));
        self.since = if self.count == 0 { now } else { self.since + FORGIVEN_AFTER * forgiven as u32 };
        self.count
    }

    fn add(&mut self, now: Instant) {
        self.count = (self.at(now) + 1).min(LONGEST_PACE);
    }
}

/// A message of which a part has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Half {
    since: Instant,
    /// When the last byte of it came, and how many have.
    grew_at: Instant,
    bytes: usize,
}

impl Half {
    /// What is known of it once `bytes` are there: only more of them is progress, not a look at it.
    fn grown(before: Option<Half>, bytes: usize, now: Instant) -> Option<Half> {
        match before {
            _ if bytes == 0 => None,
            Some(half) if half.bytes == bytes => Some(half),
            half => Some(Half { since: half.map_or(now, |half| half.since), grew_at: now, bytes }),
        }
    }

    /// Whether its rest is no longer to be waited for: nothing came for `quiet`, or it takes longer than `whole`.
    pub fn is_stuck(&self, quiet: Duration, whole: Duration) -> bool {
        self.grew_at.elapsed() >= quiet || self.since.elapsed() >= whole
    }
}

impl State {
    /// The first reason stays, but for that of being idle: it is the only one that may be taken back.
    fn end(&mut self, ending: Ending) {
        if matches!(self.ending, None | Some(Ending::Idle)) {
            self.ending = Some(ending);
        }
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }
}

impl Outbox {
    /// `most_open`: how many messages may await an answer before reading stops, where each needs one.
    pub fn new(most_open: Option<usize>) -> Outbox {
        let state = State {
            bytes: Vec::new(),
            at: 0,
            written: 0,
            added: 0,
            open: 0,
            most_open,
            ending: None,
            woken: false,
            waker: None,
            half: None,
            strikes: Strikes { count: 0, since: Instant::now() },
        };
        Outbox { state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds what `write` writes; the answer is where it ends among all bytes of this connection.
    pub fn add(&self, write: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let mut state = self.state();
        let before = state.bytes.len();
        write(&mut state.bytes);
        state.added += (state.bytes.len() - before) as u64;
        if !std::mem::replace(&mut state.woken, true) {
            state.wake();
        }
        state.added
    }

    /// As `add`, for the answer to one message.
    pub fn answer(&self, write: impl FnOnce(&mut Vec<u8>)) {
        {
            // Nothing is open any more on one that was broken off meanwhile.
            let mut state = self.state();
            state.open = state.open.saturating_sub(1);
        }
        self.add(write);
    }

    /// Ends the connection once nothing is open and all is written.
    pub fn end(&self, ending: Ending) {
        let mut state = self.state();
        state.end(ending);
        state.wake();
    }

    /// Takes back the end of a connection that was taken for idle. False where it ends for another reason by now.
    pub fn resume(&self) -> bool {
        let mut state = self.state();
        let resumes = state.ending == Some(Ending::Idle);
        if resumes {
            state.ending = None;
        }
        resumes
    }

    /// Ends the connection at once, whatever is not written yet. The answer is how much was.
    pub fn abort(&self) -> u64 {
        let mut state = self.state();
        (state.bytes, state.at, state.open) = (Vec::new(), 0, 0);
        state.end(Ending::GivenUp);
        state.wake();
        state.written
    }

    /// How many of the added bytes the system has taken.
    pub fn written(&self) -> u64 {
        self.state().written
    }

    pub fn all_written(&self) -> bool {
        self.unwritten() == 0
    }

    pub fn unwritten(&self) -> usize {
        let state = self.state();
        state.bytes.len() - state.at
    }

    #[cfg(test)]
    pub fn added(&self) -> u64 {
        self.state().added
    }

    /// What a driver writes when the system takes at most so many bytes.
    #[cfg(test)]
    pub fn write_out(&self, most: usize) -> Vec<u8> {
        let mut state = self.state();
        state.woken = false;
        let end = state.bytes.len().min(state.at.saturating_add(most));
        let taken = state.bytes[state.at..end].to_vec();
        (state.at, state.written) = (end, state.written + taken.len() as u64);
        if state.at == state.bytes.len() {
            (state.bytes, state.at) = (Vec::new(), 0);
        }
        taken
    }

    /// Whether its driver would read from it, and why it would end it.
    #[cfg(test)]
    pub fn driven(&self) -> (bool, Option<Ending>) {
        (self.reads_on(), self.over())
    }

    /// Whether it is to end; no longer so once its driver has found that it was not idle.
    pub fn is_ending(&self) -> bool {
        self.state().ending.is_some()
    }

    /// The part of a message that waits for its rest.
    pub fn half(&self) -> Option<Half> {
        self.state().half
    }

    fn waits(&self, unread: usize) {
        let mut state = self.state();
        state.half = Half::grown(state.half, unread, Instant::now());
    }

    /// A message could not be taken.
    pub fn strike(&self) {
        self.state().strikes.add(Instant::now());
    }

    fn pace(&self) -> Duration {
        PACE * self.state().strikes.at(Instant::now())
    }

    /// A message was read that may need an answer.
    pub fn taken(&self) {
        let mut state = self.state();
        state.half = None;
        state.open += usize::from(state.most_open.is_some());
    }

    /// Writes what the system takes.
    fn flush(&self, mut stream: &std::net::TcpStream) -> Result<(), Ending> {
        let mut state = self.state();
        state.woken = false;
        while state.at < state.bytes.len() {
            match stream.write(&state.bytes[state.at..]) {
                Ok(0) => return Err(Ending::Reset),
                Ok(count) => {
                    state.at += count;
                    state.written += count as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Ending::Reset),
            }
        }
        (state.bytes, state.at) = (Vec::new(), 0);
        Ok(())
    }

    fn reads_on(&self) -> bool {
        let state = self.state();
        let unwritten = state.bytes.len() - state.at;
        state.ending.is_none()
            && state.most_open.is_none_or(|most| state.open < most)
            && unwritten < MOST_UNWRITTEN
    }

    /// Why the connection is over, once nothing more is owed on it.
    fn over(&self) -> Option<Ending> {
        let state = self.state();
        state.ending.filter(|_| state.open == 0 && state.at == state.bytes.len())
    }
}

/// Lets a coroutine sleep, and brings it back to the thread that carries all connections.
///
/// `may` resumes a coroutine whose wait has timed out on its timer thread, and lets it run there until it waits again. A wait
/// for a connection that begins on that thread can be over, and its coroutine with it, on the connections' thread before
/// `may` has finished registering it (`subscribe` in its `tcp_stream_connect.rs`, `socket_read.rs` and `wait_io.rs` uses what
/// it refers to after it has given the coroutine away): memory is used after it was freed. So every sleep goes by here, and
/// whatever else waits with a time-out goes back by `return_to_worker` before it touches a connection.
pub fn sleep(span: Duration) {
    may::coroutine::sleep(span);
    return_to_worker();
}

/// Brings a coroutine that may have been resumed on `may`'s timer thread back to the thread that carries all connections:
/// giving way there puts it into that thread's queue.
pub fn return_to_worker() {
    may::coroutine::yield_now();
}

/// Opens a connection, after a pause where one is due, unless it has been ended by then.
pub fn open(to: SocketAddr, pause: Duration, outbox: &Outbox) -> Result<TcpStream, Ending> {
    if !pause.is_zero() {
        sleep(pause);
    }
    if let Some(ending) = outbox.over() {
        return Err(ending);
    }
    connect(to)
}

pub fn connect(to: SocketAddr) -> Result<TcpStream, Ending> {
    let stream = TcpStream::connect_timeout(&to, OPENING).map_err(|e| Ending::of_connect(&e))?;
    // Answers are small and each is waited for.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Lets further reads wait for so long.
pub fn limit_reads(stream: &TcpStream, wait: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(whole_ms(wait)))
}

/// A wait as `may` can keep it: whole milliseconds, and at least one. It cuts what is beyond them, takes none of them for
/// no limit at all, and waits twice where it finds itself awake before the rest was over; so what is left of a time, which
/// may be less than one, would be waited for without end, and a period that is not whole would be doubled.
pub fn whole_ms(wait: Duration) -> Duration {
    Duration::from_millis(wait.as_millis().clamp(1, u64::MAX.into()) as u64)
}

/// Reads and writes until the connection is over, and tells how it ended. `stopped` hears why nothing more is read
/// before that, where it is the peer's doing: what is open is then still to be settled.
pub fn drive<D: Decoder>(
    stream: TcpStream,
    outbox: &Outbox,
    decoder: D,
    deliver: impl FnMut(D::Message),
    stopped: impl FnOnce(Ending),
) -> (TcpStream, Ending) {
    outbox.state().waker = Some(stream.waker());
    let ending = run(&stream, outbox, decoder, deliver, stopped);
    // Nobody wakes it from here on.
    outbox.state().waker = None;
    (stream, ending)
}

fn run<D: Decoder>(
    stream: &TcpStream,
    outbox: &Outbox,
    mut decoder: D,
    mut deliver: impl FnMut(D::Message),
    stopped: impl FnOnce(Ending),
) -> Ending {
    let mut stopped = Some(stopped);
    loop {
        if let Err(ending) = outbox.flush(stream.inner()) {
            return ending;
        }
        let turn = read(stream.inner(), outbox, &mut decoder, &mut deliver);
        match turn {
            Ok(Turn::Full) => {
                match outbox.pace() {
                    Duration::ZERO => may::coroutine::yield_now(),
                    pace => sleep(pace),
                }
                continue;
            }
            Ok(Turn::Empty) => {}
            Ok(Turn::Stopped(ending)) => {
                if let Some(stopped) = stopped.take() {
                    stopped(ending);
                }
            }
            Err(ending) => return ending,
        }
        if let Some(ending) = outbox.over() {
            // What has arrived before the close was received. Only its reader knows of it: whoever found the connection
            // idle knew what had been read.
            if ending == Ending::Idle && has_spoken(stream.inner(), &mut decoder) && outbox.resume() {
                continue;
            }
            return ending;
        }
        stream.wait_io();
    }
}

/// Whether the peer has said more than was taken in as messages.
fn has_spoken<D: Decoder>(mut stream: &std::net::TcpStream, decoder: &mut D) -> bool {
    let buffer = decoder.buffer();
    if let Ok(count) = stream.read(buffer.space()) {
        buffer.filled(count);
    }
    !buffer.unread().is_empty()
}

enum Turn {
    /// There may be more to read, once others have had their turn, or a pause is due.
    Full,
    Empty,
    /// The peer has just made an end to reading.
    Stopped(Ending),
}

/// Takes in what has arrived.
fn read<D: Decoder>(
    mut stream: &std::net::TcpStream,
    outbox: &Outbox,
    decoder: &mut D,
    deliver: &mut impl FnMut(D::Message),
) -> Result<Turn, Ending> {
    let mut taken = 0;
    while outbox.reads_on() {
        if taken >= TURN {
            return Ok(Turn::Full);
        }
        let ending = match decoder.next() {
            Ok(Some(message)) => {
                outbox.taken();
                deliver(message);
                taken += 1;
                continue;
            }
            Ok(None) if decoder.buffer().space().is_empty() => Ending::Malformed("a message is too long"),
            Ok(None) => match stream.read(decoder.buffer().space()) {
                Ok(0) => Ending::PeerClosed,
                Ok(count) => {
                    decoder.buffer().filled(count);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    outbox.waits(decoder.buffer().unread().len());
                    let paced = taken > 0 && !outbox.pace().is_zero();
                    return Ok(if paced { Turn::Full } else { Turn::Empty });
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return Err(Ending::Reset),
            },
            Err(wrong) => Ending::Malformed(wrong.0),
        };
        outbox.state().ending = Some(ending);
        return Ok(Turn::Stopped(ending));
    }
    outbox.waits(0);
    Ok(Turn::Empty)
}

/// Says that all is said and reads what still comes, for a close with unread bytes would take back answers
/// that the peer has not read yet.
pub fn linger(mut stream: TcpStream, ending: Ending) {
    if matches!(ending, Ending::PeerClosed | Ending::Reset) || stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut unread = [0; LINGER_READ];
    let mut patience = Patience(LINGER);
    while let Some(step) = patience.next() {
        let since = Instant::now();
        if limit_reads(&stream, step).is_err() {
            return;
        }
        match stream.read(&mut unread) {
            Ok(1..) => sleep(LINGER_PACE),
            Err(e) if is_a_wait(&e) => {}
            _ => return,
        }
        patience.spent(since.elapsed());
    }
}

/// Whether a read has only waited: for its time, or until something else woke it.
pub fn is_a_wait(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// What is left of the time that a closed connection is still read for.
struct Patience(Duration);

impl Patience {
    /// How long the next wait may be; none once all is spent.
    fn next(&self) -> Option<Duration> {
        (!self.0.is_zero()).then(|| self.0.min(LINGER_STEP))
    }

    /// A wait has taken so long by the clock.
    fn spent(&mut self, elapsed: Duration) {
        self.0 = self.0.saturating_sub(elapsed.min(LINGER_STEP));
    }
}
