//! Receive buffer of a connection. It grows on demand up to a bound, is compacted in place and frees its memory when it
//! is empty.

/// Space that is provided for one read, bytes.
const READ_BYTES: usize = 4096;

/// Bytes that were received and not consumed yet.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

impl Buffer {
    /// Creates a buffer for a message of `max_message_bytes` and one further read.
    pub fn new(max_message_bytes: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_bytes: max_message_bytes + READ_BYTES }
    }

    /// The bytes that were received and not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Space for the next read; empty when the bound is reached.
    pub fn space(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        let needed = (self.end + READ_BYTES).min(self.max_bytes);
        if self.bytes.len() < needed {
            self.bytes.resize(needed, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// Marks `count` bytes of [`space`](Self::space) as received.
    pub fn filled(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }

    /// Drops `count` bytes from the start of the unread ones.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection holds no memory.
            self.bytes = Vec::new();
        }
    }

    /// Appends bytes that were received elsewhere; returns false if they do not fit.
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let space = self.space();
            if space.is_empty() {
                return false;
            }
            let count = space.len().min(remaining.len());
            space[..count].copy_from_slice(&remaining[..count]);
            self.filled(count);
            remaining = &remaining[count..];
        }
        true
    }
}
