//! Reply codes with which the broker closes channels and connections (specification 1.2).

/// A mandatory message has no queue.
pub(super) const NO_ROUTE: u16 = 312;
/// Wrong user name or password.
pub(super) const ACCESS_REFUSED: u16 = 403;
/// An exchange or a queue does not exist.
pub(super) const NOT_FOUND: u16 = 404;
/// A delivery tag is unknown.
pub(super) const PRECONDITION_FAILED: u16 = 406;
/// A frame comes where none of its kind is due.
pub(super) const UNEXPECTED_FRAME: u16 = 505;
/// The broker of the tests does without this method.
pub(super) const NOT_IMPLEMENTED: u16 = 540;
