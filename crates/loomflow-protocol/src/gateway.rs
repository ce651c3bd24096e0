//! Protocol of the gateway connections: requests and responses as arrays of bulk strings in RESP, the protocol of
//! Redis.

use crate::Millis;
use crate::attempt_id::AttemptId;
use crate::buffer::Buffer;
use crate::decoder::{Decoder, Malformed};
use crate::text::{decimal, integer, line};

/// Maximum number of requests without a response that a gateway may have on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
const MAX_BODY_BYTES: usize = 2048;
/// Maximum size of an element other than the body, in bytes.
const MAX_ELEMENT_BYTES: usize = 1024;
const MAX_ELEMENTS: u64 = 16;
/// Maximum size of a line that contains a count or a length, in bytes.
const MAX_LINE_BYTES: usize = 16;
const MAX_ARRAY_BYTES: usize = MAX_BODY_BYTES + 8 * MAX_ELEMENT_BYTES;
/// Number of elements that precede the body of a call: verb, tag, class and fields.
const ELEMENTS_BEFORE_BODY: usize = 4;
/// Upper bound of the memory that a request may state, in KB (exclusive).
const MAX_MEMORY_KB: f64 = 2000.0;

/// A request from a gateway, of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// A request to be run by the engine.
    Call(Call),
    /// A health check.
    Health {
        /// Tag that the response repeats.
        tag: u64,
        /// Whether the check is deep, which does real work on the engine.
        is_deep: bool,
    },
    /// A well-formed array with invalid contents. Its response is [`ResponseStatus::Failed`]; the connection stays
    /// open.
    Invalid {
        /// Tag that the response repeats.
        tag: u64,
        /// Which element or field is invalid, for the log.
        reason: &'static str,
    },
}

impl Request {
    /// Returns the tag that the response must repeat.
    pub fn tag(&self) -> u64 {
        match self {
            Request::Call(call) => call.tag,
            Request::Health { tag, .. } | Request::Invalid { tag, .. } => *tag,
        }
    }
}

/// A request to be run by the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Tag that the response repeats.
    pub tag: u64,
    /// Name of the request class.
    pub class: String,
    /// Id of this attempt of the request.
    pub id: AttemptId,
    /// When the request arrived at the machine, as time since the Unix epoch.
    pub arrived_at: Millis,
    /// Number of the gateway that sent the request.
    pub gateway: u64,
    /// Name of the tenant that the request belongs to.
    pub tenant: Option<String>,
    /// Estimated duration of the run on one core.
    pub estimated_work: Option<Millis>,
    /// Memory that the request takes while it is queued, in KB; greater than 0 and less than 2000.
    pub memory_kb: f64,
    /// Position by weight among all requests, from 0 to 1 (exclusive).
    pub rank: f64,
    /// The user or object that the request concerns.
    pub subject: Option<String>,
    /// Idempotency key. Only gateways of some sites send one.
    pub key: Option<String>,
    /// How long the caller will wait from now on. Only gateways of some sites send it.
    pub remaining_wait: Option<Millis>,
    /// Whether this attempt is a retry; false if the gateways of the site do not mark retries.
    pub is_retry: bool,
    /// Body of the request, passed to the engine unchanged.
    pub body: Vec<u8>,
}

/// Decodes the requests of a gateway.
#[derive(Debug)]
pub struct RequestDecoder {
    buffer: Buffer,
}

impl Default for RequestDecoder {
    fn default() -> RequestDecoder {
        RequestDecoder { buffer: Buffer::new(MAX_ARRAY_BYTES) }
    }
}

impl Decoder for RequestDecoder {
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

/// A complete array of bulk strings.
struct Array<'a> {
    elements: Vec<&'a [u8]>,
    /// Length of the encoded array, in bytes.
    length: usize,
}

/// A field `name=value` of a call or a health check.
struct Field<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

/// Parses the array at the start of `bytes`; returns `None` while it is incomplete.
fn parse_array(bytes: &[u8]) -> Result<Option<Array<'_>>, Malformed> {
    let Some((count, mut at)) = parse_length(bytes, b'*', "expected an array, which begins with '*'")? else {
        return Ok(None);
    };
    if count == 0 || count > MAX_ELEMENTS {
        return Err(Malformed("an array is empty or has more than 16 elements"));
    }
    let mut elements = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let Some((size, line_len)) =
            parse_length(&bytes[at..], b'$', "expected a bulk string, which begins with '$'")?
        else {
            return Ok(None);
        };
        let max_size = if elements.len() < ELEMENTS_BEFORE_BODY { MAX_ELEMENT_BYTES } else { MAX_BODY_BYTES };
        if size > max_size as u64 {
            return Err(Malformed("a bulk string exceeds 1024 bytes, or 2048 bytes for the body"));
        }
        at += line_len;
        let size = size as usize;
        let Some(rest) = bytes.get(at..).filter(|rest| rest.len() >= size + 2) else { return Ok(None) };
        if &rest[size..size + 2] != b"\r\n" {
            return Err(Malformed("a bulk string of the stated length is not followed by CR LF"));
        }
        elements.push(&rest[..size]);
        at += size + 2;
        if at > MAX_ARRAY_BYTES {
            return Err(Malformed("an array exceeds 10240 bytes"));
        }
    }
    Ok(Some(Array { elements, length: at }))
}

/// Parses a line of `prefix` and a number; returns the number and the length of the line with its CR LF. `mismatch` is
/// the error if the line begins with another byte.
fn parse_length(bytes: &[u8], prefix: u8, mismatch: &'static str) -> Result<Option<(u64, usize)>, Malformed> {
    match bytes.first() {
        None => return Ok(None),
        Some(first) if *first != prefix => return Err(Malformed(mismatch)),
        Some(_) => {}
    }
    let Some(text) = line(bytes, MAX_LINE_BYTES)? else { return Ok(None) };
    let number =
        integer(&text[1..]).ok_or(Malformed("the length of an array or a bulk string is not a number"))?;
    Ok(Some((number, text.len() + 2)))
}

fn parse_request(elements: &[&[u8]]) -> Result<Request, Malformed> {
    let tag = elements
        .get(1)
        .and_then(|element| integer(element))
        .ok_or(Malformed("the tag is missing or not a number"))?;
    let parsed = match elements[0] {
        b"RPC.CALL" => parse_call(tag, elements).map(Request::Call),
        b"RPC.HEALTH" => parse_health(tag, elements),
        _ => Err("unknown verb"),
    };
    Ok(parsed.unwrap_or_else(|reason| Request::Invalid { tag, reason }))
}

/// Parses a list of fields of the form `name=value`, separated by commas.
fn parse_fields(text: &[u8]) -> Result<Vec<Field<'_>>, &'static str> {
    text.split(|byte| *byte == b',')
        .filter(|field| !field.is_empty())
        .map(|field| {
            let equals =
                field.iter().position(|byte| *byte == b'=').ok_or("a field is not of the form name=value")?;
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
    let &[_, _, class, field_list, ref body @ ..] = elements else {
        return Err("a call has fewer than 4 elements");
    };
    if body.len() > 1 {
        return Err("a call has more than 5 elements");
    }
    // Unknown fields are skipped, so that gateways may send new ones.
    let fields = parse_fields(field_list)?;
    let field =
        |name: &str| fields.iter().find(|field| field.name == name.as_bytes()).map(|field| field.value);
    let number = |name: &str, reason| field(name).map(|value| decimal(value).ok_or(reason)).transpose();
    let text = |name: &str, reason| {
        let parse = |value: &[u8]| String::from_utf8(value.to_vec()).map_err(|_| reason);
        field(name).map(parse).transpose()
    };
    let memory_kb = number("need", "need is not a non-negative number")?.ok_or("need is missing")?;
    let rank = number("level", "level is not a non-negative number")?.ok_or("level is missing")?;
    if memory_kb <= 0.0 || memory_kb >= MAX_MEMORY_KB {
        return Err("need is not greater than 0 and less than 2000");
    }
    if rank >= 1.0 {
        return Err("level is not less than 1");
    }
    Ok(Call {
        tag,
        class: String::from_utf8(class.to_vec()).map_err(|_| "the class is not valid UTF-8")?,
        id: field("req")
            .and_then(AttemptId::parse)
            .ok_or("req is missing or not 16 lower-case hexadecimal digits")?,
        arrived_at: number("ts", "ts is not a non-negative number")?.ok_or("ts is missing")?,
        gateway: field("via").and_then(integer).ok_or("via is missing or not an integer")?,
        tenant: text("owner", "owner is not valid UTF-8")?,
        estimated_work: number("ms", "ms is not a non-negative number")?,
        memory_kb,
        rank,
        subject: text("subject", "subject is not valid UTF-8")?,
        key: text("opkey", "opkey is not valid UTF-8")?,
        remaining_wait: number("timeout", "timeout is not a non-negative number")?,
        is_retry: field("resent") == Some(b"1"),
        body: body.first().map(|body| body.to_vec()).unwrap_or_default(),
    })
}

/// Status of a response: `Ok`, `Busy` and `Failed` for calls, `Up` and `Down` for health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The request succeeded.
    Ok,
    /// The attempt was rejected; it was not run and will not be.
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

/// The optional fields of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// The feedback signal to the gateway, if the site uses one.
    pub signal: Option<f64>,
    /// How long the caller should back off before a retry; 0 is not sent.
    pub retry_after: Millis,
    /// Whether the request should not be retried on another server.
    pub is_final: bool,
}

/// Appends the response to the request with this tag.
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

/// Appends the `BYE` message: the server accepts no further request on this connection.
pub fn write_bye(out: &mut Vec<u8>) {
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
