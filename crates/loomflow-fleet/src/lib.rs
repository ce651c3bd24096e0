//! How the servers of a fleet know each other and agree. No I/O: everything is fed messages and times, and what it wants
//! done comes out as plain data, so that a driver on sockets and a simulation run the same code.
//!
//! From the bottom up:
//!
//! - [`member`]: who a server is, and the digest of its load.
//! - [`membership`]: who is here (SWIM, by `foca`).
//! - [`agreement`]: a replicated log among a few voters (Raft, by `raft`).
//!
//! Times are milliseconds on a clock that only moves forward and does not stop while the machine sleeps (boot time).

pub mod agreement;
pub mod member;
pub mod membership;
