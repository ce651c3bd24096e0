//! Protocol of the gateway connections: requests and responses as RESP arrays of bulk strings.

use crate::Millis;
use crate::attempt_id::AttemptId;
use crate::buffer::Buffer;
use crate::decoder::{Decoder, Malformed};
use crate::text::{decimal, integer, line};

/// Maximum of requests that a gateway may have open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
const MAX_BODY_BYTES: usize = 2048;
/// Maximum size of an array's element other than the body, bytes.
const MAX_ELEMENT_BYTES: usize = 1024;
const MAX_ELEMENTS: u64 = 16;
/// Maximum size of a line that states a count or a length, bytes.
const MAX_LINE_BYTES: usize = 16;
const MAX_ARRAY_BYTES: usize = MAX_BODY_BYTES + 8 * MAX_ELEMENT_BYTES;
/// Elements of a call before its body: verb, tag, class and fields.
const ELEMENTS_BEFORE_BODY: usize = 4;
/// Memory that a request may state, KB (exclusive).
const MAX_MEMORY_KB: f64 = 2000.0;

/// A message from a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// A request to run.
    Call(Call),
    /// A health check.
    Health {
        /// Tag of the response.
        tag: u64,
        /// Whether the check is to do real work.
        is_deep: bool,
    },
    /// A well-formed array with invalid contents; it is to be answered as failed.
    Invalid {
        /// Tag of the response.
        tag: u64,
        /// What is invalid.
        reason: &'static str,
    },
}

impl Request {
    /// The tag that its response carries.
    pub fn tag(&self) -> u64 {
        match self {
            Request::Call(call) => call.tag,
            Request::Health { tag, .. } | Request::Invalid { tag, .. } => *tag,
        }
    }
}

/// A request to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Tag of the response.
    pub tag: u64,
    /// Name of its class.
    pub class: String,
    /// Id of this attempt.
    pub id: AttemptId,
    /// When the request arrived at the machine, since the Unix epoch.
    pub arrived_at: Millis,
    /// Number of the gateway that sent it.
    pub gateway: u64,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// Expected work on one core.
    pub estimated_work: Option<Millis>,
    /// Memory that it needs, KB.
    pub memory_kb: f64,
    /// Priority among all requests, from 0 to 1 (exclusive).
    pub rank: f64,
    /// Whom or what it concerns.
    pub subject: Option<String>,
    /// Idempotency key, if the gateways of the site send one.
    pub key: Option<String>,
    /// How long its caller still waits, if the gateways of the site send it.
    pub remaining_wait: Option<Millis>,
    /// Whether it is a retry, if the gateways of the site mark retries.
    pub is_retry: bool,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Decoder of the messages from gateways.
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
        let Some(array) = parse_array(self.buffer.unread())? else { return Ok(None) };
        let request = parse_request(&array.elements)?;
        let length = array.length;
        self.buffer.consume(length);
        Ok(Some(request))
    }
}

/// An array at the start of a buffer.
struct Array<'a> {
    elements: Vec<&'a [u8]>,
    /// Bytes that it takes.
    length: usize,
}

/// A field of a call or a health check.
struct Field<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

/// The array at the start of `bytes`; `None` while it is incomplete.
fn parse_array(bytes: &[u8]) -> Result<Option<Array<'_>>, Malformed> {
    let Some((count, mut at)) = parse_length(bytes, b'*', "no array where one is due")? else {
        return Ok(None);
    };
    if count == 0 || count > MAX_ELEMENTS {
        return Err(Malformed("an array of no or too many words"));
    }
    let mut elements = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let Some((size, line_len)) = parse_length(&bytes[at..], b'$', "no bulk string where one is due")?
        else {
            return Ok(None);
        };
        let max_size = if elements.len() < ELEMENTS_BEFORE_BODY { MAX_ELEMENT_BYTES } else { MAX_BODY_BYTES };
        if size > max_size as u64 {
            return Err(Malformed("a bulk string is too long"));
        }
        at += line_len;
        let size = size as usize;
        let Some(rest) = bytes.get(at..).filter(|rest| rest.len() >= size + 2) else { return Ok(None) };
        if &rest[size..size + 2] != b"\r\n" {
            return Err(Malformed("a bulk string does not end where its length says"));
        }
        elements.push(&rest[..size]);
        at += size + 2;
        if at > MAX_ARRAY_BYTES {
            return Err(Malformed("an array is too long"));
        }
    }
    Ok(Some(Array { elements, length: at }))
}

/// A line of a prefix and a number; returns the number and the length of the line.
fn parse_length(bytes: &[u8], prefix: u8, missing: &'static str) -> Result<Option<(u64, usize)>, Malformed> {
    match bytes.first() {
        None => return Ok(None),
        Some(first) if *first != prefix => return Err(Malformed(missing)),
        Some(_) => {}
    }
    let Some(text) = line(bytes, MAX_LINE_BYTES)? else { return Ok(None) };
    let number = integer(&text[1..]).ok_or(Malformed("a length that is no number"))?;
    Ok(Some((number, text.len() + 2)))
}

fn parse_request(elements: &[&[u8]]) -> Result<Request, Malformed> {
    let tag =
        elements.get(1).and_then(|element| integer(element)).ok_or(Malformed("a tag that is no number"))?;
    let parsed = match elements[0] {
        b"RPC.CALL" => parse_call(tag, elements).map(Request::Call),
        b"RPC.HEALTH" => parse_health(tag, elements),
        _ => Err("the verb is not known"),
    };
    Ok(parsed.unwrap_or_else(|reason| Request::Invalid { tag, reason }))
}

/// Fields of the form `name=value`, separated by commas.
fn parse_fields(text: &[u8]) -> Result<Vec<Field<'_>>, &'static str> {
    text.split(|byte| *byte == b',')
        .filter(|field| !field.is_empty())
        .map(|field| {
            let equals = field.iter().position(|byte| *byte == b'=').ok_or("a field has no value")?;
            Ok(Field { name: &field[..equals], value: &field[equals + 1..] })
        })
        .collect()
}

fn parse_health(tag: u64, elements: &[&[u8]]) -> Result<Request, &'static str> {
    let fields = parse_fields(elements.get(2).copied().unwrap_or_default())?;
    let is_deep = fields.iter().any(|field| field.name == b"real" && field.value == b"1");
    Ok(Request::Health { tag, is_deep })
}

fn parse_call(tag: u64, elements: &[&[u8]]) -> Result<Call, &'static str> {
    let &[_, _, class, field_list, ref body @ ..] = elements else { return Err("a word is missing") };
    if body.len() > 1 {
        return Err("too many words");
    }
    // Unknown fields are skipped.
    let fields = parse_fields(field_list)?;
    let field =
        |name: &str| fields.iter().find(|field| field.name == name.as_bytes()).map(|field| field.value);
    let number = |name: &str, reason| field(name).map(|value| decimal(value).ok_or(reason)).transpose();
    let text = |name: &str, reason| {
        let parse = |value: &[u8]| String::from_utf8(value.to_vec()).map_err(|_| reason);
        field(name).map(parse).transpose()
    };
    let memory_kb = number("need", "need cannot be read")?.ok_or("need is missing")?;
    let rank = number("level", "level cannot be read")?.ok_or("level is missing")?;
    if memory_kb <= 0.0 || memory_kb >= MAX_MEMORY_KB {
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
        gateway: field("via").and_then(integer).ok_or("via is missing or cannot be read")?,
        tenant: text("owner", "owner cannot be read")?,
        estimated_work: number("ms", "ms cannot be read")?,
        memory_kb,
        rank,
        subject: text("subject", "subject cannot be read")?,
        key: text("opkey", "opkey cannot be read")?,
        remaining_wait: number("timeout", "timeout cannot be read")?,
        is_retry: field("resent") == Some(b"1"),
        body: body.first().map(|body| body.to_vec()).unwrap_or_default(),
    })
}

/// Status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The request succeeded.
    Ok,
    /// This attempt was rejected and never ran.
    Busy,
    /// The request failed.
    Failed,
    /// The server is healthy.
    Up,
    /// The server is not healthy.
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

/// What a response carries beside its status and body.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// The feedback signal of the site.
    pub signal: Option<f64>,
    /// How long to back off; 0 is not sent.
    pub retry_after: Millis,
    /// Whether no other server should be tried.
    pub is_final: bool,
}

/// Writes the response to the request with this tag.
pub fn write_response(
    out: &mut Vec<u8>,
    tag: u64,
    status: ResponseStatus,
    fields: ResponseFields,
    body: &[u8],
) {
    let mut field_list: Vec<String> = Vec::new();
    if let Some(signal) = fields.signal {
        field_list.push(format!("signal={signal:.4}"));
    }
    if fields.retry_after > 0.0 {
        field_list.push(format!("holdoff={:.3}", fields.retry_after));
    }
    if fields.is_final {
        field_list.push("nomore=1".to_owned());
    }
    write_array(
        out,
        &[tag.to_string().as_bytes(), status.text().as_bytes(), field_list.join(",").as_bytes(), body],
    );
}

/// Writes the notice that no new request is accepted on this connection.
pub fn write_goodbye(out: &mut Vec<u8>) {
    write_array(out, &[b"0", b"BYE"]);
}

fn write_array(out: &mut Vec<u8>, elements: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", elements.len()).as_bytes());
    for element in elements {
        out.extend_from_slice(format!("${}\r\n", element.len()).as_bytes());
        out.extend_from_slice(element);
        out.extend_from_slice(b"\r\n");
    }
}
