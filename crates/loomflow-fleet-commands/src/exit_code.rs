//! Exit codes by which scripts, and the server that starts `duty run`, distinguish outcomes.

/// `work wait`: the server has drained.
pub const DRAINED: u8 = 0;
/// `work wait`: the server has not drained: it has no open ticket, its ticket was withdrawn or lapsed, or the timeout expired.
pub const NOT_DRAINED: u8 = 3;
/// `work wait`: the ticket is in a stage past the drain.
pub const SUPERSEDED: u8 = 4;
/// `duty run`: no process was started, because the server did not own the duty within `--wait`.
pub const NEVER_OWNED: u8 = 3;
/// `duty run`: the process was terminated because ownership was lost or about to be. `fence`: the token is stale.
pub const OWNERSHIP_LOST: u8 = 4;
