use super::CallPermits;
use crate::interface::{Downstream, Settings};

fn permits(downstream: Downstream, call_quota: f64) -> CallPermits {
    let settings = Settings {
        downstream,
        call_quota,
        call_quota_window: 5000.0,
        call_linger: 200.0,
        batch_interval: 5.0,
        ..Settings::default()
    };
    CallPermits::new(&settings, 250.0, 0.0)
}

#[test]
fn permits_depend_on_the_kind_of_downstream() {
    assert_eq!(permits(Downstream::None, 10.0).permits(14.0), 0.0);
    assert_eq!(permits(Downstream::Tier, 10.0).permits(14.0), 14.0);
    // 0.85 * 10, rounded down, are 8 full permits; one more is borrowed.
    assert_eq!(permits(Downstream::Shared, 10.0).permits(14.0), 9.0);
}

#[test]
fn borrowed_permit_uses_credit_and_bounds_the_deadline() {
    let mut permits = permits(Downstream::Shared, 1.4);
    // The credit is half of the 0.4 beyond one full permit, over 5 s: 1000 ms. The linger of 200 ms and two
    // batches of 5 ms are subtracted.
    assert_eq!(permits.bounded_deadline(9999.0, 0.0), 9999.0);
    permits.start_call();
    assert!((permits.bounded_deadline(9999.0, 0.0) - 790.0).abs() < 1e-6);
    permits.start_call();
    permits.advance(1200.0);
    assert_eq!(permits.permits(0.0), 1.0, "the credit does not cover another call");
    permits.end_call(1200.0);
    permits.advance(6200.0);
    assert_eq!(permits.permits(0.0), 2.0);
}

#[test]
fn abandoned_call_holds_its_permit_while_it_lingers() {
    let mut permits = permits(Downstream::Shared, 2.5);
    permits.start_call();
    permits.end_call(0.0);
    permits.record_abandoned(50.0, 0.0);
    assert_eq!(permits.call_time().value, 100.0);
    permits.advance(199.0);
    assert_eq!(permits.occupied(), 1.0);
    permits.advance(200.0);
    assert_eq!(permits.occupied(), 0.0);
}

#[test]
fn slow_calls_reduce_the_usable_permits() {
    let mut permits = permits(Downstream::Shared, 10.0);
    let mut now = 0.0;
    let mut permits_after = |calls, duration| {
        for _ in 0..calls {
            now += 250.0;
            permits.advance(now);
            permits.start_call();
            permits.end_call(now);
            permits.record_success(duration);
        }
        permits.permits(0.0)
    };
    assert_eq!(permits_after(25, 20.0), 9.0);
    assert_eq!(permits_after(60, 200.0), 4.0, "0.4 of 8 full permits, rounded up");
    assert_eq!(permits_after(60, 20.0), 9.0);
}
