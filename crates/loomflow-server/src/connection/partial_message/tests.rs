use super::*;

#[test]
fn a_partial_message_stalls_after_either_timeout() {
    let start = Instant::now();
    let first = PartialMessage::updated(None, 1, start).expect("undecoded bytes are a partial message");
    assert!(!first.is_stalled(start + STALL_TIMEOUT.saturating_sub(Duration::from_millis(1))));
    assert!(first.is_stalled(start + STALL_TIMEOUT));
    // An unchanged length is no progress; one more byte is, until the timeout of the whole message.
    assert_eq!(PartialMessage::updated(Some(first), 1, start + STALL_TIMEOUT), Some(first));
    let mut slow = first;
    let mut now = start;
    for length in 2.. {
        now += STALL_TIMEOUT.saturating_sub(Duration::from_millis(1));
        slow =
            PartialMessage::updated(Some(slow), length, now).expect("undecoded bytes are a partial message");
        if slow.is_stalled(now) {
            break;
        }
    }
    assert!((TIMEOUT..TIMEOUT + STALL_TIMEOUT).contains(&(now - start)));
    assert_eq!(PartialMessage::updated(Some(slow), 0, now), None);
}
