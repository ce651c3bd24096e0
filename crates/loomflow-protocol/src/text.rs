//! Parsing of lines and numbers, shared by the text protocols.

use crate::decoder::Malformed;

const LINE_END: &[u8] = b"\r\n";
/// Digits of the largest 64-bit number.
const MAX_INTEGER_BYTES: usize = 20;
const MAX_DECIMAL_BYTES: usize = 32;

/// Builds a message from its body.
type BuildMessage<T> = Box<dyn FnOnce(Vec<u8>) -> T>;

/// The result of parsing the first line of a message.
pub(crate) enum LineHead<T> {
    /// The line is the complete message.
    Complete(T),
    /// A body of this length, in bytes, follows; the function builds the message from it.
    WithBody(u64, BuildMessage<T>),
}

/// Parses a message: a line of fields separated by spaces and, if `parse` returns a length, the body that follows it.
/// Returns the message and its total length in bytes, or `None` while it is incomplete.
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
                return Err(Malformed("a body exceeds the maximum length"));
            }
            let Some(rest) = bytes.get(body_start..).filter(|rest| rest.len() >= length + LINE_END.len())
            else {
                return Ok(None);
            };
            let (body, rest) = rest.split_at(length);
            if !rest.starts_with(LINE_END) {
                return Err(Malformed("a body of the stated length is not followed by CR LF"));
            }
            Ok(Some((build(body.to_vec()), body_start + length + LINE_END.len())))
        }
    }
}

/// Returns the line at the start of `bytes` without its CR LF, or `None` while it is incomplete.
pub(crate) fn line(bytes: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, Malformed> {
    let searched = &bytes[..bytes.len().min(max_bytes + LINE_END.len())];
    match searched.windows(LINE_END.len()).position(|pair| pair == LINE_END) {
        Some(end) => Ok(Some(&bytes[..end])),
        None if bytes.len() >= max_bytes + LINE_END.len() => {
            Err(Malformed("a line exceeds the maximum length"))
        }
        None => Ok(None),
    }
}

/// Parses an unsigned 64-bit integer that consists of digits only; a sign or a space is invalid.
pub(crate) fn integer(text: &[u8]) -> Option<u64> {
    if text.is_empty() || text.len() > MAX_INTEGER_BYTES || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Parses a finite decimal number, zero or greater. `inf` and `nan`, which `f64` would parse, are invalid.
pub(crate) fn decimal(text: &[u8]) -> Option<f64> {
    let is_number_byte = |byte: &u8| byte.is_ascii_digit() || b".eE+-".contains(byte);
    if text.is_empty() || text.len() > MAX_DECIMAL_BYTES || !text.iter().all(is_number_byte) {
        return None;
    }
    let value: f64 = std::str::from_utf8(text).ok()?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}
