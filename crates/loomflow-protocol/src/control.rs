//! Protocol of the control plane connection: readiness reports as HTTP/1.1 requests, and their responses.

use crate::buffer::Buffer;
use crate::decoder::{Decoder, Malformed};
use crate::text::integer;

const MAX_HEAD_BYTES: usize = 4096;
const MAX_BODY_BYTES: usize = 4096;
const MAX_HEADERS: usize = 32;

/// Status code of a response. The body is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStatus(pub u16);

/// Decodes the responses of the control plane.
#[derive(Debug)]
pub struct HttpResponseDecoder {
    buffer: Buffer,
}

impl Default for HttpResponseDecoder {
    fn default() -> HttpResponseDecoder {
        HttpResponseDecoder { buffer: Buffer::new(MAX_HEAD_BYTES + MAX_BODY_BYTES) }
    }
}

impl Decoder for HttpResponseDecoder {
    type Message = HttpStatus;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    fn next(&mut self) -> Result<Option<HttpStatus>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let unread = self.buffer.unread();
        let head_len = match response.parse(unread) {
            Ok(httparse::Status::Complete(head_len)) => head_len,
            Ok(httparse::Status::Partial) if unread.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) => {
                return Err(Malformed("the head of an HTTP response exceeds 4096 bytes"));
            }
            Err(_) => return Err(Malformed("a response is not valid HTTP/1.x, or has more than 32 headers")),
        };
        let status = response.code.unwrap_or(0);
        let body_len = if has_no_body(status) { 0 } else { content_length(response.headers)? };
        if unread.len() < head_len + body_len {
            return Ok(None);
        }
        self.buffer.consume(head_len + body_len);
        Ok(Some(HttpStatus(status)))
    }
}

/// Whether a response with this status has no body, even if it has a `Content-Length` (RFC 9112, 6.3).
fn has_no_body(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

/// Returns the length of the body, in bytes; 0 without a `Content-Length`.
fn content_length(headers: &[httparse::Header]) -> Result<usize, Malformed> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let Some(header) = header else { return Ok(0) };
    integer(header.value.trim_ascii())
        .and_then(|length| usize::try_from(length).ok())
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(Malformed("the Content-Length of a response is not a number or exceeds 4096"))
}

/// Writes the request that reports to the control plane whether the server `name` is ready.
pub fn write_report(out: &mut Vec<u8>, name: &str, is_ready: bool) {
    let condition = if is_ready { "Ready" } else { "NotReady" };
    let body = format!("{{\"condition\":\"{condition}\"}}");
    let head = format!(
        "PUT /v2/endpoints/{name} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body.as_bytes());
}
