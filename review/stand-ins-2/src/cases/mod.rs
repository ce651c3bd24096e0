//! The cases.

pub mod drained;
pub mod finished_run;
pub mod outage;
pub mod start_again;
pub mod too_large;
pub mod two_owners;
pub mod window;
