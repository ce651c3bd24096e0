use super::*;

#[test]
fn requests_are_accepted_with_a_controller_up_to_the_bound() {
    let limit = AdmissionLimit { max_requests: 2 };
    assert_eq!(limit.check_capacity(false, 0), Err(AdmissionRejection::EngineNotUp));
    assert_eq!(limit.check_capacity(true, 1), Ok(()));
    assert_eq!(limit.check_capacity(true, 2), Err(AdmissionRejection::RequestTableFull));
}

#[test]
fn another_server_may_be_tried_without_capacity_and_an_invalid_request_fails() {
    for rejection in [
        AdmissionRejection::EngineNotUp,
        AdmissionRejection::RequestTableFull,
        AdmissionRejection::IdempotencyCacheFull,
    ] {
        assert_eq!(rejection.response(), Response::REJECTED, "{rejection:?}");
    }
    for rejection in [
        AdmissionRejection::AttemptIdInUse,
        AdmissionRejection::KeyInUse,
        AdmissionRejection::Invalid(InvalidRequest::UnknownClass),
    ] {
        assert_eq!(rejection.response(), Response::Failed(Failure::Invalid), "{rejection:?}");
    }
}

#[test]
fn a_keyed_request_is_new_or_a_duplicate_or_not_accepted() {
    assert_eq!(accept_registration(Registration::New), Ok(None));
    assert_eq!(accept_registration(Registration::Duplicate(7)), Ok(Some(7)));
    assert_eq!(accept_registration(Registration::BodyMismatch), Err(AdmissionRejection::KeyInUse));
    assert_eq!(accept_registration(Registration::CacheFull), Err(AdmissionRejection::IdempotencyCacheFull));
}
