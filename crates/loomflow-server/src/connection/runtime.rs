//! Configuration of the coroutine runtime, `may`, and safe waits with a timeout on it.

use std::io::ErrorKind;
use std::time::Duration;

use may::net::TcpStream;

/// Stack size of a coroutine, in words of 8 bytes.
const STACK_WORDS: usize = 4096;
/// Number of pooled coroutine stacks. `may` allocates them all at startup and touches the first pages of each, so its
/// default of 1000 takes much memory. Connections beyond the pool allocate their own stacks.
const STACK_POOL_SIZE: usize = 128;

/// Configures the runtime; must be called before the first connection is opened. All connections share one worker thread:
/// `may` keeps waits with a timeout in lists that only the worker thread of the connection may access, but it may run a
/// coroutine on any worker thread.
pub fn configure_runtime() {
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(STACK_POOL_SIZE)
        .set_worker_pin(false);
}

/// Suspends the current coroutine, then returns it to the worker thread.
///
/// `may` resumes a coroutine whose wait has timed out on its timer thread, where it runs until its next wait. If that is a
/// wait for a connection, the worker thread can complete the wait and end the coroutine before the timer thread has
/// finished registering the wait: `subscribe` in `tcp_stream_connect.rs`, `socket_read.rs` and `wait_io.rs` of `may` uses
/// references into the coroutine after handing it over, a use after free. Therefore every sleep uses this function, and any
/// other wait with a timeout must be followed by [`return_to_worker`] before the coroutine uses a connection.
pub fn sleep(duration: Duration) {
    may::coroutine::sleep(duration);
    return_to_worker();
}

/// Moves the current coroutine, which may have been resumed on `may`'s timer thread, to the worker thread: yielding puts it
/// into the worker's queue.
pub fn return_to_worker() {
    may::coroutine::yield_now();
}

/// Sets the timeout of subsequent reads, rounded by [`to_whole_millis`].
pub fn set_read_timeout(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(to_whole_millis(timeout)))
}

/// Rounds a timeout down to whole milliseconds, with a minimum of 1 ms. `may` truncates timeouts to milliseconds, takes
/// zero as no timeout, and waits a second time if it wakes before the truncated fraction has passed: a timeout below 1 ms
/// would never expire, and one with a fraction would last twice as long.
pub fn to_whole_millis(timeout: Duration) -> Duration {
    Duration::from_millis(timeout.as_millis().clamp(1, u64::MAX.into()) as u64)
}

/// Whether a read failed only because its timeout expired or because it was interrupted.
pub fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;
