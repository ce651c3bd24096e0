use super::KeyRetention;
use crate::interface::{Class, Idempotency};

fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        latency_objective: 500.0,
        objective_per_work: 0.0,
        timeout: 2000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency_window: 1000.0,
        makes_calls: false,
        degraded_weight: 0.0,
    }
}

const NO_CACHE: KeyRetention = KeyRetention { result_cache_ttl: 0.0, batch_interval: 5.0 };
const CACHE: KeyRetention = KeyRetention { result_cache_ttl: 300.0, ..NO_CACHE };

#[test]
fn key_is_retained_for_its_window_and_outlives_its_request() {
    let keyed = class(Idempotency::ByKey);
    assert_eq!(NO_CACHE.ttl(&keyed, 100.0, 200.0), Some(910.0));
    assert_eq!(NO_CACHE.ttl(&keyed, 100.0, 2000.0), Some(2010.0));
    assert_eq!(CACHE.ttl(&keyed, 100.0, 200.0), Some(910.0));
}

#[test]
fn idempotent_results_are_shared_only_if_cached() {
    let idempotent = class(Idempotency::Always);
    assert_eq!(CACHE.ttl(&idempotent, 100.0, 2000.0), Some(310.0));
    assert_eq!(NO_CACHE.ttl(&idempotent, 100.0, 2000.0), None);
    assert_eq!(CACHE.ttl(&class(Idempotency::Never), 100.0, 2000.0), None);
    assert!(CACHE.shares_result(&idempotent) && !NO_CACHE.shares_result(&idempotent));
    assert!(NO_CACHE.shares_result(&class(Idempotency::ByKey)));
}
