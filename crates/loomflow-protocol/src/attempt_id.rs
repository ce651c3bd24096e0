//! Identifier of a request attempt, as gateways, the engine and the ledger exchange it.

/// Length of an id on the wire, in hexadecimal digits.
const DIGITS: usize = 16;

/// Identifies one attempt of a request; assigned by the gateway that sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

impl AttemptId {
    /// Parses exactly 16 lower-case hexadecimal digits, the only form that is allowed on the wire.
    pub fn parse(text: &[u8]) -> Option<AttemptId> {
        let is_lower_hex = |byte: &u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(byte);
        if text.len() != DIGITS || !text.iter().all(is_lower_hex) {
            return None;
        }
        u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok().map(AttemptId)
    }
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
