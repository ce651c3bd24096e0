//! Framing: splits a byte stream into frames, and parses and writes them with `amq-protocol` (specification 2.3.5,
//! 4.2.3).

use amq_protocol::frame::{AMQPFrame, WriteContext, gen_frame, parse_frame};
use loomflow_protocol::{Buffer, Decoder, Malformed};

/// Largest frame size that is negotiated, bytes. Larger bodies are split into several frames; a content header must fit
/// into one.
pub const FRAME_MAX_BYTES: u32 = 32 * 1024;
/// Bytes of a frame around its payload: type, channel and size before it, the end marker after it.
pub const FRAME_OVERHEAD_BYTES: usize = 8;
const FRAME_END: u8 = 0xCE;
const METHOD_FRAME: u8 = 1;
const HEADER_FRAME: u8 = 2;
const BODY_FRAME: u8 = 3;
const HEARTBEAT_FRAME: u8 = 8;
/// Maximum nesting of tables and arrays. The parser is recursive, and without a limit a publisher could nest as many
/// levels as fit into a frame.
const MAX_NESTING: usize = 32;

/// Complete frames that are not parsed yet. Parsing needs a larger stack than that of the network coroutines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawFrames(Vec<u8>);

impl RawFrames {
    /// Number of frames.
    pub fn count(&self) -> usize {
        self.lengths().count()
    }

    /// The lengths of the frames, bytes.
    fn lengths(&self) -> impl Iterator<Item = usize> + '_ {
        let mut rest = &self.0[..];
        std::iter::from_fn(move || {
            let length = frame_length(rest).ok()??;
            rest = rest.get(length..)?;
            Some(length)
        })
    }

    /// Parses the frames one by one.
    ///
    /// # Errors
    ///
    /// An item is an error if it is not a valid frame or its tables are nested too deeply.
    pub fn iter(&self) -> impl Iterator<Item = Result<AMQPFrame, Malformed>> + '_ {
        let mut start = 0;
        self.lengths().map(move |length| {
            let frame = &self.0[start..start + length];
            start += length;
            parse(frame)
        })
    }
}

/// Decoder that splits received bytes into complete frames.
#[derive(Debug)]
pub struct Frames {
    buffer: Buffer,
}

impl Default for Frames {
    fn default() -> Frames {
        Frames { buffer: Buffer::new(FRAME_MAX_BYTES as usize) }
    }
}

impl Decoder for Frames {
    type Message = RawFrames;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    /// Takes all complete frames.
    ///
    /// # Errors
    ///
    /// Fails if the peer uses another protocol version, or if a frame has an unknown type, exceeds the maximum size or
    /// lacks its end marker.
    fn next(&mut self) -> Result<Option<RawFrames>, Malformed> {
        let bytes = self.buffer.unread();
        let mut end = 0;
        loop {
            match frame_length(&bytes[end..]) {
                Ok(Some(length)) => end += length,
                Ok(None) => break,
                // The complete frames before the invalid one are returned first.
                Err(_) if end > 0 => break,
                Err(error) => return Err(error),
            }
        }
        if end == 0 {
            return Ok(None);
        }
        let raw = RawFrames(bytes[..end].to_vec());
        self.buffer.consume(end);
        Ok(Some(raw))
    }
}

/// Length of the frame at the start of `bytes`, once it is complete.
fn frame_length(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    match bytes.first() {
        None => return Ok(None),
        Some(&(METHOD_FRAME | HEADER_FRAME | BODY_FRAME | HEARTBEAT_FRAME)) => {}
        Some(b'A') => return Err(Malformed("the broker uses another version of the protocol")),
        Some(_) => return Err(Malformed("a frame of unknown type")),
    }
    let Some(size) = bytes.get(3..7) else { return Ok(None) };
    let size = u32::from_be_bytes([size[0], size[1], size[2], size[3]]) as usize;
    if size > FRAME_MAX_BYTES as usize - FRAME_OVERHEAD_BYTES {
        return Err(Malformed("a frame exceeds the maximum frame size"));
    }
    match bytes.get(size + FRAME_OVERHEAD_BYTES - 1) {
        None => Ok(None),
        Some(&FRAME_END) => Ok(Some(size + FRAME_OVERHEAD_BYTES)),
        Some(_) => Err(Malformed("a frame without its end marker")),
    }
}

fn parse(raw: &[u8]) -> Result<AMQPFrame, Malformed> {
    // Body frames carry opaque bytes.
    if raw.first() != Some(&BODY_FRAME) && nesting(raw) > MAX_NESTING {
        return Err(Malformed("a frame with tables nested too deeply"));
    }
    match parse_frame(raw) {
        Ok((_, AMQPFrame::InvalidHeartbeat(_))) => Err(Malformed("a heartbeat on a channel other than 0")),
        Ok((_, frame)) => Ok(frame),
        Err(_) => Err(Malformed("a frame that cannot be parsed")),
    }
}

/// Upper bound on the nesting of tables and arrays: the maximum number of byte ranges that overlap at one byte and
/// could each be a table or an array. Text can look like one (`F` or `A` followed by a plausible length), so the bound
/// may be too high.
fn nesting(bytes: &[u8]) -> usize {
    let mut ends: Vec<usize> = Vec::new();
    let mut deepest = 0;
    for (at, window) in bytes.windows(5).enumerate() {
        if !matches!(window[0], b'F' | b'A') {
            continue;
        }
        let size = u32::from_be_bytes([window[1], window[2], window[3], window[4]]) as usize;
        if size == 0 || size > bytes.len() - at - 5 {
            continue;
        }
        ends.retain(|end| *end > at);
        ends.push(at + 5 + size);
        deepest = deepest.max(ends.len());
        if deepest > MAX_NESTING {
            break;
        }
    }
    deepest
}

/// Appends an encoded frame to `out`. Writing to memory is infallible.
pub fn write(out: &mut Vec<u8>, frame: &AMQPFrame) {
    let context = WriteContext::from(std::mem::take(out));
    match gen_frame(frame)(context) {
        Ok(context) => *out = context.into_inner().0,
        Err(e) => unreachable!("writing a frame to memory failed: {e}"),
    }
}

#[cfg(test)]
mod tests;
