use super::*;

const LIMITS: Limits = Limits { near_capacity: 12, max_connections: 16, max_unwritten_bytes: 100 };

fn idle(id: ConnectionId, idle_since: Millis) -> IdleConnection {
    IdleConnection { id, idle_since, has_received_message: true, has_partial_message: false }
}

#[test]
fn connections_above_the_bound_are_reclaimed_and_half_of_all_at_capacity() {
    assert_eq!(LIMITS.reclaim_count(12, 0), 0);
    assert_eq!(LIMITS.reclaim_count(15, 0), 3);
    assert_eq!(LIMITS.reclaim_count(16, 0), 8);
    assert_eq!(LIMITS.reclaim_count(8, 8), 4, "lingering connections have descriptors, too");
    assert!(!LIMITS.is_near_capacity(12) && LIMITS.is_near_capacity(13));
}

#[test]
fn connections_without_a_message_are_reclaimed_first_then_the_longest_idle() {
    let silent = IdleConnection { has_received_message: false, ..idle(3, 9.0) };
    let partial = IdleConnection { has_partial_message: true, ..silent };
    let mut connections = [idle(1, 5.0), idle(2, 4.0), IdleConnection { id: 4, ..partial }, silent];
    connections.sort_by(IdleConnection::reclaim_order);
    assert_eq!(connections.map(|connection| connection.id), [3, 4, 2, 1]);
}

#[test]
fn a_connection_without_a_message_is_closed_after_its_timeout_and_others_get_a_goodbye() {
    assert_eq!(idle(1, 0.0).reclaim(0.0), Reclaim::SendGoodbye);
    let silent = IdleConnection { has_received_message: false, ..idle(1, 0.0) };
    assert_eq!(silent.reclaim(FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS - 1.0), Reclaim::Wait);
    assert_eq!(silent.reclaim(FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS), Reclaim::Close);
}

#[test]
fn the_slowest_readers_are_aborted_until_the_rest_is_within_the_bound() {
    let unwritten = |bytes: [usize; 3]| {
        bytes.into_iter().zip(1..).map(|(bytes, id)| UnwrittenResponses { id, bytes }).collect::<Vec<_>>()
    };
    assert!(LIMITS.slow_readers(unwritten([40, 50, 10])).is_empty());
    assert_eq!(LIMITS.slow_readers(unwritten([40, 50, 11])), [2]);
    assert_eq!(LIMITS.slow_readers(unwritten([90, 80, 30])), [1, 2]);
}
