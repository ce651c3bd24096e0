//! Identifiers of request attempts.

/// Length of an id on the wire, hexadecimal digits.
const DIGITS: usize = 16;

/// The id that a gateway gives to one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

impl AttemptId {
    /// Parses 16 lower-case hexadecimal digits.
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
