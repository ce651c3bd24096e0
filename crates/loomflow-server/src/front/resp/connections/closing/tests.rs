use super::*;

#[test]
fn a_slow_reader_has_more_time_than_a_stalled_one_but_not_unlimited() {
    let close = CloseProgress::new(0, 0.0);
    let mut stalled = close;
    assert!(
        !stalled.is_stalled(0, 0.0, CLOSE_STALL_TIMEOUT_MS - 1.0)
            && stalled.is_stalled(0, 0.0, CLOSE_STALL_TIMEOUT_MS)
    );
    let mut slow = close;
    let mut now = 0.0;
    for written in 1.. {
        now += CLOSE_STALL_TIMEOUT_MS - 1.0;
        if slow.is_stalled(written, 0.0, now) {
            break;
        }
    }
    assert!((CLOSE_TIMEOUT_MS..CLOSE_TIMEOUT_MS + CLOSE_STALL_TIMEOUT_MS).contains(&now), "{now}");
    // A later response restarts both timeouts.
    assert!(!slow.is_stalled(100, now, now + CLOSE_STALL_TIMEOUT_MS - 1.0));
}
