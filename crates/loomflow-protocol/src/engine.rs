//! The engine's link: lines of words, some followed by a body of stated length.

use crate::buffer::{AttemptId, Buffer, Decoder, LineHead, Malformed, decimal, digits, line_and_body};

const MAX_LINE_BYTES: usize = 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Succeeded,
    Failed,
    /// Stopped, or ended at a call as its request is over.
    Stopped,
    /// Nothing was started, as the request is over.
    NotStarted,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    Hello {
        /// It was not warm when it started.
        is_starting: bool,
        /// How long ago it started, ms.
        age: f64,
    },
    Done {
        number: u64,
        id: AttemptId,
        end: RunEnd,
        duration: f64,
        result: Vec<u8>,
    },
    Need {
        number: u64,
        id: AttemptId,
        body: Vec<u8>,
    },
    Stats {
        tag: String,
        values: Vec<f64>,
    },
    HealthChecked {
        tag: String,
        has_passed: bool,
    },
    /// A command was not carried out.
    CommandRejected {
        command: String,
        id: Option<AttemptId>,
    },
    Note {
        number: u64,
    },
}

impl Notice {
    /// Notices are numbered where they are kept for the next link.
    pub fn number(&self) -> Option<u64> {
        match self {
            Notice::Done { number, .. } | Notice::Need { number, .. } | Notice::Note { number } => {
                Some(*number)
            }
            _ => None,
        }
    }
}

#[derive(Debug)]
pub struct Notices {
    buffer: Buffer,
}

impl Default for Notices {
    fn default() -> Notices {
        Notices { buffer: Buffer::new(MAX_LINE_BYTES + MAX_BODY_BYTES) }
    }
}

impl Decoder for Notices {
    type Message = Notice;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    fn next(&mut self) -> Result<Option<Notice>, Malformed> {
        let read = line_and_body(self.buffer.unread(), MAX_LINE_BYTES, MAX_BODY_BYTES, notice)?;
        let Some((notice, used)) = read else { return Ok(None) };
        self.buffer.consume(used);
        Ok(Some(notice))
    }
}

fn notice(words: &[&[u8]]) -> Result<LineHead<Notice>, Malformed> {
    let wrong = Malformed("a notice cannot be read");
    let number = |at: usize| words.get(at).and_then(|w| digits(w)).ok_or(wrong.clone());
    let id = |at: usize| words.get(at).and_then(|w| AttemptId::parse(w)).ok_or(wrong.clone());
    let ms = |at: usize| words.get(at).and_then(|w| decimal(w)).ok_or(wrong.clone());
    let text = |at: usize| {
        let word = words.get(at).ok_or(wrong.clone())?;
        String::from_utf8(word.to_vec()).map_err(|_| wrong.clone())
    };
    Ok(match (words[0], words.len()) {
        (b"HELLO", 3) => {
            let starting = match words[1] {
                b"starting" => true,
                b"running" => false,
                _ => return Err(wrong),
            };
            LineHead::Complete(Notice::Hello { is_starting: starting, age: ms(2)? })
        }
        (b"DONE", 6) => {
            let (number, id, took) = (number(1)?, id(2)?, ms(4)?);
            let end = match words[3] {
                b"fine" => RunEnd::Succeeded,
                b"fault" => RunEnd::Failed,
                b"broken_off" => RunEnd::Stopped,
                b"late" => RunEnd::NotStarted,
                _ => return Err(wrong),
            };
            let length = digits(words[5]).ok_or(wrong)?;
            LineHead::WithBody(
                length,
                Box::new(move |result| Notice::Done { number, id, end, duration: took, result }),
            )
        }
        (b"NEED", 4) => {
            let (number, id) = (number(1)?, id(2)?);
            let length = digits(words[3]).ok_or(wrong)?;
            LineHead::WithBody(length, Box::new(move |body| Notice::Need { number, id, body }))
        }
        (b"STATS", 2..) => {
            let values = words[2..].iter().map(|w| decimal(w)).collect::<Option<Vec<_>>>();
            LineHead::Complete(Notice::Stats { tag: text(1)?, values: values.ok_or(wrong)? })
        }
        (b"TESTED", 3) => {
            let fine = match words[2] {
                b"fine" => true,
                b"fault" => false,
                _ => return Err(wrong),
            };
            LineHead::Complete(Notice::HealthChecked { tag: text(1)?, has_passed: fine })
        }
        (b"NO", 2..) => LineHead::Complete(Notice::CommandRejected { command: text(1)?, id: id(2).ok() }),
        (b"NOTE", 2..) => LineHead::Complete(Notice::Note { number: number(1)? }),
        _ => return Err(Malformed("a notice is not known")),
    })
}

/// A command to the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command<'a> {
    Attach { last: u64 },
    Run { id: AttemptId, class: &'a str, body: &'a [u8] },
    Feed { id: AttemptId, reply: &'a [u8] },
    Halt { id: AttemptId },
    Resume { id: AttemptId },
    Skip { id: AttemptId },
    Stat { tag: u64 },
    Test { tag: u64 },
}

impl Command<'_> {
    pub fn write(self, out: &mut Vec<u8>) {
        let (line, body) = match self {
            Command::Attach { last } => (format!("ATTACH {last}"), None),
            Command::Run { id, class, body } => (format!("RUN {id} {class} {}", body.len()), Some(body)),
            Command::Feed { id, reply } => (format!("FEED {id} {}", reply.len()), Some(reply)),
            Command::Halt { id } => (format!("HALT {id}"), None),
            Command::Resume { id } => (format!("RESUME {id}"), None),
            Command::Skip { id } => (format!("SKIP {id}"), None),
            Command::Stat { tag } => (format!("STAT {tag}"), None),
            Command::Test { tag } => (format!("TEST {tag}"), None),
        };
        out.extend_from_slice(line.as_bytes());
        out.extend_from_slice(b"\r\n");
        if let Some(body) = body {
            out.extend_from_slice(body);
            out.extend_from_slice(b"\r\n");
        }
    }
}
