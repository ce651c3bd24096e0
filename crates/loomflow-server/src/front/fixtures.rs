//! Test requests shared by the tests of several modules.

use loomflow_protocol::AttemptId;
use loomflow_protocol::gateway::Call;

/// A valid request of class `read` that arrived at `arrived_at` (Unix time, ms).
pub fn call(arrived_at: f64) -> Call {
    Call {
        tag: 1,
        class: "read".into(),
        id: AttemptId(1),
        arrived_at,
        gateway: 4,
        tenant: None,
        estimated_work: Some(5.0),
        memory_kb: 10.0,
        rank: 0.5,
        subject: None,
        key: None,
        remaining_wait: None,
        is_retry: false,
        body: Vec::new(),
    }
}
