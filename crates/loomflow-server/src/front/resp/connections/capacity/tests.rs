use super::*;

const LIMITS: Limits = Limits { near_capacity: 12, max_connections: 16, max_unwritten_bytes: 100 };

fn idle(id: ConnectionId, idle_since: Millis) -> IdleConnection {
    IdleConnection { id, idle_since, has_received_message: true, has_partial_message: false }
}

#[test]
fn the_excess_is_reclaimed_and_half_of_all_at_the_limit() {
    assert_eq!(LIMITS.reclaim_count(12, 0), 0);
    assert_eq!(LIMITS.reclaim_count(15, 0), 3);
    assert_eq!(LIMITS.reclaim_count(16, 0), 8);
    assert_eq!(LIMITS.reclaim_count(8, 8), 4, "half-closed connections still have descriptors");
    assert!(!LIMITS.is_near_capacity(12) && LIMITS.is_near_capacity(13));
}

#[test]
fn silent_connections_are_reclaimed_first_then_the_longest_idle() {
    let silent = IdleConnection { has_received_message: false, ..idle(3, 9.0) };
    let partial = IdleConnection { has_partial_message: true, ..silent };
    let mut connections = [idle(1, 5.0), idle(2, 4.0), IdleConnection { id: 4, ..partial }, silent];
    connections.sort_by(IdleConnection::reclaim_order);
    assert_eq!(connections.map(|connection| connection.id), [3, 4, 2, 1]);
}

#[test]
fn silent_connections_are_closed_and_others_get_a_bye() {
    assert_eq!(idle(1, 0.0).reclaim_action(0.0), ReclaimAction::SendBye);
    let silent = IdleConnection { has_received_message: false, ..idle(1, 0.0) };
    assert_eq!(silent.reclaim_action(FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS - 1.0), ReclaimAction::Wait);
    assert_eq!(silent.reclaim_action(FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS), ReclaimAction::Close);
}

#[test]
fn the_slowest_readers_are_aborted_until_the_rest_is_within_the_limit() {
    let unwritten = |bytes: [usize; 3]| {
        bytes.into_iter().zip(1..).map(|(bytes, id)| UnwrittenResponses { id, bytes }).collect::<Vec<_>>()
    };
    assert!(LIMITS.slow_readers(unwritten([40, 50, 10])).is_empty());
    assert_eq!(LIMITS.slow_readers(unwritten([40, 50, 11])), [2]);
    assert_eq!(LIMITS.slow_readers(unwritten([90, 80, 30])), [1, 2]);
}
