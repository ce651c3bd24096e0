//! Connections: a driver on one side, which alone has the descriptor, and a handle on the other.
//!
//! - `driver`: opens, reads and writes a connection;
//! - `handle`: the write queue, and when the connection is closed;
//! - `linger`: the end of a connection;
//! - `partial_message`, `violations`: what is known of a peer that is slow or floods;
//! - `runtime`: the coroutines that drivers run on.

mod driver;
mod handle;
mod linger;
mod partial_message;
mod runtime;
mod violations;

pub use driver::{connect, connect_after, drive};
pub use handle::ConnectionHandle;
pub use linger::{LINGER_TIMEOUT, linger};
pub use runtime::{
    configure_runtime, is_timeout, return_to_worker, set_read_timeout, sleep, to_whole_millis,
};

#[cfg(test)]
mod tests;
