use super::*;

fn partial(buffer_bytes: usize, last_read_at: IntegerMillis) -> LinkProgress {
    LinkProgress { buffer_bytes, last_read_at, message_started_at: Some(0) }
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
