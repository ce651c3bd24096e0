use super::*;
use crate::duty::DutySpec;
use crate::duty::state::Lease;

const SETTINGS: LeaseSettings = LeaseSettings { lease_millis: 1_000, max_attempts: 2 };

/// A duty with an owner since time 0.
fn owned_duty() -> Duty {
    let mut duty = Duty::new(DutySpec::plain("d"), 0);
    duty.lease = Some(Lease { owner: "n1".into(), token: 1, since: 0, is_recalled: false });
    duty
}

#[test]
fn the_last_attempt_parks_and_an_owner_that_settled_starts_the_count_again() {
    let mut duty = owned_duty();
    let server = "n1".to_owned();
    assert_eq!(duty.record_lost_owner(&server, SETTINGS, 2_999), None, "one attempt is left");
    assert_eq!(duty.record_lost_owner(&server, SETTINGS, 3_000), None, "it had settled");
    assert!(!duty.record_failure("exit code 1", SETTINGS), "the count starts again");
    let reason = duty.record_lost_owner(&server, SETTINGS, 2_999);
    assert_eq!(reason.as_deref(), Some("n1 was lost while it owned it"));
}
