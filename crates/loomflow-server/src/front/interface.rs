//! Interface between the fronts and the owner. A front submits requests, each with a response handle; the owner passes the
//! handle back with the response. Only the front interprets the handle.

use loomflow::interface::RequestAttributes;
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;

use crate::idempotency::IdempotencyKey;
use crate::mailbox::ConnectionId;

/// Identifies a request to its front, which sends the response there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseHandle {
    /// A request of a gateway: its connection and its tag there.
    Tag(ConnectionId, u64),
    /// A message from a broker: the delivery id that the consumer assigned.
    Delivery(u64),
}

/// A front's request to the owner.
#[derive(Debug)]
pub enum FrontRequest {
    /// Handle a request.
    Submit(Box<Submission>),
    /// Log an invalid request and respond to it with [`Failure::Invalid`].
    Invalid {
        /// Identifies the request for the response.
        response_handle: ResponseHandle,
        /// Which field is invalid.
        reason: InvalidRequest,
    },
    /// Cancel a request whose response can no longer be delivered.
    Cancel(ResponseHandle),
    /// Respond to a health check.
    HealthCheck {
        /// Identifies the health check for the response.
        response_handle: ResponseHandle,
        /// Whether the caller asks for a test of the engine as well.
        is_deep: bool,
    },
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The settings do not define the request's class.
    UnknownClass,
    /// The request names no tenant, although the settings define tenants.
    MissingTenant,
    /// The settings do not define the request's tenant.
    UnknownTenant,
    /// The timestamp is too old, or too far in the future.
    TimestampOutOfRange,
    /// The estimated work is not positive, or too large.
    EstimatedWorkOutOfRange,
    /// The remaining wait is too long.
    RemainingWaitOutOfRange,
}

impl InvalidRequest {
    /// The reason as logged, with the field names of the protocol.
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

/// A valid request as read by its front.
#[derive(Debug)]
pub struct Submission {
    /// Identifies the request for the response.
    pub response_handle: ResponseHandle,
    /// Identifies the attempt to engine and ledger. A request whose id is already in progress is not run.
    pub attempt_id: AttemptId,
    /// Idempotency key, if duplicates of the request can be recognized.
    pub key: Option<IdempotencyKey>,
    /// Attributes on which the controller bases its decisions about the request.
    pub attributes: RequestAttributes,
    /// Body to be passed to the engine.
    pub body: Vec<u8>,
}

/// The only response to a request or a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response<'a> {
    /// The result of the run.
    Served(&'a [u8]),
    /// The request was shed and never ran.
    Rejected {
        /// How long the caller should wait before a retry, ms; 0 if it may retry immediately.
        retry_after: Millis,
        /// The caller should not retry on another server either.
        is_final: bool,
    },
    /// The request failed.
    Failed(Failure),
    /// Response to a health check: whether the server is healthy.
    Health(bool),
}

impl Response<'_> {
    /// A rejection without a retry-after: the caller may try another server immediately.
    pub const REJECTED: Response<'static> = Response::Rejected { retry_after: 0.0, is_final: false };
}

/// Whether a failed request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was invalid and did not run.
    Invalid,
    /// The request was valid but its run was not started.
    NotRun,
    /// The request may have run and may have had an effect.
    MayHaveRun,
}

#[cfg(test)]
mod tests;
