use super::connection::{MAX_CALLS_PER_CONNECTION, MAX_IDLE_MS, RETIRED_DRAIN_MS};
use super::*;

/// A ledger at an address without a listener. Drivers never run in these tests, so nothing is written.
fn ledger(max_connections: usize) -> Ledger {
    crate::connection::configure_runtime();
    Ledger::new(Some(([127, 0, 0, 1], 9).into()), max_connections, Arc::new(Mailbox::default()))
}

/// Makes a call with a deadline in 100 ms; returns the connection that carries it.
fn call(ledger: &mut Ledger, id: RequestId, has_effect: bool, now: f64) -> LinkId {
    let request =
        CallRequest { id, attempt_id: AttemptId(id.into()), has_effect, body: b"x", deadline: now + 100.0 };
    assert!(ledger.call(request, now));
    ledger.calls[&id].link
}

/// Delivers a successful reply to the call of a request.
fn reply(ledger: &mut Ledger, id: RequestId, now: f64) {
    let link = ledger.calls[&id].link;
    assert!(ledger.reply_received(link, Some(id), ReplyStatus::Posted(Vec::new()), now).is_some());
}

#[test]
fn calls_share_connections_only_at_the_maximum() {
    let mut ledger = ledger(2);
    assert_eq!(call(&mut ledger, 1, true, 0.0), 1);
    assert_eq!(call(&mut ledger, 2, true, 0.0), 2);
    assert_eq!(call(&mut ledger, 3, true, 0.0), 1);
    assert_eq!(call(&mut ledger, 4, true, 0.0), 2);
    assert_eq!(ledger.connections.len(), 2);
}

#[test]
fn idle_connection_carries_the_next_call_without_an_effect() {
    let mut ledger = ledger(9);
    call(&mut ledger, 1, false, 0.0);
    reply(&mut ledger, 1, 10.0);
    assert_eq!(call(&mut ledger, 2, true, 11.0), 2);
    assert_eq!(call(&mut ledger, 3, false, 12.0), 1);
    reply(&mut ledger, 3, 20.0);
    assert_eq!(call(&mut ledger, 4, false, 20.0 + MAX_IDLE_MS), 3);
    // Request 4 calls again on another connection, where no late copy of the first reply can arrive.
    reply(&mut ledger, 4, 30.0 + MAX_IDLE_MS);
    assert_eq!(call(&mut ledger, 4, false, 31.0 + MAX_IDLE_MS), 4);
}

#[test]
fn connection_is_replaced_at_its_maximum_of_calls_and_closed_when_idle() {
    let mut ledger = ledger(9);
    for id in 1..=MAX_CALLS_PER_CONNECTION as RequestId + 1 {
        call(&mut ledger, id, false, 0.0);
        reply(&mut ledger, id, 0.0);
    }
    assert_eq!(ledger.connections.len(), 2);
    ledger.expire(MAX_IDLE_MS - 1.0);
    assert_eq!(ledger.connections.len(), 2);
    ledger.expire(MAX_IDLE_MS);
    assert!(ledger.connections.is_empty());
}

#[test]
fn overdue_call_fails_all_calls_on_its_connection() {
    let mut ledger = ledger(1);
    call(&mut ledger, 1, true, 0.0);
    call(&mut ledger, 2, true, 50.0);
    assert!(ledger.expire(100.0).is_empty());
    let finished = ledger.expire(100.0 + EXPIRY_GRACE_MS);
    // Neither call was written, so neither can run.
    let outcomes: Vec<_> = finished.iter().map(|call| (call.id, call.outcome)).collect();
    assert_eq!(outcomes, [(1, AttemptOutcome::Unreachable), (2, AttemptOutcome::Unreachable)]);
    assert!(ledger.connections.is_empty() && ledger.calls.is_empty());
}

#[test]
fn cancelled_call_retires_its_connection_and_fails_no_other_call() {
    let mut ledger = ledger(1);
    call(&mut ledger, 1, true, 0.0);
    call(&mut ledger, 2, true, 0.0);
    let queued = ledger.connections[&1].handle.bytes_queued();
    ledger.cancel(1, 1.0);
    assert!(
        ledger.connections[&1].handle.bytes_queued() > queued && !ledger.connections[&1].handle.is_closing()
    );
    let third =
        CallRequest { id: 3, attempt_id: AttemptId(3), has_effect: true, body: b"x", deadline: 100.0 };
    assert!(!ledger.call(third, 2.0), "a retired connection carries no further call");
    let handle = ledger.connections[&1].handle.clone();
    ledger.cancel(2, 1.0);
    assert!(handle.is_closing() && ledger.connections.is_empty());
}

#[test]
fn reply_on_another_connection_is_ignored() {
    let mut ledger = ledger(9);
    call(&mut ledger, 1, true, 0.0);
    assert_eq!(ledger.reply_received(7, Some(1), ReplyStatus::Error, 1.0), None);
    assert_eq!(
        ledger.reply_received(1, Some(1), ReplyStatus::Error, 1.0).unwrap().outcome,
        AttemptOutcome::Error
    );
    assert_eq!(ledger.reply_received(1, Some(1), ReplyStatus::Error, 1.0), None);
}

#[test]
fn calls_on_a_lost_connection_fail_according_to_the_bytes_written() {
    let mut ledger = ledger(1);
    call(&mut ledger, 1, true, 0.0);
    let end_of_first = ledger.calls[&1].end;
    call(&mut ledger, 2, true, 0.0);
    let outcomes: Vec<AttemptOutcome> = ledger
        .disconnected(1, CloseReason::Reset, end_of_first, 5.0)
        .into_iter()
        .map(|call| call.outcome)
        .collect();
    assert_eq!(outcomes, [AttemptOutcome::ConnectionLost, AttemptOutcome::Unreachable]);
    assert!(ledger.connections.is_empty());
}

#[test]
fn calls_in_flight_finish_on_the_former_address() {
    let mut ledger = ledger(9);
    call(&mut ledger, 1, false, 0.0);
    call(&mut ledger, 2, false, 0.0);
    reply(&mut ledger, 2, 1.0);
    ledger.set_address(Some(([127, 0, 0, 1], 10).into()), 2.0);
    assert_eq!(call(&mut ledger, 3, false, 3.0), 3);
    ledger.expire(4.0);
    assert!(ledger.connections.keys().eq([&1, &3]));
    reply(&mut ledger, 1, 50.0);
    ledger.expire(51.0);
    assert!(ledger.connections.keys().eq([&3]));
    ledger.calls.get_mut(&3).unwrap().deadline = 1e6;
    ledger.set_address(None, 60.0);
    assert!(ledger.expire(59.0 + RETIRED_DRAIN_MS).is_empty());
    assert_eq!(ledger.expire(60.0 + RETIRED_DRAIN_MS).len(), 1);
}

#[test]
fn overdue_written_call_times_out_and_the_others_lose_their_connection() {
    let mut ledger = ledger(1);
    call(&mut ledger, 1, true, 0.0);
    call(&mut ledger, 2, true, 50.0);
    ledger.connections[&1].handle.take_written(usize::MAX);
    let finished = ledger.expire(100.0 + EXPIRY_GRACE_MS);
    let outcomes: Vec<_> = finished.iter().map(|call| (call.id, call.outcome)).collect();
    assert_eq!(outcomes, [(1, AttemptOutcome::TimedOut), (2, AttemptOutcome::ConnectionLost)]);
}
