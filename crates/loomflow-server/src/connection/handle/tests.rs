use super::*;

#[test]
fn reading_pauses_at_the_maximum_of_open_requests() {
    let handle = ConnectionHandle::new(Some(2));
    handle.message_received();
    assert!(handle.may_read());
    handle.message_received();
    assert!(!handle.may_read());
    handle.enqueue_response(|_| {});
    assert!(handle.may_read());
    // Without a maximum, any number of messages is read.
    let unbounded = ConnectionHandle::new(None);
    unbounded.message_received();
    assert!(unbounded.may_read());
}

#[test]
fn reading_pauses_at_the_write_limit_and_ends_with_a_close() {
    let handle = ConnectionHandle::new(None);
    handle.enqueue(|out| out.resize(MAX_UNWRITTEN_BYTES - 1, 0));
    assert!(handle.may_read());
    handle.enqueue(|out| out.push(0));
    assert!(!handle.may_read());
    handle.take_written(1);
    assert!(handle.may_read());
    handle.close(CloseReason::IdleTimeout);
    assert!(!handle.may_read());
}

#[test]
fn only_an_idle_close_can_be_cancelled() {
    let handle = ConnectionHandle::new(None);
    handle.close(CloseReason::IdleTimeout);
    assert!(handle.cancel_idle_close() && !handle.is_closing());
    handle.close(CloseReason::ProtocolViolation("x"));
    assert!(!handle.cancel_idle_close() && handle.is_closing());
}
