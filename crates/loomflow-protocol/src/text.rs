//! Parsing of lines and numbers, shared by the line-based protocols.

use crate::decoder::Malformed;

const LINE_END: &[u8] = b"\r\n";
/// Maximum length of a 64-bit number, bytes.
const MAX_INTEGER_BYTES: usize = 20;
const MAX_DECIMAL_BYTES: usize = 32;

/// Builds a message from its body.
type WithBody<T> = Box<dyn FnOnce(Vec<u8>) -> T>;

/// How much of a message its line is.
pub(crate) enum LineHead<T> {
    /// The line is the complete message.
    Complete(T),
    /// A body of this length follows, from which the message is built.
    WithBody(u64, WithBody<T>),
}

/// Parses a line of fields separated by spaces, and the body that follows it if `parse` finds a length in it. Returns the message and the
/// number of bytes that it takes, or `None` while it is incomplete.
pub(crate) fn line_and_body<T>(
    bytes: &[u8],
    max_line_bytes: usize,
    max_body_bytes: usize,
    parse: impl Fn(&[&[u8]]) -> Result<LineHead<T>, Malformed>,
) -> Result<Option<(T, usize)>, Malformed> {
    let Some(text) = line(bytes, max_line_bytes)? else { return Ok(None) };
    let fields: Vec<&[u8]> = text.split(|byte| *byte == b' ').collect();
    let body_start = text.len() + LINE_END.len();
    match parse(&fields)? {
        LineHead::Complete(message) => Ok(Some((message, body_start))),
        LineHead::WithBody(length, build) => {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > max_body_bytes {
                return Err(Malformed("a body is too long"));
            }
            let Some(rest) = bytes.get(body_start..).filter(|rest| rest.len() >= length + LINE_END.len())
            else {
                return Ok(None);
            };
            let (body, rest) = rest.split_at(length);
            if !rest.starts_with(LINE_END) {
                return Err(Malformed("a body does not end where its length says"));
            }
            Ok(Some((build(body.to_vec()), body_start + length + LINE_END.len())))
        }
    }
}

/// The line at the start of `bytes` without its CR LF, or `None` while it is incomplete.
pub(crate) fn line(bytes: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, Malformed> {
    let searched = &bytes[..bytes.len().min(max_bytes + LINE_END.len())];
    match searched.windows(LINE_END.len()).position(|pair| pair == LINE_END) {
        Some(end) => Ok(Some(&bytes[..end])),
        None if bytes.len() >= max_bytes + LINE_END.len() => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// An unsigned integer that consists of digits only.
pub(crate) fn integer(text: &[u8]) -> Option<u64> {
    if text.is_empty() || text.len() > MAX_INTEGER_BYTES || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// A finite decimal number that is not negative.
pub(crate) fn decimal(text: &[u8]) -> Option<f64> {
    let is_part_of_number = |byte: &u8| byte.is_ascii_digit() || b".eE+-".contains(byte);
    if text.is_empty() || text.len() > MAX_DECIMAL_BYTES || !text.iter().all(is_part_of_number) {
        return None;
    }
    let value: f64 = std::str::from_utf8(text).ok()?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}
