//! Shared parts of the tests without sockets: settings to vary, and the decoding of frames that a consumer writes.

use std::collections::VecDeque;

use loomflow_amqp::idempotency::Capacity;
use loomflow_amqp::settings::Password;
use loomflow_amqp::*;

mod settings;
pub use self::settings::settings;

/// Decodes the complete frames of bytes that are sent to a broker.
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
