//! Controller settings of a simulated server.

use loomflow::interface::{Class, Downstream, FeedbackSignal, Idempotency, Preemption, Settings};

use crate::clock::{SimulationMicros, to_millis};
use crate::setup::Setup;

/// Minimum interval between two batches of a server, µs.
pub const MIN_BATCH_INTERVAL: SimulationMicros = 5_000;

/// Returns the controller settings of a server; `is_slow_start` is set for a restart while the other servers
/// serve.
pub fn controller_settings(setup: &Setup, is_slow_start: bool) -> Settings {
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
        signal_ttl: to_millis(setup.caller_policy.share_ttl),
        idle_timeout: to_millis(setup.caller_policy.idle_timeout),
        handshake_price: 0.0,
        has_caller_deadlines: false,
        has_cancellations: true,
        is_slow_start,
        slow_start_share: setup.server.slow_start_speed,
        slow_start_duration: to_millis(setup.server.slow_start_duration),
        response_slack: 0.0,
        drain_grace: 1_000.0,
        core_concurrency: 8.0,
        concurrency_window: 2_000.0,
        max_retry_after: 1_000.0,
        batch_interval: to_millis(MIN_BATCH_INTERVAL),
    }
}

/// Returns the only class of requests, which is idempotent.
fn class(setup: &Setup) -> Class {
    Class {
        idempotency: Idempotency::Always,
        latency_objective: to_millis(setup.client_policy.objective),
        objective_per_work: 0.0,
        timeout: to_millis(setup.client_policy.timeout),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency_window: 0.0,
        makes_calls: false,
        degraded_weight: 0.0,
    }
}
