//! Membership, consensus, maintenance scheduling and duties of a fleet of servers. The crate performs no I/O:
//! its inputs are messages and times, and its outputs are plain data, so that a driver on sockets and a
//! simulation run the same code.
//!
//! From the bottom up:
//!
//! - [`time`]: units of time.
//! - [`member`]: the identity of a server, its state and its load report.
//! - [`wire`]: the messages between members, their framing and size limits.
//! - [`membership`]: the members and their liveness (SWIM, by `foca`).
//! - [`consensus`]: a log replicated among several voters (Raft, by `raft`).
//! - [`maintenance`]: the state machine that schedules maintenance: tickets, their order, and the limits on
//!   servers that are out of service.
//! - [`duty`]: work that one server does for the whole fleet: sessions, leases, fencing, assignment.
//! - [`command`]: commands, log entries, and requests to the leader with their responses.
//! - [`status`]: the fleet as one member sees it.
//! - [`fleet_state`]: the state machine of the log, composed of maintenance, duties and campaigns.
//! - [`operator`]: requests and responses on the operators' socket.
//! - [`node`]: one member, composed of the modules above.
//!
//! Times are milliseconds on a monotonic clock that includes suspension of the machine (boot time).
//!
//! Members exchange postcard, which contains no field names; operators receive JSON, which does. Where a name
//! in the code differs from its name in JSON, a serde attribute sets the latter. `tests/wire_format.rs` pins
//! both formats.

#![forbid(unsafe_code)]

pub mod command;
pub mod consensus;
pub mod duty;
#[cfg(test)]
mod fixtures;
pub mod fleet_state;
pub mod maintenance;
pub mod member;
pub mod membership;
pub mod node;
pub mod operator;
pub mod status;
pub mod time;
pub mod wire;
