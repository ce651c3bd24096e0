//! Receive buffer of a connection. It grows on demand up to a fixed limit, is compacted in place, and frees its memory
//! when it is empty.

/// Space provided for one read, in bytes.
const READ_BYTES: usize = 4096;

/// Received bytes that have not been consumed.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

impl Buffer {
    /// Creates an empty buffer. It can hold one message of `max_message_bytes` and one further read.
    pub fn new(max_message_bytes: usize) -> Buffer {
        Buffer { bytes: Vec::new(), start: 0, end: 0, max_bytes: max_message_bytes + READ_BYTES }
    }

    /// Returns the received bytes that have not been consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns the space for the next read; it is empty when the buffer is full.
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

    /// Adds the first `count` bytes of [`space`](Self::space), which were just written, to the unread bytes.
    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }

    /// Removes `count` bytes from the start of the unread bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // Frees the memory, so that an idle connection needs none.
            self.bytes = Vec::new();
        }
    }

    /// Appends `bytes`. Returns false if they do not fit; those that fit have been appended then.
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let space = self.space();
            if space.is_empty() {
                return false;
            }
            let count = space.len().min(remaining.len());
            space[..count].copy_from_slice(&remaining[..count]);
            self.commit(count);
            remaining = &remaining[count..];
        }
        true
    }
}
