use super::*;

#[test]
fn a_closing_connection_is_kept_while_its_peer_reads_slowly_but_not_for_good() {
    let closing = Closing::new(0, 0.0);
    let mut stalled = closing;
    assert!(
        !stalled.is_stalled(0, 0.0, CLOSE_STALL_TIMEOUT_MS - 1.0)
            && stalled.is_stalled(0, 0.0, CLOSE_STALL_TIMEOUT_MS)
    );
    let mut slow = closing;
    let mut now = 0.0;
    for written in 1.. {
        now += CLOSE_STALL_TIMEOUT_MS - 1.0;
        if slow.is_stalled(written, 0.0, now) {
            break;
        }
    }
    assert!((CLOSE_TIMEOUT_MS..CLOSE_TIMEOUT_MS + CLOSE_STALL_TIMEOUT_MS).contains(&now), "{now}");
    // A later response has its time from then on.
    assert!(!slow.is_stalled(100, now, now + CLOSE_STALL_TIMEOUT_MS - 1.0));
}
