//! Whether a request is accepted, before the controller decides about it.

use loomflow::interface::RequestId;

use crate::front::interface::{Failure, InvalidRequest, Response};
use crate::idempotency::Registration;

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionRejection {
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
    /// Its front found it invalid.
    Invalid(InvalidRequest),
}

impl AdmissionRejection {
    /// The reason for the log.
    pub(super) fn reason(self) -> &'static str {
        match self {
            AdmissionRejection::EngineNotUp => "the engine is not up",
            AdmissionRejection::RequestTableFull => "the request table is full",
            AdmissionRejection::IdempotencyCacheFull => "the idempotency cache is full",
            AdmissionRejection::AttemptIdInUse => "the attempt id is in use",
            AdmissionRejection::KeyInUse => "the idempotency key is in use with another body",
            AdmissionRejection::Invalid(invalid) => invalid.reason(),
        }
    }

    /// The response: without capacity another server may be tried, an invalid request fails.
    pub(super) fn response(self) -> Response<'static> {
        match self {
            AdmissionRejection::EngineNotUp
            | AdmissionRejection::RequestTableFull
            | AdmissionRejection::IdempotencyCacheFull => Response::REJECTED,
            AdmissionRejection::AttemptIdInUse
            | AdmissionRejection::KeyInUse
            | AdmissionRejection::Invalid(_) => Response::Failed(Failure::Invalid),
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

/// The request that a keyed request repeats, none where it is the first; or why it is not accepted.
pub(super) fn accept_registration(
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
