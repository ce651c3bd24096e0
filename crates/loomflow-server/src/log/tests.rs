use std::time::Duration;

use super::*;

#[test]
fn a_flood_of_lines_is_limited_and_dropped_lines_are_counted() {
    let start = Instant::now();
    let mut rate_limit = RateLimit { tokens: BURST, refilled_at: None, dropped: 0 };
    let written = (0..1000).filter(|_| rate_limit.admit(start).is_some()).count();
    assert_eq!(written, BURST as usize);
    assert_eq!(rate_limit.admit(start + Duration::from_secs(1)), Some(1000 - BURST as u64));
    assert_eq!(rate_limit.admit(start + Duration::from_secs(1)), Some(0));
}
