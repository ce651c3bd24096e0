//! The ledger's connection: calls out, replies in any order.

use crate::buffer::{AttemptId, Buffer, Decoder, Head, Malformed, digits, line_and_body};

const MOST_LINE: usize = 256;
const MOST_BODY: usize = 64 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Posted(Vec<u8>),
    /// Turned away: never ran.
    QueueFull,
    /// May have had its effect.
    Error,
    /// Ran out of time; may have had its effect.
    Expired,
    /// No run waits for it: never ran.
    Moot,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub id: AttemptId,
    pub answer: Answer,
}

#[derive(Debug)]
pub struct Replies {
    buffer: Buffer,
}

impl Default for Replies {
    fn default() -> Replies {
        Replies { buffer: Buffer::new(MOST_LINE + MOST_BODY) }
    }
}

impl Decoder for Replies {
    type Message = Reply;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    fn next(&mut self) -> Result<Option<Reply>, Malformed> {
        let read = line_and_body(self.buffer.unread(), MOST_LINE, MOST_BODY, reply)?;
        let Some((reply, used)) = read else { return Ok(None) };
        self.buffer.consume(used);
        Ok(Some(reply))
    }
}

fn reply(words: &[&[u8]]) -> Result<Head<Reply>, Malformed> {
    let wrong = Malformed("a reply cannot be read");
    let id = AttemptId::parse(words[0]).ok_or(wrong.clone())?;
    let plain = |answer| Ok(Head::Whole(Reply { id, answer }));
    match words[1..] {
        [b"posted", length] => {
            let finish = move |body| Reply { id, answer: Answer::Posted(body) };
            Ok(Head::Body(digits(length).ok_or(wrong)?, Box::new(finish)))
        }
        [b"queue_full"] => plain(Answer::QueueFull),
        [b"error"] => plain(Answer::Error),
        [b"expired"] => plain(Answer::Expired),
        [b"moot"] => plain(Answer::Moot),
        _ => Err(wrong),
    }
}

/// A call that waits `wait` ms at the most.
pub fn post(out: &mut Vec<u8>, id: AttemptId, wait: u64, body: &[u8]) {
    out.extend_from_slice(format!("post {id} {wait} {}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

/// Gives up a call; nothing is said to it.
pub fn abandon(out: &mut Vec<u8>, id: AttemptId) {
    out.extend_from_slice(format!("abandon {id}\r\n").as_bytes());
}
