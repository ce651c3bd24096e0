//! Reply codes with which the broker closes channels and connections (specification 1.2).

/// A mandatory message is routed to no queue.
pub(super) const NO_ROUTE: u16 = 312;
/// The user name or the password is wrong.
pub(super) const ACCESS_REFUSED: u16 = 403;
/// The exchange or the queue does not exist.
pub(super) const NOT_FOUND: u16 = 404;
/// The delivery tag is unknown on the channel.
pub(super) const PRECONDITION_FAILED: u16 = 406;
/// The frame is not valid in the current state, such as a content header without a publish.
pub(super) const UNEXPECTED_FRAME: u16 = 505;
/// The test broker does not implement the method.
pub(super) const NOT_IMPLEMENTED: u16 = 540;
