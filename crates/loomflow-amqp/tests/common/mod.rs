//! What the tests without sockets share: settings to vary, and frames out of what a consumer writes.

use std::collections::VecDeque;

use loomflow_amqp::settings::Password;
use loomflow_amqp::*;

pub fn settings(effect: bool) -> Settings {
    Settings {
        brokers: vec![([127, 0, 0, 1], 1).into()],
        vhost: "/".into(),
        user: "guest".into(),
        password: Password("guest".into()),
        heartbeat: 0,
        max_body_bytes: 1_000,
        retention: 1e9,
        // Little, so that keys of which only a hash is left take part.
        capacity: idempotency::Capacity { records: 8, reply_bytes: 10, retired_keys: 10_000 },
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
        classes: vec![Class { name: "archive".into(), has_effect: effect, timeout: 20_000.0 }],
        tenants: Vec::new(),
    }
}

/// The whole frames among bytes on their way to a broker.
#[allow(dead_code, reason = "not every test reads frames")]
pub fn decode(bytes: &mut VecDeque<u8>) -> Vec<Frame> {
    use loomflow_protocol::Decoder;
    let mut frames = frames::Frames::default();
    let mut whole = Vec::new();
    let flat: Vec<u8> = bytes.iter().copied().collect();
    let flat = match flat.strip_prefix(b"AMQP\0\0\x09\x01") {
        Some(rest) => rest.to_vec(),
        None => flat,
    };
    bytes.clear();
    for part in flat.chunks(4_096) {
        assert!(frames.buffer().feed(part));
        while let Some(raw) = frames.next().expect("frames") {
            whole.extend(raw.iter().map(|frame| frame.expect("a frame")));
        }
    }
    whole
}
