//! Protocol of the engine connection: the engine sends notices, the server sends commands. Both are lines of fields
//! separated by spaces, some followed by a body whose length is the last field.

use crate::Millis;
use crate::attempt_id::AttemptId;
use crate::buffer::Buffer;
use crate::decoder::{Decoder, Malformed};
use crate::text::{LineHead, decimal, integer, line_and_body};

const MAX_LINE_BYTES: usize = 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run completed and returned a result.
    Succeeded,
    /// The run completed with an error.
    Failed,
    /// The run was stopped before completion: preempted, or ended at a downstream call because its request was
    /// finished.
    Stopped,
    /// The run was never started, because its request was finished.
    NotStarted,
}

/// A message from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The first notice on a connection.
    Hello {
        /// Whether the engine is in slow start, during which it has less capacity.
        is_starting: bool,
        /// Time since the engine was started.
        age: Millis,
    },
    /// Reports the end of a run.
    Done {
        /// Sequence number of the notice.
        number: u64,
        /// The attempt that was run.
        id: AttemptId,
        /// How the run ended.
        end: RunEnd,
        /// Duration of the run.
        duration: Millis,
        /// The result; meaningful only if the run succeeded.
        result: Vec<u8>,
    },
    /// A run requests a downstream call and waits for the reply.
    Need {
        /// Sequence number of the notice.
        number: u64,
        /// The attempt whose run requests the call.
        id: AttemptId,
        /// Body of the call.
        body: Vec<u8>,
    },
    /// Reply to [`Command::Stat`].
    Stats {
        /// Tag of the command that is replied to.
        tag: String,
        /// Gauge values, in the order in which the settings list the gauges.
        values: Vec<f64>,
    },
    /// Reply to [`Command::Test`].
    HealthChecked {
        /// Tag of the command that is replied to.
        tag: String,
        /// Whether the check passed.
        has_passed: bool,
    },
    /// The engine did not carry out a command.
    CommandRejected {
        /// Name of the command.
        command: String,
        /// The attempt that the command named, if any.
        id: Option<AttemptId>,
    },
    /// Free text that the server ignores; only its sequence number is used.
    Note {
        /// Sequence number of the notice.
        number: u64,
    },
}

impl Notice {
    /// Returns the sequence number of a notice that the engine repeats on the next connection, `None` for other
    /// notices.
    pub fn number(&self) -> Option<u64> {
        match self {
            Notice::Done { number, .. } | Notice::Need { number, .. } | Notice::Note { number } => {
                Some(*number)
            }
            _ => None,
        }
    }
}

/// Decodes the notices of the engine.
#[derive(Debug)]
pub struct NoticeDecoder {
    buffer: Buffer,
}

impl Default for NoticeDecoder {
    fn default() -> NoticeDecoder {
        NoticeDecoder { buffer: Buffer::new(MAX_LINE_BYTES + MAX_BODY_BYTES) }
    }
}

impl Decoder for NoticeDecoder {
    type Message = Notice;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    fn next(&mut self) -> Result<Option<Notice>, Malformed> {
        let parsed = line_and_body(self.buffer.unread(), MAX_LINE_BYTES, MAX_BODY_BYTES, parse_line)?;
        let Some((message, length)) = parsed else { return Ok(None) };
        self.buffer.consume(length);
        Ok(Some(message))
    }
}

/// The fields of a notice. Each method parses the field at a position, and fails if it is missing or invalid.
struct Fields<'a>(&'a [&'a [u8]]);

impl Fields<'_> {
    const INVALID_FIELD: Malformed = Malformed("a notice has a missing or invalid field");

    fn at<T>(&self, position: usize, parse: impl Fn(&[u8]) -> Option<T>) -> Result<T, Malformed> {
        self.0.get(position).and_then(|field| parse(field)).ok_or(Fields::INVALID_FIELD)
    }

    fn integer(&self, position: usize) -> Result<u64, Malformed> {
        self.at(position, integer)
    }

    fn decimal(&self, position: usize) -> Result<f64, Malformed> {
        self.at(position, decimal)
    }

    fn id(&self, position: usize) -> Result<AttemptId, Malformed> {
        self.at(position, AttemptId::parse)
    }

    fn text(&self, position: usize) -> Result<String, Malformed> {
        self.at(position, |field| String::from_utf8(field.to_vec()).ok())
    }

    /// Parses a field with two possible values; returns true if it is `if_true`.
    fn flag(&self, position: usize, if_true: &[u8], if_false: &[u8]) -> Result<bool, Malformed> {
        self.at(position, |field| match field {
            _ if field == if_true => Some(true),
            _ if field == if_false => Some(false),
            _ => None,
        })
    }

    fn run_end(&self, position: usize) -> Result<RunEnd, Malformed> {
        self.at(position, |field| match field {
            b"fine" => Some(RunEnd::Succeeded),
            b"fault" => Some(RunEnd::Failed),
            b"broken_off" => Some(RunEnd::Stopped),
            b"late" => Some(RunEnd::NotStarted),
            _ => None,
        })
    }
}

fn parse_line(fields: &[&[u8]]) -> Result<LineHead<Notice>, Malformed> {
    let name_and_count = (fields[0], fields.len());
    let fields = Fields(fields);
    Ok(match name_and_count {
        (b"HELLO", 3) => LineHead::Complete(Notice::Hello {
            is_starting: fields.flag(1, b"starting", b"running")?,
            age: fields.decimal(2)?,
        }),
        (b"DONE", 6) => {
            let (number, id) = (fields.integer(1)?, fields.id(2)?);
            let (end, duration) = (fields.run_end(3)?, fields.decimal(4)?);
            let build = move |result| Notice::Done { number, id, end, duration, result };
            LineHead::WithBody(fields.integer(5)?, Box::new(build))
        }
        (b"NEED", 4) => {
            let (number, id) = (fields.integer(1)?, fields.id(2)?);
            LineHead::WithBody(fields.integer(3)?, Box::new(move |body| Notice::Need { number, id, body }))
        }
        (b"STATS", 2..) => {
            let values = fields.0[2..].iter().map(|field| decimal(field)).collect::<Option<Vec<_>>>();
            LineHead::Complete(Notice::Stats {
                tag: fields.text(1)?,
                values: values.ok_or(Fields::INVALID_FIELD)?,
            })
        }
        (b"TESTED", 3) => LineHead::Complete(Notice::HealthChecked {
            tag: fields.text(1)?,
            has_passed: fields.flag(2, b"fine", b"fault")?,
        }),
        (b"NO", 2..) => {
            LineHead::Complete(Notice::CommandRejected { command: fields.text(1)?, id: fields.id(2).ok() })
        }
        (b"NOTE", 2..) => LineHead::Complete(Notice::Note { number: fields.integer(1)? }),
        _ => return Err(Malformed("a notice has an unknown name or a wrong number of fields")),
    })
}

/// A command to the engine. In every variant, `id` is the attempt whose run the command concerns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command<'a> {
    /// Attaches to the engine; the first command on a connection.
    Attach {
        /// Sequence number of the last notice that was received; the engine repeats the later ones.
        last: u64,
    },
    /// Starts a run.
    Run {
        /// Id of the attempt.
        id: AttemptId,
        /// Name of the request class.
        class: &'a str,
        /// Body of the request.
        body: &'a [u8],
    },
    /// Passes the reply to a downstream call on to the run that waits for it.
    Feed {
        /// Id of the attempt.
        id: AttemptId,
        /// Body of the reply.
        reply: &'a [u8],
    },
    /// Preempts a run.
    Halt {
        /// Id of the attempt.
        id: AttemptId,
    },
    /// Continues a preempted run.
    Resume {
        /// Id of the attempt.
        id: AttemptId,
    },
    /// Continues a run whose downstream call is not made.
    Skip {
        /// Id of the attempt.
        id: AttemptId,
    },
    /// Queries the gauges; the reply is [`Notice::Stats`].
    Stat {
        /// Tag that the reply repeats.
        tag: u64,
    },
    /// Requests a deep health check, which does real work; the reply is [`Notice::HealthChecked`].
    Test {
        /// Tag that the reply repeats.
        tag: u64,
    },
}

impl Command<'_> {
    /// Appends the encoded command to `out`.
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
