use super::*;
use crate::duty::DutySpec;
use crate::duty::state::Lease;

const SETTINGS: LeaseSettings = LeaseSettings { lease_millis: 1_000, max_attempts: 2 };

/// A duty that the server n1 owns since time 0.
fn owned_duty() -> Duty {
    let mut duty = Duty::new(DutySpec::plain("d"), 0);
    duty.lease = Some(Lease { owner: "n1".into(), token: 1, since: 0, is_recalled: false });
    duty
}

#[test]
fn last_attempt_parks_and_stable_owner_resets_the_count() {
    let mut duty = owned_duty();
    let server = "n1".to_owned();
    assert_eq!(duty.record_lost_owner(&server, SETTINGS, 2_999), None, "1 of 2 attempts failed");
    assert_eq!(duty.record_lost_owner(&server, SETTINGS, 3_000), None, "an owner of 3 leases is stable");
    assert!(!duty.record_failure("exit code 1", SETTINGS), "the stable owner reset the count");
    let reason = duty.record_lost_owner(&server, SETTINGS, 2_999);
    assert_eq!(reason.as_deref(), Some("n1 was lost while it owned it"));
}
