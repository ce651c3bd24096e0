//! Whether a request is accepted, before the controller decides about it.

use loomflow::interface::RequestId;

use crate::front::interface::{Failure, Response};
use crate::idempotency::Registration;

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// There is no controller before the engine is up.
    EngineNotUp,
    /// The request table is full.
    RequestTableFull,
    /// Its key cannot be retained.
    IdempotencyCacheFull,
    /// Another request has the same attempt id.
    AttemptIdInUse,
    /// Its key belongs to a request with another body.
    KeyInUse,
    /// Its front found it invalid, for this reason.
    Invalid(&'static str),
}

impl Rejection {
    /// The reason for the log.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Rejection::EngineNotUp => "the engine is not up",
            Rejection::RequestTableFull => "the request table is full",
            Rejection::IdempotencyCacheFull => "the idempotency cache is full",
            Rejection::AttemptIdInUse => "the attempt id is in use",
            Rejection::KeyInUse => "the idempotency key is in use with another body",
            Rejection::Invalid(reason) => reason,
        }
    }

    /// The response: without capacity another server may be tried, an invalid request fails.
    pub(super) fn response(self) -> Response<'static> {
        match self {
            Rejection::EngineNotUp | Rejection::RequestTableFull | Rejection::IdempotencyCacheFull => {
                Response::REJECTED
            }
            Rejection::AttemptIdInUse | Rejection::KeyInUse | Rejection::Invalid(_) => {
                Response::Failed(Failure::Invalid)
            }
        }
    }
}

/// The bound on requests in the table: a limit on memory, far above what the controller queues.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionLimit {
    pub(super) max_requests: usize,
}

impl AdmissionLimit {
    /// Whether any request can be accepted. `request_count`: requests in the table.
    pub(super) fn check_capacity(self, has_controller: bool, request_count: usize) -> Result<(), Rejection> {
        if !has_controller {
            Err(Rejection::EngineNotUp)
        } else if request_count >= self.max_requests {
            Err(Rejection::RequestTableFull)
        } else {
            Ok(())
        }
    }
}

/// The request that a keyed request repeats, none where it is the first; or why it is not accepted.
pub(super) fn accept_registration(registration: Registration) -> Result<Option<RequestId>, Rejection> {
    match registration {
        Registration::New => Ok(None),
        Registration::Duplicate(original) => Ok(Some(original)),
        Registration::BodyMismatch => Err(Rejection::KeyInUse),
        Registration::CacheFull => Err(Rejection::IdempotencyCacheFull),
    }
}

#[cfg(test)]
mod tests;
