//! The coroutine runtime, `may`, and how to wait with a timeout on it.

use std::io::ErrorKind;
use std::time::Duration;

use may::net::TcpStream;

/// Stack of a connection's coroutine, in words of 8 bytes.
const STACK_WORDS: usize = 4096;
/// Stacks in the pool for new connections. The library allocates all of them at the start and touches the first pages of
/// each, so that its default of a thousand takes much memory. Further connections allocate their own.
const STACK_POOL_SIZE: usize = 128;

/// Configures the runtime, before the first connection: one thread for all of them. `may` has waits with a timeout in
/// lists that only the thread of their connections may touch, and a coroutine may run on any thread.
pub fn configure_runtime() {
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(STACK_POOL_SIZE)
        .set_worker_pin(false);
}

/// Lets a coroutine sleep, and returns it to the thread of all connections.
///
/// `may` resumes a coroutine whose wait has timed out on its timer thread, and lets it run there until it waits again. If
/// it begins to wait for a connection there, that wait can be over, and the coroutine with it, on the connections' thread
/// before `may` has finished registering it: `subscribe` in its `tcp_stream_connect.rs`, `socket_read.rs` and `wait_io.rs`
/// uses what it refers to after it has given the coroutine away, which is a use after free. So every sleep goes through
/// here, and whatever else waits with a timeout calls [`return_to_worker`] before it touches a connection.
pub fn sleep(span: Duration) {
    may::coroutine::sleep(span);
    return_to_worker();
}

/// Returns a coroutine that may have been resumed on `may`'s timer thread to the thread of all connections: to yield puts
/// it into that thread's queue.
pub fn return_to_worker() {
    may::coroutine::yield_now();
}

/// Sets how long further reads wait.
pub fn set_read_timeout(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(to_whole_millis(timeout)))
}

/// A timeout as `may` supports it: whole milliseconds, and at least one. It cuts off the rest, takes zero for no timeout,
/// and waits twice where it wakes before the rest has passed; so a remaining time of less than one would be waited for
/// without end, and an interval that is not whole would be doubled.
pub fn to_whole_millis(timeout: Duration) -> Duration {
    Duration::from_millis(timeout.as_millis().clamp(1, u64::MAX.into()) as u64)
}

/// Whether a read has only waited: until its timeout, or until something else woke it.
pub fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;
