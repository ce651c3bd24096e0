//! TCP connections. A driver coroutine owns the socket; everyone else uses the connection through its handle.
//!
//! - `driver`: opens, reads and writes the socket;
//! - `handle`: the shared state: write queue, open requests and the reason for closing;
//! - `lingering_close`: closes the socket without discarding responses that the peer has not read yet;
//! - `partial_message`, `violations`: detect stalled peers and throttle peers that violate the protocol;
//! - `runtime`: the coroutine runtime.

mod driver;
mod handle;
mod lingering_close;
mod partial_message;
mod runtime;
mod violations;

pub use driver::{connect, connect_after, drive};
pub use handle::ConnectionHandle;
pub use lingering_close::{LINGERING_CLOSE_TIMEOUT, lingering_close};
pub use runtime::{
    configure_runtime, is_timeout, return_to_worker, set_read_timeout, sleep, to_whole_millis,
};

#[cfg(test)]
mod tests;
