//! Protocol of the ledger connections: downstream calls, and replies to them in any order.

use crate::attempt_id::AttemptId;
use crate::buffer::Buffer;
use crate::decoder::{Decoder, Malformed};
use crate::text::{LineHead, integer, line_and_body};

const MAX_LINE_BYTES: usize = 256;
const MAX_BODY_BYTES: usize = 64 * 1024;

/// How a downstream call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// The call succeeded; contains the body of the reply.
    Posted(Vec<u8>),
    /// The ledger rejected the call; it was not executed.
    QueueFull,
    /// The call failed; it may have had its effect.
    Error,
    /// The call timed out; it may have had its effect.
    Expired,
    /// The call was not executed, because no run waits for it any more.
    NotStarted,
}

/// The reply to a downstream call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The attempt whose run made the call.
    pub id: AttemptId,
    /// How the call ended.
    pub status: ReplyStatus,
}

/// Decodes the replies of the ledger.
#[derive(Debug)]
pub struct ReplyDecoder {
    buffer: Buffer,
}

impl Default for ReplyDecoder {
    fn default() -> ReplyDecoder {
        ReplyDecoder { buffer: Buffer::new(MAX_LINE_BYTES + MAX_BODY_BYTES) }
    }
}

impl Decoder for ReplyDecoder {
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
    let invalid = Malformed("a reply has an unknown status, or a missing or invalid field");
    let id = AttemptId::parse(fields[0]).ok_or(invalid.clone())?;
    let without_body = |status| Ok(LineHead::Complete(Reply { id, status }));
    match fields[1..] {
        [b"posted", length] => {
            let build = move |body| Reply { id, status: ReplyStatus::Posted(body) };
            Ok(LineHead::WithBody(integer(length).ok_or(invalid)?, Box::new(build)))
        }
        [b"queue_full"] => without_body(ReplyStatus::QueueFull),
        [b"error"] => without_body(ReplyStatus::Error),
        [b"expired"] => without_body(ReplyStatus::Expired),
        [b"moot"] => without_body(ReplyStatus::NotStarted),
        _ => Err(invalid),
    }
}

/// Appends a call that the ledger should finish within `timeout_ms`.
pub fn write_post(out: &mut Vec<u8>, id: AttemptId, timeout_ms: u64, body: &[u8]) {
    out.extend_from_slice(format!("post {id} {timeout_ms} {}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

/// Appends the cancellation of a call. The ledger does not reply to it.
pub fn write_abandon(out: &mut Vec<u8>, id: AttemptId) {
    out.extend_from_slice(format!("abandon {id}\r\n").as_bytes());
}
