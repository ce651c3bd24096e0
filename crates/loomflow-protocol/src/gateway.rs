//! What gateways say and are told: RESP arrays of bulk strings.

use crate::buffer::{AttemptId, Buffer, Decoder, Malformed, decimal, digits, line};

/// Requests that a gateway may have open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
const MAX_BODY_BYTES: usize = 2048;
/// Longest of the other words of an array.
const MAX_WORD_BYTES: usize = 1024;
const MAX_WORDS: u64 = 16;
/// Longest line that states a count or a length.
const MAX_LINE_BYTES: usize = 16;
const MAX_ARRAY_BYTES: usize = MAX_BODY_BYTES + 8 * MAX_WORD_BYTES;

#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    Call(Call),
    Health {
        tag: u64,
        /// Asks whether work gets done.
        is_deep: bool,
    },
    /// Framed well, but not to be understood: a failed answer is owed.
    Invalid {
        tag: u64,
        why: &'static str,
    },
}

impl Request {
    pub fn tag(&self) -> u64 {
        match self {
            Request::Call(call) => call.tag,
            Request::Health { tag, .. } | Request::Invalid { tag, .. } => *tag,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub tag: u64,
    pub class: String,
    pub id: AttemptId,
    /// When the request came to the machine, Unix ms.
    pub arrived_at: f64,
    pub gateway: u64,
    pub tenant: Option<String>,
    /// Expected work, ms on one core.
    pub estimated_work: Option<f64>,
    pub memory_kb: f64,
    pub rank: f64,
    pub subject: Option<String>,
    /// Where the site's gateways send them: the key of a keyed request, the time its caller still waits, ms,
    /// and the mark of a further try.
    pub key: Option<String>,
    pub remaining_wait: Option<f64>,
    pub is_retry: bool,
    pub body: Vec<u8>,
}

#[derive(Debug)]
pub struct Requests {
    buffer: Buffer,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests { buffer: Buffer::new(MAX_ARRAY_BYTES) }
    }
}

impl Decoder for Requests {
    type Message = Request;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    fn next(&mut self) -> Result<Option<Request>, Malformed> {
        let Some((words, used)) = array(self.buffer.unread())? else { return Ok(None) };
        let request = request(&words)?;
        self.buffer.consume(used);
        Ok(Some(request))
    }
}

type Array<'a> = (Vec<&'a [u8]>, usize);
type Field<'a> = (&'a [u8], &'a [u8]);

/// The words of a whole array at the start of `bytes`, and how many bytes it takes.
fn array(bytes: &[u8]) -> Result<Option<Array<'_>>, Malformed> {
    let Some((count, mut at)) = length(bytes, b'*', "no array where one is due")? else { return Ok(None) };
    if count == 0 || count > MAX_WORDS {
        return Err(Malformed("an array of no or too many words"));
    }
    let mut words = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let Some((size, used)) = length(&bytes[at..], b'$', "no bulk string where one is due")? else {
            return Ok(None);
        };
        if size > MAX_BODY_BYTES as u64 || (size > MAX_WORD_BYTES as u64 && words.len() < 4) {
            return Err(Malformed("a bulk string is too long"));
        }
        at += used;
        let size = size as usize;
        let Some(rest) = bytes.get(at..).filter(|rest| rest.len() >= size + 2) else { return Ok(None) };
        if &rest[size..size + 2] != b"\r\n" {
            return Err(Malformed("a bulk string does not end where its length says"));
        }
        words.push(&rest[..size]);
        at += size + 2;
        if at > MAX_ARRAY_BYTES {
            return Err(Malformed("an array is too long"));
        }
    }
    Ok(Some((words, at)))
}

/// A mark and a number on a line of their own.
fn length(bytes: &[u8], mark: u8, missing: &'static str) -> Result<Option<(u64, usize)>, Malformed> {
    match bytes.first() {
        None => return Ok(None),
        Some(first) if *first != mark => return Err(Malformed(missing)),
        Some(_) => {}
    }
    let Some(text) = line(bytes, MAX_LINE_BYTES)? else { return Ok(None) };
    let number = digits(&text[1..]).ok_or(Malformed("a length that is no number"))?;
    Ok(Some((number, text.len() + 2)))
}

fn request(words: &[&[u8]]) -> Result<Request, Malformed> {
    let tag = words.get(1).and_then(|w| digits(w)).ok_or(Malformed("a tag that is no number"))?;
    let read = match words[0] {
        b"RPC.CALL" => call(tag, words).map(Request::Call),
        b"RPC.HEALTH" => health(tag, words),
        _ => Err("the verb is not known"),
    };
    Ok(read.unwrap_or_else(|why| Request::Invalid { tag, why }))
}

/// Fields are `name=value`, parted by commas; unknown ones are skipped.
fn fields(text: &[u8]) -> Result<Vec<Field<'_>>, &'static str> {
    let parts = text.split(|b| *b == b',').filter(|part| !part.is_empty());
    parts
        .map(|part| {
            let at = part.iter().position(|b| *b == b'=').ok_or("a field has no value")?;
            Ok((&part[..at], &part[at + 1..]))
        })
        .collect()
}

fn health(tag: u64, words: &[&[u8]]) -> Result<Request, &'static str> {
    let all = fields(words.get(2).copied().unwrap_or_default())?;
    let real = all.iter().any(|(name, value)| *name == b"real" && *value == b"1");
    Ok(Request::Health { tag, is_deep: real })
}

fn call(tag: u64, words: &[&[u8]]) -> Result<Call, &'static str> {
    let &[_, _, class, listed, ref rest @ ..] = words else { return Err("a word is missing") };
    if rest.len() > 1 {
        return Err("too many words");
    }
    let all = fields(listed)?;
    let field = |name: &str| all.iter().find(|(n, _)| *n == name.as_bytes()).map(|(_, value)| *value);
    let number = |name: &str, wrong| field(name).map(|v| decimal(v).ok_or(wrong)).transpose();
    let text = |name: &str, wrong| {
        let read = |v: &[u8]| String::from_utf8(v.to_vec()).map_err(|_| wrong);
        field(name).map(read).transpose()
    };
    let kb = number("need", "need cannot be read")?.ok_or("need is missing")?;
    let rank = number("level", "level cannot be read")?.ok_or("level is missing")?;
    if kb <= 0.0 || kb >= 2000.0 {
        return Err("need is out of range");
    }
    if rank >= 1.0 {
        return Err("level is out of range");
    }
    Ok(Call {
        tag,
        class: String::from_utf8(class.to_vec()).map_err(|_| "the class cannot be read")?,
        id: field("req").and_then(AttemptId::parse).ok_or("req is missing or cannot be read")?,
        arrived_at: number("ts", "ts cannot be read")?.ok_or("ts is missing")?,
        gateway: field("via").and_then(digits).ok_or("via is missing or cannot be read")?,
        tenant: text("owner", "owner cannot be read")?,
        estimated_work: number("ms", "ms cannot be read")?,
        memory_kb: kb,
        rank,
        subject: text("subject", "subject cannot be read")?,
        key: text("opkey", "opkey cannot be read")?,
        remaining_wait: number("timeout", "timeout cannot be read")?,
        is_retry: field("resent") == Some(b"1"),
        body: rest.first().map(|b| b.to_vec()).unwrap_or_default(),
    })
}

/// The word of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    Ok,
    /// This try never ran.
    Busy,
    Failed,
    Up,
    Down,
}

impl ResponseStatus {
    fn text(self) -> &'static str {
        match self {
            ResponseStatus::Ok => "OK",
            ResponseStatus::Busy => "BUSY",
            ResponseStatus::Failed => "FAILED",
            ResponseStatus::Up => "UP",
            ResponseStatus::Down => "DOWN",
        }
    }
}

/// What an answer carries beside its word and body.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// The free value.
    pub signal: Option<f64>,
    /// How long to stay away, ms.
    pub retry_after: f64,
    /// No other server should be tried.
    pub is_final: bool,
}

pub fn write_response(
    out: &mut Vec<u8>,
    tag: u64,
    word: ResponseStatus,
    advice: ResponseFields,
    body: &[u8],
) {
    let mut listed: Vec<String> = Vec::new();
    if let Some(signal) = advice.signal {
        listed.push(format!("signal={signal:.4}"));
    }
    if advice.retry_after > 0.0 {
        listed.push(format!("holdoff={:.3}", advice.retry_after));
    }
    if advice.is_final {
        listed.push("nomore=1".to_owned());
    }
    write_array(
        out,
        &[tag.to_string().as_bytes(), word.text().as_bytes(), listed.join(",").as_bytes(), body],
    );
}

/// No new request is wanted on this connection.
pub fn write_goodbye(out: &mut Vec<u8>) {
    write_array(out, &[b"0", b"BYE"]);
}

fn write_array(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}
