use std::time::Duration;

use super::*;

#[test]
fn lines_over_the_rate_limit_are_dropped_and_counted() {
    let start = Instant::now();
    let mut rate_limit = RateLimit { tokens: BURST_LINES, refilled_at: None, dropped: 0 };
    let written = (0..1000).filter(|_| rate_limit.admit(start).is_some()).count();
    assert_eq!(written, BURST_LINES as usize);
    assert_eq!(rate_limit.admit(start + Duration::from_secs(1)), Some(1000 - BURST_LINES as u64));
    assert_eq!(rate_limit.admit(start + Duration::from_secs(1)), Some(0));
}
