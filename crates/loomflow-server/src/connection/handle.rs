//! The handle of a connection, shared by its driver and the owner: the write queue, and how long the connection is read.

use std::io::{ErrorKind, Write};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;

use super::partial_message::PartialMessage;
use super::violations::Violations;
use crate::close_reason::CloseReason;

/// While this many bytes are unwritten, nothing more is read.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;

/// A connection, to everyone but its driver.
pub struct ConnectionHandle {
    state: Mutex<HandleState>,
}

/// What driver and owner share, under the handle's lock.
struct HandleState {
    write_queue: WriteQueue,
    /// Requests that were read and not answered, and how many there may be where each needs a response.
    open_requests: usize,
    max_open_requests: Option<usize>,
    /// Why nothing more is read. The connection is closed once no request is open and everything is written.
    close_reason: Option<CloseReason>,
    /// The driver has been woken for what was queued.
    is_wake_pending: bool,
    /// Wakes the driver, while it waits for nothing but its peer and this handle. `may` has a list of waits with a timeout
    /// that only the thread of its connections may change: if another thread ended the wait of a linger, that list would
    /// break. So the waker is used only under this lock, and is removed before a linger.
    waker: Option<WaitIoWaker>,
    partial_message: Option<PartialMessage>,
    violations: Violations,
}

/// Bytes that wait to be written.
#[derive(Default)]
struct WriteQueue {
    buffer: Vec<u8>,
    /// How much of the buffer is written.
    position: usize,
    /// Bytes queued and bytes written since the connection was opened.
    bytes_queued: u64,
    bytes_written: u64,
}

impl WriteQueue {
    fn unwritten(&self) -> &[u8] {
        &self.buffer[self.position..]
    }

    fn push(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        let before = self.buffer.len();
        write(&mut self.buffer);
        self.bytes_queued += (self.buffer.len() - before) as u64;
    }

    fn advance(&mut self, count: usize) {
        self.position += count;
        self.bytes_written += count as u64;
        if self.position == self.buffer.len() {
            self.discard();
        }
    }

    fn discard(&mut self) {
        self.buffer = Vec::new();
        self.position = 0;
    }
}

impl HandleState {
    /// The first reason stays, except for idleness: that close alone may be cancelled.
    fn close(&mut self, reason: CloseReason) {
        if matches!(self.close_reason, None | Some(CloseReason::IdleTimeout)) {
            self.close_reason = Some(reason);
        }
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }
}

impl ConnectionHandle {
    /// A connection on which reading pauses while `max_open_requests` await a response; none where requests need none.
    pub fn new(max_open_requests: Option<usize>) -> ConnectionHandle {
        let state = HandleState {
            write_queue: WriteQueue::default(),
            open_requests: 0,
            max_open_requests,
            close_reason: None,
            is_wake_pending: false,
            waker: None,
            partial_message: None,
            violations: Violations::new(Instant::now()),
        };
        ConnectionHandle { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, HandleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues what `write` writes. Returns the position of its end among all bytes of the connection.
    pub fn enqueue(&self, write: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let mut state = self.lock();
        state.write_queue.push(write);
        if !std::mem::replace(&mut state.is_wake_pending, true) {
            state.wake();
        }
        state.write_queue.bytes_queued
    }

    /// As [`ConnectionHandle::enqueue`], for the response to one request.
    pub fn enqueue_response(&self, write: impl FnOnce(&mut Vec<u8>)) {
        {
            // An abort may have settled all requests before.
            let mut state = self.lock();
            state.open_requests = state.open_requests.saturating_sub(1);
        }
        self.enqueue(write);
    }

    /// One request gets no response: the driver may read another.
    pub fn release_request_slot(&self) {
        self.enqueue_response(|_| {});
    }

    /// Closes the connection once no request is open and everything is written.
    pub fn close(&self, reason: CloseReason) {
        let mut state = self.lock();
        state.close(reason);
        state.wake();
    }

    /// Cancels the close of a connection that was found idle. Returns false where it is closed for another reason.
    pub fn cancel_idle_close(&self) -> bool {
        let mut state = self.lock();
        let is_idle_close = state.close_reason == Some(CloseReason::IdleTimeout);
        if is_idle_close {
            state.close_reason = None;
        }
        is_idle_close
    }

    /// Closes the connection immediately, and discards what is unwritten. Returns how many bytes were written.
    pub fn abort(&self) -> u64 {
        let mut state = self.lock();
        state.write_queue.discard();
        state.open_requests = 0;
        state.close(CloseReason::Aborted);
        state.wake();
        state.write_queue.bytes_written
    }

    /// How many of the queued bytes the system has taken.
    pub fn bytes_written(&self) -> u64 {
        self.lock().write_queue.bytes_written
    }

    /// Whether everything that was queued is written.
    pub fn is_flushed(&self) -> bool {
        self.unwritten_bytes() == 0
    }

    /// How many bytes wait to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.lock().write_queue.unwritten().len()
    }

    /// Whether it is to be closed. The driver cancels that where it finds that the connection was not idle.
    pub fn is_closing(&self) -> bool {
        self.lock().close_reason.is_some()
    }

    /// The message of which a part has been received.
    pub fn partial_message(&self) -> Option<PartialMessage> {
        self.lock().partial_message
    }

    /// A message on it violated the protocol.
    pub fn record_violation(&self) {
        self.lock().violations.record(Instant::now());
    }

    /// How long the driver waits before it reads more.
    pub(super) fn throttle_delay(&self) -> Duration {
        self.lock().violations.throttle_delay(Instant::now())
    }

    /// Sets how the driver is woken, or that it is not.
    pub(super) fn set_waker(&self, waker: Option<WaitIoWaker>) {
        self.lock().waker = waker;
    }

    /// Records how many bytes were read that are no complete message.
    pub(super) fn set_unread(&self, bytes: usize) {
        let mut state = self.lock();
        state.partial_message = PartialMessage::updated(state.partial_message, bytes, Instant::now());
    }

    /// A complete message was read, which may need a response.
    pub fn message_received(&self) {
        let mut state = self.lock();
        state.partial_message = None;
        state.open_requests += usize::from(state.max_open_requests.is_some());
    }

    /// Nothing more is read, for this reason.
    pub(super) fn input_closed(&self, reason: CloseReason) {
        self.lock().close_reason = Some(reason);
    }

    /// Writes what the system takes.
    pub(super) fn flush(&self, mut stream: &std::net::TcpStream) -> Result<(), CloseReason> {
        let mut state = self.lock();
        state.is_wake_pending = false;
        while !state.write_queue.unwritten().is_empty() {
            match stream.write(state.write_queue.unwritten()) {
                Ok(0) => return Err(CloseReason::Reset),
                Ok(count) => state.write_queue.advance(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(CloseReason::Reset),
            }
        }
        Ok(())
    }

    /// Whether the driver is to read.
    pub(super) fn may_read(&self) -> bool {
        let state = self.lock();
        let has_capacity = state.max_open_requests.is_none_or(|max| state.open_requests < max);
        let is_read = state.write_queue.unwritten().len() < MAX_UNWRITTEN_BYTES;
        state.close_reason.is_none() && has_capacity && is_read
    }

    /// Why the driver is to close the connection, once all responses are written.
    pub(super) fn close_due(&self) -> Option<CloseReason> {
        let state = self.lock();
        let is_settled = state.open_requests == 0 && state.write_queue.unwritten().is_empty();
        state.close_reason.filter(|_| is_settled)
    }
}

/// For tests that stand in for the driver.
#[cfg(test)]
impl ConnectionHandle {
    /// How many bytes were queued since the connection was opened.
    pub fn bytes_queued(&self) -> u64 {
        self.lock().write_queue.bytes_queued
    }

    /// What a driver writes where the system takes at most `max` bytes.
    pub fn take_written(&self, max: usize) -> Vec<u8> {
        let mut state = self.lock();
        state.is_wake_pending = false;
        let unwritten = state.write_queue.unwritten();
        let written = unwritten[..unwritten.len().min(max)].to_vec();
        state.write_queue.advance(written.len());
        written
    }

    /// Whether somebody could wake its driver.
    pub fn has_waker(&self) -> bool {
        self.lock().waker.is_some()
    }

    /// Whether its driver would read, and why it would close the connection.
    pub fn driver_view(&self) -> (bool, Option<CloseReason>) {
        (self.may_read(), self.close_due())
    }
}

#[cfg(test)]
mod tests;
