//! One buffer a connection: grows as it needs up to a bound, is compacted in place, and gives its room back.

/// Room made for one read.
const READ_BYTES: usize = 4096;

#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

impl Buffer {
    /// `most`: the longest message that must fit; one read more is held at the most.
    pub fn new(most: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_bytes: most + READ_BYTES }
    }

    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Room for the next read; empty when the bound is reached.
    pub fn space(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        let wanted = (self.end + READ_BYTES).min(self.max_bytes);
        if self.bytes.len() < wanted {
            self.bytes.resize(wanted, 0);
        }
        &mut self.bytes[self.end..]
    }

    pub fn filled(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }

    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection holds no buffer.
            self.bytes = Vec::new();
        }
    }

    /// For tests and for bytes that are in hand already; false when they do not fit.
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        let mut rest = bytes;
        while !rest.is_empty() {
            let space = self.space();
            if space.is_empty() {
                return false;
            }
            let count = space.len().min(rest.len());
            space[..count].copy_from_slice(&rest[..count]);
            self.filled(count);
            rest = &rest[count..];
        }
        true
    }
}

/// What cannot be a message of the protocol; the connection cannot go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A state machine that is fed bytes and yields typed messages.
pub trait Decoder {
    type Message;

    fn buffer(&mut self) -> &mut Buffer;

    /// The next whole message, or none until more bytes are fed.
    fn next(&mut self) -> Result<Option<Self::Message>, Malformed>;
}

/// A line ending in CR LF at the start of `bytes`, without it; none while it is not whole.
pub(crate) fn line(bytes: &[u8], most: usize) -> Result<Option<&[u8]>, Malformed> {
    let searched = &bytes[..bytes.len().min(most + 2)];
    match searched.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) => Ok(Some(&bytes[..end])),
        None if bytes.len() >= most + 2 => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// A decimal number written in digits only.
pub(crate) fn digits(text: &[u8]) -> Option<u64> {
    if text.is_empty() || text.len() > 20 || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// A decimal number of 0 or more.
pub(crate) fn decimal(text: &[u8]) -> Option<f64> {
    let plain = |b: &u8| b.is_ascii_digit() || b".eE+-".contains(b);
    if text.is_empty() || text.len() > 32 || !text.iter().all(plain) {
        return None;
    }
    let value: f64 = std::str::from_utf8(text).ok()?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// A request's id as the gateways give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

impl AttemptId {
    pub fn parse(text: &[u8]) -> Option<AttemptId> {
        let lower = |b: &u8| b.is_ascii_digit() || (b'a'..=b'f').contains(b);
        if text.len() != 16 || !text.iter().all(lower) {
            return None;
        }
        u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok().map(AttemptId)
    }
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Takes a line of words and, where `length` finds one in it, the bytes that follow. The answer is the
/// line's message and how many bytes it took.
pub(crate) fn line_and_body<T>(
    bytes: &[u8],
    most_line: usize,
    most_body: usize,
    read: impl Fn(&[&[u8]]) -> Result<LineHead<T>, Malformed>,
) -> Result<Option<(T, usize)>, Malformed> {
    let Some(text) = line(bytes, most_line)? else { return Ok(None) };
    let words: Vec<&[u8]> = text.split(|b| *b == b' ').collect();
    let after = text.len() + 2;
    match read(&words)? {
        LineHead::Complete(message) => Ok(Some((message, after))),
        LineHead::WithBody(length, finish) => {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > most_body {
                return Err(Malformed("a body is too long"));
            }
            let Some(rest) = bytes.get(after..).filter(|rest| rest.len() >= length + 2) else {
                return Ok(None);
            };
            if &rest[length..length + 2] != b"\r\n" {
                return Err(Malformed("a body does not end where its length says"));
            }
            Ok(Some((finish(rest[..length].to_vec()), after + length + 2)))
        }
    }
}

type Finish<T> = Box<dyn FnOnce(Vec<u8>) -> T>;

pub(crate) enum LineHead<T> {
    Complete(T),
    WithBody(u64, Finish<T>),
}
