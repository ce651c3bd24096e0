//! How the servers of a fleet know each other and agree. No I/O: everything is fed messages and times, and what it wants
//! done comes out as plain data, so that a driver on sockets and a simulation run the same code.
//!
//! From the bottom up:
//!
//! - [`member`]: who a server is, and the digest of its load.
//! - [`wire`]: the one envelope that members exchange, and its bounds.
//! - [`membership`]: who is here (SWIM, by `foca`).
//! - [`agreement`]: a replicated log among a few voters (Raft, by `raft`).
//! - [`order`]: the state machine applied from that log: tickets for work, whose turn it is, how many, and whether at all.
//! - [`duty`]: work that one server does for the whole fleet: sessions, leases, fences, who owns what.
//! - [`record`]: order and duties, as the one thing that the log is applied to.
//! - [`operator`]: what is said on the operators' socket.
//! - [`node`]: one member, made of all of these.
//!
//! Times are milliseconds on a clock that only moves forward and does not stop while the machine sleeps (boot time).

pub mod agreement;
pub mod duty;
pub mod member;
pub mod membership;
pub mod node;
pub mod operator;
pub mod order;
pub mod record;
pub mod wire;
