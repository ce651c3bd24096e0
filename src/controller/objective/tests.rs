use super::{EffectiveObjective, scale_to_tier};
use crate::interface::{Class, Idempotency, RequestAttributes, Settings};

fn class(latency_objective: f64) -> Class {
    Class {
        idempotency: Idempotency::Always,
        latency_objective,
        objective_per_work: 2.0,
        timeout: 8000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency_window: 0.0,
        makes_calls: false,
        degraded_weight: 0.0,
    }
}

fn request(is_retry: bool) -> RequestAttributes {
    RequestAttributes {
        class: 0,
        tenant: 0,
        remaining_wait: 0.0,
        estimated_work: None,
        memory_kb: 1.0,
        rank: 0.0,
        is_retry,
        caller: 0,
        age: 0.0,
        upstream_time: 100.0,
    }
}

#[test]
fn downstream_tier_has_a_fraction_of_the_objective() {
    let shortest = |tier| {
        let mut settings =
            Settings { classes: vec![class(2000.0), class(1000.0)], tier, ..Settings::default() };
        scale_to_tier(&mut settings)
    };
    assert_eq!(shortest(0), 1000.0);
    assert_eq!(shortest(1), 330.0);
    assert_eq!(shortest(9), shortest(20));
}

#[test]
fn time_spent_upstream_or_on_a_rejected_attempt_is_subtracted() {
    let mut objective = EffectiveObjective::default();
    assert_eq!(objective.time_for(&request(false), &class(1000.0), 50.0), 1000.0);
    objective.record_rejection(400.0);
    assert_eq!(objective.time_for(&request(false), &class(1000.0), 50.0), 1000.0);
    assert_eq!(objective.time_for(&request(true), &class(1000.0), 50.0), 700.0);
}

#[test]
fn six_late_cancellations_shorten_the_objective() {
    let mut objective = EffectiveObjective::default();
    for _ in 0..10 {
        objective.record_cancellation(499.0, 1000.0, 5.0);
    }
    for _ in 0..5 {
        objective.record_cancellation(750.0, 1000.0, 5.0);
    }
    assert_eq!(objective.time_for(&request(false), &class(1000.0), 0.0), 900.0);
    objective.record_cancellation(750.0, 1000.0, 5.0);
    assert_eq!(objective.time_for(&request(false), &class(1000.0), 0.0), 650.0);
}
