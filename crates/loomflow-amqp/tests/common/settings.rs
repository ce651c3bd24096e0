//! Settings that are shared by the unit tests of the package and the tests in this directory.

use super::{Capacity, Class, KeyFrom, NameFrom, Password, Queue, Settings, Target};

/// Settings with one queue and one class.
pub fn settings(has_effect: bool) -> Settings {
    Settings {
        brokers: vec![([127, 0, 0, 1], 1).into()],
        vhost: "/".into(),
        user: "guest".into(),
        password: Password("guest".into()),
        heartbeat_s: 0,
        max_body_bytes: 1_000,
        retention: 1e9,
        // Few records, so that tests exceed them and older keys are reduced to hashes.
        capacity: Capacity { records: 8, reply_bytes: 10, retired_keys: 10_000 },
        max_in_flight: 20,
        max_unconfirmed: 8,
        max_retries: 3,
        dead_letter: Some(Target { exchange: String::new(), routing_key: "dead".into() }),
        results: None,
        queues: vec![Queue {
            name: "jobs".into(),
            class: NameFrom::Fixed("archive".into()),
            tenant: None,
            key: KeyFrom::MessageId,
            sent_from: None,
            estimated_work: None,
            memory_kb: 1.0,
            rank: 0.0,
            priority_weight: 1.0,
        }],
        classes: vec![Class { name: "archive".into(), has_effect, timeout: 20_000.0 }],
        tenants: Vec::new(),
    }
}
