use super::*;

#[test]
fn capacity_requires_controller_and_free_table_entry() {
    let limit = AdmissionLimit { max_requests: 2 };
    assert_eq!(limit.check_capacity(false, 0), Err(AdmissionRejection::EngineNotUp));
    assert_eq!(limit.check_capacity(true, 1), Ok(()));
    assert_eq!(limit.check_capacity(true, 2), Err(AdmissionRejection::RequestTableFull));
}

#[test]
fn lack_of_capacity_rejects_and_invalid_request_fails() {
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
fn registration_maps_to_original_or_rejection() {
    assert_eq!(check_registration(Registration::New), Ok(None));
    assert_eq!(check_registration(Registration::Duplicate(7)), Ok(Some(7)));
    assert_eq!(check_registration(Registration::BodyMismatch), Err(AdmissionRejection::KeyInUse));
    assert_eq!(check_registration(Registration::CacheFull), Err(AdmissionRejection::IdempotencyCacheFull));
}
