//! Exit codes that scripts, and the server that starts the process of a duty, tell outcomes apart by.

/// `work wait`: the server has drained.
pub const DRAINED: u8 = 0;
/// `work wait`: the server may not go: it has no ticket, lost it, or it was not its turn in time.
pub const MAY_NOT_GO: u8 = 3;
/// `work wait`: the ticket has come to a stage past the drain.
pub const SUPERSEDED: u8 = 4;
/// `duty run`: nothing was started, because the server never owned the duty.
pub const NEVER_OWNED: u8 = 3;
/// `duty run`: the process was ended because the duty went to another owner, or was about to. `fence`: the token is stale.
pub const OWNERSHIP_LOST: u8 = 4;
