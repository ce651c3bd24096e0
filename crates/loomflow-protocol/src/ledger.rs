//! Protocol of the downstream connection: calls, and their replies in any order.

use crate::attempt_id::AttemptId;
use crate::buffer::Buffer;
use crate::decoder::{Decoder, Malformed};
use crate::text::{LineHead, integer, line_and_body};

const MAX_LINE_BYTES: usize = 256;
const MAX_BODY_BYTES: usize = 64 * 1024;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// It succeeded, with this body.
    Posted(Vec<u8>),
    /// Rejected; it never ran.
    QueueFull,
    /// Failed; it may have had its effect.
    Error,
    /// Timed out; it may have had its effect.
    Expired,
    /// No run waits for it; it never ran.
    NotStarted,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The request whose run made the call.
    pub id: AttemptId,
    /// How the call ended.
    pub status: ReplyStatus,
}

/// Decoder of replies.
#[derive(Debug)]
pub struct Replies {
    buffer: Buffer,
}

impl Default for Replies {
    fn default() -> Replies {
        Replies { buffer: Buffer::new(MAX_LINE_BYTES + MAX_BODY_BYTES) }
    }
}

impl Decoder for Replies {
    type Message = Reply;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    fn next(&mut self) -> Result<Option<Reply>, Malformed> {
        let parsed = line_and_body(self.buffer.unread(), MAX_LINE_BYTES, MAX_BODY_BYTES, parse_reply)?;
        let Some((reply, length)) = parsed else { return Ok(None) };
        self.buffer.consume(length);
        Ok(Some(reply))
    }
}

fn parse_reply(fields: &[&[u8]]) -> Result<LineHead<Reply>, Malformed> {
    let unreadable = Malformed("a reply cannot be read");
    let id = AttemptId::parse(fields[0]).ok_or(unreadable.clone())?;
    let without_body = |status| Ok(LineHead::Complete(Reply { id, status }));
    match fields[1..] {
        [b"posted", length] => {
            let build = move |body| Reply { id, status: ReplyStatus::Posted(body) };
            Ok(LineHead::WithBody(integer(length).ok_or(unreadable)?, Box::new(build)))
        }
        [b"queue_full"] => without_body(ReplyStatus::QueueFull),
        [b"error"] => without_body(ReplyStatus::Error),
        [b"expired"] => without_body(ReplyStatus::Expired),
        [b"moot"] => without_body(ReplyStatus::NotStarted),
        _ => Err(unreadable),
    }
}

/// Writes a call that may take up to `timeout_ms`.
pub fn write_post(out: &mut Vec<u8>, id: AttemptId, timeout_ms: u64, body: &[u8]) {
    out.extend_from_slice(format!("post {id} {timeout_ms} {}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

/// Writes the cancellation of a call, which is not replied to.
pub fn write_abandon(out: &mut Vec<u8>, id: AttemptId) {
    out.extend_from_slice(format!("abandon {id}\r\n").as_bytes());
}
