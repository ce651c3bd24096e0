//! Helpers of the tests without sockets: settings, and a decoder for the frames that a consumer writes.

use std::collections::VecDeque;

use loomflow_amqp::idempotency::Capacity;
use loomflow_amqp::settings::Password;
use loomflow_amqp::*;

mod settings;
pub use self::settings::settings;

/// Decodes the frames of the bytes that are sent to a broker. The bytes must end with a complete frame.
#[allow(dead_code, reason = "not every test decodes frames")]
pub fn decode(bytes: &mut VecDeque<u8>) -> Vec<Frame> {
    use loomflow_protocol::Decoder;
    let mut frames = frames::Frames::default();
    let mut decoded = Vec::new();
    let sent: Vec<u8> = bytes.iter().copied().collect();
    let sent = match sent.strip_prefix(b"AMQP\0\0\x09\x01") {
        Some(rest) => rest.to_vec(),
        None => sent,
    };
    bytes.clear();
    for chunk in sent.chunks(4_096) {
        assert!(frames.buffer().feed(chunk));
        while let Some(raw) = frames.next().expect("valid frames") {
            decoded.extend(raw.iter().map(|frame| frame.expect("a valid frame")));
        }
    }
    decoded
}
