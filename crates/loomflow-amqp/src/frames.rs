//! Frames: cut from a stream of bytes, read and worded by `amq-protocol` (spec 2.3.5, 4.2.3).

use amq_protocol::frame::{AMQPFrame, WriteContext, gen_frame, parse_frame};
use loomflow_protocol::{Buffer, Decoder, Malformed};

/// The longest frame that is agreed upon, octets. Bodies longer than that come in several; headers must fit into one.
pub const FRAME_MAX: u32 = 32 * 1024;
/// Type, channel and size before a payload, and the end after it.
pub const OVERHEAD: usize = 8;
const FRAME_END: u8 = 0xCE;
/// Tables and arrays in each other. Reading them recurses: 4,000 levels fit into one frame and take 8 MB of stack
/// (measured), and whoever may publish may send them.
const MAX_NESTING: usize = 32;

/// Whole frames as they came, cut and not yet read: that takes a stack of its own size, and drivers have little.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawFrames(Vec<u8>);

impl RawFrames {
    /// Each frame, read. Errors: what is no frame of the protocol, or nests too deeply.
    pub fn iter(&self) -> impl Iterator<Item = Result<AMQPFrame, Malformed>> + '_ {
        let mut rest = &self.0[..];
        std::iter::from_fn(move || {
            let (frame, later) = rest.split_at_checked(length(rest).ok()??)?;
            rest = later;
            Some(parse(frame))
        })
    }
}

#[derive(Debug)]
pub struct Frames {
    buffer: Buffer,
}

impl Default for Frames {
    fn default() -> Frames {
        Frames { buffer: Buffer::new(FRAME_MAX as usize) }
    }
}

impl Decoder for Frames {
    type Message = RawFrames;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    /// All frames that are whole. Errors: a peer that speaks another version, a frame of no known type, over the limit,
    /// or without its end.
    fn next(&mut self) -> Result<Option<RawFrames>, Malformed> {
        let bytes = self.buffer.unread();
        let mut end = 0;
        loop {
            match length(&bytes[end..]) {
                Ok(Some(length)) => end += length,
                Ok(None) => break,
                // What came before it counts.
                Err(_) if end > 0 => break,
                Err(wrong) => return Err(wrong),
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

/// The octets of the frame at the start of `bytes`, once it is whole.
fn length(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    match bytes.first() {
        None => return Ok(None),
        Some(1 | 2 | 3 | 8) => {}
        Some(b'A') => return Err(Malformed("the broker speaks another version of the protocol")),
        Some(_) => return Err(Malformed("a frame of no known type")),
    }
    let Some(size) = bytes.get(3..7) else { return Ok(None) };
    let size = u32::from_be_bytes([size[0], size[1], size[2], size[3]]) as usize;
    if size > FRAME_MAX as usize - OVERHEAD {
        return Err(Malformed("a frame over the limit"));
    }
    match bytes.get(size + OVERHEAD - 1) {
        None => Ok(None),
        Some(&FRAME_END) => Ok(Some(size + OVERHEAD)),
        Some(_) => Err(Malformed("a frame without its end")),
    }
}

fn parse(raw: &[u8]) -> Result<AMQPFrame, Malformed> {
    // Bodies are not looked into, whatever they hold.
    if raw.first() != Some(&3) && nesting(raw) > MAX_NESTING {
        return Err(Malformed("tables nested too deeply"));
    }
    match parse_frame(raw) {
        Ok((_, AMQPFrame::InvalidHeartbeat(_))) => Err(Malformed("a heartbeat on a channel")),
        Ok((_, frame)) => Ok(frame),
        Err(_) => Err(Malformed("a frame that cannot be read")),
    }
}

/// No less than the levels of tables and arrays in each other: how many spans that could be one hold the same octet.
/// Text may look like one (`F` or `A` and a length that fits), so it may be more.
fn nesting(bytes: &[u8]) -> usize {
    let mut ends: Vec<usize> = Vec::new();
    let mut most = 0;
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
        most = most.max(ends.len());
        if most > MAX_NESTING {
            break;
        }
    }
    most
}

/// Adds a frame to what is to be written. Everything that is worded here fits, so there is no error to tell.
pub fn write(out: &mut Vec<u8>, frame: &AMQPFrame) {
    let context = WriteContext::from(std::mem::take(out));
    match gen_frame(frame)(context) {
        Ok(context) => *out = context.into_inner().0,
        Err(e) => unreachable!("writing to memory: {e}"),
    }
}

#[cfg(test)]
mod tests;
