//! What the servers of a modelled fleet tell the decision module about themselves.

use loomflow::interface::{Class, Downstream, FeedbackSignal, Idempotency, Preemption, Settings};

use crate::clock::{Micros, to_millis};
use crate::setup::Setup;

/// The least time between two batches of one server.
pub const TICK: Micros = 5_000;

/// The settings of a server of that fleet; `cold` where it starts again while the others serve.
pub fn module_settings(setup: &Setup, cold: bool) -> Settings {
    Settings {
        classes: vec![class(setup)],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        is_weight_per_work: false,
        server_count: setup.servers as f64,
        caller_count: setup.callers as f64,
        tier: 0,
        cores: setup.server.cores,
        memory_kb: 1e9,
        run_memory_factor: 1.0,
        key_kb: 1.0,
        downstream: Downstream::None,
        call_quota: 0.0,
        call_quota_window: 5_000.0,
        call_linger: 0.0,
        result_cache_ttl: 0.0,
        preemption: Preemption::DiscardsProgress,
        feedback_signal: FeedbackSignal::SendShare,
        signal_ttl: to_millis(setup.habits.remembers),
        idle_timeout: to_millis(setup.habits.keeps_idle),
        handshake_price: 0.0,
        has_caller_deadlines: false,
        has_cancellations: true,
        is_slow_start: cold,
        slow_start_share: setup.server.cold_speed,
        slow_start_duration: to_millis(setup.server.warm_up),
        response_slack: 0.0,
        drain_grace: 1_000.0,
        core_concurrency: 8.0,
        concurrency_window: 2_000.0,
        max_retry_after: 1_000.0,
        batch_interval: to_millis(TICK),
    }
}

/// The one class of requests: safe to run twice, all of the same worth.
fn class(setup: &Setup) -> Class {
    Class {
        idempotency: Idempotency::Always,
        latency_objective: to_millis(setup.clients.aim),
        objective_per_work: 0.0,
        timeout: to_millis(setup.clients.give_up),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency_window: 0.0,
        makes_calls: false,
        degraded_weight: 0.0,
    }
}
