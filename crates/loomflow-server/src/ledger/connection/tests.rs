use super::*;

fn connection() -> LedgerConnection {
    LedgerConnection::new(Arc::new(ConnectionHandle::new(None)), 0.0)
}

#[test]
fn idle_connection_is_reused_only_by_calls_without_an_effect() {
    let connection = connection();
    assert!(connection.is_reusable(1, false, MAX_IDLE_MS - 1.0));
    assert!(!connection.is_reusable(1, false, MAX_IDLE_MS));
    assert!(!connection.is_reusable(1, true, 1.0));
}

#[test]
fn connection_carries_one_call_per_request_up_to_the_maximum() {
    let mut connection = connection();
    connection.call_started(1, 0.0);
    assert!(!connection.is_shareable(1) && connection.is_shareable(2));
    for id in 2..=MAX_CALLS_PER_CONNECTION as RequestId {
        connection.call_started(id, 0.0);
    }
    assert!(!connection.is_shareable(1_000));
}

#[test]
fn retired_connection_is_closed_once_drained_or_out_of_time() {
    let mut connection = connection();
    connection.call_started(1, 0.0);
    connection.retire(0.0);
    assert!(!connection.is_shareable(2) && !connection.should_close(RETIRED_DRAIN_MS - 1.0));
    connection.retire_once(100.0);
    assert!(connection.should_close(RETIRED_DRAIN_MS));
    connection.calls_in_flight = 0;
    assert!(connection.should_close(1.0));
}
