//! The cases.

pub mod finished_run;
pub mod outage;
pub mod too_large;
pub mod two_owners;
pub mod window;
