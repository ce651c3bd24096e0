use super::*;

#[test]
fn invalid_request_reasons_name_the_protocol_field() {
    let reasons = [
        (InvalidRequest::UnknownClass, "the class is not known"),
        (InvalidRequest::MissingTenant, "owner is missing"),
        (InvalidRequest::UnknownTenant, "the owner is not known"),
        (InvalidRequest::TimestampOutOfRange, "ts is out of range"),
        (InvalidRequest::EstimatedWorkOutOfRange, "ms is out of range"),
        (InvalidRequest::RemainingWaitOutOfRange, "timeout is out of range"),
    ];
    for (invalid, reason) in reasons {
        assert_eq!(invalid.reason(), reason);
    }
}
