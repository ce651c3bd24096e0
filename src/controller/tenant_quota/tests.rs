use super::{TenantQuotas, TokenBucket};
use crate::interface::{Settings, Tenant};

#[test]
fn bucket_holds_ten_seconds_of_quota_and_refills_at_its_rate() {
    let mut bucket = TokenBucket::full(0.0);
    let taken = (0..30).filter(|_| bucket.try_take(2.0, 0.0)).count();
    assert_eq!(taken, 20);
    assert!(!bucket.try_take(2.0, 499.0));
    assert!(bucket.try_take(2.0, 500.0));
}

#[test]
fn small_quota_allows_a_burst_of_six_requests() {
    let mut bucket = TokenBucket::full(0.0);
    assert_eq!((0..30).filter(|_| bucket.try_take(0.01, 0.0)).count(), 6);
}

#[test]
fn each_first_tier_server_grants_an_equal_part_of_the_quota() {
    let granted = |server_count, tier, quota_per_s| {
        let tenants = vec![Tenant { quota_per_s }];
        let settings = Settings { tenants, server_count, tier, ..Settings::default() };
        let mut quotas = TenantQuotas::new(1, 0.0);
        (0..500).filter(|_| !quotas.is_exceeded(0, &settings, 0.0)).count()
    };
    assert_eq!(granted(1.0, 0, 20.0), 200);
    assert_eq!(granted(4.0, 0, 20.0), 50);
    assert_eq!(granted(4.0, 1, 20.0), 500, "quotas apply only in the first tier");
    assert_eq!(granted(4.0, 0, 0.0), 500, "a tenant without a quota");
}
