//! The handle of a connection, shared by its driver and the owner: write queue, open requests and the reason for closing.

use std::io::{ErrorKind, Write};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;

use super::partial_message::PartialMessage;
use super::violations::Violations;
use crate::close_reason::CloseReason;

/// Reading pauses while this many bytes wait to be written.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;

/// Shared access to a connection whose socket is owned by its driver.
pub struct ConnectionHandle {
    state: Mutex<HandleState>,
}

/// State of a connection, protected by the handle's lock.
struct HandleState {
    write_queue: WriteQueue,
    /// Requests that were read and have no response yet; always 0 without a maximum.
    open_requests: usize,
    /// Reading pauses at this number of open requests; `None` on connections whose messages need no response.
    max_open_requests: Option<usize>,
    /// Why the connection is to be closed; nothing more is read once it is set. The connection is closed once no
    /// request is open and everything is written.
    close_reason: Option<CloseReason>,
    /// Whether the driver has been woken for queued bytes and has not flushed since; saves a wake for each
    /// further enqueue.
    is_wake_pending: bool,
    /// Wakes the driver from its wait for input; set only while [`super::drive`] runs. The reads of a lingering close have
    /// a timeout, and `may` keeps such waits in a list that only the worker thread may change: waking one from another
    /// thread would corrupt that list. So the waker is used only under this lock and removed before the lingering close.
    waker: Option<WaitIoWaker>,
    partial_message: Option<PartialMessage>,
    violations: Violations,
}

/// Bytes to be written to the socket.
#[derive(Default)]
struct WriteQueue {
    buffer: Vec<u8>,
    /// Offset in `buffer` of the first byte that is not written yet.
    position: usize,
    /// Total number of bytes queued since the connection was opened.
    bytes_queued: u64,
    /// Total number of bytes written to the socket since the connection was opened.
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
    /// Requests a close. The first reason is kept, but any other reason replaces an idle timeout, because
    /// only an idle close can be cancelled.
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
    /// Creates a handle. Reading pauses while `max_open_requests` requests have no response; `None` if the messages on this
    /// connection need no response.
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

    /// Appends the bytes that `write` produces to the write queue and wakes the driver. Returns the total number of bytes
    /// queued since the connection was opened, for comparison with [`ConnectionHandle::bytes_written`].
    pub fn enqueue(&self, write: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let mut state = self.lock();
        state.write_queue.push(write);
        if !std::mem::replace(&mut state.is_wake_pending, true) {
            state.wake();
        }
        state.write_queue.bytes_queued
    }

    /// Enqueues the response to one request, which is no longer open then.
    pub fn enqueue_response(&self, write: impl FnOnce(&mut Vec<u8>)) {
        {
            // An abort may have reset the count already.
            let mut state = self.lock();
            state.open_requests = state.open_requests.saturating_sub(1);
        }
        self.enqueue(write);
    }

    /// Counts a request as no longer open without sending a response.
    pub fn release_request_slot(&self) {
        self.enqueue_response(|_| {});
    }

    /// Closes the connection once no request is open and everything is written.
    pub fn close(&self, reason: CloseReason) {
        let mut state = self.lock();
        state.close(reason);
        state.wake();
    }

    /// Cancels a close due to idleness. Returns false if the connection is open or is closed for another reason.
    pub fn cancel_idle_close(&self) -> bool {
        let mut state = self.lock();
        let is_idle_close = state.close_reason == Some(CloseReason::IdleTimeout);
        if is_idle_close {
            state.close_reason = None;
        }
        is_idle_close
    }

    /// Closes the connection without waiting for open requests and discards the write queue. Returns the total number of
    /// bytes written.
    pub fn abort(&self) -> u64 {
        let mut state = self.lock();
        state.write_queue.discard();
        state.open_requests = 0;
        state.close(CloseReason::Aborted);
        state.wake();
        state.write_queue.bytes_written
    }

    /// Total number of bytes written to the socket since the connection was opened.
    pub fn bytes_written(&self) -> u64 {
        self.lock().write_queue.bytes_written
    }

    /// Whether the write queue is empty.
    pub fn is_flushed(&self) -> bool {
        self.unwritten_bytes() == 0
    }

    /// Number of bytes in the write queue.
    pub fn unwritten_bytes(&self) -> usize {
        self.lock().write_queue.unwritten().len()
    }

    /// Whether a close has been requested. The driver cancels an idle close if it finds unread input.
    pub fn is_closing(&self) -> bool {
        self.lock().close_reason.is_some()
    }

    /// The message that has been received in part, if any.
    pub fn partial_message(&self) -> Option<PartialMessage> {
        self.lock().partial_message
    }

    /// Counts a protocol violation, which delays further reads.
    pub fn record_violation(&self) {
        self.lock().violations.record(Instant::now());
    }

    /// Delay before the driver's next read, due to recent violations.
    pub(super) fn throttle_delay(&self) -> Duration {
        self.lock().violations.throttle_delay(Instant::now())
    }

    /// Sets or removes the waker of the driver.
    pub(super) fn set_waker(&self, waker: Option<WaitIoWaker>) {
        self.lock().waker = waker;
    }

    /// Records the number of buffered bytes that do not form a complete message.
    pub(super) fn set_unread(&self, bytes: usize) {
        let mut state = self.lock();
        state.partial_message = PartialMessage::updated(state.partial_message, bytes, Instant::now());
    }

    /// Records a complete message: it counts as an open request if messages on this connection need a response.
    pub fn message_received(&self) {
        let mut state = self.lock();
        state.partial_message = None;
        state.open_requests += usize::from(state.max_open_requests.is_some());
    }

    /// Records that the peer ended its input or violated the protocol; replaces any earlier reason.
    pub(super) fn input_closed(&self, reason: CloseReason) {
        self.lock().close_reason = Some(reason);
    }

    /// Writes queued bytes until the queue is empty or the socket would block.
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

    /// Whether the driver may read: no close is requested, and neither open requests nor unwritten bytes are at their
    /// maximum.
    pub(super) fn may_read(&self) -> bool {
        let state = self.lock();
        let has_capacity = state.max_open_requests.is_none_or(|max| state.open_requests < max);
        let is_below_write_limit = state.write_queue.unwritten().len() < MAX_UNWRITTEN_BYTES;
        state.close_reason.is_none() && has_capacity && is_below_write_limit
    }

    /// Whether the messages of a peer that has closed the connection are to be discarded, also those that it sent before: they
    /// need a response that it cannot receive.
    pub(super) fn needs_connected_peer(&self) -> bool {
        let state = self.lock();
        state.max_open_requests.is_some() && state.close_reason != Some(CloseReason::PeerClosed)
    }

    /// The reason for closing, once no request is open and everything is written; `None` until then.
    pub(super) fn close_due(&self) -> Option<CloseReason> {
        let state = self.lock();
        let is_settled = state.open_requests == 0 && state.write_queue.unwritten().is_empty();
        state.close_reason.filter(|_| is_settled)
    }
}

/// Access for tests that replace the driver.
#[cfg(test)]
impl ConnectionHandle {
    /// Total number of bytes queued since the connection was opened.
    pub fn bytes_queued(&self) -> u64 {
        self.lock().write_queue.bytes_queued
    }

    /// Removes and returns up to `max` unwritten bytes, like a flush to a socket that accepts no more than that.
    pub fn take_written(&self, max: usize) -> Vec<u8> {
        let mut state = self.lock();
        state.is_wake_pending = false;
        let unwritten = state.write_queue.unwritten();
        let written = unwritten[..unwritten.len().min(max)].to_vec();
        state.write_queue.advance(written.len());
        written
    }

    /// Whether the driver's waker is set.
    pub fn has_waker(&self) -> bool {
        self.lock().waker.is_some()
    }

    /// The driver's decisions: whether it may read, and the reason for closing if that is due.
    pub fn driver_view(&self) -> (bool, Option<CloseReason>) {
        (self.may_read(), self.close_due())
    }
}

#[cfg(test)]
mod tests;
