//! Checks whether a request is accepted before it reaches the controller.

use loomflow::interface::RequestId;

use crate::front::interface::{Failure, InvalidRequest, Response};
use crate::idempotency::Registration;

/// Why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionRejection {
    /// The controller has not been started, because the engine has not been up yet or a shutdown was requested first.
    EngineNotUp,
    /// The request table has reached [`AdmissionLimit::max_requests`].
    RequestTableFull,
    /// The idempotency cache is full and has no finished read to evict, so the key cannot be retained.
    IdempotencyCacheFull,
    /// Another request in the table has the same attempt id.
    AttemptIdInUse,
    /// An attempt with the same id has run.
    AttemptHasRun,
    /// The idempotency key is retained for a request with another body.
    KeyInUse,
    /// The front found the request invalid.
    Invalid(InvalidRequest),
}

impl AdmissionRejection {
    /// The reason as logged.
    pub(super) fn reason(self) -> &'static str {
        match self {
            AdmissionRejection::EngineNotUp => "the engine is not up",
            AdmissionRejection::RequestTableFull => "the request table is full",
            AdmissionRejection::IdempotencyCacheFull => "the idempotency cache is full",
            AdmissionRejection::AttemptIdInUse => "the attempt id is in use",
            AdmissionRejection::AttemptHasRun => "an attempt with this id has run",
            AdmissionRejection::KeyInUse => "the idempotency key is in use with another body",
            AdmissionRejection::Invalid(invalid) => invalid.reason(),
        }
    }

    /// The response: for lack of capacity a rejection, so that the caller may try another server; else a failure.
    pub(super) fn response(self) -> Response<'static> {
        match self {
            AdmissionRejection::EngineNotUp
            | AdmissionRejection::RequestTableFull
            | AdmissionRejection::IdempotencyCacheFull => Response::REJECTED,
            AdmissionRejection::AttemptHasRun => Response::Failed(Failure::MayHaveRun),
            AdmissionRejection::AttemptIdInUse
            | AdmissionRejection::KeyInUse
            | AdmissionRejection::Invalid(_) => Response::Failed(Failure::Invalid),
        }
    }
}

/// Limits the number of requests in the table, to bound memory. Far above the number that the controller queues.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionLimit {
    pub(super) max_requests: usize,
}

impl AdmissionLimit {
    /// Checks whether another request can be accepted with `request_count` requests in the table.
    pub(super) fn check_capacity(
        self,
        has_controller: bool,
        request_count: usize,
    ) -> Result<(), AdmissionRejection> {
        if !has_controller {
            Err(AdmissionRejection::EngineNotUp)
        } else if request_count >= self.max_requests {
            Err(AdmissionRejection::RequestTableFull)
        } else {
            Ok(())
        }
    }
}

/// Returns the original of a duplicate, or `None` for a new request.
pub(super) fn check_registration(
    registration: Registration,
) -> Result<Option<RequestId>, AdmissionRejection> {
    match registration {
        Registration::New => Ok(None),
        Registration::Duplicate(original) => Ok(Some(original)),
        Registration::BodyMismatch => Err(AdmissionRejection::KeyInUse),
        Registration::CacheFull => Err(AdmissionRejection::IdempotencyCacheFull),
    }
}

#[cfg(test)]
mod tests;
