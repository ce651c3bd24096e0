//! How the servers of a fleet know each other and agree. The crate performs no I/O: it is fed messages and times, and returns
//! what is to be done as plain data, so that a driver on sockets and a simulation run the same code.
//!
//! From the bottom up:
//!
//! - [`time`]: units of time.
//! - [`member`]: who a server is, and the report of its load.
//! - [`wire`]: the one envelope that members exchange, and its bounds.
//! - [`membership`]: who is here (SWIM, by `foca`).
//! - [`consensus`]: a replicated log among several voters (Raft, by `raft`).
//! - [`maintenance`]: the state machine that schedules maintenance: tickets, whose turn it is, how many, and whether at all.
//! - [`duty`]: work that one server does for the whole fleet: sessions, leases, fences, assignment.
//! - [`command`]: commands, log entries, and requests to the leader with its responses.
//! - [`status`]: the fleet as one member sees it.
//! - [`fleet_state`]: maintenance, duties and campaigns as the one state machine that the log is applied to.
//! - [`operator`]: requests and responses on the operators' socket.
//! - [`node`]: one member, made of all of these.
//!
//! Times are milliseconds on a clock that only advances and does not stop while the machine sleeps (boot time).
//!
//! Members exchange postcard, which carries no names; operators are answered in JSON, which does. Where a name in the code
//! differs from the one in JSON, a serde attribute gives the latter. `tests/wire_format.rs` pins both.

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
