//! The ledger's connection: calls out, replies in any order.

use crate::buffer::{AttemptId, Buffer, Decoder, LineHead, Malformed, digits, line_and_body};

const MAX_LINE_BYTES: usize = 256;
const MAX_BODY_BYTES: usize = 64 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    Posted(Vec<u8>),
    /// Turned away: never ran.
    QueueFull,
    /// May have had its effect.
    Error,
    /// Ran out of time; may have had its effect.
    Expired,
    /// No run waits for it: never ran.
    NotStarted,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub id: AttemptId,
    pub status: ReplyStatus,
}

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
        let read = line_and_body(self.buffer.unread(), MAX_LINE_BYTES, MAX_BODY_BYTES, reply)?;
        let Some((reply, used)) = read else { return Ok(None) };
        self.buffer.consume(used);
        Ok(Some(reply))
    }
}

fn reply(words: &[&[u8]]) -> Result<LineHead<Reply>, Malformed> {
    let wrong = Malformed("a reply cannot be read");
    let id = AttemptId::parse(words[0]).ok_or(wrong.clone())?;
    let plain = |answer| Ok(LineHead::Complete(Reply { id, status: answer }));
    match words[1..] {
        [b"posted", length] => {
            let finish = move |body| Reply { id, status: ReplyStatus::Posted(body) };
            Ok(LineHead::WithBody(digits(length).ok_or(wrong)?, Box::new(finish)))
        }
        [b"queue_full"] => plain(ReplyStatus::QueueFull),
        [b"error"] => plain(ReplyStatus::Error),
        [b"expired"] => plain(ReplyStatus::Expired),
        [b"moot"] => plain(ReplyStatus::NotStarted),
        _ => Err(wrong),
    }
}

/// A call that waits `wait` ms at the most.
pub fn write_post(out: &mut Vec<u8>, id: AttemptId, wait: u64, body: &[u8]) {
    out.extend_from_slice(format!("post {id} {wait} {}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

/// Gives up a call; nothing is said to it.
pub fn write_abandon(out: &mut Vec<u8>, id: AttemptId) {
    out.extend_from_slice(format!("abandon {id}\r\n").as_bytes());
}
