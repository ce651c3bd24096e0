//! What passes between a front and the owner: requests one way, responses the other. The owner has a reply handle for
//! each request and returns it with the response; what the handle means is known to the front alone.

use loomflow::interface::RequestAttributes;
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;

use crate::idempotency::IdempotencyKey;
use crate::mailbox::ConnectionId;

/// Where a response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplyHandle {
    /// A connection of a gateway, and the tag of a request on it.
    Tag(ConnectionId, u64),
    /// A message of a broker, by the number that the consumer gave it.
    Delivery(u64),
}

/// A front's request to the owner.
#[derive(Debug)]
pub enum FrontRequest {
    /// To handle a request.
    Submit(Box<Submission>),
    /// To respond to a request that cannot be handled.
    Invalid {
        /// Where the response goes.
        reply_handle: ReplyHandle,
        /// What is wrong with it.
        reason: InvalidRequest,
    },
    /// To cancel a request whose response cannot be delivered any more.
    Cancel(ReplyHandle),
    /// To respond to a health check.
    HealthCheck {
        /// Where the response goes.
        reply_handle: ReplyHandle,
        /// Whether the check is to find out that the engine does work.
        is_deep: bool,
    },
}

/// Why a request cannot be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The settings have no such class.
    UnknownClass,
    /// It names no tenant, although the settings have tenants.
    MissingTenant,
    /// The settings have no such tenant.
    UnknownTenant,
    /// Its timestamp is too old, or too far in the future.
    TimestampOutOfRange,
    /// Its estimated work is not positive, or too large.
    EstimatedWorkOutOfRange,
    /// It states a wait that is too long.
    RemainingWaitOutOfRange,
}

impl InvalidRequest {
    /// The reason for the log, with the protocol's names.
    pub fn reason(self) -> &'static str {
        match self {
            InvalidRequest::UnknownClass => "the class is not known",
            InvalidRequest::MissingTenant => "owner is missing",
            InvalidRequest::UnknownTenant => "the owner is not known",
            InvalidRequest::TimestampOutOfRange => "ts is out of range",
            InvalidRequest::EstimatedWorkOutOfRange => "ms is out of range",
            InvalidRequest::RemainingWaitOutOfRange => "timeout is out of range",
        }
    }
}

/// A request as its front has read it.
#[derive(Debug)]
pub struct Submission {
    /// Where the response goes.
    pub reply_handle: ReplyHandle,
    /// Identifies the attempt to engine and ledger; unique among the requests in progress.
    pub attempt_id: AttemptId,
    /// Its idempotency key, where it has one.
    pub key: Option<IdempotencyKey>,
    /// What the controller judges it by.
    pub attributes: RequestAttributes,
    /// The body, for the engine.
    pub body: Vec<u8>,
}

/// The one final response to a request or a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response<'a> {
    /// The result of the run.
    Served(&'a [u8]),
    /// Load was shed: the request never ran.
    Rejected {
        /// How long the caller is to stay away.
        retry_after: Millis,
        /// No other server is to be tried.
        is_final: bool,
    },
    /// The request failed.
    Failed(Failure),
    /// To a health check: whether the server is healthy.
    Health(bool),
}

impl Response<'_> {
    /// A rejection without a retry-after: the caller may try another server immediately.
    pub const REJECTED: Response<'static> = Response::Rejected { retry_after: 0.0, is_final: false };
}

/// What is known of a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It could not be handled.
    Invalid,
    /// Nothing was started for it.
    NotRun,
    /// It may have run, and may have had its effect.
    MayHaveRun,
}

#[cfg(test)]
mod tests;
