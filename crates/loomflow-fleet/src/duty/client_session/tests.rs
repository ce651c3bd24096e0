use super::*;
use crate::fixtures::owned_duty;

fn ownership(session: SessionId, leases: &[(&str, Token)]) -> Ownership {
    let duties = leases.iter().map(|(duty, token)| owned_duty(duty, *token)).collect();
    Ownership { session, lease_settings: LeaseSettings { lease_millis: 1_000, max_attempts: 3 }, duties }
}

#[test]
fn session_is_valid_from_the_send_time_for_the_lease_less_drift() {
    let mut session = ClientSession::default();
    session.renewal_sent(1, 100);
    session.renewed(ownership(1, &[("d", 1)]), 100, 900);
    assert_eq!((session.owned_token("d", 1_089), session.owned_token("d", 1_090)), (Some(1), None));
    session.expire(1_090);
    assert!(session.take_changes().contains(&OwnershipChange::Lost("d".into(), 1)));
}

#[test]
fn response_after_the_lease_is_ignored() {
    let mut session = ClientSession::default();
    session.renewed(ownership(1, &[("d", 1)]), 100, 1_200);
    assert_eq!((session.owned_token("d", 1_200), session.take_changes()), (None, vec![]));
}

#[test]
fn released_duty_is_acquired_again_only_with_a_new_token() {
    let mut session = ClientSession::default();
    session.renewed(ownership(1, &[("d", 4)]), 0, 1);
    assert_eq!(session.release("d"), Some(4));
    session.notified(ownership(1, &[("d", 4)]), 2);
    session.renewed(ownership(1, &[("d", 4), ("e", 2)]), 0, 3);
    assert_eq!((session.owned_token("d", 4), session.owned_token("e", 4)), (None, Some(2)));
    // A new assignment has another token.
    session.notified(ownership(1, &[("d", 5)]), 5);
    assert_eq!(session.owned_token("d", 6), Some(5));
}

#[test]
fn message_of_an_earlier_session_neither_assigns_nor_extends() {
    let mut session = ClientSession::default();
    session.renewed(ownership(2, &[("d", 7)]), 0, 1);
    session.notified(ownership(1, &[("e", 3)]), 2);
    session.renewed(ownership(1, &[("e", 3)]), 1_500, 1_501);
    assert_eq!((session.owned_token("e", 3), session.valid_until()), (None, 990));
    // A later session ends the leases of the earlier one, whatever time remained.
    session.renewed(ownership(3, &[]), 3, 4);
    assert_eq!(session.owned_token("d", 5), None);
    assert!(session.take_changes().contains(&OwnershipChange::Lost("d".into(), 7)));
}

#[test]
fn notification_does_not_extend_the_session() {
    let mut session = ClientSession::default();
    session.renewed(ownership(1, &[]), 0, 1);
    session.notified(ownership(1, &[("d", 1)]), 900);
    assert_eq!((session.owned_token("d", 989), session.owned_token("d", 990)), (Some(1), None));
}

#[test]
fn recall_is_reported_once_and_not_undone_by_an_older_message() {
    let mut session = ClientSession::default();
    session.renewed(ownership(1, &[("d", 1)]), 0, 1);
    let mut recalled = ownership(1, &[("d", 1)]);
    recalled.duties[0].is_recalled = true;
    session.notified(recalled.clone(), 2);
    session.notified(recalled, 3);
    session.notified(ownership(1, &[("d", 1)]), 4);
    let requests = session
        .take_changes()
        .into_iter()
        .filter(|change| matches!(change, OwnershipChange::ReleaseRequested(..)))
        .count();
    assert_eq!((requests, session.duty("d").map(|owned| owned.is_recalled)), (1, Some(true)));
}

#[test]
fn session_is_renewed_four_times_per_lease() {
    let mut session = ClientSession::default();
    session.renewal_sent(1, 0);
    session.renewed(ownership(1, &[]), 0, 1);
    session.renewal_sent(2, 1_000);
    assert_eq!((session.is_renewal_due(1_249), session.is_renewal_due(1_250)), (false, true));
    assert_eq!(session.renewal_sent(3, 1_250), Some(2), "renewal 2 is still without a response");
}

#[test]
fn renewals_are_at_least_20_ms_apart() {
    // A quarter of this lease would be 10 ms.
    let mut session = ClientSession::default();
    let lease_settings = LeaseSettings { lease_millis: 40, max_attempts: 3 };
    session.renewed(Ownership { lease_settings, ..ownership(1, &[]) }, 0, 1);
    session.renewal_sent(1, 100);
    assert_eq!([119, 120].map(|now| session.is_renewal_due(now)), [false, true]);
    // The notification of a later session makes a renewal due early.
    let mut session = ClientSession::default();
    session.renewal_sent(1, 0);
    session.notified(ownership(1, &[]), 100);
    assert_eq!([119, 120].map(|now| session.is_renewal_due(now)), [false, true]);
}
