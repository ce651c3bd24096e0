use super::*;

fn partial(buffer_bytes: usize, last_read_at: IntegerMillis) -> LinkProgress {
    LinkProgress { buffer_bytes, opened_at: 0, is_member: true, last_read_at, message_started_at: Some(0) }
}

#[test]
fn a_partial_message_times_out_without_bytes_or_after_its_maximum_time() {
    let link = partial(10, 1_000);
    assert!(!link.is_stalled(1_000 + STALL_TIMEOUT_MILLIS - 1));
    assert!(link.is_stalled(1_000 + STALL_TIMEOUT_MILLIS));
    let slow = partial(10, MESSAGE_TIMEOUT_MILLIS - 1);
    assert!(!slow.is_stalled(MESSAGE_TIMEOUT_MILLIS - 1));
    assert!(slow.is_stalled(MESSAGE_TIMEOUT_MILLIS));
    let idle = LinkProgress { message_started_at: None, ..link };
    assert!(!idle.is_stalled(IntegerMillis::MAX / 2));
}

#[test]
fn the_link_without_bytes_for_longest_is_closed_first_and_then_the_largest() {
    let links = [(1, partial(10, 7)), (2, partial(10, 5)), (3, partial(30, 5)), (4, partial(90, 9))];
    assert_eq!(least_progress(links.into_iter()), Some(3));
    let idle = LinkProgress { message_started_at: None, ..partial(90, 0) };
    assert_eq!(least_progress([(1, idle), (2, partial(1, 9))].into_iter()), Some(2));
    assert_eq!(least_progress([(1, idle)].into_iter()), None);
}

#[test]
fn only_unknown_senders_are_closed_beyond_their_maximum() {
    let unknown = |opened_at| LinkProgress { is_member: false, opened_at, ..partial(10, opened_at) };
    let members = (0..2_000).map(|id| (id, partial(10, 0)));
    let unknowns = |count: u64| (0..count).map(|number| (10_000 + number, unknown(100 - number)));
    let maximum = MAX_UNKNOWN_SENDERS as u64;
    assert_eq!(excess_unknown_sender(members.clone().chain(unknowns(maximum - 1))), None);
    let oldest = 10_000 + maximum - 1;
    assert_eq!(excess_unknown_sender(members.chain(unknowns(maximum))), Some(oldest));
}

#[test]
fn a_sender_without_a_first_message_times_out() {
    let idle = LinkProgress { message_started_at: None, is_member: false, ..partial(0, 0) };
    assert!(!idle.is_timed_out(FIRST_MESSAGE_TIMEOUT_MILLIS - 1));
    assert!(idle.is_timed_out(FIRST_MESSAGE_TIMEOUT_MILLIS));
    assert!(!LinkProgress { is_member: true, ..idle }.is_timed_out(FIRST_MESSAGE_TIMEOUT_MILLIS));
}
