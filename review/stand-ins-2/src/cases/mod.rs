//! The cases.

pub mod drained;
pub mod outage;
pub mod reply_refused;
pub mod start_again;
pub mod stuck;
pub mod two_owners;
