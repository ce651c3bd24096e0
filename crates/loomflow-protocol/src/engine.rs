//! Protocol of the engine connection: lines of fields, some followed by a body of stated length.

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
    /// With a result.
    Succeeded,
    /// With an error.
    Failed,
    /// Preempted, or ended at a call because its request is finished.
    Stopped,
    /// Nothing was started, because the request is finished.
    NotStarted,
}

/// A message from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// First message on a connection.
    Hello {
        /// Whether the engine is in slow start.
        is_starting: bool,
        /// How long ago it started.
        age: Millis,
    },
    /// A run has ended.
    Done {
        /// Sequence number.
        number: u64,
        /// The request of the run.
        id: AttemptId,
        /// How the run ended.
        end: RunEnd,
        /// How long it ran.
        duration: Millis,
        /// The result, if it succeeded.
        result: Vec<u8>,
    },
    /// A run waits for the reply to a downstream call.
    Need {
        /// Sequence number.
        number: u64,
        /// The request of the run.
        id: AttemptId,
        /// Body of the call.
        body: Vec<u8>,
    },
    /// Response to [`Command::Stat`].
    Stats {
        /// Tag of the command.
        tag: String,
        /// Gauge values, in the order of the settings.
        values: Vec<f64>,
    },
    /// Response to [`Command::Test`].
    HealthChecked {
        /// Tag of the command.
        tag: String,
        /// Whether the check passed.
        has_passed: bool,
    },
    /// A command was not carried out.
    CommandRejected {
        /// Name of the command.
        command: String,
        /// The request it was about, if any.
        id: Option<AttemptId>,
    },
    /// A message without consequences.
    Note {
        /// Sequence number.
        number: u64,
    },
}

impl Notice {
    /// Sequence number of a notice that the engine repeats on the next connection; `None` for the others.
    pub fn number(&self) -> Option<u64> {
        match self {
            Notice::Done { number, .. } | Notice::Need { number, .. } | Notice::Note { number } => {
                Some(*number)
            }
            _ => None,
        }
    }
}

/// Decoder of the engine's messages.
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
        let parsed = line_and_body(self.buffer.unread(), MAX_LINE_BYTES, MAX_BODY_BYTES, parse_line)?;
        let Some((message, length)) = parsed else { return Ok(None) };
        self.buffer.consume(length);
        Ok(Some(message))
    }
}

/// The fields of a notice, with typed access by position.
struct Fields<'a>(&'a [&'a [u8]]);

impl Fields<'_> {
    const UNREADABLE: Malformed = Malformed("a notice cannot be read");

    fn at<T>(&self, position: usize, parse: impl Fn(&[u8]) -> Option<T>) -> Result<T, Malformed> {
        self.0.get(position).and_then(|field| parse(field)).ok_or(Fields::UNREADABLE)
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

    /// A field with two possible values; returns whether it is the first one.
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
                values: values.ok_or(Fields::UNREADABLE)?,
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
        _ => return Err(Malformed("a notice is not known")),
    })
}

/// A command to the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command<'a> {
    /// Opens the conversation.
    Attach {
        /// Sequence number of the last notice that was received; later ones are repeated.
        last: u64,
    },
    /// Starts a run.
    Run {
        /// The request to run.
        id: AttemptId,
        /// Name of its class.
        class: &'a str,
        /// Body of the request.
        body: &'a [u8],
    },
    /// Passes the reply of a downstream call to a run.
    Feed {
        /// The request of the run.
        id: AttemptId,
        /// Body of the reply.
        reply: &'a [u8],
    },
    /// Preempts a run.
    Halt {
        /// The request of the run.
        id: AttemptId,
    },
    /// Continues a preempted run.
    Resume {
        /// The request of the run.
        id: AttemptId,
    },
    /// Continues a run without its downstream call.
    Skip {
        /// The request of the run.
        id: AttemptId,
    },
    /// Requests the gauges.
    Stat {
        /// Tag of the response.
        tag: u64,
    },
    /// Requests a health check that does real work.
    Test {
        /// Tag of the response.
        tag: u64,
    },
}

impl Command<'_> {
    /// Writes the command.
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
