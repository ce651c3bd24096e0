//! Exit codes that scripts, and the server that starts the process of a duty, tell outcomes apart by.

/// The process of a duty was not started: its server never owned the duty.
pub const NEVER_OWNED: u8 = 3;
/// The process of a duty was ended because the duty went to another owner, or was about to; and a fence refused.
pub const OWNERSHIP_LOST: u8 = 4;
